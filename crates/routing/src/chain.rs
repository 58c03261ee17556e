//! Chains of previous and current candidates for a new flow.

use std::net::SocketAddrV4;

use monsoon_model::{Chain, Hop, MAX_HOPS};

use crate::table::Endpoint;

/// Maximum number of previous candidates in a chain, which leaves two hops for current ones.
const MAX_PREVIOUS_HOPS: usize = MAX_HOPS - 2;

/// Builds a chain of previous candidates, oldest first, followed by the current ones by rank.
///
/// Previous candidates accept only flows they know. The oldest comes first so that the first hop is
/// the same on balancers that have not learned of the latest changes. No agent occurs twice, so a
/// flow can return to an agent that passed it on only through packets on different chains:
/// - The first current candidate is left out of the previous ones, because all other agents that
///   may know the flow precede it.
/// - If the second current candidate is also a previous one, the next in rank takes its place,
///   because a previous candidate must not accept unknown flows before the first current one.
pub(crate) fn build(
    previous: impl Iterator<Item = Endpoint>,
    mut current: impl Iterator<Item = Endpoint>,
) -> Chain {
    let first = current.next();
    let mut agents: Vec<SocketAddrV4> = Vec::with_capacity(MAX_PREVIOUS_HOPS);
    for Endpoint { agent, .. } in previous {
        let is_new = first.is_none_or(|first| first.agent != agent) && !agents.contains(&agent);
        if is_new && agents.len() < MAX_PREVIOUS_HOPS {
            agents.push(agent);
        }
    }
    let second = current.find(|endpoint| !agents.contains(&endpoint.agent));
    let previous_hops = agents.into_iter().map(|agent| Hop {
        agent,
        known_only: true,
    });
    collect(previous_hops.chain(first.into_iter().chain(second).map(hop)))
}

/// Returns a hop that may accept any flow.
pub(crate) fn hop(endpoint: Endpoint) -> Hop {
    Hop {
        agent: endpoint.agent,
        known_only: false,
    }
}

/// Collects the first [`MAX_HOPS`] hops into a chain.
pub(crate) fn collect(hops: impl Iterator<Item = Hop>) -> Chain {
    let mut chain = Chain::default();
    for hop in hops.take(MAX_HOPS) {
        chain
            .push(hop)
            .expect("the chain is empty before the first of MAX_HOPS hops");
    }
    chain
}
