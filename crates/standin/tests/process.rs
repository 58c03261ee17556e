//! Child processes: readiness, signals and reaping.

use std::process::{Command, Stdio};
use std::time::Duration;

use monsoon_standin::process::{Process, ProcessError, Signal};

const TIMEOUT: Duration = Duration::from_secs(20);

fn standin(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_monsoon-standin"));
    command.args(arguments).stderr(Stdio::null());
    command
}

fn process_state(id: u32) -> Option<String> {
    let status = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    let rest = status.rsplit(')').next()?;
    rest.split_whitespace().next().map(str::to_owned)
}

fn wait_for_state(id: u32, wanted: &str) {
    let deadline = std::time::Instant::now() + TIMEOUT;
    while process_state(id).as_deref() != Some(wanted) {
        assert!(
            std::time::Instant::now() < deadline,
            "state {:?}",
            process_state(id)
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Guards against a stand-in that does not stop gracefully on SIGTERM, prints no usable address, or
/// prints more than its ready line.
#[test]
fn each_server_is_ready_and_ends_on_terminate() {
    let platform = standin(&["platform", "--port", "0"]);
    let target = standin(&["target", "--port", "0", "--name", "brno-1"]);
    let fabric = standin(&["fabric", "--balancer", "127.0.0.1:9"]);
    for mut command in [platform, target, fabric] {
        let mut process = Process::start(&mut command, TIMEOUT).unwrap();
        assert!(process.address("address").unwrap().ip().is_loopback());
        process.signal(Signal::Terminate).unwrap();
        assert!(process.wait(TIMEOUT).unwrap().success());
        assert!(process.lines().is_empty(), "one line on standard output");
    }
}

/// Guards against a process that runs on after `--max-seconds` when no script stops it.
#[test]
fn process_stops_after_max_seconds() {
    let mut process = Process::start(&mut standin(&["platform", "--max-seconds", "1"]), TIMEOUT);
    assert!(process.as_mut().unwrap().wait(TIMEOUT).unwrap().success());
}

/// Guards against a signal that does not reach the child, and against a killed or dropped child
/// that stays as a zombie.
#[test]
fn signals_reach_the_child_and_drop_reaps_it() {
    let mut process = Process::start(&mut standin(&["platform"]), TIMEOUT).unwrap();
    let id = process.id();
    process.signal(Signal::Stop).unwrap();
    wait_for_state(id, "T");
    process.signal(Signal::Continue).unwrap();
    wait_for_state(id, "S");
    process.signal(Signal::Kill).unwrap();
    assert!(!process.wait(TIMEOUT).unwrap().success());
    assert!(process.signal(Signal::Kill).is_err());

    let mut suspended = Process::start(&mut standin(&["platform"]), TIMEOUT).unwrap();
    suspended.signal(Signal::Stop).unwrap();
    let id = suspended.id();
    drop(suspended);
    assert_eq!(process_state(id), None);
}

/// Guards against endless waiting for a child that has ended, prints no ready line, or does not
/// exist.
#[test]
fn missing_readiness_is_an_error() {
    let ended = Process::start(&mut standin(&["target", "--slots", "0"]), TIMEOUT);
    assert!(
        matches!(ended, Err(ProcessError::Ended { .. })),
        "{ended:?}"
    );
    let never_ready = Process::start(Command::new("sleep").arg("100"), Duration::from_millis(50));
    assert!(
        matches!(never_ready, Err(ProcessError::NotReady { .. })),
        "{never_ready:?}"
    );
    let absent = Process::start(&mut Command::new("/nonexistent"), TIMEOUT);
    assert!(
        matches!(absent, Err(ProcessError::Start { .. })),
        "{absent:?}"
    );
}
