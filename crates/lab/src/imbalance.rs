//! Experiment: how evenly the load spreads over targets of unequal speed, at 70 % of their summed
//! capacity.

use std::fmt::Write as _;

use crate::cluster::{Cluster, POLICIES, Setup};

/// Offered load as a share of the summed capacity.
const LOAD: f64 = 0.7;

/// Runs all policies and returns the table.
pub fn run(seed: u64) -> String {
    let mut text = String::from(
        "| policy | use: least mean most most/mean | hold p50 / p99 ms | upload p50 / p99 ms | refused % | unknown % | passed on % |\n|---|---|---|---|---|---|---|\n",
    );
    for policy in POLICIES {
        let setup = Setup::new(seed, policy, LOAD);
        let results = Cluster::run(setup.clone());
        let (refused, unknown) = results.loss_percents();
        let passed = 100.0 * results.forwards as f64 / results.requests as f64;
        writeln!(
            text,
            "| {policy:?} | {} {}| {refused:.2} | {unknown:.2} | {passed:.1} |",
            results.utilisation_cell(&setup),
            results.latency_cells(&setup),
        )
        .expect("writing to a string");
    }
    text
}
