//! Table of all known members. Of two entries of a member, the one with the greater
//! [`Entry::precedence`] is kept.

use std::collections::{BTreeMap, BTreeSet};

use monsoon_model::hash::mix;
use monsoon_model::{AgentId, DataCentreId, Duration, Instant, ServiceId};

use crate::bounds::{BUCKETS, DEPARTED_TTL, MAX_MEMBERS, TOMBSTONE_TTL};
use crate::{Entry, Member, Role, State, Status};

/// Row of the table.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Row {
    pub(crate) member: Member,
    pub(crate) status: Status,
    /// When the member joined (alive) or departed (dead, left), on the clock of this process.
    pub(crate) changed_at: Instant,
    /// Sequence of the announcement that carried the load.
    load_sequence: u64,
}

/// Effect of a merge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Merge {
    /// The entry is older than the row and was ignored.
    Stale,
    /// The entry is newer, without a change that other members depend on.
    Refreshed,
    /// The entry is newer and changes the row.
    Changed,
}

/// Members by identity, with an index by service. Service 0 holds the balancers.
#[derive(Debug, Default)]
pub(crate) struct Members {
    rows: BTreeMap<AgentId, Row>,
    services: BTreeMap<ServiceId, BTreeSet<AgentId>>,
    /// Members rejected because the table was full.
    pub(crate) rejected: u64,
}

impl Members {
    pub(crate) fn get(&self, id: AgentId) -> Option<&Row> {
        self.rows.get(&id)
    }

    pub(crate) fn len(&self) -> usize {
        self.rows.len()
    }

    pub(crate) fn is_alive(&self, id: AgentId) -> bool {
        self.rows
            .get(&id)
            .is_some_and(|row| row.status == Status::Alive)
    }

    /// Members that were declared dead or left within `span` before `now`.
    pub(crate) fn departed(&self, now: Instant, span: Duration) -> impl Iterator<Item = &Row> {
        let recent = move |row: &&Row| now.since(row.changed_at) < span;
        let departed = self.rows.values().filter(|row| row.status != Status::Alive);
        departed.filter(recent)
    }

    /// Members not known as departed.
    pub(crate) fn live(&self) -> impl Iterator<Item = &Row> {
        self.rows.values().filter(|row| row.status == Status::Alive)
    }

    /// Live balancers of one data centre, in order of identity.
    pub(crate) fn balancers(&self, data_centre: DataCentreId) -> impl Iterator<Item = &Member> {
        self.services
            .get(&ServiceId(0))
            .into_iter()
            .flatten()
            .filter_map(|id| self.rows.get(id))
            .filter(move |row| row.status == Status::Alive && row.member.group == data_centre)
            .map(|row| &row.member)
            .filter(|m| m.role == Role::Balancer)
    }

    /// All rows of one service.
    pub(crate) fn service(&self, service: ServiceId) -> impl Iterator<Item = &Row> {
        self.services
            .get(&service)
            .into_iter()
            .flatten()
            .filter_map(|id| self.rows.get(id))
    }

    /// Merges an entry. The row keeps the earliest join or departure time and the latest load.
    pub(crate) fn merge(&mut self, now: Instant, entry: &Entry) -> Merge {
        let changed_at = seconds_before(now, entry.age);
        let update = Row {
            member: entry.member,
            status: entry.status,
            changed_at,
            load_sequence: entry.member.sequence,
        };
        let Some(row) = self.rows.get_mut(&entry.member.id) else {
            return self.insert(now, update);
        };
        let old = Entry {
            member: row.member,
            status: row.status,
            age: 0,
        };
        if entry.precedence() <= old.precedence() {
            if row.status == entry.status && row.member.incarnation == entry.member.incarnation {
                row.changed_at = row.changed_at.min(changed_at);
            }
            return Merge::Stale;
        }
        let same = row.status == entry.status && row.member.incarnation == entry.member.incarnation;
        let earliest = if same {
            row.changed_at.min(changed_at)
        } else {
            changed_at
        };
        let newest = row.load_sequence > update.load_sequence && same;
        let load = if newest {
            row.member.load
        } else {
            update.member.load
        };
        let load_sequence = if same {
            row.load_sequence.max(update.load_sequence)
        } else {
            update.load_sequence
        };
        let moved = row.member.service != update.member.service;
        let previous = row.member.service;
        *row = Row {
            changed_at: earliest,
            load_sequence,
            ..update
        };
        row.member.load = load;
        if moved {
            self.reindex(entry.member.id, previous, update.member.service);
        }
        debug_assert!(
            entry.precedence() > old.precedence(),
            "a merge never goes back"
        );
        if old.fingerprint() == entry.fingerprint() {
            Merge::Refreshed
        } else {
            Merge::Changed
        }
    }

