//! Support for tests that run the real programs as processes. It starts the platform's store, the
//! fabric, balancers, agents, targets and callers on 127.0.0.1, and reads what they recorded.
//!
//! Only tests use this crate, so each failure is a panic that names the step.
#![expect(
    clippy::missing_panics_doc,
    reason = "every failure panics with its cause, because only tests call this crate"
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

/// Longest wait until a process is ready, reaches an expected state or ends.
pub const TIMEOUT: Duration = Duration::from_secs(30);

/// Example document that each cluster has in force.
pub const DOCUMENT: &str = include_str!("../../../examples/karavanex.toml");

/// Service that the targets serve.
pub const SERVICE: &str = "prodejna";

/// Service address of [`SERVICE`].
pub const SERVICE_ADDRESS: &str = "192.0.2.1:443";

/// Service address of `dilna`, which has no targets in these tests.
pub const IDLE_ADDRESS: &str = "192.0.2.3:443";

/// Data centres of the document.
pub const DATA_CENTRES: [&str; 3] = ["brno-a", "brno-b", "olomouc"];
