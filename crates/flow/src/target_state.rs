//! Whether the target beside an agent may get new flows.
//!
//! The agent is the last to see an opening packet, so the limits of the target are exact here,
//! whatever balancers know. A heartbeat is a lease: without a recent one the address of the target
//! may already belong to another service.

use std::net::SocketAddrV4;

use monsoon_model::{Duration, Instant};

use crate::{Reason, ServiceTag, WindowLimiter};

/// Window of the cold rate, longer than the second that is counted by what the clocks of two
/// observers may differ.
const COLD_WINDOW: Duration = Duration::from_millis(1_200);
/// Time for which a target that did not answer an opening packet gets no other one.
const UNRESPONSIVE_FOR: Duration = Duration::from_millis(400);
/// Time for which a target that returned an opening packet is taken for full.
const FULL_FOR: Duration = Duration::from_millis(50);

/// Limits that come from the settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetLimits {
    /// Age at which a heartbeat no longer proves that the address is still the target's.
    pub heartbeat_lease: Duration,
    /// Factor on the cold rate.
    pub cold_factor: f64,
    /// Requests that a cold target bears on top of its rate.
    pub cold_burst: f64,
}

/// Whether a target takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// Takes new flows.
    Ready,
    /// Finishes what it has.
    Draining,
}

/// What a target says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Identity, mostly new with each start.
    pub id: String,
    /// Start, in Unix milliseconds. Tells apart lifetimes under one identity.
    pub started_ms: u64,
    /// Raised with each heartbeat of a lifetime.
    pub sequence: u64,
    /// Service.
    pub service: ServiceTag,
    /// Where it takes packets.
    pub address: SocketAddrV4,
    /// Whether it takes work.
    pub readiness: Readiness,
    /// Concurrent requests.
    pub slots: u16,
    /// Time for which it stays cold.
    pub cold_left: Duration,
}

#[derive(Clone, Debug)]
struct Received {
    heartbeat: Heartbeat,
    at: Instant,
}

/// State of the target.
#[derive(Clone, Debug)]
pub struct TargetState {
    limits: TargetLimits,
    received: Option<Received>,
    /// Number of lifetimes seen, the present one included.
    lifetimes: u32,
    /// The target said that it has ended.
    has_ended: bool,
    /// Nothing listened at the target's address when it was last tried.
    is_absent: bool,
    cold_until: Instant,
    /// Taken for cold until a heartbeat that arrives after this point says otherwise.
    assumed_cold_at: Option<Instant>,
    unresponsive_until: Instant,
    full_until: Instant,
    limiter: WindowLimiter,
}

impl TargetState {
    /// Gate of a target that was not heard yet.
    pub fn new(limits: TargetLimits) -> Self {
        Self {
            limits,
            received: None,
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

    /// Takes new limits from changed settings.
    pub fn set_limits(&mut self, limits: TargetLimits) {
        self.limits = limits;
    }

    /// Takes a heartbeat. Returns whether it opened a new lifetime, `None` when it is an old one.
    pub fn receive_heartbeat(&mut self, now: Instant, heartbeat: Heartbeat) -> Option<bool> {
        let known = self.received.as_ref().map(|received| &received.heartbeat);
        let new =
            known.is_none_or(|k| k.id != heartbeat.id || k.started_ms != heartbeat.started_ms);
        if let Some(known) = known {
            let older = heartbeat.started_ms < known.started_ms;
            let repeated = !new && heartbeat.sequence <= known.sequence;
            if older || repeated {
                return None;
            }
        }
        if new {
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
        self.received = Some(Received { heartbeat, at: now });
        Some(new)
    }

    /// The target `id` says that it has ended. Returns whether it is the present one.
    pub fn set_ended(&mut self, id: &str) -> bool {
        let present = self.last_heartbeat().is_some_and(|a| a.id == id);
        self.has_ended |= present;
        present
    }

    /// Nothing listens at the target's address, so the target has ended or not started.
    pub fn set_absent(&mut self) {
        self.is_absent = true;
    }

    /// The target may be cold until its next heartbeat, because its data centre was out.
    pub fn assume_cold(&mut self, now: Instant) {
        self.assumed_cold_at = Some(now);
    }

    /// No heartbeat counts any longer, because this process was suspended.
    pub fn expire_heartbeat(&mut self) {
        if let Some(received) = &mut self.received {
            received.at = Instant::ZERO;
        }
    }

    /// The target did not answer an opening packet.
    pub fn set_unresponsive(&mut self, now: Instant) {
        self.unresponsive_until = now + UNRESPONSIVE_FOR;
    }

    /// The target sent something.
    pub fn set_responsive(&mut self) {
        self.unresponsive_until = Instant::ZERO;
    }

    /// The target returned an opening packet.
    pub fn set_full(&mut self, now: Instant) {
        self.full_until = now + FULL_FOR;
    }

    /// Number of the present lifetime, zero before the first heartbeat.
    pub fn lifetimes(&self) -> u32 {
        self.lifetimes
    }

    /// Last heartbeat.
    pub fn last_heartbeat(&self) -> Option<&Heartbeat> {
        self.received.as_ref().map(|received| &received.heartbeat)
    }

    /// When the last heartbeat came, zero before the first one and after a suspension.
    pub fn heartbeat_at(&self) -> Instant {
        self.received
            .as_ref()
            .map_or(Instant::ZERO, |received| received.at)
    }

    /// Age of the last heartbeat.
    pub fn heartbeat_age(&self, now: Instant) -> Option<Duration> {
        self.received
            .as_ref()
            .map(|received| now.since(received.at))
    }

    /// Whether the target has ended, or has not started.
    pub fn is_down(&self) -> bool {
        self.has_ended || self.is_absent
    }

    /// Whether the target may be cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        now < self.cold_until || self.assumed_cold_at.is_some()
    }

    /// Why the target gets no new flow, apart from its rate.
    pub fn refusal_reason(&self, now: Instant) -> Option<Reason> {
        let Some(received) = &self.received else {
            return Some(Reason::NoHeartbeat);
        };
        if self.is_down() || received.heartbeat.readiness == Readiness::Draining {
            return Some(Reason::Leaving);
        }
        if now.since(received.at) >= self.limits.heartbeat_lease {
            return Some(Reason::NoHeartbeat);
        }
        if now < self.unresponsive_until {
            return Some(Reason::Unresponsive);
        }
        (now < self.full_until).then_some(Reason::Returned)
    }

    /// Admits one opening packet. `cold_rate` limits a cold target; without one it is only slower.
    ///
    /// # Errors
    /// Returns the reason when the target gets no new flow now.
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

    /// Opening packets that a cold target gets in a window, one less than it bears.
    fn cold_limit(&self, cold_rate: f64) -> usize {
        let most = cold_rate * self.limits.cold_factor + self.limits.cold_burst;
        (most as usize).saturating_sub(1).max(1)
    }
}
