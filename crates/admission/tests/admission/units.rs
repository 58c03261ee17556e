//! Single rules.

use monsoon_admission::{
    Action, Admission, ClassLimits, HealthReport, Limits, Outcome, ReportedState, ShedReason,
    TargetState, WorkId,
};
use monsoon_model::{ClassKey, Duration, Instant};

const HOLD: ClassKey = ClassKey(0);
const BOARD: ClassKey = ClassKey(1);

fn admission(slots: u32, connections: u32, cold_share: f64) -> Admission {
    let classes = vec![
        ClassLimits {
            weight: 1,
            stream: false,
        },
        ClassLimits {
            weight: 1,
            stream: true,
        },
    ];
    Admission::new(Limits {
        slots,
        connections,
        cold_share,
        classes,
    })
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

/// Guards against a rush of streams to a cold target, and against more streams than connections.
#[test]
fn streams_are_bounded_and_paced_while_cold() {
    let mut admission = admission(4, 50, 0.2);
    let mut opened = 0;
    // 10 of the 50 connections may be filled in 10 s.
    for i in 0..1_000 {
        let now = Instant::from_millis(i * 5);
        let actions = admission.offer(now, WorkId(i), BOARD, None);
        opened += u64::from(actions == [Action::Start(WorkId(i))]);
    }
    assert!((4..=7).contains(&opened), "{opened} streams opened in 5 s");
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
