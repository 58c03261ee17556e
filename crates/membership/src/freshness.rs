//! Configuration versions in force here and the newest ones seen.

use monsoon_model::{Instant, Versions};

use crate::bounds::ASK_EVERY;
use crate::{Action, Head};

/// Decides when to ask for a newer configuration.
#[derive(Debug)]
pub(crate) struct Freshness {
    local: Versions,
    seen: Versions,
    asked: Option<Instant>,
}

impl Freshness {
    pub(crate) fn new(local: Versions) -> Self {
        Self {
            local,
            seen: local,
            asked: None,
        }
    }

    /// Takes over the versions in force. Older ones are ignored, so they never go back. Returns
    /// whether one rose.
    pub(crate) fn set(&mut self, versions: Versions) -> bool {
        let rose = versions.is_ahead_of(self.local);
        self.local.document = self.local.document.max(versions.document);
        self.local.evacuations = self.local.evacuations.max(versions.evacuations);
        if rose {
            self.asked = None;
        }
        rose
    }

    pub(crate) fn local(&self) -> Versions {
        self.local
    }

    /// Whether no message has shown the versions in force yet.
    pub(crate) fn is_first(&self) -> bool {
        self.local.is_ahead_of(self.seen)
    }

    /// Reports a sender that is ahead, at most once in [`ASK_EVERY`].
    pub(crate) fn see(&mut self, now: Instant, head: &Head) -> Option<Action> {
        self.seen.document = self.seen.document.max(head.versions.document);
        self.seen.evacuations = self.seen.evacuations.max(head.versions.evacuations);
        let recent = self.asked.is_some_and(|at| now.since(at) < ASK_EVERY);
        if recent || !head.versions.is_ahead_of(self.local) {
            return None;
        }
        self.asked = Some(now);
        Some(Action::FetchConfiguration {
            peer: head.peer,
            versions: head.versions,
        })
    }
}
