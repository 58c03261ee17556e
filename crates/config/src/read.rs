//! Reader of TOML tables that collects all faults instead of stopping at the first one.

use std::rc::Rc;

use toml::de::{DeTable, DeValue};

use crate::collector::FaultCollector;
use crate::document::MAX_TEXT;
use crate::fault::FaultKind;
use crate::value::{boolean_of, float_of, integer_of, text_of, type_of};

/// Longest text in bytes whose syntax errors are all reported. The parser keeps every error and may
/// need several hundred bytes of memory for each byte of the text.
const MAX_RECOVERED_TEXT: usize = 32_768;

/// Value with the line on which it was found.
#[derive(Clone, Debug, PartialEq)]
pub struct Located<T> {
    /// The value.
    pub value: T,
    /// Line of the text, counted from 1.
    pub line: usize,
}

/// Table of the text with its position.
#[derive(Clone, Debug)]
pub struct Section<'t> {
    table: &'t DeTable<'t>,
    /// Path of the table with a dot at its end; empty for the root.
    pub prefix: String,
    /// Line of the table's header, counted from 1.
    pub line: usize,
}

/// Reader of one text.
#[derive(Debug)]
pub struct Reader<'t> {
    text: &'t str,
    /// Offset of each line's first byte. Counting the lines anew for each value would take
    /// quadratic time.
    line_starts: Rc<[usize]>,
    /// Faults so far.
    pub faults: FaultCollector,
}

/// Line of the byte at `offset`, counted from 1.
fn line_at(line_starts: &[usize], offset: usize) -> usize {
    line_starts.partition_point(|&start| start <= offset)
}

impl<'t> Reader<'t> {
    /// Creates a reader of `text`.
    pub fn new(text: &'t str) -> Self {
        let breaks = text.bytes().enumerate().filter(|&(_, byte)| byte == b'\n');
        let line_starts = std::iter::once(0)
            .chain(breaks.map(|(offset, _)| offset + 1))
            .collect();
        Self {
            text,
            line_starts,
            faults: FaultCollector::default(),
        }
    }

