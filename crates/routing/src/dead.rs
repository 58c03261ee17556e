//! Agents that stopped recently.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use monsoon_model::{Duration, Instant};

/// Most agents remembered as dead; the one that died first is forgotten and counted.
pub const MAX_DEAD: usize = 4_096;

/// Time for which an agent is remembered as dead. Callers give up an unanswered flow by their idle
/// timeout well before that.
pub const DEAD_TTL: Duration = Duration::from_secs(300);

/// Addresses of agents that stopped within [`DEAD_TTL`].
#[derive(Debug, Default)]
pub(crate) struct Dead {
    agents: BTreeMap<SocketAddrV4, Instant>,
}

impl Dead {
    /// Adds an agent; returns whether another one was forgotten for it.
    pub(crate) fn insert(&mut self, now: Instant, agent: SocketAddrV4) -> bool {
        self.agents.insert(agent, now);
        if self.agents.len() <= MAX_DEAD {
            return false;
        }
        self.agents.retain(|_, since| now.since(*since) < DEAD_TTL);
        if self.agents.len() <= MAX_DEAD {
            return false;
        }
        let oldest = self.agents.iter().min_by_key(|(_, since)| **since);
        if let Some(agent) = oldest.map(|(agent, _)| *agent) {
            self.agents.remove(&agent);
        }
        true
    }

    pub(crate) fn remove(&mut self, agent: SocketAddrV4) {
        self.agents.remove(&agent);
    }

    pub(crate) fn contains(&self, now: Instant, agent: SocketAddrV4) -> bool {
        self.agents
            .get(&agent)
            .is_some_and(|since| now.since(*since) < DEAD_TTL)
    }
}
