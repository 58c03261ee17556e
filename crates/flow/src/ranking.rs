//! Ranking of agents: the candidates for a new flow, and the likely owners of an unknown one.

use std::net::SocketAddrV4;

use monsoon_model::hash::{self, mix};
use monsoon_model::{DataCentreId, Instant};

use crate::balancer::TargetView;
use crate::key::address_bits;

/// Limit of candidates in one attempt to place a flow.
pub(crate) const MAX_HOPS: usize = 4;
/// Weight of each slot of a target whose speed is usual or unknown. It leaves room for the weights
/// of slow targets with few slots, because announcements hold integers.
pub const WEIGHT_PER_SLOT: u16 = 16;
/// Salt that makes this ranking independent of other rendezvous rankings.
const RANKING_SALT: u64 = hash::bytes(b"flow-candidates");
/// Load, in percent of the slots, from which a target in the own data centre is no longer
/// preferred.
pub(crate) const LOCAL_LOAD_LIMIT: u16 = 150;

/// Candidates for a new flow, best first.
///
/// Suspected agents are last, after cold ones. Targets in the own data centre with a load below the
/// limit come before others, because a packet between data centres costs the platform more. Within
/// each group, weighted rendezvous hashing spreads the flows by capacity.
pub(crate) fn rank_candidates<'a>(
    now: Instant,
    key: u64,
    data_centre: DataCentreId,
    targets: impl IntoIterator<Item = (&'a SocketAddrV4, &'a TargetView)>,
) -> Vec<SocketAddrV4> {
    let mut ranked: Vec<_> = targets
        .into_iter()
        .map(|(&at, target)| {
            let is_local = target.data_centre == data_centre && target.load < LOCAL_LOAD_LIMIT;
            let group = (target.is_suspected(now), target.is_cold, !is_local);
            (group, score(key, at, weight_of(target)), at)
        })
        .collect();
    ranked.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
    ranked.into_iter().map(|(_, _, at)| at).collect()
}

/// Agents that may own a flow, most likely ones first. This is the order of the candidates when the
/// flow opened, unless their states or loads mattered then or their weights have changed.
pub(crate) fn rank_owners<'a>(
    key: u64,
    data_centre: DataCentreId,
    agents: impl IntoIterator<Item = (SocketAddrV4, Option<&'a TargetView>)>,
) -> Vec<SocketAddrV4> {
    let mut ranked: Vec<_> = agents
        .into_iter()
        .map(|(at, target)| {
            let is_remote = target.is_none_or(|target| target.data_centre != data_centre);
            let weight = target.map_or(WEIGHT_PER_SLOT.into(), weight_of);
            (is_remote, score(key, at, weight), at)
        })
        .collect();
    ranked.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
    ranked.into_iter().map(|(_, _, at)| at).collect()
}

/// Weight of a target; that of one slot if its agent does not know it.
fn weight_of(target: &TargetView) -> u32 {
    match target.weight {
        0 => WEIGHT_PER_SLOT.into(),
        weight => weight,
    }
}

/// Score of weighted rendezvous hashing; the lowest score is the best.
fn score(key: u64, at: SocketAddrV4, weight: u32) -> f64 {
    let draw = mix(RANKING_SALT ^ key, address_bits(at));
    let uniform = (draw >> 11) as f64 / (1_u64 << 53) as f64;
    -(uniform.max(f64::MIN_POSITIVE)).ln() / f64::from(weight.max(1))
}

#[cfg(test)]
mod tests;
