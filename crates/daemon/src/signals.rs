//! Signals that ask the process to stop.

use tokio::signal::unix::{Signal, SignalKind, signal};

/// SIGTERM and SIGINT.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    /// Starts listening.
    ///
    /// # Panics
    /// Panics when the operating system refuses signal handlers, which leaves no way to stop well.
    pub fn new() -> Self {
        Self {
            terminate: signal(SignalKind::terminate()).expect("SIGTERM can be handled"),
            interrupt: signal(SignalKind::interrupt()).expect("SIGINT can be handled"),
        }
    }

    /// Waits for the next request to stop.
    pub async fn stop_requested(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
