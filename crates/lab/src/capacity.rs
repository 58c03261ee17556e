//! Experiment: processor time and memory of the product's parts by the size of the system.
//!
//! Unlike the other experiments this one reads the clock and the resident memory of the process, so
//! its figures differ between runs. A line is fitted to each quantity at five sizes. A time is the
//! shortest of several repetitions, because other processes share the machine. Memory is the growth
//! of the resident set by several copies that stay alive; a counting allocator would need unsafe
//! code. A child process measures it, because memory freed earlier would be reused without growth.

mod agent_tables;
mod control_messages;
mod documents;
mod fit;
mod probe;
mod routing_tables;
mod status;
#[cfg(test)]
mod tests;

use fit::Series;

use crate::options::Capacity;

/// Measures all parts and returns a table with a row for each quantity. With `memory_of`, returns
/// only the memory of that part in bytes.
pub fn run(options: &Capacity) -> String {
    match &options.memory_of {
        Some(part) => format!("{}\n", memory_of(part, options.size)),
        None => results_table(),
    }
}

fn results_table() -> String {
    let parts = [
        documents::measure(),
        routing_tables::measure(),
        control_messages::measure(),
        agent_tables::measure(),
        status::measure(),
    ];
    let rows: Vec<_> = parts.iter().flatten().map(Series::row).collect();
    format!("{}\n{}\n", fit::TABLE_HEAD, rows.join("\n"))
}

/// Memory of one part in bytes, measured in this process; not a number for an unknown part.
fn memory_of(part: &str, size: usize) -> f64 {
    match part {
        documents::PART => documents::bytes(size),
        routing_tables::PART_TARGETS => routing_tables::bytes(routing_tables::SERVICES, size),
        routing_tables::PART_SERVICES => routing_tables::bytes(size, routing_tables::TARGETS),
        agent_tables::PART_FLOWS => agent_tables::flow_bytes(size),
        agent_tables::PART_CLAIMS => agent_tables::claim_bytes(size),
        _ => f64::NAN,
    }
}
