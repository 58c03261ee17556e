//! State machine of a balancer, which places new flows and forwards packets of open flows to their
//! owners.

mod data;
mod explain;
mod frames;
mod open;
mod query_batches;
mod targets;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddrV4;
use std::sync::Arc;

use bytes::Bytes;
use monsoon_model::{DataCentreId, Duration, Instant, Versions};

use crate::lookup::Lookup;
use crate::{Action, Catalogue, Evacuations, FlowKey, PacketInfo, PacketKind, ServiceTag};
pub use explain::{Candidate, Decision, DropReason, Explanation, RankReason, ResetReason};
use query_batches::QueryBatches;
use targets::RecentAgent;
pub use targets::{Presence, TargetView};

/// Time after which agents are suspected if an opening packet that they were sent brought neither
/// an offer nor a refusal. It covers several round trips between data centres and ends before the
/// caller's first retransmission.
const OFFER_TIMEOUT: Duration = Duration::from_millis(90);
/// Time after which agents that did not reply to a query are asked again.
const REPLY_TIMEOUT: Duration = Duration::from_millis(100);
/// Time after which a lookup is given up. By then the caller has retransmitted its packet, which
/// starts another lookup.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(600);
/// Limit of the flow table. At the limit, packets of further flows are forwarded without an entry.
const MAX_FLOWS: usize = 262_144;
/// Time for which a new flow waits for an agent that takes flows while its service has targets.
/// Announcements are up to half a second old, and a caller retries for 1.4 s.
const MAX_OPEN_WAIT: Duration = Duration::from_millis(400);
/// Least time between two attempts of a flow that waits after a refusal by all agents: a target that
/// returned a packet takes no other for 50 ms. Without the interval, a packet that 8 agents refused
/// was sent to them 320 times in 400 ms while their list changed every 10 ms.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Limit of flows that wait for the list of agents. At the limit, a further flow is decided at
/// once.
const MAX_WAITING: usize = 16_384;
/// Time after which a flow that did not open or has no known owner is forgotten.
const UNDECIDED_TTL: Duration = Duration::from_secs(2);
/// Limit of remembered dropped routes. At the limit the first addresses are forgotten; their flows
/// count as flows of unknown routes.
const MAX_DROPPED_ROUTES: usize = 4_096;
/// Interval of removing expired flows.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// Settings of a balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Address at which this balancer receives frames.
    pub frame_address: SocketAddrV4,
    /// Data centre of this balancer.
    pub data_centre: DataCentreId,
    /// Idle timeout of flows while no catalogue is known.
    pub flow_ttl: Duration,
}

/// State of one flow.
#[derive(Clone, Debug)]
enum Flow {
    /// The flow is being placed.
    Opening(Opening),
    /// The owner is known.
    Owned {
        agent: SocketAddrV4,
        last_used: Instant,
    },
    /// Agents were asked for the owner.
    LookingUp(Lookup),
    /// Packets are sent to agents that cannot tell, until one of them is the owner.
    Probing(Lookup),
    /// The route is not in force, and never was here.
    UnknownRoute { since: Instant },
}

/// Flow that is being placed.
#[derive(Clone, Debug)]
struct Opening {
    service: ServiceTag,
    packet: Bytes,
    info: PacketInfo,
    /// First candidates of all attempts, to which the packet was sent directly.
    sent_to: BTreeSet<SocketAddrV4>,
    /// Candidates of attempts that were refused.
    refused_by: BTreeSet<SocketAddrV4>,
    /// Candidates of the last attempt; empty while the flow waits.
    last_candidates: Vec<SocketAddrV4>,
    /// When the first packet was received.
    received_at: Instant,
    /// Agents whose targets offered to take the flow, with the sequence numbers of the offers.
    offers: Vec<(SocketAddrV4, u32)>,
    /// Agent in whose wait queue the packet is.
    queued_at: Option<SocketAddrV4>,
    /// Attempts that were not refused. While there are any, the flow may open.
    open_attempts: u32,
    /// Attempts that ended because no candidate could answer in time.
    overloads: u32,
    /// Number of the last retransmission.
    copy: u32,
    /// Whether this balancer received every retransmission so far, so that the flow cannot have
    /// opened through another one.
    saw_all: bool,
    /// When the last attempt was made.
    placed_at: Instant,
}

