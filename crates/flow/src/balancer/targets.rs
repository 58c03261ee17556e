//! The list of agents: who may take a flow, and who may hold one.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

use monsoon_model::{DataCentreId, Duration, Instant, ServiceId};

use super::Balancer;
use crate::Action;

/// Time for which a doubted agent is asked last, unless it is heard from.
const SUSPECT_FOR: Duration = Duration::from_secs(3);
/// Time for which an agent that never heard a target has to be silent until it counts as one that
/// held no flow: three questions.
const SILENT_FOR: Duration = Duration::from_millis(300);
/// Time for which agents that left the list are still asked for flows, such as those of a data
/// centre that is out of reach: longer than a restart.
const RECENT: Duration = Duration::from_secs(10);
/// Time for which an agent that left without a target is remembered, because flows of that target
/// may still be idle at their callers.
const EMPTY_FOR: Duration = Duration::from_secs(60);
/// Least time after a start of all processes together in which the list of agents may be complete:
/// agents that know no balancer announce themselves every 100 ms.
const MIN_LIST_WAIT: Duration = Duration::from_millis(300);
/// Time without a further agent after which the list counts as complete: longer than the interval
/// at which balancers that start compare their tables, 250 ms at most.
const QUIET_FOR: Duration = Duration::from_millis(300);
/// Time after which it counts as complete in any case: agents announce themselves twice a second,
/// and a balancer that joins others compares its table with them every 200 ms.
const MAX_LIST_WAIT: Duration = Duration::from_millis(1_200);
/// Whether the target of an agent is there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// The agent has not heard it yet.
    Unknown,
    /// It is there.
    Present,
    /// It has ended, and all its flows with it.
    Ended,
}

/// A target as its agent announces it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetView {
    /// Number of the service.
    pub service: ServiceId,
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Whether a target is there.
    pub presence: Presence,
    /// Whether it takes new flows.
    pub accepts_flows: bool,
    /// Whether it is cold.
    pub is_cold: bool,
    /// Share of the flows, relative to others.
    pub weight: u32,
    /// Percent of the slots in use.
    pub load: u16,
    /// Until when the agent is asked last.
    pub suspected_until: Option<Instant>,
}

impl TargetView {
    pub(crate) fn is_suspected(&self, now: Instant) -> bool {
        self.suspected_until.is_some_and(|until| now < until)
    }
}

/// An agent that is or was listed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Recent {
    service: ServiceId,
    /// When it was last listed.
    seen: Instant,
    /// When it was last listed with a target.
    here: Option<Instant>,
    /// Since when it has been listed with this presence.
    since: Instant,
    pub(super) presence: Presence,
}

impl Recent {
    /// Whether the agent held no flow of anyone, when it was asked since `asked` and is silent. One
    /// that never heard a target has only just started, unless a former process at its address had
    /// one.
    pub(super) fn held_nothing(&self, now: Instant, asked: Instant) -> bool {
        self.presence == Presence::Unknown
            && self.here.is_none_or(|at| now.since(at) > RECENT)
            && now.since(self.since.max(asked)) >= SILENT_FOR
    }
}

impl Balancer {
    /// Replaces the list of agents, and places flows that waited for it.
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
            let known = self.recent.get(at);
            let here = known.and_then(|known| known.here);
            let since = known.filter(|known| known.presence == target.presence);
            let recent = Recent {
                service: target.service,
                seen: now,
                here: if target.presence == Presence::Present {
                    Some(now)
                } else {
                    here
                },
                since: since.map_or(now, |known| known.since),
                presence: target.presence,
            };
            self.recent.insert(*at, recent);
        }
        self.recent.retain(|_, agent| {
            let memory = match agent.presence {
                Presence::Unknown => Duration::ZERO,
                Presence::Present => RECENT,
                Presence::Ended => EMPTY_FOR,
            };
            now.since(agent.seen) <= memory
        });
        let mut out = self.release(now);
        self.asks.send_due(now, &mut out);
        out
    }

    /// Whether the list of agents covers every agent that could hold a flow.
    pub(super) fn is_list_complete(&self, now: Instant) -> bool {
        now >= self.list_complete_at()
    }

    pub(super) fn list_complete_at(&self) -> Instant {
        if self.joined {
            return self.followed_since + MAX_LIST_WAIT;
        }
        let quiet = (self.followed_since + MIN_LIST_WAIT).max(self.last_grown + QUIET_FOR);
        quiet.min(self.followed_since + MAX_LIST_WAIT)
    }

    /// Agents that may hold a flow of the route: those of every service that it has led to.
    pub(super) fn holders(&self, address: SocketAddrV4) -> BTreeSet<SocketAddrV4> {
        let services: BTreeSet<_> = self
            .former
            .get(&address)
            .into_iter()
            .flatten()
            .map(|service| service.service_id())
            .collect();
        let serves =
            |agent: &Recent| agent.presence != Presence::Ended && services.contains(&agent.service);
        let recent = self.recent.iter().filter(|(_, agent)| serves(agent));
        recent.map(|(&at, _)| at).collect()
    }

    pub(super) fn suspect(&mut self, now: Instant, agent: SocketAddrV4) {
        if let Some(target) = self.targets.get_mut(&agent) {
            target.suspected_until = Some(now + SUSPECT_FOR);
        }
    }
}
