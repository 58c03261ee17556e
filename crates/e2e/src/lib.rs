//! Support for the tests with real processes: starts platform store, fabric, balancers, agents,
//! targets and callers on 127.0.0.1, and reads what they recorded.
//!
//! All failures are panics that name the step, because the only users are tests.
#![expect(
    clippy::missing_panics_doc,
    reason = "every failure of a test's support is a panic with its cause"
)]

pub mod binaries;
pub mod caller;
pub mod cluster;
pub mod daemon;
pub mod holds;
pub mod http;
pub mod probe;
mod settings;
pub mod temp_dir;
pub mod wait;

use std::time::Duration;

/// Longest wait for readiness, for an expected state and for the end of a process.
pub const TIMEOUT: Duration = Duration::from_secs(30);

/// Example document that the tests put in force.
pub const DOCUMENT: &str = include_str!("../../../examples/karavanex.toml");

/// Service that has targets.
pub const SERVICE: &str = "prodejna";

/// Service address that callers of [`SERVICE`] send to.
pub const SERVICE_ADDRESS: &str = "192.0.2.1:443";

/// Address of the service `dilna`, which has no targets in these tests.
pub const IDLE_ADDRESS: &str = "192.0.2.3:443";

/// Data centres of the document.
pub const DATA_CENTRES: [&str; 3] = ["brno-a", "brno-b", "olomouc"];
