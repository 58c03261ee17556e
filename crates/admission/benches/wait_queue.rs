//! Measures the decisions of the wait queue at 1,000 waiting requests.

use divan::Bencher;
use monsoon_admission::{AccountKey, Estimate, WaitQueue, Waiting};
use monsoon_model::{Duration, Instant};

/// Number of waiting requests.
const WAITING: u64 = 1_000;

/// Estimate of a target that processes all waiting requests within their limits.
const ESTIMATE: Estimate = Estimate {
    service_time: Duration::from_millis(15),
    concurrency: 64.0,
};

/// Numbers of accounts that the requests are spread over.
const ACCOUNTS: [u64; 3] = [1, 30, 1_000];

fn main() {
    divan::main();
}

/// Request number `n` of a steady arrival, two of three with priority 2.
fn request(n: u64, accounts: u64) -> Waiting<u64> {
    let at = Instant::from_micros(n * 100);
    Waiting {
        item: n,
        account: AccountKey(n * 7 % accounts),
        priority: if n.is_multiple_of(3) { 1 } else { 2 },
        goal_at: at + Duration::from_millis(200),
        expires_at: at + Duration::from_millis(900),
    }
}

/// Queue with a tenth of the requests late and used shares.
fn queue(accounts: u64) -> (WaitQueue<u64>, Instant) {
    let mut queue = WaitQueue::new();
    let now = Instant::from_millis(170);
    for n in 0..WAITING {
        queue.record_start(now, AccountKey(n * n % accounts));
    }
    for n in 0..WAITING {
        assert!(queue.offer(now, request(n, accounts), ESTIMATE).is_empty());
    }
    (queue, now)
}

/// Adds a request and starts the first, so that the length stays.
#[divan::bench(args = ACCOUNTS)]
fn offer_and_pop(bencher: Bencher<'_, '_>, accounts: u64) {
    let (mut queue, mut now) = queue(accounts);
    let mut n = WAITING;
    bencher.bench_local(|| {
        now += Duration::from_micros(100);
        n += 1;
        let rejected = queue.offer(now, request(n, accounts), ESTIMATE);
        (rejected, queue.pop(now, ESTIMATE))
    });
    assert!(queue.len() > 900, "{}", queue.len());
}

#[divan::bench(args = ACCOUNTS)]
fn expected_wait(bencher: Bencher<'_, '_>, accounts: u64) {
    let (queue, _) = queue(accounts);
    bencher.bench_local(|| queue.expected_wait(2, AccountKey(3 % accounts), ESTIMATE));
}

/// Looks for a request that is not there.
#[divan::bench(args = ACCOUNTS)]
fn find(bencher: Bencher<'_, '_>, accounts: u64) {
    let (queue, _) = queue(accounts);
    bencher.bench_local(|| queue.find(|w| w.item == u64::MAX).is_some());
}
