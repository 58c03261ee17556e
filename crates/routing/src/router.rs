//! Routing decisions of a balancer.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

use monsoon_model::{DataCentreId, Duration, Instant, ServiceId};

use crate::chain;
use crate::dead_agents::{DeadAgents, RESET_DELAY};
use crate::history::History;
use crate::packet::{Destination, PacketKind};
use crate::route::{Counters, DropReason, Route};
use crate::table::{Candidate, Endpoint, Table, bucket_of};

/// Time for which packets of established flows still go to a data centre that was taken out, so
/// that the closes of its agents are not overtaken by resets.
pub const EVACUATION_GRACE: Duration = Duration::from_secs(1);

/// Age below which a router gives no such time. A new process learns of data centres that were taken
/// out long ago, and its own learning says nothing about when that was.
pub const GRACE_MIN_AGE: Duration = Duration::from_secs(5);

/// Most services; updates for further ones are ignored and counted.
pub const MAX_SERVICES: usize = 1_024;

/// Tables of one service.
#[derive(Debug)]
struct Service {
    candidates: Vec<Candidate>,
    table: Table,
    history: History,
}

/// Tables of all services, data centres taken out, and recently dead agents.
#[derive(Debug, Default)]
pub struct Router {
    services: BTreeMap<ServiceId, Service>,
    /// First update of tables or of the set of data centres that are out.
    started: Option<Instant>,
    /// Data centres that are out, and when their time of grace ends.
    evacuations: BTreeMap<DataCentreId, Instant>,
    dead_agents: DeadAgents,
    counters: Counters,
}

impl Router {
    /// Router without services.
    ///
    /// A new balancer has no history of replaced candidates. It feeds its router for
    /// [`crate::PREVIOUS_TTL`] before it takes packets; otherwise packets of handshakes that are
    /// in progress can reach a second agent.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the candidates of a service.
    ///
    /// Candidates in data centres that are out are kept and used when the data centre returns.
    pub fn update(
        &mut self,
        now: Instant,
        service: ServiceId,
        candidates: impl IntoIterator<Item = Candidate>,
    ) {
        self.started.get_or_insert(now);
        if self.services.len() >= MAX_SERVICES && !self.services.contains_key(&service) {
            self.counters.refused_services += 1;
            return;
        }
        let entry = self.services.entry(service).or_insert_with(|| Service {
            candidates: Vec::new(),
            table: Table::empty(),
            history: History::default(),
        });
        entry.candidates = candidates.into_iter().collect();
        entry.refresh(now, &self.evacuations, &mut self.counters);
    }

    /// Forgets a service that is no longer configured.
    pub fn remove(&mut self, service: ServiceId) {
        self.services.remove(&service);
    }

    /// Replaces the set of data centres that are out.
    pub fn set_evacuations(&mut self, now: Instant, evacuations: BTreeSet<DataCentreId>) {
        let started = *self.started.get_or_insert(now);
        let grace = if now.since(started) < GRACE_MIN_AGE {
            Duration::ZERO
        } else {
            EVACUATION_GRACE
        };
        let end = |id: DataCentreId| self.evacuations.get(&id).copied().unwrap_or(now + grace);
        let evacuations = evacuations.into_iter().map(|id| (id, end(id))).collect();
        if self.evacuations == evacuations {
            return;
        }
        self.evacuations = evacuations;
        for service in self.services.values_mut() {
            service.refresh(now, &self.evacuations, &mut self.counters);
        }
    }

    /// Records that an agent was declared dead.
    ///
    /// No chain contains its address until [`Router::mark_alive`] or [`crate::DEAD_AGENT_TTL`] later, even
    /// when it is still among the candidates. Its established flows, told by the epoch, are answered
    /// with resets after [`RESET_DELAY`].
    pub fn mark_dead(&mut self, now: Instant, agent: SocketAddrV4, epoch: u8) {
        self.insert_dead(now, agent, epoch, now + RESET_DELAY);
    }

    /// Records that an agent has left by its own announcement: resets begin at once.
    pub fn mark_left(&mut self, now: Instant, agent: SocketAddrV4, epoch: u8) {
        self.insert_dead(now, agent, epoch, now);
    }

    fn insert_dead(&mut self, now: Instant, agent: SocketAddrV4, epoch: u8, reset: Instant) {
        let evicted = self.dead_agents.insert(now, agent, epoch, reset);
        self.counters.evicted_dead += u64::from(evicted);
    }

    /// Records that the agent of this epoch runs at an address.
    pub fn mark_alive(&mut self, agent: SocketAddrV4, epoch: u8) {
        self.dead_agents.remove(agent, epoch);
    }

    /// Events since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Decides about a packet that was sent to an address of `service`.
    pub fn route(&mut self, now: Instant, service: ServiceId, kind: PacketKind) -> Route {
        let route = match kind {
            PacketKind::Established(destination) => self.established(now, service, destination),
            PacketKind::New { key } => self.new_flow(now, service, key),
            PacketKind::Unverified => Route::Drop(DropReason::Unverified),
        };
        self.counters.count(&route);
        route
    }

    fn established(&self, now: Instant, service: ServiceId, destination: Destination) -> Route {
        if destination.service != service {
            return Route::Drop(DropReason::OtherService);
        }
        let grace_end = self.evacuations.get(&destination.data_centre);
        let is_evacuated = grace_end.is_some_and(|end| now >= *end);
        if is_evacuated
            || self
                .dead_agents
                .resets(now, destination.agent, destination.epoch)
        {
            return Route::Reset;
        }
        Route::Established(destination.agent)
    }

    fn new_flow(&self, now: Instant, service: ServiceId, key: u64) -> Route {
        let Some(service) = self.services.get(&service) else {
            return Route::Drop(DropReason::UnknownService);
        };
        let bucket = bucket_of(key);
        let usable = |endpoint: &Endpoint| {
            !self.evacuations.contains_key(&endpoint.data_centre)
                && !self.dead_agents.contains(now, endpoint.agent)
        };
        let current = service.table.ranked(bucket).filter(usable);
        let previous = service.history.previous(now, bucket).filter(usable);
        let chain = chain::build(previous, current);
        if chain.is_empty() {
            return Route::Drop(DropReason::NoTarget);
        }
        Route::New(chain)
    }
}

impl Service {
    /// Brings the table in line with the candidates outside the data centres that are out.
    fn refresh(
        &mut self,
        now: Instant,
        evacuations: &BTreeMap<DataCentreId, Instant>,
        counters: &mut Counters,
    ) {
        let ready = self
            .candidates
            .iter()
            .filter(|entry| !evacuations.contains_key(&entry.data_centre));
        let changes = self.table.update(ready.copied());
        counters.refused_targets += changes.ignored as u64;
        counters.evicted_past += self.history.push(now, changes) as u64;
    }
}
