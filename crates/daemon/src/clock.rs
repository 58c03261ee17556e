//! The process's monotonic clock in the units of the decision crates.

use monsoon_model::Instant;

/// Clock that starts when the process does.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: std::time::Instant,
}

impl Clock {
    /// Starts the clock.
    pub fn start() -> Self {
        Self {
            start: std::time::Instant::now(),
        }
    }

    /// The present.
    pub fn now(&self) -> Instant {
        let micros = self.start.elapsed().as_micros();
        Instant::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Waits until `at`, for ever without one.
    pub async fn sleep_until(self, at: Option<Instant>) {
        match at {
            Some(at) => tokio::time::sleep_until(self.tokio_instant(at)).await,
            None => std::future::pending().await,
        }
    }

    /// The `tokio` instant that corresponds to `at`.
    pub fn tokio_instant(&self, at: Instant) -> tokio::time::Instant {
        let offset = std::time::Duration::from_micros(at.as_micros());
        tokio::time::Instant::from_std(self.start + offset)
    }
}
