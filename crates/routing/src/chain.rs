//! Chains of previous and current candidates.

use std::net::SocketAddrV4;

use monsoon_model::{Chain, Hop, MAX_HOPS};

use crate::table::Endpoint;

/// Most previous candidates in a chain; the other hops are for the two current ones.
const MAX_PREVIOUS_HOPS: usize = MAX_HOPS - 2;

/// Chain of the oldest previous candidates, which may only take flows they know, and the current
/// ones by rank.
///
/// Starting with the oldest keeps the first hop equal on balancers that have not learned of the
/// latest changes. No agent occurs twice, so that only packets on different chains can bring a
/// flow back to an agent that passed it on:
/// - The first current candidate is not asked as a previous one, since all agents that may know
///   the flow come before it.
/// - A previous candidate that is the second current one is replaced by the next in rank, because
///   it may not take unknown flows before the first one.
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

/// Hop that may take any flow.
pub(crate) fn hop(endpoint: Endpoint) -> Hop {
    Hop {
        agent: endpoint.agent,
        known_only: false,
    }
}

/// Chain of the first [`MAX_HOPS`] hops.
pub(crate) fn collect(hops: impl Iterator<Item = Hop>) -> Chain {
    let mut chain = Chain::default();
    for hop in hops.take(MAX_HOPS) {
        chain
            .push(hop)
            .expect("the chain is empty before the first of MAX_HOPS hops");
    }
    chain
}
