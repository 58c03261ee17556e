//! Waits for an expected state.

use std::fmt::Display;
use std::thread;
use std::time::{Duration, Instant};

use crate::TIMEOUT;

const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Polls `read` until it returns a value; returns the value and the time that it took. Panics with
/// `what` after [`TIMEOUT`].
pub fn until<T>(what: &str, mut read: impl FnMut() -> Option<T>) -> (T, Duration) {
    until_ok(what, || read().ok_or("no value"))
}

/// Like [`until`], but the panic also shows the last error of `read`.
pub fn until_ok<T, E: Display>(
    what: &str,
    mut read: impl FnMut() -> Result<T, E>,
) -> (T, Duration) {
    let started = Instant::now();
    loop {
        match read() {
            Ok(value) => return (value, started.elapsed()),
            Err(error) if started.elapsed() >= TIMEOUT => {
                panic!("not within {TIMEOUT:?}: {what}; last error: {error}")
            }
            Err(_) => thread::sleep(POLL_INTERVAL),
        }
    }
}

/// Sleeps between two steps of a scenario.
pub fn pause(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds));
}
