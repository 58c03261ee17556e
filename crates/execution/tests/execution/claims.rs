//! A key runs at most once, whatever happens to members and messages.

use std::fmt::Write as _;

use monsoon_execution::claim::{
    Answer, ClaimId, ClaimResult, ClaimRound, Claims, KeyHash, Member, RECENT, RoundAction, Verdict,
};
use monsoon_model::{AgentId, Duration, Instant};

use crate::world::{Faults, Totals, World};

const OLD: Duration = Duration::from_secs(500);

fn totals(seed: u64, faults: Faults, count: u64, age: Duration) -> Totals {
    let mut world = World::new(seed, faults, count, age);
    world.run();
    world.totals
}

/// Guards against a second run when members crash, leave and join, views differ and messages are
/// lost, repeated or late. The world asserts it on each run; the totals show that the runs are not
/// empty.
#[test]
fn keys_run_at_most_once() {
    let faults = Faults {
        loss: 50,
        repeat: 100,
        late: 20,
        change: 40,
        suspicion: 2,
        refused: 100,
    };
    let mut lines = String::new();
    for (seed, count) in (1..=12).zip([3, 5, 7].into_iter().cycle()) {
        let sum = totals(seed, faults, count, OLD);
        writeln!(lines, "seed {seed} members {count}: {sum:?}").expect("writing to a string");
    }
    insta::assert_snapshot!(lines);
}

/// Guards against a second run while a service starts and all its members joined recently.
#[test]
fn keys_run_at_most_once_during_a_start() {
    let faults = Faults {
        loss: 50,
        repeat: 100,
        late: 20,
        change: 60,
        suspicion: 5,
        refused: 100,
    };
    for seed in 20..26 {
        let sum = totals(seed, faults, 5, Duration::ZERO);
        assert!(sum.runs > 500, "seed {seed}: {sum:?}");
    }
}

/// Guards against refusing what may run: without faults each key runs exactly once.
#[test]
fn keys_run_exactly_once_without_faults() {
    for (seed, count) in [(1, 1), (2, 2), (3, 3), (4, 7)] {
        let sum = totals(seed, Faults::default(), count, OLD);
        assert_eq!(sum.runs, 4_000, "{count} members: {sum:?}");
        assert_eq!(sum.not_run, 0, "{count} members: {sum:?}");
    }
}

fn claim(serial: u64) -> ClaimId {
    ClaimId {
        agent: AgentId(9),
        serial,
    }
}

/// Guards against unbounded memory, and against evicting a live claim: at the bound a new claim is
/// refused as not run, and an expired one makes room.
#[test]
fn full_table_refuses_new_claims() {
    let mut claims = Claims::with_bound(Instant::ZERO, 2);
    let now = Instant::ZERO + RECENT;
    for serial in 0..2 {
        let answer = claims.claim(now, KeyHash(u128::from(serial)), claim(serial));
        assert_eq!(
            answer,
            Answer {
                verdict: Verdict::Recorded,
                recent: false
            }
        );
    }
    assert_eq!(
        claims.claim(now, KeyHash(7), claim(7)).verdict,
        Verdict::Full
    );
    assert_eq!(
        claims.claim(now, KeyHash(0), claim(8)).verdict,
        Verdict::Known(None)
    );
    let later = now + Duration::from_secs(120);
    assert_eq!(
        claims.claim(later, KeyHash(7), claim(7)).verdict,
        Verdict::Recorded
    );
    assert_eq!(claims.len(), 1);

    let members = [1, 2, 3].map(|id| Member {
        id: AgentId(id),
        departed: false,
    });
    let mut round = ClaimRound::new(KeyHash(7), claim(9), members);
    let mut actions = round.start(now);
    for verdict in [Verdict::Full, Verdict::Recorded] {
        let Some(RoundAction::Ask(member)) = actions.first().copied() else {
            panic!("no member is asked: {actions:?}");
        };
        actions = round.answer(
            now,
            member,
            Answer {
                verdict,
                recent: false,
            },
        );
    }
    assert_eq!(round.result(), Some(ClaimResult::NotRun));
}

/// Guards against the loss of a stored status: a caller that sends again gets it.
#[test]
fn stored_status_is_replayed() {
    let mut claims = Claims::new(Instant::ZERO);
    claims.claim(Instant::ZERO, KeyHash(1), claim(1));
    claims.store(KeyHash(1), claim(2), 500);
    claims.store(KeyHash(1), claim(1), 201);
    let answer = claims.claim(Instant::ZERO, KeyHash(1), claim(3));
    assert_eq!(answer.verdict, Verdict::Known(Some(201)));
}
