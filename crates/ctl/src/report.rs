//! Results of commands, as text and as JSON.

use serde_json::Value;

/// Result of a command.
#[derive(Clone, Debug)]
pub struct Report {
    /// Plain text without the final line break.
    pub text: String,
    /// JSON value.
    pub json: Value,
}

impl Report {
    pub fn new(text: impl Into<String>, json: Value) -> Self {
        Self {
            text: text.into(),
            json,
        }
    }
}

/// Replaces control characters in a text from the store, because they could alter the terminal.
pub fn strip_control(text: &str) -> String {
    text.chars()
        .map(|c| if c.is_control() { '?' } else { c })
        .collect()
}

/// Joins lines, each indented and after a line break.
pub fn indent_lines(lines: &[String]) -> String {
    lines
        .iter()
        .fold(String::new(), |text, line| text + "\n  " + line)
}
