//! Configuration of one environment: the document, the set of evacuated data centres, and the
//! versions of both that are in force.
//!
//! [`Document::parse`] reads a text and reports every fault at once, each with its key, its line
//! and a remedy. [`ConfigState`] keeps what is in force and never returns to an older version. The
//! crate performs no I/O.

mod check;
mod class;
mod collector;
mod diff;
mod document;
mod evacuations;
mod fault;
mod raw;
mod read;
mod rule;
mod service;
mod state;
mod successor;
mod unique;
mod value;

pub use diff::{Change, diff};
pub use document::{Class, DataCentre, Document, MAX_TEXT, Service};
pub use evacuations::Evacuations;
pub use fault::{Fault, FaultKind, Faults, MAX_FAULTS};
pub use raw::RawDocument;
pub use state::{ConfigState, Counters, OfferResult};
