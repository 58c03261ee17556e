//! Votes and questions of one watcher.

use monsoon_model::{AgentId, Instant};

use super::{Opinion, Watcher};

const MEMBER: AgentId = AgentId(1);
const VOTER: AgentId = AgentId(2);

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

/// Guards against a vote that still counts although its voter was told of later news.
#[test]
fn an_answered_vote_is_void() {
    let mut watcher = Watcher::default();
    watcher.watch(at(0), MEMBER, 0);
    watcher.heard(at(100), MEMBER, 0);
    let opinion = watcher.vote(at(2_000), VOTER, MEMBER, 0);
    assert!(
        matches!(opinion, Opinion::Heard(..)),
        "the watcher heard the member later"
    );
    watcher.tick(at(2_100));
    assert!(
        watcher.dead(at(2_300), (true, true), |_| 2).is_empty(),
        "the void vote was counted"
    );
    watcher.vote(at(2_300), VOTER, MEMBER, 0);
    assert_eq!(
        watcher.dead(at(2_300), (true, true), |_| 2),
        [MEMBER],
        "a new vote counts"
    );
}

/// Guards against a watcher that takes a member for dead which never knew of it.
#[test]
fn a_member_never_heard_is_asked_first() {
    let mut watcher = Watcher::default();
    watcher.watch(at(0), MEMBER, 0);
    let due = watcher.tick(at(2_100));
    assert_eq!(
        (due.ask.len(), due.tell.len()),
        (1, 0),
        "the member is asked"
    );
    assert!(
        watcher.dead(at(5_000), (true, true), |_| 1).is_empty(),
        "declared dead without evidence"
    );
    watcher.unanswered(MEMBER);
    assert_eq!(
        watcher.tick(at(5_000)).tell.len(),
        1,
        "no answer is a suspicion"
    );
}
