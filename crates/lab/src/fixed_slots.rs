//! Baseline for admission: as many concurrent requests as the target has slots, and one bounded
//! queue in order of arrival. It has no cold phase, no weights of classes and no deadlines.

use std::collections::{BTreeSet, VecDeque};

use monsoon_admission::{Action, Load, ShedReason, TargetState, WorkId};

/// Limit of the queue for each slot. Without deadlines the baseline needs a longer queue than the
/// product: with 4 for each slot it rejects 12 % of the requests at 70 % load.
const QUEUE_PER_SLOT: usize = 16;

/// Admission by a fixed number of slots.
#[derive(Clone, Debug)]
pub struct FixedSlots {
    slots: usize,
    running: BTreeSet<WorkId>,
    queue: VecDeque<WorkId>,
}

impl FixedSlots {
    pub fn new(slots: u32) -> Self {
        Self {
            slots: slots as usize,
            running: BTreeSet::new(),
            queue: VecDeque::new(),
        }
    }

    pub fn offer(&mut self, id: WorkId) -> Vec<Action> {
        if self.queue.len() >= self.slots * QUEUE_PER_SLOT {
            return vec![Action::Shed(id, ShedReason::QueueFull)];
        }
        self.queue.push_back(id);
        self.start_queued()
    }

    pub fn finish(&mut self, id: WorkId) -> Vec<Action> {
        self.running.remove(&id);
        self.start_queued()
    }

    pub fn cancel(&mut self, id: WorkId) -> Vec<Action> {
        let before = self.queue.len();
        self.queue.retain(|queued| *queued != id);
        if self.queue.len() == before {
            return Vec::new();
        }
        vec![Action::Shed(id, ShedReason::Cancelled)]
    }

    pub fn load(&self) -> Load {
        Load {
            busy: self.running.len() as u32,
            queued: self.queue.len() as u32,
            limit: self.slots as u32 * 1_000,
            state: TargetState::Ready,
            leaving: false,
        }
    }

    fn start_queued(&mut self) -> Vec<Action> {
        let free = self.slots - self.running.len();
        let started: Vec<_> = self.queue.drain(..free.min(self.queue.len())).collect();
        self.running.extend(&started);
        started.into_iter().map(Action::Start).collect()
    }
}
