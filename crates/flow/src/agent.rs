//! State machine of an agent: the flows of the target beside it.

mod flows;
mod inbound;
mod outbound;

use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::sync::Arc;

use monsoon_model::{Duration, Instant, Versions};

use crate::health::Health;
use crate::target_state::{Heartbeat, TargetLimits, TargetState};
use crate::{Action, Catalogue, Evacuations, FlowKey, Presence, Reason, ServiceTag};
use flows::{Flow, Flows};
use inbound::pass;

/// Time within which a live target answers an opening packet. A handshake takes a target under a
/// millisecond, also when all its slots are busy.
const ANSWER_WITHIN: Duration = Duration::from_millis(50);
/// Most opening packets whose answer is awaited. At the bound the oldest is no longer watched.
const MAX_AWAITED: usize = 4_096;
/// Interval of removing expired flows.
const EXPIRE_EVERY: Duration = Duration::from_secs(1);
/// Age up to which a target has no flows from before this process: an agent takes longer to be
/// started again.
const NEW_WITHIN: Duration = Duration::from_millis(300);
/// Time after the start of the agent in which a target that starts with it is heard.
const FIRST_HEARTBEAT_WITHIN: Duration = Duration::from_millis(150);
/// Heartbeats that a target of that age has sent at most, those that met no agent included.
const MAX_NEW_HEARTBEATS: u64 = 6;

/// What an agent needs from the settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Frame address of this agent.
    pub frame_address: SocketAddrV4,
    /// Name of its data centre.
    pub data_centre: String,
    /// Where the target takes packets.
    pub target: SocketAddrV4,
    /// Service of the target, until it names its own.
    pub service: ServiceTag,
    /// Limits of the target.
    pub limits: TargetLimits,
    /// Age at which a flow may be forgotten, however busy it is.
    pub flow_ttl: Duration,
    /// No target lived before this process, as at the first start of a deployment.
    pub first_start: bool,
}

/// Figures of an agent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AgentStats {
    /// Requests that the target works on.
    pub in_flight: usize,
    /// Flows that are open or offered.
    pub flows: usize,
    /// Percent of the last requests that failed.
    pub failing_percent: u8,
    /// Concurrent requests of the target.
    pub slots: u16,
}

/// What the first heartbeat tells about the age of the target.
#[derive(Clone, Copy, Debug)]
struct FirstHeartbeat {
    sequence: u64,
    cold_left: Duration,
}

/// Flows of one target.
#[derive(Debug)]
pub struct Agent {
    settings: Settings,
    target_state: TargetState,
    health: Health,
    flows: Flows,
    catalogue: Option<Arc<Catalogue>>,
    is_evacuated: bool,
    versions: Versions,
    /// Newest versions that any balancer acted on.
    floor: Versions,
    /// The configuration was read since the start or the last suspension.
    config_checked: bool,
    /// Start of this process.
    started: Instant,
    /// Flows that opened before this process started may still be open at the target.
    unsure: bool,
    /// First heartbeat that was heard.
    first_heartbeat: Option<FirstHeartbeat>,
    awaited: VecDeque<(Instant, FlowKey)>,
    expire: Instant,
}

impl Agent {
    /// Agent that knows neither its target nor the configuration.
    pub fn new(now: Instant, settings: Settings) -> Self {
        Self {
            target_state: TargetState::new(settings.limits),
            health: Health::new(now),
            unsure: !settings.first_start,
            settings,
            first_heartbeat: None,
            flows: Flows::default(),
            catalogue: None,
            is_evacuated: false,
            versions: Versions::default(),
            floor: Versions::default(),
            config_checked: false,
            started: now,
            awaited: VecDeque::new(),
            expire: now + EXPIRE_EVERY,
        }
    }

    /// Takes changed settings.
    pub fn configure(&mut self, settings: Settings) {
        self.target_state.set_limits(settings.limits);
        self.settings = settings;
    }

