//! Admission at a target: the product's adaptive admission, or the baseline with fixed slots.
//!
//! Both have the same events. Fixed slots ignore health reports and deadlines, and have no timer.

use monsoon_admission::{Action, Admission, HealthReport, Load, Outcome, WorkId};
use monsoon_model::{ClassKey, Instant};

use crate::fixed_slots::FixedSlots;

/// Admission of one target.
#[derive(Clone, Debug)]
pub enum AdmissionControl {
    Adaptive(Box<Admission>),
    Fixed(FixedSlots),
}

impl AdmissionControl {
    pub fn offer(
        &mut self,
        now: Instant,
        id: WorkId,
        class: usize,
        deadline: Instant,
    ) -> Vec<Action> {
        match self {
            Self::Adaptive(admission) => {
                admission.offer(now, id, ClassKey(class as u8), Some(deadline))
            }
            Self::Fixed(admission) => admission.offer(id),
        }
    }

    pub fn finish(&mut self, now: Instant, id: WorkId, outcome: Outcome) -> Vec<Action> {
        match self {
            Self::Adaptive(admission) => admission.finish(now, id, outcome),
            Self::Fixed(admission) => admission.finish(id),
        }
    }

    pub fn cancel(&mut self, now: Instant, id: WorkId) -> Vec<Action> {
        match self {
            Self::Adaptive(admission) => admission.cancel(now, id),
            Self::Fixed(admission) => admission.cancel(id),
        }
    }

    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        match self {
            Self::Adaptive(admission) => admission.tick(now),
            Self::Fixed(_) => Vec::new(),
        }
    }

    pub fn report(&mut self, now: Instant, report: HealthReport) -> Vec<Action> {
        match self {
            Self::Adaptive(admission) => admission.report(now, report),
            Self::Fixed(_) => Vec::new(),
        }
    }

    pub fn next_tick(&self) -> Option<Instant> {
        match self {
            Self::Adaptive(admission) => admission.next_tick(),
            Self::Fixed(_) => None,
        }
    }

    pub fn load(&self) -> Load {
        match self {
            Self::Adaptive(admission) => admission.load(),
            Self::Fixed(admission) => admission.load(),
        }
    }
}
