//! Faults of a document, each with its place and its remedy.

use std::fmt;

use derive_more::{Display, Error};

/// Most faults reported for one text; further ones are counted in a last entry, because a longer
/// list is not read and a 1 MB text could produce tens of thousands.
pub const MAX_FAULTS: usize = 200;

/// One fault of a text.
#[derive(Clone, Debug, Display, Error, PartialEq)]
#[display("line {line}: {key}: {kind}")]
pub struct Fault {
    /// Path of the key, such as `service[0].class[1].path`.
    pub key: String,
    /// Line of the text, counted from 1.
    pub line: usize,
    /// What is wrong.
    #[error(not(source))]
    pub kind: FaultKind,
}

/// Kind of a fault. The message names the remedy.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum FaultKind {
    /// Text is not TOML.
    #[display("not valid TOML ({message}); correct the syntax on this line")]
    Syntax {
        /// Message of the TOML parser.
        message: String,
    },
    /// Text exceeds the size limit of a store object.
    #[display("text has {bytes} bytes; shorten it to at most {limit}")]
    TooLarge {
        /// Size of the text.
        bytes: usize,
        /// Largest permitted size.
        limit: usize,
    },
    /// Required key is absent.
    #[display("required key is missing; add {expected}")]
    Missing {
        /// Expected kind of value.
        expected: &'static str,
    },
    /// Key has no meaning here.
    #[display("unknown key; remove it or use one of {known}")]
    UnknownKey {
        /// Keys that are known here.
        known: String,
    },
    /// Value has another type.
    #[display("value is {found}; write {expected}")]
    WrongType {
        /// Expected type.
        expected: &'static str,
        /// Present type.
        found: &'static str,
    },
    /// Number lies outside its range.
    #[display("{value} is out of range; use {range}")]
    OutOfRange {
        /// Present value.
        value: String,
        /// Permitted range.
        range: String,
    },
    /// List has no entry.
    #[display("list is empty; add at least one {entry}")]
    EmptyList {
        /// What the list holds.
        entry: &'static str,
    },
    /// List has too many entries.
    #[display("list has {count} entries; keep at most {limit}")]
    TooMany {
        /// Present number of entries.
        count: usize,
        /// Largest permitted number.
        limit: usize,
    },
    /// Text does not have the required form.
    #[display("\"{value}\" is not {expected}")]
    Malformed {
        /// Present value.
        value: String,
        /// Required form, with an example.
        expected: &'static str,
    },
    /// Value is used twice.
    #[display("{value} is used already on line {first}; choose another {what}")]
    Duplicate {
        /// Kind of value.
        what: &'static str,
        /// Repeated value.
        value: String,
        /// Line of the first use.
        first: usize,
    },
    /// Class without a stream has no deadline.
    #[display("class has no deadline; add deadline_ms, or stream = true for an open stream")]
    NoDeadline,
    /// Stream class has a deadline.
    #[display("a stream has no deadline; remove deadline_ms or stream = true")]
    StreamDeadline,
    /// Tenant differs from the document in force.
    #[display("the document in force belongs to tenant \"{previous}\"; keep that tenant")]
    TenantChanged {
        /// Tenant in force.
        previous: String,
    },
    /// Number belongs to another name.
    #[display("number {number} belongs to \"{previous}\"; give \"{name}\" a number never used")]
    NumberReused {
        /// Number used twice.
        number: u16,
        /// Name that the number belongs to.
        previous: String,
        /// Name that claims the number now.
        name: String,
    },
    /// Name has another number than in force.
    #[display("\"{name}\" has number {previous}; keep it, flows in progress carry it")]
    NumberChanged {
        /// Name.
        name: String,
        /// Number in force.
        previous: u16,
    },
    /// Number of the document in force is absent.
    #[display("number {number} of \"{name}\" is dropped; list both under [[retired_{list}]]")]
    NumberDropped {
        /// List that the number belongs to.
        list: &'static str,
        /// Dropped number.
        number: u16,
        /// Its name.
        name: String,
    },
    /// Further faults were found.
    #[display("{count} more faults are not shown; correct these first")]
    More {
        /// Number of faults left out.
        count: usize,
    },
}

/// All faults of a text, in the order of their lines.
#[derive(Clone, Debug, PartialEq, Error)]
pub struct Faults(#[error(not(source))] Vec<Fault>);

impl Faults {
    /// List of at least one fault.
    pub(crate) fn new(faults: Vec<Fault>) -> Self {
        debug_assert!(!faults.is_empty(), "a list of faults is never empty");
        Self(faults)
    }

    /// The faults; never empty.
    pub fn list(&self) -> &[Fault] {
        &self.0
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, fault) in self.0.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}
