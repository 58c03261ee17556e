//! Clusters in the proportion of the design size, with loads that change.

use monsoon_membership::State;
use monsoon_membership::simulation::{Condition, Network, Node, Traffic};
use monsoon_model::Duration;
use monsoon_model::hash::mix;

/// Agents for a number of balancers, 529 to 86.
pub fn agents_for(balancers: usize) -> usize {
    (balancers * 529 + 43) / 86
}

/// Adds a data centre with about ten agents for each service.
pub fn add_place(net: &mut Network, place: u8, balancers: usize) {
    for _ in 0..balancers {
        net.add_balancer(place);
    }
    let agents = agents_for(balancers);
    let services = (agents / 10).max(1);
    for n in 0..agents {
        let service = usize::from(place) * 100 + n % services;
        net.add_agent(place, service as u16);
    }
}

/// A cluster after its start.
pub fn settled(seed: u64, places: u8, balancers: usize) -> Network {
    let mut net = Network::new(seed);
    for place in 1..=places {
        add_place(&mut net, place, balancers);
    }
    let taken = run_until(&mut net, 60, converged);
    assert!(taken.is_some(), "the cluster converges within 60 s");
    run(&mut net, 15);
    net
}

/// Whether all balancers know all running nodes and agents all balancers.
pub fn converged(net: &Network) -> bool {
    let agents = net.agents().count();
    let balancers = net.balancers(None).count();
    let complete = net
        .balancers(None)
        .all(|(_, node)| node.agents().count() == agents && node.balancers().len() == balancers);
    complete && agents_know(net)
}

fn agents_know(net: &Network) -> bool {
    let mut near = [0_usize; 256];
    for (_, node) in net.balancers(None) {
        near[usize::from(node.member().group.0)] += 1;
    }
    net.agents()
        .all(|(_, node)| node.balancers(net.now).len() == near[usize::from(node.member().group.0)])
}

/// Runs for some seconds; each second a tenth of the agents changes its load.
pub fn run(net: &mut Network, seconds: u64) {
    for _ in 0..seconds {
        change_loads(net);
        net.run(Duration::from_secs(1));
    }
}

/// Runs until `done`, checked every 100 ms, for at most `limit` seconds. Returns the seconds taken.
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

/// Forgets the costs so far.
pub fn reset(net: &mut Network) {
    for host in &mut net.hosts {
        host.traffic = Traffic::default();
    }
}
