//! Collection of faults with bounded memory.

use crate::fault::{Fault, FaultKind, Faults, MAX_FAULTS};

/// Most faults kept before they are sorted; further ones are only counted. A text of 900 kB could
/// otherwise hold several hundred megabytes of faults in a daemon.
const MAX_KEPT: usize = 5_000;
/// Longest part of a text that a fault repeats, in characters.
const MAX_QUOTE: usize = 100;

/// Faults found so far.
#[derive(Debug, Default)]
pub struct Sink {
    kept: Vec<Fault>,
    dropped: usize,
}

impl Sink {
    /// Records a fault.
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

    /// Faults in the order of their lines, cut at [`MAX_FAULTS`].
    ///
    /// # Errors
    /// Returns the faults when there are any.
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

/// Text of the document for a message: short, and without control characters, which could change
/// the reader's terminal.
fn quote(text: &str) -> String {
    let plain = |c: char| if c.is_control() { '?' } else { c };
    let mut quoted: String = text.chars().take(MAX_QUOTE).map(plain).collect();
    if text.chars().nth(MAX_QUOTE).is_some() {
        quoted.push_str("...");
    }
    quoted
}
