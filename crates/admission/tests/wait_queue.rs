//! Tests of the wait queue: single rules, random sequences of calls, and a model target under
//! overload in virtual time.

#[path = "wait_queue/overload.rs"]
mod overload;

use monsoon_admission::{
    AccountKey, Estimate, LATE_WORK, MAX_WAITING, RejectReason, WaitQueue, Waiting,
};
use monsoon_model::{Duration, Instant};
use quickcheck::{Gen, QuickCheck, TestResult};

/// Estimate of a target of two places.
pub(crate) const ESTIMATE: Estimate = Estimate {
    service_time: Duration::from_millis(15),
    concurrency: 2.0,
};

/// Request with the usual goal and limit that arrives at `at`.
pub(crate) fn request(item: u32, at: Instant, priority: u8, account: u64) -> Waiting<u32> {
    Waiting {
        item,
        account: AccountKey(account),
        priority,
        goal_at: at + Duration::from_millis(200),
        expires_at: at + Duration::from_millis(900),
    }
}

/// Offers a request that must be admitted without a rejection.
fn admit(queue: &mut WaitQueue<u32>, now: Instant, request: Waiting<u32>) {
    let rejected = queue.offer(now, request, ESTIMATE);
    assert!(rejected.is_empty(), "{rejected:?}");
}

fn pops(queue: &mut WaitQueue<u32>, now: Instant) -> Vec<u32> {
    std::iter::from_fn(|| queue.pop(now, ESTIMATE).map(|w| w.item)).collect()
}

/// Guards against an order by arrival.
#[test]
fn order_is_priority_then_reachable_goal_then_share_then_goal() {
    let now = Instant::from_secs(1);
    let mut queue = WaitQueue::new();
    for _ in 0..10 {
        queue.record_start(now, AccountKey(7));
    }
    let before = |millis: u64| Instant::from_millis(1_000 - millis);
    admit(&mut queue, now, request(1, before(190), 2, 1));
    admit(&mut queue, now, request(2, before(50), 2, 7));
    admit(&mut queue, now, request(3, before(10), 2, 2));
    admit(&mut queue, now, request(4, before(20), 2, 3));
    admit(&mut queue, now, request(5, before(190), 1, 4));
    admit(&mut queue, now, request(6, before(0), 1, 5));
    assert_eq!(pops(&mut queue, now), [6, 5, 4, 3, 2, 1]);
}

/// Guards against requests that wait although they cannot be answered, and against a timer that
/// fires without effect.
#[test]
fn hopeless_requests_are_rejected_at_once_and_on_time() {
    let mut queue = WaitQueue::new();
    for n in 0..100 {
        queue.offer(Instant::ZERO, request(n, Instant::ZERO, 1, 1), ESTIMATE);
    }
    let wait = queue.expected_wait(1, AccountKey(1), ESTIMATE);
    assert!(wait < Duration::from_millis(900), "{wait:?}");
    let mut short = request(100, Instant::ZERO, 1, 1);
    short.expires_at = Instant::ZERO + wait;
    let rejected = queue.offer(Instant::ZERO, short, ESTIMATE);
    assert_eq!(rejected[0].reason, RejectReason::Wait);
    let due = queue.next_expiry().expect("requests wait");
    let early = Instant::from_micros(due.as_micros() - 1);
    assert!(
        queue
            .expire(early, ESTIMATE)
            .iter()
            .all(|r| r.reason == RejectReason::Late)
    );
    assert!(!queue.expire(due, ESTIMATE).is_empty());
    assert!(queue.is_empty() && queue.next_expiry().is_none());
}

/// Guards against an unbounded queue, and against a full one that rejects urgent requests.
#[test]
fn a_full_queue_rejects_the_last_in_order() {
    let fast = Estimate {
        service_time: Duration::from_millis(1),
        concurrency: 100.0,
    };
    let mut queue = WaitQueue::new();
    let count = MAX_WAITING as u32;
    for n in 0..count {
        let account = if n < 10 { 2 } else { 1 };
        let rejected = queue.offer(Instant::ZERO, request(n, Instant::ZERO, 2, account), fast);
        assert!(rejected.is_empty());
    }
    let urgent = request(count, Instant::ZERO, 1, 3);
    let rejected = queue.offer(Instant::ZERO, urgent, fast);
    assert_eq!(rejected.len(), 1);
    assert_eq!(rejected[0].item, count - 1);
    assert_eq!(rejected[0].reason, RejectReason::Full);
    assert_eq!(queue.len(), MAX_WAITING);
}

