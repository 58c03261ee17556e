//! Simulations of a target of two places under overload. Arrivals and service times are
//! exponentially distributed, with fixed seeds.

use std::collections::BTreeMap;

use monsoon_admission::{AccountKey, WaitQueue};
use monsoon_model::{Duration, Instant};

use super::{ESTIMATE, request};

/// Requests per second that the target processes.
const CAPACITY: f64 = 2.0 / 0.015;

/// Requests of one kind.
#[derive(Clone, Copy)]
struct Stream {
    priority: u8,
    account: u64,
    /// Requests per second.
    rate: f64,
}

/// Deterministic exponential distribution.
struct Random(u64);

impl Random {
    /// Next interval with the given mean in seconds.
    fn interval(&mut self, mean: f64) -> Duration {
        self.0 += 1;
        let uniform = (monsoon_model::hash::mix(self.0, 77) >> 11) as f64 / (1_u64 << 53) as f64;
        Duration::from_micros((-(1.0 - uniform).ln() * mean * 1e6) as u64)
    }
}

/// Counts of the requests of one stream.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    sent: u32,
    rejected: u32,
    answered: u32,
    in_time: u32,
}

/// Result of a run.
struct Outcome {
    /// Counts by priority and account.
    counts: BTreeMap<(u8, u64), Count>,
    /// Answers within the period in which requests arrive.
    during: u32,
}

impl Outcome {
    fn total(&self, of: impl Fn(u8, u64) -> bool, value: impl Fn(&Count) -> u32) -> u32 {
        let counts = self.counts.iter().filter(|((p, a), _)| of(*p, *a));
        counts.map(|(_, c)| value(c)).sum()
    }
}

/// Arrivals of all streams for `period`, in order of time.
fn arrivals(seed: u64, period: Duration, streams: &[Stream]) -> Vec<(Instant, Stream)> {
    let mut all = Vec::new();
    for (n, stream) in streams.iter().enumerate() {
        let mut random = Random((seed * 1_000 + n as u64) << 32);
        let mut at = Instant::ZERO + random.interval(1.0 / stream.rate);
        while at < Instant::ZERO + period {
            all.push((at, *stream));
            at += random.interval(1.0 / stream.rate);
        }
    }
    all.sort_by_key(|a| a.0);
    all
}

/// Sends the streams to the target for `period`, and runs until nothing waits.
fn run(seed: u64, period: Duration, streams: &[Stream]) -> Outcome {
    let arrivals = arrivals(seed, period, streams);
    let kind = |n: u32| {
        (
            arrivals[n as usize].1.priority,
            arrivals[n as usize].1.account,
        )
    };
    let mut service = Random(seed << 48);
    let mut queue = WaitQueue::new();
    let mut busy: Vec<(Instant, u32)> = Vec::new();
    let mut counts: BTreeMap<_, Count> = BTreeMap::new();
    let (mut next, mut during) = (0, 0);
    loop {
        let arrival = arrivals.get(next).map(|a| a.0);
        let end = busy.iter().map(|b| b.0).min();
        let times = [arrival, end, queue.next_expiry()];
        let Some(now) = times.into_iter().flatten().min() else {
            return Outcome { counts, during };
        };
        busy.retain(|&(at, n)| {
            if at > now {
                return true;
            }
            let count = counts.entry(kind(n)).or_default();
            count.answered += 1;
            let latency = at.since(arrivals[n as usize].0);
            count.in_time += u32::from(latency <= Duration::from_millis(200));
            during += u32::from(at < Instant::ZERO + period);
            false
        });
        let mut rejected = queue.expire(now, ESTIMATE);
        if arrival == Some(now) {
            let n = next as u32;
            let (priority, account) = kind(n);
            counts.entry(kind(n)).or_default().sent += 1;
            next += 1;
            if busy.len() < 2 && queue.is_empty() {
                queue.record_start(now, AccountKey(account));
                busy.push((now + service.interval(0.015), n));
            } else {
                rejected.extend(queue.offer(now, request(n, now, priority, account), ESTIMATE));
            }
        }
        for r in rejected {
            counts.entry(kind(r.item)).or_default().rejected += 1;
        }
        while busy.len() < 2 {
            let Some(started) = queue.pop(now, ESTIMATE) else {
                break;
            };
            busy.push((now + service.interval(0.015), started.item));
        }
    }
}

