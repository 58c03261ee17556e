//! State of one agent and its target.

use std::collections::BTreeMap;

use monsoon_admission::{Admission, Load, WorkId};
use monsoon_execution::{PeerLoad, RetryBudget};
use monsoon_model::Instant;

use super::admission::AdmissionControl;
use super::{Policy, Setup};
use crate::fixed_slots::FixedSlots;

/// Request that runs at the target.
#[derive(Clone, Copy, Debug)]
pub struct Running {
    pub started_at: Instant,
    pub will_fail: bool,
}

/// Agent with its target.
#[derive(Clone, Debug)]
pub struct Node {
    pub admission: AdmissionControl,
    pub retry_budget: RetryBudget,
    pub running: BTreeMap<WorkId, Running>,
    /// Load that the agent announced last.
    pub announced_load: Load,
    /// Loads of the other agents as last received, by node. The agent's own entry is unused.
    pub peer_loads: Vec<PeerLoad>,
    /// Time of the scheduled timer of admission.
    pub tick_at: Option<Instant>,
    /// Busy time of the cold target beyond its cold share, in microseconds.
    pub unrecovered_us: f64,
    /// When `unrecovered_us` was last brought up to date.
    pub recovered_at: Instant,
    /// Whether the target was cold at the last health report.
    pub was_cold: bool,
    /// Whether a health report has shown the present cold period to the agent.
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

    /// Whether one more request would exceed what a cold target can take, with `share` its cold
    /// share in slots.
    pub fn would_overrun(&mut self, now: Instant, share: f64) -> bool {
        let recovered = now.since(self.recovered_at).as_micros() as f64 * share;
        self.unrecovered_us = (self.unrecovered_us - recovered).max(0.0);
        self.recovered_at = now;
        let busy = self.running.len() >= (share as usize).max(1);
        busy || (share < 1.0 && self.unrecovered_us > 10.0)
    }
}
