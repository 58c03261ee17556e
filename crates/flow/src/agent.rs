//! State machine of an agent, which owns the flows of one target on the same instance.
//!
//! The agent takes or passes on opening packets, keeps the table of its target's flows and answers
//! the lookups of balancers. It judges the target by heartbeats and by how requests end.

mod admission;
mod flows;
mod inbound;
mod outbound;
mod places;
mod speed;
mod stats;

use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::sync::Arc;

use monsoon_model::{Duration, Instant, Number, Version, Versions};

use crate::health::Health;
use crate::target_state::{Heartbeat, TargetLimits, TargetState};
use crate::{Action, Catalogue, Evacuations, FlowKey, Presence, Reason, ServiceTag};
use admission::{Admission, PendingRequest};
use flows::{Flow, Flows};
use inbound::pass_on;
use speed::Speed;
pub use stats::{AdmissionStats, AgentStats};

/// Time within which a live target answers an opening packet. A handshake takes it less than a
/// millisecond, even when all slots are busy.
const OFFER_TIMEOUT: Duration = Duration::from_millis(50);
/// Limit of opening packets whose answer is awaited. At the limit the oldest is no longer watched.
const MAX_PENDING_OPENS: usize = 4_096;
/// Interval of removing expired flows.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);
/// Age up to which a target cannot have flows of a former agent process, because an agent takes
/// longer than this to restart.
const MAX_NEW_AGE: Duration = Duration::from_millis(300);
/// Time within which the first heartbeat arrives when target and agent start together.
const FIRST_HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(150);
/// Limit of heartbeats that a target younger than [`MAX_NEW_AGE`] has sent, including those that no
/// agent received.
const MAX_NEW_HEARTBEATS: u64 = 6;

/// Settings of an agent.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Address at which this agent receives frames.
    pub frame_address: SocketAddrV4,
    /// Name of the agent's data centre.
    pub data_centre: String,
    /// Address at which the target receives packets.
    pub target: SocketAddrV4,
    /// Service of the target until its first heartbeat names one.
    pub service: ServiceTag,
    /// Limits of the target.
    pub limits: TargetLimits,
    /// Age at which a flow may be forgotten even if it is in use. Also the idle timeout while no
    /// catalogue is known.
    pub flow_ttl: Duration,
    /// Whether no target ran before this process, as at the first start of a deployment.
    pub first_start: bool,
}

/// Number of flows that hold a place, as kept and as counted from the flow table.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlaceCounts {
    /// Flows with a place, as kept.
    pub in_flight: usize,
    /// Requests at the target, as kept.
    pub running: usize,
    /// Flows with a place in the table.
    pub counted_in_flight: usize,
    /// Requests at the target in the table.
    pub counted_running: usize,
    /// Opening packets in the wait queue.
    pub waiting: usize,
    /// Flows of these packets.
    pub waiting_keys: usize,
}

/// Fields of a lifetime's first heartbeat that tell the age of the target.
#[derive(Clone, Copy, Debug)]
struct FirstHeartbeat {
    sequence: u64,
    cold_left: Duration,
}

/// State machine that owns the flows of one target.
#[derive(Debug)]
pub struct Agent {
    settings: Settings,
    target_state: TargetState,
    health: Health,
    flows: Flows,
    catalogue: Option<Arc<Catalogue>>,
    is_evacuated: bool,
    versions: Versions,
    /// Largest number of a configuration that any balancer used for a decision.
    newest_config: Number,
    /// Whether the configuration was checked since the start or the last suspension.
    config_checked: bool,
    /// When this process started.
    started_at: Instant,
    /// Whether the target may have open flows from before the start of this process.
    has_unknown: bool,
    /// First heartbeat that was received of the present lifetime.
    first_heartbeat: Option<FirstHeartbeat>,
    /// Opening packets that the target has not answered, with the times of their delivery.
    pending_opens: VecDeque<(Instant, FlowKey)>,
    /// Flows whose first request is awaited, in order of their offers.
    pending_requests: VecDeque<PendingRequest>,
    admission: Admission,
    next_expiry: Instant,
}

