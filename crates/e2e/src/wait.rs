//! Waiting for a state.

use std::fmt::Display;
use std::thread;
use std::time::{Duration, Instant};

use crate::TIMEOUT;

const POLL_TIME: Duration = Duration::from_millis(50);

/// Polls `read` until it gives a value; returns the value and the time that it took.
pub fn until<T>(what: &str, mut read: impl FnMut() -> Option<T>) -> (T, Duration) {
    until_ok(what, || read().ok_or("no value"))
}

/// As [`until`]; the last error of `read` is shown when the wait is too long.
pub fn until_ok<T, E: Display>(
    what: &str,
    mut read: impl FnMut() -> Result<T, E>,
) -> (T, Duration) {
    let started = Instant::now();
    loop {
        match read() {
            Ok(value) => return (value, started.elapsed()),
            Err(seen) if started.elapsed() >= TIMEOUT => {
                panic!("not within {TIMEOUT:?}: {what}; last seen: {seen}")
            }
            Err(_) => thread::sleep(POLL_TIME),
        }
    }
}

/// Pause between two steps of a scenario.
pub fn pause(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds));
}
