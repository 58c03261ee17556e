//! Command line.

use gumdrop::Options as Gumdrop;

/// Measurements of monsoonrouter's decision crates.
#[derive(Clone, Debug, Gumdrop)]
pub struct Options {
    /// print this help
    pub help: bool,
    /// experiment
    #[options(command)]
    pub command: Option<Command>,
}

/// Experiments.
#[derive(Clone, Debug, Gumdrop)]
pub enum Command {
    /// targets of unequal speed at 70 % of their capacity
    Imbalance(Run),
    /// several targets turn cold without warning while the others are busy
    Cold(Run),
    /// claims of idempotency keys under faults
    Claims(Run),
    /// goodput at 1, 2 and 5 times the capacity
    Overload(Run),
    /// processor time and memory of the parts against their size
    Capacity(Plain),
}

/// Experiment without options.
#[derive(Clone, Copy, Debug, Gumdrop)]
pub struct Plain {
    /// print this help
    pub help: bool,
}

/// Options of one experiment.
#[derive(Clone, Copy, Debug, Gumdrop)]
pub struct Run {
    /// print this help
    pub help: bool,
    /// seed of all random numbers
    #[options(default = "1")]
    pub seed: u64,
}
