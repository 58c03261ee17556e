//! Bounded queue of requests that wait for a place at one target.
//!
//! Order: priority; then requests that can still reach their goal before those that cannot; then
//! the account with the smallest share; then the earliest goal. Whether a request can reach its
//! goal is decided as if it started now, because that is what the next start decides.
//!
//! A request is rejected as soon as its limit cannot be met: when it arrives, by the requests ahead
//! of it; later, when its time has run out or more urgent requests have taken it. Requests that can
//! only be answered late wait behind those of their priority that reach their goals, and at most
//! [`LATE_WORK`] of them while such requests wait.
//!
//! The queue owns the [`AccountShares`]: `pop` records the start. Requests that the target starts
//! without waiting are recorded with [`WaitQueue::record_start`].
//!
//! No call sorts or visits the whole queue. Requests change between the two groups of their
//! priority when time passes their goals, which happens once per request unless the estimate
//! changes. See `docs/design/admission-queue.md` for the alternatives.

mod group;
mod request;

use std::collections::{BTreeMap, BTreeSet};

use monsoon_model::{Duration, Instant};

use self::group::{Group, Sequence, Share};
pub use self::request::{Estimate, RejectReason, Rejected, Waiting};
use crate::account_shares::{AccountKey, AccountShares};

/// Maximum number of waiting requests. A target of 2 places and 15 ms processes about 110 within
/// the longest limit; the rest is room for faster targets. Opening packets take about 1.2 kB each.
pub const MAX_WAITING: usize = 1_024;

/// Work of late requests of one priority that is kept while requests that can reach their goals
/// wait, as time of the target. It is done when the overload ends.
pub const LATE_WORK: Duration = Duration::from_millis(100);

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

    fn group(&mut self, is_late: bool) -> &mut Group {
        if is_late {
            &mut self.late
        } else {
            &mut self.in_time
        }
    }
}

/// Queue of one target.
#[derive(Clone, Debug)]
pub struct WaitQueue<T> {
    requests: BTreeMap<Sequence, Waiting<T>>,
    levels: BTreeMap<u8, Level>,
    /// Requests that can reach their goals, by goal.
    in_time: BTreeSet<(Instant, Sequence)>,
    /// Requests that cannot, by goal.
    late: BTreeSet<(Instant, Sequence)>,
    expiries: BTreeSet<(Instant, Sequence)>,
    /// Requests that ran out of time in `pop` and are returned by the next `offer` or `expire`.
    expired: Vec<Waiting<T>>,
    shares: AccountShares,
    next: Sequence,
    /// Time of the last call.
    now: Instant,
    /// Service time of the last call.
    service: Duration,
}

impl<T> Default for WaitQueue<T> {
    fn default() -> Self {
        Self {
            requests: BTreeMap::new(),
            levels: BTreeMap::new(),
            in_time: BTreeSet::new(),
            late: BTreeSet::new(),
            expiries: BTreeSet::new(),
            expired: Vec::new(),
            shares: AccountShares::new(),
            next: 0,
            now: Instant::ZERO,
            service: Duration::ZERO,
        }
    }
}

impl<T> WaitQueue<T> {
    /// Empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of requests in the queue, including those that `expire` is due to return.
    pub fn len(&self) -> usize {
        self.requests.len() + self.expired.len()
    }

    /// Whether the queue holds no request.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Recent use of the target by account.
    pub fn shares(&self) -> &AccountShares {
        &self.shares
    }

    /// Adds a request. `estimate` is the present estimate of the target. Returns those that are
    /// rejected, which may include the new one.
    pub fn offer(
        &mut self,
        now: Instant,
        request: Waiting<T>,
        estimate: Estimate,
    ) -> Vec<Rejected<T>> {
        let mut rejected = self.expire(now, estimate);
        if let Some(reason) = self.refusal(&request, estimate) {
            rejected.push(reject(request, reason));
            return rejected;
        }
        self.insert(request, estimate);
        self.trim(estimate, &mut rejected);
        rejected
    }

    /// Next request to start.
    pub fn pop(&mut self, now: Instant, estimate: Estimate) -> Option<Waiting<T>> {
        self.advance(now, estimate);
        let first = |l: &Level| l.in_time.first().or_else(|| l.late.first());
        let sequence = self.levels.values().find_map(first)?;
        let request = self.take(sequence)?;
        self.record_start(now, request.account);
        Some(request)
    }

