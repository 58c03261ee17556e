//! Order of the waiting requests, without their items.
//!
//! Each priority has two groups, of the requests that can reach their goals and of those that
//! cannot. Time and the estimate move requests between the groups, and out of both once their
//! limits cannot be met. Ordered maps by goal and by limit find those that have to move, so that a
//! call visits no others.

use std::collections::BTreeMap;

use monsoon_model::{Duration, Instant};

use super::group::{Group, Sequence, Share};
use super::request::{Estimate, Waiting};
use crate::account_shares::{AccountKey, AccountShares};

/// What the order knows of a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Place {
    pub(super) sequence: Sequence,
    account: AccountKey,
    priority: u8,
    goal_at: Instant,
    expires_at: Instant,
}

impl Place {
    pub(super) fn new<T>(sequence: Sequence, request: &Waiting<T>) -> Self {
        Self {
            sequence,
            account: request.account,
            priority: request.priority,
            goal_at: request.goal_at,
            expires_at: request.expires_at,
        }
    }

    fn goal(&self) -> (Instant, Sequence) {
        (self.goal_at, self.sequence)
    }

    fn expiry(&self) -> (Instant, Sequence) {
        (self.expires_at, self.sequence)
    }
}

type Places = BTreeMap<(Instant, Sequence), Place>;

/// Requests of one priority.
#[derive(Clone, Debug, Default)]
struct Level {
    in_time: Group,
    late: Group,
}

impl Level {
    fn len(&self) -> usize {
        self.in_time.len() + self.late.len()
    }
}

/// Order of all requests.
#[derive(Clone, Debug, Default)]
pub(super) struct Order {
    levels: BTreeMap<u8, Level>,
    /// Requests that can reach their goals, by goal.
    in_time: Places,
    /// Requests that cannot, by goal.
    late: Places,
    /// Requests of both groups, by limit.
    limits: Places,
    /// Requests that cannot be answered within their limits, by limit. They are in no group.
    expired: Places,
    pub(super) shares: AccountShares,
    /// Time of the last call.
    pub(super) now: Instant,
    /// Service time of the last call.
    service: Duration,
    /// Earliest goal that a request can reach.
    reachable: Instant,
}

impl Order {
    /// Brings the groups up to date with the time and the estimate.
    pub(super) fn advance(&mut self, now: Instant, estimate: Estimate) {
        self.now = now;
        self.service = estimate.service_time;
        self.reachable = estimate.reachable_goal(now);
        let earliest_end = now + self.service;
        while let Some(place) = first_before(&self.limits, earliest_end) {
            self.remove(place);
            self.expired.insert(place.expiry(), place);
        }
        while let Some(place) = last_from(&self.expired, earliest_end) {
            self.remove(place);
            self.insert(place);
        }
        while let Some(place) = first_before(&self.in_time, self.reachable) {
            self.remove(place);
            self.insert(place);
        }
        while let Some(place) = last_from(&self.late, self.reachable) {
            self.remove(place);
            self.insert(place);
        }
    }

    /// Enters a request into the group that it belongs to at present.
    pub(super) fn insert(&mut self, place: Place) {
        let share = self.share(place.account);
        let level = self.levels.entry(place.priority).or_default();
        let (group, places) = if place.goal_at < self.reachable {
            (&mut level.late, &mut self.late)
        } else {
            (&mut level.in_time, &mut self.in_time)
        };
        group.insert(place.account, share, place.goal());
        places.insert(place.goal(), place);
        self.limits.insert(place.expiry(), place);
    }

    /// Removes a request, wherever it is.
    pub(super) fn remove(&mut self, place: Place) {
        if self.expired.remove(&place.expiry()).is_some() {
            return;
        }
        self.limits.remove(&place.expiry());
        let share = self.share(place.account);
        let is_late = self.late.remove(&place.goal()).is_some();
        self.in_time.remove(&place.goal());
        let Some(level) = self.levels.get_mut(&place.priority) else {
            return;
        };
        let group = if is_late {
            &mut level.late
        } else {
            &mut level.in_time
        };
        group.remove(place.account, share, place.goal());
        if level.len() == 0 {
            self.levels.remove(&place.priority);
        }
    }

