//! Tests of the pace with a model target in virtual time, under more demand than it can process.

use monsoon_admission::Pace;
use monsoon_model::{Duration, Instant, hash::mix};
use quickcheck::{Gen, QuickCheck};

const GOAL: Duration = Duration::from_millis(200);
const SEEDS: [u64; 3] = [1, 2, 3];

/// Model target, which is started at 0 ms. Times are in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Target {
    slots: u16,
    /// Time after a start in which requests take 1.6 times as long.
    cold: u64,
    /// Number of requests in flight above which a further one fails.
    capacity: usize,
    /// Time from a start to the end, after which the target is down for 500 ms.
    up: u64,
}

const COLD: Target = Target {
    slots: 2,
    cold: 2_000,
    capacity: 10,
    up: 100_000,
};

/// Target with 8 slots that can take 3 requests.
const WEAK: Target = Target {
    slots: 8,
    capacity: 3,
    ..COLD
};

struct Flow {
    sent_at: u64,
    done_at: Option<u64>,
    fails: bool,
}

/// Result of a run. Times are in milliseconds.
#[derive(Default)]
struct Figures {
    answers: Vec<u64>,
    failures: Vec<u64>,
    /// First time at which the pace allowed as many requests as slots, and at which it ended.
    slots_at: Option<u64>,
    ended_at: Option<u64>,
}

impl Figures {
    fn answers(&self, from: u64, to: u64) -> usize {
        let is_between = |at: &&u64| (from..to).contains(*at);
        self.answers.iter().filter(is_between).count()
    }

    /// Answers between two times as a share of those of another run.
    fn share(&self, other: &Self, from: u64, to: u64) -> f64 {
        self.answers(from, to) as f64 / other.answers(from, to) as f64
    }
}

/// From one to three requests over 10 s after each start.
fn ramp(ms: u64) -> f64 {
    (1.0 + ms as f64 / 5_000.0).min(3.0)
}

fn at(ms: u64) -> Instant {
    Instant::from_millis(3_600_000 + ms)
}

/// Runs the target for 12 s. After a backlog of 40 requests, 200 a second arrive and wait up to
/// 200 ms at the agent. `fixed` is the limit at a time after the start, if the pace sets none.
fn run(fixed: impl Fn(u64) -> Option<f64>, target: Target, seed: u64) -> Figures {
    let mut pace = known_pace(target.slots);
    let mut figures = Figures::default();
    let mut backlog = vec![0; 40];
    let mut flows: Vec<Flow> = Vec::new();
    let mut draws = 0;
    // Without a limit of the pace, the agent delivers what keeps the slots busy.
    let slots = f64::from(target.slots);
    let own = slots * 1.5;
    for ms in 0..12_000 {
        let lifetime = ms % (target.up + 500);
        if lifetime == 0 {
            pace.restart(at(ms));
        }
        for flow in flows.iter_mut().filter(|_| lifetime == target.up) {
            (flow.done_at, flow.fails) = (Some(ms), true);
        }
        for flow in flows.extract_if(.., |flow| flow.done_at.is_some_and(|done| done <= ms)) {
            let latency = Duration::from_millis(ms - flow.sent_at);
            if flow.fails {
                figures.failures.push(ms);
                pace.failed(at(ms), at(flow.sent_at));
            } else {
                figures.answers.push(ms);
                pace.answered(at(ms), at(flow.sent_at), latency);
            }
        }
        backlog.extend((ms % 5 == 0).then_some(ms));
        backlog.retain(|arrived_at| ms - arrived_at <= GOAL.as_millis());
        let paced = || pace.limit(at(ms)).unwrap_or(own);
        let limit = fixed(lifetime).unwrap_or_else(paced);
        figures.slots_at = figures.slots_at.or((limit >= slots).then_some(ms));
        let has_ended = pace.limit(at(ms)).is_none();
        figures.ended_at = figures.ended_at.or(has_ended.then_some(ms));
        while !backlog.is_empty() && lifetime < target.up && (flows.len() + 1) as f64 <= limit {
            backlog.remove(0);
            let fails = flows.len() >= target.capacity;
            flows.push(Flow {
                sent_at: ms,
                done_at: fails.then_some(ms + 8),
                fails,
            });
        }
        let is_running = |flow: &&Flow| flow.done_at.is_some() && !flow.fails;
        let running = flows.iter().filter(is_running).count();
        let free = usize::from(target.slots).saturating_sub(running);
        let waits = |flow: &&mut Flow| flow.done_at.is_none() && flow.sent_at + 6 <= ms;
        for flow in flows.iter_mut().filter(waits).take(free) {
            draws += 1;
            let cold = if lifetime < target.cold { 1.6 } else { 1.0 };
            let time = (10 + mix(seed, draws) % 16) as f64 * cold;
            flow.done_at = Some(ms + time.round() as u64);
        }
    }
    println!(
        "{:?} {target:?} seed {seed}: slots at {:?}, end at {:?}, answers {} {} {}, failures {}",
        fixed(0),
        figures.slots_at,
        figures.ended_at,
        figures.answers(0, 1_000),
        figures.answers(1_000, 2_000),
        figures.answers.len(),
        figures.failures.len(),
    );
    figures
}

