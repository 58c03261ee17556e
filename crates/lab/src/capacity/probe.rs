//! Measurement of processor time by the clock, and of memory by the resident set of the process.

use std::process::Command;
use std::time::Instant;
use std::{env, fs};

/// Repetitions of a timed step. The shortest counts, as other processes disturb the rest.
const REPETITIONS: usize = 7;

/// Shortest time of `step` in microseconds.
pub fn least_micros<R>(mut step: impl FnMut() -> R) -> f64 {
    (0..REPETITIONS)
        .map(|_| {
            let start = Instant::now();
            let result = step();
            let time = start.elapsed();
            drop(result);
            time.as_secs_f64() * 1e6
        })
        .fold(f64::INFINITY, f64::min)
}

/// Growth of the resident memory by one value, in bytes, as the mean of `copies` values.
pub fn growth<T>(copies: usize, mut build: impl FnMut() -> T) -> f64 {
    // The first value leaves the freed memory of its construction for the others to reuse.
    let first = build();
    let before = resident_bytes();
    let values: Vec<_> = (0..copies).map(|_| build()).collect();
    let grown = resident_bytes().saturating_sub(before);
    drop((first, values));
    grown as f64 / copies as f64
}

/// Memory of a part in bytes, measured by a child process whose heap has no freed memory. Not a
/// number if the child prints none.
pub fn growth_in_child(part: &str, size: usize) -> f64 {
    let program = env::current_exe().expect("the running program has a path");
    let mut command = Command::new(program);
    command.args(["capacity", "--memory-of", part, "--size", &size.to_string()]);
    let output = command.output().expect("the program can be started again");
    let text = String::from_utf8_lossy(&output.stdout);
    text.trim().parse().unwrap_or(f64::NAN)
}

/// Resident memory in bytes, or zero if `/proc` does not tell it.
fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let digits = line.and_then(|line| line.split_whitespace().next());
    digits
        .and_then(|digits| digits.parse::<u64>().ok())
        .unwrap_or_default()
        * 1_024
}