/// Guards against late requests that pile up beside those in time, and against late requests that
/// are rejected although nothing else waits.
#[test]
fn late_requests_are_bounded_only_beside_those_in_time() {
    let mut queue = WaitQueue::new();
    for n in 0..20 {
        admit(&mut queue, Instant::ZERO, request(n, Instant::ZERO, 2, 1));
    }
    let now = Instant::from_millis(300);
    assert!(queue.expire(now, ESTIMATE).is_empty());
    let rejected = queue.offer(now, request(20, now, 2, 1), ESTIMATE);
    assert!(rejected.is_empty());
    let rejected = queue.expire(now, ESTIMATE);
    let kept = LATE_WORK.as_micros() * 2 / 15_000;
    assert_eq!(rejected.len() as u64, 20 - kept);
    assert!(rejected.iter().all(|r| r.reason == RejectReason::Late));
    assert_eq!(queue.pop(now, ESTIMATE).map(|w| w.item), Some(20));
}

/// Guards against requests that wait until their limit behind more urgent ones that came later.
#[test]
fn urgent_requests_displace_the_last_in_order() {
    let mut queue = WaitQueue::new();
    for n in 0..110 {
        admit(&mut queue, Instant::ZERO, request(n, Instant::ZERO, 2, 1));
    }
    let urgent = (110..130).map(|n| request(n, Instant::ZERO, 1, 2));
    let rejected: Vec<_> = urgent
        .flat_map(|r| queue.offer(Instant::ZERO, r, ESTIMATE))
        .collect();
    let items: Vec<u32> = rejected.iter().map(|r| r.item).collect();
    assert_eq!(items, (98..110).rev().collect::<Vec<u32>>());
    assert!(rejected.iter().all(|r| r.reason == RejectReason::Displaced));
}

/// Guards against requests that wait for their rejection until their goals have passed.
#[test]
fn requests_that_will_be_late_are_rejected_early_when_enough_are_late() {
    let mut queue = WaitQueue::new();
    for n in 0..6 {
        admit(&mut queue, Instant::ZERO, request(n, Instant::ZERO, 2, 1));
    }
    let now = Instant::from_millis(300);
    let mut rejected = Vec::new();
    for n in 6..46 {
        rejected.extend(queue.offer(now, request(n, now, 2, 1), ESTIMATE));
    }
    for n in 46..50 {
        rejected.extend(queue.offer(now, request(n, now, 1, 2), ESTIMATE));
    }
    let items: Vec<u32> = rejected.iter().map(|r| r.item).collect();
    let refused = 26..46;
    assert_eq!(items, refused.chain((22..26).rev()).collect::<Vec<u32>>());
    assert!(rejected.iter().all(|r| r.reason == RejectReason::Late));
}

/// Guards against a request whose caller gave up that still starts, and against requests that are
/// lost when the queue is passed on.
#[test]
fn requests_are_found_removed_and_drained() {
    let mut queue = WaitQueue::new();
    for n in 0..4 {
        admit(
            &mut queue,
            Instant::ZERO,
            request(n, Instant::ZERO, 2, n.into()),
        );
    }
    assert!(queue.find(|w| w.item == 2).is_some());
    assert_eq!(queue.remove(|w| w.item == 2).map(|w| w.item), Some(2));
    assert!(queue.remove(|w| w.item == 2).is_none());
    let items: Vec<u32> = queue.drain().into_iter().map(|w| w.item).collect();
    assert_eq!(items, [0, 1, 3]);
    assert!(queue.is_empty() && queue.pop(Instant::ZERO, ESTIMATE).is_none());
}

/// Estimates from sensible to absurd.
fn estimate(kind: u8) -> Estimate {
    let micros = [15_000, 15_000, 20_000, 0, 1, 7_200_000_000, u64::MAX];
    let places = [2.0, 8.0, 0.0, -1.0, f64::NAN, f64::INFINITY, 1e-300];
    let (low, high) = (usize::from(kind % 16), usize::from(kind / 16));
    Estimate {
        service_time: Duration::from_micros(micros[low.saturating_sub(9)]),
        concurrency: places[high.saturating_sub(9)],
    }
}

/// Key of the order as the specification states it, without the share.
fn order(w: &Waiting<u32>, now: Instant, estimate: Estimate) -> (u8, bool) {
    let service = estimate.service_time;
    let spread = service.mul_f64(2.0).min(Duration::from_millis(50));
    (w.priority, w.goal_at < now + service + spread)
}

