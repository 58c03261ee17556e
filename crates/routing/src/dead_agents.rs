//! Agents that stopped recently.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use monsoon_model::{Duration, Instant};

/// Most agents remembered as dead; the one that died first is forgotten and counted.
pub const MAX_DEAD_AGENTS: usize = 4_096;

/// Time for which an agent is remembered as dead. Callers give up an unanswered flow by their idle
/// timeout well before that.
pub const DEAD_AGENT_TTL: Duration = Duration::from_secs(300);

/// Time from the news of a death to the first reset. A suspicion can be wrong, most often during a cut
/// between data centres, and a reset ends a flow for good.
pub const RESET_DELAY: Duration = Duration::from_secs(5);

/// Agents that stopped within [`DEAD_AGENT_TTL`].
#[derive(Debug, Default)]
pub(crate) struct DeadAgents {
    /// Addresses where nobody runs.
    down: BTreeMap<SocketAddrV4, Instant>,
    /// Processes, by address and epoch, and when resets begin.
    gone: BTreeMap<(SocketAddrV4, u8), Instant>,
}

impl DeadAgents {
    /// Adds an agent whose flows are reset from `reset` on; returns whether another one was
    /// forgotten for it.
    pub(crate) fn insert(
        &mut self,
        now: Instant,
        agent: SocketAddrV4,
        epoch: u8,
        reset: Instant,
    ) -> bool {
        self.down.insert(agent, now);
        let from = self.gone.entry((agent, epoch)).or_insert(reset);
        *from = (*from).min(reset);
        let evicted = bound(&mut self.down, now);
        bound(&mut self.gone, now) || evicted
    }

    pub(crate) fn remove(&mut self, agent: SocketAddrV4, epoch: u8) {
        self.down.remove(&agent);
        self.gone.remove(&(agent, epoch));
    }

    /// Whether flows of the agent are answered with resets.
    pub(crate) fn resets(&self, now: Instant, agent: SocketAddrV4, epoch: u8) -> bool {
        let from = self.gone.get(&(agent, epoch));
        from.is_some_and(|from| now >= *from && now.since(*from) < DEAD_AGENT_TTL)
    }

    pub(crate) fn contains(&self, now: Instant, agent: SocketAddrV4) -> bool {
        let since = self.down.get(&agent);
        since.is_some_and(|since| now.since(*since) < DEAD_AGENT_TTL)
    }
}

/// Forgets old entries above [`MAX_DEAD_AGENTS`], then the oldest; returns whether it had to.
fn bound<K: Copy + Ord>(entries: &mut BTreeMap<K, Instant>, now: Instant) -> bool {
    if entries.len() <= MAX_DEAD_AGENTS {
        return false;
    }
    entries.retain(|_, since| now.since(*since) < DEAD_AGENT_TTL);
    if entries.len() <= MAX_DEAD_AGENTS {
        return false;
    }
    let oldest = entries.iter().min_by_key(|(_, since)| **since);
    if let Some(key) = oldest.map(|(key, _)| *key) {
        entries.remove(&key);
    }
    true
}
