//! Monotonic clock, and detection of times in which the process was suspended.

use monsoon_model::{Duration, Instant};
use rustix::time::{ClockId, clock_gettime};

/// Time between two checks from which the process counts as suspended. The process loop checks at
/// least four times a second.
const SUSPENSION_GAP: Duration = Duration::from_millis(1_000);

/// Monotonic clock that starts with the process.
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

/// Detects that the process or its instance was suspended.
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

    /// Length of a suspension since the last check, `None` without one.
    pub(crate) fn check(&mut self) -> Option<Duration> {
        let now = boot_time();
        let gap = now.saturating_sub(self.last_check);
        self.last_check = now;
        (gap >= SUSPENSION_GAP).then_some(gap)
    }
}

/// Time since the instance booted, including suspensions.
fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let secs = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
    Duration::from_micros(secs * 1_000_000 + nanos / 1_000)
}
