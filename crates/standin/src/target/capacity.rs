//! State of a target and the load that it can carry in cold start, without I/O.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Share of one request by which the load of a cold target may exceed its capacity. It allows for
/// the jitter of timers and connections.
const OVERLOAD_TOLERANCE: f64 = 0.25;

/// State as reported to the agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// In cold start: carries a small share of its slots.
    Cold,
    /// Carries all its slots.
    Ready,
    /// Is about to stop and expects no new work.
    Draining,
}

#[derive(Clone, Copy, Debug)]
struct ColdStart {
    until: Instant,
    /// Accepted work that is not yet worked off, in slot-seconds, as in a leaky bucket. It
    /// decreases by `cold_slots` each second.
    backlog: f64,
    updated_at: Instant,
}

/// Cold start and drain of a target.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    cold_slots: f64,
    cold_duration: Duration,
    cold: Option<ColdStart>,
    drain: Option<Drain>,
}

#[derive(Clone, Copy, Debug)]
struct Drain {
    since: Instant,
    end: Instant,
}

impl Capacity {
    /// Capacity of a target that is cold for `cold_duration` and carries `cold_slots` slots
    /// (average concurrency) in that time.
    pub fn new(now: Instant, cold_slots: f64, cold_duration: Duration) -> Self {
        let mut capacity = Self {
            cold_slots: cold_slots.max(0.001),
            cold_duration,
            cold: None,
            drain: None,
        };
        capacity.start_cold(now, cold_duration);
        capacity
    }

    /// Starts or restarts the cold start, for `duration`.
    pub fn start_cold(&mut self, now: Instant, duration: Duration) {
        self.cold_duration = duration;
        self.cold = (!duration.is_zero()).then_some(ColdStart {
            until: now + duration,
            backlog: 0.0,
            updated_at: now,
        });
    }

    /// Ends the cold start and the drain.
    pub fn make_ready(&mut self) {
        self.cold = None;
        self.drain = None;
    }

    /// Starts a drain that lasts `duration`. During a drain it only changes the end.
    pub fn drain(&mut self, now: Instant, duration: Duration) {
        let since = self.drain.map_or(now, |drain| drain.since);
        let end = now + duration;
        self.drain = Some(Drain { since, end });
    }

    /// Time since the start of the drain.
    pub fn time_since_drain(&self, now: Instant) -> Option<Duration> {
        self.drain
            .map(|drain| now.saturating_duration_since(drain.since))
    }

    /// Whether the drain is over, so that streams have to end.
    pub fn must_end_streams(&self, now: Instant) -> bool {
        self.drain.is_some_and(|drain| drain.end <= now)
    }

    /// State to report; a drain takes precedence over a cold start.
    pub fn phase(&self, now: Instant) -> Phase {
        if self.drain.is_some() {
            Phase::Draining
        } else if self.is_cold(now) {
            Phase::Cold
        } else {
            Phase::Ready
        }
    }

    /// Whether the target is in cold start.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold.is_some_and(|cold| now < cold.until)
    }

    /// Accepts work that takes `cost` of slot time. Returns false for an overrun, which restarts
    /// the cold start.
    pub fn accept(&mut self, now: Instant, cost: Duration) -> bool {
        let cold_slots = self.cold_slots;
        let Some(cold) = self.cold.as_mut().filter(|cold| now < cold.until) else {
            return true;
        };
        let cost = cost.as_secs_f64();
        let worked_off = cold_slots * now.saturating_duration_since(cold.updated_at).as_secs_f64();
        cold.backlog = (cold.backlog - worked_off).max(0.0);
        cold.updated_at = now;
        // Whole slots serve requests in parallel; a fraction of a slot serves one after another.
        let parallel_slots = cold_slots.ceil() - 1.0;
        if cold.backlog > (parallel_slots + OVERLOAD_TOLERANCE) * cost {
            self.start_cold(now, self.cold_duration);
            return false;
        }
        cold.backlog += cost;
        true
    }
}
