//! State of the target of an agent, which decides whether it may get new flows.
//!
//! The agent is the last process to see an opening packet, so the limits of the target are enforced
//! exactly here, whatever balancers know. A heartbeat is a lease on the target's address: without a
//! recent one, the address may already belong to another service. One run of the target, from its
//! start to its end, is a lifetime. After its start a target is cold for some time, and operators
//! may limit its rate of new flows.

use std::net::SocketAddrV4;

use monsoon_model::{Duration, Instant};

use crate::{Reason, ServiceTag, WindowLimiter};

/// Window of the cold rate. The rate is per second; the rest covers the difference between the
/// clocks of two observers.
const COLD_WINDOW: Duration = Duration::from_millis(1_200);
/// Time for which a target that did not answer an opening packet gets no further one.
const UNRESPONSIVE_FOR: Duration = Duration::from_millis(400);
/// Time for which a target that returned an opening packet gets no further one.
const FULL_FOR: Duration = Duration::from_millis(50);

/// Limits of a target, from the settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetLimits {
    /// Age from which a heartbeat no longer proves that the address belongs to the target.
    pub heartbeat_lease: Duration,
    /// Factor by which the cold rate of the service is multiplied.
    pub cold_factor: f64,
    /// Number of requests that a cold target can take in addition to its rate.
    pub cold_burst: f64,
}

/// Whether a target takes new flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// Takes new flows.
    Ready,
    /// Finishes its open flows and takes no new ones.
    Draining,
}

/// Heartbeat of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Identity of the target, in most cases a new one with each start.
    pub id: String,
    /// Start of the target, in Unix milliseconds. Distinguishes lifetimes with the same identity.
    pub started_ms: u64,
    /// Increases with each heartbeat of a lifetime.
    pub sequence: u64,
    /// Service of the target.
    pub service: ServiceTag,
    /// Address at which the target receives packets.
    pub address: SocketAddrV4,
    /// Whether the target takes new flows.
    pub readiness: Readiness,
    /// Number of requests that the target processes concurrently.
    pub slots: u16,
    /// Time for which the target stays cold from now on.
    pub cold_left: Duration,
}

#[derive(Clone, Debug)]
struct Received {
    heartbeat: Heartbeat,
    received_at: Instant,
}

/// State of a target as its agent knows it.
#[derive(Clone, Debug)]
pub struct TargetState {
    limits: TargetLimits,
    last_received: Option<Received>,
    /// Number of lifetimes seen, including the present one.
    lifetimes: u32,
    /// Whether the target reported that it has ended.
    has_ended: bool,
    /// Whether nothing listened at the target's address at the last probe.
    is_absent: bool,
    cold_until: Instant,
    /// When the target was assumed to be cold. The next heartbeat after this time replaces the
    /// assumption.
    assumed_cold_at: Option<Instant>,
    unresponsive_until: Instant,
    full_until: Instant,
    limiter: WindowLimiter,
}

impl TargetState {
    /// State of a target without any heartbeat.
    pub fn new(limits: TargetLimits) -> Self {
        Self {
            limits,
            last_received: None,
            lifetimes: 0,
            has_ended: false,
            is_absent: false,
            cold_until: Instant::ZERO,
            assumed_cold_at: None,
            unresponsive_until: Instant::ZERO,
            full_until: Instant::ZERO,
            limiter: WindowLimiter::new(COLD_WINDOW),
        }
    }

    /// Replaces the limits, from changed settings.
    pub fn set_limits(&mut self, limits: TargetLimits) {
        self.limits = limits;
    }

    /// Handles a heartbeat. Returns whether it starts a new lifetime, or `None` when it is outdated
    /// or a repetition and was ignored.
    pub fn receive_heartbeat(&mut self, now: Instant, heartbeat: Heartbeat) -> Option<bool> {
        let known = self
            .last_received
            .as_ref()
            .map(|received| &received.heartbeat);
        let is_new =
            known.is_none_or(|k| k.id != heartbeat.id || k.started_ms != heartbeat.started_ms);
        if let Some(known) = known {
            let is_older = heartbeat.started_ms < known.started_ms;
            let is_repeated = !is_new && heartbeat.sequence <= known.sequence;
            if is_older || is_repeated {
                return None;
            }
        }
        if is_new {
            self.lifetimes += 1;
            self.unresponsive_until = Instant::ZERO;
            self.full_until = Instant::ZERO;
            self.has_ended = false;
        }
        self.is_absent = false;
        if heartbeat.cold_left > Duration::ZERO {
            self.cold_until = self.cold_until.max(now + heartbeat.cold_left);
        }
        if self.assumed_cold_at.is_some_and(|after| now > after) {
            self.assumed_cold_at = None;
        }
        self.last_received = Some(Received {
            heartbeat,
            received_at: now,
        });
        Some(is_new)
    }

