//! Simulated object API of the platform (the store), with controls that inject faults.
//!
//! | request | effect |
//! |---|---|
//! | `GET /objects/NAME` | the object, its version in `ETag` |
//! | `GET /objects/NAME?watch=N` | waits for a version above N; 304 after 30 s |
//! | `PUT /objects/NAME` | conditional write (`If-Match: "N"` or `If-None-Match: *`) |
//! | `POST /faults` | replaces the injected faults |
//! | `GET /calls` | counts of reads, writes and pending watches |
//!
//! While the store is down, it closes the connections of object requests and pending watches
//! without a reply.

mod objects;
mod requests;
mod service;

pub use objects::{MAX_NAME_BYTES, MAX_OBJECTS, MAX_VALUE_BYTES, Objects, Value, WriteError};
pub use requests::WATCH_TIMEOUT;
pub use service::{Calls, Faults, Platform};
