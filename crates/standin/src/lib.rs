//! Small stand-ins for the systems around monsoonrouter: the platform store, the fabric, targets
//! and callers.
//!
//! Every stand-in listens on 127.0.0.1 only, runs in a current-thread runtime and can be started
//! inside a test as well as through the `monsoon-standin` binary. Dropping the value that a
//! `start` function returns ends the stand-in.

pub mod caller;
pub mod certs;
pub mod error;
pub mod fabric;
pub mod lifetime;
pub mod platform;
pub mod process;
pub mod target;
pub mod web;
