//! Results of commands in both forms.

use serde_json::Value;

/// Result of a command.
#[derive(Clone, Debug)]
pub struct Report {
    /// Plain text without the final line break.
    pub text: String,
    /// JSON form.
    pub json: Value,
}

impl Report {
    /// Result in both forms.
    pub fn new(text: impl Into<String>, json: Value) -> Self {
        Self {
            text: text.into(),
            json,
        }
    }
}

/// Text from the store without control characters, which could change the terminal.
pub fn strip_control(text: &str) -> String {
    text.chars()
        .map(|c| if c.is_control() { '?' } else { c })
        .collect()
}

/// Lines, each indented and preceded by a line break.
pub fn indent_lines(lines: &[String]) -> String {
    lines
        .iter()
        .fold(String::new(), |text, line| text + "\n  " + line)
}
