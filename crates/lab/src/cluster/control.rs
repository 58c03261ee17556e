//! Admission of either kind.

use monsoon_admission::{Action, Admission, HealthReport, Load, Outcome, WorkId};
use monsoon_model::{ClassKey, Instant};

use crate::fixed::Fixed;

/// Admission in front of one target.
#[derive(Clone, Debug)]
pub enum Control {
    Adaptive(Box<Admission>),
    Fixed(Fixed),
}

impl Control {
    pub fn offer(
        &mut self,
        now: Instant,
        id: WorkId,
        class: usize,
        deadline: Instant,
    ) -> Vec<Action> {
        match self {
            Self::Adaptive(control) => {
                control.offer(now, id, ClassKey(class as u8), Some(deadline))
            }
            Self::Fixed(control) => control.offer(id),
        }
    }

    pub fn finish(&mut self, now: Instant, id: WorkId, outcome: Outcome) -> Vec<Action> {
        match self {
            Self::Adaptive(control) => control.finish(now, id, outcome),
            Self::Fixed(control) => control.finish(id),
        }
    }

    pub fn cancel(&mut self, now: Instant, id: WorkId) -> Vec<Action> {
        match self {
            Self::Adaptive(control) => control.cancel(now, id),
            Self::Fixed(control) => control.cancel(id),
        }
    }

    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        match self {
            Self::Adaptive(control) => control.tick(now),
            Self::Fixed(_) => Vec::new(),
        }
    }

    pub fn report(&mut self, now: Instant, report: HealthReport) -> Vec<Action> {
        match self {
            Self::Adaptive(control) => control.report(now, report),
            Self::Fixed(_) => Vec::new(),
        }
    }

    pub fn next_tick(&self) -> Option<Instant> {
        match self {
            Self::Adaptive(control) => control.next_tick(),
            Self::Fixed(_) => None,
        }
    }

    pub fn load(&self) -> Load {
        match self {
            Self::Adaptive(control) => control.load(),
            Self::Fixed(control) => control.load(),
        }
    }
}