    fn reindex(&mut self, id: AgentId, from: ServiceId, to: ServiceId) {
        if let Some(ids) = self.services.get_mut(&from) {
            ids.remove(&id);
        }
        self.services.entry(to).or_default().insert(id);
    }

    fn insert(&mut self, now: Instant, row: Row) -> Merge {
        let is_departed = row.status != Status::Alive;
        if is_departed && now.since(row.changed_at) >= TOMBSTONE_TTL {
            return Merge::Stale;
        }
        if self.rows.len() >= MAX_MEMBERS && !self.evict(is_departed) {
            self.rejected += 1;
            return Merge::Stale;
        }
        self.rows.insert(row.member.id, row);
        self.services
            .entry(row.member.service)
            .or_default()
            .insert(row.member.id);
        assert!(self.rows.len() <= MAX_MEMBERS, "the table is bounded");
        Merge::Changed
    }

    /// Makes room for a live member by dropping the oldest tombstone; for a departed member nothing
    /// is dropped.
    fn evict(&mut self, is_departed: bool) -> bool {
        if is_departed {
            return false;
        }
        let dead = self.rows.values().filter(|row| row.status != Status::Alive);
        let Some(id) = dead
            .min_by_key(|row| row.changed_at)
            .map(|row| row.member.id)
        else {
            return false;
        };
        self.remove(id);
        true
    }

    fn remove(&mut self, id: AgentId) {
        let Some(row) = self.rows.remove(&id) else {
            return;
        };
        if let Some(ids) = self.services.get_mut(&row.member.service) {
            ids.remove(&id);
            if ids.is_empty() {
                self.services.remove(&row.member.service);
            }
        }
    }

    /// Stores a load and returns true if it is newer than the known one.
    pub(crate) fn update_load(&mut self, id: AgentId, sequence: u64, load: u16) -> bool {
        let Some(row) = self.rows.get_mut(&id) else {
            return false;
        };
        if row.status != Status::Alive || sequence <= row.load_sequence {
            return false;
        }
        row.load_sequence = sequence;
        row.member.load = load;
        true
    }

    /// Drops tombstones that have expired.
    pub(crate) fn expire(&mut self, now: Instant) {
        let old =
            |row: &&Row| row.status != Status::Alive && now.since(row.changed_at) >= TOMBSTONE_TTL;
        let ids = self
            .rows
            .values()
            .filter(old)
            .map(|row| row.member.id)
            .collect::<Vec<_>>();
        for id in ids {
            self.remove(id);
        }
    }

    /// Hash of each bucket of the members of one data centre; `None` means all.
    pub(crate) fn digest(&self, scope: Option<DataCentreId>) -> Vec<u32> {
        let mut sums = vec![0_u64; BUCKETS];
        let rows = self.rows.values().filter(|row| row.is_in(scope));
        for row in rows {
            let entry = Entry {
                member: row.member,
                status: row.status,
                age: 0,
            };
            let sum = &mut sums[bucket(row.member.id)];
            *sum = sum.wrapping_add(entry.fingerprint());
        }
        sums.into_iter().map(|sum| mix(sum, 2) as u32).collect()
    }

    /// Entries of the bucket `wanted`.
    pub(crate) fn entries(
        &self,
        now: Instant,
        scope: Option<DataCentreId>,
        wanted: usize,
    ) -> impl Iterator<Item = Entry> {
        let rows = self.rows.values().filter(move |row| row.is_in(scope));
        let rows = rows.filter(move |row| bucket(row.member.id) == wanted);
        rows.map(move |row| row.entry(now))
    }
}

impl Row {
    /// The row as an entry of a message.
    pub(crate) fn entry(&self, now: Instant) -> Entry {
        let age = elapsed_seconds(now, self.changed_at);
        Entry {
            member: self.member,
            status: self.status,
            age,
        }
    }

    fn is_in(&self, scope: Option<DataCentreId>) -> bool {
        scope.is_none_or(|data_centre| self.member.group == data_centre)
    }

    /// Whether the member may take work.
    pub(crate) fn takes_work(&self) -> bool {
        self.status == Status::Alive && self.member.state != State::Leaving
    }

    /// Whether the member departed within the claim window.
    pub(crate) fn departed_recently(&self, now: Instant) -> bool {
        self.status != Status::Alive && now.since(self.changed_at) < DEPARTED_TTL
    }
}

/// Whole seconds from `start` to `now`.
pub(crate) fn elapsed_seconds(now: Instant, start: Instant) -> u32 {
    u32::try_from(now.since(start).as_millis() / 1_000).unwrap_or(u32::MAX)
}

/// Instant `age` seconds before `now`, at the earliest the start of the clock.
pub(crate) fn seconds_before(now: Instant, age: u32) -> Instant {
    Instant::from_micros(now.as_micros().saturating_sub(u64::from(age) * 1_000_000))
}

fn bucket(id: AgentId) -> usize {
    (mix(id.0, 3) % BUCKETS as u64) as usize
}
