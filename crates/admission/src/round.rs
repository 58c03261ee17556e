//! Sum of the values of one round of answers.

use monsoon_model::Instant;

/// Values of one round of answers, such as their latency ratios.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Round {
    pub(crate) started_at: Instant,
    pub(crate) count: u32,
    pub(crate) sum: f64,
}

impl Round {
    pub(crate) fn new(started_at: Instant) -> Self {
        Self {
            started_at,
            ..Self::default()
        }
    }

    pub(crate) fn add(&mut self, value: f64) {
        self.count = self.count.saturating_add(1);
        self.sum += value;
    }

    /// Returns the mean of the values; not a number without any.
    pub(crate) fn mean(&self) -> f64 {
        self.sum / f64::from(self.count)
    }
}
