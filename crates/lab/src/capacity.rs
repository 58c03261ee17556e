//! Processor time and memory of the product's parts against the size of the system.
//!
//! Unlike the other experiments this one reads the clock and the process's resident memory, so the
//! figures differ between runs. Each line is fitted to five sizes. Times are medians of several
//! repetitions, because other processes share the machine. Memory is the growth of the resident set
//! by several copies that stay alive; a counting allocator would need unsafe code.

mod documents;
mod fit;
mod memories;
mod messages;
mod probe;
mod status;
mod tables;
#[cfg(test)]
mod tests;

use fit::Series;

/// Measures all parts and returns one row for each.
pub fn run() -> String {
    let parts = [
        documents::measure(),
        tables::measure(),
        messages::measure(),
        memories::measure(),
        status::measure(),
    ];
    let rows: Vec<_> = parts.iter().flatten().map(Series::row).collect();
    format!("{}\n{}\n", fit::HEAD, rows.join("\n"))
}
