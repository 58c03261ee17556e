//! One agent and its target.

use std::collections::BTreeMap;

use monsoon_admission::{Admission, Load, WorkId};
use monsoon_execution::{PeerLoad, RetryBudget};
use monsoon_model::Instant;

use super::control::Control;
use super::{Policy, Setup};
use crate::fixed::Fixed;

/// Work at the target.
#[derive(Clone, Copy, Debug)]
pub struct Running {
    pub started: Instant,
    pub fails: bool,
}

/// Agent and target.
#[derive(Clone, Debug)]
pub struct Node {
    pub control: Control,
    pub budget: RetryBudget,
    pub running: BTreeMap<WorkId, Running>,
    /// Load as last announced.
    pub announced: Load,
    /// Other agents' loads as last received, by node; the own entry is unused.
    pub peers: Vec<PeerLoad>,
    /// Time of the tick that is scheduled.
    pub ticks_at: Option<Instant>,
    /// Busy time of a cold target that it has not recovered from, in microseconds.
    pub deficit: f64,
    pub drained: Instant,
    pub turned: bool,
    /// Whether the agent has evidence of the present cold episode.
    pub known: bool,
}

impl Node {
    pub fn new(setup: &Setup) -> Self {
        let control = match setup.policy {
            Policy::Ours => Control::Adaptive(Box::new(Admission::new(setup.parameters()))),
            _ => Control::Fixed(Fixed::new(setup.slots)),
        };
        let announced = control.load();
        let peer = PeerLoad {
            load: announced,
            sent: 0,
        };
        Self {
            control,
            budget: RetryBudget::default(),
            running: BTreeMap::new(),
            announced,
            peers: vec![peer; setup.speeds.len()],
            ticks_at: None,
            deficit: 0.0,
            drained: Instant::ZERO,
            turned: false,
            known: false,
        }
    }

    /// Whether one more request overruns the cold target, given its cold share in slots.
    pub fn overruns(&mut self, now: Instant, share: f64) -> bool {
        let recovered = now.since(self.drained).as_micros() as f64 * share;
        self.deficit = (self.deficit - recovered).max(0.0);
        self.drained = now;
        let busy = self.running.len() >= (share as usize).max(1);
        busy || (share < 1.0 && self.deficit > 10.0)
    }
}
