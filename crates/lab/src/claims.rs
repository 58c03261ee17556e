//! Experiment: claims of idempotency keys under loss, restarts, crashes and false suspicions.
//!
//! Each run asserts that no key runs twice. The table shows what that costs in requests that do not
//! run or have an unknown outcome.

use std::fmt::Write as _;

use monsoon_model::Duration;

use crate::claim_simulation::{ClaimSimulation, Faults, KEYS};

/// Agents of the service, as many as `prodejna` has.
const MEMBERS: u64 = 7;

/// Age of the members at the start, long enough that the claim tables of all count.
const MEMBER_AGE: Duration = Duration::from_secs(500);

/// All faults together, also used by the randomised tests.
pub const ALL_FAULTS: Faults = Faults {
    loss_permille: 50,
    duplicate_permille: 100,
    late_permille: 20,
    change_secs: 40,
    handover_permille: 500,
    change_size: 1,
    partition_secs: 300,
    suspicion_secs: 2,
    refused_permille: 100,
};

const NO_FAULTS: Faults = Faults {
    loss_permille: 0,
    duplicate_permille: 0,
    late_permille: 0,
    change_secs: 0,
    handover_permille: 0,
    change_size: 0,
    partition_secs: 0,
    suspicion_secs: 0,
    refused_permille: 0,
};

const NETWORK_FAULTS: Faults = Faults {
    loss_permille: 50,
    duplicate_permille: 100,
    late_permille: 20,
    ..NO_FAULTS
};

/// Title and faults of each row.
const ROWS: [(&str, Faults); 9] = [
    ("none", NO_FAULTS),
    (
        "5 % loss, 10 % repeated, 2 % late by up to 200 s",
        NETWORK_FAULTS,
    ),
    (
        "a member crashes every 120 s",
        Faults {
            change_secs: 120,
            ..NO_FAULTS
        },
    ),
    (
        "a member leaves without a hand-over every 60 s",
        Faults {
            change_secs: 60,
            ..NO_FAULTS
        },
    ),
    (
        "a member leaves with its claims handed over every 60 s",
        Faults {
            change_secs: 60,
            handover_permille: 1_000,
            ..NO_FAULTS
        },
    ),
    (
        "a false suspicion of 1 to 31 s in one view every 2 s",
        Faults {
            suspicion_secs: 2,
            ..NO_FAULTS
        },
    ),
    (
        "3 of 7 members crash at once every 300 s",
        Faults {
            change_secs: 300,
            change_size: 3,
            ..NO_FAULTS
        },
    ),
    (
        "a partition into 3 and 4 members for 100 s every 300 s",
        Faults {
            partition_secs: 300,
            ..NO_FAULTS
        },
    ),
    ("all, a member every 40 s", ALL_FAULTS),
];

/// Runs all rows and returns the table.
pub fn run(seed: u64) -> String {
    let mut text = String::from(
        "| faults | sends | keys run % | replayed | unknown % of sends | not run | second runs |\n|---|---|---|---|---|---|---|\n",
    );
    for (name, faults) in ROWS {
        let mut simulation = ClaimSimulation::new(seed, faults, MEMBERS, MEMBER_AGE);
        simulation.run();
        let totals = simulation.totals;
        writeln!(
            text,
            "| {name} | {} | {:.1} | {} | {:.1} | {} | 0 |",
            totals.sends,
            100.0 * totals.runs as f64 / KEYS as f64,
            totals.replays,
            100.0 * totals.unknown as f64 / totals.sends as f64,
            totals.not_run,
        )
        .expect("writing to a string");
    }
    text
}
