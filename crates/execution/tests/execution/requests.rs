//! One request: its attempts, retries, deadline and cancellation.

use monsoon_execution::claim::ClaimResult;
use monsoon_execution::{Action, Destination, Event, Execution, Reply, Request, RetryBudget};
use monsoon_model::{Instant, hash::mix};

fn budget(retries: u32) -> RetryBudget {
    let mut budget = RetryBudget::default();
    for _ in 0..retries * 10 {
        budget.deposit();
    }
    budget
}

fn request(idempotent: bool, from_peer: bool) -> Execution {
    let deadline = Some(Instant::from_secs(2));
    Execution::new(
        Instant::ZERO,
        Request {
            idempotent,
            from_peer,
            deadline,
        },
    )
}

/// Handles all events at 1 ms and returns the actions of the last one.
fn drive(execution: &mut Execution, events: &[Event], budget: &mut RetryBudget) -> Vec<Action> {
    let mut last = Vec::new();
    for event in events {
        last = execution.handle(Instant::from_millis(1), *event, budget);
    }
    last
}

/// Guards against a second hop: a request that a peer forwarded runs here or is rejected, even when
/// the retry budget is not empty.
#[test]
fn request_of_a_peer_is_not_forwarded_again() {
    let mut execution = request(false, true);
    let rejected = drive(
        &mut execution,
        &[Event::Arrived, Event::NotRun(1)],
        &mut budget(5),
    );
    assert_eq!(rejected, [Action::Reply(Reply::NotRun)]);
}

/// Guards against a retry after an unknown outcome, which could run the request twice, and against
/// a retry beyond the budget.
#[test]
fn unknown_outcome_is_not_retried() {
    let events = [Event::Arrived, Event::Picked(Some(Destination::Peer(3)))];
    let mut lost = request(true, false);
    drive(&mut lost, &events, &mut budget(5));
    let actions = drive(&mut lost, &[Event::ConnectionLost(1)], &mut budget(5));
    assert_eq!(actions, [Action::Reply(Reply::Unknown)]);
    for (retries, expected) in [
        (1, Action::Pick(Some(Destination::Peer(3)))),
        (0, Action::Reply(Reply::NotRun)),
    ] {
        let mut rejected = request(true, false);
        drive(&mut rejected, &events, &mut budget(0));
        let actions = drive(&mut rejected, &[Event::NotRun(1)], &mut budget(retries));
        assert_eq!(actions, [expected]);
    }
}

/// Guards against a retry at the destination that has just rejected the request.
#[test]
fn retry_avoids_the_destination_that_rejected() {
    let mut execution = request(true, false);
    let mut budget = budget(1);
    let local = Event::Picked(Some(Destination::Local));
    let pick = drive(
        &mut execution,
        &[Event::Arrived, local, Event::NotRun(1)],
        &mut budget,
    );
    assert_eq!(pick, [Action::Pick(Some(Destination::Local))]);
    let second = drive(&mut execution, &[local], &mut budget);
    assert_eq!(second, [Action::Reply(Reply::NotRun)]);
}

/// Guards against answering with the response of an earlier attempt.
#[test]
fn response_of_an_earlier_attempt_is_discarded() {
    let mut execution = request(true, false);
    let events = [
        Event::Arrived,
        Event::Picked(Some(Destination::Peer(0))),
        Event::NotRun(1),
        Event::Picked(Some(Destination::Peer(1))),
        Event::Response(1, 200),
    ];
    let mut budget = budget(1);
    assert_eq!(drive(&mut execution, &events, &mut budget), []);
    let response = drive(&mut execution, &[Event::Response(2, 200)], &mut budget);
    assert_eq!(response, [Action::Reply(Reply::Response(2))]);
}

