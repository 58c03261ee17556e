//! Simulation of one service on virtual time: callers, and agents with one target each.
//!
//! Request execution, admission and the choice of the target are the product's own code. The
//! network between agents has a fixed delay. Agents know each other's load only from periodic
//! announcements and from replies, so it is as old as these.

mod admission;
mod node;
mod result;
mod run;

use monsoon_admission::{ClassParameters, TargetParameters};
use monsoon_model::{Duration, Instant};

pub use result::Results;
pub use run::Cluster;

/// How requests reach targets, and how targets admit them. The tables print the variants' names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The product: flows stay at their agent, which chooses a target for each request; adaptive
    /// admission.
    Ours,
    /// Each request goes to a random target with fixed slots.
    Random,
    /// Each request goes to that of two random targets with the lower announced load; fixed slots.
    TwoChoices,
    /// Like [`Policy::Ours`], but with fixed slots for admission.
    FixedSlots,
}

/// All policies, in the order of the tables.
pub const POLICIES: [Policy; 4] = [
    Policy::Ours,
    Policy::Random,
    Policy::TwoChoices,
    Policy::FixedSlots,
];

/// Class of requests.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    pub name: &'static str,
    pub weight: u32,
    /// Mean service time at speed 1.
    pub service_time: Duration,
    pub deadline: Duration,
    /// Share of the offered load, as busy time.
    pub load_share: f64,
}

/// Period in which one target is cold, from `starts_at` until before `ends_at`.
#[derive(Clone, Copy, Debug)]
pub struct ColdEpisode {
    pub node: usize,
    pub starts_at: Instant,
    pub ends_at: Instant,
}

/// Parameters of one simulated run.
#[derive(Clone, Debug)]
pub struct Setup {
    pub seed: u64,
    pub policy: Policy,
    /// Speed of each target; at speed 2 a request takes half its service time.
    pub speeds: Vec<f64>,
    pub slots: u32,
    pub cold_share: f64,
    pub classes: Vec<Class>,
    /// Offered load as a share of the summed capacity of all warm targets.
    pub load: f64,
    pub cold_episodes: Vec<ColdEpisode>,
    /// Factor by which requests take longer at a cold target.
    pub cold_slowdown: f64,
    /// Time by which health reports lag behind the state of the target.
    pub report_lag: Duration,
    /// Start of the measurement. Admission starts out as for a cold target, and the time before is
    /// left out.
    pub measured_from: Instant,
    pub end: Instant,
}

impl Setup {
    /// Seven warm targets of speeds 1 to 4 with 4 slots each, as the service `prodejna` has.
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

    /// Busy time that all warm targets can give in a second, in seconds at speed 1.
    fn capacity(&self) -> f64 {
        self.speeds.iter().sum::<f64>() * f64::from(self.slots)
    }

    /// Offered requests of a class in a second.
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
