//! Experiment: three targets turn cold without warning while the others are busy.
//!
//! Shows how many requests start at cold targets, how many of these overrun a target, and what this
//! costs in goodput and latency.

use std::fmt::Write as _;

use monsoon_model::Instant;

use crate::cluster::{Cluster, ColdEpisode, POLICIES, Setup};

/// Offered load as a share of the capacity. With three cold targets it fills the others.
const LOAD: f64 = 0.6;

/// Runs all policies and returns the table.
pub fn run(seed: u64) -> String {
    let mut text = String::from(
        "| policy | starts at cold targets | overruns before evidence | after | goodput of offered % | hold p50 / p99 ms | upload p50 / p99 ms | refused % | unknown % |\n|---|---|---|---|---|---|---|---|---|\n",
    );
    for policy in POLICIES {
        let mut setup = Setup::new(seed, policy, LOAD);
        setup.cold_episodes = vec![episode(4, 80), episode(5, 82), episode(6, 84)];
        let results = Cluster::run(setup.clone());
        let (refused, unknown) = results.loss_percents();
        writeln!(
            text,
            "| {policy:?} | {} | {} | {} | {:.1} {}| {refused:.2} | {unknown:.2} |",
            results.cold_starts,
            results.early_overruns,
            results.late_overruns,
            100.0 * results.goodput(&setup) / LOAD,
            results.latency_cells(&setup),
        )
        .expect("writing to a string");
    }
    text
}

/// Period of 30 s, from second `from` of the run, in which one of the fast targets is cold.
fn episode(node: usize, from: u64) -> ColdEpisode {
    ColdEpisode {
        node,
        starts_at: Instant::from_secs(from),
        ends_at: Instant::from_secs(from + 30),
    }
}
