//! Stand-in for callers: HTTP/3 flows, requests and uploads, with a check of every response.
//!
//! - A board or catalogue flow is complete when its `tick` lines have no gap and end with the
//!   `end` line, or when the caller itself ends it. Any other end is a broken flow.
//! - A request is answered when the response names its own key or the digest of its own upload.
//! - A connection closed with [`DATA_CENTRE_OUT`] gives its flows and requests up.
//! - A request that is refused as "not run" is repeated with the same key up to [`RETRIES`] times.
//! - After GOAWAY new requests use a new connection while open streams go on.

mod board;
mod exchange;
mod ledger;
mod link;
mod request;
mod run;
mod settings;

pub use exchange::{DATA_CENTRE_OUT, PATIENCE};
pub use ledger::{Entry, Ledger, Outcome, Totals};
pub use link::CONNECT_PATIENCE;
pub use request::{RETRIES, RETRY_DELAY};
pub use run::{END_GRACE, MAX_IN_FLIGHT, MAX_REQUESTS, run};
pub use settings::{ClassSet, Settings};
