//! Ids of changes, by which an operator recognises a write in the store.

use std::hash::{BuildHasher, RandomState};
use std::time::{SystemTime, UNIX_EPOCH};

/// Returns a unique id: the time in milliseconds and 64 random bits.
///
/// The bits come from the standard hasher, whose keys are random in each process; a process makes
/// one change.
pub fn change_id() -> String {
    let unix_time = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let random = RandomState::new().hash_one(std::process::id());
    format!("ctl-{:x}-{random:016x}", unix_time.as_millis())
}
