//! Decision of an agent about a first packet, and its memory of such decisions.
//!
//! An agent without memory of a flow accepts it or passes it on, by the rules for its hop and by
//! its load. It remembers what it did, so that later packets of the flow take the same way
//! whichever balancer sent them.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;

use monsoon_model::{Chain, Duration, Instant};

use crate::path;

/// Time for which a decision is remembered; longer than a handshake.
pub const DECISION_TTL: Duration = Duration::from_secs(10);

/// Most decisions remembered; the oldest is forgotten and counted.
pub const MAX_DECISIONS: usize = 65_536;

/// What to do with a first packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Give it to the local QUIC endpoint.
    Accept,
    /// Send it to the hop with this index.
    Pass(usize),
    /// Send it to this agent, which is not on the rest of the chain, with the chain of
    /// [`redirect`].
    Redirect(SocketAddrV4),
    /// Answer with `CONNECTION_REFUSED`.
    Refuse,
}

/// Present state of the local target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Busy slots and queued requests.
    pub used: u32,
    /// Present concurrency limit; at or above it new flows are passed on.
    pub limit: u32,
    /// Whether the target is leaving and takes no new flow.
    pub leaving: bool,
}

/// Events of a handoff memory since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HandoffCounters {
    /// Flows accepted, without repetition while remembered.
    pub accepted: u64,
    /// Flows passed on, without repetition while remembered.
    pub passed: u64,
    /// First packets refused.
    pub refused: u64,
    /// Packets sent to an agent that is not on their chain.
    pub redirected: u64,
    /// Decisions forgotten early because of [`MAX_DECISIONS`].
    pub evicted: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Choice {
    Local,
    Passed(SocketAddrV4),
}

/// Memory of an agent's decisions about new flows.
#[derive(Debug, Default)]
pub struct Handoff {
    choices: BTreeMap<u64, Choice>,
    order: VecDeque<(Instant, u64)>,
    counters: HandoffCounters,
}

impl Handoff {
    /// Empty memory.
    pub fn new() -> Self {
        Self::default()
    }

    /// Events since the start.
    pub fn counters(&self) -> HandoffCounters {
        self.counters
    }

    /// Number of decisions remembered.
    pub fn len(&self) -> usize {
        self.choices.len()
    }

    /// Whether no decision is remembered.
    pub fn is_empty(&self) -> bool {
        self.choices.is_empty()
    }

    /// Decides about a first packet that visited `hop` agents before this one.
    ///
    /// The agent's position on the chain is `hop`, or the last one when the chain is shorter.
    pub fn decide(
        &mut self,
        now: Instant,
        key: u64,
        chain: &Chain,
        hop: usize,
        load: Load,
    ) -> Decision {
        self.expire(now);
        let decision = match self.choices.get(&key) {
            Some(Choice::Local) => Decision::Accept,
            Some(Choice::Passed(next)) => path::follow(*next, chain, hop),
            None => path::fresh(chain, hop, load),
        };
        let is_known = self.choices.get(&key) == Some(&Choice::Local);
        let is_refused = load.leaving && !is_known && decision == Decision::Accept;
        let decision = if is_refused {
            Decision::Refuse
        } else {
            decision
        };
        self.record(now, key, chain, decision);
        decision
    }

    /// Forgets the flows that were passed on, so that none follows its memory into a data centre
    /// that was taken out. To be called when that set grows; the chains of balancers then decide.
    pub fn clear_passed(&mut self) {
        self.choices.retain(|_, choice| *choice == Choice::Local);
        let choices = &self.choices;
        self.order.retain(|(_, key)| choices.contains_key(key));
        debug_assert_eq!(self.choices.len(), self.order.len());
    }

    /// Remembers and counts a decision.
    fn record(&mut self, now: Instant, key: u64, chain: &Chain, decision: Decision) {
        let known = self.choices.get(&key).copied();
        match (decision, known) {
            (Decision::Accept, Some(Choice::Local)) | (Decision::Pass(_), Some(_)) => {}
            (Decision::Accept, _) => {
                self.counters.accepted += 1;
                self.remember(now, key, Choice::Local);
            }
            (Decision::Pass(next), None) => {
                self.counters.passed += 1;
                if let Some(next) = chain.hop(next) {
                    self.remember(now, key, Choice::Passed(next.agent));
                }
            }
            (Decision::Redirect(_), _) => self.counters.redirected += 1,
            (Decision::Refuse, _) => self.counters.refused += 1,
        }
    }

    fn remember(&mut self, now: Instant, key: u64, choice: Choice) {
        if self.choices.insert(key, choice).is_none() {
            self.order.push_back((now, key));
        }
        if self.choices.len() > MAX_DECISIONS {
            self.forget_oldest();
            self.counters.evicted += 1;
        }
        debug_assert_eq!(self.choices.len(), self.order.len());
    }

    fn expire(&mut self, now: Instant) {
        while self
            .order
            .front()
            .is_some_and(|(since, _)| now.since(*since) >= DECISION_TTL)
        {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((_, key)) = self.order.pop_front() {
            self.choices.remove(&key);
        }
    }
}
