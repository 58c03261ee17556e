//! Signals that stop the process.

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Handlers of SIGTERM and SIGINT.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    /// Installs the handlers.
    ///
    /// # Panics
    /// Panics when the operating system refuses the handlers, because the process could then not be
    /// stopped gracefully.
    pub fn new() -> Self {
        Self {
            terminate: signal(SignalKind::terminate()).expect("SIGTERM can be handled"),
            interrupt: signal(SignalKind::interrupt()).expect("SIGINT can be handled"),
        }
    }

    /// Waits for the next of the signals.
    pub async fn stop_requested(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
