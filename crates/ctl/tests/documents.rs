//! Process tests of the commands on documents.

mod common;

use common::fake_store::{FakeStore, Fault};
use common::{GOOD, file, run, slots, started, trial};
use insta::assert_snapshot;

const DOCUMENT: &str = "env/trial/document";

/// Guards against a document that is written although it is wrong, unchanged or no successor.
#[test]
fn apply_writes_only_valid_successors() {
    let store = FakeStore::start();
    let good = file("good.toml", GOOD);
    assert_snapshot!(trial(&store, &["diff", &good]));
    assert_snapshot!(trial(&store, &["apply", &good]));
    assert_snapshot!(trial(&store, &["apply", &good]));
    let changed = file("changed.toml", &slots(6));
    assert_snapshot!(trial(&store, &["diff", &changed]));
    assert_snapshot!(trial(&store, &["apply", &changed]));
    let reused = file("reused.toml", &GOOD.replace("\"dilna\"", "\"sklad\""));
    assert_snapshot!(trial(&store, &["apply", &reused]));
    let faulty = file("faulty.toml", &GOOD.replace("slots = 4", "slots = 0"));
    assert_snapshot!(trial(&store, &["apply", &faulty]));
    assert_eq!(store.text(DOCUMENT), Some(slots(6)));
    assert_eq!(store.writes(), 2);
}

/// Guards against a promotion that skips the checks of the receiving environment.
#[test]
fn promote_checks_the_receiving_environment() {
    let store = started();
    let address = store.address.to_string();
    let promote = |from| run(&["--store", &address, "promote", from, "production"]);
    assert_snapshot!(promote("staging"));
    assert_snapshot!(promote("trial"));
    assert_eq!(store.text("env/production/document").as_deref(), Some(GOOD));
    store.set(DOCUMENT, &GOOD.replace("\"dilna\"", "\"sklad\""));
    assert_snapshot!(promote("trial"));
    assert_eq!(store.text("env/production/document").as_deref(), Some(GOOD));
}

/// Guards against a loser that overwrites the other change, or is not told what it was.
#[test]
fn racing_operators_learn_of_each_other() {
    let file = file("raced.toml", &slots(6));
    let store = started();
    store.inject(Fault::WriteBefore(slots(9)));
    assert_snapshot!(trial(&store, &["apply", &file]));
    assert_eq!(store.text(DOCUMENT), Some(slots(9)));
    store.inject(Fault::WriteAfter(slots(7)));
    assert_snapshot!(trial(&store, &["--json", "apply", &file]));
    let between = started();
    between.state.lock().expect("state is usable").after_read = Some(slots(9));
    let output = trial(&between, &["apply", &file]);
    assert!(
        output.starts_with("exit 3"),
        "the change after the read was overwritten: {output}"
    );
    let empty = FakeStore::start();
    empty.inject(Fault::WriteBefore("slots = ".to_owned()));
    assert_snapshot!(trial(&empty, &["apply", &file]));
}

/// Guards against a lost answer that is reported as a failure, or a change that is written twice.
#[test]
fn lost_answers_are_settled() {
    let file = file("lost.toml", &slots(6));
    for fault in [Fault::LoseResponse, Fault::LoseRequest] {
        let store = started();
        store.inject(fault);
        assert_snapshot!("settled", trial(&store, &["apply", &file]));
        assert_eq!((store.text(DOCUMENT), store.writes()), (Some(slots(6)), 2));
    }
    let store = started();
    for _ in 0..100 {
        store.inject(Fault::Status(503));
    }
    assert_snapshot!("unknown", trial(&store, &["apply", &file]));
}

/// Guards against a missing store that is reported as a refusal, and a refusal that is not.
#[test]
fn absent_stores_are_named() {
    let file = file("absent.toml", GOOD);
    // Port 1 of loopback is reserved and has no listener.
    let away = ["--store", "127.0.0.1:1", "--env", "trial"];
    let reason = run(&[&away, ["apply", &file].as_slice()].concat());
    assert!(
        reason.starts_with("exit 4\nmonsoonctl: no answer (127.0.0.1:#:"),
        "{reason}"
    );
    let store = FakeStore::start();
    store.inject(Fault::Status(403));
    assert_snapshot!(trial(&store, &["apply", &file]));
}

/// Guards against an unreadable document in force that blocks every correction.
#[test]
fn unreadable_documents_are_replaced_on_demand() {
    let store = FakeStore::start();
    store.set(DOCUMENT, "tenant = \"karavanex\"\n");
    let file = file("corrected.toml", GOOD);
    assert_snapshot!(trial(&store, &["apply", &file]));
    assert_snapshot!(trial(&store, &["diff", &file]));
    assert_snapshot!(trial(&store, &["dc", "out", "brno-a"]));
    assert_snapshot!(trial(&store, &["apply", "--force", &file]));
    assert_eq!(store.text(DOCUMENT).as_deref(), Some(GOOD));
    store
        .state
        .lock()
        .expect("state is usable")
        .objects
        .insert(DOCUMENT.into(), (9, "{".into()));
    assert_snapshot!(trial(&store, &["apply", &file]));
}
