//! Processes of the daemon `monsoonrouter`, which is a balancer or an agent.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};

use monsoon_membership::Member;
use monsoon_standin::process::{Process, Signal};
use serde_json::Value;

use crate::{TIMEOUT, binaries, http, wait};

/// Running balancer or agent.
#[derive(Debug)]
pub struct Daemon {
    process: Process,
    log: PathBuf,
}

impl Daemon {
    /// Starts the daemon and waits until its sockets are open.
    pub fn start(settings: &Path) -> Self {
        let log = settings.with_extension("log");
        let file = File::create(&log).expect("the temporary directory is writable");
        let mut command = binaries::command("monsoonrouter");
        command.arg("--settings").arg(settings).stderr(file);
        let process = Process::start(&mut command, TIMEOUT)
            .unwrap_or_else(|error| panic!("{error}; {}", tail(&log)));
        Self { process, log }
    }

    /// Address with the key `key` in the daemon's ready line.
    pub fn address(&self, key: &str) -> SocketAddr {
        self.process.address(key).expect("the ready line has it")
    }

    /// Local address at which a balancer serves the service address `service`.
    pub fn service_socket(&self, service: &str) -> SocketAddr {
        let prefix = format!("{service} is served at ");
        let read = || {
            let log = self.log();
            let rest = log.split_once(&prefix)?.1;
            rest.split_whitespace().next()?.parse().ok()
        };
        wait::until(&format!("{prefix} in {}", self.log.display()), read).0
    }

    /// Waits until the log has a line with `text`.
    pub fn wait_log(&self, text: &str) {
        let what = format!("{text:?} in {}", self.log.display());
        wait::until(&what, || self.log().contains(text).then_some(()));
    }

    /// Contents of the log so far.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Reads the page `/status` of the admin listener.
    ///
    /// # Errors
    /// Returns an error if the process does not answer.
    pub fn try_status(&self) -> io::Result<Value> {
        http::try_get(self.address("admin"), "/status")
    }

    /// Reads the page `/status` of the admin listener.
    pub fn status(&self) -> Value {
        self.try_status().expect("the admin listener answers")
    }

    /// Agents that a balancer knows; empty if it does not answer.
    pub fn agents(&self) -> Vec<Member> {
        let Ok(mut status) = self.try_status() else {
            return Vec::new();
        };
        serde_json::from_value(status["agents"].take()).expect("agents are members")
    }

    /// Versions of the document and of the data centres in force; null if the process does not
    /// answer.
    pub fn versions(&self) -> Value {
        let status = self.try_status().unwrap_or_default();
        status["versions"].clone()
    }

    /// Counter of `event` on the page `/counters`; zero if it is not there.
    pub fn counter(&self, event: &str) -> u64 {
        let counters: BTreeMap<String, u64> = http::get(self.address("admin"), "/counters");
        counters.get(event).copied().unwrap_or(0)
    }

    /// Sends a signal to the process.
    pub fn signal(&mut self, signal: Signal) {
        self.process.signal(signal).expect("the process runs");
    }

    /// Kills the process, as a crash does, and waits for its end.
    pub fn kill(mut self) {
        self.signal(Signal::Kill);
        self.process.wait(TIMEOUT).expect("SIGKILL ends a process");
    }

    /// Stops the process by SIGTERM and checks that it ends without an error.
    pub fn stop(mut self) {
        self.signal(Signal::Terminate);
        let status = self.wait();
        assert!(status.success(), "{status}");
    }

    /// Waits until the process has ended.
    pub fn wait(mut self) -> ExitStatus {
        let status = self.process.wait(TIMEOUT);
        status.unwrap_or_else(|| panic!("the daemon still runs; {}", tail(&self.log)))
    }
}

fn tail(log: &Path) -> String {
    let text = fs::read_to_string(log).unwrap_or_default();
    let lines: Vec<_> = text.lines().rev().take(5).collect();
    format!("newest lines first: {lines:#?}")
}

/// Exit code and error output of a daemon that must refuse these settings.
pub fn refused_start(settings: &Path) -> (Option<i32>, String) {
    let mut command = binaries::command("monsoonrouter");
    command
        .arg("--settings")
        .arg(settings)
        .stderr(Stdio::null());
    // Dropping the process ends a daemon that starts nevertheless.
    if let Ok(_accepted) = Process::start(&mut command, TIMEOUT) {
        panic!("{} was accepted", settings.display());
    }
    let mut command = binaries::command("monsoonrouter");
    let output = command.arg("--settings").arg(settings).output();
    let output = output.expect("the daemon starts");
    let message = String::from_utf8_lossy(&output.stderr).into_owned();
    (output.status.code(), message)
}
