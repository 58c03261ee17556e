//! Agents that died or left recently.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use monsoon_model::{Duration, Instant};

/// Maximum number of dead agents kept. Beyond it the oldest is evicted and counted.
pub const MAX_DEAD_AGENTS: usize = 4_096;

/// Time for which a dead agent is kept. The idle timeout of callers ends an unanswered flow well
/// before that.
pub const DEAD_AGENT_TTL: Duration = Duration::from_secs(300);

/// Delay between the declaration of death and the first reset. A declaration can be wrong, most
/// often during a network partition between data centres, and a reset ends a flow for good.
pub const RESET_DELAY: Duration = Duration::from_secs(5);

/// Agents that died or left within [`DEAD_AGENT_TTL`].
#[derive(Debug, Default)]
pub(crate) struct DeadAgents {
    /// Addresses without a live agent, with the time at which it stopped.
    stopped_at: BTreeMap<SocketAddrV4, Instant>,
    /// Processes by address and epoch, with the time from which their flows are reset.
    reset_at: BTreeMap<(SocketAddrV4, u8), Instant>,
}

impl DeadAgents {
    /// Adds an agent whose flows are reset from `reset_at` on. Returns whether an entry was evicted
    /// to make room.
    pub(crate) fn insert(
        &mut self,
        now: Instant,
        agent: SocketAddrV4,
        epoch: u8,
        reset_at: Instant,
    ) -> bool {
        self.stopped_at.insert(agent, now);
        let earliest = self.reset_at.entry((agent, epoch)).or_insert(reset_at);
        *earliest = (*earliest).min(reset_at);
        let evicted = evict_excess(&mut self.stopped_at, now);
        evict_excess(&mut self.reset_at, now) || evicted
    }

    pub(crate) fn remove(&mut self, agent: SocketAddrV4, epoch: u8) {
        self.stopped_at.remove(&agent);
        self.reset_at.remove(&(agent, epoch));
    }

    /// Whether packets of the agent's flows are answered with stateless resets.
    pub(crate) fn resets(&self, now: Instant, agent: SocketAddrV4, epoch: u8) -> bool {
        let reset_at = self.reset_at.get(&(agent, epoch));
        reset_at.is_some_and(|at| now >= *at && now.since(*at) < DEAD_AGENT_TTL)
    }

    pub(crate) fn contains(&self, now: Instant, agent: SocketAddrV4) -> bool {
        let stopped_at = self.stopped_at.get(&agent);
        stopped_at.is_some_and(|at| now.since(*at) < DEAD_AGENT_TTL)
    }
}

/// Above [`MAX_DEAD_AGENTS`] entries, removes the expired ones and, if that is not enough, the
/// oldest. Returns whether it removed the oldest.
fn evict_excess<K: Copy + Ord>(entries: &mut BTreeMap<K, Instant>, now: Instant) -> bool {
    if entries.len() <= MAX_DEAD_AGENTS {
        return false;
    }
    entries.retain(|_, at| now.since(*at) < DEAD_AGENT_TTL);
    if entries.len() <= MAX_DEAD_AGENTS {
        return false;
    }
    let oldest = entries.iter().min_by_key(|(_, at)| **at);
    if let Some(key) = oldest.map(|(key, _)| *key) {
        entries.remove(&key);
    }
    true
}
