//! Tests of the votes and probes of one watcher.

use monsoon_model::{AgentId, Instant};

use super::{FailureDetector, VoteOutcome};

const MEMBER: AgentId = AgentId(1);
const VOTER: AgentId = AgentId(2);

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

/// A vote must not count when the watcher refuted it with a more recent announcement.
#[test]
fn a_refuted_vote_does_not_count() {
    let mut detector = FailureDetector::default();
    detector.watch(at(0), MEMBER, 0);
    detector.record_announcement(at(100), MEMBER, 0);
    let outcome = detector.count_vote(at(2_000), VOTER, MEMBER, 0);
    assert!(
        matches!(outcome, VoteOutcome::Refuted(..)),
        "a vote older than the last announcement was not refuted"
    );
    detector.tick(at(2_100));
    assert!(
        detector
            .take_dead(at(2_300), (true, true), |_| 2)
            .is_empty(),
        "the refuted vote was counted"
    );
    detector.count_vote(at(2_300), VOTER, MEMBER, 0);
    assert_eq!(
        detector.take_dead(at(2_300), (true, true), |_| 2),
        [MEMBER],
        "a new vote was not counted"
    );
}

/// A member that does not know a new watcher never announces itself there, and must not be declared
/// dead for it without a probe.
#[test]
fn a_member_that_never_announced_itself_is_probed_first() {
    let mut detector = FailureDetector::default();
    detector.watch(at(0), MEMBER, 0);
    let due = detector.tick(at(2_100));
    assert_eq!(
        (due.to_probe.len(), due.to_vote.len()),
        (1, 0),
        "the member was not probed first"
    );
    assert!(
        detector
            .take_dead(at(5_000), (true, true), |_| 1)
            .is_empty(),
        "declared dead without an unanswered probe"
    );
    detector.record_silence(MEMBER);
    assert_eq!(
        detector.tick(at(5_000)).to_vote.len(),
        1,
        "an unanswered probe raised no suspicion"
    );
}
