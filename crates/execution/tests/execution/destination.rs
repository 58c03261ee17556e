//! Choice of the destination, and the retry budget.

use monsoon_admission::{Load, TargetState};
use monsoon_execution::{Destination, PeerLoad, RetryBudget, pick_destination};

fn load(busy: u32, state: TargetState) -> Load {
    let limit = if state == TargetState::Cold {
        400
    } else {
        4_000
    };
    Load {
        busy,
        queued: 0,
        limit,
        state,
        leaving: state == TargetState::Leaving,
    }
}

fn peer(busy: u32, state: TargetState) -> PeerLoad {
    PeerLoad {
        load: load(busy, state),
        sent: 0,
    }
}

/// Guards against a hop that gains nothing, and against requests for a leaving or full cold target.
#[test]
fn peer_is_chosen_only_when_clearly_better() {
    use TargetState::{Cold, Leaving, Ready};
    let idle = [peer(0, Ready), peer(1, Ready)];
    let busy = [peer(4, Ready), peer(3, Ready)];
    let unusable = [peer(0, Leaving), peer(1, Cold)];
    for random in 0..100 {
        assert_eq!(
            pick_destination(load(2, Ready), &idle, false, random),
            Destination::Local
        );
        assert_eq!(
            pick_destination(load(4, Ready), &unusable, false, random),
            Destination::Local
        );
        assert_eq!(
            pick_destination(load(0, Cold), &idle, false, random),
            Destination::Local
        );
        assert_eq!(
            pick_destination(load(4, Ready), &busy[..1], false, random),
            Destination::Local
        );
        for from in [load(4, Ready), load(1, Cold), load(0, Leaving)] {
            assert_ne!(
                pick_destination(from, &idle, false, random),
                Destination::Local
            );
        }
        assert_ne!(
            pick_destination(load(0, Ready), &busy, true, random),
            Destination::Local
        );
        assert_eq!(
            pick_destination(load(4, Ready), &[], true, random),
            Destination::Local
        );
    }
}

/// Load pattern: a cold target whose agent owns no flow, beside warm ones with free slots. Guards
/// against a target that stays cold because nobody sends it requests, and against more requests than
/// a small share before it has answered.
#[test]
fn an_idle_cold_peer_gets_a_share_of_the_requests() {
    use TargetState::{Cold, Leaving, Ready};
    let share = |local: Load, peers: &[PeerLoad]| {
        let sent =
            |random: &u64| pick_destination(local, peers, false, *random) != Destination::Local;
        (0..16_000).filter(sent).count()
    };
    let warmed = share(load(1, Ready), &[peer(0, Cold), peer(1, Ready)]);
    assert!((800..=1_200).contains(&warmed), "{warmed}");
    let sent_before = PeerLoad {
        sent: 1,
        ..peer(0, Cold)
    };
    for peers in [
        [sent_before],
        [peer(1, Cold)],
        [peer(0, Leaving)],
        [peer(0, Ready)],
    ] {
        assert_eq!(share(load(1, Ready), &peers), 0, "{peers:?}");
    }
    assert_eq!(share(load(0, Cold), &[peer(0, Cold)]), 0);
}

/// Guards against a burst of requests to one peer between two reports: the requests that this agent
/// sent count as busy slots.
#[test]
fn own_sends_count_before_the_next_report() {
    let mut peers = [peer(0, TargetState::Ready), peer(1, TargetState::Ready)];
    peers[0].sent = 4;
    for random in 0..100 {
        let destination = pick_destination(load(4, TargetState::Ready), &peers, false, random);
        assert_eq!(destination, Destination::Peer(1));
    }
}

/// Guards against retries that multiply the load: they stay within 10 % of the requests, from the
/// start and after a time without retries.
#[test]
fn retries_stay_within_the_budget() {
    let mut budget = RetryBudget::default();
    for request in 1..=10_000_u64 {
        budget.deposit();
        while (request / 1_000).is_multiple_of(2) && budget.withdraw() {}
        assert!(budget.retries() * 10 <= request);
    }
    assert!(budget.retries() > 500);
}
