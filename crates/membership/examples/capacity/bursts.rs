//! Traffic and duration of bursts of changes.

use monsoon_membership::simulation::{Condition, Network, Node};
use monsoon_model::hash::mix;
use monsoon_model::{Duration, Instant};

use crate::cluster::{add_data_centre, converged, reset, run_until, settled};

const HEADER: &str = "| burst | size | settled after s | balancer peak B/s | mean of peaks | \
    agent peak B/s | mean of peaks | wrong deaths |\n|---|---|---|---|---|---|---|---|";

/// Largest number of bytes of each node in one second.
#[derive(Default)]
struct TrafficPeaks {
    peak_bytes: Vec<u64>,
}

impl TrafficPeaks {
    fn record_second(&mut self, net: &mut Network) {
        self.peak_bytes.resize(net.hosts.len(), 0);
        for (most, host) in self.peak_bytes.iter_mut().zip(&net.hosts) {
            *most = (*most).max(host.traffic.bytes);
        }
        reset(net);
    }

    fn text(&self, net: &Network) -> String {
        let of = |wanted: fn(&Node) -> bool| {
            let hosts = net
                .hosts
                .iter()
                .zip(&self.peak_bytes)
                .filter(|(host, _)| wanted(&host.node));
            let peaks = hosts.map(|(_, most)| *most).collect::<Vec<_>>();
            let mean = peaks.iter().sum::<u64>() / peaks.len().max(1) as u64;
            format!("{} | {mean}", peaks.iter().max().unwrap_or(&0))
        };
        let balancers = of(|node| matches!(node, Node::Balancer(_)));
        let agents = of(|node| matches!(node, Node::Agent(_)));
        format!("{balancers} | {agents}")
    }
}

/// Runs all bursts except the long partition.
pub fn run(seed: u64) {
    println!("\n{HEADER}");
    let parts: [fn(u64) -> String; 5] = [restarts, racks, lost_data_centre, start, both_speakers];
    let parts = parts.map(|part| std::thread::spawn(move || part(seed)));
    for part in parts {
        println!("{}", part.join().expect("a burst ends"));
    }
}

/// Runs until the tables agree and records the peaks. Returns the seconds taken.
fn settle(net: &mut Network, limit: u64, peaks: &mut TrafficPeaks) -> String {
    let start = net.now;
    let mut taken = None;
    for _ in 0..limit {
        let now = run_until(net, 1, converged);
        peaks.record_second(net);
        if let Some(rest) = now {
            taken = Some(net.now.since(start).as_secs_f64());
            debug_assert!(rest <= 1.0, "a step takes at most one second");
            break;
        }
    }
    taken.map_or_else(|| format!("over {limit}"), |taken| format!("{taken:.1}"))
}

fn row(
    name: &str,
    size: &str,
    taken: &str,
    peaks: &TrafficPeaks,
    net: &Network,
    from: usize,
) -> String {
    format!(
        "| {name} | {size} | {taken} | {} | {} |",
        peaks.text(net),
        wrong_deaths(net, from)
    )
}

/// Number of running members that were declared dead.
fn wrong_deaths(net: &Network, from: usize) -> usize {
    let running = |id| {
        let hosts = net.hosts.iter().filter(|host| host.member.id == id);
        hosts
            .filter(|host| host.condition == Condition::Running)
            .count()
            > 0
    };
    let ids = net.deaths[from..].iter().map(|death| death.id);
    let ids = ids
        .filter(|&id| running(id))
        .collect::<std::collections::BTreeSet<_>>();
    ids.len()
}

fn restart(net: &mut Network, node: usize) {
    let member = net.hosts[node].member;
    net.crash(node);
    match net.hosts[node].node {
        Node::Balancer(_) => net.add_balancer(member.group.0),
        Node::Agent(_) => net.add_agent(member.group.0, member.service.0),
    };
}

/// A tenth of the members restarts within a minute.
fn restarts(seed: u64) -> String {
    let mut net = settled(seed, 1, 86);
    let (from, count, mut peaks) = (net.deaths.len(), net.hosts.len(), TrafficPeaks::default());
    reset(&mut net);
    for second in 0..60 {
        let chosen = |node: &usize| mix(seed, *node as u64 + 1_000).is_multiple_of(10);
        let due = |node: &usize| mix(seed, *node as u64) % 60 == second;
        for node in (0..count).filter(|node| chosen(node) && due(node)) {
            restart(&mut net, node);
        }
        net.run(Duration::from_secs(1));
        peaks.record_second(&mut net);
    }
    let taken = settle(&mut net, 60, &mut peaks);
    row(
        "10 % restart within a minute",
        "86 + 529",
        &taken,
        &peaks,
        &net,
        from,
    )
}

/// Three balancers and 17 agents crash at once, 30 times, each time others.
fn racks(seed: u64) -> String {
    let mut net = settled(seed, 1, 86);
    let (from, mut peaks) = (net.deaths.len(), TrafficPeaks::default());
    let mut times = Vec::new();
    for round in 0..30 {
        let lost = rack(&net, mix(seed, round));
        reset(&mut net);
        for &node in &lost {
            net.crash(node);
        }
        times.push(run_until(&mut net, 30, converged).unwrap_or(30.0));
        peaks.record_second(&mut net);
        for node in lost {
            restart(&mut net, node);
        }
        let back = run_until(&mut net, 30, converged);
        assert!(back.is_some(), "the replacements are not known after 30 s");
        net.run(Duration::from_secs(15));
    }
    times.sort_by(f64::total_cmp);
    let taken = format!("p50 {:.1}, max {:.1}", times[15], times[29]);
    row(
        "rack of 20 lost, 30 times (peaks: whole time)",
        "86 + 529",
        &taken,
        &peaks,
        &net,
        from,
    )
}

