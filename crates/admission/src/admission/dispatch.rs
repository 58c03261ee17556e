//! Choice of what starts, waits and is shed.

use monsoon_model::{Duration, Instant};

use super::Admission;
use crate::in_flight::Running;
use crate::queue::{QUEUE_PER_SLOT, Queued};
use crate::types::{Action, ShedReason};

impl Admission {
    /// Reason to refuse a new request at once, if any.
    pub(super) fn shed_reason(
        &self,
        now: Instant,
        class: usize,
        deadline: Option<Instant>,
    ) -> Option<ShedReason> {
        if self.queues.class_len(class) >= self.max_queued() {
            let cold = self.limiter.is_cold();
            return Some(if cold {
                ShedReason::Cold
            } else {
                ShedReason::QueueFull
            });
        }
        let idle = self.in_flight.len() == 0 && self.queues.len() == 0;
        let wait = if idle {
            self.pacer.pause(now, self.limiter.limit())
        } else {
            self.wait(now, class)
        };
        let service = if idle {
            Duration::ZERO
        } else {
            self.estimates.service_time(class)
        };
        let late = deadline.is_some_and(|d| now + wait + service >= d);
        late.then_some(ShedReason::Deadline)
    }

    /// Estimated wait of a new request of `class`.
    fn wait(&self, now: Instant, class: usize) -> Duration {
        let ahead = self.queues.work_ahead(class, |c| self.estimates.mean(c));
        let limit = self.limiter.limit();
        let queued = Duration::from_micros((ahead / limit) as u64);
        self.pacer.pause(now, limit) + queued
    }

    /// Queued requests per class under the present limit.
    fn max_queued(&self) -> usize {
        (QUEUE_PER_SLOT as f64 * self.limiter.limit()).ceil() as usize
    }

    /// Sheds what can no longer run and starts what may start.
    pub(super) fn advance(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        self.shed(now, &mut actions);
        while self.has_room(now) {
            let Some(work) = self.queues.pop() else {
                break;
            };
            actions.push(self.start(now, work));
        }
        self.paused = self.pacer.pause(now, self.limiter.limit()) > Duration::ZERO;
        actions
    }

    fn shed(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let (removed, reason) = if self.is_leaving() {
            (self.queues.truncate(0), ShedReason::Leaving)
        } else {
            let cold = self.limiter.is_cold();
            let reason = if cold {
                ShedReason::Cold
            } else {
                ShedReason::QueueFull
            };
            (self.queues.truncate(self.max_queued()), reason)
        };
        actions.extend(removed.iter().map(|w| Action::Shed(w.id, reason)));
        let expired = self.queues.retain(|w| w.deadline.is_none_or(|d| d > now));
        actions.extend(
            expired
                .iter()
                .map(|w| Action::Shed(w.id, ShedReason::Deadline)),
        );
    }

    /// Starts a request whose turn it is, or sheds it when its deadline cannot be met.
    fn start(&mut self, now: Instant, work: Queued) -> Action {
        let service = self.estimates.service_time(work.class);
        let late = work.deadline.is_some_and(|d| now + service >= d);
        // An idle target takes the request all the same: the estimate may be out of date, and only
        // a completion can correct it.
        if late && self.in_flight.len() > 0 {
            self.queues.refund(work.class);
            return Action::Shed(work.id, ShedReason::Deadline);
        }
        self.in_flight.insert(
            work.id,
            Running {
                class: work.class,
                started: now,
            },
        );
        assert!(
            self.in_flight.len() <= self.parameters.slots.max(1) as usize,
            "requests exceed the slots"
        );
        Action::Start(work.id)
    }

    fn has_room(&self, now: Instant) -> bool {
        let limit = self.limiter.limit();
        if limit < 1.0 {
            return self.in_flight.len() == 0 && self.pacer.pause(now, limit) == Duration::ZERO;
        }
        self.in_flight.len() < limit as usize
    }
}
