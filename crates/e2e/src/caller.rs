//! Processes of `monsoon-standin caller` and their reports.

use std::fs;
use std::path::PathBuf;

use monsoon_standin::caller::{Entry, Outcome};
use monsoon_standin::process::{Process, Signal};
use serde::Deserialize;
use serde_json::Value;

use crate::TIMEOUT;

/// Running caller.
#[derive(Debug)]
pub struct Caller {
    pub(crate) process: Process,
    pub(crate) report: PathBuf,
}

impl Caller {
    /// Stops the caller and reads its report.
    pub fn stop(mut self) -> Report {
        let signalled = self.process.signal(Signal::Terminate);
        signalled.expect("the caller runs");
        self.finish()
    }

    /// Waits until the caller ends after its running time, and reads its report.
    pub fn finish(mut self) -> Report {
        let status = self.process.wait(TIMEOUT * 2);
        let status = status.expect("the caller ends after its time");
        assert!(status.success(), "the caller failed: {status}");
        let text = fs::read_to_string(&self.report).expect("the caller wrote its report");
        for line in self.process.lines() {
            println!("{line}");
        }
        let report: Report = serde_json::from_str(&text).expect("the report has its format");
        println!(
            "connections={} connect_failures={} resets={} longest_gap_ms={}",
            report.connections, report.connect_failures, report.resets, report.longest_gap_ms
        );
        report
    }
}

/// Report of a caller.
#[derive(Clone, Debug, Deserialize)]
pub struct Report {
    /// Counts of requests by request class and outcome.
    pub classes: Value,
    /// Flows and requests that were started.
    pub sent: u64,
    /// Complete responses.
    pub served: u64,
    /// Broken flows and requests.
    pub broken: u64,
    /// Connections that were opened.
    pub connections: u64,
    /// Connection attempts that failed.
    pub connect_failures: u64,
    /// Connections that ended by a stateless reset.
    pub resets: u64,
    /// Longest time between two lines of an open stream, in milliseconds.
    pub longest_gap_ms: u64,
    /// Requests that have a key, with their outcomes.
    pub requests: Vec<Entry>,
}

impl Report {
    /// Count `field` of a request class; zero for a class that sent nothing.
    pub fn count(&self, class: &str, field: &str) -> u64 {
        self.classes[class][field].as_u64().unwrap_or(0)
    }

    /// Keys of answered requests of the class `hold`.
    pub fn answered_holds(&self) -> impl Iterator<Item = &str> {
        let answered = |entry: &&Entry| entry.class == "hold" && entry.outcome == Outcome::Answered;
        self.requests
            .iter()
            .filter(answered)
            .map(|entry| entry.key.as_str())
    }
}