    /// Records that the target `id` has ended. Returns whether it is the present target; otherwise
    /// nothing changes.
    pub fn set_ended(&mut self, id: &str) -> bool {
        let is_current = self
            .last_heartbeat()
            .is_some_and(|heartbeat| heartbeat.id == id);
        self.has_ended |= is_current;
        is_current
    }

    /// Records that nothing listens at the target's address, so that the target has ended or not
    /// started yet.
    pub fn set_absent(&mut self) {
        self.is_absent = true;
    }

    /// Assumes that the target is cold until its next heartbeat, because its data centre was
    /// evacuated.
    pub fn assume_cold(&mut self, now: Instant) {
        self.assumed_cold_at = Some(now);
    }

    /// Expires the last heartbeat, because this process was suspended.
    pub fn expire_heartbeat(&mut self) {
        if let Some(received) = &mut self.last_received {
            received.received_at = Instant::ZERO;
        }
    }

    /// Records that the target did not answer an opening packet.
    pub fn set_unresponsive(&mut self, now: Instant) {
        self.unresponsive_until = now + UNRESPONSIVE_FOR;
    }

    /// Records that the target sent a packet.
    pub fn set_responsive(&mut self) {
        self.unresponsive_until = Instant::ZERO;
    }

    /// Records that the target returned an opening packet.
    pub fn set_full(&mut self, now: Instant) {
        self.full_until = now + FULL_FOR;
    }

    /// Until when the target gets no opening packet because it returned one.
    pub fn full_until(&self) -> Instant {
        self.full_until
    }

    /// Number of lifetimes seen; zero before the first heartbeat.
    pub fn lifetimes(&self) -> u32 {
        self.lifetimes
    }

    /// Last heartbeat, if one was received.
    pub fn last_heartbeat(&self) -> Option<&Heartbeat> {
        self.last_received
            .as_ref()
            .map(|received| &received.heartbeat)
    }

    /// When the last heartbeat was received; zero before the first one and after a suspension.
    pub fn heartbeat_at(&self) -> Instant {
        self.last_received
            .as_ref()
            .map_or(Instant::ZERO, |received| received.received_at)
    }

    /// Time since the last heartbeat, if one was received.
    pub fn heartbeat_age(&self, now: Instant) -> Option<Duration> {
        self.last_received
            .as_ref()
            .map(|received| now.since(received.received_at))
    }

    /// Whether the target has ended or has not started yet.
    pub fn is_down(&self) -> bool {
        self.has_ended || self.is_absent
    }

    /// Whether the target may be cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        now < self.cold_until || self.assumed_cold_at.is_some()
    }

    /// Why the target gets no new flow regardless of its cold rate; `None` when it may get one.
    pub fn refusal_reason(&self, now: Instant) -> Option<Reason> {
        let Some(received) = &self.last_received else {
            return Some(Reason::NoHeartbeat);
        };
        if self.is_down() || received.heartbeat.readiness == Readiness::Draining {
            return Some(Reason::Leaving);
        }
        if now.since(received.received_at) >= self.limits.heartbeat_lease {
            return Some(Reason::NoHeartbeat);
        }
        if now < self.unresponsive_until {
            return Some(Reason::Unresponsive);
        }
        (now < self.full_until).then_some(Reason::Returned)
    }

    /// Admits one opening packet. `cold_rate` is the limit of a cold target, in requests a second;
    /// without it, a cold target is only slower and has no limit.
    ///
    /// # Errors
    /// Returns the reason when the target must not get a new flow now.
    pub fn admit(&mut self, now: Instant, cold_rate: Option<f64>) -> Result<(), Reason> {
        if let Some(reason) = self.refusal_reason(now) {
            return Err(reason);
        }
        let rate = cold_rate.filter(|_| self.is_cold(now));
        let limit = rate.map_or(usize::MAX, |rate| self.cold_limit(rate));
        if !self.limiter.allows(now, limit) {
            return Err(Reason::Cold);
        }
        self.limiter.record(now);
        Ok(())
    }

    /// Number of opening packets that a cold target gets in a window, one less than it can take.
    fn cold_limit(&self, cold_rate: f64) -> usize {
        let limit = cold_rate * self.limits.cold_factor + self.limits.cold_burst;
        (limit as usize).saturating_sub(1).max(1)
    }
}
