//! The list of agents: which of them may take a flow, and which may own one.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

use monsoon_model::{DataCentreId, Duration, Instant, ServiceId};

use super::Balancer;
use crate::Action;

/// Time for which a suspected agent is the last candidate, unless it sends a frame.
const SUSPECT_FOR: Duration = Duration::from_secs(3);
/// Time without reply after which an agent that received no heartbeat counts as owning no flow; it
/// covers three queries.
const MIN_SILENCE: Duration = Duration::from_millis(300);
/// Time for which agents that left the list are still asked for flows, for example those of an
/// unreachable data centre. It is longer than a restart.
const DEPARTED_TTL: Duration = Duration::from_secs(10);
/// Time for which an agent whose target ended is remembered, because callers may still have idle
/// flows of that target.
const ENDED_TTL: Duration = Duration::from_secs(60);
/// Minimum time until the list of agents counts as complete when all processes start together.
/// Agents that know no balancer announce themselves every 100 ms.
const MIN_LIST_WAIT: Duration = Duration::from_millis(300);
/// Time without a new agent after which the list counts as complete. It is longer than the interval
/// at which starting balancers compare their tables, 250 ms at most.
const LIST_QUIET_TIME: Duration = Duration::from_millis(300);
/// Time after which the list counts as complete in any case. Agents announce themselves twice a
/// second, and a balancer that joins others compares its table with theirs every 200 ms.
const MAX_LIST_WAIT: Duration = Duration::from_millis(1_200);
/// Whether the target of an agent is present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// The agent has not received a heartbeat yet.
    Unknown,
    /// The target is running.
    Present,
    /// The target and all its flows have ended.
    Ended,
}

/// Target as its agent announces it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetView {
    /// Identifier of the service.
    pub service: ServiceId,
    /// Data centre of the target.
    pub data_centre: DataCentreId,
    /// Whether the target is present.
    pub presence: Presence,
    /// Whether the target takes new flows.
    pub accepts_flows: bool,
    /// Whether the target is cold.
    pub is_cold: bool,
    /// Weight in the ranking of candidates.
    pub weight: u32,
    /// Percent of the slots in use; above 100 when requests are queued.
    pub load: u16,
    /// Until when the agent is the last candidate because it did not answer.
    pub suspected_until: Option<Instant>,
}

impl TargetView {
    pub(crate) fn is_suspected(&self, now: Instant) -> bool {
        self.suspected_until.is_some_and(|until| now < until)
    }
}

/// Agent that is or recently was listed.
#[derive(Clone, Copy, Debug)]
pub(super) struct RecentAgent {
    service: ServiceId,
    /// When the agent was last listed.
    last_listed: Instant,
    /// When the agent was last listed with a present target.
    last_present: Option<Instant>,
    /// Since when the agent has been listed with this presence.
    presence_since: Instant,
    pub(super) presence: Presence,
}

impl RecentAgent {
    /// Whether the agent counts as owning no flow, although it has not replied to queries since
    /// `queried_at`. An agent that received no heartbeat has just started, unless a former process
    /// at its address had a target.
    pub(super) fn owned_nothing(&self, now: Instant, queried_at: Instant) -> bool {
        self.presence == Presence::Unknown
            && self
                .last_present
                .is_none_or(|at| now.since(at) > DEPARTED_TTL)
            && now.since(self.presence_since.max(queried_at)) >= MIN_SILENCE
    }
}

impl Balancer {
    /// Replaces the list of agents, and decides again on the flows that wait for it.
    pub fn set_targets(
        &mut self,
        now: Instant,
        targets: BTreeMap<SocketAddrV4, TargetView>,
    ) -> Vec<Action> {
        let old = std::mem::replace(&mut self.targets, targets);
        let unknown = |at| !old.contains_key(at);
        if self.targets.keys().any(unknown) {
            self.last_grown = now;
        }
        for (at, target) in &mut self.targets {
            target.suspected_until = old.get(at).and_then(|old| old.suspected_until);
            let known = self.recent_agents.get(at);
            let last_present = known.and_then(|known| known.last_present);
            let since = known.filter(|known| known.presence == target.presence);
            let recent = RecentAgent {
                service: target.service,
                last_listed: now,
                last_present: if target.presence == Presence::Present {
                    Some(now)
                } else {
                    last_present
                },
                presence_since: since.map_or(now, |known| known.presence_since),
                presence: target.presence,
            };
            self.recent_agents.insert(*at, recent);
        }
        self.recent_agents.retain(|_, agent| {
            let memory = match agent.presence {
                Presence::Unknown => Duration::ZERO,
                Presence::Present => DEPARTED_TTL,
                Presence::Ended => ENDED_TTL,
            };
            now.since(agent.last_listed) <= memory
        });
        let mut actions = self.retry_waiting(now);
        self.batches.send_due(now, &mut actions);
        actions
    }

    /// Whether the list covers every agent that could own a flow.
    pub(super) fn is_list_complete(&self, now: Instant) -> bool {
        now >= self.list_complete_at()
    }

    pub(super) fn list_complete_at(&self) -> Instant {
        if self.has_joined {
            return self.followed_since + MAX_LIST_WAIT;
        }
        let quiet = (self.followed_since + MIN_LIST_WAIT).max(self.last_grown + LIST_QUIET_TIME);
        quiet.min(self.followed_since + MAX_LIST_WAIT)
    }

    /// Agents that may own a flow of the route: those of every service that it has led to.
    pub(super) fn possible_owners(&self, address: SocketAddrV4) -> BTreeSet<SocketAddrV4> {
        let services: BTreeSet<_> = self
            .past_services
            .get(&address)
            .into_iter()
            .flatten()
            .map(|service| service.service_id())
            .collect();
        let serves = |agent: &RecentAgent| {
            agent.presence != Presence::Ended && services.contains(&agent.service)
        };
        let recent = self.recent_agents.iter().filter(|(_, agent)| serves(agent));
        recent.map(|(&at, _)| at).collect()
    }

    pub(super) fn suspect(&mut self, now: Instant, agent: SocketAddrV4) {
        if let Some(target) = self.targets.get_mut(&agent) {
            target.suspected_until = Some(now + SUSPECT_FOR);
        }
    }
}
