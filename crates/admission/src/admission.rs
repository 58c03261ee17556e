//! The work of one target.

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

/// Least share of the slots that a cold target is given, so that pauses stay finite.
const COLD_SHARE_MIN: f64 = 0.001;

/// Admission for one target. See the crate's documentation.
#[derive(Clone, Debug)]
pub struct Admission {
    parameters: TargetParameters,
    limiter: Limiter,
    pacer: Pacer,
    estimates: Estimates,
    queues: Queues,
    in_flight: InFlight,
    streams: Streams,
    leaving: bool,
    draining: bool,
    paused: bool,
}

impl Admission {
    /// Admission for a target that is assumed to be cold.
    pub fn new(parameters: TargetParameters) -> Self {
        let share = parameters.cold_share.clamp(COLD_SHARE_MIN, 1.0);
        Self {
            limiter: Limiter::new(parameters.slots, share),
            pacer: Pacer::default(),
            estimates: Estimates::new(parameters.classes.len()),
            queues: Queues::new(&parameters.classes),
            in_flight: InFlight::default(),
            streams: Streams::new(parameters.connections, share),
            leaving: false,
            draining: false,
            paused: false,
            parameters,
        }
    }

    /// Offers new work. It is started, queued or shed.
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

    /// Records the end of started work. Unknown work is ignored.
    pub fn finish(&mut self, now: Instant, id: WorkId, outcome: Outcome) -> Vec<Action> {
        if self.streams.close(id) {
            return Vec::new();
        }
        let Some(running) = self.in_flight.remove(id) else {
            return Vec::new();
        };
        let busy = now.since(running.started);
        let failed = outcome == Outcome::Failed;
        // The limit before this evidence and after it both bound the pause: the smaller one holds.
        let before = self.limiter.limit();
        self.learn(now, running, outcome);
        let limit = before.min(self.limiter.limit());
        self.pacer.record_end(now, busy, limit, failed);
        self.advance(now)
    }

    /// Removes queued work. Started work stays until it is finished as cancelled.
    pub fn cancel(&mut self, now: Instant, id: WorkId) -> Vec<Action> {
        let removed = self.queues.remove(id);
        let mut actions: Vec<_> = removed
            .map(|w| Action::Shed(w.id, ShedReason::Cancelled))
            .into_iter()
            .collect();
        actions.extend(self.advance(now));
        actions
    }

    /// Advances time: sheds expired work, ends pauses, notices hanging requests.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        if self.hanging_at().is_some_and(|at| at <= now) {
            self.limiter.mark_suspect(now);
        }
        self.advance(now)
    }

    /// Time of the next necessary [`tick`](Self::tick), if any. It may already have passed.
    pub fn next_tick(&self) -> Option<Instant> {
        let expiry = self.queues.earliest();
        let resume_at = (self.paused && self.queues.len() > 0).then(|| self.pacer.resume_at());
        [expiry, resume_at, self.hanging_at()]
            .into_iter()
            .flatten()
            .min()
    }

    /// Takes a report of the target's own endpoint. It can only make admission more careful.
    pub fn report(&mut self, now: Instant, report: HealthReport) -> Vec<Action> {
        self.draining = report.state == ReportedState::Draining;
        self.limiter
            .report(now, report.state == ReportedState::Cold, report.load);
        self.advance(now)
    }

    /// Stops all new work for good and sheds what is queued.
    pub fn set_leaving(&mut self, now: Instant) -> Vec<Action> {
        self.leaving = true;
        self.advance(now)
    }

    /// Takes over changed service parameters. Queued work is shed, because its class may mean
    /// something else now; work in flight goes on.
    pub fn reconfigure(&mut self, now: Instant, parameters: TargetParameters) -> Vec<Action> {
        if parameters == self.parameters {
            return Vec::new();
        }
        let share = parameters.cold_share.clamp(COLD_SHARE_MIN, 1.0);
        let queued = self.queues.truncate(0);
        let shed = |work: &Queued| Action::Shed(work.id, ShedReason::Reconfigured);
        let mut actions: Vec<_> = queued.iter().map(shed).collect();
        self.queues = Queues::new(&parameters.classes);
        self.limiter.resize(parameters.slots, share);
        self.streams.resize(parameters.connections, share);
        self.estimates.grow(parameters.classes.len());
        self.parameters = parameters;
        actions.extend(self.advance(now));
        actions
    }

    /// Present load.
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

    /// Open streams.
    pub fn open_streams(&self) -> u32 {
        self.streams.len() as u32
    }

    /// Present state.
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

    /// Passes the end of a request to the estimates and the limiter.
    fn learn(&mut self, now: Instant, running: Running, outcome: Outcome) {
        let latency = now.since(running.started);
        let ratio = match outcome {
            Outcome::Ok => Some(
                self.estimates
                    .record(running.class, latency, self.learn_mode()),
            ),
            Outcome::Failed => None,
            // A cancelled request shows nothing unless it was already far too slow.
            Outcome::Cancelled => match self.estimates.ratio(running.class, latency) {
                Some(ratio) if ratio >= HANGING_RATIO => Some(ratio),
                _ => return,
            },
        };
        let capacity = self.limiter.limit();
        let saturated = self.queues.len() > 0 || (self.in_flight.len() + 2) as f64 > capacity;
        let sample = Sample {
            started: running.started,
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

    /// Time from which more than half of the requests in flight hang, if the target is watched.
    fn hanging_at(&self) -> Option<Instant> {
        match self.limiter.phase() {
            Phase::Ready | Phase::Warming => self.in_flight.hanging_at(&self.estimates),
            Phase::Cold | Phase::Suspect { .. } => None,
        }
    }
}
