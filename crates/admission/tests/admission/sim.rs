//! Simulation of one target and of the callers of its agent.
//!
//! A cold target carries only its cold share. If it gets more, it is overrun: all requests in
//! flight fail.

use std::collections::BTreeMap;

use monsoon_admission::{
    Action, Admission, ClassParameters, HealthReport, Outcome, ReportedState, ShedReason,
    TargetParameters, TargetState, WorkId,
};
use monsoon_model::{ClassKey, Duration, Instant, hash::mix};

/// Time after which a request fails at a target that was overrun.
const FAILURE_TIME: Duration = Duration::from_millis(2);

pub struct Plan {
    pub seed: u64,
    pub parameters: TargetParameters,
    /// Mean service time per class. Requests take 0.5 to 1.5 times as long.
    pub service_times: Vec<Duration>,
    /// Requests per second and class.
    pub rates: Vec<f64>,
    pub deadline: Duration,
    /// Intervals in which the target is cold.
    pub cold_intervals: Vec<(Instant, Instant)>,
    /// Factor on the service time while the target is cold.
    pub cold_factor: f64,
    /// Lag of the health endpoint. None means that it always reports ready.
    pub report_lag: Option<Duration>,
    pub end: Instant,
}

#[derive(Clone, Copy)]
enum Event {
    Arrive(usize),
    Done(WorkId),
    Deadline(WorkId),
    Report,
}

struct Work {
    class: usize,
    deadline: Instant,
    started_at: Option<Instant>,
    fails: bool,
}

#[derive(Default)]
pub struct Stats {
    /// Responses within the deadline per class, after the first quarter of the run.
    pub good: Vec<u64>,
    pub shed: BTreeMap<ShedReason, u64>,
    pub queued_max: u32,
    /// Overruns before the agent could know that the target is cold.
    pub early_overruns: u64,
    /// Overruns after that.
    pub late_overruns: u64,
}

pub struct Sim {
    plan: Plan,
    pub admission: Admission,
    pub now: Instant,
    events: BTreeMap<(Instant, u64), Event>,
    works: BTreeMap<WorkId, Work>,
    draws: u64,
    /// Busy time beyond the cold share that is not yet balanced by idle time, in microseconds.
    excess_busy: f64,
    /// Time of the last update of `excess_busy`.
    excess_at: Instant,
    /// Start of the cold interval that the agent can know of.
    known_cold: Option<Instant>,
    pub stats: Stats,
}

impl Sim {
    pub fn new(plan: Plan) -> Self {
        let mut sim = Self {
            admission: Admission::new(plan.parameters.clone()),
            now: Instant::ZERO,
            events: BTreeMap::new(),
            works: BTreeMap::new(),
            draws: 0,
            excess_busy: 0.0,
            excess_at: Instant::ZERO,
            known_cold: None,
            stats: Stats {
                good: vec![0; plan.service_times.len()],
                ..Stats::default()
            },
            plan,
        };
        for class in 0..sim.plan.rates.len() {
            sim.arrive_later(class);
        }
        sim.at(Duration::ZERO, Event::Report);
        sim
    }

    pub fn run(mut self) -> Self {
        while self.now < self.plan.end {
            let tick = self.admission.next_tick().map(|t| t.max(self.now));
            let event = self.events.keys().next().copied();
            let time = event.map_or(self.plan.end, |(at, _)| at);
            if let Some(tick) = tick.filter(|t| *t <= time) {
                assert!(tick >= self.now, "a tick is in the past");
                self.now = tick.max(self.now);
                let actions = self.admission.tick(self.now);
                self.carry_out(actions);
                let next_tick = self.admission.next_tick();
                assert!(
                    next_tick.is_none_or(|t| t > self.now),
                    "a tick is due again at the same time"
                );
                continue;
            }
            self.now = time;
            let next = event.and_then(|key| self.events.remove(&key));
            self.step(next);
            let load = self.admission.load();
            self.stats.queued_max = self.stats.queued_max.max(load.queued);
        }
        self
    }

    fn step(&mut self, event: Option<Event>) {
        match event {
            Some(Event::Arrive(class)) => self.arrive(class),
            Some(Event::Done(id)) => {
                let fails = self.works.get(&id).is_some_and(|w| w.fails);
                self.end(id, if fails { Outcome::Failed } else { Outcome::Ok });
            }
            Some(Event::Deadline(id)) => self.end(id, Outcome::Cancelled),
            Some(Event::Report) => self.report(),
            None => {}
        }
    }

