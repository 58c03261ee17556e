//! Requests of one priority that can all reach their goals, or that all cannot.
//!
//! Each account has its own requests in the order of their goals. Only the first and the last of
//! each account are in an order over all accounts, so that a start, which changes the share of its
//! account, moves two entries instead of all requests of the account.

use std::collections::{BTreeMap, BTreeSet};

use monsoon_model::Instant;

use crate::account_shares::{AccountKey, Bucket};

/// Key of a request, in order of arrival.
pub(super) type Sequence = u64;

/// Share of an account at present.
#[derive(Clone, Copy, Debug)]
pub(super) struct Share {
    pub(super) bucket: Bucket,
    /// Recent use in starts.
    pub(super) starts: f64,
}

#[derive(Clone, Debug)]
struct AccountQueue {
    bucket: Bucket,
    /// Use after all queued requests have started, in whole starts.
    load: u64,
    requests: BTreeSet<(Instant, Sequence)>,
}

/// Accounts and requests in one bucket.
#[derive(Clone, Copy, Debug, Default)]
struct BucketSum {
    accounts: usize,
    requests: usize,
}

/// Queues of the accounts.
#[derive(Clone, Debug, Default)]
pub(super) struct Group {
    accounts: BTreeMap<AccountKey, AccountQueue>,
    /// First request of each account.
    heads: BTreeSet<(Bucket, Instant, Sequence, AccountKey)>,
    /// Last request of each account.
    tails: BTreeSet<(u64, Instant, Sequence, AccountKey)>,
    sums: BTreeMap<Bucket, BucketSum>,
    len: usize,
}

impl Group {
    pub(super) fn len(&self) -> usize {
        self.len
    }

    pub(super) fn insert(&mut self, account: AccountKey, share: Share, key: (Instant, Sequence)) {
        let mut requests = self.unlink(account);
        self.len += usize::from(requests.insert(key));
        self.link(account, share, requests);
    }

    pub(super) fn remove(&mut self, account: AccountKey, share: Share, key: (Instant, Sequence)) {
        let mut requests = self.unlink(account);
        self.len -= usize::from(requests.remove(&key));
        self.link(account, share, requests);
    }

    /// Puts the account into the place of its new share.
    pub(super) fn update(&mut self, account: AccountKey, share: Share) {
        let requests = self.unlink(account);
        self.link(account, share, requests);
    }

    /// First request in order: smallest share, then earliest goal.
    pub(super) fn first(&self) -> Option<Sequence> {
        self.heads.first().map(|&(_, _, sequence, _)| sequence)
    }

    /// Last request in order. Shares grow as requests start, so this is the last request of the
    /// account whose share is the largest after all its requests have started.
    pub(super) fn last(&self) -> Option<(Instant, Sequence)> {
        let &(_, goal, sequence, _) = self.tails.last()?;
        Some((goal, sequence))
    }

    /// Expected number of requests that start before a new one of the account.
    ///
    /// Each start adds one to the use of its account. Another account is therefore served until its
    /// use has passed that of the new request's account at the new request's turn.
    pub(super) fn ahead(&self, now: Instant, account: AccountKey, share: Share) -> f64 {
        let own = self.accounts.get(&account);
        let own_len = own.map_or(0, |q| q.requests.len());
        let turn = share.starts + own_len as f64;
        let mut ahead = own_len as f64;
        let mut previous = None;
        for (&bucket, sum) in &self.sums {
            let level = bucket.use_after(previous, now);
            previous = Some((bucket, level));
            if bucket > share.bucket && level > turn {
                break;
            }
            let mut others = *sum;
            if own.is_some_and(|q| q.bucket == bucket) {
                others.accounts -= 1;
                others.requests -= own_len;
            }
            let starts_each = (turn - level).max(0.0).floor() + 1.0;
            ahead += (others.accounts as f64 * starts_each).min(others.requests as f64);
        }
        ahead
    }

    /// Takes the requests of the account out of all orders.
    fn unlink(&mut self, account: AccountKey) -> BTreeSet<(Instant, Sequence)> {
        let Some(queue) = self.accounts.remove(&account) else {
            return BTreeSet::new();
        };
        if let Some(&(goal, sequence)) = queue.requests.first() {
            self.heads.remove(&(queue.bucket, goal, sequence, account));
        }
        if let Some(&(goal, sequence)) = queue.requests.last() {
            self.tails.remove(&(queue.load, goal, sequence, account));
        }
        if let Some(sum) = self.sums.get_mut(&queue.bucket) {
            sum.accounts -= 1;
            sum.requests -= queue.requests.len();
            if sum.accounts == 0 {
                self.sums.remove(&queue.bucket);
            }
        }
        queue.requests
    }

    /// Enters the requests of the account into all orders.
    fn link(&mut self, account: AccountKey, share: Share, requests: BTreeSet<(Instant, Sequence)>) {
        let (Some(&head), Some(&tail)) = (requests.first(), requests.last()) else {
            return;
        };
        let bucket = share.bucket;
        let load = share.starts as u64 + requests.len() as u64;
        self.heads.insert((bucket, head.0, head.1, account));
        self.tails.insert((load, tail.0, tail.1, account));
        let sum = self.sums.entry(bucket).or_default();
        sum.accounts += 1;
        sum.requests += requests.len();
        let queue = AccountQueue {
            bucket,
            load,
            requests,
        };
        self.accounts.insert(account, queue);
    }
}
