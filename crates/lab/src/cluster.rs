//! Simulated service: agents with their targets, callers, and the lag between them.
//!
//! Requests, admission and the choice of the place are the product's own code. The network has a
//! fixed delay. Load reports have the age that announcements give them.

mod control;
mod node;
mod result;
mod run;

use monsoon_admission::{ClassParameters, TargetParameters};
use monsoon_model::{Duration, Instant};

pub use result::Results;
pub use run::Cluster;

/// How requests reach targets, and what admits them there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Flows stay at their agent, which picks a place per request; adaptive admission.
    Ours,
    /// Each request goes to a random target with fixed slots.
    Random,
    /// Each request goes to the less loaded of two random targets by reported load; fixed slots.
    TwoChoices,
    /// As ours, with fixed slots for admission.
    FixedSlots,
}

/// All policies, ours first.
pub const POLICIES: [Policy; 4] = [
    Policy::Ours,
    Policy::Random,
    Policy::TwoChoices,
    Policy::FixedSlots,
];

/// One class of requests.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    pub name: &'static str,
    pub weight: u32,
    /// Mean service time at speed 1.
    pub service: Duration,
    pub deadline: Duration,
    /// Share of the offered busy time.
    pub share: f64,
}

/// Cold episode of one target.
#[derive(Clone, Copy, Debug)]
pub struct Episode {
    pub node: usize,
    pub from: Instant,
    pub to: Instant,
}

/// One simulated run.
#[derive(Clone, Debug)]
pub struct Setup {
    pub seed: u64,
    pub policy: Policy,
    /// Speed of each target.
    pub speeds: Vec<f64>,
    pub slots: u32,
    pub cold_share: f64,
    pub classes: Vec<Class>,
    /// Offered busy time over the summed capacity.
    pub load: f64,
    pub cold: Vec<Episode>,
    /// Factor on the service time of a cold target.
    pub slow: f64,
    /// Lag of the health endpoints.
    pub lag: Duration,
    /// Measurement starts here: all targets begin cold.
    pub warm_up: Instant,
    pub end: Instant,
}

impl Setup {
    /// Seven warm targets of speed 1 to 4 with 4 slots each, as in the service `prodejna`.
    pub fn new(seed: u64, policy: Policy, load: f64) -> Self {
        let class = |name, weight, millis, deadline, share| Class {
            name,
            weight,
            service: Duration::from_millis(millis),
            deadline: Duration::from_millis(deadline),
            share,
        };
        Self {
            seed,
            policy,
            speeds: vec![1.0, 1.5, 2.0, 2.5, 3.0, 3.5, 4.0],
            slots: 4,
            cold_share: 0.1,
            classes: vec![
                class("hold", 2, 40, 2_000, 0.5),
                class("upload", 1, 160, 4_000, 0.5),
            ],
            load,
            cold: Vec::new(),
            slow: 2.0,
            lag: Duration::from_secs(1),
            warm_up: Instant::from_secs(60),
            end: Instant::from_secs(180),
        }
    }

    /// Busy time per second that all warm targets can give, in speed-1 seconds.
    fn capacity(&self) -> f64 {
        self.speeds.iter().sum::<f64>() * f64::from(self.slots)
    }

    /// Requests a second of a class.
    fn rate(&self, class: usize) -> f64 {
        let class = self.classes[class];
        self.load * self.capacity() * class.share / class.service.as_secs_f64()
    }

    fn parameters(&self) -> TargetParameters {
        let class = |c: &Class| ClassParameters {
            weight: c.weight,
            stream: false,
        };
        TargetParameters {
            slots: self.slots,
            connections: 2_000,
            cold_share: self.cold_share,
            classes: self.classes.iter().map(class).collect(),
        }
    }

    fn is_cold(&self, node: usize, at: Instant) -> bool {
        let within = |e: &Episode| e.node == node && e.from <= at && at < e.to;
        self.cold.iter().any(within)
    }
}
