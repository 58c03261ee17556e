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
const BATCH_INTERVAL: Duration = Duration::from_millis(20);
/// Most questions of a datagram, so that it is not fragmented: each takes 19 bytes at most.
const MAX_QUERIES: usize = 60;

/// Questions that were not sent yet.
#[derive(Debug)]
pub(super) struct QueryBatches {
    pending: BTreeMap<SocketAddrV4, Vec<OwnerQuery>>,
    /// Earliest time of the next datagrams.
    next_send: Instant,
}

impl QueryBatches {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            pending: BTreeMap::new(),
            next_send: now,
        }
    }

    /// Takes a question to these agents.
    pub(super) fn add(
        &mut self,
        agents: impl IntoIterator<Item = SocketAddrV4>,
        query: OwnerQuery,
        actions: &mut Vec<Action>,
    ) {
        for agent in agents {
            let queries = self.pending.entry(agent).or_default();
            queries.push(query);
            if queries.len() >= MAX_QUERIES {
                let queries = std::mem::take(queries);
                actions.push(send(agent, Frame::OwnerQueries(queries), Bytes::new()));
            }
        }
    }

    /// Sends what waits, when it is time.
    pub(super) fn send_due(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if now < self.next_send || self.pending.is_empty() {
            return;
        }
        self.next_send = now + BATCH_INTERVAL;
        for (agent, queries) in std::mem::take(&mut self.pending) {
            if !queries.is_empty() {
                actions.push(send(agent, Frame::OwnerQueries(queries), Bytes::new()));
            }
        }
    }

    /// When questions are to be sent, if any wait.
    pub(super) fn due(&self) -> Option<Instant> {
        (!self.pending.is_empty()).then_some(self.next_send)
    }
}
