//! What an agent learns from replies: live balancers, its service's members and sampled loads.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use monsoon_model::{AgentId, DataCentreId, Duration, Instant};

use crate::bounds::{
    DEPARTED_TTL, MAX_SERVICE_MEMBERS, REQUEST_BURST, REQUEST_COST, REQUEST_INTERVAL, SAMPLE_TTL,
};
use crate::listing::PageCollector;
use crate::members::seconds_before;
use crate::{BalancerInfo, Body, Member, Sample, State, TargetInfo};

/// Another target of the own service with its sampled load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SampledTarget {
    /// Identity of its agent.
    pub id: AgentId,
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Address of its tonic server.
    pub peer: SocketAddr,
    /// State at the time of the sample.
    pub state: State,
    /// Percent of the concurrency limit in use.
    pub load: u16,
    /// Age of the sample.
    pub age: Duration,
}

/// A member of the own service for the claim ranking.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceMember {
    /// Identity.
    pub id: AgentId,
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Address of its tonic server.
    pub peer: SocketAddr,
    /// State, `None` when it departed.
    pub state: Option<State>,
    /// Time since it joined, or since it departed.
    pub age: Duration,
}

#[derive(Clone, Copy, Debug)]
struct ListedMember {
    info: TargetInfo,
    changed_at: Instant,
}

/// A request that came too early.
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
    /// Earliest next request.
    next_allowed: Instant,
    /// Point up to which the rate of requests is used up, at most the burst after now.
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

    /// Request for the lists whose hashes differ, at most once in [`REQUEST_INTERVAL`] and in the long run
    /// in [`REQUEST_COST`]. A request that comes too early is due later.
    pub(crate) fn request(
        &mut self,
        now: Instant,
        to: SocketAddr,
        balancers: u32,
        service: u32,
    ) -> Option<(SocketAddr, Body)> {
        let hashes = (balancers, service);
        // A hash of 0 comes from a balancer that does not know its own lists yet.
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

    /// The request that was too early, once it is due.
    pub(crate) fn take_deferred(&mut self, now: Instant) -> Option<(SocketAddr, Body)> {
        let DeferredRequest { due, to, hashes } = self.deferred?;
        if now < due {
            return None;
        }
        self.request(now, to, hashes.0, hashes.1)
    }

    /// When the request that was too early is due.
    pub(crate) fn deferred_until(&self) -> Option<Instant> {
        self.deferred.map(|request| request.due)
    }

    /// Stores sampled loads.
    pub(crate) fn record_samples(&mut self, now: Instant, samples: Vec<Sample>) {
        self.samples
            .retain(|_, (_, at)| now.since(*at) < SAMPLE_TTL);
        for sample in samples {
            if self.samples.len() < MAX_SERVICE_MEMBERS {
                self.samples.insert(sample.id, (sample, now));
            }
        }
    }

    /// Adds a page of the balancers. Returns whether the list is complete and was taken over.
    pub(crate) fn add_balancers(
        &mut self,
        hash: u32,
        at: (u16, u16),
        list: Vec<BalancerInfo>,
    ) -> bool {
        let Some(list) = self.balancer_pages.add(hash, at, list) else {
            return false;
        };
        self.balancers = list;
        self.balancers_hash = hash;
        true
    }

    /// Adds a page of the service. Returns whether the list is complete and was taken over.
    pub(crate) fn add_service(
        &mut self,
        now: Instant,
        hash: u32,
        at: (u16, u16),
        list: Vec<TargetInfo>,
    ) -> bool {
        let Some(list) = self.service_pages.add(hash, at, list) else {
            return false;
        };
        self.service_hash = hash;
        self.replace(now, list);
        true
    }

    fn replace(&mut self, now: Instant, list: Vec<TargetInfo>) {
        let mut old = std::mem::take(&mut self.service);
        for info in list.into_iter().take(MAX_SERVICE_MEMBERS) {
            let joined = seconds_before(now, info.age);
            let listed = old
                .remove(&info.id)
                .filter(|listed| is_same_period(listed, &info));
            let changed_at = listed.map_or(joined, |listed| listed.changed_at.min(joined));
            self.service
                .insert(info.id, ListedMember { info, changed_at });
        }
        for (id, mut listed) in old {
            if listed.info.state.take().is_some() {
                listed.changed_at = now;
            }
            if now.since(listed.changed_at) < DEPARTED_TTL
                && self.service.len() < MAX_SERVICE_MEMBERS
            {
                self.service.insert(id, listed);
            }
        }
        assert!(
            self.service.len() <= MAX_SERVICE_MEMBERS,
            "the list of members is bounded"
        );
    }

    /// Sampled targets that are still listed.
    pub(crate) fn sampled_targets(&self, now: Instant) -> Vec<SampledTarget> {
        let fresh = self
            .samples
            .values()
            .filter(|(_, at)| now.since(*at) < SAMPLE_TTL);
        let listed = fresh.filter_map(|(sample, at)| {
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

    /// Members of the service with their ages.
    pub(crate) fn service_members(&self, now: Instant, me: &Member) -> Vec<ServiceMember> {
        let recent = |listed: &&ListedMember| {
            listed.info.state.is_some() || now.since(listed.changed_at) < DEPARTED_TTL
        };
        let others = self
            .service
            .values()
            .filter(|listed| listed.info.id != self.own_id);
        let mut list = others
            .filter(recent)
            .map(|m| member(now, m))
            .collect::<Vec<_>>();
        let joined = self
            .service
            .get(&self.own_id)
            .map_or(now, |listed| listed.changed_at);
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

/// Whether `info` continues what is known; a return or a departure restarts the age.
fn is_same_period(listed: &ListedMember, info: &TargetInfo) -> bool {
    let same = listed.info.incarnation == info.incarnation;
    same && listed.info.state.is_some() == info.state.is_some()
}

fn member(now: Instant, listed: &ListedMember) -> ServiceMember {
    let info = listed.info;
    ServiceMember {
        id: info.id,
        data_centre: info.data_centre,
        peer: info.peer,
        state: info.state,
        age: now.since(listed.changed_at),
    }
}
