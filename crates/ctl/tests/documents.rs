//! The commands on documents, run as processes against a stand-in for the store.

mod common;

use common::fake_store::{FakeStore, Fault};
use common::{
    VALID_DOCUMENT, document_with_slots, run_ctl, run_in_trial, store_with_document, write_file,
};
use insta::assert_snapshot;

const DOCUMENT: &str = "env/trial/document";

/// Guards against the write of a document that is invalid, equal to the stored one, or not a valid
/// successor of it, such as one that gives a used service number to another service.
#[test]
fn apply_writes_only_valid_successors() {
    let store = FakeStore::start();
    let good = write_file("good.toml", VALID_DOCUMENT);
    assert_snapshot!(run_in_trial(&store, &["diff", &good]));
    assert_snapshot!(run_in_trial(&store, &["apply", &good]));
    assert_snapshot!(run_in_trial(&store, &["apply", &good]));
    let changed = write_file("changed.toml", &document_with_slots(6));
    assert_snapshot!(run_in_trial(&store, &["diff", &changed]));
    assert_snapshot!(run_in_trial(&store, &["apply", &changed]));
    let reused = write_file(
        "reused.toml",
        &VALID_DOCUMENT.replace("\"dilna\"", "\"sklad\""),
    );
    assert_snapshot!(run_in_trial(&store, &["apply", &reused]));
    let faulty = write_file(
        "faulty.toml",
        &VALID_DOCUMENT.replace("slots = 4", "slots = 0"),
    );
    assert_snapshot!(run_in_trial(&store, &["apply", &faulty]));
    assert_eq!(store.text(DOCUMENT), Some(document_with_slots(6)));
    assert_eq!(store.writes(), 2);
}

/// Guards against a promotion that skips the checks against the document of the receiving
/// environment.
#[test]
fn promote_checks_the_receiving_environment() {
    let store = store_with_document();
    let address = store.address.to_string();
    let promote = |from| run_ctl(&["--store", &address, "promote", from, "production"]);
    assert_snapshot!(promote("staging"));
    assert_snapshot!(promote("trial"));
    assert_eq!(
        store.text("env/production/document").as_deref(),
        Some(VALID_DOCUMENT)
    );
    store.set(DOCUMENT, &VALID_DOCUMENT.replace("\"dilna\"", "\"sklad\""));
    assert_snapshot!(promote("trial"));
    assert_eq!(
        store.text("env/production/document").as_deref(),
        Some(VALID_DOCUMENT)
    );
}

/// Guards against a lost update: another operator writes after this one's read, just before its
/// write, or just after it. The command must not overwrite that change, and must show it.
#[test]
fn concurrent_changes_are_reported() {
    let file = write_file("raced.toml", &document_with_slots(6));
    let store = store_with_document();
    store.inject(Fault::WriteBefore(document_with_slots(9)));
    assert_snapshot!(run_in_trial(&store, &["apply", &file]));
    assert_eq!(store.text(DOCUMENT), Some(document_with_slots(9)));
    store.inject(Fault::WriteAfter(document_with_slots(7)));
    assert_snapshot!(run_in_trial(&store, &["--json", "apply", &file]));
    let racing = store_with_document();
    racing.state.lock().expect("state is usable").after_read = Some(document_with_slots(9));
    let output = run_in_trial(&racing, &["apply", &file]);
    assert!(
        output.starts_with("exit 3"),
        "the change after the read was overwritten: {output}"
    );
    let empty = FakeStore::start();
    empty.inject(Fault::WriteBefore("slots = ".to_owned()));
    assert_snapshot!(run_in_trial(&empty, &["apply", &file]));
}

/// Guards against a failure or a second write when the store's answer, or the request, is lost. If
/// the store answers no call any more, the outcome must be reported as unknown.
#[test]
fn lost_answers_repeat_no_write() {
    let file = write_file("lost.toml", &document_with_slots(6));
    for fault in [Fault::LoseResponse, Fault::LoseRequest] {
        let store = store_with_document();
        store.inject(fault);
        assert_snapshot!("settled", run_in_trial(&store, &["apply", &file]));
        assert_eq!(
            (store.text(DOCUMENT), store.writes()),
            (Some(document_with_slots(6)), 2)
        );
    }
    let store = store_with_document();
    for _ in 0..100 {
        store.inject(Fault::Status(503));
    }
    assert_snapshot!("unknown", run_in_trial(&store, &["apply", &file]));
}

/// Guards against confusion of a store that does not answer (exit code 4) with a store that refuses
/// the write (exit code 1).
#[test]
fn unreachable_stores_are_no_refusal() {
    let file = write_file("absent.toml", VALID_DOCUMENT);
    // Port 1 of loopback is reserved and has no listener.
    let options = ["--store", "127.0.0.1:1", "--env", "trial"];
    let reason = run_ctl(&[&options, ["apply", &file].as_slice()].concat());
    assert!(
        reason.starts_with("exit 4\nmonsoonctl: no answer (127.0.0.1:#:"),
        "{reason}"
    );
    let store = FakeStore::start();
    store.inject(Fault::Status(403));
    assert_snapshot!(run_in_trial(&store, &["apply", &file]));
}

/// Guards against a stored document that cannot be read and cannot be replaced either. Only
/// `--force` replaces it.
#[test]
fn unreadable_documents_are_replaced_with_force() {
    let store = FakeStore::start();
    store.set(DOCUMENT, "tenant = \"karavanex\"\n");
    let file = write_file("corrected.toml", VALID_DOCUMENT);
    assert_snapshot!(run_in_trial(&store, &["apply", &file]));
    assert_snapshot!(run_in_trial(&store, &["diff", &file]));
    assert_snapshot!(run_in_trial(&store, &["dc", "out", "brno-a"]));
    assert_snapshot!(run_in_trial(&store, &["apply", "--force", &file]));
    assert_eq!(store.text(DOCUMENT).as_deref(), Some(VALID_DOCUMENT));
    store
        .state
        .lock()
        .expect("state is usable")
        .objects
        .insert(DOCUMENT.into(), (9, "{".into()));
    assert_snapshot!(run_in_trial(&store, &["apply", &file]));
}
