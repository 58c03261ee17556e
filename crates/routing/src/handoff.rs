//! Decisions of an agent about the first packets of flows.
//!
//! An agent that does not know a flow accepts it or passes it on, depending on its hop in the chain
//! and its load. It remembers the decision, so that later first packets of the flow take the same
//! route whichever balancer sent them.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;

use monsoon_model::{Chain, Duration, Instant};

use crate::path;

/// Time for which a decision is remembered. Longer than a handshake.
pub const DECISION_TTL: Duration = Duration::from_secs(10);

/// Maximum number of decisions remembered. Beyond it the oldest is evicted and counted.
pub const MAX_DECISIONS: usize = 65_536;

/// What to do with a first packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Deliver it to the local QUIC endpoint.
    Accept,
    /// Forward it to the hop with this index.
    Pass(usize),
    /// Forward it to this agent, which is not the next hop, with the chain from
    /// [`redirect`](crate::redirect).
    Redirect(SocketAddrV4),
    /// Answer with `CONNECTION_REFUSED`.
    Refuse,
}

/// Current load of the local target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Number of busy slots plus queued requests.
    pub used: u32,
    /// Current concurrency limit. At or above it new flows are passed on.
    pub limit: u32,
    /// Whether the target is leaving and accepts no new flows.
    pub leaving: bool,
}

/// Event counts of a [`Handoff`] since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HandoffCounters {
    /// Flows accepted, counted once while remembered.
    pub accepted: u64,
    /// Flows passed on, counted once while remembered.
    pub passed: u64,
    /// First packets refused.
    pub refused: u64,
    /// Packets forwarded to an agent other than the next hop.
    pub redirected: u64,
    /// Decisions evicted early because of [`MAX_DECISIONS`].
    pub evicted: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Choice {
    Local,
    Passed(SocketAddrV4),
}

/// Decisions of an agent about new flows, kept for [`DECISION_TTL`].
#[derive(Debug, Default)]
pub struct Handoff {
    choices: BTreeMap<u64, Choice>,
    /// Keys of `choices` with the time of the decision, oldest first.
    order: VecDeque<(Instant, u64)>,
    counters: HandoffCounters,
}

impl Handoff {
    /// Creates a handoff that remembers no decision.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the event counts since the start.
    pub fn counters(&self) -> HandoffCounters {
        self.counters
    }

    /// Returns the number of decisions remembered.
    pub fn len(&self) -> usize {
        self.choices.len()
    }

    /// Whether no decision is remembered.
    pub fn is_empty(&self) -> bool {
        self.choices.is_empty()
    }

    /// Decides about the first packet of flow `key`, which visited `hop` agents before this one.
    ///
    /// The agent's position on the chain is `hop`, or the last position if the chain is shorter.
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
            Some(Choice::Passed(next)) => path::decide_passed(*next, chain, hop),
            None => path::decide_new(chain, hop, load),
        };
        let is_local = self.choices.get(&key) == Some(&Choice::Local);
        let is_refused = load.leaving && !is_local && decision == Decision::Accept;
        let decision = if is_refused {
            Decision::Refuse
        } else {
            decision
        };
        self.record(now, key, chain, decision);
        decision
    }

    /// Removes the flows that were passed on, so that none is sent to an evacuated data centre.
    ///
    /// Must be called whenever another data centre is evacuated. Later packets of these flows
    /// follow the chains of the balancers.
    pub fn clear_passed(&mut self) {
        self.choices.retain(|_, choice| *choice == Choice::Local);
        let choices = &self.choices;
        self.order.retain(|(_, key)| choices.contains_key(key));
        debug_assert_eq!(self.choices.len(), self.order.len());
    }

    /// Stores and counts a decision.
    fn record(&mut self, now: Instant, key: u64, chain: &Chain, decision: Decision) {
        let previous = self.choices.get(&key).copied();
        match (decision, previous) {
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
            self.remove_oldest();
            self.counters.evicted += 1;
        }
        debug_assert_eq!(self.choices.len(), self.order.len());
    }

    fn expire(&mut self, now: Instant) {
        while self
            .order
            .front()
            .is_some_and(|(decided_at, _)| now.since(*decided_at) >= DECISION_TTL)
        {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some((_, key)) = self.order.pop_front() {
            self.choices.remove(&key);
        }
    }
}
