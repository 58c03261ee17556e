//! Measurements, one module per experiment. All but `capacity` run in virtual time and are the same
//! for each seed.

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
        Some(Command::Centre(run)) => fleet::run_evacuation(run.seed),
        Some(Command::Capacity(options)) => capacity::run(&options),
        None => format!(
            "{}\n{}\n",
            Options::usage(),
            Options::command_list().unwrap_or_default()
        ),
    };
    print!("{report}");
}
