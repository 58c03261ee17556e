//! Experiment: goodput at 1, 2 and 5 times the capacity.

use std::fmt::Write as _;

use crate::cluster::{Cluster, POLICIES, Setup};

/// Offered loads as shares of the summed capacity.
const LOADS: [f64; 3] = [1.0, 2.0, 5.0];

/// Runs all policies at all loads and returns the table.
pub fn run(seed: u64) -> String {
    let mut text = String::from(
        "| policy | load | goodput of capacity | of goodput at load 1 | hold : upload | longest queue | retries % | hold p50 / p99 ms | upload p50 / p99 ms | unknown % |\n|---|---|---|---|---|---|---|---|---|---|\n",
    );
    for policy in POLICIES {
        let mut at_capacity = 0.0;
        for load in LOADS {
            let setup = Setup::new(seed, policy, load);
            let results = Cluster::run(setup.clone());
            let goodput = results.goodput(&setup);
            if load <= 1.0 {
                at_capacity = goodput;
            }
            writeln!(
                text,
                "| {policy:?} | {load} | {goodput:.3} | {:.3} | {:.2} | {} | {:.1} {}| {:.2} |",
                goodput / at_capacity,
                results.responses[0] as f64 / results.responses[1].max(1) as f64,
                results.longest_queue,
                100.0 * results.retry_ratio,
                results.latency_cells(&setup),
                results.loss_percents().1,
            )
            .expect("writing to a string");
        }
    }
    text
}
