//! Agents that stopped recently.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use monsoon_model::{Duration, Instant};

/// Most agents remembered as dead; the one that died first is forgotten and counted.
pub const MAX_DEAD: usize = 4_096;

/// Time for which an agent is remembered as dead. Callers give up an unanswered flow by their idle
/// timeout well before that.
pub const DEAD_TTL: Duration = Duration::from_secs(300);

/// Time from the news of a death to the first reset. An agent that restarts at the same address takes
/// flows at once, and a balancer of another data centre may learn of the death that long before it
/// learns of the restart: the speakers' contact and a returning data centre's comparison of tables.
pub const RESET_AFTER: Duration = Duration::from_secs(5);

/// Addresses of agents that stopped within [`DEAD_TTL`].
#[derive(Debug, Default)]
pub(crate) struct Dead {
    agents: BTreeMap<SocketAddrV4, Instant>,
}

impl Dead {
    /// Adds an agent; returns whether another one was forgotten for it.
    pub(crate) fn insert(&mut self, now: Instant, agent: SocketAddrV4) -> bool {
        let since = self.agents.entry(agent).or_insert(now);
        if now.since(*since) >= DEAD_TTL {
            *since = now;
        }
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

    /// Whether flows of the agent are answered with resets.
    pub(crate) fn resets(&self, now: Instant, agent: SocketAddrV4) -> bool {
        let since = self.agents.get(&agent);
        since.is_some_and(|since| now.since(*since) >= RESET_AFTER) && self.contains(now, agent)
    }

    pub(crate) fn contains(&self, now: Instant, agent: SocketAddrV4) -> bool {
        self.agents
            .get(&agent)
            .is_some_and(|since| now.since(*since) < DEAD_TTL)
    }
}
