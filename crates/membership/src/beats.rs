//! Liveness of the other data centres.
//!
//! The speakers of a data centre raise its beat, and every gossip message carries the highest beats
//! known. A data centre whose beat stands still is cut off or lost: its members leave the tables
//! but stay in the table of members, because only their own data centre can tell whether they live.

use std::collections::BTreeMap;

use monsoon_model::{DataCentreId, Duration, Instant};

use crate::bounds::{DEPARTED_FOR, MAX_PLACES, REMOTE_AFTER};

#[derive(Debug)]
struct Place {
    beat: u64,
    raised: Instant,
    hidden: Option<Instant>,
    returned: Option<Instant>,
}

/// Beats of all data centres.
#[derive(Debug)]
pub(crate) struct Beats {
    own: DataCentreId,
    places: BTreeMap<DataCentreId, Place>,
}

impl Beats {
    pub(crate) fn new(now: Instant, own: DataCentreId) -> Self {
        let place = Place {
            beat: 0,
            raised: now,
            hidden: None,
            returned: None,
        };
        Self {
            own,
            places: BTreeMap::from([(own, place)]),
        }
    }

    /// Raises the own beat, at most once in `every`.
    pub(crate) fn raise(&mut self, now: Instant, every: Duration) {
        let Some(place) = self.places.get_mut(&self.own) else {
            return;
        };
        if now.since(place.raised) >= every {
            place.beat += 1;
            place.raised = now;
        }
    }

    /// Merges received beats. Returns whether a hidden data centre came back.
    pub(crate) fn merge(&mut self, now: Instant, beats: &[(DataCentreId, u64)]) -> bool {
        let mut back = false;
        for &(id, beat) in beats {
            if self.places.len() >= MAX_PLACES && !self.places.contains_key(&id) {
                continue;
            }
            let place = self.places.entry(id).or_insert(Place {
                beat: 0,
                raised: now,
                hidden: Some(now),
                returned: None,
            });
            if beat <= place.beat {
                continue;
            }
            place.beat = beat;
            place.raised = now;
            if place.hidden.take().is_some() {
                place.returned = Some(now);
                back = true;
            }
        }
        assert!(
            self.places.len() <= MAX_PLACES,
            "the set of data centres is bounded"
        );
        back
    }

    /// Hides data centres that fell silent. Returns whether one did.
    pub(crate) fn tick(&mut self, now: Instant) -> bool {
        let mut hid = false;
        for (&id, place) in &mut self.places {
            if id != self.own && place.hidden.is_none() && now.since(place.raised) >= REMOTE_AFTER {
                place.hidden = Some(now);
                hid = true;
            }
        }
        hid
    }

    /// Restarts the timers after a pause of this process.
    pub(crate) fn thaw(&mut self, now: Instant) {
        for place in self.places.values_mut() {
            place.raised = now;
        }
    }

    /// Whether members of `id` belong into the tables.
    pub(crate) fn visible(&self, id: DataCentreId) -> bool {
        id == self.own
            || self
                .places
                .get(&id)
                .is_some_and(|place| place.hidden.is_none())
    }

    /// When `id` was hidden, within the claim window.
    pub(crate) fn hidden(&self, now: Instant, id: DataCentreId) -> Option<Instant> {
        let hidden = self.places.get(&id)?.hidden?;
        (now.since(hidden) < DEPARTED_FOR).then_some(hidden)
    }

    /// When `id` came back after it was hidden.
    pub(crate) fn returned(&self, id: DataCentreId) -> Option<Instant> {
        self.places.get(&id)?.returned
    }

    /// Whether the last beat of `id` is older than `span`.
    pub(crate) fn silent(&self, now: Instant, id: DataCentreId, span: Duration) -> bool {
        self.places
            .get(&id)
            .is_none_or(|place| now.since(place.raised) >= span)
    }

    /// The beats as messages carry them.
    pub(crate) fn list(&self) -> Vec<(DataCentreId, u64)> {
        self.places
            .iter()
            .map(|(&id, place)| (id, place.beat))
            .collect()
    }
}
