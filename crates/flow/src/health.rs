//! Outlier detection: a target that fails requests is ejected.
//!
//! Heartbeats and liveness checks may be good while a target fails some or all of its requests. The
//! agent sees how each request ends: answered, ended by the target without an answer, or overdue
//! compared with the target's usual latency. An ejected target gets one trial flow a second, which
//! shows when it has recovered, and every flow that no other target takes.

use monsoon_model::{Duration, Instant};

/// Weight of the last request in the moving averages of failures and latency.
const LAST_WEIGHT: f64 = 0.15;
/// Failure rate from which a target is ejected: two failures in a row reach it, a single one among
/// successes does not.
const FAILING_RATE: f64 = 0.25;
/// Time in which the failure rate halves without any request, so that a target returns even if its
/// trial flows are lost elsewhere.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Interval of trial flows to an ejected target.
const TRIAL_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum time after which a request is overdue: longer than the first retransmissions of a lost
/// packet.
const MIN_OVERDUE: Duration = Duration::from_secs(1);
/// Multiple of the mean latency after which a request is overdue.
const OVERDUE_FACTOR: f64 = 20.0;

/// Moving averages of how the requests of one target ended.
#[derive(Debug)]
pub(crate) struct Health {
    /// Moving average of failures, between 0 and 1.
    failure_rate: f64,
    /// When the rate was last updated.
    updated_at: Instant,
    /// Moving average of the time to an answer.
    mean_latency: Duration,
    /// When an ejected target gets its next trial flow.
    next_trial: Instant,
}

impl Health {
    /// Health of a target without any request.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            failure_rate: 0.0,
            updated_at: now,
            mean_latency: Duration::ZERO,
            next_trial: now,
        }
    }

    /// Records that the target answered a request after `latency`.
    pub(crate) fn answered(&mut self, now: Instant, latency: Duration) {
        self.record(now, 0.0);
        self.mean_latency =
            self.mean_latency.mul_f64(1.0 - LAST_WEIGHT) + latency.mul_f64(LAST_WEIGHT);
    }

    /// Records that the target ended a request without an answer, or did not answer in time.
    pub(crate) fn failed(&mut self, now: Instant) {
        self.record(now, 1.0);
    }

    fn record(&mut self, now: Instant, outcome: f64) {
        let failure_rate = self.failure_rate(now);
        let was_failing = failure_rate >= FAILING_RATE;
        self.failure_rate = failure_rate.mul_add(1.0 - LAST_WEIGHT, outcome * LAST_WEIGHT);
        self.updated_at = now;
        if !was_failing && self.failure_rate >= FAILING_RATE {
            self.next_trial = now + TRIAL_INTERVAL;
        }
    }

    /// Failure rate between 0 and 1, which decays without requests.
    pub(crate) fn failure_rate(&self, now: Instant) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.failure_rate * 0.5_f64.powf(age)
    }

    /// Whether the target is ejected and another one should get the next flow. Returns false once a
    /// second to let a trial flow through.
    pub(crate) fn should_avoid(&mut self, now: Instant) -> bool {
        if self.failure_rate(now) < FAILING_RATE {
            return false;
        }
        let should_avoid = now < self.next_trial;
        if !should_avoid {
            self.next_trial = now + TRIAL_INTERVAL;
        }
        should_avoid
    }

    /// Time after which a request without an answer counts as failed.
    pub(crate) fn overdue_after(&self) -> Duration {
        MIN_OVERDUE.max(self.mean_latency.mul_f64(OVERDUE_FACTOR))
    }
}
