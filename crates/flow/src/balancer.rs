//! State machine of a balancer: places new flows and finds the agents of known ones.

mod data;
mod frames;
mod open;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddrV4;
use std::sync::Arc;

use bytes::Bytes;
use monsoon_model::{DataCentreId, Duration, Instant, Versions};

use crate::lookup::Lookup;
use crate::{Action, Catalogue, Facts, FlowKey, Kind, Log, Places, Refusal, ServiceTag};

/// Time after which an agent that neither took nor passed on an opening packet is doubted. Several
/// round trips between data centres, and less than the caller's first copy.
const TAKEN_WITHIN: Duration = Duration::from_millis(90);
/// Time for which a doubted agent is asked last, unless it is heard from.
const DOUBT_FOR: Duration = Duration::from_secs(3);
/// Time after which unanswered questions are given up.
const ANSWERED_WITHIN: Duration = Duration::from_millis(100);
/// Time for which agents that left the list are still asked for flows: longer than a restart, and
/// than a partition takes to be noticed and heal.
const RECENT: Duration = Duration::from_secs(10);
/// Most flows remembered. At the bound a further one is forwarded without being remembered.
const MAX_FLOWS: usize = 262_144;
/// Time after which the list of agents is complete: agents announce themselves twice a second.
const SETTLED_AFTER: Duration = Duration::from_secs(2);
/// Interval of removing expired flows.
const EXPIRE_EVERY: Duration = Duration::from_secs(1);

/// What a balancer needs from the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Frame address of this balancer.
    pub me: SocketAddrV4,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Idle time after which a flow is forgotten while no configuration names one.
    pub flow_ttl: Duration,
}

/// A target as its agent announces it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetView {
    /// Number of the service.
    pub service: monsoon_model::ServiceId,
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Whether it takes new flows.
    pub open: bool,
    /// Whether it is cold.
    pub cold: bool,
    /// Share of the flows, relative to others.
    pub weight: u32,
    /// Percent of the slots in use.
    pub load: u16,
    /// Until when the agent is asked last.
    pub doubt: Option<Instant>,
}

impl TargetView {
    pub(crate) fn doubted(&self, now: Instant) -> bool {
        self.doubt.is_some_and(|until| now < until)
    }
}

/// What a balancer remembers of a flow.
#[derive(Clone, Debug)]
enum Flow {
    /// The opening packet is on its way.
    Opening(Opening),
    /// This agent holds the flow.
    Held { agent: SocketAddrV4, used: Instant },
    /// Agents were asked.
    Asking(Lookup),
    /// Packets go to all agents that cannot tell, until one holds the flow.
    Trying(Lookup),
}

#[derive(Clone, Debug)]
struct Opening {
    service: ServiceTag,
    packet: Bytes,
    sequence: u32,
    /// Agents that the packet was sent to first.
    tried: BTreeSet<SocketAddrV4>,
    /// Agents whose targets offered to take the flow, with the offers.
    offers: Vec<(SocketAddrV4, u32)>,
    /// Number of the last copy.
    copy: u32,
    at: Instant,
}

/// Flows of one balancer.
#[derive(Debug)]
pub struct Balancer {
    settings: Settings,
    flows: BTreeMap<FlowKey, Flow>,
    targets: BTreeMap<SocketAddrV4, TargetView>,
    /// Agents that were listed lately, with their service and when they were last listed.
    recent: BTreeMap<SocketAddrV4, (monsoon_model::ServiceId, Instant)>,
    catalogue: Option<Arc<Catalogue>>,
    /// Services that each route has led to since the start, because open flows stay there.
    former: BTreeMap<SocketAddrV4, BTreeSet<ServiceTag>>,
    places: Places,
    out: BTreeSet<DataCentreId>,
    versions: Versions,
    checked: bool,
    awaited: VecDeque<(Instant, FlowKey)>,
    questions: VecDeque<(Instant, FlowKey)>,
    /// Since when the list of agents has been followed without a pause.
    settled: Instant,
    expire: Instant,
}

impl Balancer {
    /// Balancer without configuration or targets.
    pub fn new(now: Instant, settings: Settings) -> Self {
        Self {
            settings,
            flows: BTreeMap::new(),
            targets: BTreeMap::new(),
            recent: BTreeMap::new(),
            catalogue: None,
            former: BTreeMap::new(),
            places: Places::default(),
            out: BTreeSet::new(),
            versions: Versions::default(),
            checked: false,
            awaited: VecDeque::new(),
            questions: VecDeque::new(),
            settled: now,
            expire: now + EXPIRE_EVERY,
        }
    }

    /// Takes a configuration. Older ones are ignored.
    pub fn set_catalogue(&mut self, catalogue: Arc<Catalogue>) {
        if catalogue.version < self.versions.document {
            return;
        }
        self.versions.document = catalogue.version;
        self.former
            .retain(|address, _| catalogue.routes.contains_key(address));
        for (&address, route) in &catalogue.routes {
            let former = self.former.entry(address).or_default();
            former.extend(route.shares.iter().map(|share| share.service));
        }
        self.catalogue = Some(catalogue);
    }

