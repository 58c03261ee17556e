//! Steady cost of a node by size.

use monsoon_membership::simulation::{Network, Node};

use crate::cluster::{self, agents_for, reset, settled};
use crate::fit::describe;

/// Measured seconds of virtual time.
const SPAN: u64 = 30;

/// Cost of one kind of node.
#[derive(Clone, Copy, Default)]
struct Cost {
    bytes: f64,
    most_bytes: f64,
    messages: f64,
    core: f64,
}

struct Row {
    x: f64,
    entries: usize,
    balancer: Cost,
    agent: Cost,
}

const HEADER: &str = "| balancers | agents | data centres | entries | balancer B/s | largest | \
    messages/s | ms of core per s | agent B/s | largest | messages/s | ms of core per s |\n\
    |---|---|---|---|---|---|---|---|---|---|---|---|";

/// One data centre at several sizes, then several data centres of ten balancers.
pub fn run(seed: u64, sizes: &[usize], places: &[u8]) {
    println!("\nOne data centre:\n\n{HEADER}");
    let rows = sizes
        .iter()
        .map(|&size| (size as f64, measure(seed, 1, size)));
    lines(
        "balancer of the data centre",
        &rows.map(with_x).collect::<Vec<_>>(),
    );
    println!("\nSeveral data centres of 10 balancers:\n\n{HEADER}");
    let rows = places
        .iter()
        .map(|&count| (f64::from(count), measure(seed, count, 10)));
    lines("data centre", &rows.map(with_x).collect::<Vec<_>>());
}

/// Data centres of the design size: 86 balancers and 529 agents each.
pub fn full(seed: u64, places: u8) {
    println!("\nDesign size:\n\n{HEADER}");
    let before = resident();
    let row = measure(seed, places, 86);
    let grown = resident().saturating_sub(before);
    println!(
        "
resident memory grew by {} MB for all nodes",
        grown / 1_000_000
    );
    println!("entries in each balancer: {}", row.entries);
}

fn with_x((x, row): (f64, Row)) -> Row {
    Row { x, ..row }
}

fn lines(unit: &str, rows: &[Row]) {
    println!("\n| quantity | base | slope | per | residuals |\n|---|---|---|---|---|");
    let line = |name: &str, value: fn(&Row) -> f64| {
        let points = rows
            .iter()
            .map(|row| (row.x, value(row)))
            .collect::<Vec<_>>();
        println!("{}", describe(name, unit, &points));
    };
    line("balancer B/s, mean", |row| row.balancer.bytes);
    line("balancer B/s, largest", |row| row.balancer.most_bytes);
    line("balancer messages/s", |row| row.balancer.messages);
    line("balancer ms of core per s", |row| row.balancer.core);
    line("agent B/s, mean", |row| row.agent.bytes);
    line("agent B/s, largest", |row| row.agent.most_bytes);
    line("agent messages/s", |row| row.agent.messages);
    line("agent ms of core per s", |row| row.agent.core);
}

fn measure(seed: u64, places: u8, balancers: usize) -> Row {
    let before = resident();
    let mut net = settled(seed, places, balancers);
    reset(&mut net);
    cluster::run(&mut net, SPAN);
    let entries = net
        .balancers(None)
        .next()
        .map_or(0, |(_, node)| node.table_size());
    let balancer = cost(&net, |node| matches!(node, Node::Balancer(_)));
    let agent = cost(&net, |node| matches!(node, Node::Agent(_)));
    let agents = agents_for(balancers) * usize::from(places);
    let count = balancers * usize::from(places);
    println!(
        "| {count} | {agents} | {places} | {entries} | {} | {} |",
        text(&balancer),
        text(&agent)
    );
    let grown = resident().saturating_sub(before) as f64;
    eprintln!(
        "trial: {:.0} bytes resident per balancer and entry",
        grown / (count * entries) as f64
    );
    Row {
        x: 0.0,
        entries,
        balancer,
        agent,
    }
}

fn text(cost: &Cost) -> String {
    let Cost {
        bytes,
        most_bytes,
        messages,
        core,
    } = cost;
    format!("{bytes:.0} | {most_bytes:.0} | {messages:.1} | {core:.3}")
}

fn cost(net: &Network, wanted: impl Fn(&Node) -> bool) -> Cost {
    let slots = net
        .slots
        .iter()
        .filter(|slot| wanted(&slot.node))
        .collect::<Vec<_>>();
    let per = |sum: f64| sum / slots.len() as f64 / SPAN as f64;
    let total = |value: fn(&monsoon_membership::simulation::Traffic) -> f64| -> f64 {
        slots.iter().map(|slot| value(&slot.traffic)).sum()
    };
    let most = slots
        .iter()
        .map(|slot| slot.traffic.bytes)
        .max()
        .unwrap_or(0);
    Cost {
        bytes: per(total(|t| t.bytes as f64)),
        most_bytes: most as f64 / SPAN as f64,
        messages: per(total(|t| t.messages as f64)),
        core: per(total(|t| t.processor.as_secs_f64())) * 1_000.0,
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
