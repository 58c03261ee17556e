//! Simulated service: agents with their targets, callers, and the lag between them.
//!
//! Requests, admission and the choice of the place are the product's own code. The network has a
//! fixed delay. Load reports have the age that announcements give them.

mod admission;
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
    pub service_time: Duration,
    pub deadline: Duration,
    /// Share of the offered busy time.
    pub load_share: f64,
}

/// Cold episode of one target.
#[derive(Clone, Copy, Debug)]
pub struct ColdEpisode {
    pub node: usize,
    pub starts_at: Instant,
    pub ends_at: Instant,
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
    pub cold_episodes: Vec<ColdEpisode>,
    /// Factor on the service time of a cold target.
    pub cold_slowdown: f64,
    /// Lag of the health endpoints.
    pub report_lag: Duration,
    /// Measurement starts here: all targets begin cold.
    pub measured_from: Instant,
    pub end: Instant,
}

impl Setup {
    /// Seven warm targets of speed 1 to 4 with 4 slots each, as in the service `prodejna`.
    pub fn new(seed: u64, policy: Policy, load: f64) -> Self {
        let class = |name, weight, millis, deadline, load_share| Class {
            name,
            weight,
            service_time: Duration::from_millis(millis),
            deadline: Duration::from_millis(deadline),
            load_share,
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
            cold_episodes: Vec::new(),
            cold_slowdown: 2.0,
            report_lag: Duration::from_secs(1),
            measured_from: Instant::from_secs(60),
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
        self.load * self.capacity() * class.load_share / class.service_time.as_secs_f64()
    }

    fn parameters(&self) -> TargetParameters {
        let class = |class: &Class| ClassParameters {
            weight: class.weight,
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
        let covers = |episode: &ColdEpisode| {
            episode.node == node && episode.starts_at <= at && at < episode.ends_at
        };
        self.cold_episodes.iter().any(covers)
    }
}
