//! Bounded queues per class, served by weighted fair queueing.

use std::collections::VecDeque;

use monsoon_model::Instant;

use crate::types::{ClassParameters, WorkId};

/// Maximum number of queued requests of one class per slot of the current limit. Queues absorb
/// bursts. Longer ones add waiting time under overload but no goodput, see `docs/MEASUREMENTS.md`.
pub const QUEUE_PER_SLOT: usize = 4;

/// Maximum number of classes of one service, the range of `ClassKey`.
pub const CLASSES_MAX: usize = 256;

/// One queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Queued {
    pub(crate) id: WorkId,
    pub(crate) class: usize,
    pub(crate) deadline: Option<Instant>,
}

#[derive(Clone, Debug, Default)]
struct ClassQueue {
    weight: f64,
    /// Virtual start time of the next request. The class with the smallest one is served first.
    virtual_start: f64,
    requests: VecDeque<Queued>,
}

/// Queues of all classes.
#[derive(Clone, Debug)]
pub(crate) struct Queues {
    classes: Vec<ClassQueue>,
    /// Virtual start time of the request served last.
    virtual_time: f64,
    len: usize,
}

impl Queues {
    pub(crate) fn new(classes: &[ClassParameters]) -> Self {
        let queue = |c: &ClassParameters| ClassQueue {
            weight: f64::from(c.weight.max(1)),
            ..ClassQueue::default()
        };
        Self {
            classes: classes.iter().take(CLASSES_MAX).map(queue).collect(),
            virtual_time: 0.0,
            len: 0,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn class_len(&self, class: usize) -> usize {
        self.classes[class].requests.len()
    }

    /// Appends a request. The caller must check the queue bound.
    pub(crate) fn push(&mut self, request: Queued) {
        let queue = &mut self.classes[request.class];
        if queue.requests.is_empty() {
            // A class gets no credit for the time in which it was idle.
            queue.virtual_start = queue.virtual_start.max(self.virtual_time);
        }
        queue.requests.push_back(request);
        self.len += 1;
    }

    /// Removes the next request by weighted fair queueing, where each request costs the same.
    pub(crate) fn pop(&mut self) -> Option<Queued> {
        let waiting = self.classes.iter_mut().filter(|q| !q.requests.is_empty());
        let queue = waiting.min_by(|a, b| a.virtual_start.total_cmp(&b.virtual_start))?;
        let request = queue.requests.pop_front()?;
        self.virtual_time = queue.virtual_start;
        queue.virtual_start += 1.0 / queue.weight;
        self.len -= 1;
        Some(request)
    }

    /// Undoes the cost of a popped request that was not started.
    pub(crate) fn refund(&mut self, class: usize) {
        let queue = &mut self.classes[class];
        queue.virtual_start -= 1.0 / queue.weight;
    }

    /// Removes a queued request.
    pub(crate) fn remove(&mut self, id: WorkId) -> Option<Queued> {
        for queue in &mut self.classes {
            if let Some(i) = queue.requests.iter().position(|w| w.id == id) {
                self.len -= 1;
                return queue.requests.remove(i);
            }
        }
        None
    }

    /// Removes the requests for which `keep` returns false and returns them.
    pub(crate) fn retain(&mut self, keep: impl Fn(&Queued) -> bool) -> Vec<Queued> {
        let mut removed = Vec::new();
        for queue in &mut self.classes {
            queue.requests.retain(|w| {
                let is_kept = keep(w);
                if !is_kept {
                    removed.push(*w);
                }
                is_kept
            });
        }
        self.len -= removed.len();
        removed
    }

    /// Removes the newest requests of each class beyond `max_len` and returns them.
    pub(crate) fn truncate(&mut self, max_len: usize) -> Vec<Queued> {
        let mut removed = Vec::new();
        for queue in &mut self.classes {
            while queue.requests.len() > max_len {
                removed.extend(queue.requests.pop_back());
            }
        }
        self.len -= removed.len();
        removed
    }

    /// Returns the earliest deadline of all queued requests.
    pub(crate) fn earliest_deadline(&self) -> Option<Instant> {
        self.classes
            .iter()
            .flat_map(|q| &q.requests)
            .filter_map(|w| w.deadline)
            .min()
    }

    /// Returns the work ahead of a new request of `class`, in microseconds of one slot.
    ///
    /// This is the smaller of two bounds: all queued work, and the work that all classes can start
    /// by their weights until the queued requests of `class` are served.
    pub(crate) fn work_ahead(&self, class: usize, mean: impl Fn(usize) -> f64) -> f64 {
        let own = &self.classes[class];
        let mut total = 0.0;
        let mut per_turn = 0.0;
        for (i, queue) in self.classes.iter().enumerate() {
            total += queue.requests.len() as f64 * mean(i);
            if i == class || !queue.requests.is_empty() {
                per_turn += queue.weight / own.weight * mean(i);
            }
        }
        total.min(own.requests.len() as f64 * per_turn)
    }
}
