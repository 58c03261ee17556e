//! Lists that an agent requests from balancers: the live balancers of its data centre, the members
//! of its service and sampled loads of them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use monsoon_model::{AgentId, DataCentreId, Duration, Instant};

use crate::bounds::{
    DEPARTED_TTL, MAX_SERVICE_MEMBERS, REQUEST_BURST, REQUEST_COST, REQUEST_INTERVAL, SAMPLE_TTL,
};
use crate::listing::PageCollector;
use crate::members::seconds_before;
use crate::{BalancerInfo, Body, Member, Sample, State, TargetInfo};

/// Another target of the agent's service, with its sampled load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SampledTarget {
    /// Identity of its agent.
    pub id: AgentId,
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Address of the agent's tonic server.
    pub peer: SocketAddr,
    /// State at the time of the sample.
    pub state: State,
    /// Percent of the concurrency limit in use.
    pub load: u16,
    /// Age of the sample.
    pub age: Duration,
}

/// A member of the agent's service, as the claim ranking needs it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceMember {
    /// Identity.
    pub id: AgentId,
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Address of its tonic server.
    pub peer: SocketAddr,
    /// State; `None` for a departed member.
    pub state: Option<State>,
    /// Time since the member joined or departed.
    pub age: Duration,
}

#[derive(Clone, Copy, Debug)]
struct ListedMember {
    info: TargetInfo,
    /// When the member joined or departed.
    changed_at: Instant,
}

/// A request that the rate limit put off.
#[derive(Clone, Copy, Debug)]
struct DeferredRequest {
    due: Instant,
    to: SocketAddr,
    hashes: (u32, u32),
}

/// Lists of one agent.
#[derive(Debug)]
pub(crate) struct Lists {
    own_id: AgentId,
    started_at: Instant,
    balancers: Vec<BalancerInfo>,
    balancers_hash: u32,
    balancer_pages: PageCollector<BalancerInfo>,
    service: BTreeMap<AgentId, ListedMember>,
    service_hash: u32,
    service_pages: PageCollector<TargetInfo>,
    samples: BTreeMap<AgentId, (Sample, Instant)>,
    /// Earliest time of the next request.
    next_allowed: Instant,
    /// Time up to which past requests have used the long-term rate, at most [`REQUEST_BURST`]
    /// intervals after now.
    spent_until: Instant,
    deferred: Option<DeferredRequest>,
}

impl Lists {
    pub(crate) fn new(now: Instant, own_id: AgentId) -> Self {
        Self {
            own_id,
            started_at: now,
            balancers: Vec::new(),
            balancers_hash: 0,
            balancer_pages: PageCollector::default(),
            service: BTreeMap::new(),
            service_hash: 0,
            service_pages: PageCollector::default(),
            samples: BTreeMap::new(),
            next_allowed: now,
            spent_until: now,
            deferred: None,
        }
    }

    pub(crate) fn has_service_list(&self) -> bool {
        self.service_hash != 0
    }

    pub(crate) fn balancers(&self) -> &[BalancerInfo] {
        &self.balancers
    }

    /// Returns a request for the lists whose hashes differ, at most once in [`REQUEST_INTERVAL`]
    /// and in the long run once in [`REQUEST_COST`]. An earlier request is deferred.
    pub(crate) fn request_lists(
        &mut self,
        now: Instant,
        to: SocketAddr,
        balancers: u32,
        service: u32,
    ) -> Option<(SocketAddr, Body)> {
        let hashes = (balancers, service);
        // A balancer that has not caught up after its start sends a hash of 0.
        let wants_balancers = balancers != 0 && balancers != self.balancers_hash;
        let wants_service = service != 0 && service != self.service_hash;
        self.deferred = None;
        if !(wants_balancers || wants_service) {
            return None;
        }
        let due = self
            .next_allowed
            .max(seconds_before(self.spent_until, REQUEST_BURST));
        if now < due {
            self.deferred = Some(DeferredRequest { due, to, hashes });
            return None;
        }
        self.next_allowed = now + REQUEST_INTERVAL;
        self.spent_until = self.spent_until.max(now) + REQUEST_COST;
        Some((
            to,
            Body::ListRequest {
                wants_balancers,
                wants_service,
            },
        ))
    }

    /// Returns the deferred request once it is due.
    pub(crate) fn take_deferred(&mut self, now: Instant) -> Option<(SocketAddr, Body)> {
        let DeferredRequest { due, to, hashes } = self.deferred?;
        if now < due {
            return None;
        }
        self.request_lists(now, to, hashes.0, hashes.1)
    }

