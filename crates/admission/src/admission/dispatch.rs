//! Rules that decide which work is started, queued or shed.

use monsoon_model::{Duration, Instant};

use super::Admission;
use crate::in_flight::Running;
use crate::queue::{QUEUE_PER_SLOT, Queued};
use crate::types::{Action, ShedReason};

impl Admission {
    /// Returns the reason to shed a new request at once, if any.
    pub(super) fn shed_reason(
        &self,
        now: Instant,
        class: usize,
        deadline: Option<Instant>,
    ) -> Option<ShedReason> {
        if self.queues.class_len(class) >= self.max_queued() {
            let is_cold = self.limiter.is_cold();
            return Some(if is_cold {
                ShedReason::Cold
            } else {
                ShedReason::QueueFull
            });
        }
        let is_idle = self.in_flight.len() == 0 && self.queues.len() == 0;
        let wait = if is_idle {
            self.pacer.pause(now, self.limiter.limit())
        } else {
            self.wait(now, class)
        };
        let service_time = if is_idle {
            Duration::ZERO
        } else {
            self.estimates.service_time(class)
        };
        let is_late = deadline.is_some_and(|d| now + wait + service_time >= d);
        is_late.then_some(ShedReason::Deadline)
    }

    /// Returns the estimated waiting time of a new request of `class`.
    fn wait(&self, now: Instant, class: usize) -> Duration {
        let ahead = self.queues.work_ahead(class, |c| self.estimates.mean(c));
        let limit = self.limiter.limit();
        let queued = Duration::from_micros((ahead / limit) as u64);
        self.pacer.pause(now, limit) + queued
    }

    /// Returns the maximum number of queued requests per class at the current limit.
    fn max_queued(&self) -> usize {
        (QUEUE_PER_SLOT as f64 * self.limiter.limit()).ceil() as usize
    }

    /// Sheds queued work that can no longer run and starts the work for which there is room.
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
            let is_cold = self.limiter.is_cold();
            let reason = if is_cold {
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

    /// Starts the next request, or sheds it if its deadline cannot be met.
    fn start(&mut self, now: Instant, work: Queued) -> Action {
        let service_time = self.estimates.service_time(work.class);
        let is_late = work.deadline.is_some_and(|d| now + service_time >= d);
        // An idle target gets the request anyway, because the estimate may be out of date and only
        // a completed request can correct it.
        if is_late && self.in_flight.len() > 0 {
            self.queues.refund(work.class);
            return Action::Shed(work.id, ShedReason::Deadline);
        }
        self.in_flight.insert(
            work.id,
            Running {
                class: work.class,
                started_at: now,
            },
        );
        assert!(
            self.in_flight.len() <= self.parameters.slots.max(1) as usize,
            "the requests in flight exceed the slots"
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
