//! Record of what ran on a target, for comparison with the reports of the callers.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Most recorded executions, and most recorded uploads. Further ones are refused as not run, so
/// that the record stays complete.
pub const MAX_EXECUTIONS: usize = 200_000;

/// Upload that was received as a whole.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upload {
    /// Path of the request.
    pub path: String,
    /// Size of the body.
    pub bytes: u64,
    /// SHA-256 of the body, in hexadecimal digits.
    pub sha256: String,
}

/// Requests and streams that arrived after the start of a drain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AfterDrain {
    /// Number of requests and streams.
    pub count: u64,
    /// Time from the start of the drain to the last of them, in milliseconds.
    pub last_ms: u64,
}

/// Everything that ran since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Name of the target.
    pub name: String,
    /// Number of started executions by idempotency key, including cancelled and failed ones.
    pub executions: BTreeMap<String, u32>,
    /// Uploads that were received as a whole and answered.
    pub uploads: Vec<Upload>,
    /// Requests that were answered with success.
    pub served: u64,
    /// Requests and streams that were refused because the queue, the connections or this record
    /// were full.
    pub shed: u64,
    /// Requests that were refused because their deadline passed before they got a slot.
    pub late: u64,
    /// Requests that were refused because they exceeded the capacity of the cold target.
    pub overruns: u64,
    /// Requests in flight that failed because of an overrun.
    pub failed: u64,
    /// Requests that were cancelled by the agent, in the queue or while they ran.
    pub cancelled: u64,
    /// Streams opened.
    pub streams: u64,
    /// Streams that ended with their `end` line.
    pub ended: u64,
    /// Streams that were cancelled by the agent.
    pub dropped: u64,
    /// Requests and streams that arrived after the start of a drain.
    pub after_drain: AfterDrain,
}

impl Record {
    /// Whether one more execution and one more upload can be recorded.
    pub fn has_room(&self) -> bool {
        self.executions.len() < MAX_EXECUTIONS && self.uploads.len() < MAX_EXECUTIONS
    }

    /// Records the start of an execution; logs a warning when its key has run before.
    pub fn record_execution(&mut self, key: &str) {
        let count = self.executions.entry(key.to_owned()).or_default();
        *count += 1;
        if *count > 1 {
            log::warn!("target: key {key} ran {count} times");
        }
    }
}
