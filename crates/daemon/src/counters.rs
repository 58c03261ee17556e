//! Event counters shown by the admin listener.

use std::collections::BTreeMap;
use std::sync::Mutex;

/// Counts by event name.
#[derive(Debug, Default)]
pub struct Counters {
    counts: Mutex<BTreeMap<&'static str, u64>>,
}

impl Counters {
    /// Counts one event.
    pub fn count(&self, event: &'static str) {
        let mut counts = self.counts.lock().expect("no panic while the lock is held");
        *counts.entry(event).or_default() += 1;
    }

    /// All counts so far.
    pub fn snapshot(&self) -> BTreeMap<&'static str, u64> {
        self.counts
            .lock()
            .expect("no panic while the lock is held")
            .clone()
    }
}
