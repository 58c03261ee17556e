//! Table of all known members, merged by (incarnation, status, sequence).

use std::collections::{BTreeMap, BTreeSet};

use monsoon_model::hash::mix;
use monsoon_model::{AgentId, DataCentreId, Duration, Instant, ServiceId};

use crate::bounds::{BUCKETS, DEPARTED_TTL, MAX_MEMBERS, TOMBSTONE_TTL};
use crate::{Entry, Member, Role, State, Status};

/// One row of the table.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Row {
    pub(crate) member: Member,
    pub(crate) status: Status,
    /// When the member joined (alive) or departed (dead, left), on the clock of this process.
    pub(crate) since: Instant,
    /// Sequence of the announcement that carried the load.
    load_sequence: u64,
}

/// Effect of a merge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Merge {
    /// Old news.
    Stale,
    /// Newer, but nothing that others depend on.
    Refreshed,
    /// Newer and different.
    Changed,
}

/// Members by identity, with an index by service and the set of live balancers.
#[derive(Debug, Default)]
pub(crate) struct Members {
    rows: BTreeMap<AgentId, Row>,
    services: BTreeMap<ServiceId, BTreeSet<AgentId>>,
    /// Members refused because the table was full.
    pub(crate) refused: u64,
}

impl Members {
    pub(crate) fn get(&self, id: AgentId) -> Option<&Row> {
        self.rows.get(&id)
    }

    pub(crate) fn len(&self) -> usize {
        self.rows.len()
    }

    pub(crate) fn alive(&self, id: AgentId) -> bool {
        self.rows
            .get(&id)
            .is_some_and(|row| row.status == Status::Alive)
    }

    /// Members that were declared dead, or left, within `span`.
    pub(crate) fn departed(&self, now: Instant, span: Duration) -> impl Iterator<Item = &Row> {
        let recent = move |row: &&Row| now.since(row.since) < span;
        let gone = self.rows.values().filter(|row| row.status != Status::Alive);
        gone.filter(recent)
    }

    /// Members not known as departed.
    pub(crate) fn live(&self) -> impl Iterator<Item = &Row> {
        self.rows.values().filter(|row| row.status == Status::Alive)
    }

    /// Live balancers of one data centre, in order of identity.
    pub(crate) fn balancers(&self, place: DataCentreId) -> impl Iterator<Item = &Member> {
        self.services
            .get(&ServiceId(0))
            .into_iter()
            .flatten()
            .filter_map(|id| self.rows.get(id))
            .filter(move |row| row.status == Status::Alive && row.member.group == place)
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

    /// Merges an entry.
    pub(crate) fn merge(&mut self, now: Instant, entry: &Entry) -> Merge {
        let since = before(now, entry.age);
        let fresh = Row {
            member: entry.member,
            status: entry.status,
            since,
            load_sequence: entry.member.sequence,
        };
        let Some(row) = self.rows.get_mut(&entry.member.id) else {
            return self.insert(now, fresh);
        };
        let old = Entry {
            member: row.member,
            status: row.status,
            age: 0,
        };
        if entry.order() <= old.order() {
            if row.status == entry.status && row.member.incarnation == entry.member.incarnation {
                row.since = row.since.min(since);
            }
            return Merge::Stale;
        }
        let same = row.status == entry.status && row.member.incarnation == entry.member.incarnation;
        let kept = if same { row.since.min(since) } else { since };
        let newest = row.load_sequence > fresh.load_sequence && same;
        let load = if newest {
            row.member.load
        } else {
            fresh.member.load
        };
        let load_sequence = if same {
            row.load_sequence.max(fresh.load_sequence)
        } else {
            fresh.load_sequence
        };
        let moved = row.member.service != fresh.member.service;
        let previous = row.member.service;
        *row = Row {
            since: kept,
            load_sequence,
            ..fresh
        };
        row.member.load = load;
        if moved {
            self.reindex(entry.member.id, previous, fresh.member.service);
        }
        debug_assert!(entry.order() > old.order(), "a merge never goes back");
        if old.signature() == entry.signature() {
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
        let gone = row.status != Status::Alive;
        if gone && now.since(row.since) >= TOMBSTONE_TTL {
            return Merge::Stale;
        }
        if self.rows.len() >= MAX_MEMBERS && !self.evict(gone) {
            self.refused += 1;
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

    /// Makes room for a live member by dropping the oldest tombstone.
    fn evict(&mut self, gone: bool) -> bool {
        if gone {
            return false;
        }
        let dead = self.rows.values().filter(|row| row.status != Status::Alive);
        let Some(id) = dead.min_by_key(|row| row.since).map(|row| row.member.id) else {
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

    /// Stores a load that is newer than the one known. Returns whether it was.
    pub(crate) fn load(&mut self, id: AgentId, sequence: u64, load: u16) -> bool {
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
        let old = |row: &&Row| row.status != Status::Alive && now.since(row.since) >= TOMBSTONE_TTL;
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

    /// Hash of each bucket of the members of one data centre, of all for `None`.
    pub(crate) fn digest(&self, scope: Option<DataCentreId>) -> Vec<u32> {
        let mut sums = vec![0_u64; BUCKETS];
        let rows = self.rows.values().filter(|row| row.within(scope));
        for row in rows {
            let entry = Entry {
                member: row.member,
                status: row.status,
                age: 0,
            };
            let sum = &mut sums[bucket(row.member.id)];
            *sum = sum.wrapping_add(entry.signature());
        }
        sums.into_iter().map(|sum| mix(sum, 2) as u32).collect()
    }

    /// Entries of one bucket.
    pub(crate) fn entries(
        &self,
        now: Instant,
        scope: Option<DataCentreId>,
        wanted: usize,
    ) -> impl Iterator<Item = Entry> {
        let rows = self.rows.values().filter(move |row| row.within(scope));
        let rows = rows.filter(move |row| bucket(row.member.id) == wanted);
        rows.map(move |row| row.entry(now))
    }
}

impl Row {
    /// The row as messages carry it.
    pub(crate) fn entry(&self, now: Instant) -> Entry {
        let age = seconds(now, self.since);
        Entry {
            member: self.member,
            status: self.status,
            age,
        }
    }

    fn within(&self, scope: Option<DataCentreId>) -> bool {
        scope.is_none_or(|place| self.member.group == place)
    }

    /// Whether the member may take work.
    pub(crate) fn works(&self) -> bool {
        self.status == Status::Alive && self.member.state != State::Leaving
    }

    /// Whether the member departed within the claim window.
    pub(crate) fn departed(&self, now: Instant) -> bool {
        self.status != Status::Alive && now.since(self.since) < DEPARTED_TTL
    }
}

/// Whole seconds from `since` to `now`.
pub(crate) fn seconds(now: Instant, since: Instant) -> u32 {
    u32::try_from(now.since(since).as_millis() / 1_000).unwrap_or(u32::MAX)
}

/// Point `age` seconds before `now`, not before the start of the clock.
pub(crate) fn before(now: Instant, age: u32) -> Instant {
    Instant::from_micros(now.as_micros().saturating_sub(u64::from(age) * 1_000_000))
}

fn bucket(id: AgentId) -> usize {
    (mix(id.0, 3) % BUCKETS as u64) as usize
}
