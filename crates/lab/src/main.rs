//! Experiments with the decision crates of monsoonrouter, one module and command each.
//!
//! Each experiment but `capacity` runs the product's state machines on virtual time and prints the
//! same tables whenever it gets the same seed. `capacity` measures the machine that it runs on.

mod capacity;
mod claim_simulation;
mod claims;
mod cluster;
mod cold;
mod fixed_slots;
mod fleet;
mod imbalance;
mod options;
mod overload;
#[cfg(test)]
mod tests;

use gumdrop::Options as _;
use options::{Command, Options};

fn main() {
    let options = Options::parse_args_default_or_exit();
    let report = match options.command {
        Some(Command::Imbalance(run)) => imbalance::run(run.seed),
        Some(Command::Claims(run)) => claims::run(run.seed),
        Some(Command::Cold(run)) => cold::run(run.seed),
        Some(Command::Overload(run)) => overload::run(run.seed),
        Some(Command::Fleet(run)) => fleet::run_fleet(run.seed),
        Some(Command::Centre(run)) => fleet::run_centre(run.seed),
        Some(Command::Capacity(options)) => capacity::run(&options),
        None => format!(
            "{}\n{}\n",
            Options::usage(),
            Options::command_list().unwrap_or_default()
        ),
    };
    print!("{report}");
}
