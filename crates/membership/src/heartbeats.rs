//! Reachability of the other data centres.
//!
//! A heartbeat is a number that the speakers of a data centre increase and send to the other data
//! centres, which send the highest received one back as an acknowledgement. An acknowledged
//! heartbeat shows that messages pass in both directions. A data centre whose acknowledgements stop
//! is partitioned or lost. It is then hidden: its members leave the routing tables but stay in the
//! member table, because only their own data centre can tell whether they are alive. Heartbeats
//! are not forwarded through a third data centre, since packets are not either.

use std::collections::BTreeMap;

use monsoon_model::{DataCentreId, Duration, Instant};
use serde::{Deserialize, Serialize};

use crate::bounds::{
    DEPARTED_TTL, MAX_DATA_CENTRES, MAX_RETURN_DELAY, MIN_RETURN_DELAY, REMOTE_INTERVAL,
    REMOTE_TIMEOUT,
};

/// Number of heartbeats by which an acknowledgement may lag behind the heartbeat of this data
/// centre: those of one [`REMOTE_TIMEOUT`].
const MAX_HEARTBEAT_LAG: u64 = REMOTE_TIMEOUT.as_millis() / REMOTE_INTERVAL.as_millis();

/// Heartbeats that concern one data centre, as messages carry them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Highest heartbeat of it that the sender's data centre received.
    pub received: u64,
    /// Highest heartbeat of the sender's data centre that it acknowledged.
    pub acknowledged: u64,
}

#[derive(Debug)]
struct Remote {
    received: u64,
    acknowledged: u64,
    /// When the acknowledged heartbeat last increased.
    acknowledged_at: Instant,
    /// When its members left the routing tables; `None` while they are in them.
    hidden_at: Option<Instant>,
    /// Time of the first new acknowledgement while it is hidden.
    returning_since: Option<Instant>,
    /// Whether a comparison of its members with one of its balancers found no difference since it
    /// began to return.
    is_equal: bool,
    /// When its members last returned to the routing tables.
    returned_at: Option<Instant>,
}

impl Remote {
    fn new(now: Instant) -> Self {
        let hidden_at = Some(now);
        Self {
            received: 0,
            acknowledged: 0,
            acknowledged_at: now,
            hidden_at,
            returning_since: None,
            is_equal: false,
            returned_at: None,
        }
    }

    /// Records an acknowledgement. One that lags too far behind the heartbeat of this data centre
    /// is not new: a process that just started receives it late.
    fn receive_ack(&mut self, now: Instant, own: u64, acknowledged: u64) {
        if acknowledged <= self.acknowledged {
            return;
        }
        self.acknowledged = acknowledged;
        if own > acknowledged + MAX_HEARTBEAT_LAG {
            return;
        }
        self.acknowledged_at = now;
        if self.hidden_at.is_some() {
            self.returning_since.get_or_insert(now);
        }
    }

    /// Hides the data centre or lets it return. Returns whether either happened.
    fn tick(&mut self, now: Instant) -> bool {
        let is_unresponsive = now.since(self.acknowledged_at) >= REMOTE_TIMEOUT;
        // The first acknowledgement may be the last one before a partition, so a later one must
        // confirm it.
        let confirmed = |at| self.acknowledged_at.since(at) >= REMOTE_INTERVAL;
        let waited = |at| {
            let span = now.since(at);
            (self.is_equal && span >= MIN_RETURN_DELAY || span >= MAX_RETURN_DELAY) && confirmed(at)
        };
        let returns = self.returning_since.is_some_and(waited) && !is_unresponsive;
        if is_unresponsive {
            self.returning_since = None;
            self.is_equal = false;
        }
        match self.hidden_at {
            None if is_unresponsive => self.hidden_at = Some(now),
            Some(_) if returns => {
                self.hidden_at = None;
                self.returning_since = None;
                self.is_equal = false;
                self.returned_at = Some(now);
            }
            _ => return false,
        }
        true
    }
}

/// Heartbeats of all data centres.
#[derive(Debug)]
pub(crate) struct HeartbeatTracker {
    own_id: DataCentreId,
    heartbeat: u64,
    raised_at: Instant,
    remotes: BTreeMap<DataCentreId, Remote>,
}

impl HeartbeatTracker {
    pub(crate) fn new(now: Instant, own_id: DataCentreId) -> Self {
        Self {
            own_id,
            heartbeat: 0,
            raised_at: now,
            remotes: BTreeMap::new(),
        }
    }

    /// Increases the heartbeat of this data centre, at most once in `every`.
    pub(crate) fn raise(&mut self, now: Instant, every: Duration) {
        if now.since(self.raised_at) >= every {
            self.heartbeat += 1;
            self.raised_at = now;
        }
    }