/// Guards against a false "not run" at the deadline, and against the loss of a late response or of
/// the release of a late claim.
#[test]
fn deadline_never_reports_a_false_not_run() {
    let late = Instant::from_secs(2);
    let claimed = [
        Event::Arrived,
        Event::Claimed(ClaimResult::Granted),
        Event::Picked(Some(Destination::Local)),
    ];
    let mut budget = budget(1);

    let mut queued = request(false, false);
    drive(&mut queued, &claimed, &mut budget);
    let actions = queued.handle(late, Event::Tick, &mut budget);
    assert_eq!(
        actions,
        [
            Action::Cancel(1),
            Action::ReleaseClaim,
            Action::Reply(Reply::NotRun)
        ]
    );

    let mut sent = request(false, false);
    drive(&mut sent, &claimed, &mut budget);
    drive(&mut sent, &[Event::Started(1)], &mut budget);
    let actions = sent.handle(late, Event::Response(1, 201), &mut budget);
    let expected = [
        Action::Cancel(1),
        Action::Reply(Reply::Unknown),
        Action::StoreStatus(201),
    ];
    assert_eq!(actions, expected);

    let mut claiming = request(false, false);
    drive(&mut claiming, &claimed[..1], &mut budget);
    let actions = claiming.handle(late, Event::Tick, &mut budget);
    assert_eq!(actions, [Action::Reply(Reply::Unknown)]);
    let actions = claiming.handle(late, Event::Claimed(ClaimResult::Granted), &mut budget);
    assert_eq!(actions, [Action::ReleaseClaim]);
}

/// Guards against a second send, a second reply and a false "not run" under any order of events,
/// including late and repeated ones. The state machine asserts the first two itself.
#[test]
fn random_event_orders_cause_no_second_send_or_reply() {
    let mut replies = 0_u64;
    for seed in 0..20_000_u64 {
        let idempotent = seed.is_multiple_of(2);
        let mut execution = request(idempotent, seed % 5 == 4);
        let mut budget = budget(3);
        // Whether an ended attempt may have run, and the active attempt, by the events so far.
        let (mut may_have_run, mut active) = (false, None);
        for step in 0..30 {
            let random = mix(seed, step);
            let attempt = (execution.attempt() + 1)
                .saturating_sub((random >> 8) as u32 % 3)
                .max(1);
            let event = event(random, attempt);
            if let Event::NotRun(n) = event {
                // A target that got the request does not reject it afterwards.
                if active == Some(n) && (random >> 20).is_multiple_of(2) {
                    active = None;
                } else if active == Some(n) {
                    continue;
                }
            }
            let now = Instant::from_millis(step * 100);
            for action in execution.handle(now, event, &mut budget) {
                match action {
                    Action::Send(n) | Action::Forward(n, _) => {
                        assert!(
                            active.is_none(),
                            "seed {seed}: sent while attempt {active:?} is active"
                        );
                        active = Some(n);
                    }
                    Action::Reply(Reply::NotRun) => {
                        assert!(
                            active.is_none() && !may_have_run,
                            "seed {seed}: false \"not run\""
                        );
                    }
                    Action::ReleaseClaim => assert!(active.is_none(), "seed {seed}: early release"),
                    _ => {}
                }
                replies += u64::from(matches!(action, Action::Reply(_)));
            }
            may_have_run |= matches!(event, Event::Response(n, _) | Event::ConnectionLost(n) if active == Some(n));
        }
    }
    assert!(replies > 10_000, "{replies} replies");
}

fn event(random: u64, attempt: u32) -> Event {
    match random % 9 {
        0 => Event::Arrived,
        1 => Event::Claimed(ClaimResult::Granted),
        2 => Event::Picked(Some(Destination::Local)),
        3 => Event::Picked(Some(Destination::Peer((random >> 16) as usize % 3))),
        4 => Event::Started(attempt),
        5 => Event::NotRun(attempt),
        6 => Event::Response(attempt, 200),
        7 => Event::ConnectionLost(attempt),
        _ if (random >> 24).is_multiple_of(4) => Event::Cancelled,
        _ => Event::Tick,
    }
}
