//! Simulated target: a plain HTTP/1.1 service with slots, a cold start and a drain.
//!
//! | request | effect |
//! |---|---|
//! | `GET /board`, `GET /catalogue` | `tick N` lines from 0, then `end N` after a drain |
//! | `POST /holds`, `POST /checks` | one execution of `idempotency-key`, recorded when it starts |
//! | `PUT` or `POST` below `/uploads/`, `/photos/`, `/reports/`, `/sheets/` | length and SHA-256 of the body |
//! | `GET /health` | state, busy slots and number of slots, optionally delayed |
//! | `POST /control/drain`, `/control/cold`, `/control/ready` | changes the state, for the time in `{"seconds": n}` |
//! | `GET /control/record` | what ran here |
//!
//! A response with `x-outcome: not-run` means that the request had no effect. A cold target carries
//! `cold_share` of its slots in average concurrency. A request above that is an overrun: the target
//! refuses it with 503, closes the connections of all requests in flight without a reply, and
//! restarts its cold start.

mod capacity;
mod control;
mod record;
mod requests;
mod service;
mod stream;

pub use capacity::{Capacity, Phase};
pub use record::{AfterDrain, MAX_EXECUTIONS, Record, Upload};
pub use requests::{MAX_QUEUED_PER_SLOT, MAX_UPLOAD_BYTES, SERVICE_TIME};
pub use service::{Settings, Target};
