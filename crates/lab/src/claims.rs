//! Claims under loss, restarts, crashes and false suspicions. Each run asserts that no key runs
//! twice; the table shows what that costs.

use std::fmt::Write as _;

use monsoon_model::Duration;

use crate::simulation::{Faults, KEYS, Simulation};

/// Members of the service, as in `prodejna`.
const MEMBERS: u64 = 7;

/// Age of the members at the start: they all count.
const AGE: Duration = Duration::from_secs(500);

/// Faults that occur together in the randomised proof.
pub const ALL: Faults = Faults {
    loss: 50,
    repeat: 100,
    late: 20,
    change: 40,
    clean: 500,
    group: 1,
    partition: 300,
    suspicion: 2,
    refused: 100,
};

const NONE: Faults = Faults {
    loss: 0,
    repeat: 0,
    late: 0,
    change: 0,
    clean: 0,
    group: 0,
    partition: 0,
    suspicion: 0,
    refused: 0,
};

const NETWORK: Faults = Faults {
    loss: 50,
    repeat: 100,
    late: 20,
    ..NONE
};

/// Faults of each row.
const ROWS: [(&str, Faults); 9] = [
    ("none", NONE),
    ("5 % loss, 10 % repeated, 2 % late by up to 200 s", NETWORK),
    (
        "a member crashes every 120 s",
        Faults {
            change: 120,
            ..NONE
        },
    ),
    (
        "a member leaves without a hand-over every 60 s",
        Faults { change: 60, ..NONE },
    ),
    (
        "a member leaves with its claims handed over every 60 s",
        Faults {
            change: 60,
            clean: 1_000,
            ..NONE
        },
    ),
    (
        "a false suspicion of 1 to 31 s in one view every 2 s",
        Faults {
            suspicion: 2,
            ..NONE
        },
    ),
    (
        "3 of 7 members crash at once every 300 s",
        Faults {
            change: 300,
            group: 3,
            ..NONE
        },
    ),
    (
        "a partition into 3 and 4 members for 100 s every 300 s",
        Faults {
            partition: 300,
            ..NONE
        },
    ),
    ("all, a member every 40 s", ALL),
];

/// Runs all rows and returns a table.
pub fn run(seed: u64) -> String {
    let mut text = String::from(
        "| faults | sends | keys run % | replayed | unknown % of sends | not run | second runs |\n|---|---|---|---|---|---|---|\n",
    );
    for (name, faults) in ROWS {
        let mut simulation = Simulation::new(seed, faults, MEMBERS, AGE);
        simulation.run();
        let sum = simulation.totals;
        writeln!(
            text,
            "| {name} | {} | {:.1} | {} | {:.1} | {} | 0 |",
            sum.sends,
            100.0 * sum.runs as f64 / KEYS as f64,
            sum.replays,
            100.0 * sum.unknown as f64 / sum.sends as f64,
            sum.not_run,
        )
        .expect("writing to a string");
    }
    text
}
