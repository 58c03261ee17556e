//! Runs `monsoonctl` as a process against a stand-in for the platform's object API.

#![allow(dead_code, reason = "no test program uses all of this file")]

#[path = "../../../store/tests/fake_store/mod.rs"]
pub mod fake_store;

use std::path::PathBuf;
use std::process::Command;

use fake_store::FakeStore;

/// Example document, which is valid.
pub const VALID_DOCUMENT: &str = include_str!("../../../../examples/karavanex.toml");

/// Example document with another number of slots in its first service.
pub fn document_with_slots(count: u32) -> String {
    VALID_DOCUMENT.replacen("slots = 4", &format!("slots = {count}"), 1)
}

/// Writes a file to the temporary directory of the tests, and returns its path.
pub fn write_file(name: &str, text: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("directory of the tests is writable");
    path.display().to_string()
}

/// Runs `monsoonctl` and returns its exit code, standard output and standard error as text. Ports,
/// directories and change ids are masked, because they differ between runs.
pub fn run_ctl(args: &[&str]) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_monsoonctl"));
    let command = command
        .args(args)
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

/// Replaces the characters that follow `start`, as long as they match `part`, by `#`.
fn mask(text: &str, start: &str, part: impl Fn(char) -> bool) -> String {
    let mut pieces = text.split(start);
    let first = pieces.next().unwrap_or_default().to_owned();
    pieces.fold(first, |text, piece| {
        text + start + "#" + piece.trim_start_matches(&part)
    })
}

/// Runs `monsoonctl` in the environment `trial` of the store.
pub fn run_in_trial(store: &FakeStore, args: &[&str]) -> String {
    let address = store.address.to_string();
    let options = ["--store", &address, "--env", "trial", "--patience", "1"];
    run_ctl(&[&options, args].concat())
}

/// Starts a store that has the example document in `trial`.
pub fn store_with_document() -> FakeStore {
    let store = FakeStore::start();
    store.set("env/trial/document", VALID_DOCUMENT);
    store
}
