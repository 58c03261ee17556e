//! Event counters, which the admin listener shows.

use std::collections::BTreeMap;
use std::sync::Mutex;

/// Number of events by event name.
#[derive(Debug, Default)]
pub struct Counters {
    counts: Mutex<BTreeMap<&'static str, u64>>,
}

impl Counters {
    pub fn count(&self, event: &'static str) {
        let mut counts = self.counts.lock().expect("no panic while the lock is held");
        *counts.entry(event).or_default() += 1;
    }

    /// Copy of all counts.
    pub fn snapshot(&self) -> BTreeMap<&'static str, u64> {
        self.counts
            .lock()
            .expect("no panic while the lock is held")
            .clone()
    }
}
