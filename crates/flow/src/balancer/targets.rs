//! The list of agents: which of them may take a flow, and which may own one.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

use monsoon_model::{DataCentreId, Duration, Instant, ServiceId};

use super::Balancer;
use crate::Action;

/// Time for which a suspected agent is the last candidate, unless it sends a frame.
const SUSPECT_FOR: Duration = Duration::from_secs(3);
/// Time for which agents that left the list are still asked for flows, for example those of an
/// unreachable data centre. It is longer than a restart.
const DEPARTED_TTL: Duration = Duration::from_secs(10);
/// Time for which an agent whose target ended is remembered, because callers may still have idle
/// flows of that target.
const ENDED_TTL: Duration = Duration::from_secs(60);
/// Time after which the list of agents counts as complete at a balancer that has joined older ones.
/// Agents announce themselves twice a second, and balancers that start compare their tables with
/// others every 200 ms.
const JOINED_LIST_WAIT: Duration = Duration::from_millis(1_200);
/// The same for a balancer that no older one tells of agents. An agent that announced itself to
/// balancers which are gone needs two seconds to notice, and may have been suspended meanwhile.
const LONE_LIST_WAIT: Duration = Duration::from_millis(5_000);

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
    /// Weight in the ranking of candidates, by slots and learned speed; 0 if unknown.
    pub weight: u32,
    /// Percent of the slots in use; above 100 when requests are queued.
    pub load: u16,
    /// Whether the agent reads versions that cannot be packed.
    pub reads_exact: bool,
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
    pub(super) presence: Presence,
}

impl Balancer {
    /// Replaces the list of agents, and decides again on the flows that wait for it.
    pub fn set_targets(
        &mut self,
        now: Instant,
        targets: BTreeMap<SocketAddrV4, TargetView>,
    ) -> Vec<Action> {
        let old = std::mem::replace(&mut self.targets, targets);
        for (at, target) in &mut self.targets {
            target.suspected_until = old.get(at).and_then(|old| old.suspected_until);
            let recent = RecentAgent {
                service: target.service,
                last_listed: now,
                presence: target.presence,
            };
            self.recent_agents.insert(*at, recent);
            // An agent whose target has ended owns no flow, and may leave for good.
            if target.presence == Presence::Ended {
                self.registered.remove(at);
            } else {
                self.registered.insert(*at);
            }
        }
        self.recent_agents.retain(|_, agent| {
            let memory = match agent.presence {
                Presence::Unknown | Presence::Present => DEPARTED_TTL,
                Presence::Ended => ENDED_TTL,
            };
            now.since(agent.last_listed) <= memory
        });
        let mut actions = self.retry_waiting(now);
        self.batches.send_due(now, &mut actions);
        actions
    }

    /// Records the agents that the registry names. The list is complete once it has all of them.
    pub fn set_registered(&mut self, now: Instant, agents: BTreeSet<SocketAddrV4>) -> Vec<Action> {
        self.registered.extend(&agents);
        // Before the first agent is registered, and after a loss of the store, it names none.
        self.expected = Some(agents).filter(|agents| !agents.is_empty());
        let mut actions = self.retry_waiting(now);
        self.batches.send_due(now, &mut actions);
        actions
    }

    /// Agents that belong into the registry. Those that were not listed for [`DEPARTED_TTL`], so that
    /// their flows are no longer looked up, are left out from now on.
    pub fn registered(&mut self, now: Instant) -> &BTreeSet<SocketAddrV4> {
        if now.since(self.followed_since) >= DEPARTED_TTL {
            let recent_agents = &self.recent_agents;
            self.registered
                .retain(|agent| recent_agents.contains_key(agent));
        }
        &self.registered
    }

    /// Whether the list covers every agent that could own a flow.
    pub(super) fn is_list_complete(&self, now: Instant) -> bool {
        now >= self.list_complete_at()
    }

    /// Until when a new flow waits for further agents. A rejection is true even if the list is not
    /// complete.
    pub(super) fn wait_for_agents_until(&self) -> Instant {
        self.followed_since + JOINED_LIST_WAIT
    }

    pub(super) fn list_complete_at(&self) -> Instant {
        let is_listed = |agent| self.recent_agents.contains_key(agent);
        let expected = self.expected.as_ref();
        if expected.is_some_and(|expected| expected.iter().all(is_listed)) {
            return self.followed_since;
        }
        let wait = if self.has_joined {
            JOINED_LIST_WAIT
        } else {
            LONE_LIST_WAIT
        };
        self.followed_since + wait
    }

    /// Agents that may own a flow, whatever its route. The route may have led to any service before
    /// this process started, or by a version that it never had in force.
    pub(super) fn possible_owners(&self) -> BTreeSet<SocketAddrV4> {
        self.owners_where(|_| true)
    }

    /// Agents that most likely own a flow of the route: those of the services that it is known to
    /// have led to.
    pub(super) fn likely_owners(&self, address: SocketAddrV4) -> BTreeSet<SocketAddrV4> {
        let services: BTreeSet<_> = self
            .past_services
            .get(&address)
            .into_iter()
            .flatten()
            .map(|service| service.service_id())
            .collect();
        self.owners_where(|agent| services.contains(&agent.service))
    }

    fn owners_where(&self, is_meant: impl Fn(&RecentAgent) -> bool) -> BTreeSet<SocketAddrV4> {
        let recent = self.recent_agents.iter();
        recent
            .filter(|(_, agent)| agent.presence != Presence::Ended && is_meant(agent))
            .map(|(&at, _)| at)
            .collect()
    }

    pub(super) fn suspect(&mut self, now: Instant, agent: SocketAddrV4) {
        if let Some(target) = self.targets.get_mut(&agent) {
            target.suspected_until = Some(now + SUSPECT_FOR);
        }
    }
}