    /// Takes a configuration. Older ones are ignored.
    pub fn set_catalogue(&mut self, catalogue: Arc<Catalogue>) {
        if catalogue.version >= self.versions.document {
            self.versions.document = catalogue.version;
            self.catalogue = Some(catalogue);
        }
    }

    /// Takes the data centres taken out. Older lists are ignored.
    pub fn set_evacuations(&mut self, now: Instant, evacuations: &Evacuations) {
        if evacuations.version < self.versions.evacuations {
            return;
        }
        self.versions.evacuations = evacuations.version;
        let out = evacuations
            .data_centres
            .contains(&self.settings.data_centre);
        if self.is_evacuated && !out {
            self.target_state.assume_cold(now);
        }
        self.is_evacuated = out;
    }

    /// The configuration in force was compared with the store or with peers.
    pub fn set_config_checked(&mut self) {
        self.config_checked = true;
    }

    /// The process was suspended: nothing it believes about its target or the configuration holds
    /// until it is confirmed.
    pub fn resume(&mut self) {
        self.config_checked = false;
        self.target_state.expire_heartbeat();
    }

    /// Takes a heartbeat of the target. Returns what changed, for the log.
    pub fn receive_heartbeat(
        &mut self,
        now: Instant,
        heartbeat: Heartbeat,
    ) -> Option<&'static str> {
        if !self.is_of_target(&heartbeat) {
            return Some("not of this target");
        }
        let readiness = heartbeat.readiness;
        let before = self.target_state.last_heartbeat().map(|a| a.readiness);
        let first = self.target_state.lifetimes() == 0;
        let (sequence, cold_left, service) =
            (heartbeat.sequence, heartbeat.cold_left, heartbeat.service);
        let former = self.service();
        let last = self.target_state.heartbeat_at();
        match self.target_state.receive_heartbeat(now, heartbeat) {
            None => Some("ignored"),
            Some(true) => {
                if first {
                    self.first_heartbeat = Some(FirstHeartbeat {
                        sequence,
                        cold_left,
                    });
                } else {
                    // A lifetime that follows another one began while this process ran.
                    self.unsure = false;
                    if service == former {
                        self.flows.end_before(last);
                    } else {
                        self.flows.end_all();
                    }
                    self.health = Health::new(now);
                }
                Some("started")
            }
            Some(false) => (before != Some(readiness)).then_some("changed"),
        }
    }

    /// Whether the target should be tried: it was not heard since the start, its heartbeats stopped,
    /// or it left an opening packet unanswered.
    pub fn should_probe_target(&self, now: Instant) -> bool {
        if self.target_state.is_down() {
            return false;
        }
        match self.target_state.refusal_reason(now) {
            Some(Reason::NoHeartbeat) => now.since(self.started) >= FIRST_HEARTBEAT_WITHIN,
            Some(Reason::Unresponsive) => true,
            _ => false,
        }
    }

    /// Nothing listens at the target's address: its lifetime is over, and all flows with it.
    pub fn set_target_absent(&mut self) {
        self.target_state.set_absent();
        self.flows.end_all();
    }

    /// Whether a heartbeat can be the target's. Others may write here too; they must not end the
    /// flows of the target.
    fn is_of_target(&self, heartbeat: &Heartbeat) -> bool {
        let catalogue = self.catalogue.as_ref();
        let named = catalogue.is_some_and(|c| c.services.contains_key(&heartbeat.service));
        let known = named || heartbeat.service == self.settings.service;
        known && heartbeat.address == self.settings.target
    }

    /// The target says that it has ended.
    pub fn set_target_ended(&mut self, id: &str) -> bool {
        let left = self.target_state.set_ended(id);
        if left {
            self.flows.end_all();
        }
        left
    }

    /// Whether the target may hold flows that this process does not know.
    fn is_unsure(&self) -> bool {
        self.unsure && !self.first_heartbeat.is_some_and(|first| self.is_new(first))
    }

    /// Whether the target had just started when it was first heard.
    fn is_new(&self, first: FirstHeartbeat) -> bool {
        let catalogue = self.catalogue.as_ref();
        let service = catalogue.and_then(|c| c.services.get(&self.service()));
        let whole = service.map_or(Duration::ZERO, |service| service.cold_time);
        let cold = whole > NEW_WITHIN && first.cold_left + NEW_WITHIN >= whole;
        first.sequence <= 1 || (first.sequence <= MAX_NEW_HEARTBEATS && cold)
    }

    /// Whether a target is there. One that was not heard for the time of a heartbeat lease is not.
    pub fn presence(&self, now: Instant) -> Presence {
        let silent = now.since(self.started) >= self.settings.limits.heartbeat_lease;
        match self.target_state.lifetimes() {
            _ if self.target_state.is_down() => Presence::Ended,
            0 if silent => Presence::Ended,
            0 => Presence::Unknown,
            _ => Presence::Present,
        }
    }

    /// State of the target.
    pub fn target_state(&self) -> &TargetState {
        &self.target_state
    }

    /// Service of the target.
    pub fn service(&self) -> ServiceTag {
        let heartbeat = self.target_state.last_heartbeat().map(|a| a.service);
        heartbeat.unwrap_or(self.settings.service)
    }

    /// Versions in force.
    pub fn versions(&self) -> Versions {
        self.versions
    }

    /// Why the target takes no new flow, apart from its load.
    pub fn refusal_reason(&self, now: Instant) -> Option<Reason> {
        if self.is_evacuated {
            return Some(Reason::Evacuated);
        }
        if !self.config_checked {
            return Some(Reason::ConfigUnchecked);
        }
        self.target_state.refusal_reason(now)
    }

    /// Figures for announcements and metrics.
    pub fn stats(&self, now: Instant) -> AgentStats {
        AgentStats {
            failing_percent: (self.health.rate(now) * 100.0) as u8,
            in_flight: self.flows.in_flight(),
            flows: self.flows.len(),
            slots: self.slots(),
        }
    }

    /// Passes on opening packets that the target left unanswered and forgets old flows.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let mut out = Vec::new();
        while let Some(&(at, key)) = self.awaited.front() {
            if now.since(at) < ANSWER_WITHIN {
                break;
            }
            self.awaited.pop_front();
            self.unanswered(now, key, &mut out);
        }
        if now >= self.expire {
            self.expire = now + EXPIRE_EVERY;
            let idle = self.catalogue.as_ref().map(|c| c.idle_timeout);
            let idle = idle.unwrap_or(self.settings.flow_ttl);
            for _ in 0..self.flows.expire(now, idle, self.health.overdue()) {
                self.health.failed(now);
            }
            if now.since(self.started) > self.settings.flow_ttl {
                self.unsure = false;
            }
        }
        out
    }

    /// When the next tick is due.
    pub fn next_tick(&self) -> Instant {
        let awaited = self.awaited.front().map(|&(at, _)| at + ANSWER_WITHIN);
        awaited.map_or(self.expire, |at| at.min(self.expire))
    }

    /// Percent of the slots in use, above 100 when requests wait.
    fn load(&self) -> u16 {
        let load = self.flows.in_flight() * 100 / usize::from(self.slots());
        u16::try_from(load).unwrap_or(u16::MAX)
    }

    fn slots(&self) -> u16 {
        self.target_state
            .last_heartbeat()
            .map_or(1, |a| a.slots.max(1))
    }

    fn await_answer(&mut self, now: Instant, key: FlowKey) {
        if self.awaited.len() >= MAX_AWAITED {
            self.awaited.pop_front();
        }
        self.awaited.push_back((now, key));
    }

    fn unanswered(&mut self, now: Instant, key: FlowKey, out: &mut Vec<Action>) {
        if let Some(Flow::Offered(offered)) = self.flows.get(key)
            && offered.offer.is_none()
        {
            let (open, packet) = (offered.open.clone(), offered.packet.clone());
            self.flows.remove(key);
            self.target_state.set_unresponsive(now);
            pass(key, open, packet, Reason::Unresponsive, out);
        }
    }
}
