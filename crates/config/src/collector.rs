//! Collection of faults in bounded memory.

use crate::fault::{Fault, FaultKind, Faults, MAX_FAULTS};

/// Most faults kept; further ones are only counted. The faults of a text of 900 kB could otherwise
/// take several hundred megabytes of memory in a daemon.
const MAX_KEPT: usize = 5_000;
/// Longest part of a text that a fault quotes, in characters.
const MAX_QUOTE: usize = 100;

/// Faults found so far in a text.
#[derive(Debug, Default)]
pub struct FaultCollector {
    kept: Vec<Fault>,
    dropped: usize,
}

impl FaultCollector {
    /// Records a fault, with its quotes shortened.
    pub fn push(&mut self, key: impl Into<String>, line: usize, mut kind: FaultKind) {
        if self.kept.len() >= MAX_KEPT {
            self.dropped += 1;
            return;
        }
        if let FaultKind::Malformed { value, .. } | FaultKind::Duplicate { value, .. } = &mut kind {
            *value = quote(value);
        }
        let key = quote(&key.into());
        self.kept.push(Fault { key, line, kind });
    }

    /// Whether there is no fault.
    pub fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }

    /// Ends the collection.
    ///
    /// # Errors
    /// Returns the faults, if there are any, in the order of their lines. There are at most
    /// [`MAX_FAULTS`] and one that counts the rest.
    pub fn finish(mut self) -> Result<(), Faults> {
        if self.is_empty() {
            return Ok(());
        }
        self.kept.sort_by_key(|fault| fault.line);
        let count = self.dropped + self.kept.len().saturating_sub(MAX_FAULTS);
        self.kept.truncate(MAX_FAULTS);
        if count > 0 {
            let line = self.kept.last().map_or(1, |fault| fault.line);
            let kind = FaultKind::More { count };
            self.kept.push(Fault {
                key: "document".to_owned(),
                line,
                kind,
            });
        }
        Err(Faults::new(self.kept))
    }
}

/// Shortens a text of the document for a message and replaces control characters, which could
/// change the state of the reader's terminal.
fn quote(text: &str) -> String {
    let printable = |c: char| if c.is_control() { '?' } else { c };
    let mut quoted: String = text.chars().take(MAX_QUOTE).map(printable).collect();
    if text.chars().nth(MAX_QUOTE).is_some() {
        quoted.push_str("...");
    }
    quoted
}
