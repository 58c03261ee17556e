//! Unique ids of changes.

use std::hash::{BuildHasher, RandomState};
use std::time::{SystemTime, UNIX_EPOCH};

/// Id that no other change has: 64 random bits with the time in milliseconds.
///
/// The keys of the standard hasher are random for each process; an operator starts one process for
/// each change.
pub fn change_id() -> String {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let random = RandomState::new().hash_one(std::process::id());
    format!("ctl-{:x}-{random:016x}", since.as_millis())
}
