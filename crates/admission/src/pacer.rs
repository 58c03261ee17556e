//! Pauses between requests at a target whose limit is below one.

use monsoon_model::{Duration, Instant};

/// Pause after a failed request. It doubles with each further failure in a row.
const FAILURE_PAUSE: Duration = Duration::from_millis(100);

/// Maximum pause after failures, so that a recovered target is detected.
const PAUSE_MAX: Duration = Duration::from_secs(2);

/// Returns the pause after the failure number `count` in a row: `first` after the first one, doubled
/// with each further one, up to `max`. Zero without a failure.
pub(crate) fn backoff(first: Duration, count: u32, max: Duration) -> Duration {
    let Some(doublings) = count.checked_sub(1) else {
        return Duration::ZERO;
    };
    first.mul_f64(f64::from(1_u32 << doublings.min(8))).min(max)
}

/// Keeps the share of time in which a target is busy at or below a limit under one.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Pacer {
    resume_at: Instant,
    failures: u32,
}

impl Pacer {
    /// Records a request that took `busy` and ended now, and sets the pause at the limit `limit`.
    pub(crate) fn record_end(&mut self, now: Instant, busy: Duration, limit: f64, failed: bool) {
        self.failures = if failed {
            self.failures.saturating_add(1)
        } else {
            0
        };
        if limit < 1.0 {
            // A request that takes d and a pause of d * (1 / limit - 1) keep the busy share at the
            // limit. One more microsecond covers rounding.
            let pause = busy.mul_f64(1.0 / limit - 1.0) + Duration::from_micros(1);
            self.resume_at = self.resume_at.max(now + pause);
        }
        if failed && limit < 1.0 {
            let pause = backoff(FAILURE_PAUSE, self.failures, PAUSE_MAX);
            self.resume_at = self.resume_at.max(now + pause);
        }
    }

    /// Returns the end of the current pause.
    pub(crate) fn resume_at(&self) -> Instant {
        self.resume_at
    }

    /// Returns the rest of the current pause, which applies only if `limit` is below one.
    pub(crate) fn pause(&self, now: Instant, limit: f64) -> Duration {
        if limit < 1.0 {
            self.resume_at.since(now)
        } else {
            Duration::ZERO
        }
    }
}