/// Pace of a target that was seen warm, with answers after 24 ms.
fn known_pace(slots: u16) -> Pace {
    let mut pace = Pace::full(slots);
    pace.configure(slots, GOAL);
    steady(&mut pace, 0, 500, 24);
    pace
}

/// Answers `count` requests one after the other, each after `latency` ms. Returns the end in ms.
fn steady(pace: &mut Pace, from: u64, count: u64, latency: u64) -> u64 {
    for sent_at in (0..count).map(|number| from + number * latency) {
        let latency = Duration::from_millis(latency);
        pace.answered(at(sent_at) + latency, at(sent_at), latency);
    }
    from + count * latency
}

/// Guards against a cold or recovered target that is left idle, as with a slow ramp, or flooded.
#[test]
fn a_healthy_target_reaches_its_slots_within_a_fifth_of_a_second() {
    for target in [COLD, Target { cold: 0, ..COLD }] {
        for seed in SEEDS {
            let paced = run(|_| None, target, seed);
            let full = run(|_| Some(10.0), target, seed);
            let flooded = run(|_| Some(f64::INFINITY), target, seed);
            let ramp = run(|ms| Some(ramp(ms)), target, seed);
            assert!(paced.slots_at.is_some_and(|ms| ms <= 200));
            assert!(paced.ended_at.is_some_and(|ms| ms <= 500));
            assert!(paced.share(&full, 0, 1_000) >= 0.85);
            assert_eq!(paced.failures, []);
            assert!(ramp.share(&full, 0, 1_000) <= 0.5);
            assert!(flooded.failures.len() >= 1_000);
        }
    }
}

/// Guards against a pace that floods a target again and again, or leaves it idle after a failure.
#[test]
fn a_target_that_fails_above_a_small_load_is_used_and_fails_rarely() {
    for seed in SEEDS {
        for target in [
            WEAK,
            Target {
                capacity: 5,
                ..WEAK
            },
        ] {
            let paced = run(|_| None, target, seed);
            let ideal = run(|_| Some(target.capacity as f64), target, seed);
            let flooded = run(|_| Some(f64::INFINITY), target, seed);
            assert!(paced.share(&ideal, 0, 1_000) >= 0.8);
            assert!(paced.share(&ideal, 1_000, 12_000) >= 0.9);
            assert!(paced.failures.len() <= 15 && flooded.failures.len() >= 300);
            assert!(paced.failures.iter().filter(|ms| **ms > 1_000).count() <= 8);
        }
    }
}

