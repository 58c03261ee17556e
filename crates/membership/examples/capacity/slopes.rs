//! Traffic and processor time of a node in a stable deployment, by its size.

use monsoon_membership::simulation::{Network, Node};

use crate::cluster::{self, agents_for, reset, settled};
use crate::fit::fit_row;

/// Seconds of virtual time in a measurement.
const SPAN_SECONDS: u64 = 30;

/// Traffic and processor time of one kind of node, per second.
#[derive(Clone, Copy, Default)]
struct Cost {
    bytes: f64,
    max_bytes: f64,
    messages: f64,
    cpu_ms: f64,
}

struct Row {
    size: f64,
    entries: usize,
    balancer: Cost,
    agent: Cost,
}

const HEADER: &str = "| balancers | agents | data centres | entries | balancer B/s | largest | \
    messages/s | ms of core per s | agent B/s | largest | messages/s | ms of core per s |\n\
    |---|---|---|---|---|---|---|---|---|---|---|---|";

/// Measures one data centre at several sizes, then several data centres of ten balancers.
pub fn run(seed: u64, sizes: &[usize], data_centres: &[u8]) {
    println!("\nOne data centre:\n\n{HEADER}");
    let rows = sizes
        .iter()
        .map(|&size| (size as f64, measure(seed, 1, size)));
    lines(
        "balancer of the data centre",
        &rows.map(with_size).collect::<Vec<_>>(),
    );
    println!("\nSeveral data centres of 10 balancers:\n\n{HEADER}");
    let rows = data_centres
        .iter()
        .map(|&count| (f64::from(count), measure(seed, count, 10)));
    lines("data centre", &rows.map(with_size).collect::<Vec<_>>());
}

/// Measures data centres of the design size: 86 balancers and 529 agents each.
pub fn full(seed: u64, data_centres: u8) {
    println!("\nDesign size:\n\n{HEADER}");
    let before = resident();
    let row = measure(seed, data_centres, 86);
    let grown = resident().saturating_sub(before);
    println!(
        "
resident memory grew by {} MB for all nodes",
        grown / 1_000_000
    );
    println!("entries in each balancer: {}", row.entries);
}

fn with_size((size, row): (f64, Row)) -> Row {
    Row { size, ..row }
}

fn lines(unit: &str, rows: &[Row]) {
    println!("\n| quantity | base | slope | per | residuals |\n|---|---|---|---|---|");
    let line = |name: &str, value: fn(&Row) -> f64| {
        let points = rows
            .iter()
            .map(|row| (row.size, value(row)))
            .collect::<Vec<_>>();
        println!("{}", fit_row(name, unit, &points));
    };
    line("balancer B/s, mean", |row| row.balancer.bytes);
    line("balancer B/s, largest", |row| row.balancer.max_bytes);
    line("balancer messages/s", |row| row.balancer.messages);
    line("balancer ms of core per s", |row| row.balancer.cpu_ms);
    line("agent B/s, mean", |row| row.agent.bytes);
    line("agent B/s, largest", |row| row.agent.max_bytes);
    line("agent messages/s", |row| row.agent.messages);
    line("agent ms of core per s", |row| row.agent.cpu_ms);
}

fn measure(seed: u64, data_centres: u8, balancers: usize) -> Row {
    let before = resident();
    let mut net = settled(seed, data_centres, balancers);
    reset(&mut net);
    cluster::run(&mut net, SPAN_SECONDS);
    let entries = net
        .balancers(None)
        .next()
        .map_or(0, |(_, node)| node.table_size());
    let balancer = cost(&net, |node| matches!(node, Node::Balancer(_)));
    let agent = cost(&net, |node| matches!(node, Node::Agent(_)));
    let agents = agents_for(balancers) * usize::from(data_centres);
    let count = balancers * usize::from(data_centres);
    println!(
        "| {count} | {agents} | {data_centres} | {entries} | {} | {} |",
        format_cost(&balancer),
        format_cost(&agent)
    );
    let grown = resident().saturating_sub(before) as f64;
    eprintln!(
        "trial: {:.0} bytes resident per balancer and entry",
        grown / (count * entries) as f64
    );
    Row {
        size: 0.0,
        entries,
        balancer,
        agent,
    }
}

fn format_cost(cost: &Cost) -> String {
    let Cost {
        bytes,
        max_bytes,
        messages,
        cpu_ms,
    } = cost;
    format!("{bytes:.0} | {max_bytes:.0} | {messages:.1} | {cpu_ms:.3}")
}

fn cost(net: &Network, wanted: impl Fn(&Node) -> bool) -> Cost {
    let hosts = net
        .hosts
        .iter()
        .filter(|host| wanted(&host.node))
        .collect::<Vec<_>>();
    let per = |sum: f64| sum / hosts.len() as f64 / SPAN_SECONDS as f64;
    let total = |value: fn(&monsoon_membership::simulation::Traffic) -> f64| -> f64 {
        hosts.iter().map(|host| value(&host.traffic)).sum()
    };
    let most = hosts
        .iter()
        .map(|host| host.traffic.bytes)
        .max()
        .unwrap_or(0);
    Cost {
        bytes: per(total(|t| t.bytes as f64)),
        max_bytes: most as f64 / SPAN_SECONDS as f64,
        messages: per(total(|t| t.messages as f64)),
        cpu_ms: per(total(|t| t.cpu_time.as_secs_f64())) * 1_000.0,
    }
}

/// Resident memory of this process, in bytes; zero where the system does not tell.
fn resident() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|word| word.parse::<usize>().ok());
    pages.unwrap_or(0) * 4_096
}
