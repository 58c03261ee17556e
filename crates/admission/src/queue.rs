//! Bounded queues per class and the weighted choice between them.

use std::collections::VecDeque;

use monsoon_model::Instant;

use crate::types::{ClassParameters, WorkId};

/// Queued requests of one class per slot of the present limit. They absorb bursts. Longer queues
/// add waiting time under overload and no goodput: see `docs/MEASUREMENTS.md`.
pub const QUEUE_PER_SLOT: usize = 4;

/// Classes of one service, the range of `ClassKey`.
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
    /// Virtual start of the class's next request; the smallest is served first.
    virtual_start: f64,
    works: VecDeque<Queued>,
}

/// Queues of all classes.
#[derive(Clone, Debug)]
pub(crate) struct Queues {
    classes: Vec<ClassQueue>,
    /// Virtual time: the pass of the request served last.
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
        self.classes[class].works.len()
    }

    /// Appends a request. The caller has checked the bound.
    pub(crate) fn push(&mut self, work: Queued) {
        let queue = &mut self.classes[work.class];
        if queue.works.is_empty() {
            // An idle class earns no credit for the time it was idle.
            queue.virtual_start = queue.virtual_start.max(self.virtual_time);
        }
        queue.works.push_back(work);
        self.len += 1;
    }

    /// Takes the next request by weighted fair choice over the number of starts.
    pub(crate) fn pop(&mut self) -> Option<Queued> {
        let waiting = self.classes.iter_mut().filter(|q| !q.works.is_empty());
        let queue = waiting.min_by(|a, b| a.virtual_start.total_cmp(&b.virtual_start))?;
        let work = queue.works.pop_front()?;
        self.virtual_time = queue.virtual_start;
        queue.virtual_start += 1.0 / queue.weight;
        self.len -= 1;
        Some(work)
    }

    /// Gives back the turn of a class whose popped request was not started.
    pub(crate) fn refund(&mut self, class: usize) {
        let queue = &mut self.classes[class];
        queue.virtual_start -= 1.0 / queue.weight;
    }

    /// Removes a queued request.
    pub(crate) fn remove(&mut self, id: WorkId) -> Option<Queued> {
        for queue in &mut self.classes {
            if let Some(i) = queue.works.iter().position(|w| w.id == id) {
                self.len -= 1;
                return queue.works.remove(i);
            }
        }
        None
    }

    /// Removes the requests for which `keep` is false.
    pub(crate) fn retain(&mut self, keep: impl Fn(&Queued) -> bool) -> Vec<Queued> {
        let mut removed = Vec::new();
        for queue in &mut self.classes {
            queue.works.retain(|w| {
                let kept = keep(w);
                if !kept {
                    removed.push(*w);
                }
                kept
            });
        }
        self.len -= removed.len();
        removed
    }

    /// Shortens each class to `bound` requests, dropping the newest.
    pub(crate) fn truncate(&mut self, bound: usize) -> Vec<Queued> {
        let mut removed = Vec::new();
        for queue in &mut self.classes {
            while queue.works.len() > bound {
                removed.extend(queue.works.pop_back());
            }
        }
        self.len -= removed.len();
        removed
    }

    /// Earliest deadline of all queued requests.
    pub(crate) fn earliest(&self) -> Option<Instant> {
        self.classes
            .iter()
            .flat_map(|q| &q.works)
            .filter_map(|w| w.deadline)
            .min()
    }

    /// Work ahead of a new request of `class`, in microseconds of one slot.
    ///
    /// It is the smaller of two bounds: all queued work, and what the other classes may start by
    /// their weights while the requests of this class ahead of it are served.
    pub(crate) fn work_ahead(&self, class: usize, mean: impl Fn(usize) -> f64) -> f64 {
        let own = &self.classes[class];
        let mut total = 0.0;
        let mut per_turn = 0.0;
        for (i, queue) in self.classes.iter().enumerate() {
            total += queue.works.len() as f64 * mean(i);
            if i == class || !queue.works.is_empty() {
                per_turn += queue.weight / own.weight * mean(i);
            }
        }
        total.min(own.works.len() as f64 * per_turn)
    }
}
