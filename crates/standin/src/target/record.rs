//! What ran on a target, for comparison with what its callers saw.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Most recorded executions and uploads. At the bound further ones are refused as not run, so that
/// the record stays complete.
pub const MAX_EXECUTIONS: usize = 200_000;

/// Received upload.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upload {
    /// Path of the request.
    pub path: String,
    /// Bytes of the body.
    pub bytes: u64,
    /// SHA-256 of the body, in hexadecimal digits.
    pub sha256: String,
}

/// Work that came after the start of a drain.
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
    /// Started executions by idempotency key; cancelled and failed ones count.
    pub executions: BTreeMap<String, u32>,
    /// Uploads that were received as a whole.
    pub uploads: Vec<Upload>,
    /// Requests that were answered with success.
    pub served: u64,
    /// Requests that were refused because the queue or the connections were full.
    pub shed: u64,
    /// Requests that were refused because their deadline had passed.
    pub late: u64,
    /// Requests above what a cold target carries.
    pub overruns: u64,
    /// Requests in flight that failed in an overrun.
    pub failed: u64,
    /// Requests that the agent cancelled, in the queue or running.
    pub cancelled: u64,
    /// Streams opened.
    pub streams: u64,
    /// Streams that ended with their `end` line.
    pub ended: u64,
    /// Streams that the agent cancelled.
    pub dropped: u64,
    /// Work that came after the start of a drain.
    pub after_drain: AfterDrain,
}

impl Record {
    /// Whether there is room for one more execution and upload.
    pub fn has_room(&self) -> bool {
        self.executions.len() < MAX_EXECUTIONS && self.uploads.len() < MAX_EXECUTIONS
    }

    /// Records the start of an execution.
    pub fn record_execution(&mut self, key: &str) {
        let count = self.executions.entry(key.to_owned()).or_default();
        *count += 1;
        if *count > 1 {
            log::warn!("target: key {key} ran {count} times");
        }
    }
}
