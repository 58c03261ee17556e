//! Tests of consistent shedding, alone and with repeating callers at model targets in virtual time.

use std::collections::BTreeSet;

use monsoon_admission::{AccountKey, SHEDDING_PERIOD, Shedding};
use monsoon_model::{Duration, Instant, hash::mix};

const GOAL: Duration = Duration::from_millis(200);
/// Wait of a third of the goal, at which about half of the accounts are admitted.
const WAIT: Duration = Duration::from_millis(70);
const ACCOUNTS: u64 = 2_000;

/// Feeds a state a lasting wait of one second, one decision per `step` milliseconds.
fn feed(shedding: &mut Shedding, from: Instant, wait: Duration, step: usize) -> Instant {
    for ms in (0..1_000).step_by(step) {
        let now = from + Duration::from_millis(ms);
        shedding.admits(now, 2, AccountKey(ms), wait, GOAL);
    }
    from + Duration::from_millis(1_000)
}

fn admitted(shedding: &mut Shedding, now: Instant, wait: Duration) -> BTreeSet<u64> {
    let admits = |n: &u64| shedding.admits(now, 2, AccountKey(*n), wait, GOAL);
    (0..ACCOUNTS).filter(admits).collect()
}

/// Guards against rejections without overload, also where a wait is a small share of the goal.
#[test]
fn without_a_wait_everybody_is_admitted() {
    for wait in [Duration::ZERO, GOAL.mul_f64(0.1)] {
        let mut shedding = Shedding::new();
        let now = feed(&mut shedding, Instant::ZERO, wait, 1);
        assert_eq!(admitted(&mut shedding, now, wait).len() as u64, ACCOUNTS);
    }
}

/// Guards against agents that reject different accounts, so that rejected callers find room
/// elsewhere and use it at their second attempts.
#[test]
fn the_same_accounts_are_admitted_everywhere() {
    let (mut one, mut other, mut busier) = (Shedding::new(), Shedding::new(), Shedding::new());
    let now = feed(&mut one, Instant::ZERO, WAIT, 1);
    feed(&mut other, Instant::ZERO, WAIT, 1);
    feed(
        &mut busier,
        Instant::ZERO,
        WAIT + Duration::from_millis(20),
        7,
    );
    let first = admitted(&mut one, now, WAIT);
    let share = first.len() as f64 / ACCOUNTS as f64;
    assert!((0.4..0.6).contains(&share), "{share}");
    assert_eq!(first, admitted(&mut other, now, WAIT));
    // A busier target admits a part of the same accounts.
    let fewer = admitted(&mut busier, now, WAIT + Duration::from_millis(20));
    assert!(fewer.is_subset(&first) && fewer.len() < first.len());
}

/// Guards against a share that ignores the length of the wait, swings with a single long wait, or
/// does not recover; and against overload of one priority that sheds another.
#[test]
fn the_admitted_share_follows_the_wait() {
    let mut shedding = Shedding::new();
    let mut now = Instant::ZERO;
    let mut last = 1.1;
    for ms in [10, 40, 70, 100, 130] {
        now = feed(&mut shedding, now, Duration::from_millis(ms), 1);
        let share = shedding.admitted(2);
        assert!(share < last - 0.05, "{ms} ms: {share} after {last}");
        last = share;
    }
    assert!(last < 0.01, "{last}");
    assert!(shedding.admits(now, 1, AccountKey(1), Duration::ZERO, GOAL));
    assert!((shedding.admitted(1) - 1.0).abs() < 1e-9);
    now = feed(&mut shedding, now, Duration::ZERO, 1);
    assert!(shedding.admitted(2) > 0.99);
    shedding.admits(now, 2, AccountKey(1), GOAL, GOAL);
    assert!(shedding.admitted(2) > 0.95, "{}", shedding.admitted(2));
}

/// Guards against accounts that are left out for long.
#[test]
fn periods_change_the_accounts_and_are_fair() {
    const PERIODS: u64 = 400;
    let mut shedding = Shedding::new();
    let now = feed(&mut shedding, Instant::ZERO, WAIT, 1);
    let mut counts = vec![0_u32; ACCOUNTS as usize];
    let mut last = BTreeSet::new();
    for period in 0..PERIODS {
        shedding.set_period(period);
        let set = admitted(&mut shedding, now, WAIT);
        for &account in &set {
            counts[account as usize] += 1;
        }
        // Half of the accounts overlap by chance.
        let both = set.intersection(&last).count() as f64 / set.len() as f64;
        assert!(both < 0.65, "period {period}: {both}");
        last = set;
    }
    let expected = PERIODS as f64 * shedding.admitted(2);
    // The standard deviation of 400 fair draws is 10; none of 2,000 accounts is 5 of them away.
    for count in counts {
        assert!((f64::from(count) - expected).abs() < 50.0, "{count}");
    }
}

