//! Recent use of a target by each client account.
//!
//! The use of an account is the number of its started requests, each halved every [`HALF_LIFE`].
//! All uses decay by the same factor, so their order changes only with a start. An account is
//! therefore kept under a tag that does not change with time: the logarithm of its use, plus the
//! time at which it had this use in half-lives.
//!
//! The wait queue compares accounts by [`Bucket`]s, ranges of uses of about 2 %, so that one sum
//! stands for all accounts of a bucket. Accounts of one bucket are served by their goals. Wider
//! buckets made the shares of accounts with less work smaller: with two buckets per octave, an
//! account that asks for half of the target got 15 % fewer starts than one that asks for ten times
//! the target, because the requests of the latter have waited longer.
//!
//! A returning account gets no more credit than the decay gives it, a few half-lives at most.

use std::collections::{BTreeMap, BTreeSet};

use derive_more::Display;
use monsoon_model::{Duration, Instant};

/// Maximum number of accounts that are remembered. Beyond it, the one with the smallest use is
/// forgotten and counts as unused.
pub const MAX_ACCOUNTS: usize = 4_096;

/// Time in which a use is halved. It is longer than requests wait, so that a share does not fade
/// while the queue is served by it, and short enough to forget a burst within seconds.
pub const HALF_LIFE: Duration = Duration::from_secs(2);

/// Use below which an account is forgotten, in starts. One start reaches it after ten half-lives.
const FORGET_USE: f64 = 1.0 / 1_024.0;

/// Use below which an account counts as unused, in starts. The flows of one account spread over many
/// targets, so that smaller uses differ by chance: ordered by them, 13,012 of 40,934 waiting requests
/// of a crowd of equal accounts were rejected because they had waited until they were late.
const FREE_USE: f64 = 4.0;

/// Steps of a tag per octave of use, as a power of two.
const TAG_BITS: u32 = 16;

/// Buckets per octave of use, as a power of two. Each bucket in use adds to the cost of
/// `expected_wait`; at 32 per octave, equal shares hold within 5 %.
const BUCKET_BITS: u32 = 5;

/// Ratio of the uses of neighbouring buckets, the 32nd root of 2.
const BUCKET_STEP: f64 = 1.021_897_148_654_116_7;

// The step is that of 32 buckets per octave.
const _: () = assert!(BUCKET_BITS == 5);

/// Account on whose behalf a request is made.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AccountKey(pub u64);

/// Range of uses that count as equal; a smaller one is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Bucket(i64);

impl Bucket {
    /// Bucket of accounts without use.
    pub(crate) const UNUSED: Self = Self(i64::MIN);

    /// Use in the middle of the bucket at `now`, in starts.
    pub(crate) fn use_at(self, now: Instant) -> f64 {
        if self == Self::UNUSED {
            return 0.0;
        }
        let octaves = (self.0 as f64 + 0.5) / f64::from(1 << BUCKET_BITS);
        (octaves - half_lives(now)).exp2()
    }

    /// Same as [`use_at`](Self::use_at), but faster if this bucket follows `previous`, whose use is
    /// known.
    pub(crate) fn use_after(self, previous: Option<(Self, f64)>, now: Instant) -> f64 {
        match previous {
            Some((p, starts)) if p.0.wrapping_add(1) == self.0 => starts * BUCKET_STEP,
            _ => self.use_at(now),
        }
    }
}

/// Use of one account.
#[derive(Clone, Copy, Debug)]
struct Entry {
    /// Use at the last start, in starts.
    starts: f64,
    at: Instant,
    tag: i64,
}

impl Entry {
    fn new(starts: f64, at: Instant) -> Self {
        let octaves = starts.log2() + half_lives(at);
        let tag = (octaves * f64::from(1 << TAG_BITS)).floor() as i64;
        Self { starts, at, tag }
    }

    /// Use at `now`; it has not decayed if the clock went back.
    fn use_at(&self, now: Instant) -> f64 {
        self.starts * (-half_lives(Instant::ZERO + now.since(self.at))).exp2()
    }
}

/// Recent use of all accounts.
#[derive(Clone, Debug, Default)]
pub struct AccountShares {
    entries: BTreeMap<AccountKey, Entry>,
    /// Accounts by use.
    order: BTreeSet<(i64, AccountKey)>,
}

impl AccountShares {
    /// No account has been used.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a request of the account was started.
    pub fn record(&mut self, now: Instant, account: AccountKey) {
        let entry = match self.entries.get(&account) {
            Some(old) => Entry::new(old.use_at(now) + 1.0, now.max(old.at)),
            None => Entry::new(1.0, now),
        };
        if let Some(old) = self.entries.remove(&account) {
            self.order.remove(&(old.tag, account));
        }
        self.forget(now);
        self.entries.insert(account, entry);
        self.order.insert((entry.tag, account));
    }

    /// Recent use of the account in starts; the smallest is served first.
    pub fn use_of(&self, now: Instant, account: AccountKey) -> f64 {
        self.entries.get(&account).map_or(0.0, |e| e.use_at(now))
    }

    /// The `count` accounts with the largest use in starts, the largest first.
    pub fn top(&self, now: Instant, count: usize) -> Vec<(AccountKey, f64)> {
        let largest = self.order.iter().rev().take(count);
        largest.map(|&(_, a)| (a, self.use_of(now, a))).collect()
    }

    /// The `count` accounts with the largest shares of all recent starts, the largest first.
    /// Accounts that are hardly used at `now` are left out.
    pub fn largest(&self, now: Instant, count: usize) -> Vec<(AccountKey, f64)> {
        let mut largest = self.top(now, count);
        largest.retain(|&(_, starts)| starts >= FORGET_USE);
        let total: f64 = self.entries.values().map(|e| e.use_at(now)).sum();
        for (_, share) in &mut largest {
            *share /= total;
        }
        largest
    }

    /// Number of remembered accounts, at most [`MAX_ACCOUNTS`].
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no account is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Bucket by which the account is ordered.
    pub(crate) fn bucket(&self, account: AccountKey) -> Bucket {
        match self.entries.get(&account) {
            Some(entry) if entry.starts >= FREE_USE => {
                Bucket(entry.tag >> (TAG_BITS - BUCKET_BITS))
            }
            _ => Bucket::UNUSED,
        }
    }

    /// Forgets accounts that are hardly used, and the least used ones until one more fits.
    fn forget(&mut self, now: Instant) {
        while let Some(&(tag, account)) = self.order.first() {
            let has_room = self.entries.len() < MAX_ACCOUNTS;
            if has_room && self.use_of(now, account) >= FORGET_USE {
                return;
            }
            self.order.remove(&(tag, account));
            self.entries.remove(&account);
        }
    }
}

/// Time since the start of the clock, in half-lives.
fn half_lives(at: Instant) -> f64 {
    at.as_micros() as f64 / HALF_LIFE.as_micros() as f64
}
