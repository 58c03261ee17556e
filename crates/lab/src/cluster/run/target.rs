//! Targets and their admission.
//!
//! A cold target that gets more requests than its cold share is overrun: it fails all requests that
//! it runs.

use monsoon_admission::{Action, HealthReport, Outcome, ReportedState, WorkId};
use monsoon_execution::Event as RequestEvent;
use monsoon_model::{Duration, Instant};

use super::requests::split_work_id;
use super::{Cluster, Event, REPORT_INTERVAL, target_outcome};
use crate::cluster::node::Running;

/// Time after which an overrun target has failed its requests.
const FAILURE_DELAY: Duration = Duration::from_millis(2);

/// Share of the requests that take [`TAIL_FACTOR`] times as long.
const TAIL_SHARE: f64 = 0.02;

/// Factor on the service time of the slow requests.
const TAIL_FACTOR: f64 = 4.0;

impl Cluster {
    /// Offers work to the admission of a node.
    pub(super) fn offer_work(&mut self, id: WorkId, node: usize) {
        let Some(pending) = self.requests.get(&split_work_id(id).0) else {
            return;
        };
        let class = pending.class;
        let deadline = pending.offered + self.setup.classes[class].deadline;
        let actions = self.nodes[node]
            .admission
            .offer(self.now, id, class, deadline);
        self.perform(node, actions);
        let queued = self.nodes[node].admission.load().queued;
        self.results.longest_queue = self.results.longest_queue.max(queued);
    }

    /// Performs the actions of a node's admission.
    pub(super) fn perform(&mut self, node: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start(id) => self.start_work(id, node),
                Action::Shed(id, _) => {
                    let (request, attempt) = split_work_id(id);
                    self.return_outcome(request, node, RequestEvent::NotRun(attempt));
                }
            }
        }
        self.schedule_tick(node);
    }

    fn schedule_tick(&mut self, node: usize) {
        let Some(next) = self.nodes[node].admission.next_tick() else {
            return;
        };
        let next = next.max(self.now + Duration::from_micros(1));
        if self.nodes[node].tick_at.is_none_or(|at| next < at) {
            self.nodes[node].tick_at = Some(next);
            self.schedule(next.since(self.now), Event::Tick(node));
        }
    }

    fn start_work(&mut self, id: WorkId, node: usize) {
        let (request, attempt) = split_work_id(id);
        let Some(class) = self.requests.get(&request).map(|pending| pending.class) else {
            let actions = self.nodes[node]
                .admission
                .finish(self.now, id, Outcome::Cancelled);
            return self.perform(node, actions);
        };
        let cold = self.setup.is_cold(node, self.now);
        let share = self.setup.cold_share * f64::from(self.setup.slots);
        let overruns = self.nodes[node].would_overrun(self.now, share) && cold;
        self.results.cold_starts += u64::from(cold);
        if overruns {
            let known = self.nodes[node].cold_known;
            self.results.late_overruns += u64::from(known);
            self.results.early_overruns += u64::from(!known);
            self.fail_all(node);
        }
        let tail = if self.uniform() < TAIL_SHARE {
            TAIL_FACTOR
        } else {
            1.0
        };
        let slowdown = if cold { self.setup.cold_slowdown } else { 1.0 };
        let factor = (0.5 + self.uniform()) * tail * slowdown / self.setup.speeds[node];
        let service_time = self.setup.classes[class].service_time.mul_f64(factor);
        let running = Running {
            started_at: self.now,
            will_fail: overruns,
        };
        self.nodes[node].running.insert(id, running);
        self.schedule(
            if overruns {
                FAILURE_DELAY
            } else {
                service_time
            },
            Event::Done(id, node),
        );
        if self.requests[&request].agent == node {
            self.advance(request, RequestEvent::Started(attempt));
        }
    }

    /// Fails all requests that a target runs.
    fn fail_all(&mut self, node: usize) {
        let ids: Vec<_> = self.nodes[node].running.keys().copied().collect();
        for id in ids {
            if let Some(running) = self.nodes[node].running.get_mut(&id) {
                running.will_fail = true;
            }
            self.schedule(FAILURE_DELAY, Event::Done(id, node));
        }
    }

    pub(super) fn finish_work(&mut self, id: WorkId, node: usize) {
        let Some(running) = self.nodes[node].running.remove(&id) else {
            return;
        };
        self.record_busy(node, running);
        let actions =
            self.nodes[node]
                .admission
                .finish(self.now, id, target_outcome(running.will_fail));
        let (request, attempt) = split_work_id(id);
        let event = if running.will_fail {
            RequestEvent::ConnectionLost(attempt)
        } else {
            RequestEvent::Response(attempt, 200)
        };
        self.return_outcome(request, node, event);
        self.perform(node, actions);
    }

    /// Cancels a queued or running request at a node. The cancellation takes no time.
    pub(super) fn cancel_work(&mut self, id: WorkId, node: usize) {
        if let Some(running) = self.nodes[node].running.remove(&id) {
            self.record_busy(node, running);
            let actions = self.nodes[node]
                .admission
                .finish(self.now, id, Outcome::Cancelled);
            self.perform(node, actions);
        } else {
            let actions = self.nodes[node].admission.cancel(self.now, id);
            self.perform(node, actions);
        }
    }

    fn record_busy(&mut self, node: usize, running: Running) {
        let counted_from = running.started_at.max(self.setup.measured_from);
        let busy = self.now.since(counted_from);
        self.results.busy_times[node] = self.results.busy_times[node] + busy;
        if self.setup.is_cold(node, running.started_at) {
            self.nodes[node].unrecovered_us +=
                self.now.since(running.started_at).as_micros() as f64;
        }
    }

    /// Gives admission a health report of the target. A target that turned cold while it runs more
    /// than its cold share fails its requests.
    pub(super) fn report_health(&mut self, node: usize) {
        self.schedule(REPORT_INTERVAL, Event::Report(node));
        let cold = self.setup.is_cold(node, self.now);
        if cold && !self.nodes[node].was_cold && self.nodes[node].running.len() > 1 {
            self.fail_all(node);
        }
        self.nodes[node].was_cold = cold;
        self.nodes[node].cold_known &= cold;
        let reported_time = self.now.since(Instant::ZERO + self.setup.report_lag);
        let state = if self.setup.is_cold(node, Instant::ZERO + reported_time) {
            ReportedState::Cold
        } else {
            ReportedState::Ready
        };
        self.nodes[node].cold_known |= cold && state == ReportedState::Cold;
        let report = HealthReport { state, load: None };
        let actions = self.nodes[node].admission.report(self.now, report);
        self.perform(node, actions);
    }
}
