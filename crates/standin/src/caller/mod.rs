//! Simulated callers: HTTP/3 flows, requests and uploads. Every response is checked.
//!
//! - A board or catalogue flow is complete when its `tick` lines have no gap and end with the
//!   `end` line, or when the caller itself ends it. Any other end is a broken flow.
//! - A request is answered when the response contains its own key or the digest of its own upload.
//! - When an agent closes a connection with [`DATA_CENTRE_EVACUATED`], the flows and requests on it
//!   count as given up, not as broken.
//! - A request that is refused as not run is retried with the same key up to [`MAX_RETRIES`] times.
//! - After GOAWAY, new requests use a new connection and open streams continue.

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
