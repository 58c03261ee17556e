//! Execution of requests at an agent: where a request runs, when it is retried and what its caller
//! is answered.
//!
//! - [`Execution`] is the state machine of one request at one agent.
//! - [`pick_destination`] chooses between the agent's local target and its peers, the other agents
//!   of the service.
//! - [`PeerTracker`] estimates the load of the peers between two reports.
//! - [`RetryBudget`] limits the retries of one agent.
//! - [`claim`] keeps a non-idempotent request from running twice when its caller sends it again.
//!
//! The crate performs no I/O: time, random numbers and the results of I/O are arguments.

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