    /// Removes the requests that cannot be answered within their limits any more.
    pub fn expire(&mut self, now: Instant, estimate: Estimate) -> Vec<Rejected<T>> {
        self.advance(now, estimate);
        let expired = std::mem::take(&mut self.expired).into_iter();
        let mut rejected = expired.map(|w| reject(w, RejectReason::Expired)).collect();
        self.trim_late(estimate, &mut rejected);
        rejected
    }

    /// Expected time until a further request of this priority and account starts, if it can reach
    /// its goal. All places of the target count as busy.
    pub fn expected_wait(&self, priority: u8, account: AccountKey, estimate: Estimate) -> Duration {
        estimate.time_for(self.ahead(priority, account) + 1.0)
    }

    /// Time at which [`expire`](Self::expire) is due, by the estimate of the last call.
    pub fn next_expiry(&self) -> Option<Instant> {
        if !self.expired.is_empty() {
            return Some(self.now);
        }
        let &(at, _) = self.expiries.first()?;
        let left = at.since(Instant::ZERO).saturating_sub(self.service);
        Some(Instant::ZERO + left + Duration::from_micros(1))
    }

    /// Records a request of the account that started without waiting.
    pub fn record_start(&mut self, now: Instant, account: AccountKey) {
        self.now = now;
        self.shares.record(now, account);
        let share = self.share(account);
        for level in self.levels.values_mut() {
            level.in_time.update(account, share);
            level.late.update(account, share);
        }
    }

    /// First request in order of arrival that matches, for example one that is repeated.
    pub fn find(&self, mut matches: impl FnMut(&Waiting<T>) -> bool) -> Option<&Waiting<T>> {
        self.requests.values().find(|&w| matches(w))
    }

    /// Removes the first request in order of arrival that matches, for example because its caller
    /// gave up.
    pub fn remove(&mut self, mut matches: impl FnMut(&Waiting<T>) -> bool) -> Option<Waiting<T>> {
        let (&sequence, _) = self.requests.iter().find(|(_, w)| matches(w))?;
        self.take(sequence)
    }

    /// Removes all requests in order of arrival, including those that `expire` is due to return.
    /// The shares stay.
    pub fn drain(&mut self) -> Vec<Waiting<T>> {
        let mut drained = std::mem::take(&mut self.expired);
        drained.extend(std::mem::take(&mut self.requests).into_values());
        self.levels.clear();
        self.in_time.clear();
        self.late.clear();
        self.expiries.clear();
        drained
    }

    /// Why the request cannot be admitted, if so.
    fn refusal(&self, request: &Waiting<T>, estimate: Estimate) -> Option<RejectReason> {
        let wait = self.expected_wait(request.priority, request.account, estimate);
        let start = self.now + wait;
        if start + estimate.service_time > request.expires_at {
            return Some(RejectReason::Wait);
        }
        let is_late = estimate.reachable_goal(start) > request.goal_at;
        let late = self
            .levels
            .get(&request.priority)
            .map_or(0, |l| l.late.len());
        let is_bounded = self.has_in_time(request.priority) && late >= late_max(estimate);
        (is_late && is_bounded).then_some(RejectReason::Late)
    }

    /// Expected number of requests that start before a further one that can reach its goal.
    fn ahead(&self, priority: u8, account: AccountKey) -> f64 {
        let above: usize = self.levels.range(..priority).map(|(_, l)| l.len()).sum();
        let level = self.levels.get(&priority);
        let own = |l: &Level| l.in_time.ahead(self.now, account, self.share(account));
        above as f64 + level.map_or(0.0, own)
    }

    /// Whether a request of this or a higher priority that can reach its goal waits.
    fn has_in_time(&self, priority: u8) -> bool {
        self.levels
            .range(..=priority)
            .any(|(_, l)| l.in_time.len() > 0)
    }

    fn share(&self, account: AccountKey) -> Share {
        Share {
            bucket: self.shares.bucket(account),
            starts: self.shares.use_of(self.now, account),
        }
    }