    fn draw(&mut self) -> f64 {
        self.draws += 1;
        (mix(self.plan.seed, self.draws) >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn at(&mut self, after: Duration, event: Event) {
        self.draws += 1;
        self.events.insert((self.now + after, self.draws), event);
    }

    fn arrive_later(&mut self, class: usize) {
        let gap = -(1.0 - self.draw()).ln() / self.plan.rates[class] * 1e6;
        self.at(Duration::from_micros(gap as u64), Event::Arrive(class));
    }

    fn arrive(&mut self, class: usize) {
        self.arrive_later(class);
        let id = WorkId(self.draws);
        let deadline = self.now + self.plan.deadline;
        let work = Work {
            class,
            deadline,
            started_at: None,
            fails: false,
        };
        self.works.insert(id, work);
        let key = ClassKey(class as u8);
        let actions = self.admission.offer(self.now, id, key, Some(deadline));
        self.carry_out(actions);
    }

    fn carry_out(&mut self, actions: impl IntoIterator<Item = Action>) {
        for action in actions {
            match action {
                Action::Start(id) => self.start(id),
                Action::Shed(id, reason) => {
                    let work = self.works.remove(&id).expect("shed work is known");
                    assert!(work.started_at.is_none(), "shed work was started");
                    *self.stats.shed.entry(reason).or_default() += 1;
                }
            }
        }
    }

    /// Returns the start of the cold interval that contains `at`, if any.
    fn cold_since(&self, at: Instant) -> Option<Instant> {
        let interval = self
            .plan
            .cold_intervals
            .iter()
            .find(|(from, to)| *from <= at && at < *to);
        interval.map(|(from, _)| *from)
    }

    fn start(&mut self, id: WorkId) {
        let share = self.plan.parameters.cold_share * f64::from(self.plan.parameters.slots);
        let running = self
            .works
            .values()
            .filter(|w| w.started_at.is_some())
            .count();
        self.excess_busy =
            (self.excess_busy - self.now.since(self.excess_at).as_micros() as f64 * share).max(0.0);
        self.excess_at = self.now;
        let cold = self.cold_since(self.now);
        let is_overrun =
            running >= (share as usize).max(1) || (share < 1.0 && self.excess_busy > 10.0);
        if let Some(from) = cold.filter(|_| is_overrun) {
            if self.known_cold == Some(from) {
                self.stats.late_overruns += 1;
            } else {
                self.stats.early_overruns += 1;
            }
            self.fail_all();
        }
        let factor = (0.5 + self.draw())
            * if cold.is_some() {
                self.plan.cold_factor
            } else {
                1.0
            };
        let now = self.now;
        let work = self.works.get_mut(&id).expect("started work is known");
        assert!(work.started_at.is_none(), "work started twice");
        work.started_at = Some(now);
        work.fails |= cold.is_some() && is_overrun;
        let service_time = self.plan.service_times[work.class].mul_f64(factor);
        let deadline = work.deadline.since(now);
        let service_time = if work.fails {
            FAILURE_TIME
        } else {
            service_time
        };
        self.at(service_time, Event::Done(id));
        self.at(deadline, Event::Deadline(id));
    }

    /// Makes all requests in flight fail.
    fn fail_all(&mut self) {
        let running: Vec<_> = self
            .works
            .iter()
            .filter(|(_, w)| w.started_at.is_some())
            .map(|(id, _)| *id)
            .collect();
        for id in running {
            self.works
                .get_mut(&id)
                .expect("running work is known")
                .fails = true;
            self.at(FAILURE_TIME, Event::Done(id));
        }
    }

    fn end(&mut self, id: WorkId, outcome: Outcome) {
        let Some(work) = self.works.remove(&id) else {
            return;
        };
        let started_at = work.started_at.expect("only started work ends");
        // Only busy time within the cold interval counts.
        let cold_since = self.cold_since(self.now).unwrap_or(self.now);
        self.excess_busy += self.now.since(started_at.max(cold_since)).as_micros() as f64;
        if outcome == Outcome::Ok && self.now.as_micros() * 4 > self.plan.end.as_micros() {
            self.stats.good[work.class] += 1;
        }
        if outcome == Outcome::Failed {
            self.known_cold = self.cold_since(self.now);
        }
        let actions = self.admission.finish(self.now, id, outcome);
        self.carry_out(actions);
    }

    /// Sends a health report. Fails the requests in flight if the target just turned cold with more
    /// than one of them.
    fn report(&mut self) {
        self.at(Duration::from_millis(100), Event::Report);
        let running = self
            .works
            .values()
            .filter(|w| w.started_at.is_some())
            .count();
        let cold_since = self
            .cold_since(self.now)
            .filter(|_| self.now.as_micros() > 0);
        if cold_since.is_some_and(|from| self.now.since(from) < Duration::from_millis(100))
            && running > 1
        {
            self.fail_all();
        }
        let Some(lag) = self.plan.report_lag else {
            let report = HealthReport {
                state: ReportedState::Ready,
                load: None,
            };
            let actions = self.admission.report(self.now, report);
            return self.carry_out(actions);
        };
        let observed_at =
            Instant::ZERO + Duration::from_micros(self.now.since(Instant::ZERO + lag).as_micros());
        let cold = self.cold_since(observed_at);
        if cold.is_some() {
            self.known_cold = cold;
        }
        let state = if cold.is_some() {
            ReportedState::Cold
        } else {
            ReportedState::Ready
        };
        let actions = self
            .admission
            .report(self.now, HealthReport { state, load: None });
        self.carry_out(actions);
        let state = self.admission.state();
        assert!(
            cold.is_none() || state == TargetState::Cold,
            "a cold report was ignored"
        );
    }
}

/// Target of 4 slots with two classes of weight 2 and 1, and a load relative to its capacity.
pub fn plan(seed: u64, target_speed: f64, load: f64, secs: u64) -> Plan {
    let service_times = vec![Duration::from_millis(20), Duration::from_millis(60)];
    let service_times: Vec<_> = service_times
        .into_iter()
        .map(|s| s.mul_f64(1.0 / target_speed))
        .collect();
    let slots = 4_u32;
    // Each class causes half of the busy time.
    let rates = service_times
        .iter()
        .map(|s| load * f64::from(slots) / 2.0 / s.as_secs_f64());
    Plan {
        seed,
        rates: rates.collect(),
        service_times,
        parameters: TargetParameters {
            slots,
            connections: 100,
            cold_share: 0.1,
            classes: vec![
                ClassParameters {
                    weight: 2,
                    stream: false,
                },
                ClassParameters {
                    weight: 1,
                    stream: false,
                },
            ],
        },
        deadline: Duration::from_millis(1_000),
        cold_intervals: Vec::new(),
        cold_factor: 3.0,
        report_lag: Some(Duration::from_secs(1)),
        end: Instant::from_secs(secs),
    }
}
