//! Number of events in any sliding window.

use std::collections::VecDeque;

use monsoon_model::{Duration, Instant};

/// Admits at most a number of events within any window of one length.
#[derive(Clone, Debug)]
pub struct WindowLimiter {
    window: Duration,
    admitted: VecDeque<Instant>,
}

impl WindowLimiter {
    /// Pacer that has admitted nothing.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            admitted: VecDeque::new(),
        }
    }

    /// Whether one more event keeps every window at or below `limit`.
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