/// Use of an account, in starts.
#[derive(Clone, Copy)]
struct Use {
    /// At its last start. Below four, the account counts as unused.
    at_start: f64,
    now: f64,
}

/// Whether `popped` may start before `other` at `now`.
fn is_first(
    popped: &Waiting<u32>,
    other: &Waiting<u32>,
    (now, estimate): (Instant, Estimate),
    used: impl Fn(AccountKey) -> Use,
) -> bool {
    let (a, b) = (order(popped, now, estimate), order(other, now, estimate));
    if a != b {
        return a < b;
    }
    if popped.account == other.account {
        return popped.goal_at <= other.goal_at;
    }
    let (popped_use, other_use) = (used(popped.account), used(other.account));
    match (popped_use.at_start < 4.0, other_use.at_start < 4.0) {
        (true, true) => popped.goal_at <= other.goal_at,
        (true, false) => true,
        (false, true) => false,
        (false, false) => popped_use.now <= other_use.now * 1.03 + 1e-9,
    }
}

/// Applies one random call to the queue and to the list of the requests it must hold.
fn step(
    queue: &mut WaitQueue<u32>,
    held: &mut Vec<Waiting<u32>>,
    now: Instant,
    (call, kind, item): (u8, u8, u32),
) -> Result<(), String> {
    let estimate = estimate(kind);
    let ends = |w: &Waiting<u32>| now + estimate.service_time <= w.expires_at;
    let rejected = match call % 8 {
        0..=4 => {
            let at = Instant::from_micros(now.as_micros().saturating_sub(u64::from(kind) * 1_500));
            let new = request(item, at, call % 3, (kind % 5).into());
            held.push(new.clone());
            queue.offer(now, new, estimate)
        }
        5 => queue.expire(now, estimate),
        6 => {
            let used = held.iter().map(|w| {
                // A use does not decay before its last start.
                let use_at = |at| queue.shares().use_of(at, w.account);
                let (at_start, now) = (use_at(Instant::ZERO), use_at(now));
                (w.account, Use { at_start, now })
            });
            let used: std::collections::BTreeMap<_, _> = used.collect();
            match queue.pop(now, estimate) {
                None if held.iter().any(ends) => return Err("idle place".to_owned()),
                None => {}
                Some(popped) => {
                    let place = held.iter().position(|w| *w == popped);
                    held.remove(place.ok_or("popped twice")?);
                    let first = |w| is_first(&popped, w, (now, estimate), |a| used[&a]);
                    if !ends(&popped) || !held.iter().filter(|w| ends(w)).all(first) {
                        return Err(format!("popped {popped:?} of {held:?}"));
                    }
                }
            }
            Vec::new()
        }
        _ => {
            let removed = queue.remove(|w| w.item % 3 == 0);
            held.retain(|w| removed.as_ref().is_none_or(|r| w.item != r.item));
            Vec::new()
        }
    };
    for r in rejected {
        let place = held.iter().position(|w| w.item == r.item);
        held.remove(place.ok_or("rejected twice")?);
    }
    if call % 8 == 5 && !held.iter().all(ends) {
        return Err("not expired".to_owned());
    }
    let wait = queue.expected_wait(call % 3, AccountKey(kind.into()), estimate);
    let is_right = queue.len() == held.len() && wait + Duration::ZERO == wait;
    is_right
        .then_some(())
        .ok_or_else(|| "wrong length".to_owned())
}

/// Guards against requests that are lost, returned twice or started in the wrong order, against idle
/// places and against panics, with any estimates and a clock that may go back.
#[test]
fn nothing_is_lost_or_returned_twice_and_the_order_holds() {
    fn property(calls: Vec<(u8, u8, i8)>) -> TestResult {
        let (mut queue, mut held) = (WaitQueue::new(), Vec::new());
        let mut micros = 1_000_000_i64;
        for (n, (call, kind, passed)) in calls.into_iter().enumerate() {
            micros += i64::from(passed) * 100 + 4_000;
            let now = Instant::from_micros(micros as u64);
            if let Err(e) = step(&mut queue, &mut held, now, (call, kind, n as u32)) {
                return TestResult::error(e);
            }
        }
        TestResult::from_bool(queue.drain().len() == held.len())
    }
    let check = property as fn(Vec<(u8, u8, i8)>) -> TestResult;
    let random = Gen::from_size_and_seed(400, 1);
    QuickCheck::new().rng(random).tests(1_000).quickcheck(check);
}
