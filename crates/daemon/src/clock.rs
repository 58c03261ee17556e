//! Monotonic clock of the process, in the time type of the state machines.

use monsoon_model::Instant;

/// Clock that counts from its start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: std::time::Instant,
}

impl Clock {
    pub fn start() -> Self {
        Self {
            start: std::time::Instant::now(),
        }
    }

    /// Time since the start.
    pub fn now(&self) -> Instant {
        let micros = self.start.elapsed().as_micros();
        Instant::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Waits until `at`; without a time it never returns.
    pub async fn sleep_until(self, at: Option<Instant>) {
        match at {
            Some(at) => tokio::time::sleep_until(self.tokio_instant(at)).await,
            None => std::future::pending().await,
        }
    }

    /// Instant of `tokio`'s clock that corresponds to `at`.
    pub fn tokio_instant(&self, at: Instant) -> tokio::time::Instant {
        let offset = std::time::Duration::from_micros(at.as_micros());
        tokio::time::Instant::from_std(self.start + offset)
    }
}
