//! Measures failure detection on the simulated network: the time until a crash is known, and how
//! often live members are suspected or declared dead.
//!
//! `cargo run --release -p monsoon-membership --example detection -- SEED [quick]`

use monsoon_membership::Rule;
use monsoon_membership::simulation::{Condition, Loss, Network};
use monsoon_model::{AgentId, Duration, Instant};

/// Rule of failure detection with its name in the table.
struct Method {
    name: &'static str,
    rule: Rule,
}

const METHODS: [Method; 5] = [
    method("one watcher, direct", 1, 1, false),
    method("first word of three", 3, 1, false),
    method("first word of three, member asked", 3, 1, true),
    method("two of three votes", 3, 2, false),
    method("two of three votes, member asked", 3, 2, true),
];

const fn method(name: &'static str, watchers: usize, quorum: usize, probe_first: bool) -> Method {
    Method {
        name,
        rule: Rule {
            watchers,
            quorum,
            probe_first,
        },
    }
}

const LOSSES: [(&str, Loss); 8] = [
    ("none", Loss::Independent(0.0)),
    ("1 % independent", Loss::Independent(0.01)),
    ("5 % independent", Loss::Independent(0.05)),
    ("1 % bursts of 0.5 s per pair", Loss::PairBursts(0.01, 0.5)),
    ("5 % bursts of 0.5 s per pair", Loss::PairBursts(0.05, 0.5)),
    ("1 % bursts of 2 s per pair", Loss::PairBursts(0.01, 2.0)),
    ("5 % bursts of 2 s per pair", Loss::PairBursts(0.05, 2.0)),
    (
        "1 % bursts of 0.5 s per sender",
        Loss::SenderBursts(0.01, 0.5),
    ),
];

/// Size of a run.
#[derive(Clone, Copy)]
struct Size {
    balancers: usize,
    agents: usize,
    quiet_seconds: u64,
    crashes: usize,
}

const FULL: Size = Size {
    balancers: 20,
    agents: 100,
    quiet_seconds: 1_800,
    crashes: 200,
};
const QUICK: Size = Size {
    balancers: 10,
    agents: 20,
    quiet_seconds: 120,
    crashes: 10,
};

fn main() {
    let mut arguments = std::env::args().skip(1);
    let seed = arguments
        .next()
        .and_then(|text| text.parse().ok())
        .unwrap_or(1);
    let size = if arguments.next().is_some() {
        QUICK
    } else {
        FULL
    };
    println!(
        "{} balancers, {} agents, one data centre, seed {seed}",
        size.balancers, size.agents
    );
    println!(
        "quiet part {} s, then {} crashes",
        size.quiet_seconds, size.crashes
    );
    println!();
    println!(
        "| loss | method | first p50 s | p99 s | max s | everywhere p50 s | p99 s | max s | \
         over 3 s | suspicions / member-hour | false deaths / member-hour | B/s per balancer |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|");
    // Each run has its own network and generator, so its result does not depend on the other
    // threads.
    for (loss_name, loss) in LOSSES {
        let runs = METHODS.map(|method| {
            (
                method.name,
                std::thread::spawn(move || measure(seed, size, loss, method.rule)),
            )
        });
        for (name, run) in runs {
            let row = run.join().expect("a measurement ends");
            println!("| {loss_name} | {name} | {row} |");
        }
    }
}

fn measure(seed: u64, size: Size, loss: Loss, rule: Rule) -> String {
    let mut net = Network::new(seed);
    net.rule = rule;
    for _ in 0..size.balancers {
        net.add_balancer(1);
    }
    for n in 0..size.agents {
        net.add_agent(1, 1 + (n / 10) as u16);
    }
    net.run(Duration::from_secs(30));
    net.links.loss = loss;
    net.run(Duration::from_secs(10));
    let quiet = measure_quiet(&mut net, size);
    let times = measure_crashes(&mut net, size, seed);
    format!("{times} | {quiet}")
}

/// Rates of false suspicions and false deaths while no member fails.
fn measure_quiet(net: &mut Network, size: Size) -> String {
    let total = |net: &Network| -> u64 { net.balancers(None).map(|(_, n)| n.suspicions()).sum() };
    let before = total(net);
    let deaths = net.deaths.len();
    for host in &mut net.hosts {
        host.traffic = monsoon_membership::simulation::Traffic::default();
    }
    net.run(Duration::from_secs(size.quiet_seconds));
    let hours = (size.balancers + size.agents) as f64 * size.quiet_seconds as f64 / 3_600.0;
    let suspicions = (total(net) - before) as f64 / hours;
    let deaths = count_deaths(net, deaths) as f64 / hours;
    let traffic = net
        .balancers(None)
        .map(|(node, _)| net.hosts[node].traffic.bytes);
    let bytes = traffic.sum::<u64>() / (size.balancers as u64 * size.quiet_seconds);
    format!("{suspicions:.4} | {deaths:.4} | {bytes}")
}

/// Number of deaths, without notices of the same death: those follow within two seconds of another.
fn count_deaths(net: &Network, from: usize) -> usize {
    let mut last = std::collections::BTreeMap::<AgentId, Instant>::new();
    let mut count = 0;
    for death in &net.deaths[from..] {
        let before = last.insert(death.id, death.at);
        let fresh = before.is_none_or(|at| death.at.since(at) > Duration::from_secs(2));
        count += usize::from(fresh);
    }
    count
}

/// Times from a crash until the first balancer declares the member dead and until no balancer lists
/// it.
fn measure_crashes(net: &mut Network, size: Size, seed: u64) -> String {
    let mut first = Vec::new();
    let mut all = Vec::new();
    for n in 0..size.crashes {
        let wait = monsoon_model::hash::mix(seed, n as u64) % 500_000;
        net.run(Duration::from_micros(1_000_000 + wait));
        let node = net
            .agents()
            .map(|(node, _)| node)
            .next()
            .expect("an agent runs");
        let service = net.hosts[node].member.service.0;
        let id = net.hosts[node].member.id;
        let start = net.now;
        let known = net.deaths.len();
        net.crash(node);
        let listed = |net: &Network| {
            net.balancers(None)
                .any(|(_, b)| b.agents().any(|m| m.id == id))
        };
        let taken = net.run_until(Duration::from_secs(30), |net| !listed(net));
        all.push(taken.unwrap_or(Duration::from_secs(30)));
        let death = net.deaths[known..].iter().find(|death| death.id == id);
        first.extend(death.map(|death| death.at.since(start)));
        debug_assert_eq!(
            net.hosts[node].condition,
            Condition::Ended,
            "the crashed agent runs"
        );
        net.add_agent(1, service);
    }
    let late = all
        .iter()
        .filter(|&&time| time > Duration::from_secs(3))
        .count();
    format!("{} | {} | {late}", percentiles(first), percentiles(all))
}

fn percentiles(mut times: Vec<Duration>) -> String {
    times.sort_unstable();
    let at = |share: f64| times[((times.len() - 1) as f64 * share).round() as usize].as_secs_f64();
    format!("{:.2} | {:.2} | {:.2}", at(0.5), at(0.99), at(1.0))
}
