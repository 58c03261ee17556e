//! Configuration versions in force in this process and the newest ones that messages have shown.

use monsoon_model::{Instant, Versions};

use crate::bounds::REQUEST_INTERVAL;
use crate::{Action, Header};

/// Decides when to fetch a newer configuration.
#[derive(Debug)]
pub(crate) struct VersionTracker {
    current: Versions,
    newest_seen: Versions,
    requested_at: Option<Instant>,
}

impl VersionTracker {
    pub(crate) fn new(current: Versions) -> Self {
        Self {
            current,
            newest_seen: current,
            requested_at: None,
        }
    }

    /// Updates the versions in force and returns whether one is newer. An older one is ignored, so
    /// that the versions never decrease.
    pub(crate) fn set_current(&mut self, versions: Versions) -> bool {
        let is_newer = versions.is_ahead_of(self.current);
        self.current.document = self.current.document.max(versions.document);
        self.current.evacuations = self.current.evacuations.max(versions.evacuations);
        if is_newer {
            self.requested_at = None;
        }
        is_newer
    }

    pub(crate) fn current(&self) -> Versions {
        self.current
    }

    /// Whether a version in force is newer than all that messages have shown.
    pub(crate) fn is_newest(&self) -> bool {
        self.current.is_ahead_of(self.newest_seen)
    }

    /// Returns a fetch from a sender with a newer configuration, at most once in
    /// [`REQUEST_INTERVAL`].
    pub(crate) fn observe(&mut self, now: Instant, header: &Header) -> Option<Action> {
        self.newest_seen.document = self.newest_seen.document.max(header.versions.document);
        self.newest_seen.evacuations = self
            .newest_seen
            .evacuations
            .max(header.versions.evacuations);
        let recent = self
            .requested_at
            .is_some_and(|at| now.since(at) < REQUEST_INTERVAL);
        if recent || !header.versions.is_ahead_of(self.current) {
            return None;
        }
        self.requested_at = Some(now);
        Some(Action::FetchConfiguration {
            peer: header.peer,
            versions: header.versions,
        })
    }
}
