//! State of a target and the work that it can carry in cold start, without I/O.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Share of one request that a cold target tolerates above its capacity, for the jitter of timers
/// and connections.
const TOLERANCE: f64 = 0.25;

/// State as reported to the agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// Carries a small share of its slots.
    Cold,
    /// Carries all its slots.
    Ready,
    /// Is about to end and expects no new work.
    Draining,
}

#[derive(Clone, Copy, Debug)]
struct Cold {
    until: Instant,
    /// Accepted work that exceeds the capacity so far, in slot-seconds. It leaks at the capacity.
    level: f64,
    at: Instant,
}

/// Cold start and drain of a target.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    share: f64,
    cold_time: Duration,
    cold: Option<Cold>,
    drain: Option<Drain>,
}

#[derive(Clone, Copy, Debug)]
struct Drain {
    since: Instant,
    end: Instant,
}

impl Capacity {
    /// Target that is cold for `cold_time` and carries `share` slots (average concurrency) then.
    pub fn new(now: Instant, share: f64, cold_time: Duration) -> Self {
        let mut capacity = Self {
            share: share.max(0.001),
            cold_time,
            cold: None,
            drain: None,
        };
        capacity.chill(now, cold_time);
        capacity
    }

    /// Makes the target cold for `time`.
    pub fn chill(&mut self, now: Instant, time: Duration) {
        self.cold_time = time;
        self.cold = (!time.is_zero()).then_some(Cold {
            until: now + time,
            level: 0.0,
            at: now,
        });
    }

    /// Ends the cold start and the drain.
    pub fn warm(&mut self) {
        self.cold = None;
        self.drain = None;
    }

    /// Starts a drain of length `time`; a second one only changes the end.
    pub fn drain(&mut self, now: Instant, time: Duration) {
        let since = self.drain.map_or(now, |drain| drain.since);
        let end = now + time;
        self.drain = Some(Drain { since, end });
    }

    /// Time since the start of the drain.
    pub fn drained_for(&self, now: Instant) -> Option<Duration> {
        self.drain
            .map(|drain| now.saturating_duration_since(drain.since))
    }

    /// Whether streams have to end.
    pub fn is_over(&self, now: Instant) -> bool {
        self.drain.is_some_and(|drain| drain.end <= now)
    }

    /// State to report.
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

    /// Offers work of `cost` slot time; false is an overrun, which restarts the cold start.
    pub fn accept(&mut self, now: Instant, cost: Duration) -> bool {
        let share = self.share;
        let Some(cold) = self.cold.as_mut().filter(|cold| now < cold.until) else {
            return true;
        };
        let cost = cost.as_secs_f64();
        let leaked = share * now.saturating_duration_since(cold.at).as_secs_f64();
        cold.level = (cold.level - leaked).max(0.0);
        cold.at = now;
        // Whole slots may be in use at the same time; a part of a slot is used one after another.
        let parallel = share.ceil() - 1.0;
        if cold.level > (parallel + TOLERANCE) * cost {
            self.chill(now, self.cold_time);
            return false;
        }
        cold.level += cost;
        true
    }
}
