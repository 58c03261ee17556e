//! What an agent learns from replies: live balancers, its service's members and sampled loads.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use monsoon_model::{AgentId, DataCentreId, Duration, Instant};

use crate::bounds::{ASK_BURST, ASK_COST, ASK_EVERY, DEPARTED_FOR, MAX_SERVICE, SAMPLE_TTL};
use crate::listing::Pages;
use crate::members::before;
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
struct Known {
    info: TargetInfo,
    since: Instant,
}

/// A request that came too early.
#[derive(Clone, Copy, Debug)]
struct Later {
    due: Instant,
    to: SocketAddr,
    hashes: (u32, u32),
}

/// Lists of one agent.
#[derive(Debug)]
pub(crate) struct Lists {
    own: AgentId,
    started: Instant,
    balancers: Vec<BalancerInfo>,
    balancers_hash: u32,
    balancer_pages: Pages<BalancerInfo>,
    service: BTreeMap<AgentId, Known>,
    service_hash: u32,
    service_pages: Pages<TargetInfo>,
    samples: BTreeMap<AgentId, (Sample, Instant)>,
    /// Earliest next request.
    allowed: Instant,
    /// Point up to which the rate of requests is used up, at most the burst after now.
    spent: Instant,
    later: Option<Later>,
}

impl Lists {
    pub(crate) fn new(now: Instant, own: AgentId) -> Self {
        Self {
            own,
            started: now,
            balancers: Vec::new(),
            balancers_hash: 0,
            balancer_pages: Pages::default(),
            service: BTreeMap::new(),
            service_hash: 0,
            service_pages: Pages::default(),
            samples: BTreeMap::new(),
            allowed: now,
            spent: now,
            later: None,
        }
    }

    pub(crate) fn has_service_list(&self) -> bool {
        self.service_hash != 0
    }

    pub(crate) fn balancers(&self) -> &[BalancerInfo] {
        &self.balancers
    }

    /// Request for the lists whose hashes differ, at most once in [`ASK_EVERY`] and in the long run
    /// in [`ASK_COST`]. A request that comes too early is due later.
    pub(crate) fn ask(
        &mut self,
        now: Instant,
        to: SocketAddr,
        balancers: u32,
        service: u32,
    ) -> Option<(SocketAddr, Body)> {
        let hashes = (balancers, service);
        // A hash of 0 comes from a balancer that does not know its own lists yet.
        let balancers = balancers != 0 && balancers != self.balancers_hash;
        let service = service != 0 && service != self.service_hash;
        self.later = None;
        if !(balancers || service) {
            return None;
        }
        let due = self.allowed.max(before(self.spent, ASK_BURST));
        if now < due {
            self.later = Some(Later { due, to, hashes });
            return None;
        }
        self.allowed = now + ASK_EVERY;
        self.spent = self.spent.max(now) + ASK_COST;
        Some((to, Body::Ask { balancers, service }))
    }

    /// The request that was too early, once it is due.
    pub(crate) fn ask_later(&mut self, now: Instant) -> Option<(SocketAddr, Body)> {
        let Later { due, to, hashes } = self.later?;
        if now < due {
            return None;
        }
        self.ask(now, to, hashes.0, hashes.1)
    }

    /// When the request that was too early is due.
    pub(crate) fn due(&self) -> Option<Instant> {
        self.later.map(|later| later.due)
    }

    /// Stores sampled loads.
    pub(crate) fn sample(&mut self, now: Instant, samples: Vec<Sample>) {
        self.samples
            .retain(|_, (_, at)| now.since(*at) < SAMPLE_TTL);
        for sample in samples {
            if self.samples.len() < MAX_SERVICE {
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
        for info in list.into_iter().take(MAX_SERVICE) {
            let told = before(now, info.age);
            let known = old.remove(&info.id).filter(|known| same_stay(known, &info));
            let since = known.map_or(told, |known| known.since.min(told));
            self.service.insert(info.id, Known { info, since });
        }
        for (id, mut known) in old {
            if known.info.state.take().is_some() {
                known.since = now;
            }
            if now.since(known.since) < DEPARTED_FOR && self.service.len() < MAX_SERVICE {
                self.service.insert(id, known);
            }
        }
        assert!(
            self.service.len() <= MAX_SERVICE,
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
        listed.filter(|peer| peer.id != self.own).collect()
    }

    /// Members of the service with their ages.
    pub(crate) fn service(&self, now: Instant, me: &Member) -> Vec<ServiceMember> {
        let recent =
            |known: &&Known| known.info.state.is_some() || now.since(known.since) < DEPARTED_FOR;
        let others = self
            .service
            .values()
            .filter(|known| known.info.id != self.own);
        let mut list = others
            .filter(recent)
            .map(|k| member(now, k))
            .collect::<Vec<_>>();
        let told = self.service.get(&self.own).map_or(now, |known| known.since);
        list.push(ServiceMember {
            id: me.id,
            data_centre: me.group,
            peer: me.peer,
            state: Some(me.state),
            age: now.since(told.max(self.started)),
        });
        list.sort_by_key(|m| m.id);
        list
    }
}

/// Whether `info` continues what is known; a return or a departure restarts the age.
fn same_stay(known: &Known, info: &TargetInfo) -> bool {
    let same = known.info.incarnation == info.incarnation;
    same && known.info.state.is_some() == info.state.is_some()
}

fn member(now: Instant, known: &Known) -> ServiceMember {
    let info = known.info;
    ServiceMember {
        id: info.id,
        data_centre: info.data_centre,
        peer: info.peer,
        state: info.state,
        age: now.since(known.since),
    }
}
