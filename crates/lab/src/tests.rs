//! Randomised tests of the claims, and results of the experiments for one seed.

use std::fmt::Write as _;

use monsoon_model::{Duration, Instant};

use crate::claim_simulation::{ClaimSimulation, Faults, Totals};
use crate::claims::ALL_FAULTS;
use crate::cluster::{Cluster, ColdEpisode, Policy, Results, Setup};

fn run_claims(seed: u64, faults: Faults, members: u64, age: Duration) -> Totals {
    let mut simulation = ClaimSimulation::new(seed, faults, members, age);
    simulation.run();
    simulation.totals
}

/// Guards against a second run of a key when members crash, leave and join, views differ, and
/// messages are lost, duplicated or late. The simulation asserts this at each attempt. The totals
/// show that the runs are not empty.
#[test]
fn keys_run_at_most_once() {
    let mut lines = String::new();
    for (seed, members) in (1..=12).zip([3, 5, 7].into_iter().cycle()) {
        let totals = run_claims(seed, ALL_FAULTS, members, Duration::from_secs(500));
        writeln!(lines, "seed {seed} members {members}: {totals:?}").expect("writing to a string");
    }
    insta::assert_snapshot!(lines);
}

/// Guards against a second run of a key while a service starts and all members joined recently.
#[test]
fn keys_run_at_most_once_during_startup() {
    for seed in 20..26 {
        let totals = run_claims(seed, ALL_FAULTS, 5, Duration::ZERO);
        assert!(totals.runs > 300, "seed {seed}: {totals:?}");
    }
}

/// Guards against requests that are not run without need: without faults each key runs once.
#[test]
fn keys_run_exactly_once_without_faults() {
    for (seed, members) in [(1, 1), (2, 2), (3, 3), (4, 7)] {
        let totals = run_claims(seed, Faults::default(), members, Duration::from_secs(500));
        assert_eq!(totals.runs, 4_000, "{members} members: {totals:?}");
        assert_eq!(totals.not_run, 0, "{members} members: {totals:?}");
    }
}

fn short_setup(policy: Policy, load: f64) -> Setup {
    Setup {
        measured_from: Instant::from_secs(15),
        end: Instant::from_secs(25),
        ..Setup::new(1, policy, load)
    }
}

fn result_line(setup: &Setup, results: &Results) -> String {
    let (refused, unknown) = results.loss_percents();
    let (utilisation, latencies) = (
        results.utilisation_cell(setup),
        results.latency_cells(setup),
    );
    format!("{utilisation} {latencies}| {refused:.2} | {unknown:.2}\n")
}

/// Guards against uneven load on targets of unequal speed. The product has a lower 99th percentile
/// of the latency than random choice and than two choices by announced load. The snapshot shows the
/// utilisations.
#[test]
fn unequal_speeds_are_balanced_better_than_by_the_baselines() {
    let mut lines = String::new();
    let mut p99 = Vec::new();
    for policy in [Policy::Ours, Policy::Random, Policy::TwoChoices] {
        let setup = short_setup(policy, 0.7);
        let results = Cluster::run(setup.clone());
        p99.push(results.latency.snapshot()[0].p99);
        lines += &result_line(&setup, &results);
    }
    assert!(p99[0] < p99[1] && p99[0] < p99[2], "p99 {p99:?}");
    insta::assert_snapshot!(lines);
}

/// Guards against overruns of cold targets while all others are full. Once a health report has
/// shown that a target is cold, it must not be overrun.
#[test]
fn cold_targets_are_not_overrun_when_the_rest_is_full() {
    let mut setup = short_setup(Policy::Ours, 1.0);
    let episode = |node| ColdEpisode {
        node,
        starts_at: Instant::from_millis(16_000 + node as u64 * 300),
        ends_at: Instant::from_secs(30),
    };
    setup.cold_episodes = [0, 3, 5, 6].map(episode).to_vec();
    let results = Cluster::run(setup.clone());
    assert_eq!(
        results.late_overruns, 0,
        "overruns after a report that the target is cold"
    );
    assert!(
        results.cold_starts > 10,
        "the cold targets got no work at all"
    );
    assert!(
        results.longest_queue <= 32,
        "queue of {}",
        results.longest_queue
    );
    insta::assert_snapshot!(result_line(&setup, &results));
}

/// Guards against a collapse of the goodput under overload, and against retries of more than 10 %
/// of the requests.
#[test]
fn goodput_does_not_collapse_under_overload() {
    let goodput = |load: f64| {
        let setup = short_setup(Policy::Ours, load);
        let results = Cluster::run(setup.clone());
        assert!(
            results.retry_ratio <= 0.1,
            "retries {}",
            results.retry_ratio
        );
        results.goodput(&setup)
    };
    let at_capacity = goodput(1.0);
    for load in [2.0, 5.0] {
        let share = goodput(load) / at_capacity;
        assert!(share >= 0.9, "load {load}: {share:.3}");
    }
}
