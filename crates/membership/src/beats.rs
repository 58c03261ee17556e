//! Reachability of the other data centres.
//!
//! The speakers of a data centre raise its beat and send it to the others, which send the highest
//! beat heard back. A beat that comes back (*echo*) proves both directions. A data centre whose echo
//! stands still is cut off or lost: its members leave the tables, but stay in the table of members,
//! because only their own data centre can tell whether they live. Beats pass no third data centre,
//! since packets do not either.

use std::collections::BTreeMap;

use monsoon_model::{DataCentreId, Duration, Instant};
use serde::{Deserialize, Serialize};

use crate::bounds::{
    DEPARTED_TTL, MAX_DATA_CENTRES, MAX_RETURN_DELAY, MIN_RETURN_DELAY, REMOTE_INTERVAL,
    REMOTE_TIMEOUT,
};

/// Beats by which an echo may lag behind the own beat: as many as [`REMOTE_TIMEOUT`] lasts.
const MAX_HEARTBEAT_LAG: u64 = REMOTE_TIMEOUT.as_millis() / REMOTE_INTERVAL.as_millis();

/// Beats that concern one data centre, as messages carry them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat {
    /// Data centre.
    pub place: DataCentreId,
    /// Highest beat of it that was heard in the sender's data centre.
    pub heard: u64,
    /// Highest beat of the sender's data centre that it sent back.
    pub echo: u64,
}

#[derive(Debug)]
struct Place {
    heard: u64,
    echo: u64,
    /// When the echo last rose.
    raised: Instant,
    /// Since when it is out of the tables.
    hidden: Option<Instant>,
    /// Since when a hidden one echoes again.
    returning: Option<Instant>,
    /// The members of a returning one were compared and found equal.
    compared: bool,
    /// When it last came back.
    returned: Option<Instant>,
}

impl Place {
    fn new(now: Instant) -> Self {
        let hidden = Some(now);
        Self {
            heard: 0,
            echo: 0,
            raised: now,
            hidden,
            returning: None,
            compared: false,
            returned: None,
        }
    }

    /// Notes an echo. One that lags behind the own beat is an old one that a starting process hears
    /// of only now.
    fn echoed(&mut self, now: Instant, own: u64, echo: u64) {
        if echo <= self.echo {
            return;
        }
        self.echo = echo;
        if own > echo + MAX_HEARTBEAT_LAG {
            return;
        }
        self.raised = now;
        if self.hidden.is_some() {
            self.returning.get_or_insert(now);
        }
    }

    /// Applies the silence or the new echoes. Returns whether the visibility changed.
    fn tick(&mut self, now: Instant) -> bool {
        let silent = now.since(self.raised) >= REMOTE_TIMEOUT;
        // One echo may be the last one before a cut; a later one shows that it is not.
        let confirmed = |at| self.raised.since(at) >= REMOTE_INTERVAL;
        let waited = |at| {
            let span = now.since(at);
            (self.compared && span >= MIN_RETURN_DELAY || span >= MAX_RETURN_DELAY) && confirmed(at)
        };
        let returns = self.returning.is_some_and(waited) && !silent;
        if silent {
            self.returning = None;
            self.compared = false;
        }
        match self.hidden {
            None if silent => self.hidden = Some(now),
            Some(_) if returns => {
                self.hidden = None;
                self.returning = None;
                self.compared = false;
                self.returned = Some(now);
            }
            _ => return false,
        }
        true
    }
}

/// Beats of all data centres.
#[derive(Debug)]
pub(crate) struct Beats {
    own: DataCentreId,
    beat: u64,
    raised: Instant,
    places: BTreeMap<DataCentreId, Place>,
}

impl Beats {
    pub(crate) fn new(now: Instant, own: DataCentreId) -> Self {
        Self {
            own,
            beat: 0,
            raised: now,
            places: BTreeMap::new(),
        }
    }

    /// Raises the own beat, at most once in `every`.
    pub(crate) fn raise(&mut self, now: Instant, every: Duration) {
        if now.since(self.raised) >= every {
            self.beat += 1;
            self.raised = now;
        }
    }

    /// Merges beats from a balancer of `from`.
    pub(crate) fn merge(&mut self, now: Instant, from: DataCentreId, beats: &[Beat]) {
        for beat in beats {
            if from == self.own {
                self.merge_near(now, beat);
            } else if beat.place == self.own {
                // A data centre that starts from nothing continues after its former beats.
                self.beat = self.beat.max(beat.heard);
                let (own, echo) = (self.beat, beat.heard);
                self.place(now, from, |place| place.echoed(now, own, echo));
            } else if beat.place == from {
                let heard = beat.heard;
                self.place(now, from, |place| place.heard = place.heard.max(heard));
            }
        }
        assert!(
            self.places.len() <= MAX_DATA_CENTRES,
            "the set of data centres is bounded"
        );
    }

    fn merge_near(&mut self, now: Instant, beat: &Beat) {
        if beat.place == self.own {
            self.beat = self.beat.max(beat.heard);
            return;
        }
        let Beat { heard, echo, .. } = *beat;
        let own = self.beat;
        self.place(now, beat.place, |place| {
            place.heard = place.heard.max(heard);
            place.echoed(now, own, echo);
        });
    }

    fn place(&mut self, now: Instant, id: DataCentreId, update: impl FnOnce(&mut Place)) {
        if self.places.len() < MAX_DATA_CENTRES || self.places.contains_key(&id) {
            update(self.places.entry(id).or_insert_with(|| Place::new(now)));
        }
    }

    /// Hides data centres that fell silent and shows those that came back. Returns whether any did.
    pub(crate) fn tick(&mut self, now: Instant) -> bool {
        let mut changed = false;
        for place in self.places.values_mut() {
            changed |= place.tick(now);
        }
        changed
    }

    /// Hidden data centres that echo again.
    pub(crate) fn returning(&self) -> Vec<DataCentreId> {
        let returning = self
            .places
            .iter()
            .filter(|(_, place)| place.returning.is_some());
        returning.map(|(&id, _)| id).collect()
    }

    /// Notes that the members of `id` were compared with one of its balancers and found equal.
    pub(crate) fn compared(&mut self, id: Option<DataCentreId>) {
        if let Some(place) = id.and_then(|id| self.places.get_mut(&id)) {
            place.compared |= place.returning.is_some();
        }
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
        (now.since(hidden) < DEPARTED_TTL).then_some(hidden)
    }

    /// When `id` came back after it was hidden.
    pub(crate) fn returned(&self, id: DataCentreId) -> Option<Instant> {
        self.places.get(&id)?.returned
    }

    /// Whether the last echo of `id` is older than `span`.
    pub(crate) fn silent(&self, now: Instant, id: DataCentreId, span: Duration) -> bool {
        self.places
            .get(&id)
            .is_none_or(|place| now.since(place.raised) >= span)
    }

    /// The beats as messages carry them.
    pub(crate) fn list(&self) -> Vec<Beat> {
        let own = Beat {
            place: self.own,
            heard: self.beat,
            echo: 0,
        };
        let others = self.places.iter();
        let others = others.map(|(&place, p)| Beat {
            place,
            heard: p.heard,
            echo: p.echo,
        });
        std::iter::once(own).chain(others).collect()
    }
}
