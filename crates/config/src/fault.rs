//! Faults of a text, each with its position and remedy.

use std::fmt;

use derive_more::{Display, Error};

/// Most faults reported for one text; a last entry counts the others. Nobody reads a longer list,
/// and a text of 1 MB could produce tens of thousands.
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

/// Kind of a fault. Each message ends with the remedy.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum FaultKind {
    /// The text isn't valid TOML.
    #[display("not valid TOML ({message}); correct the syntax on this line")]
    Syntax {
        /// Message of the TOML parser.
        message: String,
    },
    /// The text exceeds the size limit.
    #[display("text has {bytes} bytes; shorten it to at most {limit}")]
    TooLarge {
        /// Size of the text.
        bytes: usize,
        /// Largest permitted size.
        limit: usize,
    },
    /// A required key is absent.
    #[display("required key is missing; add {expected}")]
    Missing {
        /// Expected kind of value.
        expected: &'static str,
    },
    /// The key has no meaning here.
    #[display("unknown key; remove it or use one of {known}")]
    UnknownKey {
        /// Keys that are known here.
        known: String,
    },
    /// The value has another type than expected.
    #[display("value is {found}; write {expected}")]
    WrongType {
        /// Expected type.
        expected: &'static str,
        /// Present type.
        found: &'static str,
    },
    /// The number is outside its range.
    #[display("{value} is out of range; use {range}")]
    OutOfRange {
        /// Present value.
        value: String,
        /// Permitted range.
        range: String,
    },
    /// The list has no entry.
    #[display("list is empty; add at least one {entry}")]
    EmptyList {
        /// Kind of entry that the list needs.
        entry: &'static str,
    },
    /// The list has too many entries.
    #[display("list has {count} entries; keep at most {limit}")]
    TooMany {
        /// Present number of entries.
        count: usize,
        /// Largest permitted number.
        limit: usize,
    },
    /// The value doesn't have the required form.
    #[display("\"{value}\" is not {expected}")]
    Malformed {
        /// Present value.
        value: String,
        /// Required form, with an example.
        expected: &'static str,
    },
    /// A value that has to be unique is used twice.
    #[display("{value} is already used on line {first}; choose another {what}")]
    Duplicate {
        /// Kind of value.
        what: &'static str,
        /// Repeated value.
        value: String,
        /// Line of the first use.
        first: usize,
    },
    /// A class that isn't a stream has no deadline.
    #[display("required key is missing; add an integer, or stream = true if requests are streams")]
    NoDeadline,
    /// A class of streams has a deadline.
    #[display("a stream can't have a deadline; remove deadline_ms or stream = true")]
    StreamDeadline,
    /// The tenant differs from that of the document in force.
    #[display("the document in force belongs to tenant \"{previous}\"; keep that tenant")]
    TenantChanged {
        /// Tenant in force.
        previous: String,
    },
    /// The number belongs to another name.
    #[display(
        "number {number} belongs to \"{previous}\"; give \"{name}\" a number that was never used"
    )]
    NumberReused {
        /// Number used twice.
        number: u16,
        /// Name that the number belongs to.
        previous: String,
        /// Name that has the number in the new document.
        name: String,
    },
    /// The name has another number in the document in force.
    #[display("\"{name}\" has number {previous}; keep it, because open flows use it")]
    NumberChanged {
        /// Name whose number differs.
        name: String,
        /// Number in the document in force.
        previous: u16,
    },
    /// A number of the document in force is missing.
    #[display("number {number} of \"{name}\" is missing; list both under [[retired_{list}]]")]
    NumberMissing {
        /// List that the number belongs to.
        list: &'static str,
        /// Missing number.
        number: u16,
        /// Name that the number belongs to.
        name: String,
    },
    /// More faults were found than are reported.
    #[display("{count} more faults are not shown; correct these first")]
    More {
        /// Number of faults that aren't reported.
        count: usize,
    },
}

/// All faults of a text, in the order of their lines.
#[derive(Clone, Debug, PartialEq, Error)]
pub struct Faults(#[error(not(source))] Vec<Fault>);

impl Faults {
    /// Wraps a list of at least one fault.
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
