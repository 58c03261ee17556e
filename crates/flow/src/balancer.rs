//! State machine of a balancer: places new flows and finds the agents of known ones.

mod asks;
mod data;
mod frames;
mod open;
mod targets;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddrV4;
use std::sync::Arc;

use bytes::Bytes;
use monsoon_model::{DataCentreId, Duration, Instant, Versions};

use crate::lookup::Lookup;
use crate::{Action, Catalogue, Evacuations, FlowKey, PacketInfo, PacketKind, ServiceTag};
use asks::Asks;
use targets::Recent;
pub use targets::{Presence, TargetView};

/// Time after which an agent that neither took nor passed on an opening packet is doubted. Several
/// round trips between data centres, and less than the caller's first copy.
const TAKEN_WITHIN: Duration = Duration::from_millis(90);
/// Time after which agents that did not answer a question are asked again.
const ANSWERED_WITHIN: Duration = Duration::from_millis(100);
/// Time after which they are given up: by then the caller has sent its packet again, which asks
/// anew.
const ASKED_FOR: Duration = Duration::from_millis(600);
/// Most flows remembered. At the bound a further one is forwarded without being remembered.
const MAX_FLOWS: usize = 262_144;
/// Time for which a new flow waits for an agent to open while there are targets of its service:
/// announcements are up to half a second old, and a caller tries for 1.4 s.
const WAIT_FOR: Duration = Duration::from_millis(400);
/// Most flows that wait for the list of agents. At the bound a further one is decided at once.
const MAX_HELD: usize = 16_384;
/// Time after which a flow that did not open, or that nobody holds, is forgotten.
const UNDECIDED_FOR: Duration = Duration::from_secs(2);
/// Interval of removing expired flows.
const EXPIRE_EVERY: Duration = Duration::from_secs(1);

/// What a balancer needs from the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Frame address of this balancer.
    pub frame_address: SocketAddrV4,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Idle time after which a flow is forgotten while no configuration names one.
    pub flow_ttl: Duration,
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
    info: PacketInfo,
    /// Agents that the packet was sent to first.
    tried: BTreeSet<SocketAddrV4>,
    /// Agents that did not take it.
    refused: BTreeSet<SocketAddrV4>,
    /// Agents that were asked last.
    asked: Vec<SocketAddrV4>,
    /// When the first packet came.
    since: Instant,
    /// Agents whose targets offered to take the flow, with the offers.
    offers: Vec<(SocketAddrV4, u32)>,
    /// Number of the last copy.
    copy: u32,
    /// Every copy so far came here, so that the flow cannot have opened through another balancer.
    whole: bool,
    at: Instant,
}

/// Flows of one balancer.
#[derive(Debug)]
pub struct Balancer {
    settings: Settings,
    flows: BTreeMap<FlowKey, Flow>,
    targets: BTreeMap<SocketAddrV4, TargetView>,
    /// Agents that were listed lately.
    recent: BTreeMap<SocketAddrV4, Recent>,
    catalogue: Option<Arc<Catalogue>>,
    /// Services that each route has led to since the start, because open flows stay there.
    former: BTreeMap<SocketAddrV4, BTreeSet<ServiceTag>>,
    evacuations: BTreeSet<DataCentreId>,
    versions: Versions,
    config_checked: bool,
    awaited: VecDeque<(Instant, FlowKey)>,
    questions: VecDeque<(Instant, FlowKey)>,
    /// Questions that were not sent yet.
    asks: Asks,
    /// Flows that wait for a change of the list of agents, with the end of their wait.
    held: VecDeque<(Instant, FlowKey)>,
    /// Since when the list of agents has been followed without a pause.
    followed_since: Instant,
    /// When an agent was last listed for the first time.
    last_grown: Instant,
    /// Some process has run for longer than this one.
    joined: bool,
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
            evacuations: BTreeSet::new(),
            versions: Versions::default(),
            config_checked: false,
            awaited: VecDeque::new(),
            questions: VecDeque::new(),
            asks: Asks::new(now),
            held: VecDeque::new(),
            followed_since: now,
            last_grown: now,
            joined: true,
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
    pub fn set_evacuations(
        &mut self,
        evacuations: &Evacuations,
        number: impl Fn(&str) -> Option<DataCentreId>,
    ) {
        if evacuations.version >= self.versions.evacuations {
            self.versions.evacuations = evacuations.version;
            self.evacuations = evacuations
                .data_centres
                .iter()
                .filter_map(|name| number(name))
                .collect();
        }
    }

