//! Clusters and conditions that several tests use.

use monsoon_membership::simulation::Network;
use monsoon_model::{AgentId, Duration};

/// Longest time in which a crashed member may stay in any table.
pub const BOUND: Duration = Duration::from_secs(3);

/// A settled cluster with the same number of members in each data centre.
pub fn cluster(seed: u64, places: u8, balancers: usize, agents: usize) -> Network {
    let mut net = Network::new(seed);
    for place in 1..=places {
        for _ in 0..balancers {
            net.add_balancer(place);
        }
        for n in 0..agents {
            net.add_agent(place, 1 + (n % 4) as u16);
        }
    }
    let settled = net.run_until(Duration::from_secs(20), converged);
    assert!(settled.is_some(), "a new cluster converges");
    net.run(Duration::from_secs(3));
    net
}

/// Whether every running node knows exactly the running nodes.
pub fn converged(net: &Network) -> bool {
    let agents = net.agents().count();
    let balancers = net.balancers(None).count();
    let near = |place: u8| net.balancers(Some(place)).count();
    net.balancers(None)
        .all(|(_, node)| node.agents().count() == agents && node.balancers().len() == balancers)
        && net.agents().all(|(_, node)| {
            let known = node.balancers(net.now).len();
            let live = node
                .service_members(net.now)
                .iter()
                .filter(|m| m.state.is_some())
                .count();
            let service = node.member().service;
            let fellows = net
                .agents()
                .filter(|(_, other)| other.member().service == service)
                .count();
            known == near(node.member().group.0) && live == fellows
        })
}

/// Whether no running node lists `id` as live.
pub fn absent(net: &Network, id: AgentId) -> bool {
    net.balancers(None).all(|(_, node)| {
        node.agents().all(|m| m.id != id) && node.balancers().iter().all(|m| m.id != id)
    }) && net.agents().all(|(_, node)| {
        let live = |m: &monsoon_membership::ServiceMember| m.state.is_some() && m.id == id;
        node.balancers(net.now).iter().all(|m| m.id != id)
            && !node.service_members(net.now).iter().any(live)
    })
}

/// Identity of a node.
pub fn id(net: &Network, node: usize) -> AgentId {
    net.hosts[node].member.id
}
