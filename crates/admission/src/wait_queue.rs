//! Bounded queue of requests that wait for a place at one target.
//!
//! Order: priority; then requests that can still reach their goal before those that cannot; then
//! the account with the smallest share; then the earliest goal. Whether a request can reach its
//! goal is decided as if it started now, because that is what the next start decides.
//!
//! A request is rejected as soon as its limit cannot be met: when it arrives, by the requests ahead
//! of it; later, when its time has run out or more urgent requests have taken it. Requests that can
//! only be answered late wait behind those of their priority that reach their goals, and at most
//! [`LATE_WORK`] of them while such requests wait. Once there is that much, requests that will be
//! late by those ahead of them are rejected as well, so that their callers can try elsewhere in
//! time.
//!
//! The queue judges waiting as if all places of the target were busy, and trusts the estimate. Its
//! owner starts a request without the queue while a place is free and nothing waits; otherwise an
//! estimate that is too high would reject everything and never be corrected.
//!
//! The queue owns the [`AccountShares`]: `pop` records the start. Requests that the target starts
//! without waiting are recorded with [`WaitQueue::record_start`].
//!
//! No call sorts the queue. Requests change between the two groups of their priority when time
//! passes their goals, which happens once per request unless the estimate changes. See `docs/design/admission-queue.md` for the alternatives.

mod group;
mod order;
mod request;

use std::collections::BTreeMap;

use monsoon_model::{Duration, Instant};

use self::group::Sequence;
use self::order::{Order, Place};
pub use self::request::{Estimate, RejectReason, Rejected, Waiting};
use crate::account_shares::{AccountKey, AccountShares};

/// Maximum number of waiting requests. A target of 2 places and 15 ms processes about 130 within
/// a second; the rest is room for faster targets. Opening packets take about 1.2 kB each.
pub const MAX_WAITING: usize = 1_024;

/// Work of late requests of one priority that is kept while requests that can reach their goals
/// wait, as time of the target. It keeps the target busy when the overload ends. More of it makes
/// callers wait for rejections: during a long overload, late requests mostly wait until their limit.
pub const LATE_WORK: Duration = Duration::from_millis(50);

/// Queue of one target.
#[derive(Clone, Debug)]
pub struct WaitQueue<T> {
    requests: BTreeMap<Sequence, Waiting<T>>,
    order: Order,
    /// Key of the next request.
    next: Sequence,
}

impl<T> Default for WaitQueue<T> {
    fn default() -> Self {
        Self {
            requests: BTreeMap::new(),
            order: Order::default(),
            next: 0,
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
        self.requests.len()
    }

    /// Whether the queue holds no request.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Recent use of the target by account.
    pub fn shares(&self) -> &AccountShares {
        &self.order.shares
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
        if !self.can_end(&request, estimate) {
            rejected.push(reject(request, RejectReason::Wait));
            return rejected;
        }
        self.order.insert(Place::new(self.next, &request));
        self.requests.insert(self.next, request);
        self.next += 1;
        self.trim(estimate, &mut rejected);
        rejected
    }

    /// Next request to start. Its start is recorded in the shares.
    pub fn pop(&mut self, now: Instant, estimate: Estimate) -> Option<Waiting<T>> {
        self.order.advance(now, estimate);
        let request = self.take(self.order.first()?)?;
        self.order.record_start(now, request.account);
        Some(request)
    }

    /// Removes the requests that cannot be answered within their limits any more, and late ones
    /// beyond [`LATE_WORK`].
    pub fn expire(&mut self, now: Instant, estimate: Estimate) -> Vec<Rejected<T>> {
        self.order.advance(now, estimate);
        let mut rejected = Vec::new();
        while let Some(sequence) = self.order.take_expired() {
            let request = self.requests.remove(&sequence);
            rejected.extend(request.map(|w| reject(w, RejectReason::Expired)));
        }
        while let Some(sequence) = self.order.excess(late_max(estimate)) {
            let request = self.take(sequence);
            rejected.extend(request.map(|w| reject(w, RejectReason::Late)));
        }
        rejected
    }

    /// Expected time until a further request of this priority and account starts, if it can reach
    /// its goal. All places of the target count as busy.
    pub fn expected_wait(&self, priority: u8, account: AccountKey, estimate: Estimate) -> Duration {
        estimate.time_for(self.order.ahead(priority, account) + 1.0)
    }

    /// Time at which [`expire`](Self::expire) is due, by the estimate of the last call.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.order.next_expiry()
    }

    /// Records a request of the account that started without waiting.
    pub fn record_start(&mut self, now: Instant, account: AccountKey) {
        self.order.record_start(now, account);
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
        self.order.clear();
        let requests = std::mem::take(&mut self.requests);
        requests.into_values().collect()
    }

    /// Whether the request can be answered within its limit, given what is ahead of it.
    fn can_end(&self, request: &Waiting<T>, estimate: Estimate) -> bool {
        let wait = self.expected_wait(request.priority, request.account, estimate);
        self.order.now + wait + estimate.service_time <= request.expires_at
    }

    /// Rejects the last requests in order while the queue is too long for them.
    fn trim(&mut self, estimate: Estimate, rejected: &mut Vec<Rejected<T>>) {
        while let Some(sequence) = self.order.crowded(estimate, late_max(estimate)) {
            let request = self.take(sequence);
            rejected.extend(request.map(|w| reject(w, RejectReason::Late)));
        }
        while let Some(sequence) = self.order.last() {
            let Some(request) = self.requests.get(&sequence) else {
                return;
            };
            let wait = estimate.time_for(self.requests.len() as f64);
            let end = self.order.now + wait + estimate.service_time;
            let reason = if self.requests.len() > MAX_WAITING {
                RejectReason::Full
            } else if end > request.expires_at {
                RejectReason::Displaced
            } else {
                return;
            };
            let request = self.take(sequence);
            rejected.extend(request.map(|w| reject(w, reason)));
        }
    }

    fn take(&mut self, sequence: Sequence) -> Option<Waiting<T>> {
        let request = self.requests.remove(&sequence)?;
        self.order.remove(Place::new(sequence, &request));
        Some(request)
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
