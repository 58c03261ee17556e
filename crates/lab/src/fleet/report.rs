//! Broken flows over planned changes and over a balancer's crash.

use std::fmt::Write as _;

use monsoon_model::Duration;

use super::plan::{Faults, START};
use super::{Fleet, Policy, Setup, Totals};

/// Document of the measurements.
pub const DIRECTORATE: &str = include_str!("../../../../examples/directorate.toml");

pub const NONE: Faults = Faults {
    balancers: 0,
    crashes: 0,
    agents: 0,
    agent_crashes: 0,
    reuse: 0,
    reuse_after: 15,
    freezes: 0,
    documents: 0,
    races: 0,
    places: 0,
    cuts: 0,
    outages: 0,
    slow: 0,
    store_loss: 0,
    loss: 0,
    repeat: 0,
    late: 0,
    lost_answers: 0,
};

/// Changes of each row.
const ROWS: [(&str, Faults); 6] = [
    ("none", NONE),
    (
        "a balancer joins or leaves every 5 s",
        Faults {
            balancers: 5,
            ..NONE
        },
    ),
    (
        "a target joins or drains every 5 s",
        Faults { agents: 5, ..NONE },
    ),
    (
        "the document changes every 5 s",
        Faults {
            documents: 5,
            ..NONE
        },
    ),
    (
        "all three, each every 5 s",
        Faults {
            balancers: 5,
            agents: 5,
            documents: 5,
            ..NONE
        },
    ),
    (
        "a balancer crashes every 10 s",
        Faults {
            crashes: 10,
            ..NONE
        },
    ),
];

/// Fleet of three data centres with 11 agents of two services.
pub fn setup(seed: u64, policy: Policy, balancers: u8, seconds: u64) -> Setup {
    let services = [1, 1, 1, 1, 1, 1, 1, 2, 2, 2, 2];
    let places = [1, 2, 3].into_iter().cycle();
    Setup {
        seed,
        policy,
        document: DIRECTORATE.to_owned(),
        balancers,
        agents: places.zip(services).collect(),
        rate: 30,
        work: Duration::ZERO,
        end: START + Duration::from_secs(seconds),
    }
}

/// Document whose data centres are membership groups of their own.
pub fn separate() -> String {
    DIRECTORATE.replace("group = 1\n", "")
}

/// Cuts of one or both directions between two data centres, of 0.5 to 10.5 s.
const CUTS: Faults = Faults { cuts: 15, ..NONE };

fn measure(seed: u64, policy: Policy, document: String, faults: &Faults) -> Totals {
    let setup = Setup {
        document,
        ..setup(seed, policy, 5, 90)
    };
    let mut fleet = Fleet::new(setup).with_faults(faults);
    fleet.run();
    fleet.totals
}

/// Runs all rows and returns a table.
pub fn run(seed: u64) -> String {
    let mut text = String::from(
        "| changes | policy | flows tried | opened | broken | broken of opened % | handshakes of two agents |\n|---|---|---|---|---|---|---|\n",
    );
    for (name, faults) in ROWS {
        for policy in [Policy::Ours, Policy::HashOnly, Policy::Random] {
            let sum = measure(seed, policy, DIRECTORATE.to_owned(), &faults);
            let broken = sum.broken + sum.lost;
            writeln!(
                text,
                "| {name} | {policy:?} | {} | {} | {broken} | {:.2} | {} |",
                sum.flows,
                sum.opened,
                100.0 * broken as f64 / sum.opened.max(1) as f64,
                sum.split,
            )
            .expect("writing to a string");
        }
    }
    text += "\n| a link is cut every 15 s | flows tried | opened | broken | never opened |\n|---|---|---|---|---|\n";
    let documents = [
        ("one membership group", DIRECTORATE.to_owned()),
        ("a group for each data centre", separate()),
    ];
    for (name, document) in documents {
        let sum = measure(seed, Policy::Ours, document, &CUTS);
        let broken = sum.broken + sum.lost;
        writeln!(
            text,
            "| {name} | {} | {} | {broken} | {} |",
            sum.flows, sum.opened, sum.not_opened
        )
        .expect("writing to a string");
    }
    text
}
