//! Rate limiter with a sliding window.

use std::collections::VecDeque;

use monsoon_model::{Duration, Instant};

/// Counts admitted events, so that no window of a fixed length has more of them than a limit.
#[derive(Clone, Debug)]
pub struct WindowLimiter {
    window: Duration,
    admitted: VecDeque<Instant>,
}

impl WindowLimiter {
    /// Creates a limiter with this length of the window and without events.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            admitted: VecDeque::new(),
        }
    }

    /// Whether one more event now keeps every window at or below `limit`.
    pub fn allows(&mut self, now: Instant, limit: usize) -> bool {
        while self
            .admitted
            .front()
            .is_some_and(|&at| now.since(at) > self.window)
        {
            self.admitted.pop_front();
        }
        self.admitted.len() < limit
    }

    /// Records an admitted event.
    pub fn record(&mut self, now: Instant) {
        self.admitted.push_back(now);
    }
}
