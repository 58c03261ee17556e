//! Explanation of a placement: where a flow would go now, and why. It reads the state with the
//! functions that place flows, and changes nothing.

use std::collections::BTreeSet;
use std::net::SocketAddrV4;

use derive_more::Display;
use monsoon_model::{DataCentreId, Duration, Instant, Versions};

use super::{Balancer, Flow, Presence, TargetView};
use crate::ranking::{LOCAL_LOAD_LIMIT, MAX_HOPS};
use crate::{Demand, FlowKey, ServiceTag};

/// Why an agent of the service has its rank, or is no candidate. The ranks are ordered from best to
/// worst.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum RankReason {
    /// In the balancer's data centre, with a load below the limit.
    #[display("own data centre, load below {LOCAL_LOAD_LIMIT} %")]
    Local,
    /// In the balancer's data centre, but not preferred because of its load.
    #[display("own data centre, but load of {LOCAL_LOAD_LIMIT} % or more")]
    LocalLoaded,
    /// In another data centre.
    #[display("other data centre")]
    Remote,
    /// The target is cold.
    #[display("cold, ranked after warm targets")]
    Cold,
    /// The agent did not answer an opening packet a moment ago.
    #[display("suspected: left an opening packet unanswered, ranked last")]
    Suspected,
    /// Excluded: its data centre is evacuated.
    #[display("excluded: data centre evacuated")]
    Evacuated,
    /// Excluded: its target has ended.
    #[display("excluded: target ended")]
    Ended,
    /// Excluded: it has not received a heartbeat of its target yet.
    #[display("excluded: no heartbeat of the target yet")]
    NoHeartbeat,
    /// Excluded: it announced that its target takes no new flows, or it left the membership.
    #[display("excluded: takes no new flows")]
    NotReady,
}

impl RankReason {
    /// Name in JSON.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Local => "local",
            Self::LocalLoaded => "local_loaded",
            Self::Remote => "remote",
            Self::Cold => "cold",
            Self::Suspected => "suspected",
            Self::Evacuated => "evacuated",
            Self::Ended => "ended",
            Self::NoHeartbeat => "no_heartbeat",
            Self::NotReady => "not_ready",
        }
    }

    /// Whether the agent is no candidate.
    pub fn is_excluded(self) -> bool {
        self >= Self::Evacuated
    }
}

/// Agent of the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Frame address.
    pub agent: SocketAddrV4,
    /// Target as the agent announced it.
    pub target: TargetView,
    /// Whether the agent is suspected now.
    pub is_suspected: bool,
    /// Whether the agent is in the balancer's data centre.
    pub is_local: bool,
    /// Why it has its rank or is excluded.
    pub reason: RankReason,
}

/// Why a flow is reset.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum ResetReason {
    /// No route has the address.
    #[display("no route has the address")]
    NoRoute,
    /// All weights of the route are zero.
    #[display("all weights of the route are zero")]
    NoShare,
    /// No agent of the service takes new flows.
    #[display("no agent of the service takes new flows")]
    NoTarget,
    /// The target that had the flow has ended.
    #[display("the target that had the flow has ended")]
    TargetEnded,
}

/// Why a packet is dropped; the caller repeats it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum DropReason {
    /// The configuration was not compared with the store since the start or a suspension.
    #[display("the configuration is not checked")]
    ConfigUnchecked,
    /// No configuration is known.
    #[display("no configuration is known")]
    NoConfig,
}

/// What the balancer would do with a packet of the flow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Sends the opening packet to the first agent, with the others as the next hops.
    Place(Vec<SocketAddrV4>),
    /// Lets the flow wait at most for this time for an agent that takes flows, then resets it.
    Wait(Duration),
    /// Resets the flow.
    Reset(ResetReason),
    /// Drops the packet.
    Drop(DropReason),
    /// Forwards the packet to the owner of the flow, which is known here.
    Forward(SocketAddrV4),
    /// Awaits the answer of these agents, which have the opening packet. Empty while the flow waits
    /// for an agent that takes flows.
    Opening(Vec<SocketAddrV4>),
    /// Awaits answers to the question which agent owns the flow.
    LookUp,
}

/// Where a flow would go now, and why.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    /// Flow.
    pub key: FlowKey,
    /// Name of the route.
    pub route: Option<String>,
    /// Service that the route selects for this flow.
    pub service: Option<ServiceTag>,
    /// Name of the service, if the configuration has it.
    pub service_name: Option<String>,
    /// Demand of the route.
    pub demand: Option<Demand>,
    /// Versions of the configuration in force.
    pub versions: Versions,
    /// Whether the configuration was compared with the store or a peer.
    pub config_checked: bool,
    /// Data centre of the balancer.
    pub data_centre: DataCentreId,
    /// Evacuated data centres.
    pub evacuations: BTreeSet<DataCentreId>,
    /// Agents of the service: the candidates, best first, then the excluded ones.
    pub candidates: Vec<Candidate>,
    /// What is done with the next packet.
    pub decision: Decision,
    /// What would be done with a new flow if there were no candidate.
    pub without_candidates: Decision,
}