/// State machine that places flows and caches their owners.
#[derive(Debug)]
pub struct Balancer {
    settings: Settings,
    flows: BTreeMap<FlowKey, Flow>,
    targets: BTreeMap<SocketAddrV4, TargetView>,
    /// Agents that are or recently were listed.
    recent_agents: BTreeMap<SocketAddrV4, RecentAgent>,
    catalogue: Option<Arc<Catalogue>>,
    /// Routes that were in force here until a later version dropped them.
    dropped_routes: BTreeSet<SocketAddrV4>,
    /// Services that each route has led to since the start. Open flows stay there.
    past_services: BTreeMap<SocketAddrV4, BTreeSet<ServiceTag>>,
    evacuations: BTreeSet<DataCentreId>,
    versions: Versions,
    config_checked: bool,
    /// Attempts to place a flow that await an offer, with their times.
    pending_opens: VecDeque<(Instant, FlowKey)>,
    /// Rounds of queries and probes that await replies, with their times.
    sent_lookups: VecDeque<(Instant, FlowKey)>,
    /// Queries that were not sent yet.
    batches: QueryBatches,
    /// Flows that wait for a change of the list of agents, ordered by their deadlines.
    waiting: VecDeque<(Instant, FlowKey)>,
    /// Since when the list of agents has been followed without interruption.
    followed_since: Instant,
    /// Whether this process joined a balancer that had followed the agents for longer.
    has_joined: bool,
    /// Agents that the registry named when it was read; `None` unless it was read since the list is
    /// followed, and named any.
    expected: Option<BTreeSet<SocketAddrV4>>,
    /// Agents that belong into the registry: those that it named or that were listed, until they are
    /// gone.
    registered: BTreeSet<SocketAddrV4>,
    next_expiry: Instant,
}

impl Balancer {
    /// Creates a balancer without configuration or targets.
    pub fn new(now: Instant, settings: Settings) -> Self {
        Self {
            settings,
            flows: BTreeMap::new(),
            targets: BTreeMap::new(),
            recent_agents: BTreeMap::new(),
            catalogue: None,
            dropped_routes: BTreeSet::new(),
            past_services: BTreeMap::new(),
            evacuations: BTreeSet::new(),
            versions: Versions::default(),
            config_checked: false,
            pending_opens: VecDeque::new(),
            sent_lookups: VecDeque::new(),
            batches: QueryBatches::new(now),
            waiting: VecDeque::new(),
            followed_since: now,
            has_joined: true,
            expected: None,
            registered: BTreeSet::new(),
            next_expiry: now + EXPIRY_INTERVAL,
        }
    }

    /// Applies a catalogue. One older than the present is ignored.
    pub fn set_catalogue(&mut self, catalogue: Arc<Catalogue>) {
        if catalogue.version < self.versions.document {
            return;
        }
        self.versions.document = catalogue.version;
        if let Some(former) = &self.catalogue {
            self.dropped_routes.extend(former.routes.keys());
        }
        self.dropped_routes
            .retain(|address| !catalogue.routes.contains_key(address));
        while self.dropped_routes.len() > MAX_DROPPED_ROUTES {
            self.dropped_routes.pop_first();
        }
        self.past_services
            .retain(|address, _| catalogue.routes.contains_key(address));
        for (&address, route) in &catalogue.routes {
            let services = self.past_services.entry(address).or_default();
            services.extend(route.shares.iter().map(|share| share.service));
        }
        self.catalogue = Some(catalogue);
    }

    /// Applies the evacuations, with `id_of` to look up data centres by name. A set older than the
    /// present is ignored.
    pub fn set_evacuations(
        &mut self,
        evacuations: &Evacuations,
        id_of: impl Fn(&str) -> Option<DataCentreId>,
    ) {
        if evacuations.version >= self.versions.evacuations {
            self.versions.evacuations = evacuations.version;
            self.evacuations = evacuations
                .data_centres
                .iter()
                .filter_map(|name| id_of(name))
                .collect();
        }
    }

    /// Records that the configuration was compared with the store or with peers.
    pub fn set_config_checked(&mut self) {
        self.config_checked = true;
    }

    /// Handles the resume after a suspension: the configuration and the list of agents may be
    /// outdated, so that no flow is placed until the configuration is checked again.
    pub fn resume(&mut self, now: Instant) {
        self.config_checked = false;
        self.set_list_incomplete(now);
    }

    /// Sets whether this process joined a balancer that had followed the agents for longer.
    pub fn set_joined(&mut self, has_joined: bool) {
        self.has_joined = has_joined;
    }

    /// Records that the list of agents may be incomplete, because no other process was reached.
    pub fn set_list_incomplete(&mut self, now: Instant) {
        self.followed_since = now;
        self.expected = None;
    }

    /// Versions of the configuration in force.
    pub fn versions(&self) -> Versions {
        self.versions
    }

    /// Whether new flows can be placed with a checked configuration.
    pub fn is_ready(&self) -> bool {
        self.config_checked && self.catalogue.is_some()
    }

