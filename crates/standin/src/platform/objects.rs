//! Objects and their versions, without I/O.

use std::collections::BTreeMap;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Largest body of a write, as on the platform (1 MB).
pub const MAX_VALUE_BYTES: usize = 1_000_000;
/// Longest object name.
pub const MAX_NAME_BYTES: usize = 256;
/// Most objects; a write that would create another one is refused.
pub const MAX_OBJECTS: usize = 4096;

/// Value of an object.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Value {
    /// Unique identifier of the write. A client that got no reply reads it to find out whether the
    /// write took effect.
    pub change: String,
    /// Who wrote it.
    pub author: String,
    /// Content.
    pub text: String,
}

/// Condition under which a write takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// The object has this version.
    Version(u64),
    /// The object does not exist.
    Absent,
}

/// Reason why a write had no effect.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum WriteError {
    /// The condition is not met.
    #[display("the object is at version {current:?}; read it again before writing")]
    Conflict {
        /// Version of the object, none when it does not exist.
        current: Option<u64>,
    },
    /// There are [`MAX_OBJECTS`] objects.
    #[display("the store is full with {MAX_OBJECTS} objects; write to an existing name")]
    Full,
}

/// All objects. One counter numbers the versions of all objects, so no version is used twice.
#[derive(Debug, Default)]
pub struct Objects {
    entries: BTreeMap<String, (u64, Value)>,
    last_version: u64,
}

impl Objects {
    /// Version and value of an object.
    pub fn get(&self, name: &str) -> Option<(u64, &Value)> {
        self.entries
            .get(name)
            .map(|(version, value)| (*version, value))
    }

    /// Writes an object if `condition` is met, and returns its new version.
    ///
    /// # Errors
    /// Returns the reason when the write had no effect.
    pub fn put(
        &mut self,
        name: &str,
        condition: Condition,
        value: Value,
    ) -> Result<u64, WriteError> {
        let current = self.get(name).map(|(version, _)| version);
        let is_met = match condition {
            Condition::Version(version) => current == Some(version),
            Condition::Absent => current.is_none(),
        };
        if !is_met {
            return Err(WriteError::Conflict { current });
        }
        if current.is_none() && self.entries.len() >= MAX_OBJECTS {
            return Err(WriteError::Full);
        }
        self.last_version += 1;
        debug_assert!(
            current.is_none_or(|old| old < self.last_version),
            "versions increase"
        );
        self.entries
            .insert(name.to_owned(), (self.last_version, value));
        Ok(self.last_version)
    }
}
