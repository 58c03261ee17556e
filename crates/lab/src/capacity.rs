//! Processor time and memory of the product's parts against the size of the system.
//!
//! Unlike the other experiments this one reads the clock and the process's resident memory, so the
//! figures differ between runs. Each line is fitted to five sizes. A time is the least of several
//! repetitions, because other processes share the machine. Memory is the growth of the resident set
//! by several copies that stay alive; a counting allocator would need unsafe code. Each memory is
//! measured in a child process, because memory freed earlier would be used again without growth.

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

/// Measures all parts and returns one row for each, or the memory of one part.
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

/// Bytes of one part, measured in this process.
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
