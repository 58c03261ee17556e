//! Stand-ins that simulate the systems around monsoonrouter in tests: the platform's store, the
//! network fabric, targets and callers.
//!
//! Every stand-in listens on a loopback address only and runs in a current-thread runtime. It is
//! started inside a test or by the `monsoon-standin` binary. Dropping the value that a `start`
//! function returns stops the stand-in.

pub mod caller;
pub mod certs;
pub mod error;
pub mod fabric;
pub mod lifetime;
pub mod platform;
pub mod process;
pub mod target;
pub mod web;
