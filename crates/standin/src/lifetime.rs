//! Lifetime of a stand-in process: its ready line and the signals that stop it.

use std::io::{self, Write};
use std::time::Duration;

use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::error::Error;

/// Prints the line `ready key=value ...` that scripts and tests wait for.
///
/// # Errors
/// Returns an error when standard output is closed.
pub fn announce_ready(values: &[(&str, String)]) -> Result<(), Error> {
    let fields: Vec<String> = values.iter().map(|(k, v)| format!("{k}={v}")).collect();
    let mut out = io::stdout().lock();
    writeln!(out, "ready {}", fields.join(" "))
        .and_then(|()| out.flush())
        .map_err(Error::socket("write the ready line"))
}

/// Signals that stop a process. They are handled from [`ShutdownSignals::install`] on, so a script
/// may send SIGTERM as soon as it reads the ready line.
#[derive(Debug)]
pub struct ShutdownSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl ShutdownSignals {
    /// Installs the signal handlers.
    ///
    /// # Errors
    /// Returns an error when the operating system refuses a handler.
    pub fn install() -> Result<Self, Error> {
        let watch = |kind| signal(kind).map_err(Error::socket("install a signal handler"));
        Ok(Self {
            terminate: watch(SignalKind::terminate())?,
            interrupt: watch(SignalKind::interrupt())?,
        })
    }

    /// Waits for SIGTERM, SIGINT or the end of `limit`. The limit stops processes that a failed
    /// script left running.
    pub async fn wait(mut self, limit: Duration) {
        tokio::select! {
            _ = self.terminate.recv() => log::info!("standin: stopping after SIGTERM"),
            _ = self.interrupt.recv() => log::info!("standin: stopping after SIGINT"),
            () = tokio::time::sleep(limit) => log::warn!("standin: stopping after --max-seconds"),
        }
    }
}
