//! Failures of commands, with their exit codes and JSON form.

use monsoon_config::Faults;
use monsoon_store::StoreError;
use serde_json::{Value, json};

/// Kind of a failure; the number is the exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureKind {
    /// The input or the state in force does not permit the command; nothing was written.
    Refused = 1,
    /// The arguments are wrong.
    Usage = 2,
    /// Another operator's change came first.
    Conflict = 3,
    /// The store or a process did not answer; nothing was written.
    Unreachable = 4,
    /// The outcome of a write is unknown.
    Unknown = 5,
}

/// Failure of a command.
#[derive(Clone, Debug)]
pub struct Failure {
    /// Kind, which sets the exit code.
    pub kind: FailureKind,
    /// What happened and what to do.
    pub message: String,
    /// Details for `--json`.
    pub details: Value,
}

impl Failure {
    /// Creates a failure without details.
    pub fn new(kind: FailureKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            details: Value::Null,
        }
    }

    /// Creates a refusal without details.
    pub fn refused(message: impl Into<String>) -> Self {
        Self::new(FailureKind::Refused, message)
    }

    /// Creates a refusal that lists the faults of a text below `heading`.
    pub fn from_faults(heading: &str, faults: &Faults) -> Self {
        let lines: Vec<_> = faults
            .list()
            .iter()
            .map(|fault| format!("\n  {fault}"))
            .collect();
        let list = faults.list().iter().map(|fault| {
            json!({"key": fault.key, "line": fault.line, "message": fault.kind.to_string()})
        });
        let details = json!({"faults": list.collect::<Vec<_>>()});
        let message = format!("{heading}; nothing was written:{}", lines.concat());
        Self {
            kind: FailureKind::Refused,
            message,
            details,
        }
    }

    /// JSON object that `--json` prints.
    pub fn json(&self) -> Value {
        let kind = match self.kind {
            FailureKind::Refused => "refused",
            FailureKind::Usage => "usage",
            FailureKind::Conflict => "conflict",
            FailureKind::Unreachable => "unreachable",
            FailureKind::Unknown => "unknown",
        };
        let code = self.kind as u8;
        json!({"error": kind, "code": code, "message": self.message, "details": self.details})
    }
}

impl From<StoreError> for Failure {
    fn from(error: StoreError) -> Self {
        let kind = match error {
            StoreError::NoAddress
            | StoreError::TooManyAddresses { .. }
            | StoreError::InvalidName { .. } => FailureKind::Usage,
            _ => FailureKind::Unreachable,
        };
        Self::new(kind, error.to_string())
    }
}
