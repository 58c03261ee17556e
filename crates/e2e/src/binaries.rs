//! Paths and commands of the workspace's programs. Cargo puts them into the directory above the
//! test executables.

use std::path::PathBuf;
use std::process::Command;

/// Path of the program `name`, built in the profile of the running test.
pub fn path(name: &str) -> PathBuf {
    let test = std::env::current_exe().expect("the test executable has a path");
    let directory = test
        .parent()
        .and_then(|deps| deps.parent())
        .expect("test executables are in target/<profile>/deps");
    let path = directory.join(name);
    assert!(
        path.is_file(),
        "{} is missing; run `cargo build --workspace --bins --locked` first",
        path.display()
    );
    path
}

/// Command for the program `name`, without environment variables that would change what it does.
pub fn command(name: &str) -> Command {
    let mut command = Command::new(path(name));
    command.env_remove("MONSOON_STORE").env_remove("RUST_LOG");
    command
}