impl Balancer {
    /// Explains where a flow would go now. The decision on a new flow is that on its first opening
    /// packet.
    pub fn explain(&self, now: Instant, key: FlowKey) -> Explanation {
        let catalogue = self.catalogue.as_deref();
        let route = catalogue.and_then(|catalogue| catalogue.routes.get(&key.address));
        let service = self.service(key);
        let ranked = service.map_or_else(Vec::new, |service| self.candidates(now, service, key));
        let without_candidates = self.explain_unplaced(now, key, service);
        let decision = self.explain_known(key).unwrap_or_else(|| {
            let is_placed = self.config_checked && !ranked.is_empty();
            if is_placed {
                Decision::Place(ranked.iter().copied().take(MAX_HOPS).collect())
            } else {
                without_candidates.clone()
            }
        });
        Explanation {
            key,
            route: route.map(|route| route.name.clone()),
            service,
            service_name: service
                .and_then(|service| catalogue?.services.get(&service))
                .map(|service| service.name.clone()),
            demand: route.and_then(|route| route.demand),
            versions: self.versions,
            config_checked: self.config_checked,
            data_centre: self.settings.data_centre,
            evacuations: self.evacuations.clone(),
            candidates: self.explain_agents(now, service, &ranked),
            decision,
            without_candidates,
        }
    }

    /// Decision on a flow that is in the table.
    fn explain_known(&self, key: FlowKey) -> Option<Decision> {
        if !self.has_route(key) {
            return None;
        }
        match self.flows.get(&key)? {
            Flow::Owned { agent, .. } if self.has_ended(*agent) => {
                Some(Decision::Reset(ResetReason::TargetEnded))
            }
            Flow::Owned { agent, .. } => Some(Decision::Forward(*agent)),
            Flow::Opening(opening) => Some(match opening.offers.first() {
                Some(&(agent, _)) => Decision::Forward(agent),
                None => Decision::Opening(opening.last_candidates.clone()),
            }),
            Flow::LookingUp(_) | Flow::Probing(_) => Some(Decision::LookUp),
            Flow::UnknownRoute { .. } => None,
        }
    }

    /// Decision on a new flow without any candidate.
    fn explain_unplaced(
        &self,
        now: Instant,
        key: FlowKey,
        service: Option<ServiceTag>,
    ) -> Decision {
        if !self.config_checked {
            return Decision::Drop(DropReason::ConfigUnchecked);
        }
        let Some(catalogue) = &self.catalogue else {
            return Decision::Drop(DropReason::NoConfig);
        };
        let Some(service) = service else {
            let has_route = catalogue.routes.contains_key(&key.address);
            return Decision::Reset(if has_route {
                ResetReason::NoShare
            } else {
                ResetReason::NoRoute
            });
        };
        let deadline = self.wait_deadline(service, now);
        if self.may_wait(now, deadline) {
            Decision::Wait(deadline.since(now))
        } else {
            Decision::Reset(ResetReason::NoTarget)
        }
    }

    fn explain_agents(
        &self,
        now: Instant,
        service: Option<ServiceTag>,
        ranked: &[SocketAddrV4],
    ) -> Vec<Candidate> {
        let Some(service) = service else {
            return Vec::new();
        };
        let of_service = |target: &TargetView| target.service == service.service_id();
        let excluded = self
            .targets
            .iter()
            .filter(|(agent, target)| of_service(target) && !ranked.contains(agent));
        let excluded = excluded.map(|(&agent, target)| {
            let reason = self.exclusion_reason(target);
            self.candidate(now, agent, target, reason)
        });
        let ranked = ranked.iter().filter_map(|&agent| {
            let target = self.targets.get(&agent)?;
            let reason = self.rank_reason(now, target);
            Some(self.candidate(now, agent, target, reason))
        });
        ranked.chain(excluded).collect()
    }

    fn candidate(
        &self,
        now: Instant,
        agent: SocketAddrV4,
        target: &TargetView,
        reason: RankReason,
    ) -> Candidate {
        Candidate {
            agent,
            target: target.clone(),
            is_suspected: target.is_suspected(now),
            is_local: target.data_centre == self.settings.data_centre,
            reason,
        }
    }

    /// Group of a candidate in [`rank_candidates`](crate::ranking::rank_candidates).
    fn rank_reason(&self, now: Instant, target: &TargetView) -> RankReason {
        if target.is_suspected(now) {
            RankReason::Suspected
        } else if target.is_cold {
            RankReason::Cold
        } else if target.data_centre != self.settings.data_centre {
            RankReason::Remote
        } else if target.load >= LOCAL_LOAD_LIMIT {
            RankReason::LocalLoaded
        } else {
            RankReason::Local
        }
    }

    fn exclusion_reason(&self, target: &TargetView) -> RankReason {
        if self.evacuations.contains(&target.data_centre) {
            return RankReason::Evacuated;
        }
        match target.presence {
            Presence::Ended => RankReason::Ended,
            Presence::Unknown => RankReason::NoHeartbeat,
            Presence::Present => RankReason::NotReady,
        }
    }
}
