//! Clock and resident memory of this process.

use std::fs;
use std::time::Instant;

/// Repetitions of a timed step; the median counts.
const REPEATS: usize = 11;

/// Median time of `step` in microseconds; `prepare` is not timed.
pub fn micros<T, R>(mut prepare: impl FnMut() -> T, mut step: impl FnMut(T) -> R) -> f64 {
    let mut times: Vec<_> = (0..REPEATS)
        .map(|_| {
            let input = prepare();
            let start = Instant::now();
            let result = step(input);
            let time = start.elapsed();
            drop(result);
            time.as_secs_f64() * 1e6
        })
        .collect();
    times.sort_by(f64::total_cmp);
    times[REPEATS / 2]
}

/// Growth of the resident memory in bytes by one of `copies` values.
///
/// The values are returned and must stay alive until the last measurement: freed memory would be
/// used again without growth.
pub fn bytes<T>(copies: usize, mut build: impl FnMut() -> T) -> (f64, Vec<T>) {
    let before = resident();
    let values = (0..copies).map(|_| build()).collect();
    let growth = resident().saturating_sub(before);
    (growth as f64 / copies as f64, values)
}

/// Resident memory in bytes, zero where the system does not tell.
fn resident() -> u64 {
    let text = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let digits = line.and_then(|line| line.split_whitespace().next());
    digits
        .and_then(|digits| digits.parse::<u64>().ok())
        .unwrap_or_default()
        * 1_024
}