    /// Removes the next request that cannot be answered within its limit.
    pub(super) fn take_expired(&mut self) -> Option<Sequence> {
        let (_, place) = self.expired.pop_first()?;
        Some(place.sequence)
    }

    /// Records a start and moves the account to the place of its new share.
    pub(super) fn record_start(&mut self, now: Instant, account: AccountKey) {
        self.now = now;
        self.shares.record(now, account);
        let share = self.share(account);
        for level in self.levels.values_mut() {
            level.in_time.update(account, share);
            level.late.update(account, share);
        }
    }

    /// First request in order.
    pub(super) fn first(&self) -> Option<Sequence> {
        let first = |l: &Level| l.in_time.first().or_else(|| l.late.first());
        self.levels.values().find_map(first)
    }

    /// Last request in order.
    pub(super) fn last(&self) -> Option<Sequence> {
        let (_, level) = self.levels.last_key_value()?;
        let last = level.late.last().or_else(|| level.in_time.last())?;
        Some(last.1)
    }

    /// Expected number of requests that start before a further one that can reach its goal.
    pub(super) fn ahead(&self, priority: u8, account: AccountKey) -> f64 {
        let above: usize = self.levels.range(..priority).map(|(_, l)| l.len()).sum();
        let level = self.levels.get(&priority);
        let own = |l: &Level| l.in_time.ahead(self.now, account, self.share(account));
        above as f64 + level.map_or(0.0, own)
    }

    /// Last late request in order of a priority that has more than `max` of them, while a request
    /// of this or a higher priority can reach its goal.
    pub(super) fn excess(&self, max: usize) -> Option<Sequence> {
        let mut has_in_time = false;
        for level in self.levels.values() {
            has_in_time |= level.in_time.len() > 0;
            if has_in_time && level.late.len() > max {
                return Some(level.late.last()?.1);
            }
        }
        None
    }

    /// Last request in order of those that could reach their goals now, but cannot with the requests
    /// ahead of them, of a priority that has `max` late ones.
    pub(super) fn crowded(&self, estimate: Estimate, max: usize) -> Option<Sequence> {
        let mut ahead = 0;
        for level in self.levels.values() {
            let wait = estimate.time_for((ahead + level.in_time.len()) as f64);
            let reachable = estimate.reachable_goal(self.now + wait);
            let last = level.in_time.last().filter(|k| k.0 < reachable);
            if let Some((_, sequence)) = last.filter(|_| level.late.len() >= max) {
                return Some(sequence);
            }
            ahead += level.len();
        }
        None
    }

    /// Time at which a request is the next whose limit cannot be met.
    pub(super) fn next_expiry(&self) -> Option<Instant> {
        if !self.expired.is_empty() {
            return Some(self.now);
        }
        let (&(at, _), _) = self.limits.first_key_value()?;
        let left = at.since(Instant::ZERO).saturating_sub(self.service);
        Some(Instant::ZERO + left + Duration::from_micros(1))
    }

    /// Removes all requests. The shares stay.
    pub(super) fn clear(&mut self) {
        self.levels.clear();
        self.in_time.clear();
        self.late.clear();
        self.limits.clear();
        self.expired.clear();
    }

    fn share(&self, account: AccountKey) -> Share {
        Share {
            bucket: self.shares.bucket(account),
            starts: self.shares.use_of(self.now, account),
        }
    }
}

/// First of the places, if it is before `at`.
fn first_before(places: &Places, at: Instant) -> Option<Place> {
    let (key, place) = places.first_key_value()?;
    (key.0 < at).then_some(*place)
}

/// Last of the places, if it is not before `at`.
fn last_from(places: &Places, at: Instant) -> Option<Place> {
    let (key, place) = places.last_key_value()?;
    (key.0 >= at).then_some(*place)
}
