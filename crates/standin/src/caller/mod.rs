//! Stand-in for callers: HTTP/3 flows, requests and uploads, with a check of every response.
//!
//! - A board or catalogue flow is complete when its `tick` lines have no gap and end with the
//!   `end` line, or when the caller itself ends it. Any other end is a broken flow.
//! - A request is answered when the response names its own key or the digest of its own upload.
//! - A connection closed with [`DATA_CENTRE_EVACUATED`] gives its flows and requests up.
//! - A request that is refused as "not run" is repeated with the same key up to [`MAX_RETRIES`] times.
//! - After GOAWAY new requests use a new connection while open streams go on.

mod exchange;
mod pool;
mod report;
mod request;
mod run;
mod settings;
mod stream;

pub use exchange::{ATTEMPT_TIMEOUT, DATA_CENTRE_EVACUATED};
pub use pool::CONNECT_TIMEOUT;
pub use report::{Entry, Outcome, Report, Totals};
pub use request::{MAX_RETRIES, RETRY_DELAY};
pub use run::{FINISH_TIMEOUT, MAX_IN_FLIGHT, MAX_REQUESTS, run};
pub use settings::{ClassSet, Settings};
