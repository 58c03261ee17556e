//! Command line of `monsoon-lab`. The comments of the options are printed as the help text.

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
    /// broken flows over planned changes and over a balancer's crash
    Fleet(Run),
    /// service while a data centre leaves and returns
    Centre(Run),
    /// processor time and memory of the parts against their size
    Capacity(Capacity),
}

/// Options of the measurement of processor time and memory.
#[derive(Clone, Debug, Gumdrop)]
pub struct Capacity {
    /// print this help
    pub help: bool,
    /// print only the memory of this part in bytes
    #[options(no_short)]
    pub memory_of: Option<String>,
    /// size of the part
    #[options(no_short, default = "1000")]
    pub size: usize,
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