/// Number of answers of a target that is never idle.
fn saturated(seed: u64, period: Duration) -> u32 {
    let endless = Stream {
        priority: 0,
        account: 0,
        rate: CAPACITY * 5.0,
    };
    run(seed, period, &[endless]).during
}

/// Guards against overload in which most answers are late, requests that change data are rejected
/// for others, or the target idles.
#[test]
fn answers_under_overload_are_in_time() {
    let period = Duration::from_secs(5);
    let stream = |priority, account, share| Stream {
        priority,
        account,
        rate: CAPACITY * share,
    };
    let mut streams = vec![stream(1, 100, 0.2)];
    streams.extend((0..20).map(|n| stream(2, n, 1.3 / 20.0)));
    for seed in 1..=20 {
        let outcome = run(seed, period, &streams);
        let answered = outcome.total(|_, _| true, |c| c.answered);
        let in_time = outcome.total(|_, _| true, |c| c.in_time);
        let share = f64::from(in_time) / f64::from(answered);
        let work = f64::from(outcome.during) / f64::from(saturated(seed, period));
        let rejected = outcome.total(|p, _| p == 1, |c| c.rejected);
        println!("seed {seed}: in time {share:.3}, work {work:.3}, rejected first {rejected}");
        assert!(share >= 0.9, "seed {seed}: in time {share}");
        assert_eq!(rejected, 0, "seed {seed}");
        assert!(work >= 0.97, "seed {seed}: answers {work}");
        let sent = outcome.total(|_, _| true, |c| c.sent);
        let ended = outcome.total(|_, _| true, |c| c.answered + c.rejected);
        assert_eq!(sent, ended, "seed {seed}");
    }
}

/// Guards against an account that displaces others by sending more.
#[test]
fn an_account_that_sends_more_displaces_no_other() {
    let period = Duration::from_secs(10);
    let others = (0..10).map(|account| Stream {
        priority: 2,
        account,
        rate: 5.0,
    });
    let others: Vec<Stream> = others.collect();
    for (seed, rate) in [(1, 100.0), (2, 100.0), (3, 1_000.0), (4, 1_000.0)] {
        let mut streams = others.clone();
        streams.push(Stream {
            priority: 2,
            account: 99,
            rate,
        });
        let alone = run(seed, period, &others).total(|_, _| true, |c| c.in_time);
        let beside = run(seed, period, &streams).total(|_, a| a != 99, |c| c.in_time);
        println!("seed {seed}: {beside} of {alone}");
        assert!(
            f64::from(beside) >= f64::from(alone) * 0.98,
            "seed {seed}: {beside} of {alone}"
        );
    }
}

/// Guards against unequal shares of accounts that all send more than their share.
#[test]
fn accounts_that_send_too_much_get_equal_shares() {
    let rates = [(0, 0.5), (1, 1.0), (2, 10.0)];
    let streams = rates.map(|(account, share)| Stream {
        priority: 2,
        account,
        rate: CAPACITY * share,
    });
    for seed in 1..=5 {
        let outcome = run(seed, Duration::from_secs(10), &streams);
        let answered = [0, 1, 2].map(|n| outcome.total(|_, a| a == n, |c| c.answered));
        println!("seed {seed}: {answered:?}");
        let (min, max) = (answered.iter().min(), answered.iter().max());
        let ratio = f64::from(*max.expect("three")) / f64::from(*min.expect("three"));
        assert!(ratio < 1.05, "seed {seed}: {answered:?}");
    }
}
