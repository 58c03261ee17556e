//! Router of a balancer: tables of all services, evacuated data centres and dead agents.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

use monsoon_model::{DataCentreId, Duration, Instant, ServiceId};

use crate::chain;
use crate::dead::{DeadAgents, RESET_DELAY};
use crate::history::History;
use crate::packet::{Destination, PacketKind};
use crate::route::{Counters, DropReason, Route};
use crate::table::{Candidate, Endpoint, Table, bucket_of};

/// Time for which packets of established flows still go to an evacuated data centre, so that resets
/// do not reach callers before the connection closes of its agents.
pub const EVACUATION_GRACE: Duration = Duration::from_secs(1);

/// Age of a router below which an evacuation takes effect without [`EVACUATION_GRACE`]. A new
/// process cannot tell when an evacuation began that it has just learned of.
pub const GRACE_MIN_AGE: Duration = Duration::from_secs(5);

/// Maximum number of services. Updates of further ones are ignored and counted.
pub const MAX_SERVICES: usize = 1_024;

/// Candidates, table and history of one service.
#[derive(Debug)]
struct Service {
    candidates: Vec<Candidate>,
    table: Table,
    history: History,
}

/// Routes packets by the tables of all services, the evacuated data centres and the dead agents.
#[derive(Debug, Default)]
pub struct Router {
    services: BTreeMap<ServiceId, Service>,
    /// Time of the first update of candidates or evacuations.
    started_at: Option<Instant>,
    /// Evacuated data centres, with the end of their grace period.
    evacuations: BTreeMap<DataCentreId, Instant>,
    dead_agents: DeadAgents,
    counters: Counters,
}

impl Router {
    /// Creates a router without services.
    ///
    /// A new router has no history of previous candidates. The balancer must update it for
    /// [`crate::PREVIOUS_TTL`] before it receives packets. Otherwise packets of handshakes in
    /// progress can reach a second agent.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the candidates of a service.
    ///
    /// Candidates in evacuated data centres are kept, and used when the evacuation ends.
    pub fn update(
        &mut self,
        now: Instant,
        service: ServiceId,
        candidates: impl IntoIterator<Item = Candidate>,
    ) {
        self.started_at.get_or_insert(now);
        if self.services.len() >= MAX_SERVICES && !self.services.contains_key(&service) {
            self.counters.refused_services += 1;
            return;
        }
        let state = self.services.entry(service).or_insert_with(|| Service {
            candidates: Vec::new(),
            table: Table::empty(),
            history: History::default(),
        });
        state.candidates = candidates.into_iter().collect();
        state.update_table(now, &self.evacuations, &mut self.counters);
    }

    /// Removes a service that is no longer configured.
    pub fn remove(&mut self, service: ServiceId) {
        self.services.remove(&service);
    }

    /// Replaces the set of evacuated data centres.
    pub fn set_evacuations(&mut self, now: Instant, evacuations: BTreeSet<DataCentreId>) {
        let started_at = *self.started_at.get_or_insert(now);
        let grace = if now.since(started_at) < GRACE_MIN_AGE {
            Duration::ZERO
        } else {
            EVACUATION_GRACE
        };
        let grace_end =
            |id: DataCentreId| self.evacuations.get(&id).copied().unwrap_or(now + grace);
        let evacuations = evacuations
            .into_iter()
            .map(|id| (id, grace_end(id)))
            .collect();
        if self.evacuations == evacuations {
            return;
        }
        self.evacuations = evacuations;
        for service in self.services.values_mut() {
            service.update_table(now, &self.evacuations, &mut self.counters);
        }
    }

    /// Records that an agent was declared dead.
    ///
    /// Chains omit its address until [`Router::mark_alive`] or until [`crate::DEAD_AGENT_TTL`] has
    /// passed, even if it is still a candidate. Packets of its established flows, identified by the
    /// epoch, are answered with resets after [`RESET_DELAY`].
    pub fn mark_dead(&mut self, now: Instant, agent: SocketAddrV4, epoch: u8) {
        self.insert_dead(now, agent, epoch, now + RESET_DELAY);
    }

    /// Records that an agent announced that it left. Like [`Router::mark_dead`], but resets begin
    /// at once.
    pub fn mark_left(&mut self, now: Instant, agent: SocketAddrV4, epoch: u8) {
        self.insert_dead(now, agent, epoch, now);
    }

    fn insert_dead(&mut self, now: Instant, agent: SocketAddrV4, epoch: u8, reset_at: Instant) {
        let evicted = self.dead_agents.insert(now, agent, epoch, reset_at);
        self.counters.evicted_dead += u64::from(evicted);
    }

    /// Records that the agent with this epoch is alive at this address.
    pub fn mark_alive(&mut self, agent: SocketAddrV4, epoch: u8) {
        self.dead_agents.remove(agent, epoch);
    }

    /// Returns the event counts since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Decides about a packet that arrived at the address of `service`.
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
    /// Updates the table to the candidates outside evacuated data centres.
    fn update_table(
        &mut self,
        now: Instant,
        evacuations: &BTreeMap<DataCentreId, Instant>,
        counters: &mut Counters,
    ) {
        let candidates = self
            .candidates
            .iter()
            .filter(|candidate| !evacuations.contains_key(&candidate.data_centre));
        let changes = self.table.update(candidates.copied());
        counters.refused_targets += changes.ignored as u64;
        counters.evicted_past += self.history.push(now, changes) as u64;
    }
}