    /// Number of flows in the table.
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
        let mut actions = Vec::new();
        match info.kind {
            PacketKind::Open { copy } => self.open(now, packet, info, copy, &mut actions),
            _ => self.forward_data(now, packet, info, &mut actions),
        }
        self.batches.send_due(now, &mut actions);
        actions
    }

    /// Handles expired timeouts, retries flows that wait, and removes expired flows.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(&(at, key)) = self.pending_opens.front() {
            if now.since(at) < OFFER_TIMEOUT {
                break;
            }
            self.pending_opens.pop_front();
            self.offer_timed_out(now, at, key, &mut actions);
        }
        while let Some(&(at, key)) = self.sent_lookups.front() {
            if now.since(at) < REPLY_TIMEOUT {
                break;
            }
            self.sent_lookups.pop_front();
            self.replies_timed_out(now, at, key, &mut actions);
        }
        if now >= self.next_expiry {
            self.next_expiry = now + EXPIRY_INTERVAL;
            self.remove_expired(now);
        }
        if self
            .waiting
            .front()
            .is_some_and(|&(deadline, _)| now >= deadline)
        {
            actions.extend(self.retry_waiting(now));
        }
        self.batches.send_due(now, &mut actions);
        actions
    }

    /// Decides again on the flows that wait for the list of agents; some may continue to wait.
    fn retry_waiting(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        for (deadline, key) in std::mem::take(&mut self.waiting) {
            match self.flows.get(&key).cloned() {
                Some(Flow::Opening(opening))
                    if opening.last_candidates.is_empty()
                        && !opening.sent_to.is_empty()
                        && now < deadline
                        && now.since(opening.placed_at) < RETRY_INTERVAL =>
                {
                    let retry_at = opening.placed_at + RETRY_INTERVAL;
                    self.add_waiting(deadline.min(retry_at), key);
                }
                Some(Flow::Opening(opening)) if opening.last_candidates.is_empty() => {
                    self.place(now, key, opening, &mut actions);
                }
                // With agents that cannot tell, a lookup waits although others have not replied.
                Some(Flow::LookingUp(lookup))
                    if lookup.is_answered() || !lookup.unknown.is_empty() =>
                {
                    self.send_queries(now, key, lookup, &mut actions);
                }
                _ => {}
            }
        }
        actions
    }

    /// Lets a flow wait until the list of agents changes, at most until `deadline`. Returns whether
    /// it waits.
    fn wait_for_list(&mut self, now: Instant, key: FlowKey, deadline: Instant) -> bool {
        let waits = self.may_wait(now, deadline);
        if waits {
            self.add_waiting(deadline, key);
        }
        waits
    }

    fn add_waiting(&mut self, deadline: Instant, key: FlowKey) {
        let at = self
            .waiting
            .partition_point(|&(other, _)| other <= deadline);
        self.waiting.insert(at, (deadline, key));
    }

    fn may_wait(&self, now: Instant, deadline: Instant) -> bool {
        now < deadline && self.waiting.len() < MAX_WAITING
    }

    /// Until when a new flow may wait: for a complete list of agents, or for a target of its
    /// service that takes no flows at present.
    fn wait_deadline(&self, service: ServiceTag, received_at: Instant) -> Instant {
        let serves = |target: &TargetView| {
            target.service == service.service_id() && target.presence != Presence::Ended
        };
        let complete_at = self.wait_for_agents_until();
        if self.targets.values().any(serves) {
            complete_at.max(received_at + MAX_OPEN_WAIT)
        } else {
            complete_at
        }
    }

    /// When [`tick`](Self::tick) is due next.
    pub fn next_tick(&self) -> Instant {
        let pending_opens = self
            .pending_opens
            .front()
            .map(|&(at, _)| at + OFFER_TIMEOUT);
        let sent_lookups = self.sent_lookups.front().map(|&(at, _)| at + REPLY_TIMEOUT);
        let waiting = self.waiting.front().map(|&(deadline, _)| deadline);
        let due = [pending_opens, sent_lookups, waiting, self.batches.due()];
        let due = due.into_iter().flatten().min();
        due.map_or(self.next_expiry, |at| at.min(self.next_expiry))
    }

    fn remove_expired(&mut self, now: Instant) {
        let idle = self.catalogue.as_ref().map(|c| c.idle_timeout);
        let idle = idle.unwrap_or(self.settings.flow_ttl);
        self.flows.retain(|_, flow| match flow {
            Flow::Opening(opening) => now.since(opening.placed_at) < UNDECIDED_TTL,
            Flow::Owned { last_used, .. } => now.since(*last_used) <= idle,
            Flow::UnknownRoute { since } => now.since(*since) < UNDECIDED_TTL,
            Flow::LookingUp(lookup) | Flow::Probing(lookup) => {
                now.since(lookup.last_sent) < UNDECIDED_TTL
            }
        });
    }

    fn insert_flow(&mut self, key: FlowKey, flow: Flow) {
        if self.flows.len() < MAX_FLOWS || self.flows.contains_key(&key) {
            self.flows.insert(key, flow);
        }
    }
}
