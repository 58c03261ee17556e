//! Votes and questions of one watcher.

use monsoon_model::{AgentId, Instant};

use super::{FailureDetector, VoteOutcome};

const MEMBER: AgentId = AgentId(1);
const VOTER: AgentId = AgentId(2);

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

/// Guards against a vote that still counts although its voter was told of later news.
#[test]
fn an_answered_vote_is_void() {
    let mut detector = FailureDetector::default();
    detector.watch(at(0), MEMBER, 0);
    detector.record_announcement(at(100), MEMBER, 0);
    let outcome = detector.count_vote(at(2_000), VOTER, MEMBER, 0);
    assert!(
        matches!(outcome, VoteOutcome::Refuted(..)),
        "the watcher heard the member later"
    );
    detector.tick(at(2_100));
    assert!(
        detector
            .take_dead(at(2_300), (true, true), |_| 2)
            .is_empty(),
        "the void vote was counted"
    );
    detector.count_vote(at(2_300), VOTER, MEMBER, 0);
    assert_eq!(
        detector.take_dead(at(2_300), (true, true), |_| 2),
        [MEMBER],
        "a new vote counts"
    );
}

/// Guards against a watcher that takes a member for dead which never knew of it.
#[test]
fn a_member_never_heard_is_asked_first() {
    let mut detector = FailureDetector::default();
    detector.watch(at(0), MEMBER, 0);
    let due = detector.tick(at(2_100));
    assert_eq!(
        (due.probes.len(), due.votes.len()),
        (1, 0),
        "the member is asked"
    );
    assert!(
        detector
            .take_dead(at(5_000), (true, true), |_| 1)
            .is_empty(),
        "declared dead without evidence"
    );
    detector.record_silence(MEMBER);
    assert_eq!(
        detector.tick(at(5_000)).votes.len(),
        1,
        "no answer is a suspicion"
    );
}
