//! Configuration of one environment: the document, the set of data centres taken out, and the
//! state that decides which of two texts is newer.
//!
//! [`Document::parse`] reads a text and reports every fault at once, each with its key, its line
//! and a remedy. [`ConfigState`] holds what is in force and never goes back to an older version.
//! Nothing here performs I/O.

mod check;
mod class;
mod diff;
mod document;
mod evacuations;
mod fault;
mod list;
mod raw;
mod read;
mod rule;
mod service;
mod sink;
mod state;
mod successor;
mod value;

pub use diff::{Change, diff};
pub use document::{Class, DataCentre, Document, MAX_TEXT, Service};
pub use evacuations::Evacuations;
pub use fault::{Fault, FaultKind, Faults, MAX_FAULTS};
pub use raw::RawDocument;
pub use state::{ConfigState, Counters, OfferResult};
