//! Experiment: broken flows during planned changes, crashes of balancers and cuts of links.

use std::fmt::Write as _;

use monsoon_model::Duration;

use super::plan::{Faults, START};
use super::{Fleet, Policy, Setup, Totals};

/// Document of the experiments.
pub const DIRECTORATE: &str = include_str!("../../../../examples/directorate.toml");

/// No changes and no faults; addresses may be reused after 15 s.
pub const NO_FAULTS: Faults = Faults {
    balancer_changes: 0,
    balancer_crashes: 0,
    agent_changes: 0,
    agent_crashes: 0,
    address_reuses: 0,
    reuse_delay: 15,
    suspensions: 0,
    document_changes: 0,
    operator_races: 0,
    evacuation_changes: 0,
    link_cuts: 0,
    store_outages: 0,
    store_slowdowns: 0,
    store_losses: 0,
    loss_permille: 0,
    duplicate_permille: 0,
    late_permille: 0,
    lost_answer_permille: 0,
};

/// Title and changes of each row.
const ROWS: [(&str, Faults); 6] = [
    ("none", NO_FAULTS),
    (
        "a balancer joins or leaves every 5 s",
        Faults {
            balancer_changes: 5,
            ..NO_FAULTS
        },
    ),
    (
        "a target joins or drains every 5 s",
        Faults {
            agent_changes: 5,
            ..NO_FAULTS
        },
    ),
    (
        "the document changes every 5 s",
        Faults {
            document_changes: 5,
            ..NO_FAULTS
        },
    ),
    (
        "all three, each every 5 s",
        Faults {
            balancer_changes: 5,
            agent_changes: 5,
            document_changes: 5,
            ..NO_FAULTS
        },
    ),
    (
        "a balancer crashes every 10 s",
        Faults {
            balancer_crashes: 10,
            ..NO_FAULTS
        },
    ),
];

/// Fleet with `balancers` balancers in each of three data centres, and 11 agents of two services.
pub fn setup(seed: u64, policy: Policy, balancers: u8, seconds: u64) -> Setup {
    let services = [1, 1, 1, 1, 1, 1, 1, 2, 2, 2, 2];
    let data_centres = [1, 2, 3].into_iter().cycle();
    Setup {
        seed,
        policy,
        document: DIRECTORATE.to_owned(),
        balancers,
        agents: data_centres.zip(services).collect(),
        flow_rate: 30,
        request_time: Duration::ZERO,
        end: START + Duration::from_secs(seconds),
    }
}

/// Document in which each data centre is a membership group of its own.
pub fn separate_groups() -> String {
    DIRECTORATE.replace("group = 1\n", "")
}

/// Cuts of one or both directions between two data centres, each for 0.5 to 10 s.
const LINK_CUTS: Faults = Faults {
    link_cuts: 15,
    ..NO_FAULTS
};

fn simulate(seed: u64, policy: Policy, document: String, faults: &Faults) -> Totals {
    let setup = Setup {
        document,
        ..setup(seed, policy, 5, 90)
    };
    let mut fleet = Fleet::new(setup).with_faults(faults);
    fleet.run();
    fleet.totals
}

/// Runs all rows and returns the tables.
pub fn run(seed: u64) -> String {
    let mut text = String::from(
        "| changes | policy | flows tried | opened | broken | broken of opened % | handshakes of two agents |\n|---|---|---|---|---|---|---|\n",
    );
    for (name, faults) in ROWS {
        for policy in [Policy::Ours, Policy::HashOnly, Policy::Random] {
            let totals = simulate(seed, policy, DIRECTORATE.to_owned(), &faults);
            let broken = totals.broken + totals.lost;
            writeln!(
                text,
                "| {name} | {policy:?} | {} | {} | {broken} | {:.2} | {} |",
                totals.flows,
                totals.opened,
                100.0 * broken as f64 / totals.opened.max(1) as f64,
                totals.split_handshakes,
            )
            .expect("writing to a string");
        }
    }
    text += "\n| a link is cut every 15 s | flows tried | opened | broken | never opened |\n|---|---|---|---|---|\n";
    let documents = [
        ("one membership group", DIRECTORATE.to_owned()),
        ("a group for each data centre", separate_groups()),
    ];
    for (name, document) in documents {
        let totals = simulate(seed, Policy::Ours, document, &LINK_CUTS);
        let broken = totals.broken + totals.lost;
        writeln!(
            text,
            "| {name} | {} | {} | {broken} | {} |",
            totals.flows, totals.opened, totals.not_opened
        )
        .expect("writing to a string");
    }
    text
}