    /// Merges heartbeats from a balancer of `from`.
    pub(crate) fn merge(&mut self, now: Instant, from: DataCentreId, heartbeats: &[Heartbeat]) {
        for heartbeat in heartbeats {
            if from == self.own_id {
                self.merge_local(now, heartbeat);
            } else if heartbeat.data_centre == self.own_id {
                // A data centre that was restarted as a whole continues after its former
                // heartbeats.
                self.heartbeat = self.heartbeat.max(heartbeat.received);
                let (own, acked) = (self.heartbeat, heartbeat.received);
                self.update(now, from, |remote| remote.receive_ack(now, own, acked));
            } else if heartbeat.data_centre == from {
                let received = heartbeat.received;
                self.update(now, from, |r| r.received = r.received.max(received));
            }
        }
        assert!(
            self.remotes.len() <= MAX_DATA_CENTRES,
            "the set of data centres is bounded"
        );
    }

    fn merge_local(&mut self, now: Instant, heartbeat: &Heartbeat) {
        if heartbeat.data_centre == self.own_id {
            self.heartbeat = self.heartbeat.max(heartbeat.received);
            return;
        }
        let Heartbeat {
            received,
            acknowledged,
            ..
        } = *heartbeat;
        let own = self.heartbeat;
        self.update(now, heartbeat.data_centre, |remote| {
            remote.received = remote.received.max(received);
            remote.receive_ack(now, own, acknowledged);
        });
    }

    fn update(&mut self, now: Instant, id: DataCentreId, change: impl FnOnce(&mut Remote)) {
        if self.remotes.len() < MAX_DATA_CENTRES || self.remotes.contains_key(&id) {
            change(self.remotes.entry(id).or_insert_with(|| Remote::new(now)));
        }
    }

    /// Hides unresponsive data centres and lets others return. Returns whether any did either.
    pub(crate) fn tick(&mut self, now: Instant) -> bool {
        let mut changed = false;
        for remote in self.remotes.values_mut() {
            changed |= remote.tick(now);
        }
        changed
    }

    /// Hidden data centres that acknowledge heartbeats again.
    pub(crate) fn returning(&self) -> Vec<DataCentreId> {
        let returning = self
            .remotes
            .iter()
            .filter(|(_, remote)| remote.returning_since.is_some());
        returning.map(|(&id, _)| id).collect()
    }

    /// Records that a comparison of the members of `id` with one of its balancers found no
    /// difference.
    pub(crate) fn record_equal(&mut self, id: Option<DataCentreId>) {
        if let Some(remote) = id.and_then(|id| self.remotes.get_mut(&id)) {
            remote.is_equal |= remote.returning_since.is_some();
        }
    }

    /// Restarts the timers after a suspension of this process.
    pub(crate) fn resume(&mut self, now: Instant) {
        for remote in self.remotes.values_mut() {
            remote.acknowledged_at = now;
        }
    }

    /// Whether members of `id` belong to the routing tables.
    pub(crate) fn is_visible(&self, id: DataCentreId) -> bool {
        id == self.own_id
            || self
                .remotes
                .get(&id)
                .is_some_and(|remote| remote.hidden_at.is_none())
    }

    /// When `id` was hidden, within the claim window.
    pub(crate) fn hidden_at(&self, now: Instant, id: DataCentreId) -> Option<Instant> {
        let hidden = self.remotes.get(&id)?.hidden_at?;
        (now.since(hidden) < DEPARTED_TTL).then_some(hidden)
    }

    /// When the members of `id` last returned to the routing tables.
    pub(crate) fn returned_at(&self, id: DataCentreId) -> Option<Instant> {
        self.remotes.get(&id)?.returned_at
    }

    /// Whether `id` has acknowledged no new heartbeat for `span`.
    pub(crate) fn is_unresponsive(&self, now: Instant, id: DataCentreId, span: Duration) -> bool {
        self.remotes
            .get(&id)
            .is_none_or(|remote| now.since(remote.acknowledged_at) >= span)
    }

    /// The heartbeats as messages carry them.
    pub(crate) fn list(&self) -> Vec<Heartbeat> {
        let own = Heartbeat {
            data_centre: self.own_id,
            received: self.heartbeat,
            acknowledged: 0,
        };
        let others = self.remotes.iter();
        let others = others.map(|(&data_centre, remote)| Heartbeat {
            data_centre,
            received: remote.received,
            acknowledged: remote.acknowledged,
        });
        std::iter::once(own).chain(others).collect()
    }
}
