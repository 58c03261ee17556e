//! Single rules.

use monsoon_admission::{
    Action, Admission, ClassParameters, HealthReport, Outcome, ReportedState, ShedReason,
    TargetParameters, TargetState, WorkId,
};
use monsoon_model::{ClassKey, Duration, Instant};

const HOLD: ClassKey = ClassKey(0);
const BOARD: ClassKey = ClassKey(1);

fn admission(slots: u32, connections: u32, cold_share: f64) -> Admission {
    Admission::new(parameters(slots, connections, cold_share))
}

fn parameters(slots: u32, connections: u32, cold_share: f64) -> TargetParameters {
    let classes = vec![
        ClassParameters {
            weight: 1,
            stream: false,
        },
        ClassParameters {
            weight: 1,
            stream: true,
        },
    ];
    TargetParameters {
        slots,
        connections,
        cold_share,
        classes,
    }
}

/// Guards against one request after the other without a pause: a cold target of 4 slots and 10 %
/// is busy for 40 % of the time at most.
#[test]
fn cold_target_pauses_after_each_request() {
    let mut admission = admission(4, 10, 0.1);
    let start = admission.offer(Instant::ZERO, WorkId(1), HOLD, None);
    assert_eq!(start, [Action::Start(WorkId(1))]);
    assert_eq!(admission.offer(Instant::ZERO, WorkId(2), HOLD, None), []);
    let end = Instant::from_millis(100);
    assert_eq!(admission.finish(end, WorkId(1), Outcome::Ok), []);
    let resume = admission.next_tick().expect("the pause ends");
    assert!(
        resume >= Instant::from_millis(250),
        "pause ended at {resume:?}"
    );
    assert!(admission.load().is_full(), "a pausing target looks free");
    assert_eq!(admission.tick(resume), [Action::Start(WorkId(2))]);
}

/// Guards against new work at a leaving or draining target, and against false refusals: queued
/// work is shed, started work goes on.
#[test]
fn leaving_sheds_the_queue() {
    for draining in [false, true] {
        let mut admission = admission(4, 10, 0.1);
        let now = Instant::from_millis(1);
        admission.offer(now, WorkId(1), HOLD, None);
        admission.offer(now, WorkId(2), HOLD, None);
        let report = HealthReport {
            state: ReportedState::Draining,
            load: None,
        };
        let shed = if draining {
            admission.report(now, report)
        } else {
            admission.set_leaving(now)
        };
        assert_eq!(shed, [Action::Shed(WorkId(2), ShedReason::Leaving)]);
        assert_eq!(admission.state(), TargetState::Leaving);
        assert_eq!(admission.load().busy, 1);
        let later = admission.offer(now, WorkId(3), BOARD, None);
        assert_eq!(later, [Action::Shed(WorkId(3), ShedReason::Leaving)]);
    }
}

/// Guards against a burst of streams to a cold target, and against more streams than connections.
#[test]
fn streams_are_bounded_and_paced_while_cold() {
    let mut admission = admission(4, 50, 0.2);
    let mut opened = [0, 0];
    for i in 0..20_000 {
        // 10 of the 50 connections may be filled in 10 s, and no more while cold.
        let now = Instant::from_millis(i * 5);
        let actions = admission.offer(now, WorkId(i), BOARD, None);
        opened[usize::from(i >= 1_000)] += u64::from(actions == [Action::Start(WorkId(i))]);
    }
    assert!(
        (4..=7).contains(&opened[0]),
        "{opened:?} streams opened in 5 s and 95 s"
    );
    assert_eq!(opened[0] + opened[1], 10);
    assert_eq!(admission.open_streams(), 10);
    assert_eq!(admission.load().busy, 0, "streams take no slots");
}

