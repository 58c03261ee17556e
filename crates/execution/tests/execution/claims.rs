//! Single rules of the claim table and the round. The random simulation of many members is in the
//! lab crate.

use monsoon_execution::claim::{
    Answer, ClaimId, ClaimResult, ClaimRound, ClaimTable, KeyHash, Member, RECENT_JOIN_WINDOW,
    RoundAction, Verdict,
};
use monsoon_model::{AgentId, Duration, Instant};

fn claim(serial: u64) -> ClaimId {
    ClaimId {
        agent: AgentId(9),
        serial,
    }
}

/// Guards against unbounded memory and against evicting a live claim, which would permit a second
/// run. A full table rejects a new claim, so its request does not run, until a claim expires.
#[test]
fn full_table_evicts_no_live_claim() {
    let mut claims = ClaimTable::with_bound(Instant::ZERO, 2);
    let now = Instant::ZERO + RECENT_JOIN_WINDOW;
    for serial in 0..2 {
        let answer = claims.claim(now, KeyHash(u128::from(serial)), claim(serial));
        assert_eq!(
            answer,
            Answer {
                verdict: Verdict::Recorded,
                joined_recently: false
            }
        );
    }
    assert_eq!(
        claims.claim(now, KeyHash(7), claim(7)).verdict,
        Verdict::Full
    );
    assert_eq!(
        claims.claim(now, KeyHash(0), claim(8)).verdict,
        Verdict::Conflict(None)
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
        let Some(RoundAction::Claim(member)) = actions.first().copied() else {
            panic!("the claim is sent to no member: {actions:?}");
        };
        actions = round.handle_answer(
            now,
            member,
            Answer {
                verdict,
                joined_recently: false,
            },
        );
    }
    assert_eq!(round.result(), Some(ClaimResult::NotRun));
}

/// Guards against the loss of a stored status, which a caller that sends the request again gets.
/// Another round cannot overwrite it.
#[test]
fn stored_status_is_replayed() {
    let mut claims = ClaimTable::new(Instant::ZERO);
    claims.claim(Instant::ZERO, KeyHash(1), claim(1));
    claims.store_status(KeyHash(1), claim(2), 500);
    claims.store_status(KeyHash(1), claim(1), 201);
    let answer = claims.claim(Instant::ZERO, KeyHash(1), claim(3));
    assert_eq!(answer.verdict, Verdict::Conflict(Some(201)));
}
