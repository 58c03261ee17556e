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

/// Request number `n` of a steady arrival before and after the queue is filled at 10 s, two of
/// three with priority 2.
fn request(n: u64, accounts: u64) -> Waiting<u64> {
    let at = Instant::from_micros(9_900_000 + n * 100);
    Waiting {
        item: n,
        account: AccountKey(n * 7 % accounts),
        priority: if n.is_multiple_of(3) { 1 } else { 2 },
        goal_at: at + Duration::from_millis(200),
        expires_at: at + Duration::from_millis(900),
    }
}

/// Queue in which the accounts have uses from below one start to about a hundred.
fn queue(accounts: u64) -> (WaitQueue<u64>, Instant) {
    let mut queue = WaitQueue::new();
    let now = Instant::from_millis(10_000);
    for n in 0..10 * WAITING {
        let account = (n * n + n / 7) % (n % accounts + 1);
        queue.record_start(Instant::from_millis(n), AccountKey(account));
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

/// Adds a request to a copy of the queue.
#[divan::bench(args = ACCOUNTS)]
fn offer(bencher: Bencher<'_, '_>, accounts: u64) {
    let (queue, now) = queue(accounts);
    let inputs = || (queue.clone(), request(WAITING, accounts));
    let bencher = bencher.with_inputs(inputs);
    bencher.bench_local_values(|(mut q, r)| (q.offer(now, r, ESTIMATE), q));
}

/// Starts the first request of a copy of the queue.
#[divan::bench(args = ACCOUNTS)]
fn pop(bencher: Bencher<'_, '_>, accounts: u64) {
    let (queue, now) = queue(accounts);
    let bencher = bencher.with_inputs(|| queue.clone());
    bencher.bench_local_values(|mut q| (q.pop(now, ESTIMATE), q));
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