/// Guards against a false refusal of cancelled work: only queued work is reported as not run.
#[test]
fn cancel_reports_only_queued_work() {
    let mut admission = admission(4, 10, 0.1);
    let now = Instant::from_millis(1);
    admission.offer(now, WorkId(1), HOLD, None);
    admission.offer(now, WorkId(2), HOLD, None);
    assert_eq!(admission.cancel(now, WorkId(1)), []);
    let queued = admission.cancel(now, WorkId(2));
    assert_eq!(queued, [Action::Shed(WorkId(2), ShedReason::Cancelled)]);
    admission.finish(now, WorkId(1), Outcome::Cancelled);
    assert_eq!(admission.load().queued, 0);
}

/// Guards against a deadlock after an estimate that is too long: an idle target takes a request
/// whose deadline is shorter than the estimate.
#[test]
fn idle_target_takes_short_deadlines() {
    let mut admission = admission(4, 10, 1.0);
    admission.offer(Instant::ZERO, WorkId(1), HOLD, None);
    admission.finish(Instant::from_secs(5), WorkId(1), Outcome::Ok);
    let now = Instant::from_secs(6);
    let deadline = Some(now + Duration::from_millis(100));
    let actions = admission.offer(now, WorkId(2), HOLD, deadline);
    assert_eq!(actions, [Action::Start(WorkId(2))]);
    let late = admission.offer(now, WorkId(3), HOLD, deadline);
    assert_eq!(late, [Action::Shed(WorkId(3), ShedReason::Deadline)]);
}

/// Drives a target until it is warm, one request of 10 ms after the other on each slot.
fn warm() -> (Admission, Instant, u64) {
    let mut admission = admission(4, 10, 0.5);
    let (mut now, mut id) = (Instant::ZERO, 0);
    let report = HealthReport {
        state: ReportedState::Ready,
        load: None,
    };
    admission.report(now, report);
    while admission.load().limit < 4_000 {
        rounds(&mut admission, &mut now, &mut id, 1, 10);
    }
    rounds(&mut admission, &mut now, &mut id, 50, 10);
    (admission, now, id)
}

/// Runs rounds of as many requests as the limit admits, each of `millis`.
fn rounds(admission: &mut Admission, now: &mut Instant, id: &mut u64, count: u32, millis: u64) {
    for _ in 0..count {
        let first = *id + 1;
        let mut started = Vec::new();
        for _ in 0..4 {
            *id += 1;
            started.extend(admission.offer(*now, WorkId(*id), HOLD, None));
        }
        *now += Duration::from_millis(millis);
        for work in (first..=*id).map(WorkId) {
            if started.contains(&Action::Start(work)) {
                admission.finish(*now, work, Outcome::Ok);
            } else {
                admission.cancel(*now, work);
                admission.finish(*now, work, Outcome::Cancelled);
            }
        }
    }
}

/// Guards against a fixed limit: it falls while latency is high, stays at one request at least,
/// and returns to the slots afterwards.
#[test]
fn limit_follows_the_latency() {
    let (mut admission, mut now, mut id) = warm();
    rounds(&mut admission, &mut now, &mut id, 30, 35);
    let low = admission.load().limit;
    assert!(
        (1_000..3_000).contains(&low),
        "limit {low} under high latency"
    );
    assert_eq!(admission.state(), TargetState::Ready);
    rounds(&mut admission, &mut now, &mut id, 100, 10);
    assert_eq!(admission.load().limit, 4_000);
}

/// Guards against a target that hangs without a failure: it counts as cold before any timeout.
#[test]
fn hanging_requests_make_the_target_cold() {
    let (mut admission, now, id) = warm();
    for work in id + 1..=id + 3 {
        assert_eq!(admission.offer(now, WorkId(work), HOLD, None).len(), 1);
    }
    let at = admission
        .next_tick()
        .expect("requests in flight are watched");
    assert!(
        at <= now + Duration::from_millis(200),
        "noticed at {at:?} only"
    );
    admission.tick(at);
    assert_eq!(admission.state(), TargetState::Cold);
}

