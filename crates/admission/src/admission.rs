//! Admission control of one target: entry points for work, health reports and timers.

mod dispatch;

use monsoon_model::{ClassKey, Instant};

use crate::estimate::{Estimates, LearnMode};
use crate::in_flight::{HANGING_RATIO, InFlight, Running};
use crate::limit::{Limiter, Phase, Sample};
use crate::pacer::Pacer;
use crate::queue::{Queued, Queues};
use crate::streams::Streams;
use crate::types::{
    Action, HealthReport, Load, Outcome, ReportedState, ShedReason, TargetParameters, TargetState,
    WorkId,
};

/// Minimum cold share of the slots, which keeps the pauses of a cold target finite.
const COLD_SHARE_MIN: f64 = 0.001;

/// Admission control of one target. The crate documentation describes the phases and the limit.
#[derive(Clone, Debug)]
pub struct Admission {
    parameters: TargetParameters,
    limiter: Limiter,
    pacer: Pacer,
    estimates: Estimates,
    queues: Queues,
    in_flight: InFlight,
    streams: Streams,
    /// Whether the agent set the target to leave, which is final.
    leaving: bool,
    /// Whether the last health report said draining.
    draining: bool,
    /// Whether the pacer paused the target at the last change.
    paused: bool,
}

impl Admission {
    /// Creates the admission control of a target, which is assumed to be cold.
    pub fn new(parameters: TargetParameters) -> Self {
        let cold_share = parameters.cold_share.clamp(COLD_SHARE_MIN, 1.0);
        Self {
            limiter: Limiter::new(parameters.slots, cold_share),
            pacer: Pacer::default(),
            estimates: Estimates::new(parameters.classes.len()),
            queues: Queues::new(&parameters.classes),
            in_flight: InFlight::default(),
            streams: Streams::new(parameters.connections, cold_share),
            leaving: false,
            draining: false,
            paused: false,
            parameters,
        }
    }

    /// Offers new work, which is started, queued or shed.
    pub fn offer(
        &mut self,
        now: Instant,
        id: WorkId,
        class: ClassKey,
        deadline: Option<Instant>,
    ) -> Vec<Action> {
        let index = usize::from(class.0);
        let Some(class_parameters) = self.parameters.classes.get(index) else {
            return vec![Action::Shed(id, ShedReason::UnknownClass)];
        };
        if self.is_leaving() {
            return vec![Action::Shed(id, ShedReason::Leaving)];
        }
        if class_parameters.stream {
            let opened = self.streams.open(now, id, self.limiter.is_cold());
            return vec![opened.map_or_else(|r| Action::Shed(id, r), |()| Action::Start(id))];
        }
        if let Some(reason) = self.shed_reason(now, index, deadline) {
            return vec![Action::Shed(id, reason)];
        }
        self.queues.push(Queued {
            id,
            class: index,
            deadline,
        });
        self.advance(now)
    }

    /// Records the result of started work. Unknown work is ignored.
    pub fn finish(&mut self, now: Instant, id: WorkId, outcome: Outcome) -> Vec<Action> {
        if self.streams.close(id) {
            return Vec::new();
        }
        let Some(running) = self.in_flight.remove(id) else {
            return Vec::new();
        };
        let busy = now.since(running.started_at);
        let failed = outcome == Outcome::Failed;
        // The pause follows the smaller of the limits before and after this result.
        let before = self.limiter.limit();
        self.learn(now, running, outcome);
        let limit = before.min(self.limiter.limit());
        self.pacer.record_end(now, busy, limit, failed);
        self.advance(now)
    }

    /// Removes queued work. Started work stays until it finishes with [`Outcome::Cancelled`].
    pub fn cancel(&mut self, now: Instant, id: WorkId) -> Vec<Action> {
        let removed = self.queues.remove(id);
        let mut actions: Vec<_> = removed
            .map(|work| Action::Shed(work.id, ShedReason::Cancelled))
            .into_iter()
            .collect();
        actions.extend(self.advance(now));
        actions
    }