    /// When the deferred request is due.
    pub(crate) fn deferred_until(&self) -> Option<Instant> {
        self.deferred.map(|request| request.due)
    }

    /// Stores sampled loads, at most [`MAX_SERVICE_MEMBERS`], and drops expired ones.
    pub(crate) fn record_samples(&mut self, now: Instant, samples: Vec<Sample>) {
        self.samples
            .retain(|_, (_, at)| now.since(*at) < SAMPLE_TTL);
        for sample in samples {
            if self.samples.len() < MAX_SERVICE_MEMBERS {
                self.samples.insert(sample.id, (sample, now));
            }
        }
    }

    /// Adds a page of the balancers. Returns whether that completed and replaced the list.
    pub(crate) fn add_balancers(
        &mut self,
        hash: u32,
        position: (u16, u16),
        list: Vec<BalancerInfo>,
    ) -> bool {
        let Some(list) = self.balancer_pages.add(hash, position, list) else {
            return false;
        };
        self.balancers = list;
        self.balancers_hash = hash;
        true
    }

    /// Adds a page of the service. Returns whether that completed and replaced the list.
    pub(crate) fn add_service(
        &mut self,
        now: Instant,
        hash: u32,
        position: (u16, u16),
        list: Vec<TargetInfo>,
    ) -> bool {
        let Some(list) = self.service_pages.add(hash, position, list) else {
            return false;
        };
        self.service_hash = hash;
        self.replace_service(now, list);
        true
    }

    fn replace_service(&mut self, now: Instant, list: Vec<TargetInfo>) {
        let mut old = std::mem::take(&mut self.service);
        for info in list.into_iter().take(MAX_SERVICE_MEMBERS) {
            let reported_at = seconds_before(now, info.age);
            let entry = old
                .remove(&info.id)
                .filter(|entry| is_same_period(entry, &info));
            let changed_at = entry.map_or(reported_at, |entry| entry.changed_at.min(reported_at));
            self.service
                .insert(info.id, ListedMember { info, changed_at });
        }
        for (id, mut entry) in old {
            if entry.info.state.take().is_some() {
                entry.changed_at = now;
            }
            if now.since(entry.changed_at) < DEPARTED_TTL
                && self.service.len() < MAX_SERVICE_MEMBERS
            {
                self.service.insert(id, entry);
            }
        }
        assert!(
            self.service.len() <= MAX_SERVICE_MEMBERS,
            "the list of members is bounded"
        );
    }

    /// Sampled targets that are still listed.
    pub(crate) fn sampled_targets(&self, now: Instant) -> Vec<SampledTarget> {
        let recent = self
            .samples
            .values()
            .filter(|(_, at)| now.since(*at) < SAMPLE_TTL);
        let listed = recent.filter_map(|(sample, at)| {
            let info = self.service.get(&sample.id)?.info;
            info.state?;
            Some(SampledTarget {
                id: sample.id,
                data_centre: info.data_centre,
                peer: info.peer,
                state: sample.state,
                load: sample.load,
                age: now.since(*at),
            })
        });
        listed.filter(|peer| peer.id != self.own_id).collect()
    }

    /// All members of the service, recently departed ones and this agent included.
    pub(crate) fn service_members(&self, now: Instant, me: &Member) -> Vec<ServiceMember> {
        let recent = |entry: &&ListedMember| {
            entry.info.state.is_some() || now.since(entry.changed_at) < DEPARTED_TTL
        };
        let others = self
            .service
            .values()
            .filter(|entry| entry.info.id != self.own_id);
        let mut list = others
            .filter(recent)
            .map(|m| member(now, m))
            .collect::<Vec<_>>();
        let joined = self
            .service
            .get(&self.own_id)
            .map_or(now, |entry| entry.changed_at);
        list.push(ServiceMember {
            id: me.id,
            data_centre: me.group,
            peer: me.peer,
            state: Some(me.state),
            age: now.since(joined.max(self.started_at)),
        });
        list.sort_by_key(|m| m.id);
        list
    }
}

/// Whether `info` has the incarnation and liveness of `entry`; otherwise the age restarts.
fn is_same_period(entry: &ListedMember, info: &TargetInfo) -> bool {
    let same = entry.info.incarnation == info.incarnation;
    same && entry.info.state.is_some() == info.state.is_some()
}

fn member(now: Instant, entry: &ListedMember) -> ServiceMember {
    let info = entry.info;
    ServiceMember {
        id: info.id,
        data_centre: info.data_centre,
        peer: info.peer,
        state: info.state,
        age: now.since(entry.changed_at),
    }
}