    /// Parses the text and passes its root table to `read`; records faults of size and syntax.
    pub fn parse<T>(&mut self, read: impl FnOnce(&mut Self, &Section<'_>) -> T) -> Option<T> {
        let bytes = self.text.len();
        if bytes > MAX_TEXT {
            self.fault(
                "document",
                1,
                FaultKind::TooLarge {
                    bytes,
                    limit: MAX_TEXT,
                },
            );
            return None;
        }
        let root = DeTable::parse(self.text)
            .map_err(|first| self.record_syntax_faults(first))
            .ok()?;
        let section = Section {
            table: root.get_ref(),
            prefix: String::new(),
            line: 1,
        };
        Some(read(self, &section))
    }

    /// Records the syntax errors: all of them when the text is short, else the first. The table
    /// isn't read, because the parser's repaired one would add faults that the errors caused.
    fn record_syntax_faults(&mut self, first: toml::de::Error) {
        let errors = if self.text.len() <= MAX_RECOVERED_TEXT {
            DeTable::parse_recoverable(self.text).1
        } else {
            vec![first]
        };
        for error in errors {
            let line = self.line(error.span().map_or(0, |span| span.start));
            let message = error.message().trim().to_owned();
            self.fault("document", line, FaultKind::Syntax { message });
        }
    }

    fn line(&self, offset: usize) -> usize {
        line_at(&self.line_starts, offset)
    }

    /// Records a fault.
    pub fn fault(&mut self, key: impl Into<String>, line: usize, kind: FaultKind) {
        self.faults.push(key, line, kind);
    }

    /// Records a fault for each key of the section that isn't in `known`.
    pub fn reject_unknown_keys(&mut self, section: &Section<'_>, known: &[&str]) {
        for key in section.table.keys() {
            let name = key.get_ref().as_ref();
            if !known.contains(&name) {
                let kind = FaultKind::UnknownKey {
                    known: known.join(", "),
                };
                let line = self.line(key.span().start);
                self.fault(format!("{}{name}", section.prefix), line, kind);
            }
        }
    }

    fn field<T>(
        &mut self,
        section: &Section<'_>,
        key: &str,
        expected: &'static str,
        read: impl FnOnce(&DeValue<'_>) -> Option<T>,
    ) -> Option<Located<T>> {
        let value = section.table.get(key)?;
        let line = self.line(value.span().start);
        let found = type_of(value.get_ref());
        let read = read(value.get_ref());
        if read.is_none() {
            let kind = FaultKind::WrongType { expected, found };
            self.fault(format!("{}{key}", section.prefix), line, kind);
        }
        read.map(|value| Located { value, line })
    }

    fn required<T>(
        &mut self,
        section: &Section<'_>,
        key: &str,
        expected: &'static str,
        read: impl FnOnce(&DeValue<'_>) -> Option<T>,
    ) -> Option<Located<T>> {
        if !section.table.contains_key(key) {
            let kind = FaultKind::Missing { expected };
            self.fault(format!("{}{key}", section.prefix), section.line, kind);
        }
        self.field(section, key, expected, read)
    }

    /// Required string.
    pub fn string(&mut self, section: &Section<'_>, key: &str) -> Option<Located<String>> {
        self.required(section, key, "a string", text_of)
    }

    /// Required integer.
    pub fn integer(&mut self, section: &Section<'_>, key: &str) -> Option<Located<i64>> {
        self.required(section, key, "an integer below 2^63", integer_of)
    }

    /// Required float; an integer is accepted too.
    pub fn float(&mut self, section: &Section<'_>, key: &str) -> Option<Located<f64>> {
        self.required(section, key, "a number", float_of)
    }

    /// Required boolean.
    pub fn boolean(&mut self, section: &Section<'_>, key: &str) -> Option<Located<bool>> {
        self.required(section, key, "true or false", boolean_of)
    }

    /// Optional integer.
    pub fn optional_integer(&mut self, section: &Section<'_>, key: &str) -> Option<Located<i64>> {
        self.field(section, key, "an integer below 2^63", integer_of)
    }

    /// Optional boolean.
    pub fn optional_boolean(&mut self, section: &Section<'_>, key: &str) -> Option<Located<bool>> {
        self.field(section, key, "true or false", boolean_of)
    }

    /// Required list of strings.
    pub fn strings(
        &mut self,
        section: &Section<'_>,
        key: &str,
    ) -> Option<Located<Vec<Located<String>>>> {
        let line_starts = Rc::clone(&self.line_starts);
        self.required(section, key, "a list of strings", |value| {
            let entry = |entry: &toml::Spanned<DeValue<'_>>| {
                let line = line_at(&line_starts, entry.span().start);
                Some(Located {
                    value: text_of(entry.get_ref())?,
                    line,
                })
            };
            value.as_array()?.iter().map(entry).collect()
        })
    }

    /// Tables of a list. If `expected_entry` is given, an absent or empty list is a fault whose
    /// message names that entry.
    pub fn tables<'s>(
        &mut self,
        section: &Section<'s>,
        key: &str,
        expected_entry: Option<&'static str>,
    ) -> Vec<Section<'s>> {
        let path = format!("{}{key}", section.prefix);
        let Some(value) = section.table.get(key) else {
            if let Some(expected) = expected_entry {
                self.fault(path, section.line, FaultKind::Missing { expected });
            }
            return Vec::new();
        };
        let line = self.line(value.span().start);
        let Some(entries) = value.get_ref().as_array() else {
            let found = type_of(value.get_ref());
            self.fault(
                path,
                line,
                FaultKind::WrongType {
                    expected: "a list of tables",
                    found,
                },
            );
            return Vec::new();
        };
        if let Some(entry) = expected_entry.filter(|_| entries.is_empty()) {
            self.fault(path.clone(), line, FaultKind::EmptyList { entry });
        }
        let mut sections = Vec::new();
        for (index, entry) in entries.iter().enumerate() {
            let line = self.line(entry.span().start);
            if let Some(table) = entry.get_ref().as_table() {
                sections.push(Section {
                    table,
                    prefix: format!("{path}[{index}]."),
                    line,
                });
            } else {
                let found = type_of(entry.get_ref());
                let kind = FaultKind::WrongType {
                    expected: "a table",
                    found,
                };
                self.fault(format!("{path}[{index}]"), line, kind);
            }
        }
        sections
    }
}
