//! Whether the target beside an agent may get new flows.
//!
//! The agent is the last to see an opening packet, so the limits of the target are exact here,
//! whatever balancers know. A heartbeat is a lease: without a recent one the address of the target
//! may already belong to another service.

use std::net::SocketAddrV4;

use monsoon_model::{Duration, Instant};

use crate::{Pacer, Reason, ServiceTag};

/// Window of the cold rate, longer than the second that is counted by what the clocks of two
/// observers may differ.
const COLD_WINDOW: Duration = Duration::from_millis(1_200);
/// Time for which a target that did not answer an opening packet gets no other one.
const MUTE_FOR: Duration = Duration::from_millis(400);
/// Time for which a target that returned an opening packet is taken for full.
const FULL_FOR: Duration = Duration::from_millis(50);

/// Limits that come from the settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Age at which a heartbeat no longer proves that the address is still the target's.
    pub lease: Duration,
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
pub struct Gate {
    bounds: Bounds,
    received: Option<Received>,
    /// Number of lifetimes seen, the present one included.
    lifetime: u32,
    /// The target said that it has ended.
    gone: bool,
    /// Nothing listened at the target's address when it was last tried.
    absent: bool,
    cold_until: Instant,
    /// Taken for cold until a heartbeat that arrives after this point says otherwise.
    cold_after: Option<Instant>,
    mute_until: Instant,
    full_until: Instant,
    pacer: Pacer,
}

impl Gate {
    /// Gate of a target that was not heard yet.
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            received: None,
            lifetime: 0,
            gone: false,
            absent: false,
            cold_until: Instant::ZERO,
            cold_after: None,
            mute_until: Instant::ZERO,
            full_until: Instant::ZERO,
            pacer: Pacer::new(COLD_WINDOW),
        }
    }

    /// Takes new limits from changed settings.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.bounds = bounds;
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
            self.lifetime += 1;
            self.mute_until = Instant::ZERO;
            self.full_until = Instant::ZERO;
            self.gone = false;
        }
        self.absent = false;
        if heartbeat.cold_left > Duration::ZERO {
            self.cold_until = self.cold_until.max(now + heartbeat.cold_left);
        }
        if self.cold_after.is_some_and(|after| now > after) {
            self.cold_after = None;
        }
        self.received = Some(Received { heartbeat, at: now });
        Some(new)
    }

    /// The target `id` says that it has ended. Returns whether it is the present one.
    pub fn leave(&mut self, id: &str) -> bool {
        let present = self.last_heartbeat().is_some_and(|a| a.id == id);
        self.gone |= present;
        present
    }

    /// Nothing listens at the target's address, so the target has ended or not started.
    pub fn set_absent(&mut self) {
        self.absent = true;
    }

    /// The target may be cold until its next heartbeat, because its data centre was out.
    pub fn doubt_warmth(&mut self, now: Instant) {
        self.cold_after = Some(now);
    }

    /// No heartbeat counts any longer, because this process was suspended.
    pub fn expire_heartbeat(&mut self) {
        if let Some(received) = &mut self.received {
            received.at = Instant::ZERO;
        }
    }

    /// The target did not answer an opening packet.
    pub fn mute(&mut self, now: Instant) {
        self.mute_until = now + MUTE_FOR;
    }

    /// The target sent something.
    pub fn sounded(&mut self) {
        self.mute_until = Instant::ZERO;
    }

    /// The target returned an opening packet.
    pub fn full(&mut self, now: Instant) {
        self.full_until = now + FULL_FOR;
    }

    /// Number of the present lifetime, zero before the first heartbeat.
    pub fn lifetime(&self) -> u32 {
        self.lifetime
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
    pub fn is_gone(&self) -> bool {
        self.gone || self.absent
    }

    /// Whether the target may be cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        now < self.cold_until || self.cold_after.is_some()
    }

    /// Why the target gets no new flow, apart from its rate.
    pub fn closed(&self, now: Instant) -> Option<Reason> {
        let Some(received) = &self.received else {
            return Some(Reason::NoHeartbeat);
        };
        if self.is_gone() || received.heartbeat.readiness == Readiness::Draining {
            return Some(Reason::Leaving);
        }
        if now.since(received.at) >= self.bounds.lease {
            return Some(Reason::NoHeartbeat);
        }
        if now < self.mute_until {
            return Some(Reason::Mute);
        }
        (now < self.full_until).then_some(Reason::Returned)
    }

    /// Admits one opening packet. `cold_rate` limits a cold target; without one it is only slower.
    ///
    /// # Errors
    /// Returns the reason when the target gets no new flow now.
    pub fn admit(&mut self, now: Instant, cold_rate: Option<f64>) -> Result<(), Reason> {
        if let Some(reason) = self.closed(now) {
            return Err(reason);
        }
        let rate = cold_rate.filter(|_| self.is_cold(now));
        let limit = rate.map_or(usize::MAX, |rate| self.cold_limit(rate));
        if !self.pacer.allows(now, limit) {
            return Err(Reason::Cold);
        }
        self.pacer.record(now);
        Ok(())
    }

    /// Opening packets that a cold target gets in a window, one less than it bears.
    fn cold_limit(&self, cold_rate: f64) -> usize {
        let most = cold_rate * self.bounds.cold_factor + self.bounds.cold_burst;
        (most as usize).saturating_sub(1).max(1)
    }
}