    /// Takes the data centres taken out, with their numbers. Older lists are ignored.
    pub fn set_places(&mut self, places: &Places, number: impl Fn(&str) -> Option<DataCentreId>) {
        if places.version >= self.versions.places {
            self.versions.places = places.version;
            self.out = places.out.iter().filter_map(|name| number(name)).collect();
            self.places = places.clone();
        }
    }

    /// The configuration in force was compared with the store or with peers.
    pub fn set_checked(&mut self) {
        self.checked = true;
    }

    /// The process was suspended, so that its configuration and list of agents may be old.
    pub fn thaw(&mut self, now: Instant) {
        self.checked = false;
        self.settled = now;
    }

    /// Replaces the list of agents.
    pub fn set_targets(&mut self, now: Instant, targets: BTreeMap<SocketAddrV4, TargetView>) {
        let old = std::mem::replace(&mut self.targets, targets);
        for (at, target) in &mut self.targets {
            target.doubt = old.get(at).and_then(|old| old.doubt);
            self.recent.insert(*at, (target.service, now));
        }
        for (at, target) in old {
            if !self.targets.contains_key(&at) {
                self.recent.insert(at, (target.service, now));
            }
        }
        let listed = &self.targets;
        self.recent
            .retain(|at, (_, seen)| listed.contains_key(at) || now.since(*seen) < RECENT);
    }

    /// Versions in force.
    pub fn versions(&self) -> Versions {
        self.versions
    }

    /// Whether new flows can be routed by a checked configuration.
    pub fn is_ready(&self) -> bool {
        self.checked && self.catalogue.is_some()
    }

    /// Flows remembered.
    pub fn flows(&self) -> usize {
        self.flows.len()
    }

    /// Handles a packet of a caller.
    pub fn packet(&mut self, now: Instant, packet: Bytes, facts: &Facts) -> Vec<Action> {
        let mut out = Vec::new();
        match facts.kind {
            Kind::Open { copy } => self.open(now, packet, facts, copy, &mut out),
            _ => self.data(now, packet, facts, &mut out),
        }
        out
    }

    /// Gives up questions without answers, and forgets old flows.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let mut out = Vec::new();
        while let Some(&(at, key)) = self.awaited.front() {
            if now.since(at) < TAKEN_WITHIN {
                break;
            }
            self.awaited.pop_front();
            self.not_taken(now, at, key, &mut out);
        }
        while let Some(&(at, key)) = self.questions.front() {
            if now.since(at) < ANSWERED_WITHIN {
                break;
            }
            self.questions.pop_front();
            self.not_answered(now, at, key, &mut out);
        }
        if now >= self.expire {
            self.expire = now + EXPIRE_EVERY;
            self.forget(now);
        }
        out
    }

    /// When the next tick is due.
    pub fn next_tick(&self) -> Instant {
        let awaited = self.awaited.front().map(|&(at, _)| at + TAKEN_WITHIN);
        let questions = self.questions.front().map(|&(at, _)| at + ANSWERED_WITHIN);
        let due = [awaited, questions].into_iter().flatten().min();
        due.map_or(self.expire, |at| at.min(self.expire))
    }

    fn forget(&mut self, now: Instant) {
        let idle = self.catalogue.as_ref().map(|c| c.idle);
        let idle = idle.unwrap_or(self.settings.flow_ttl);
        self.flows.retain(|_, flow| match flow {
            Flow::Opening(opening) => now.since(opening.at) < SETTLED_AFTER,
            Flow::Held { used, .. } => now.since(*used) <= idle,
            Flow::Asking(lookup) | Flow::Trying(lookup) => now.since(lookup.at) < SETTLED_AFTER,
        });
    }

    fn remember(&mut self, key: FlowKey, flow: Flow) {
        if self.flows.len() < MAX_FLOWS || self.flows.contains_key(&key) {
            self.flows.insert(key, flow);
        }
    }

    /// Whether the list of agents covers every agent that could hold a flow.
    fn is_settled(&self, now: Instant) -> bool {
        now.since(self.settled) >= SETTLED_AFTER
    }

    /// Agents that may hold a flow of the route: those of every service that it has led to.
    fn holders(&self, address: SocketAddrV4) -> BTreeSet<SocketAddrV4> {
        let services: BTreeSet<_> = self
            .former
            .get(&address)
            .into_iter()
            .flatten()
            .map(|service| service.number())
            .collect();
        let serves = |(_, (service, _)): &(_, &(monsoon_model::ServiceId, Instant))| {
            services.contains(service)
        };
        let recent = self.recent.iter().filter(serves);
        recent.map(|(&at, _)| at).collect()
    }

    fn doubt(&mut self, now: Instant, agent: SocketAddrV4) {
        if let Some(target) = self.targets.get_mut(&agent) {
            target.doubt = Some(now + DOUBT_FOR);
        }
    }
}

fn log(key: FlowKey, decision: &'static str, inputs: String) -> Action {
    Action::Log(Log {
        key,
        decision,
        inputs,
    })
}

fn refuse(key: FlowKey, expects: u32) -> Action {
    Action::Refuse(Refusal { key, expects })
}