/// Indices of three running balancers and 17 running agents.
fn rack(net: &Network, seed: u64) -> Vec<usize> {
    let mut balancers = net
        .balancers(None)
        .map(|(node, _)| node)
        .collect::<Vec<_>>();
    let mut agents = net.agents().map(|(node, _)| node).collect::<Vec<_>>();
    balancers.sort_by_key(|&node| mix(seed, node as u64));
    agents.sort_by_key(|&node| mix(seed, node as u64));
    balancers
        .into_iter()
        .take(3)
        .chain(agents.into_iter().take(17))
        .collect()
}

/// All members of one of three data centres crash at once.
fn lost_data_centre(seed: u64) -> String {
    let mut net = settled(seed, 3, 40);
    let (from, mut peaks) = (net.deaths.len(), TrafficPeaks::default());
    reset(&mut net);
    for node in 0..net.hosts.len() {
        if net.hosts[node].member.group.0 == 3 {
            net.crash(node);
        }
    }
    let start = net.now;
    let taken = run_until(&mut net, 30, converged);
    peaks.record_second(&mut net);
    let taken = taken.map_or_else(|| "over 30".to_owned(), |taken| format!("{taken:.1}"));
    record_rest(&mut net, start, &mut peaks);
    row(
        "one of three data centres lost",
        "3 x (40 + 246)",
        &taken,
        &peaks,
        &net,
        from,
    )
}

fn record_rest(net: &mut Network, start: Instant, peaks: &mut TrafficPeaks) {
    while net.now.since(start) < Duration::from_secs(30) {
        net.run(Duration::from_secs(1));
        peaks.record_second(net);
    }
}

/// Both speakers of a data centre crash at once; the other data centres must keep it in their
/// tables.
fn both_speakers(seed: u64) -> String {
    let mut net = settled(seed, 3, 20);
    let (from, mut peaks) = (net.deaths.len(), TrafficPeaks::default());
    let speakers = net.balancers(Some(1)).filter(|(_, node)| node.is_speaker());
    for node in speakers.map(|(node, _)| node).collect::<Vec<_>>() {
        net.crash(node);
    }
    reset(&mut net);
    let start = net.now;
    let mut hidden_steps = 0;
    while net.now.since(start) < Duration::from_secs(10) {
        net.run(Duration::from_millis(100));
        let lists = |data_centre: u8, other: u8| {
            net.balancers(Some(data_centre))
                .all(|(_, node)| node.balancers().iter().any(|m| m.group.0 == other))
        };
        hidden_steps += usize::from(!(lists(2, 1) && lists(1, 2) && lists(3, 1) && lists(1, 3)));
    }
    peaks.record_second(&mut net);
    let taken = format!("{:.1} hidden", hidden_steps as f64 / 10.0);
    row(
        "both speakers lost (peaks: 10 s)",
        "3 x (20 + 123)",
        &taken,
        &peaks,
        &net,
        from,
    )
}

/// All members of a data centre start at once beside a running data centre.
fn start(seed: u64) -> String {
    let mut net = settled(seed, 1, 86);
    let (from, mut peaks) = (net.deaths.len(), TrafficPeaks::default());
    reset(&mut net);
    add_data_centre(&mut net, 2, 86);
    let taken = settle(&mut net, 60, &mut peaks);
    row(
        "data centre starts from nothing",
        "2 x (86 + 529)",
        &taken,
        &peaks,
        &net,
        from,
    )
}

/// One of three data centres is partitioned while members restart on both sides, and returns.
pub fn partition(seed: u64, seconds: u64) {
    println!("\n{HEADER}");
    let mut net = settled(seed, 3, 20);
    let (from, mut peaks) = (net.deaths.len(), TrafficPeaks::default());
    reset(&mut net);
    net.links.partition(1, 3, true);
    net.links.partition(2, 3, true);
    let start = net.now;
    let mut count = 0_u64;
    while net.now.since(start) < Duration::from_secs(seconds) {
        net.run(Duration::from_secs(1));
        peaks.record_second(&mut net);
        // 41 restarts an hour, the design rate of all data centres.
        if net.now.since(start).as_millis() / 87_800 > count {
            count += 1;
            let running = net.hosts.iter().enumerate();
            let running = running.filter(|(_, host)| host.condition == Condition::Running);
            let running = running.map(|(node, _)| node).collect::<Vec<_>>();
            let node = running[mix(seed, count) as usize % running.len()];
            restart(&mut net, node);
        }
    }
    let name = format!("one of three data centres cut off for {seconds} s, {count} restarts");
    let size = "3 x (20 + 123)";
    println!("{}", row(&name, size, "-", &peaks, &net, from));
    let mut peaks = TrafficPeaks::default();
    net.links.partitions.clear();
    let taken = settle(&mut net, 60, &mut peaks);
    println!("{}", row("healed", size, &taken, &peaks, &net, from));
}