impl Agent {
    /// Creates an agent that knows neither its target nor the configuration.
    pub fn new(now: Instant, settings: Settings) -> Self {
        Self {
            target_state: TargetState::new(settings.limits),
            health: Health::new(now),
            has_unknown: !settings.first_start,
            settings,
            first_heartbeat: None,
            flows: Flows::default(),
            catalogue: None,
            is_evacuated: false,
            versions: Versions::default(),
            newest_config: Version::NONE.number(),
            config_checked: false,
            started_at: now,
            pending_opens: VecDeque::new(),
            pending_requests: VecDeque::new(),
            admission: Admission::default(),
            next_expiry: now + EXPIRY_INTERVAL,
        }
    }

    /// Applies changed settings.
    pub fn configure(&mut self, settings: Settings) {
        self.target_state.set_limits(settings.limits);
        self.settings = settings;
    }

    /// Sets the number of the period of [`monsoon_admission::Shedding`], by the time of day.
    pub fn set_shedding_period(&mut self, period: u64) {
        self.admission.shedding.set_period(period);
    }

    /// Applies a catalogue. One older than the present is ignored.
    pub fn set_catalogue(&mut self, catalogue: Arc<Catalogue>) {
        if catalogue.version >= self.versions.document {
            self.recheck_waiting();
            self.versions.document = catalogue.version;
            self.catalogue = Some(catalogue);
        }
    }

    /// Applies the evacuations. A set older than the present is ignored. When the agent's own data
    /// centre returns, its target counts as cold until the next heartbeat.
    pub fn set_evacuations(&mut self, now: Instant, evacuations: &Evacuations) {
        if evacuations.version < self.versions.evacuations {
            return;
        }
        self.recheck_waiting();
        self.versions.evacuations = evacuations.version;
        let is_evacuated = evacuations
            .data_centres
            .contains(&self.settings.data_centre);
        if self.is_evacuated && !is_evacuated {
            self.target_state.assume_cold(now);
            self.restart_pace(now);
        }
        self.is_evacuated = is_evacuated;
    }

    /// Records that the configuration was compared with the store or with peers.
    pub fn set_config_checked(&mut self) {
        self.config_checked = true;
    }

    /// Handles the resume after a suspension: the last heartbeat and the check of the configuration
    /// no longer count, so that no new flow is taken until both are renewed.
    pub fn resume(&mut self) {
        self.config_checked = false;
        self.target_state.expire_heartbeat();
        self.recheck_waiting();
    }

