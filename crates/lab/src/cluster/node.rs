//! One agent and its target.

use std::collections::BTreeMap;

use monsoon_admission::{Admission, Load, WorkId};
use monsoon_execution::{PeerLoad, RetryBudget};
use monsoon_model::Instant;

use super::admission::AdmissionControl;
use super::{Policy, Setup};
use crate::fixed_slots::FixedSlots;

/// Work at the target.
#[derive(Clone, Copy, Debug)]
pub struct Running {
    pub started_at: Instant,
    pub will_fail: bool,
}

/// Agent and target.
#[derive(Clone, Debug)]
pub struct Node {
    pub admission: AdmissionControl,
    pub retry_budget: RetryBudget,
    pub running: BTreeMap<WorkId, Running>,
    /// Load as last announced.
    pub announced_load: Load,
    /// Other agents' loads as last received, by node; the own entry is unused.
    pub peer_loads: Vec<PeerLoad>,
    /// Time of the tick that is scheduled.
    pub tick_at: Option<Instant>,
    /// Busy time of a cold target that it has not recovered from, in microseconds.
    pub unrecovered_us: f64,
    pub recovered_at: Instant,
    pub was_cold: bool,
    /// Whether the agent has evidence of the present cold episode.
    pub cold_known: bool,
}

impl Node {
    pub fn new(setup: &Setup) -> Self {
        let admission = match setup.policy {
            Policy::Ours => {
                AdmissionControl::Adaptive(Box::new(Admission::new(setup.parameters())))
            }
            _ => AdmissionControl::Fixed(FixedSlots::new(setup.slots)),
        };
        let announced_load = admission.load();
        let peer = PeerLoad {
            load: announced_load,
            sent: 0,
        };
        Self {
            admission,
            retry_budget: RetryBudget::default(),
            running: BTreeMap::new(),
            announced_load,
            peer_loads: vec![peer; setup.speeds.len()],
            tick_at: None,
            unrecovered_us: 0.0,
            recovered_at: Instant::ZERO,
            was_cold: false,
            cold_known: false,
        }
    }

    /// Whether one more request overruns the cold target, given its cold share in slots.
    pub fn would_overrun(&mut self, now: Instant, share: f64) -> bool {
        let recovered = now.since(self.recovered_at).as_micros() as f64 * share;
        self.unrecovered_us = (self.unrecovered_us - recovered).max(0.0);
        self.recovered_at = now;
        let busy = self.running.len() >= (share as usize).max(1);
        busy || (share < 1.0 && self.unrecovered_us > 10.0)
    }
}