    fn insert(&mut self, request: Waiting<T>, estimate: Estimate) {
        let sequence = self.next;
        self.next += 1;
        let key = (request.goal_at, sequence);
        let is_late = request.goal_at < estimate.reachable_goal(self.now);
        let by_goal = if is_late {
            &mut self.late
        } else {
            &mut self.in_time
        };
        by_goal.insert(key);
        self.expiries.insert((request.expires_at, sequence));
        let share = self.share(request.account);
        let level = self.levels.entry(request.priority).or_default();
        level.group(is_late).insert(request.account, share, key);
        self.requests.insert(sequence, request);
    }

    fn take(&mut self, sequence: Sequence) -> Option<Waiting<T>> {
        let request = self.requests.remove(&sequence)?;
        let key = (request.goal_at, sequence);
        let is_late = self.late.remove(&key);
        self.in_time.remove(&key);
        self.expiries.remove(&(request.expires_at, sequence));
        let share = self.share(request.account);
        if let Some(level) = self.levels.get_mut(&request.priority) {
            level.group(is_late).remove(request.account, share, key);
            if level.len() == 0 {
                self.levels.remove(&request.priority);
            }
        }
        Some(request)
    }

    /// Brings the groups up to date with the time and the estimate.
    fn advance(&mut self, now: Instant, estimate: Estimate) {
        self.now = now;
        self.service = estimate.service_time;
        let earliest_end = now + estimate.service_time;
        while let Some(&(at, sequence)) = self.expiries.first() {
            if at >= earliest_end {
                break;
            }
            let request = self.take(sequence);
            self.expired.extend(request);
        }
        let reachable = estimate.reachable_goal(now);
        while let Some(&key) = self.in_time.first().filter(|k| k.0 < reachable) {
            self.regroup(key, true);
        }
        while let Some(&key) = self.late.last().filter(|k| k.0 >= reachable) {
            self.regroup(key, false);
        }
    }

    /// Moves a request to the other group of its priority.
    fn regroup(&mut self, key: (Instant, Sequence), is_late: bool) {
        let (from, to) = if is_late {
            (&mut self.in_time, &mut self.late)
        } else {
            (&mut self.late, &mut self.in_time)
        };
        from.remove(&key);
        to.insert(key);
        let Some(request) = self.requests.get(&key.1) else {
            return;
        };
        let share = self.share(request.account);
        if let Some(level) = self.levels.get_mut(&request.priority) {
            level.group(!is_late).remove(request.account, share, key);
            level.group(is_late).insert(request.account, share, key);
        }
    }

    /// Rejects the last requests in order while the queue is too long for them.
    fn trim(&mut self, estimate: Estimate, rejected: &mut Vec<Rejected<T>>) {
        while let Some((_, level)) = self.levels.last_key_value() {
            let last = level.late.last().or_else(|| level.in_time.last());
            let Some((sequence, request)) = last.and_then(|s| self.requests.get_key_value(&s))
            else {
                return;
            };
            let end = self.now + estimate.time_for(self.requests.len() as f64) + self.service;
            let reason = if self.requests.len() > MAX_WAITING {
                RejectReason::Full
            } else if end > request.expires_at {
                RejectReason::Displaced
            } else {
                return;
            };
            let taken = self.take(*sequence);
            rejected.extend(taken.map(|w| reject(w, reason)));
        }
    }

    /// Rejects late requests beyond [`LATE_WORK`].
    fn trim_late(&mut self, estimate: Estimate, rejected: &mut Vec<Rejected<T>>) {
        let max = late_max(estimate);
        let mut excess = Vec::new();
        for (&priority, level) in &self.levels {
            if level.late.len() > max && self.has_in_time(priority) {
                excess.push((priority, level.late.len() - max));
            }
        }
        for (priority, count) in excess {
            for _ in 0..count {
                let last = self.levels.get(&priority).and_then(|l| l.late.last());
                let taken = last.and_then(|s| self.take(s));
                rejected.extend(taken.map(|w| reject(w, RejectReason::Late)));
            }
        }
    }
}

/// Number of late requests of one priority that may wait beside those that can reach their goals.
fn late_max(estimate: Estimate) -> usize {
    estimate.starts_within(LATE_WORK).max(1)
}

fn reject<T>(request: Waiting<T>, reason: RejectReason) -> Rejected<T> {
    Rejected {
        item: request.item,
        reason,
    }
}
