//! Tests of single rules.

use monsoon_admission::{
    Action, Admission, ClassParameters, HealthReport, Outcome, ReportedState, ShedReason,
    TargetParameters, TargetState, WorkId,
};
use monsoon_model::{ClassKey, Duration, Instant};

const REQUEST: ClassKey = ClassKey(0);
const STREAM: ClassKey = ClassKey(1);

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

/// Guards against requests in sequence without pauses at a cold target. With 4 slots and a cold
/// share of 10 %, it must be busy for at most 40 % of the time.
#[test]
fn cold_target_pauses_after_each_request() {
    let mut admission = admission(4, 10, 0.1);
    let start = admission.offer(Instant::ZERO, WorkId(1), REQUEST, None);
    assert_eq!(start, [Action::Start(WorkId(1))]);
    assert_eq!(admission.offer(Instant::ZERO, WorkId(2), REQUEST, None), []);
    let end = Instant::from_millis(100);
    assert_eq!(admission.finish(end, WorkId(1), Outcome::Ok), []);
    let resume_at = admission.next_tick().expect("the pause ends");
    assert!(
        resume_at >= Instant::from_millis(250),
        "pause ended at {resume_at:?}"
    );
    assert!(
        admission.load().is_full(),
        "a paused target is announced as free"
    );
    assert_eq!(admission.tick(resume_at), [Action::Start(WorkId(2))]);
}

/// Guards against new work at a leaving or draining target, and against started work reported as
/// shed. Queued work must be shed, started work must continue.
#[test]
fn leaving_sheds_the_queue() {
    for is_draining in [false, true] {
        let mut admission = admission(4, 10, 0.1);
        let now = Instant::from_millis(1);
        admission.offer(now, WorkId(1), REQUEST, None);
        admission.offer(now, WorkId(2), REQUEST, None);
        let report = HealthReport {
            state: ReportedState::Draining,
            load: None,
        };
        let shed = if is_draining {
            admission.report(now, report)
        } else {
            admission.set_leaving(now)
        };
        assert_eq!(shed, [Action::Shed(WorkId(2), ShedReason::Leaving)]);
        assert_eq!(admission.state(), TargetState::Leaving);
        assert_eq!(admission.load().busy, 1);
        let offered = admission.offer(now, WorkId(3), STREAM, None);
        assert_eq!(offered, [Action::Shed(WorkId(3), ShedReason::Leaving)]);
    }
}

