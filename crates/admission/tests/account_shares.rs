//! Tests of the shares of client accounts.

use monsoon_admission::{AccountKey, AccountShares, HALF_LIFE, MAX_ACCOUNTS};
use monsoon_model::{Duration, Instant};
use quickcheck::{Gen, QuickCheck, TestResult};

/// Guards against a burst that is penalised for long.
#[test]
fn shares_decay_within_seconds() {
    let mut shares = AccountShares::new();
    for _ in 0..100 {
        shares.record(Instant::ZERO, AccountKey(1));
    }
    let used = |at| shares.use_of(at, AccountKey(1));
    assert!((used(Instant::ZERO) - 100.0).abs() < 1e-6);
    assert!((used(Instant::ZERO + HALF_LIFE) - 50.0).abs() < 1e-6);
    assert!(used(Instant::from_secs(20)) < 0.1);
    assert!(used(Instant::from_micros(u64::MAX)).abs() < 1e-6);
}

/// Guards against unbounded memory when callers come from ever new addresses, and against the loss
/// of the busiest account among them.
#[test]
fn memory_is_bounded_and_the_busiest_account_stays() {
    let mut shares = AccountShares::new();
    for n in 0..20_000 {
        let now = Instant::from_micros(n * 50);
        shares.record(now, AccountKey(n + 1));
        if n % 10 == 0 {
            shares.record(now, AccountKey(0));
        }
        assert!(shares.len() <= MAX_ACCOUNTS);
    }
    let top = shares.top(Instant::from_secs(1), 2);
    assert_eq!(top[0].0, AccountKey(0));
    assert!(top[0].1 > 1_000.0 && top[1].1 < 2.0, "{top:?}");
}

/// Guards against accounts that stay in memory after they have become idle.
#[test]
fn idle_accounts_are_forgotten() {
    let mut shares = AccountShares::new();
    for n in 0..100 {
        shares.record(Instant::ZERO, AccountKey(n));
    }
    shares.record(Instant::from_secs(60), AccountKey(1_000));
    assert_eq!(shares.len(), 1);
}

/// Guards against uses that are negative, infinite or not a number, and against a wrong order, when
/// the clock stands still or goes back.
#[test]
fn any_clock_gives_finite_uses_in_order() {
    fn property(starts: Vec<(u32, u8)>, at: u64) -> TestResult {
        let mut shares = AccountShares::new();
        let mut latest = Instant::ZERO;
        for (millis, account) in starts {
            let now = Instant::from_millis(millis.into());
            latest = latest.max(now);
            shares.record(now, AccountKey(account.into()));
        }
        let top = shares.top(Instant::from_micros(at), usize::MAX);
        let is_finite = top.iter().all(|t| t.1.is_finite() && t.1 >= 0.0);
        let top = shares.top(latest, usize::MAX);
        let is_ordered = top.windows(2).all(|w| w[0].1 >= w[1].1 * 0.999);
        TestResult::from_bool(is_finite && is_ordered && top.len() == shares.len())
    }
    let random = Gen::from_size_and_seed(200, 1);
    let check = property as fn(Vec<(u32, u8)>, u64) -> TestResult;
    QuickCheck::new().rng(random).quickcheck(check);
}

/// Guards against a clock that goes back by a moment and gives an account a larger share.
#[test]
fn a_clock_that_goes_back_changes_no_use() {
    let mut shares = AccountShares::new();
    shares.record(Instant::from_secs(10), AccountKey(1));
    shares.record(Instant::from_secs(9), AccountKey(1));
    let used = shares.use_of(Instant::from_secs(8), AccountKey(1));
    assert!((used - 2.0).abs() < 1e-9, "{used}");
    let later = Instant::from_secs(10) + Duration::from_secs(2);
    assert!((shares.use_of(later, AccountKey(1)) - 1.0).abs() < 1e-9);
}
