//! Clock that never goes back.

use monsoon_model::{Duration, Instant};

/// Time of the caller, plus all of its jumps backwards, so that such a jump cannot extend a pause.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Clock {
    latest: Instant,
    /// Sum of the jumps.
    skew: Duration,
}

impl Clock {
    /// Advances the clock to the caller's time `now` and returns its time.
    pub(super) fn advance(&mut self, now: Instant) -> Instant {
        self.skew = self.skew + self.latest.since(now + self.skew);
        self.latest = self.latest.max(now + self.skew);
        self.latest
    }

    /// Returns the time at the caller's time `now`, without advancing.
    pub(super) fn now(&self, now: Instant) -> Instant {
        self.at(now).max(self.latest)
    }

    /// Returns the time of an event in the caller's past.
    pub(super) fn at(&self, event: Instant) -> Instant {
        event + self.skew
    }
}