    /// The configuration in force was compared with the store or with peers.
    pub fn set_config_checked(&mut self) {
        self.config_checked = true;
    }

    /// The process was suspended, so that its configuration and list of agents may be old.
    pub fn resume(&mut self, now: Instant) {
        self.config_checked = false;
        self.set_list_incomplete(now);
    }

    /// Tells whether some process has run for longer than this one. Its agents announce themselves
    /// to others and are heard of later than agents that start together with this process.
    pub fn set_joined(&mut self, joined: bool) {
        self.joined = joined;
    }

    /// The list of agents may be incomplete, because no other process was reached.
    pub fn set_list_incomplete(&mut self, now: Instant) {
        self.followed_since = now;
    }

    /// Versions in force.
    pub fn versions(&self) -> Versions {
        self.versions
    }

    /// Whether new flows can be routed by a checked configuration.
    pub fn is_ready(&self) -> bool {
        self.config_checked && self.catalogue.is_some()
    }

    /// Flows remembered.
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Handles a packet of a caller.
    pub fn handle_caller_packet(
        &mut self,
        now: Instant,
        packet: Bytes,
        info: &PacketInfo,
    ) -> Vec<Action> {
        let mut out = Vec::new();
        match info.kind {
            PacketKind::Open { copy } => self.open(now, packet, info, copy, &mut out),
            _ => self.data(now, packet, info, &mut out),
        }
        self.asks.send_due(now, &mut out);
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
        if self.held.front().is_some_and(|&(end, _)| now >= end) {
            out.extend(self.release(now));
        }
        self.asks.send_due(now, &mut out);
        out
    }

    /// Decides on the flows that waited for the list of agents; some may go on waiting.
    fn release(&mut self, now: Instant) -> Vec<Action> {
        let mut out = Vec::new();
        for (_, key) in std::mem::take(&mut self.held) {
            match self.flows.get(&key).cloned() {
                Some(Flow::Opening(opening)) if opening.asked.is_empty() => {
                    self.place(now, key, opening, &mut out);
                }
                Some(Flow::Asking(lookup)) if lookup.is_answered() => {
                    self.ask(now, key, lookup, &mut out);
                }
                _ => {}
            }
        }
        out
    }

    /// Keeps a flow until the list of agents changes, at most until `end`. Returns whether it waits.
    fn hold(&mut self, now: Instant, key: FlowKey, end: Instant) -> bool {
        let waits = now < end && self.held.len() < MAX_HELD;
        if waits {
            let at = self.held.partition_point(|&(other, _)| other <= end);
            self.held.insert(at, (end, key));
        }
        waits
    }

    /// Until when a new flow may wait: for the list of agents, or for a target of its service that
    /// takes no flows at present.
    fn wait_end(&self, opening: &Opening) -> Instant {
        let serves = |target: &TargetView| {
            target.service == opening.service.service_id() && target.presence != Presence::Ended
        };
        let complete = self.list_complete_at();
        if self.targets.values().any(serves) {
            complete.max(opening.since + WAIT_FOR)
        } else {
            complete
        }
    }

    /// When the next tick is due.
    pub fn next_tick(&self) -> Instant {
        let awaited = self.awaited.front().map(|&(at, _)| at + TAKEN_WITHIN);
        let questions = self.questions.front().map(|&(at, _)| at + ANSWERED_WITHIN);
        let held = self.held.front().map(|&(end, _)| end);
        let due = [awaited, questions, held, self.asks.due()];
        let due = due.into_iter().flatten().min();
        due.map_or(self.expire, |at| at.min(self.expire))
    }

    fn forget(&mut self, now: Instant) {
        let idle = self.catalogue.as_ref().map(|c| c.idle_timeout);
        let idle = idle.unwrap_or(self.settings.flow_ttl);
        self.flows.retain(|_, flow| match flow {
            Flow::Opening(opening) => now.since(opening.at) < UNDECIDED_FOR,
            Flow::Held { used, .. } => now.since(*used) <= idle,
            Flow::Asking(lookup) | Flow::Trying(lookup) => now.since(lookup.at) < UNDECIDED_FOR,
        });
    }

    fn remember(&mut self, key: FlowKey, flow: Flow) {
        if self.flows.len() < MAX_FLOWS || self.flows.contains_key(&key) {
            self.flows.insert(key, flow);
        }
    }
}
