//! Whether a target seems to fail, judged by how requests end there.
//!
//! Heartbeats and liveness checks may be good while a target fails some or all of its requests. Its
//! agent sees for free what became of them: answered, ended by the target without an answer, or
//! overdue against the target's own past. A target that seems to fail gets a trickle of new flows,
//! which shows when it is well again, and everything when no other target takes a flow.

use monsoon_model::{Duration, Instant};

/// Weight of the last request in the failure rate.
const LAST: f64 = 0.15;
/// Failure rate from which a target seems to fail: two failures in a row, but not one among
/// successes.
const FAILING_FROM: f64 = 0.25;
/// Time in which the failure rate halves without any request, so that a target whose trickle is
/// lost elsewhere returns.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Interval of new flows to a target that seems to fail.
const TRICKLE_EVERY: Duration = Duration::from_secs(1);
/// Least time after which a request can be overdue: longer than the first repeats of a lost packet.
const OVERDUE_FROM: Duration = Duration::from_secs(1);
/// Multiple of the usual time of an answer after which a request is overdue.
const OVERDUE_FACTOR: f64 = 20.0;

/// How the requests of one target ended.
#[derive(Debug)]
pub(crate) struct Health {
    /// Share of failures, between 0 and 1, recent ones first.
    rate: f64,
    /// When the rate was last changed.
    at: Instant,
    /// Usual time of an answer.
    usual: Duration,
    /// Next flow for a target that seems to fail.
    trickle: Instant,
}

impl Health {
    /// Health of a target that nothing is known of.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            rate: 0.0,
            at: now,
            usual: Duration::ZERO,
            trickle: now,
        }
    }

    /// The target answered a request in this time.
    pub(crate) fn answered(&mut self, now: Instant, latency: Duration) {
        self.record(now, 0.0);
        self.usual = self.usual.mul_f64(1.0 - LAST) + latency.mul_f64(LAST);
    }

    /// The target ended a request without an answer, or did not answer in time.
    pub(crate) fn failed(&mut self, now: Instant) {
        self.record(now, 1.0);
    }

    fn record(&mut self, now: Instant, outcome: f64) {
        let rate = self.rate(now);
        let failing = rate >= FAILING_FROM;
        self.rate = rate.mul_add(1.0 - LAST, outcome * LAST);
        self.at = now;
        if !failing && self.rate >= FAILING_FROM {
            self.trickle = now + TRICKLE_EVERY;
        }
    }

    /// Share of failures.
    pub(crate) fn rate(&self, now: Instant) -> f64 {
        let age = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.rate * 0.5_f64.powf(age)
    }

    /// Whether another target should get the next flow. Every second, one flow is let through.
    pub(crate) fn avoids(&mut self, now: Instant) -> bool {
        if self.rate(now) < FAILING_FROM {
            return false;
        }
        let avoids = now < self.trickle;
        if !avoids {
            self.trickle = now + TRICKLE_EVERY;
        }
        avoids
    }

    /// Time after which a request without an answer counts as failed.
    pub(crate) fn overdue(&self) -> Duration {
        OVERDUE_FROM.max(self.usual.mul_f64(OVERDUE_FACTOR))
    }
}
