//! Order of the candidates for a new flow.

use std::net::SocketAddrV4;

use monsoon_model::hash::{self, mix};
use monsoon_model::{DataCentreId, Instant};

use crate::balancer::TargetView;
use crate::key::word;

/// Most agents that one opening packet is offered to in a row.
pub(crate) const MAX_HOPS: usize = 4;
/// Salt of the ranking, so that it differs from other rankings.
const SALT: u64 = hash::bytes(b"flow-candidates");
/// Load, in percent of the slots, from which a target is no longer preferred for being near.
const NEAR_LOAD: u16 = 150;

/// Candidates in the order in which they are asked.
///
/// Targets with room in the own data centre come first, because a packet between data centres
/// costs the platform more. Within each group the ranking by weighted rendezvous hashing spreads
/// flows by capacity.
pub(crate) fn order<'a>(
    now: Instant,
    key: u64,
    home: DataCentreId,
    targets: impl IntoIterator<Item = (&'a SocketAddrV4, &'a TargetView)>,
) -> Vec<SocketAddrV4> {
    let mut ranked: Vec<_> = targets
        .into_iter()
        .map(|(&at, target)| {
            let near = target.data_centre == home && target.load < NEAR_LOAD;
            let group = (target.is_suspected(now), target.is_cold, !near);
            (group, score(key, at, target.weight), at)
        })
        .collect();
    ranked.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
    ranked.into_iter().map(|(_, _, at)| at).collect()
}

/// Agents that may hold a flow, most likely ones first: in the order in which the flow was offered
/// to them, as far as their loads did not matter then.
pub(crate) fn likely<'a>(
    key: u64,
    home: DataCentreId,
    agents: impl IntoIterator<Item = (SocketAddrV4, Option<&'a TargetView>)>,
) -> Vec<SocketAddrV4> {
    let mut ranked: Vec<_> = agents
        .into_iter()
        .map(|(at, target)| {
            let far = target.is_none_or(|target| target.data_centre != home);
            let weight = target.map_or(1, |target| target.weight);
            (far, score(key, at, weight), at)
        })
        .collect();
    ranked.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
    ranked.into_iter().map(|(_, _, at)| at).collect()
}

/// Score of weighted rendezvous hashing; the smallest wins.
fn score(key: u64, at: SocketAddrV4, weight: u32) -> f64 {
    let draw = mix(SALT ^ key, word(at));
    let uniform = (draw >> 11) as f64 / (1_u64 << 53) as f64;
    -(uniform.max(f64::MIN_POSITIVE)).ln() / f64::from(weight.max(1))
}