    /// Handles a heartbeat of the target. Returns what changed, for the log.
    pub fn receive_heartbeat(
        &mut self,
        now: Instant,
        heartbeat: Heartbeat,
    ) -> Option<&'static str> {
        if !self.is_of_target(&heartbeat) {
            return Some("not of this target");
        }
        self.recheck_waiting();
        let readiness = heartbeat.readiness;
        let before = self
            .target_state
            .last_heartbeat()
            .map(|heartbeat| heartbeat.readiness);
        let is_first = self.target_state.lifetimes() == 0;
        let (sequence, cold_left, service) =
            (heartbeat.sequence, heartbeat.cold_left, heartbeat.service);
        let former_service = self.service();
        let last_received = self.target_state.heartbeat_at();
        match self.target_state.receive_heartbeat(now, heartbeat) {
            None => Some("ignored"),
            Some(true) => {
                let first = FirstHeartbeat {
                    sequence,
                    cold_left,
                };
                self.first_heartbeat = Some(first);
                // After a restart, the heartbeat before may have been a late one of a former
                // lifetime, so that the present one may own flows from before the start.
                let may_be_older = self.has_unknown && !self.is_new_target(first);
                if !is_first && !may_be_older {
                    // The target started while this process ran, so this process knows all its
                    // flows.
                    self.has_unknown = false;
                    if service == former_service {
                        self.flows.end_before(last_received);
                    } else {
                        self.flows.end_all();
                    }
                    self.health = Health::new(now);
                }
                if !may_be_older {
                    self.restart_pace(now);
                }
                Some("started")
            }
            Some(false) => (before != Some(readiness)).then_some("changed"),
        }
    }

    /// Whether to probe the target's address: no heartbeat arrived since the start, heartbeats
    /// stopped, or the target did not answer an opening packet. After a restart the first probe is
    /// due at once, because a closed port proves that no flow of a former process is left.
    pub fn should_probe_target(&self, now: Instant) -> bool {
        if self.target_state.is_down() {
            return false;
        }
        match self.target_state.refusal_reason(now) {
            Some(Reason::NoHeartbeat) => {
                !self.settings.first_start || now.since(self.started_at) >= FIRST_HEARTBEAT_TIMEOUT
            }
            Some(Reason::Unresponsive) => true,
            _ => false,
        }
    }

    /// Records that nothing listens at the target's address, and ends all its flows.
    pub fn set_target_absent(&mut self) {
        self.has_unknown = false;
        self.target_state.set_absent();
        self.recheck_waiting();
        self.flows.end_all();
    }

    /// Whether a heartbeat can be from the target. Other processes may send heartbeats to this
    /// address too, and must not end the target's flows.
    fn is_of_target(&self, heartbeat: &Heartbeat) -> bool {
        let catalogue = self.catalogue.as_ref();
        let is_configured = catalogue.is_some_and(|c| c.services.contains_key(&heartbeat.service));
        let is_known = is_configured || heartbeat.service == self.settings.service;
        is_known && heartbeat.address == self.settings.target
    }

    /// Handles the message of the target `id` that it has ended. Returns whether it is the present
    /// target; if so, all flows end.
    pub fn set_target_ended(&mut self, id: &str) -> bool {
        let has_ended = self.target_state.set_ended(id);
        if has_ended {
            self.recheck_waiting();
            self.flows.end_all();
        }
        has_ended
    }

    /// Whether the target may have flows that this process does not know.
    fn may_have_unknown(&self) -> bool {
        self.has_unknown
            && !self
                .first_heartbeat
                .is_some_and(|first| self.is_new_target(first))
    }

    /// Whether the target had just started when it sent the first heartbeat received here.
    fn is_new_target(&self, first: FirstHeartbeat) -> bool {
        let catalogue = self.catalogue.as_ref();
        let service = catalogue.and_then(|c| c.services.get(&self.service()));
        let cold_duration = service.map_or(Duration::ZERO, |service| service.cold_duration);
        let is_cold = cold_duration > MAX_NEW_AGE && first.cold_left + MAX_NEW_AGE >= cold_duration;
        first.sequence <= 1 || (first.sequence <= MAX_NEW_HEARTBEATS && is_cold)
    }

    /// Whether the target is present. It counts as ended only when it said so or its port was
    /// closed: missing heartbeats may also have been lost while this process was suspended.
    pub fn presence(&self) -> Presence {
        match self.target_state.lifetimes() {
            _ if self.target_state.is_down() => Presence::Ended,
            0 => Presence::Unknown,
            _ => Presence::Present,
        }
    }

    /// State of the target as known from its heartbeats.
    pub fn target_state(&self) -> &TargetState {
        &self.target_state
    }

    /// Service of the last heartbeat, or that of the settings before the first one.
    pub fn service(&self) -> ServiceTag {
        let heartbeat = self
            .target_state
            .last_heartbeat()
            .map(|heartbeat| heartbeat.service);
        heartbeat.unwrap_or(self.settings.service)
    }

    /// Versions of the configuration in force.
    pub fn versions(&self) -> Versions {
        self.versions
    }

    /// Why the target gets no new flow regardless of its load; `None` when it may get one.
    pub fn refusal_reason(&self, now: Instant) -> Option<Reason> {
        if self.is_evacuated {
            return Some(Reason::Evacuated);
        }
        if !self.config_checked {
            return Some(Reason::ConfigUnchecked);
        }
        self.target_state.refusal_reason(now)
    }

    /// Counts that must agree with the flow table, for tests.
    #[doc(hidden)]
    pub fn place_counts(&self) -> PlaceCounts {
        let (in_flight, running) = self.flows.counted();
        PlaceCounts {
            in_flight: self.flows.in_flight(),
            running: self.flows.running(),
            counted_in_flight: in_flight,
            counted_running: running,
            waiting: self.admission.queue.len(),
            waiting_keys: self.admission.sequences.len(),
        }
    }

    /// Passes on opening packets that the target did not answer, and removes expired flows.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(&(at, key)) = self.pending_opens.front() {
            if now.since(at) < OFFER_TIMEOUT {
                break;
            }
            self.pending_opens.pop_front();
            self.offer_timed_out(now, at, key, &mut actions);
        }
        if now >= self.next_expiry {
            self.next_expiry = now + EXPIRY_INTERVAL;
            let idle = self.catalogue.as_ref().map(|c| c.idle_timeout);
            let idle = idle.unwrap_or(self.settings.flow_ttl);
            let overdue_after = self.health.overdue_after();
            for _ in 0..self.flows.expire(now, idle, overdue_after) {
                self.health.failed(now);
                let sent_at = Instant::ZERO + now.since(Instant::ZERO + overdue_after);
                self.admission.pace.failed(now, sent_at);
            }
            if now.since(self.started_at) > self.settings.flow_ttl {
                self.has_unknown = false;
            }
        }
        self.expire_pending_requests(now);
        self.start_waiting(now, &mut actions);
        actions
    }

    /// When [`tick`](Self::tick) is due next.
    pub fn next_tick(&self) -> Instant {
        let pending_opens = self
            .pending_opens
            .front()
            .map(|&(at, _)| at + OFFER_TIMEOUT);
        let due = [pending_opens, self.next_admission()];
        let due = due.into_iter().flatten().min();
        due.map_or(self.next_expiry, |at| at.min(self.next_expiry))
    }

    /// Percent of the slots in use; above 100 when requests are queued.
    fn load(&self) -> u16 {
        let load = self.flows.in_flight() * 100 / usize::from(self.slots());
        u16::try_from(load).unwrap_or(u16::MAX)
    }

    /// Weight of the target in the ranking of balancers: [`WEIGHT_PER_SLOT`](crate::WEIGHT_PER_SLOT)
    /// for each slot, times the learned speed if a route to its service states a demand.
    pub fn weight(&self) -> u16 {
        let speed = if self.has_demand() {
            self.admission.speed
        } else {
            Speed::default()
        };
        speed.weight(self.slots())
    }

    fn slots(&self) -> u16 {
        self.target_state
            .last_heartbeat()
            .map_or(1, |heartbeat| heartbeat.slots.max(1))
    }

    fn await_offer(&mut self, now: Instant, key: FlowKey) {
        if self.pending_opens.len() >= MAX_PENDING_OPENS {
            self.pending_opens.pop_front();
        }
        self.pending_opens.push_back((now, key));
    }

    /// Handles that the target did not answer the opening packet that was delivered at `at`. The
    /// flow may have been taken again since.
    fn offer_timed_out(
        &mut self,
        now: Instant,
        at: Instant,
        key: FlowKey,
        actions: &mut Vec<Action>,
    ) {
        if let Some(Flow::Opening(opening)) = self.flows.get(key)
            && opening.offer.is_none()
            && opening.delivered_at == at
        {
            let (open, packet) = (opening.open.clone(), opening.packet.clone());
            self.flows.remove(key);
            if self.target_state.refusal_reason(now) != Some(Reason::Unresponsive) {
                self.restart_pace(now);
            }
            self.target_state.set_unresponsive(now);
            pass_on(key, open, packet, Reason::Unresponsive, actions);
        }
    }
}
