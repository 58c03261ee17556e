//! Calls to the store and their results, as the state machines see them.

use monsoon_model::Version;

/// Call to make. A state machine has at most one outstanding call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Read the object.
    Read,
    /// Write the object under a condition.
    Put {
        /// Version that the object must have, `None` if it must not exist.
        condition: Option<Version>,
        /// Unique id of the change, stored with the object.
        change: String,
    },
}

/// State of an object as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObjectState {
    /// Version of the object.
    pub version: Version,
    /// Id of the change that wrote it.
    pub change: String,
}

/// Result of the outstanding call, or the end of a wait.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The state machine was started, or the end of its wait has come.
    Tick,
    /// The object was read; `None` if it does not exist.
    Read(Option<ObjectState>),
    /// The read failed.
    ReadFailed,
    /// The write took effect with this version.
    Written(Version),
    /// The condition of the write does not hold, so it did not take effect.
    ConditionFailed,
    /// The answer to the write was lost, so its outcome is unknown.
    AnswerLost,
    /// The write was not sent.
    NotSent,
    /// The store refused the write for another reason than its condition.
    Refused,
}
