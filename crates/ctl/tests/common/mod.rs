//! Runs the command line against the stand-in of the object API.

#![allow(dead_code, reason = "each test binary uses another part of this file")]

#[path = "../../../store/tests/fake_store/mod.rs"]
pub mod fake_store;

use std::path::PathBuf;
use std::process::Command;

use fake_store::FakeStore;

pub const VALID_DOCUMENT: &str = include_str!("../../../../examples/karavanex.toml");

/// Document of the examples with another number of slots.
pub fn document_with_slots(count: u32) -> String {
    VALID_DOCUMENT.replacen("slots = 4", &format!("slots = {count}"), 1)
}

/// File with this text, in the directory that cargo gives to tests.
pub fn write_file(name: &str, text: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("directory of the tests is writable");
    path.display().to_string()
}

/// Exit code, standard output and standard error of one run as a text, without what differs
/// between runs: ports, directories and change ids.
pub fn run_ctl(words: &[&str]) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_monsoonctl"));
    let command = command
        .args(words)
        .env_remove("MONSOON_STORE")
        .env("USER", "jan");
    let output = command.output().expect("program starts");
    let code = output.status.code().expect("program exits by itself");
    let out = String::from_utf8(output.stdout).expect("output is text");
    let err = String::from_utf8(output.stderr).expect("output is text");
    let text = format!("exit {code}\n{out}{err}").replace(env!("CARGO_TARGET_TMPDIR"), "DIR");
    mask(
        &mask(&text, "ctl-", |c| c.is_ascii_hexdigit() || c == '-'),
        "127.0.0.1:",
        |c| c.is_ascii_digit(),
    )
}

fn mask(text: &str, start: &str, part: impl Fn(char) -> bool) -> String {
    let mut pieces = text.split(start);
    let first = pieces.next().unwrap_or_default().to_owned();
    pieces.fold(first, |text, piece| {
        text + start + "#" + piece.trim_start_matches(&part)
    })
}

/// Run in the environment `trial` of this store.
pub fn run_in_trial(store: &FakeStore, words: &[&str]) -> String {
    let address = store.address.to_string();
    let head = ["--store", &address, "--env", "trial", "--patience", "1"];
    run_ctl(&[&head, words].concat())
}

/// Store with the example document in `trial`.
pub fn store_with_document() -> FakeStore {
    let store = FakeStore::start();
    store.set("env/trial/document", VALID_DOCUMENT);
    store
}
