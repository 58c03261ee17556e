//! Questions to agents, gathered so that those about many flows share a datagram.
//!
//! Every agent of a service is asked about an unknown flow. After all processes were lost together,
//! every open flow is unknown: 2,000 flows and 65 agents made 650,000 datagrams within two seconds,
//! which filled the links of small instances and so delayed the new flows.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use bytes::Bytes;
use monsoon_model::{Duration, Instant};

use crate::action::send;
use crate::{Action, Frame, OwnerQuery};

/// Least time between two datagrams to one agent: a fraction of the time in which an answer is
/// expected.
const GATHER_FOR: Duration = Duration::from_millis(20);
/// Most questions of a datagram, so that it is not fragmented: each takes 19 bytes at most.
const MAX_QUESTIONS: usize = 60;

/// Questions that were not sent yet.
#[derive(Debug)]
pub(super) struct Asks {
    waiting: BTreeMap<SocketAddrV4, Vec<OwnerQuery>>,
    /// Earliest time of the next datagrams.
    next: Instant,
}

impl Asks {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            waiting: BTreeMap::new(),
            next: now,
        }
    }

    /// Takes a question to these agents.
    pub(super) fn add(
        &mut self,
        agents: impl IntoIterator<Item = SocketAddrV4>,
        question: OwnerQuery,
        out: &mut Vec<Action>,
    ) {
        for agent in agents {
            let questions = self.waiting.entry(agent).or_default();
            questions.push(question);
            if questions.len() >= MAX_QUESTIONS {
                let questions = std::mem::take(questions);
                out.push(send(agent, Frame::OwnerQueries(questions), Bytes::new()));
            }
        }
    }

    /// Sends what waits, when it is time.
    pub(super) fn send_due(&mut self, now: Instant, out: &mut Vec<Action>) {
        if now < self.next || self.waiting.is_empty() {
            return;
        }
        self.next = now + GATHER_FOR;
        for (agent, questions) in std::mem::take(&mut self.waiting) {
            if !questions.is_empty() {
                out.push(send(agent, Frame::OwnerQueries(questions), Bytes::new()));
            }
        }
    }

    /// When questions are to be sent, if any wait.
    pub(super) fn due(&self) -> Option<Instant> {
        (!self.waiting.is_empty()).then_some(self.next)
    }
}
