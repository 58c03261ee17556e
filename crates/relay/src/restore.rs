//! What stays in force when the store comes back from an older copy. The store counts up its era
//! with each such restore, and loses what was written after the copy until it is written again.
//!
//! The decisions depend only on what was read and when, and not on the order in which the store and
//! peers are heard.

use std::collections::{BTreeMap, BTreeSet};

use monsoon_flow::Evacuations;
use monsoon_model::{Duration, Instant, Number, Version};

use crate::message::{List, StoreObject};

/// Time for which an evacuation stays in force although its entry is missing in a new era.
/// Operators write again what they had written, within seconds.
pub(crate) const REWRITE_WAIT: Duration = Duration::from_secs(30);
/// Delay from the end of [`REWRITE_WAIT`] to a last read of everything. Other processes learned of
/// the era up to some seconds later, and may have passed on an evacuation that has ended here.
const RECHECK_DELAY: Duration = Duration::from_secs(5);
/// Time for the last read, after which a process may rely on peers again.
const RECHECK_TIME: Duration = Duration::from_secs(5);

/// Further reads while the store cannot be read. The peer that was asked may itself have learned of
/// the era from another one, and end an evacuation later than the first read here.
const MAX_RECHECKS: u32 = 4;

/// What to do with a configuration that was offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Choice {
    /// It is not newer.
    Ignore,
    /// It comes into force.
    Adopt,
    /// It comes from the copy. The present one stays in force with this version.
    Restamp(Version),
}

/// Where a set of evacuations comes from.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Source<'a> {
    /// The whole list of the store at a revision.
    List(List),
    /// Changes in the store, which wrote or removed the entries of these names.
    Changes(&'a BTreeSet<String>),
    /// Another process.
    Peer,
}

/// Compares an offered configuration with the one in force. Within an era the larger number is
/// newer. The number is the operators' own, which increases across eras, so that a lower number in
/// a later era is one that the copy still holds.
pub(crate) fn choose(present: Option<Version>, offered: Version) -> Choice {
    match present {
        Some(present) if offered <= present => Choice::Ignore,
        Some(present) if offered.number() < present.number() => {
            Choice::Restamp(present.in_era(offered.era()))
        }
        _ => Choice::Adopt,
    }
}

/// Whether a conditional write took effect in the era in which its condition was read. A revision
/// names another state in each era.
pub(crate) fn is_same_era(read: Option<u64>, written: Option<u64>) -> bool {
    read.is_none() || written.is_none() || read == written
}

/// Evacuations in force, and the progress of the last restore.
#[derive(Debug, Default)]
pub(crate) struct Restore {
    /// Latest era of which the store or the configuration of a peer is known.
    era: u64,
    /// Whether any era is known. The first one is not a restore.
    is_known: bool,
    /// Latest era that a peer has announced.
    announced: u64,
    /// Whether the present era began with a restore that this process has seen.
    is_restored: bool,
    /// Objects that were read from the store in the present era, indexed by `StoreObject`.
    is_read: [bool; 2],
    /// Data centres that were evacuated before the restore and not found in the store since, and
    /// the times until which they stay evacuated.
    retained: BTreeMap<String, Instant>,
    /// Whether the store's list of the present era lacked an evacuation.
    is_incomplete: bool,
    /// Additional delay of the last read here. It differs between processes, so that they do not
    /// all read the store at the same instant.
    recheck_spread: Duration,
    /// Time of the last read after a restore.
    recheck_at: Option<Instant>,
    /// Reads that may follow it while the store cannot be read.
    rechecks_left: u32,
    /// Time until which the store is read after a restore, at the longest.
    ends_at: Option<Instant>,
    /// Set that was last accepted, without the retained data centres.
    accepted: BTreeSet<String>,
    /// Set in force.
    in_force: Evacuations,
    /// Revision of the last list of the present era that was read here completely. All changes up
    /// to it are known.
    listed_at: Option<Number>,
}

impl Restore {
    /// State at the start, with an additional delay of the last read after each restore.
    pub(crate) fn new(recheck_spread: Duration) -> Self {
        Self {
            recheck_spread,
            ..Self::default()
        }
    }

    /// Present era.
    pub(crate) fn era(&self) -> u64 {
        self.era
    }

    /// Evacuations in force.
    pub(crate) fn evacuations(&self) -> &Evacuations {
        &self.in_force
    }

    /// Records the era of a response of the store, or of a peer's configuration. Returns whether
    /// the store was restored since the last one.
    pub(crate) fn observe(&mut self, now: Instant, era: u64) -> bool {
        let is_later = era > self.era;
        let is_restore = is_later && self.is_known;
        self.is_known = true;
        if is_later {
            self.era = era;
            self.is_read = [false; 2];
            self.is_restored = is_restore;
            self.is_incomplete = false;
            self.listed_at = None;
            self.recheck_at = None;
            self.ends_at = None;
        }
        if is_restore {
            let recheck_at = now + REWRITE_WAIT + RECHECK_DELAY + self.recheck_spread;
            self.recheck_at = Some(recheck_at);
            self.rechecks_left = MAX_RECHECKS;
            self.ends_at = Some(recheck_at + RECHECK_TIME);
        }
        is_restore
    }

