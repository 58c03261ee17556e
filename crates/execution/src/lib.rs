//! Execution of one request: where it runs, when it is retried and what its caller is told.
//!
//! - [`Execution`] is the state machine of one request at one agent.
//! - [`pick_destination`] chooses between the local target and the peers.
//! - [`RetryBudget`] bounds the retries of one agent.
//! - [`claim`] keeps non-idempotent requests from running twice when a caller sends one again.
//!
//! Everything is sans-I/O: time, random numbers and the results of I/O are arguments.

mod budget;
pub mod claim;
mod destination;
mod execution;
mod peer_tracker;
mod request;

pub use budget::{RETRY_BURST, RETRY_RATIO, RetryBudget};
pub use destination::{Destination, PeerLoad, pick_destination};
pub use execution::{ATTEMPTS_MAX, Execution, RUN_TIMEOUT};
pub use peer_tracker::{ANNOUNCED_LIMIT, PEERS_MAX, PeerTracker, REJECTION_PAUSE, SENDS_MAX};
pub use request::{Action, Event, Reply, Request};