/// Guards against a long cold phase after one lost connection, and against none after two.
#[test]
fn one_failure_is_checked_and_two_mean_cold() {
    for failures in [1, 2] {
        let (mut admission, mut now, mut id) = warm();
        for work in id + 1..=id + failures {
            admission.offer(now, WorkId(work), HOLD, None);
        }
        for work in id + 1..=id + failures {
            admission.finish(now, WorkId(work), Outcome::Failed);
            assert_eq!(
                admission.state(),
                TargetState::Cold,
                "after {failures} failures"
            );
        }
        id += failures;
        now += Duration::from_secs(1);
        rounds(&mut admission, &mut now, &mut id, 3, 10);
        let ready = admission.state() == TargetState::Ready;
        assert_eq!(ready, failures == 1, "{failures} failures");
    }
}

/// Guards against a target that is refused for ever because it became slower for good: after a
/// long time at one latency that latency is its new baseline.
#[test]
fn lasting_slowness_becomes_the_baseline() {
    let (mut admission, mut now, mut id) = warm();
    let cold = HealthReport {
        state: ReportedState::Cold,
        load: None,
    };
    admission.report(now, cold);
    rounds(&mut admission, &mut now, &mut id, 800, 20);
    assert_eq!(admission.state(), TargetState::Cold, "after {now:?}");
    rounds(&mut admission, &mut now, &mut id, 3_000, 20);
    assert_eq!(admission.state(), TargetState::Ready);
    assert_eq!(admission.load().limit, 4_000);
}

/// Guards against reports that raise the limit: without responses "ready" changes nothing, and a
/// report of full load holds a lowered limit until it is outdated.
#[test]
fn reports_only_hold_the_limit_down() {
    let ready = |load| HealthReport {
        state: ReportedState::Ready,
        load,
    };
    let mut idle = admission(4, 10, 0.1);
    for secs in 0..100 {
        idle.report(Instant::from_secs(secs), ready(Some(0.0)));
        assert_eq!(idle.load().limit, 400);
    }
    let (mut admission, mut now, mut id) = warm();
    rounds(&mut admission, &mut now, &mut id, 30, 35);
    let low = admission.load().limit;
    admission.report(now, ready(Some(1.0)));
    rounds(&mut admission, &mut now, &mut id, 100, 10);
    assert!(
        admission.load().limit <= low,
        "limit rose against a report of full load"
    );
    now += Duration::from_secs(10);
    rounds(&mut admission, &mut now, &mut id, 100, 10);
    assert_eq!(admission.load().limit, 4_000);
}

/// Guards against parameters of an old document: fewer slots bound new starts at once, work in
/// flight goes on, and queued work is refused instead of being run as another class.
#[test]
fn changed_parameters_hold_at_once() {
    let (mut admission, now, _) = warm();
    let ids = |range: std::ops::Range<u64>| range.map(|id| WorkId(1_000 + id));
    for id in ids(0..6) {
        admission.offer(now, id, HOLD, None);
    }
    assert_eq!(admission.load().busy, 4);
    let mut fewer = parameters(2, 10, 0.1);
    fewer.classes.truncate(1);
    let shed = admission.reconfigure(now, fewer.clone());
    // The newest are dropped first, as everywhere.
    let expected = ids(4..6)
        .rev()
        .map(|id| Action::Shed(id, ShedReason::Reconfigured));
    assert_eq!(shed, expected.collect::<Vec<_>>());
    assert_eq!(admission.reconfigure(now, fewer), []);
    let unknown = admission.offer(now, WorkId(2_000), BOARD, None);
    assert_eq!(
        unknown,
        [Action::Shed(WorkId(2_000), ShedReason::UnknownClass)]
    );
    assert_eq!(admission.offer(now, WorkId(2_001), HOLD, None), []);
    for id in ids(0..2) {
        assert_eq!(admission.finish(now, id, Outcome::Ok), []);
    }
    let started = admission.finish(now, WorkId(1_002), Outcome::Ok);
    assert_eq!(started, [Action::Start(WorkId(2_001))]);
}
