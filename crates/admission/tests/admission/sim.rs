//! Model of one target and of the callers in front of its agent.

use std::collections::BTreeMap;

use monsoon_admission::{
    Action, Admission, ClassParameters, HealthReport, Outcome, ReportedState, ShedReason,
    TargetParameters, TargetState, WorkId,
};
use monsoon_model::{ClassKey, Duration, Instant, hash::mix};

/// Time in which a request fails at a target that was overrun.
const FAIL: Duration = Duration::from_millis(2);

pub struct Plan {
    pub seed: u64,
    pub parameters: TargetParameters,
    /// Mean service time per class; each is drawn from 0.5 to 1.5 times it.
    pub service: Vec<Duration>,
    /// Requests a second per class.
    pub rate: Vec<f64>,
    pub deadline: Duration,
    /// Cold intervals.
    pub cold: Vec<(Instant, Instant)>,
    /// Factor on the service time while cold.
    pub slow: f64,
    /// Lag of the health endpoint; none for one that always says ready.
    pub lag: Option<Duration>,
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
    started: Option<Instant>,
    fails: bool,
}

#[derive(Default)]
pub struct Stats {
    /// Responses within the deadline, per class, after the first quarter of the run.
    pub good: Vec<u64>,
    pub shed: BTreeMap<ShedReason, u64>,
    pub queued_max: u32,
    /// Overruns of the cold target before the agent could know of the episode.
    pub first: u64,
    /// Overruns after that.
    pub later: u64,
}

pub struct Sim {
    plan: Plan,
    pub admission: Admission,
    pub now: Instant,
    events: BTreeMap<(Instant, u64), Event>,
    works: BTreeMap<WorkId, Work>,
    draws: u64,
    /// Busy time that a cold target still has to recover from, in microseconds.
    deficit: f64,
    drained: Instant,
    /// Start of the cold episode that the agent has evidence of.
    known: Option<Instant>,
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
            deficit: 0.0,
            drained: Instant::ZERO,
            known: None,
            stats: Stats {
                good: vec![0; plan.service.len()],
                ..Stats::default()
            },
            plan,
        };
        for class in 0..sim.plan.rate.len() {
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
                assert!(tick >= self.now, "ticks go back in time");
                self.now = tick.max(self.now);
                let actions = self.admission.tick(self.now);
                self.carry_out(actions);
                let again = self.admission.next_tick();
                assert!(
                    again.is_none_or(|t| t > self.now),
                    "the same tick is asked for again"
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
        let gap = -(1.0 - self.draw()).ln() / self.plan.rate[class] * 1e6;
        self.at(Duration::from_micros(gap as u64), Event::Arrive(class));
    }

    fn arrive(&mut self, class: usize) {
        self.arrive_later(class);
        let id = WorkId(self.draws);
        let deadline = self.now + self.plan.deadline;
        let work = Work {
            class,
            deadline,
            started: None,
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
                    assert!(work.started.is_none(), "shed work was started");
                    *self.stats.shed.entry(reason).or_default() += 1;
                }
            }
        }
    }

    fn is_cold(&self, at: Instant) -> Option<Instant> {
        let episode = self
            .plan
            .cold
            .iter()
            .find(|(from, to)| *from <= at && at < *to);
        episode.map(|(from, _)| *from)
    }

    fn start(&mut self, id: WorkId) {
        let share = self.plan.parameters.cold_share * f64::from(self.plan.parameters.slots);
        let running = self.works.values().filter(|w| w.started.is_some()).count();
        self.deficit =
            (self.deficit - self.now.since(self.drained).as_micros() as f64 * share).max(0.0);
        self.drained = self.now;
        let cold = self.is_cold(self.now);
        let over = running >= (share as usize).max(1) || (share < 1.0 && self.deficit > 10.0);
        if let Some(from) = cold.filter(|_| over) {
            if self.known == Some(from) {
                self.stats.later += 1;
            } else {
                self.stats.first += 1;
            }
            self.fail_all();
        }
        let factor = (0.5 + self.draw()) * if cold.is_some() { self.plan.slow } else { 1.0 };
        let now = self.now;
        let work = self.works.get_mut(&id).expect("started work is known");
        assert!(work.started.is_none(), "work started twice");
        work.started = Some(now);
        work.fails |= cold.is_some() && over;
        let service = self.plan.service[work.class].mul_f64(factor);
        let deadline = work.deadline.since(now);
        let service = if work.fails { FAIL } else { service };
        self.at(service, Event::Done(id));
        self.at(deadline, Event::Deadline(id));
    }

    /// Fails everything in flight.
    fn fail_all(&mut self) {
        let running: Vec<_> = self
            .works
            .iter()
            .filter(|(_, w)| w.started.is_some())
            .map(|(id, _)| *id)
            .collect();
        for id in running {
            self.works.get_mut(&id).expect("listed").fails = true;
            self.at(FAIL, Event::Done(id));
        }
    }

    fn end(&mut self, id: WorkId, outcome: Outcome) {
        let Some(work) = self.works.remove(&id) else {
            return;
        };
        let started = work.started.expect("only started work ends");
        // Only busy time within the episode counts.
        let from = self.is_cold(self.now).unwrap_or(self.now);
        self.deficit += self.now.since(started.max(from)).as_micros() as f64;
        if outcome == Outcome::Ok && self.now.as_micros() * 4 > self.plan.end.as_micros() {
            self.stats.good[work.class] += 1;
        }
        if outcome == Outcome::Failed {
            self.known = self.is_cold(self.now);
        }
        let actions = self.admission.finish(self.now, id, outcome);
        self.carry_out(actions);
    }

    /// Health report, and the failure of a target that turned cold under more than its share.
    fn report(&mut self) {
        self.at(Duration::from_millis(100), Event::Report);
        let running = self.works.values().filter(|w| w.started.is_some()).count();
        let turned = self.is_cold(self.now).filter(|_| self.now.as_micros() > 0);
        if turned.is_some_and(|from| self.now.since(from) < Duration::from_millis(100))
            && running > 1
        {
            self.fail_all();
        }
        let Some(lag) = self.plan.lag else {
            let report = HealthReport {
                state: ReportedState::Ready,
                load: None,
            };
            let actions = self.admission.report(self.now, report);
            return self.carry_out(actions);
        };
        let past =
            Instant::ZERO + Duration::from_micros(self.now.since(Instant::ZERO + lag).as_micros());
        let cold = self.is_cold(past);
        if cold.is_some() {
            self.known = cold;
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
            "a report of cold was ignored"
        );
    }
}

/// Target of 4 slots with two classes: holds of weight 2 and uploads of weight 1.
pub fn plan(seed: u64, pace: f64, load: f64, secs: u64) -> Plan {
    let service = vec![Duration::from_millis(20), Duration::from_millis(60)];
    let service: Vec<_> = service.into_iter().map(|s| s.mul_f64(1.0 / pace)).collect();
    let slots = 4_u32;
    // Half of the busy time belongs to each class.
    let rate = service
        .iter()
        .map(|s| load * f64::from(slots) / 2.0 / s.as_secs_f64());
    Plan {
        seed,
        rate: rate.collect(),
        service,
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
        cold: Vec::new(),
        slow: 3.0,
        lag: Some(Duration::from_secs(1)),
        end: Instant::from_secs(secs),
    }
}