/// Guards against panics and against shares outside 0 to 1 or that are not a number, which would
/// never recover.
#[test]
fn extreme_inputs_do_no_harm() {
    let max = Duration::from_micros(u64::MAX);
    let times = [500, 500, 100, 0, u64::MAX, 3].map(Instant::from_micros);
    let durations = [Duration::ZERO, Duration::from_micros(1), GOAL, max];
    for now in times {
        for (wait, goal) in durations.iter().flat_map(|&w| durations.map(|g| (w, g))) {
            let mut shedding = Shedding::new();
            shedding.set_period(u64::MAX);
            for at in [now, Instant::from_secs(1), now] {
                shedding.admits(at, u8::MAX, AccountKey(u64::MAX), wait, goal);
                let share = shedding.admitted(u8::MAX);
                assert!((0.0..=1.0).contains(&share), "{now:?} {wait:?} {goal:?}");
            }
        }
    }
    // Time that stands still or goes back leaves the share as it is.
    let mut shedding = Shedding::new();
    let now = feed(&mut shedding, Instant::from_secs(5), WAIT, 1);
    let share = shedding.admitted(2);
    for at in [now, now, Instant::ZERO, Instant::from_secs(5)] {
        shedding.admits(at, 2, AccountKey(1), max, GOAL);
    }
    assert!((shedding.admitted(2) - share).abs() < 0.02);
    feed(&mut shedding, now, Duration::ZERO, 1);
    assert!(shedding.admitted(2) > 0.99);
}

/// Figures of a run.
#[derive(Debug, Default)]
struct Figures {
    /// Answers by attempt.
    answers: [u32; 3],
    offered: u32,
}

impl Figures {
    fn share_at_first(&self) -> f64 {
        f64::from(self.answers[0]) / f64::from(self.answers.iter().sum::<u32>())
    }
}

/// Ten targets that answer 133 requests a second, at 1.35 times their capacity for 20 s. A rejected
/// caller repeats its request 1 ms later at a random target, twice at most. `account_of` gives the
/// account by which a target decides, of the caller's account and a random number.
fn run(seed: u64, account_of: impl Fn(u64, u64) -> u64) -> Figures {
    const TARGETS: usize = 10;
    const RATE: f64 = 133.0;
    let service = Duration::from_micros((1e6 / RATE) as u64);
    let mut targets = vec![(Shedding::new(), Instant::ZERO); TARGETS];
    let mut seed = seed;
    let mut random = || {
        seed = mix(seed, 1);
        seed
    };
    let (mut figures, mut repeats, mut due) = (Figures::default(), Vec::new(), 0.0);
    for ms in 0..20_000 {
        let now = Instant::ZERO + Duration::from_millis(ms);
        due += 1.35 * RATE * TARGETS as f64 / 1e3;
        let mut requests: Vec<(u64, usize)> = std::mem::take(&mut repeats);
        while due >= 1.0 {
            due -= 1.0;
            figures.offered += 1;
            requests.push((random() % ACCOUNTS, 0));
        }
        for (caller, attempt) in requests {
            let (shedding, free_at) = &mut targets[(random() % TARGETS as u64) as usize];
            shedding.set_period(now.as_micros() / SHEDDING_PERIOD.as_micros());
            let account = AccountKey(account_of(caller, random()));
            if shedding.admits(now, 2, account, free_at.since(now), GOAL) {
                *free_at = now.max(*free_at) + service;
                figures.answers[attempt] += 1;
            } else if attempt < 2 {
                repeats.push((caller, attempt + 1));
            }
        }
    }
    figures
}

/// Guards the reason for the module: with random rejection, a large part of the answers goes to
/// repeated attempts, which are late.
#[test]
fn most_answers_are_given_at_the_first_attempt() {
    for seed in [1, 2, 3] {
        let random = run(seed, |_, number| number);
        let consistent = run(seed, |account, _| account);
        let shares = (random.share_at_first(), consistent.share_at_first());
        assert!(shares.0 < 0.6, "random: {random:?}");
        assert!(shares.1 > 0.8, "consistent: {consistent:?}");
        // Both answer what the targets can process.
        for figures in [random, consistent] {
            let share = f64::from(figures.answers.iter().sum::<u32>()) / f64::from(figures.offered);
            assert!((0.70..0.78).contains(&share), "{share}");
        }
    }
}
