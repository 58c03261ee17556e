//! Spread and disruption of tables.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::{Rng, address, candidate};
use monsoon_model::{Hop, Instant, ServiceId, hash};
use monsoon_routing::{BUCKETS, Candidate, PacketKind, Route, Router, Table};

/// One key in every bucket.
fn keys() -> impl Iterator<Item = u64> {
    (0..BUCKETS as u64).map(|bucket| bucket << (64 - BUCKETS.ilog2()))
}

/// Agents of the first candidates, per bucket.
fn firsts(table: &Table) -> Vec<u64> {
    let last_byte = |hop: Hop| u64::from(hop.agent.ip().octets()[3]);
    let first = |key| table.chain(key).hop(0).map_or(0, last_byte);
    keys().map(first).collect()
}

fn share(firsts: &[u64], id: u64) -> f64 {
    firsts.iter().filter(|first| **first == id).count() as f64 / firsts.len() as f64
}

/// Guards against targets that get more or fewer flows than their weight.
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
    // The second candidates take over from the first ones in the same proportion.
    let second = |key| table.chain(key).hop(1).map(|hop| hop.agent);
    let taken = keys().zip(&firsts).filter(|(_, first)| **first == 7);
    let (nine, all) = taken.fold((0, 0), |(nine, all), (key, _)| {
        (nine + u32::from(second(key) == Some(address(6))), all + 1)
    });
    let found = f64::from(nine) / f64::from(all);
    assert!((found - 9.0 / 36.0).abs() < 0.02, "{found}");
}

/// Guards against a change that moves flows between targets it doesn't concern, and against an
/// incremental table that differs from one built at once.
#[test]
fn changes_move_only_the_share_of_the_changed_targets() {
    let mut rng = Rng(11);
    let (now, later, service) = (Instant::from_secs(1), Instant::from_secs(11), ServiceId(1));
    let mut router = Router::new();
    let mut set: BTreeMap<u64, Candidate> = BTreeMap::new();
    let mut before = vec![0; BUCKETS];
    for round in 0..150 {
        let id = 1 + rng.below(25);
        let old = set.remove(&id).map_or(0, |entry| entry.weight);
        let weight = rng.below(3).min(1) as u32 * (1 + rng.below(9) as u32);
        set.insert(id, candidate(id, weight));
        router.update(now, service, set.values().copied());
        let table = Table::new(set.values().copied());
        let after = firsts(&table);
        for (bucket, (was, is)) in before.iter().zip(&after).enumerate() {
            let allowed = was == is || weight < old && *was == id || weight > old && *is == id;
            assert!(
                allowed,
                "round {round}, bucket {bucket}: {was} to {is} by {id}"
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

/// Guards against flows sent to another region while the own one has ready targets.
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

/// Guards against a changed ranking, which would disagree with instances of an earlier release.
#[test]
fn ranking_is_stable() {
    let table = Table::new((1..=12).map(|id| candidate(id, 1 + id as u32 % 4)));
    let firsts = firsts(&table);
    let digest = firsts.iter().fold(0, |digest, id| hash::mix(digest, *id));
    insta::assert_snapshot!(format!("{:?} {digest:016x}", &firsts[..24]));
}
