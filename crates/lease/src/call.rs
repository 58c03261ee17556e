//! Calls to the store and their results.

use monsoon_model::Version;

/// Call to make. At most one call is outstanding.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Read the object.
    Read,
    /// Write the object under a condition.
    Put {
        /// Version that the object must have, `None` when it must not exist.
        condition: Option<Version>,
        /// Unique id of the change.
        change: String,
    },
}

/// Object as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObjectState {
    /// Version.
    pub version: Version,
    /// Id of the change that wrote it.
    pub change: String,
}

/// Result of a call, or the end of a wait.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Start, or the awaited time has come.
    Tick,
    /// Object was read; `None` when it does not exist.
    Read(Option<ObjectState>),
    /// Read failed.
    ReadFailed,
    /// Write took effect with this version.
    Written(Version),
    /// Condition of the write does not hold.
    ConditionFailed,
    /// Outcome of the write is unknown.
    AnswerLost,
    /// Write was not sent.
    NotSent,
    /// Store refused the write for another reason than its condition.
    Refused,
}
