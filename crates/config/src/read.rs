//! Reading of TOML tables that records faults instead of stopping at the first one.

use std::rc::Rc;

use toml::de::{DeTable, DeValue};

use crate::document::MAX_TEXT;
use crate::fault::FaultKind;
use crate::sink::Sink;
use crate::value::{boolean_of, float_of, integer_of, text_of, type_of};

/// Longest text, in bytes, whose faults of syntax are all listed. The parser keeps every error, up
/// to several hundred bytes for each byte of the text.
const MAX_RECOVERED: usize = 32_768;

/// Value with the line it was found on.
#[derive(Clone, Debug, PartialEq)]
pub struct Located<T> {
    /// The value.
    pub value: T,
    /// Line of the text, counted from 1.
    pub line: usize,
}

/// Table of the text with its key path.
#[derive(Clone, Debug)]
pub struct Section<'t> {
    table: &'t DeTable<'t>,
    /// Key path with a final dot, or empty at the root.
    pub prefix: String,
    /// Line of the header.
    pub line: usize,
}

/// Reader that collects faults.
#[derive(Debug)]
pub struct Reader<'t> {
    text: &'t str,
    /// Offset of each line's first byte; counting lines anew for each value would take time
    /// quadratic in the text.
    starts: Rc<[usize]>,
    /// Faults so far.
    pub faults: Sink,
}

/// Line of the byte at `offset`, counted from 1.
fn line_at(starts: &[usize], offset: usize) -> usize {
    starts.partition_point(|&start| start <= offset)
}

impl<'t> Reader<'t> {
    /// Reader of `text`.
    pub fn new(text: &'t str) -> Self {
        let breaks = text.bytes().enumerate().filter(|&(_, byte)| byte == b'\n');
        let starts = std::iter::once(0)
            .chain(breaks.map(|(offset, _)| offset + 1))
            .collect();
        Self {
            text,
            starts,
            faults: Sink::default(),
        }
    }

    /// Parses the text and passes its root to `read`; records the faults of syntax and size.
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
            .map_err(|first| self.syntax(first))
            .ok()?;
        let section = Section {
            table: root.get_ref(),
            prefix: String::new(),
            line: 1,
        };
        Some(read(self, &section))
    }

    /// Records the faults of syntax, all of them when the text is short. The table is not read,
    /// because a repaired one would add faults that vanish with the syntax error.
    fn syntax(&mut self, first: toml::de::Error) {
        let errors = if self.text.len() <= MAX_RECOVERED {
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
        line_at(&self.starts, offset)
    }

    /// Records a fault.
    pub fn fault(&mut self, key: impl Into<String>, line: usize, kind: FaultKind) {
        self.faults.push(key, line, kind);
    }

    /// Records each key of the section that is not in `known`.
    pub fn only(&mut self, section: &Section<'_>, known: &[&str]) {
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

    /// Required float; an integer is taken as well.
    pub fn float(&mut self, section: &Section<'_>, key: &str) -> Option<Located<f64>> {
        self.required(section, key, "a number", float_of)
    }

    /// Required boolean.
    pub fn boolean(&mut self, section: &Section<'_>, key: &str) -> Option<Located<bool>> {
        self.required(section, key, "true or false", boolean_of)
    }

    /// Integer that may be absent.
    pub fn maybe_integer(&mut self, section: &Section<'_>, key: &str) -> Option<Located<i64>> {
        self.field(section, key, "an integer below 2^63", integer_of)
    }

    /// Boolean that may be absent.
    pub fn maybe_boolean(&mut self, section: &Section<'_>, key: &str) -> Option<Located<bool>> {
        self.field(section, key, "true or false", boolean_of)
    }

    /// Required list of strings.
    pub fn strings(
        &mut self,
        section: &Section<'_>,
        key: &str,
    ) -> Option<Located<Vec<Located<String>>>> {
        let starts = Rc::clone(&self.starts);
        self.required(section, key, "a list of strings", |value| {
            let entry = |entry: &toml::Spanned<DeValue<'_>>| {
                let line = line_at(&starts, entry.span().start);
                Some(Located {
                    value: text_of(entry.get_ref())?,
                    line,
                })
            };
            value.as_array()?.iter().map(entry).collect()
        })
    }

    /// Tables of a list; an absent list is recorded as missing when `needed`.
    pub fn tables<'s>(
        &mut self,
        section: &Section<'s>,
        key: &str,
        needed: Option<&'static str>,
    ) -> Vec<Section<'s>> {
        let path = format!("{}{key}", section.prefix);
        let Some(value) = section.table.get(key) else {
            if let Some(expected) = needed {
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
        if let Some(entry) = needed.filter(|_| entries.is_empty()) {
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
