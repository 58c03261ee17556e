//! Lifetime of a stand-in process: the ready line and the events that end it.

use std::io::{self, Write};
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};

use crate::error::Error;

/// Prints the line that scripts wait for: `ready key=value ...`.
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

/// Waits for SIGTERM, SIGINT or the end of `limit`. The limit ends processes that a failed script
/// left behind.
///
/// # Errors
/// Returns an error when the signal handlers cannot be installed.
pub async fn wait_for_end(limit: Duration) -> Result<(), Error> {
    let mut term = signal(SignalKind::terminate()).map_err(Error::socket("handle SIGTERM"))?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(Error::socket("handle SIGINT"))?;
    tokio::select! {
        _ = term.recv() => log::info!("standin: ending after SIGTERM"),
        _ = interrupt.recv() => log::info!("standin: ending after SIGINT"),
        () = tokio::time::sleep(limit) => log::warn!("standin: ending after --max-seconds"),
    }
    Ok(())
}
