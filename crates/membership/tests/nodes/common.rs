//! Clusters and conditions shared by the tests.

use monsoon_membership::simulation::Network;
use monsoon_model::{AgentId, Duration};

/// Limit for the time in which a crashed member may stay in any table.
pub const BOUND: Duration = Duration::from_secs(3);

/// Starts a cluster with the same number of members in each data centre and waits until it is
/// stable.
pub fn cluster(seed: u64, data_centres: u8, balancers: usize, agents: usize) -> Network {
    let mut net = Network::new(seed);
    for data_centre in 1..=data_centres {
        for _ in 0..balancers {
            net.add_balancer(data_centre);
        }
        for n in 0..agents {
            net.add_agent(data_centre, 1 + (n % 4) as u16);
        }
    }
    let settled = net.run_until(Duration::from_secs(20), converged);
    assert!(settled.is_some(), "a new cluster did not converge");
    net.run(Duration::from_secs(3));
    net
}

/// Whether every balancer lists as many agents and balancers as run, and every agent as many
/// balancers of its data centre and members of its service as run.
pub fn converged(net: &Network) -> bool {
    let agents = net.agents().count();
    let balancers = net.balancers(None).count();
    let local_balancers = |data_centre: u8| net.balancers(Some(data_centre)).count();
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
            let service_agents = net
                .agents()
                .filter(|(_, other)| other.member().service == service)
                .count();
            known == local_balancers(node.member().group.0) && live == service_agents
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

/// Identity of the member at an index.
pub fn id(net: &Network, node: usize) -> AgentId {
    net.hosts[node].member.id
}
