//! Estimated load of peers between their reports.

use monsoon_admission::{Load, TargetState};
use monsoon_execution::{ANNOUNCED_LIMIT, PEERS_MAX, PeerTracker, REJECTION_PAUSE};
use monsoon_model::{AgentId, Duration, Instant};

fn load(busy: u32, limit: u32) -> Load {
    Load {
        busy,
        queued: 0,
        limit,
        state: TargetState::Ready,
        leaving: false,
    }
}

/// Guards against sending all requests to one peer: between two announcements an idle peer would
/// look idle however many requests were sent to it.
#[test]
fn sends_count_until_the_next_report() {
    let mut tracker = PeerTracker::default();
    let (peer, announced) = (AgentId(1), load(0, ANNOUNCED_LIMIT));
    let at = Instant::from_millis(1_000);
    for ms in [900, 1_000, 1_100, 1_200] {
        tracker.record_send(Instant::from_millis(ms), peer);
    }
    assert_eq!(tracker.load(peer, announced, at).sent, 50);
    let later = Instant::from_millis(1_150);
    assert_eq!(tracker.load(peer, announced, later).sent, 25);
    let answered = load(3, 4_000);
    tracker.record_load(Instant::from_millis(1_160), peer, answered);
    let known = tracker.load(peer, announced, later);
    assert_eq!((known.load, known.sent), (answered, 1));
    let newest = Instant::from_millis(1_300);
    let known = tracker.load(peer, announced, newest);
    assert_eq!((known.load, known.sent), (announced, 0));
}

/// Guards against a peer that attracts requests because it rejects them at once and so looks idle.
#[test]
fn peer_is_skipped_after_a_rejection() {
    let mut tracker = PeerTracker::default();
    let now = Instant::from_secs(1);
    tracker.record_rejection(now, AgentId(1));
    assert!(tracker.recently_rejected(now, AgentId(1)));
    assert!(!tracker.recently_rejected(now, AgentId(2)));
    let before = now + REJECTION_PAUSE.saturating_sub(Duration::from_micros(1));
    assert!(tracker.recently_rejected(before, AgentId(1)));
    assert!(!tracker.recently_rejected(now + REJECTION_PAUSE, AgentId(1)));
}

/// Guards against memory that grows with every peer that was ever tracked.
#[test]
fn number_of_tracked_peers_is_bounded() {
    let mut tracker = PeerTracker::default();
    for id in 0..=PEERS_MAX as u64 {
        tracker.record_rejection(Instant::from_micros(id), AgentId(id));
    }
    let now = Instant::from_micros(PEERS_MAX as u64);
    assert!(
        !tracker.recently_rejected(now, AgentId(0)),
        "the oldest record was kept"
    );
    assert!(tracker.recently_rejected(now, AgentId(1)));
}