    /// Advances time: sheds expired work, ends pauses and detects hanging requests.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        if self.hanging_at().is_some_and(|at| at <= now) {
            self.limiter.mark_suspect(now);
        }
        self.advance(now)
    }

    /// Returns the time of the next necessary [`tick`](Self::tick), if any. It may have passed.
    pub fn next_tick(&self) -> Option<Instant> {
        let expiry = self.queues.earliest_deadline();
        let resume_at = (self.paused && self.queues.len() > 0).then(|| self.pacer.resume_at());
        [expiry, resume_at, self.hanging_at()]
            .into_iter()
            .flatten()
            .min()
    }

    /// Records a health report of the target. It can only lower the limit or keep it from rising.
    pub fn report(&mut self, now: Instant, report: HealthReport) -> Vec<Action> {
        self.draining = report.state == ReportedState::Draining;
        self.limiter
            .report(now, report.state == ReportedState::Cold, report.load);
        self.advance(now)
    }

    /// Stops new work permanently and sheds the queued work.
    pub fn set_leaving(&mut self, now: Instant) -> Vec<Action> {
        self.leaving = true;
        self.advance(now)
    }

    /// Applies changed parameters.
    ///
    /// Queued work is shed, because its class may have a different meaning now. Work in flight
    /// continues.
    pub fn reconfigure(&mut self, now: Instant, parameters: TargetParameters) -> Vec<Action> {
        if parameters == self.parameters {
            return Vec::new();
        }
        let cold_share = parameters.cold_share.clamp(COLD_SHARE_MIN, 1.0);
        let queued = self.queues.truncate(0);
        let shed = |work: &Queued| Action::Shed(work.id, ShedReason::Reconfigured);
        let mut actions: Vec<_> = queued.iter().map(shed).collect();
        self.queues = Queues::new(&parameters.classes);
        self.limiter.resize(parameters.slots, cold_share);
        self.streams.resize(parameters.connections, cold_share);
        self.estimates.grow(parameters.classes.len());
        self.parameters = parameters;
        actions.extend(self.advance(now));
        actions
    }

    /// Returns the current load.
    pub fn load(&self) -> Load {
        let pausing = u32::from(self.paused && self.in_flight.len() == 0);
        Load {
            busy: self.in_flight.len() as u32 + pausing,
            queued: self.queues.len() as u32,
            limit: (self.limiter.limit() * 1_000.0) as u32,
            state: self.state(),
            leaving: self.is_leaving(),
        }
    }

    /// Returns the number of open streams.
    pub fn open_streams(&self) -> u32 {
        self.streams.len() as u32
    }

    /// Returns the current state of the target.
    pub fn state(&self) -> TargetState {
        if self.is_leaving() {
            TargetState::Leaving
        } else if self.limiter.is_cold() {
            TargetState::Cold
        } else {
            TargetState::Ready
        }
    }

    fn is_leaving(&self) -> bool {
        self.leaving || self.draining
    }

    /// Updates the estimates and the limiter with the result of a request.
    fn learn(&mut self, now: Instant, running: Running, outcome: Outcome) {
        let latency = now.since(running.started_at);
        let ratio = match outcome {
            Outcome::Ok => Some(
                self.estimates
                    .record(running.class, latency, self.learn_mode()),
            ),
            Outcome::Failed => None,
            // A cancelled request is no sample unless it was already hanging.
            Outcome::Cancelled => match self.estimates.ratio(running.class, latency) {
                Some(ratio) if ratio >= HANGING_RATIO => Some(ratio),
                _ => return,
            },
        };
        let limit = self.limiter.limit();
        let saturated = self.queues.len() > 0 || (self.in_flight.len() + 2) as f64 > limit;
        let sample = Sample {
            started_at: running.started_at,
            ratio,
            saturated,
        };
        if let Some(factor) = self.limiter.record_end(now, sample) {
            self.estimates.rescale(factor);
        }
    }

    fn learn_mode(&self) -> LearnMode {
        match self.limiter.phase() {
            Phase::Ready => LearnMode::Warm,
            _ if !self.limiter.was_ready() => LearnMode::Provisional,
            _ => LearnMode::ServiceTime,
        }
    }

    /// Returns the time from which more than half of the requests in flight hang. Only a target
    /// that is ready or warming is checked.
    fn hanging_at(&self) -> Option<Instant> {
        match self.limiter.phase() {
            Phase::Ready | Phase::Warming => self.in_flight.hanging_at(&self.estimates),
            Phase::Cold | Phase::Suspect { .. } => None,
        }
    }
}
