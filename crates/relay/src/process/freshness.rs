//! Whether the configuration of a process may be outdated. The arrays are indexed by `StoreObject`.

use monsoon_model::{Duration, Instant, Versions};

use crate::message::StoreObject;

/// Time for which a process with an outdated configuration waits for its watch of the store before
/// it asks a peer.
const WATCH_GRACE: Duration = Duration::from_millis(400);

/// What a process knows of the age of its configuration.
#[derive(Debug, Default)]
pub(super) struct Freshness {
    /// Which objects were read from the store since the start or the last suspension.
    pub is_read: [bool; 2],
    /// Which objects could not be read at the last attempt.
    pub is_failing: [bool; 2],
    /// Times since which peers are known to have newer versions than those in force.
    behind_since: [Option<Instant>; 2],
}

impl Freshness {
    /// Records the versions of a peer. Returns whether one of them is newer than in force here, and
    /// the watch should have delivered it by now.
    pub(super) fn is_late(&mut self, now: Instant, own: Versions, peer: Versions) -> bool {
        let is_newer = [
            peer.document > own.document,
            peer.evacuations > own.evacuations,
        ];
        let mut is_late = false;
        for (since, is_newer) in self.behind_since.iter_mut().zip(is_newer) {
            is_late |= is_newer && now.since(*since.get_or_insert(now)) >= WATCH_GRACE;
        }
        is_late
    }

    /// Records that a newer version of an object is in force.
    pub(super) fn set_newer(&mut self, object: StoreObject) {
        self.behind_since[object as usize] = None;
    }
}

#[cfg(test)]
mod tests;