    /// Records the era that a peer announces. Returns whether the store has to be read again at
    /// once. An announcement alone does not make responses of the store count as late.
    pub(crate) fn announce(&mut self, now: Instant, era: u64) -> bool {
        let is_later = era > self.era.max(self.announced);
        if is_later {
            self.announced = era;
            self.is_read = [false; 2];
            self.ends_at = Some(now + REWRITE_WAIT);
        }
        is_later
    }

    /// Records that the whole list of an object was read from the store in the present era.
    pub(crate) fn set_read(&mut self, object: StoreObject) {
        self.is_read[object as usize] = true;
    }

    /// Whether the process has to read the store itself, because peers may not know all that the
    /// restore has changed.
    pub(crate) fn needs_store(&self, now: Instant) -> bool {
        self.ends_at.is_some_and(|ends_at| now < ends_at)
            && (self.is_incomplete || !self.retained.is_empty() || self.is_read != [true; 2])
    }

    /// Whether everything is due to be read for the last time after a restore. A process that
    /// cannot read the store repeats it, because it depends on what its peers have ended.
    pub(crate) fn take_recheck(&mut self, now: Instant) -> bool {
        if self.recheck_at.is_none_or(|at| now < at) {
            return false;
        }
        let is_read = self.is_read == [true; 2];
        let is_repeated = !is_read && self.rechecks_left > 0;
        self.recheck_at = is_repeated.then_some(now + RECHECK_DELAY);
        self.rechecks_left = self.rechecks_left.saturating_sub(1);
        self.is_incomplete || !is_read
    }

    /// Handles a set of evacuations. Returns whether the set in force or its version may have
    /// changed.
    ///
    /// In a later era all that was evacuated stays so until its entry was seen in the store, or
    /// until [`REWRITE_WAIT`] has passed.
    pub(crate) fn offer(&mut self, now: Instant, offered: Evacuations, from: Source<'_>) -> bool {
        let present = self.in_force.version;
        let mut version = offered.version;
        let is_later = version.era() > present.era();
        if version.era() < present.era().max(self.era) {
            return false;
        }
        if is_later && self.is_restored {
            let in_force = &self.in_force.data_centres;
            let until = now + REWRITE_WAIT;
            // A peer's set may hold data centres that it retains.
            let of_peer = offered
                .data_centres
                .iter()
                .filter(|_| matches!(from, Source::Peer));
            let names = in_force.iter().chain(of_peer).cloned();
            self.retained = names.map(|name| (name, until)).collect();
        }
        if matches!(from, Source::Peer)
            && let Some(listed_at) = self.newer_list(now, &offered)
        {
            // The peer, and all that have the set from it, adopt the present one.
            self.in_force.version = listed_at;
            return true;
        }
        match from {
            Source::List(list) => {
                self.listed_at = list.is_complete.then_some(list.revision);
                self.retained
                    .retain(|name, _| !offered.data_centres.contains(name));
                self.is_incomplete |= !self.retained.is_empty();
            }
            Source::Changes(touched) => self.retained.retain(|name, _| !touched.contains(name)),
            Source::Peer => {}
        }
        let data_centres = with_retained(&offered.data_centres, &self.retained);
        if let Source::List(List { revision, .. }) = from
            && data_centres != self.in_force.data_centres
            && version <= present
        {
            // The current list of the store takes precedence over any list of a peer, which was
            // read at an earlier revision.
            version = Version::new(version.era(), revision);
        }
        if version < present {
            // The set is older than a peer's, but may show that an entry was written again.
            return !self.end_retained().is_empty();
        }
        self.accepted = offered.data_centres;
        self.in_force = Evacuations {
            version,
            data_centres,
        };
        true
    }

    /// Version of the list that was read here, if a peer's set differs from it and is of an earlier
    /// revision. Nobody may know any more that its evacuations were withdrawn: a list does not show
    /// the revision at which an entry was removed. After a restore, peers know of entries that the
    /// list lacks.
    fn newer_list(&self, now: Instant, offered: &Evacuations) -> Option<Version> {
        let listed_at = Version::new(self.in_force.version.era(), self.listed_at?);
        let is_restoring = self.ends_at.is_some_and(|ends_at| now < ends_at);
        let is_older = offered.version > self.in_force.version && offered.version <= listed_at;
        let is_other = offered.data_centres != self.in_force.data_centres;
        (is_older && is_other && !is_restoring).then_some(listed_at)
    }

    /// Ends the evacuations that were retained for [`REWRITE_WAIT`]. Returns those that are no
    /// longer in force.
    pub(crate) fn expire(&mut self, now: Instant) -> BTreeSet<String> {
        if self.retained.is_empty() {
            return BTreeSet::new();
        }
        self.retained.retain(|_, until| *until > now);
        self.end_retained()
    }

    /// Ends the evacuations that are neither accepted nor retained any more, and returns them.
    fn end_retained(&mut self) -> BTreeSet<String> {
        let data_centres = with_retained(&self.accepted, &self.retained);
        let ended = self.in_force.data_centres.difference(&data_centres);
        let ended = ended.cloned().collect();
        self.in_force.data_centres = data_centres;
        ended
    }
}

fn with_retained(
    names: &BTreeSet<String>,
    retained: &BTreeMap<String, Instant>,
) -> BTreeSet<String> {
    names.iter().chain(retained.keys()).cloned().collect()
}

#[cfg(test)]
mod tests;
