//! Tests of the shares in a table and of the flows that a change moves.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::{Rng, address, candidate};
use monsoon_model::{Hop, Instant, ServiceId, hash};
use monsoon_routing::{BUCKETS, Candidate, PacketKind, Route, Router, Table};

/// One flow key per bucket.
fn keys() -> impl Iterator<Item = u64> {
    (0..BUCKETS as u64).map(|bucket| bucket << (64 - BUCKETS.ilog2()))
}

/// IDs of the first candidates, per bucket.
fn firsts(table: &Table) -> Vec<u64> {
    let last_byte = |hop: Hop| u64::from(hop.agent.ip().octets()[3]);
    let first = |key| table.chain(key).hop(0).map_or(0, last_byte);
    keys().map(first).collect()
}

fn share(firsts: &[u64], id: u64) -> f64 {
    firsts.iter().filter(|first| **first == id).count() as f64 / firsts.len() as f64
}

/// Guards against targets that get more or fewer flows than their share of the weights.
#[test]
fn shares_follow_the_weights() {
    let weights = [1, 4, 4, 9, 9, 9, 36];
    let table = Table::new((1..).zip(weights).map(|(id, weight)| candidate(id, weight)));
    let firsts = firsts(&table);
    let total: u32 = weights.iter().sum();
    for (id, weight) in (1..).zip(weights) {
        let expected = f64::from(weight) / f64::from(total);
        let deviation = (expected * (1.0 - expected) / BUCKETS as f64).sqrt();
        let excess = share(&firsts, id) - expected;
        assert!(
            excess.abs() < 4.0 * deviation,
            "{id}: {excess} over {expected}"
        );
    }
    // The second candidates share the buckets of a first one in proportion to their weights.
    let second = |key| table.chain(key).hop(1).map(|hop| hop.agent);
    let replaced = keys().zip(&firsts).filter(|(_, first)| **first == 7);
    let (matching, all) = replaced.fold((0, 0), |(matching, all), (key, _)| {
        (
            matching + u32::from(second(key) == Some(address(6))),
            all + 1,
        )
    });
    let second_share = f64::from(matching) / f64::from(all);
    assert!((second_share - 9.0 / 36.0).abs() < 0.02, "{second_share}");
}

/// Guards against a change that moves flows between unchanged targets, and against an incrementally
/// updated table that differs from a newly built one.
#[test]
fn changes_move_only_flows_of_changed_targets() {
    let mut rng = Rng(11);
    let (now, later, service) = (Instant::from_secs(1), Instant::from_secs(11), ServiceId(1));
    let mut router = Router::new();
    let mut targets: BTreeMap<u64, Candidate> = BTreeMap::new();
    let mut before = vec![0; BUCKETS];
    for round in 0..150 {
        let id = 1 + rng.below(25);
        let old = targets.remove(&id).map_or(0, |target| target.weight);
        let weight = rng.below(3).min(1) as u32 * (1 + rng.below(9) as u32);
        targets.insert(id, candidate(id, weight));
        router.update(now, service, targets.values().copied());
        let table = Table::new(targets.values().copied());
        let after = firsts(&table);
        for (bucket, (old_id, new_id)) in before.iter().zip(&after).enumerate() {
            let is_allowed =
                old_id == new_id || weight < old && *old_id == id || weight > old && *new_id == id;
            assert!(
                is_allowed,
                "round {round}, bucket {bucket}: {old_id} to {new_id} by {id}"
            );
        }
        for key in keys().step_by(37) {
            let expected = table.chain(key);
            match router.route(later, service, PacketKind::New { key }) {
                Route::New(chain) => assert_eq!(chain, expected),
                _ => assert!(expected.is_empty()),
            }
        }
        before = after;
    }
}

/// Guards against flows routed to another region while the local one has ready targets.
#[test]
fn local_targets_are_preferred() {
    let agents = |local_weight| -> BTreeSet<u64> {
        let mut targets = [1, 2, 3].map(|id| candidate(id, 9));
        (targets[1].local, targets[2].local) = (false, false);
        targets[0].weight = local_weight;
        firsts(&Table::new(targets)).into_iter().collect()
    };
    assert_eq!(agents(1), BTreeSet::from([1]));
    assert_eq!(agents(0), BTreeSet::from([2, 3]));
    assert!(Table::new([]).chain(0).is_empty());
}

/// Guards against a changed ranking, which would differ from that of instances of an earlier
/// release.
#[test]
fn ranking_is_stable() {
    let table = Table::new((1..=12).map(|id| candidate(id, 1 + id as u32 % 4)));
    let firsts = firsts(&table);
    let digest = firsts.iter().fold(0, |digest, id| hash::mix(digest, *id));
    insta::assert_snapshot!(format!("{:?} {digest:016x}", &firsts[..24]));
}