/// Guards against a target in a restart loop that interrupts as many requests at each crash.
#[test]
fn restarts_in_quick_succession_are_more_cautious() {
    let target = Target { up: 700, ..COLD };
    for seed in SEEDS {
        let paced = run(|_| None, target, seed);
        let without = run(|_| Some(3.0), target, seed);
        run(|_| Some(f64::INFINITY), target, seed);
        run(|ms| Some(ramp(ms)), target, seed);
        assert!(paced.failures.len() <= 20 && without.failures.len() >= 30);
        assert!(paced.share(&without, 0, 12_000) >= 0.5);
    }
}

/// Guards against a pace without end for a target that is slower than it was.
#[test]
fn lasting_slowness_ends_the_pace_and_becomes_the_reference() {
    let mut pace = known_pace(2);
    pace.restart(at(20_000));
    let end = steady(&mut pace, 20_000, 30, 100);
    assert_eq!(pace.limit(at(end)), Some(1.0));
    steady(&mut pace, end, 12, 100);
    assert_eq!(pace.limit(at(24_200)), None);
    assert!(pace.reference() >= Duration::from_millis(80));
}

/// Guards against results of a former lifetime, and of requests sent before a decrease, that count.
#[test]
fn only_requests_delivered_since_the_last_change_count() {
    let mut pace = known_pace(8);
    pace.restart(at(20_000));
    steady(&mut pace, 19_990, 1, 20);
    pace.failed(at(20_010), at(19_990));
    assert_eq!(pace.limit(at(20_010)), Some(1.0));
    assert_eq!(pace.limit(at(40_000)), Some(1.0));
    for _ in 0..3 {
        steady(&mut pace, 20_010, 1, 30);
    }
    assert_eq!(pace.limit(at(20_040)), Some(4.0));
    for _ in 0..4 {
        pace.failed(at(20_050), at(20_040));
    }
    assert_eq!(pace.limit(at(20_050)), Some(2.0));
    assert_eq!(pace.phase(at(20_050)), "capped");
}

/// Guards against a limit that rises without use, so that a later burst floods the target.
#[test]
fn sparse_requests_do_not_end_the_pace() {
    let mut pace = known_pace(8);
    pace.restart(at(20_000));
    for number in 200..230 {
        steady(&mut pace, number * 100, 1, 30);
    }
    assert!(pace.limit(at(23_000)).is_some_and(|limit| limit <= 4.0));
}

/// Guards against a panic, a limit out of range, and a pace that is stuck after the time jumps.
#[test]
fn any_sequence_keeps_the_limit_in_range_and_the_pace_recovers() {
    fn check(steps: Vec<(u8, u64, u64)>, slots: u8) -> bool {
        let slots = u16::from(slots);
        let mut pace = Pace::full(slots);
        let full = (f64::from(slots) * 1.5).max(2.0);
        let (mut now, mut jumps) = (Instant::ZERO, 0_u64);
        let mut is_in_range = true;
        for (kind, step, latency) in steps {
            now = match kind % 16 {
                0 => Instant::from_micros(step),
                8 => Instant::from_micros(step >> 20),
                _ => now + Duration::from_micros(step % 1_000_000),
            };
            jumps = jumps.saturating_add(if kind % 8 == 0 { now.as_micros() } else { 0 });
            let latency = Duration::from_micros(latency % 500_000);
            let sent_at = Instant::ZERO + now.since(Instant::ZERO + latency);
            match kind / 16 % 8 {
                1 => pace.restart(now),
                2 => pace.failed(now, sent_at),
                3 => pace.configure(slots, latency),
                _ => pace.answered(now, sent_at, latency),
            }
            let limit = pace.limit(now);
            is_in_range &= limit.is_none_or(|limit| (1.0..=full).contains(&limit));
        }
        pace.configure(slots, GOAL);
        pace.restart(at(0));
        let end = steady(&mut pace, 0, 800, 20);
        // At the end of the range of time no time passes.
        is_in_range && (jumps > u64::MAX / 2 || pace.limit(at(end)).is_none())
    }
    let check = check as fn(Vec<(u8, u64, u64)>, u8) -> bool;
    let seeded = Gen::from_size_and_seed(100, 1);
    QuickCheck::new().rng(seeded).tests(2_000).quickcheck(check);
}
