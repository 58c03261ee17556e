//! Pauses between requests while the limit is below one.

use monsoon_model::{Duration, Instant};

/// Pause after the first failed request; doubles with each further failure.
const FAILURE_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause, so that a target that recovered is noticed.
const PAUSE_MAX: Duration = Duration::from_secs(2);

/// Keeps the busy share of a target at or below a limit under one.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Pacer {
    resume_at: Instant,
    failures: u32,
}

impl Pacer {
    /// Records a request of length `busy` that ended now under the limit `limit`.
    pub(crate) fn record_end(&mut self, now: Instant, busy: Duration, limit: f64, failed: bool) {
        self.failures = if failed {
            self.failures.saturating_add(1)
        } else {
            0
        };
        if limit < 1.0 {
            // A request of length d and a pause of d * (1 / limit - 1) keep the busy share at the
            // limit. One microsecond more covers the rounding.
            let pause = busy.mul_f64(1.0 / limit - 1.0) + Duration::from_micros(1);
            self.resume_at = self.resume_at.max(now + pause);
        }
        if failed && limit < 1.0 {
            let doubled = FAILURE_PAUSE.mul_f64(f64::from(1_u32 << (self.failures - 1).min(8)));
            self.resume_at = self.resume_at.max(now + doubled.min(PAUSE_MAX));
        }
    }

    /// End of the present pause.
    pub(crate) fn resume_at(&self) -> Instant {
        self.resume_at
    }

    /// Time left of the pause under `limit`.
    pub(crate) fn pause(&self, now: Instant, limit: f64) -> Duration {
        if limit < 1.0 {
            self.resume_at.since(now)
        } else {
            Duration::ZERO
        }
    }
}