/// Guards against a burst of streams at a cold target, and against more streams than connections.
#[test]
fn streams_are_bounded_and_paced_while_cold() {
    let mut admission = admission(4, 50, 0.2);
    let mut opened = [0, 0];
    for i in 0..20_000 {
        // While cold, 10 of the 50 connections may be filled, within 10 s.
        let now = Instant::from_millis(i * 5);
        let actions = admission.offer(now, WorkId(i), STREAM, None);
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

/// Guards against cancelled work that is reported as shed although it was started.
#[test]
fn cancel_reports_only_queued_work() {
    let mut admission = admission(4, 10, 0.1);
    let now = Instant::from_millis(1);
    admission.offer(now, WorkId(1), REQUEST, None);
    admission.offer(now, WorkId(2), REQUEST, None);
    assert_eq!(admission.cancel(now, WorkId(1)), []);
    let queued = admission.cancel(now, WorkId(2));
    assert_eq!(queued, [Action::Shed(WorkId(2), ShedReason::Cancelled)]);
    admission.finish(now, WorkId(1), Outcome::Cancelled);
    assert_eq!(admission.load().queued, 0);
}

/// Guards against a target that stays idle because its estimated service time is too long. An idle
/// target must get a request even if its deadline is shorter than the estimate.
#[test]
fn idle_target_accepts_short_deadlines() {
    let mut admission = admission(4, 10, 1.0);
    admission.offer(Instant::ZERO, WorkId(1), REQUEST, None);
    admission.finish(Instant::from_secs(5), WorkId(1), Outcome::Ok);
    let now = Instant::from_secs(6);
    let deadline = Some(now + Duration::from_millis(100));
    let actions = admission.offer(now, WorkId(2), REQUEST, deadline);
    assert_eq!(actions, [Action::Start(WorkId(2))]);
    let late = admission.offer(now, WorkId(3), REQUEST, deadline);
    assert_eq!(late, [Action::Shed(WorkId(3), ShedReason::Deadline)]);
}

/// Returns a warm target after requests of 10 ms, with the time and the last work ID.
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

/// Offers 4 requests per round, each of `millis`, and cancels those that are not started.
fn rounds(admission: &mut Admission, now: &mut Instant, id: &mut u64, count: u32, millis: u64) {
    for _ in 0..count {
        let first = *id + 1;
        let mut started = Vec::new();
        for _ in 0..4 {
            *id += 1;
            started.extend(admission.offer(*now, WorkId(*id), REQUEST, None));
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

/// Guards against a limit that does not follow the latency. It must fall while latency is high, but
/// not below one request, and rise to the slots afterwards.
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

/// Guards against a target that hangs without a failure. It must count as cold before any timeout.
#[test]
fn hanging_requests_make_the_target_cold() {
    let (mut admission, now, id) = warm();
    for work in id + 1..=id + 3 {
        assert_eq!(admission.offer(now, WorkId(work), REQUEST, None).len(), 1);
    }
    let at = admission
        .next_tick()
        .expect("requests in flight are checked for hanging");
    assert!(
        at <= now + Duration::from_millis(200),
        "hanging requests are detected only at {at:?}"
    );
    admission.tick(at);
    assert_eq!(admission.state(), TargetState::Cold);
}

/// Guards against a long cold phase after one failure, and against no cold phase after two.
#[test]
fn one_failure_recovers_fast_and_two_do_not() {
    for failures in [1, 2] {
        let (mut admission, mut now, mut id) = warm();
        for work in id + 1..=id + failures {
            admission.offer(now, WorkId(work), REQUEST, None);
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
        let is_ready = admission.state() == TargetState::Ready;
        assert_eq!(is_ready, failures == 1, "{failures} failures");
    }
}

/// Guards against a target that counts as cold for ever because it became lastingly slower. After a
/// long time at one latency, that latency must become the baseline.
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

/// Guards against health reports that raise the limit. Without responses a ready report must change
/// nothing, and a report of full load must keep a lowered limit until the report expires.
#[test]
fn reports_never_raise_the_limit() {
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
        "the limit rose despite a report of full load"
    );
    now += Duration::from_secs(10);
    rounds(&mut admission, &mut now, &mut id, 100, 10);
    assert_eq!(admission.load().limit, 4_000);
}

/// Guards against outdated parameters after a change. Fewer slots must bound new starts at once,
/// work in flight must continue, and queued work must be shed instead of started as another class.
#[test]
fn changed_parameters_apply_at_once() {
    let (mut admission, now, _) = warm();
    let ids = |range: std::ops::Range<u64>| range.map(|id| WorkId(1_000 + id));
    for id in ids(0..6) {
        admission.offer(now, id, REQUEST, None);
    }
    assert_eq!(admission.load().busy, 4);
    let mut fewer = parameters(2, 10, 0.1);
    fewer.classes.truncate(1);
    let shed = admission.reconfigure(now, fewer.clone());
    // The newest requests are shed first.
    let expected = ids(4..6)
        .rev()
        .map(|id| Action::Shed(id, ShedReason::Reconfigured));
    assert_eq!(shed, expected.collect::<Vec<_>>());
    assert_eq!(admission.reconfigure(now, fewer), []);
    let unknown = admission.offer(now, WorkId(2_000), STREAM, None);
    assert_eq!(
        unknown,
        [Action::Shed(WorkId(2_000), ShedReason::UnknownClass)]
    );
    assert_eq!(admission.offer(now, WorkId(2_001), REQUEST, None), []);
    for id in ids(0..2) {
        assert_eq!(admission.finish(now, id, Outcome::Ok), []);
    }
    let started = admission.finish(now, WorkId(1_002), Outcome::Ok);
    assert_eq!(started, [Action::Start(WorkId(2_001))]);
}
