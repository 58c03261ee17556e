//! The targets and their admission.

use monsoon_admission::{Action, HealthReport, Outcome, ReportedState, WorkId};
use monsoon_execution::Event as Step;
use monsoon_model::{Duration, Instant};

use super::requests::parts;
use super::{Cluster, Event, REPORT, outcome};
use crate::cluster::node::Running;

/// Time in which a request fails at a target that was overrun.
const FAIL: Duration = Duration::from_millis(2);

/// Share of requests that take [`TAIL`] times as long.
const TAIL_SHARE: f64 = 0.02;

/// Factor on the service time of the requests in the tail.
const TAIL: f64 = 4.0;

impl Cluster {
    /// Offers work to the admission of a node.
    pub(super) fn offer(&mut self, id: WorkId, node: usize) {
        let Some(flight) = self.requests.get(&parts(id).0) else {
            return;
        };
        let class = flight.class;
        let deadline = flight.offered + self.setup.classes[class].deadline;
        let actions = self.nodes[node]
            .control
            .offer(self.now, id, class, deadline);
        self.admit(node, actions);
        let queued = self.nodes[node].control.load().queued;
        self.results.queued_max = self.results.queued_max.max(queued);
    }

    /// Carries out the decisions of a node's admission.
    pub(super) fn admit(&mut self, node: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start(id) => self.start(id, node),
                Action::Shed(id, _) => {
                    let (request, attempt) = parts(id);
                    self.back(request, node, Step::NotRun(attempt));
                }
            }
        }
        self.schedule(node);
    }

    fn schedule(&mut self, node: usize) {
        let Some(next) = self.nodes[node].control.next_tick() else {
            return;
        };
        let next = next.max(self.now + Duration::from_micros(1));
        if self.nodes[node].ticks_at.is_none_or(|at| next < at) {
            self.nodes[node].ticks_at = Some(next);
            self.at(next.since(self.now), Event::Tick(node));
        }
    }

    fn start(&mut self, id: WorkId, node: usize) {
        let (request, attempt) = parts(id);
        let Some(class) = self.requests.get(&request).map(|f| f.class) else {
            let actions = self.nodes[node]
                .control
                .finish(self.now, id, Outcome::Cancelled);
            return self.admit(node, actions);
        };
        let cold = self.setup.is_cold(node, self.now);
        let share = self.setup.cold_share * f64::from(self.setup.slots);
        let over = self.nodes[node].overruns(self.now, share) && cold;
        self.results.cold_starts += u64::from(cold);
        if over {
            let known = self.nodes[node].known;
            self.results.overruns += u64::from(known);
            self.results.unforeseen += u64::from(!known);
            self.fail_all(node);
        }
        let tail = if self.unit() < TAIL_SHARE { TAIL } else { 1.0 };
        let slow = if cold { self.setup.slow } else { 1.0 };
        let factor = (0.5 + self.unit()) * tail * slow / self.setup.speeds[node];
        let service = self.setup.classes[class].service.mul_f64(factor);
        let running = Running {
            started: self.now,
            fails: over,
        };
        self.nodes[node].running.insert(id, running);
        self.at(if over { FAIL } else { service }, Event::Done(id, node));
        if self.requests[&request].agent == node {
            self.drive(request, Step::Started(attempt));
        }
    }

    /// Fails everything in flight at a target.
    fn fail_all(&mut self, node: usize) {
        let ids: Vec<_> = self.nodes[node].running.keys().copied().collect();
        for id in ids {
            if let Some(running) = self.nodes[node].running.get_mut(&id) {
                running.fails = true;
            }
            self.at(FAIL, Event::Done(id, node));
        }
    }

    pub(super) fn done(&mut self, id: WorkId, node: usize) {
        let Some(running) = self.nodes[node].running.remove(&id) else {
            return;
        };
        self.account(node, running);
        let actions = self.nodes[node]
            .control
            .finish(self.now, id, outcome(running.fails));
        let (request, attempt) = parts(id);
        let step = if running.fails {
            Step::ConnectionLost(attempt)
        } else {
            Step::Response(attempt, 200)
        };
        self.back(request, node, step);
        self.admit(node, actions);
    }

    /// Cancels work at a node, queued or running. The time that the message takes is left out.
    pub(super) fn cancel(&mut self, id: WorkId, node: usize) {
        if let Some(running) = self.nodes[node].running.remove(&id) {
            self.account(node, running);
            let actions = self.nodes[node]
                .control
                .finish(self.now, id, Outcome::Cancelled);
            self.admit(node, actions);
        } else {
            let actions = self.nodes[node].control.cancel(self.now, id);
            self.admit(node, actions);
        }
    }

    fn account(&mut self, node: usize, running: Running) {
        let measured = running.started.max(self.setup.warm_up);
        let busy = self.now.since(measured);
        self.results.busy[node] = self.results.busy[node] + busy;
        if self.setup.is_cold(node, running.started) {
            self.nodes[node].deficit += self.now.since(running.started).as_micros() as f64;
        }
    }

    /// Health report of a node's target, and the failure of a target that turned cold under more than its share.
    pub(super) fn report(&mut self, node: usize) {
        self.at(REPORT, Event::Report(node));
        let cold = self.setup.is_cold(node, self.now);
        if cold && !self.nodes[node].turned && self.nodes[node].running.len() > 1 {
            self.fail_all(node);
        }
        self.nodes[node].turned = cold;
        self.nodes[node].known &= cold;
        let past = self.now.since(Instant::ZERO + self.setup.lag);
        let state = if self.setup.is_cold(node, Instant::ZERO + past) {
            ReportedState::Cold
        } else {
            ReportedState::Ready
        };
        self.nodes[node].known |= cold && state == ReportedState::Cold;
        let report = HealthReport { state, load: None };
        let actions = self.nodes[node].control.report(self.now, report);
        self.admit(node, actions);
    }
}
