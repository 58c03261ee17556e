//! Decisions of a process that hears of newer versions from peers.

use monsoon_model::{Instant, Version, Versions};

use super::{Freshness, WATCH_GRACE};
use crate::message::StoreObject;

const START: Instant = Instant::from_secs(100);

fn versions(document: u64, evacuations: u64) -> Versions {
    Versions {
        document: Version::of(document),
        evacuations: Version::of(evacuations),
    }
}

/// Guards against a process that never asks a peer for an evacuation that its own watch has missed.
#[test]
fn a_missed_evacuation_is_late() {
    let mut freshness = Freshness::default();
    let (own, peer) = (versions(3, 7), versions(3, 8));
    assert!(!freshness.is_late(START, own, peer));
    assert!(freshness.is_late(START + WATCH_GRACE, own, peer));
}

/// Guards against a process that waits forever because two peers, each with a newer version of
/// another object, are heard in turn.
#[test]
fn peers_with_different_objects_do_not_delay_each_other() {
    let mut freshness = Freshness::default();
    let own = versions(3, 7);
    freshness.is_late(START, own, versions(4, 7));
    freshness.is_late(START, own, versions(3, 8));
    let later = START + WATCH_GRACE;
    assert!(freshness.is_late(later, own, versions(4, 7)));
    assert!(freshness.is_late(later, own, versions(3, 8)));
}

/// Guards against an urgent fetch of each further version: the watch gets its time for each.
#[test]
fn each_version_has_its_own_grace() {
    let mut freshness = Freshness::default();
    freshness.is_late(START, versions(3, 7), versions(4, 7));
    freshness.set_newer(StoreObject::Catalogue);
    let later = START + WATCH_GRACE;
    assert!(!freshness.is_late(later, versions(4, 7), versions(5, 7)));
}
