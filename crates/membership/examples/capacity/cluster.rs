//! Clusters with the design's proportion of agents to balancers, and with changing loads.

use monsoon_membership::State;
use monsoon_membership::simulation::{Condition, Network, Node, Traffic};
use monsoon_model::Duration;
use monsoon_model::hash::mix;

/// Agents for a number of balancers, 529 to 86.
pub fn agents_for(balancers: usize) -> usize {
    (balancers * 529 + 43) / 86
}

/// Adds a data centre with about ten agents for each service.
pub fn add_data_centre(net: &mut Network, data_centre: u8, balancers: usize) {
    for _ in 0..balancers {
        net.add_balancer(data_centre);
    }
    let agents = agents_for(balancers);
    let services = (agents / 10).max(1);
    for n in 0..agents {
        let service = usize::from(data_centre) * 100 + n % services;
        net.add_agent(data_centre, service as u16);
    }
}

/// Starts a cluster and waits until it is stable.
pub fn settled(seed: u64, data_centres: u8, balancers: usize) -> Network {
    let mut net = Network::new(seed);
    for data_centre in 1..=data_centres {
        add_data_centre(&mut net, data_centre, balancers);
    }
    let taken = run_until(&mut net, 60, converged);
    assert!(taken.is_some(), "the cluster did not converge within 60 s");
    run(&mut net, 15);
    net
}

/// Whether every balancer lists as many nodes as run, and every agent as many balancers of its data
/// centre.
pub fn converged(net: &Network) -> bool {
    let agents = net.agents().count();
    let balancers = net.balancers(None).count();
    let complete = net
        .balancers(None)
        .all(|(_, node)| node.agents().count() == agents && node.balancers().len() == balancers);
    complete && agents_know(net)
}

fn agents_know(net: &Network) -> bool {
    let mut local_balancers = [0_usize; 256];
    for (_, node) in net.balancers(None) {
        local_balancers[usize::from(node.member().group.0)] += 1;
    }
    net.agents().all(|(_, node)| {
        node.balancers(net.now).len() == local_balancers[usize::from(node.member().group.0)]
    })
}

/// Runs for some seconds; each second a tenth of the agents changes its load.
pub fn run(net: &mut Network, seconds: u64) {
    for _ in 0..seconds {
        change_loads(net);
        net.run(Duration::from_secs(1));
    }
}

/// Runs until `done` is true, checked every 100 ms, for at most `limit` seconds. Returns the
/// seconds taken.
pub fn run_until(net: &mut Network, limit: u64, done: impl Fn(&Network) -> bool) -> Option<f64> {
    let start = net.now;
    for step in 0..limit * 10 {
        if done(net) {
            return Some(net.now.since(start).as_secs_f64());
        }
        if step % 10 == 0 {
            change_loads(net);
        }
        net.run(Duration::from_millis(100));
    }
    None
}

fn change_loads(net: &mut Network) {
    let second = net.now.as_micros() / 1_000_000;
    for node in 0..net.hosts.len() {
        let draw = mix(second, node as u64);
        let agent = matches!(net.hosts[node].node, Node::Agent(_));
        let running = net.hosts[node].condition == Condition::Running;
        if agent && running && draw.is_multiple_of(10) {
            net.set_local_state(node, State::Ready, (draw >> 32) as u16 % 120);
        }
    }
}

/// Resets the traffic of all nodes.
pub fn reset(net: &mut Network) {
    for host in &mut net.hosts {
        host.traffic = Traffic::default();
    }
}
