//! The commands `dc`, `status` and `histogram`, and usage errors, run as processes against a
//! stand-in for the store.

mod common;

use std::fmt::Write;

use common::fake_store::{FakeStore, Fault};
use common::{VALID_DOCUMENT, run_ctl, run_in_trial, store_with_document, write_file};
use insta::assert_snapshot;
use monsoon_metrics::{Histograms, Outcome};
use monsoon_model::Duration;

const EVACUATIONS: &str = "env/trial/data-centres";

/// Guards against the evacuation of an unknown data centre, and of the last one in service without
/// `--force`.
#[test]
fn data_centres_are_evacuated_and_restored() {
    let store = store_with_document();
    let mut log = String::new();
    for args in [
        ["out", "praha", ""],
        ["out", "brno-a", ""],
        ["out", "brno-a", ""],
        ["out", "brno-b", ""],
        ["out", "olomouc", ""],
        ["out", "olomouc", "--force"],
        ["in", "brno-b", ""],
        ["in", "brno-b", ""],
        ["in", "praha", ""],
    ] {
        let args: Vec<_> = args.into_iter().filter(|arg| !arg.is_empty()).collect();
        let output = run_in_trial(&store, &[&["dc"], args.as_slice()].concat());
        writeln!(log, "$ dc {}\n{output}", args.join(" ")).expect("a string takes every write");
    }
    assert_snapshot!(log);
    assert_eq!(
        store.text(EVACUATIONS).as_deref(),
        Some("out = [\"brno-a\", \"olomouc\"]\n")
    );
}

/// Guards against two operators who each evacuate one of the last two data centres, and against a
/// stored set that cannot be read and cannot be replaced either.
#[test]
fn concurrent_and_unreadable_evacuations_are_reported() {
    let store = store_with_document();
    store.set(EVACUATIONS, "out = [\"brno-a\"]");
    store.inject(Fault::WriteBefore(
        "out = [\"brno-a\", \"brno-b\"]".to_owned(),
    ));
    assert_snapshot!(run_in_trial(&store, &["dc", "out", "olomouc"]));
    store.set(EVACUATIONS, "gone = [");
    assert_snapshot!(run_in_trial(&store, &["dc", "in", "brno-a"]));
    assert_snapshot!(run_in_trial(&store, &["dc", "out", "--force", "brno-a"]));
}

/// Guards against a status that hides a process with an old version, or a data centre without a
/// readable report.
#[test]
fn status_shows_outdated_processes() {
    let store = FakeStore::start();
    assert_snapshot!(run_in_trial(&store, &["status"]));
    store.set("env/trial/document", VALID_DOCUMENT);
    store.set(EVACUATIONS, "out = [\"brno-b\"]");
    let process = |id, document, places| {
        serde_json::json!({"id": id, "role": "agent", "address": "192.0.2.9:4500",
            "document": document, "places": places, "state": "ready"})
    };
    let list = [
        process("a1", 1, 2),
        process("a2", 0, 2),
        process("a3", 0, 1),
    ];
    let report = serde_json::json!({"fence": 7, "processes": list});
    store.set("env/trial/status/brno-a", &report.to_string());
    store.set("env/trial/status/brno-b", "{\"fence\": 1}");
    assert_snapshot!(run_in_trial(&store, &["status"]));
    assert_snapshot!(run_in_trial(&store, &["--json", "status"]));
    store.set("env/trial/document", "tenant = 1");
    assert_snapshot!(run_in_trial(&store, &["status"]));
}

/// Guards against averaged percentiles in place of merged histograms, and against dropped rows.
#[test]
fn histograms_of_processes_are_merged() {
    let stores = [FakeStore::start(), FakeStore::start()];
    for (index, store) in stores.iter().enumerate() {
        let mut histograms = Histograms::default();
        for step in 1..=100 {
            let latency = Duration::from_millis(step * (1 + 9 * index as u64));
            histograms.record_latency("karavanex", "hold", latency);
            histograms.count_outcome("karavanex", "hold", Outcome::Answered);
        }
        histograms.count_outcome("karavanex", "upload", Outcome::Refused);
        let rows = serde_json::to_string(&histograms.snapshot()).expect("rows are JSON");
        store.state.lock().expect("state is usable").histograms = rows;
    }
    let [first, second] = stores.map(|store| store.address.to_string());
    assert_snapshot!(run_ctl(&["histogram", "--at", &first, &second]));
    assert_snapshot!(run_ctl(&[
        "--json",
        "histogram",
        "--at",
        &first,
        "--at",
        &second
    ]));
    let other = FakeStore::start().address.to_string();
    assert_snapshot!(run_ctl(&["histogram", "--at", &other]));
}

/// Guards against usage errors that look like failures of the store, or do not say what to do.
#[test]
fn usage_errors_name_a_remedy() {
    let file = write_file("usage.toml", VALID_DOCUMENT);
    let cases: [&[&str]; 8] = [
        &["--help"],
        &["dc", "out", "--help"],
        &[],
        &["apply"],
        &["--env", "trial", "apply", &file],
        &["--store", "127.0.0.1:1", "status"],
        &["--store", "127.0.0.1:1", "--env", "a/b", "status"],
        &["--json", "check", "missing.toml"],
    ];
    for args in cases {
        assert_snapshot!(run_ctl(args));
    }
}
