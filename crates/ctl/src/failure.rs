//! Failures of commands and their exit codes.

use monsoon_config::Faults;
use monsoon_store::StoreError;
use serde_json::{Value, json};

/// Kind of a failure; the number is the exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureKind {
    /// Input or state in force does not permit the command; nothing was written.
    Refused = 1,
    /// Arguments are wrong.
    Usage = 2,
    /// Another change came first.
    Conflict = 3,
    /// Store did not answer; nothing was written.
    Unreachable = 4,
    /// Outcome of a write is unknown.
    Unknown = 5,
}

/// Failure of a command.
#[derive(Clone, Debug)]
pub struct Failure {
    /// Kind of the failure.
    pub kind: FailureKind,
    /// What happened and what to do.
    pub message: String,
    /// Details for `--json`.
    pub details: Value,
}

impl Failure {
    /// Failure without details.
    pub fn new(kind: FailureKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            details: Value::Null,
        }
    }

    /// Refusal without details.
    pub fn refused(message: impl Into<String>) -> Self {
        Self::new(FailureKind::Refused, message)
    }

    /// Refusal because of a text with faults, listed below `head`.
    pub fn from_faults(head: &str, faults: &Faults) -> Self {
        let lines: Vec<_> = faults
            .list()
            .iter()
            .map(|fault| format!("\n  {fault}"))
            .collect();
        let list = faults.list().iter().map(|fault| {
            json!({"key": fault.key, "line": fault.line, "message": fault.kind.to_string()})
        });
        let details = json!({"faults": list.collect::<Vec<_>>()});
        let message = format!("{head}; nothing was written:{}", lines.concat());
        Self {
            kind: FailureKind::Refused,
            message,
            details,
        }
    }

    /// JSON form.
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
