//! Monotonic clock, and detection of suspensions.

use monsoon_model::{Duration, Instant};
use rustix::time::{ClockId, clock_gettime};

/// Gap between two looks at the clock after which the process takes itself for suspended. Timers
/// are due four times a second.
const SUSPENSION_GAP: Duration = Duration::from_millis(1_000);

/// Clock that also counts time in which the instance was suspended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: std::time::Instant,
}

impl Clock {
    pub(crate) fn start() -> Self {
        Self {
            start: std::time::Instant::now(),
        }
    }

    pub(crate) fn now(&self) -> Instant {
        Instant::ZERO + Duration::from(self.start.elapsed())
    }

    pub(crate) fn deadline(&self, at: Instant) -> tokio::time::Instant {
        let offset = std::time::Duration::from_micros(at.as_micros());
        tokio::time::Instant::from_std(self.start + offset)
    }
}

/// Notices that the process did not run for a while.
#[derive(Debug)]
pub(crate) struct SuspensionDetector {
    last_check: Duration,
}

impl SuspensionDetector {
    pub(crate) fn new() -> Self {
        Self {
            last_check: boot_time(),
        }
    }

    /// Length of a suspension since the last look.
    pub(crate) fn check(&mut self) -> Option<Duration> {
        let now = boot_time();
        let gap = now.saturating_sub(self.last_check);
        self.last_check = now;
        (gap >= SUSPENSION_GAP).then_some(gap)
    }
}

/// Time since the instance booted, suspensions included.
fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let secs = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
    Duration::from_micros(secs * 1_000_000 + nanos / 1_000)
}
