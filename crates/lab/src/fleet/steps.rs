//! Performs the steps of a schedule.

use monsoon_membership::Event;
use monsoon_model::{Duration, Instant, ServiceId};

use super::plan::{Faults, Step};
use super::process::{Condition, NAMES, Phase, Process};
use super::store::{OBJECTS, Object};
use super::{Due, Fleet};

/// Time for which a leaving balancer still forwards what reaches it.
const LEAVING_NOTICE: Duration = Duration::from_secs(2);
/// Least number of balancers that a data centre keeps.
const LEAST_BALANCERS: usize = 2;
/// Least number of serving agents that a service keeps.
const LEAST_AGENTS: usize = 3;
/// Age that a value has when the store loses it, so that the fleet knows it.
const KNOWN: Duration = Duration::from_secs(5);

impl Fleet {
    /// Schedules the faults of a run.
    pub(super) fn with_faults(mut self, faults: &Faults) -> Self {
        self.links.loss = faults.loss;
        self.links.repeat = faults.repeat;
        self.links.late = faults.late;
        self.store.lost = faults.lost_answers;
        self.reuse_after = Duration::from_secs(faults.reuse_after);
        let span = self.setup.end.since(self.now);
        for (delay, step) in faults.steps(&mut self.rng, span) {
            self.after(delay, Due::Step(step));
        }
        self
    }

    /// Schedules one step.
    pub(super) fn plan(&mut self, delay: Duration, step: Step) {
        self.after(delay, Due::Step(step));
    }

    pub(super) fn step(&mut self, step: Step) {
        match step {
            Step::JoinBalancer => self.join(true),
            Step::JoinAgent => self.join(false),
            Step::LeaveBalancer => self.leave_balancer(),
            Step::CrashBalancer => self.crash(true),
            Step::CrashAgent => self.crash(false),
            Step::FreezeBalancer(span) => self.freeze(true, span),
            Step::FreezeAgent(span) => self.freeze(false, span),
            Step::Thaw(index) => self.thaw(index),
            Step::ReuseAddress => self.reuse_address(),
            Step::LeaveAgent => {
                if let Some(index) = self.spare(false) {
                    self.leave_agent(index);
                }
            }
            Step::Document => {
                let text = self.next_document();
                self.change(Object::Document, text);
            }
            Step::Race => self.race(),
            Step::TakeOut => {
                let place = 1 + self.rng.below(3) as u8;
                self.change_evacuations(Some(place));
            }
            Step::TakeOutPlace(place) => self.change_evacuations(Some(place)),
            Step::BringBack => self.change_evacuations(None),
            Step::Cut {
                from,
                to,
                both,
                span,
            } => self.cut(from, to, both, span),
            Step::StoreDown(span) => {
                self.store.down_until = self.now + span;
                self.wake_watches(None);
                self.fault(span, None);
            }
            Step::StoreSlow(span) => {
                self.store.slow_until = self.now + span;
                self.fault(span, None);
            }
            Step::StoreLoses => self.lose_newest(),
            Step::Healed(link) => {
                if let Some(link) = link {
                    self.links.cuts.remove(&link);
                    self.truth.cut = Some(self.now);
                }
                self.truth.faults -= 1;
                self.truth.healthy = self.now;
            }
            Step::EndBalancer(index) => self.processes[index].condition = Condition::Ended,
        }
    }

    /// Notes a fault of store or links until it ends.
    fn fault(&mut self, span: Duration, link: Option<(u8, u8)>) {
        self.truth.faults += 1;
        self.plan(span, Step::Healed(link));
    }

    fn cut(&mut self, from: u8, to: u8, both: bool, span: Duration) {
        self.links.cuts.insert((from, to));
        self.fault(span, Some((from, to)));
        if both {
            self.links.cuts.insert((to, from));
            self.fault(span, Some((to, from)));
        }
    }

    fn join(&mut self, balancer: bool) {
        let place = 1 + self.rng.below(3) as u8;
        let service = ServiceId(1 + self.rng.below(2) as u16);
        self.add(place, (!balancer).then_some(service), None);
    }

    /// A random process that may go without leaving its place or service too small.
    fn spare(&mut self, balancer: bool) -> Option<usize> {
        let lives = |p: &Process| {
            let serves = p.agent.phase == Phase::Serving && p.left.is_none();
            p.is_balancer() == balancer && p.is_running() && p.started && serves
        };
        let same = |a: &Process, b: &Process| {
            if balancer {
                a.place == b.place
            } else {
                a.want == b.want
            }
        };
        let least = if balancer {
            LEAST_BALANCERS
        } else {
            LEAST_AGENTS
        };
        let spare = |one: &Process| {
            let others = self.processes.iter();
            others.filter(|p| lives(p) && same(p, one)).count() > least
        };
        let found: Vec<_> = (0..self.processes.len())
            .filter(|index| lives(&self.processes[*index]) && spare(&self.processes[*index]))
            .collect();
        let pick = self.rng.below(found.len() as u64) as usize;
        found.get(pick).copied()
    }

    fn leave_balancer(&mut self) {
        let Some(index) = self.spare(true) else {
            return;
        };
        self.event(index, Event::Leave);
        self.processes[index].left = Some(self.now);
        self.plan(LEAVING_NOTICE, Step::EndBalancer(index));
    }

    fn crash(&mut self, balancer: bool) {
        let Some(index) = self.spare(balancer) else {
            return;
        };
        let process = &mut self.processes[index];
        process.condition = Condition::Ended;
        process.crashed = Some(self.now);
        process.ended = Some(self.now);
        process.harmed = true;
        process.agent.flows.clear();
    }

    fn freeze(&mut self, balancer: bool, span: Duration) {
        if let Some(index) = self.spare(balancer) {
            self.processes[index].condition = Condition::Frozen;
            self.processes[index].harmed = true;
            self.plan(span, Step::Thaw(index));
        }
    }

    /// Starts an agent of the other service at the address of one that ended.
    fn reuse_address(&mut self) {
        let ended = |(index, p): &(usize, &Process)| {
            let last = self.by_ip.get(&p.ip) == Some(index);
            let age = p.ended.map_or(Duration::ZERO, |at| self.now.since(at));
            let ready = last && age >= self.reuse_after;
            p.want.is_some() && p.condition == Condition::Ended && ready
        };
        let found = self.processes.iter().enumerate().find(ended);
        let Some((place, ip, service)) = found.and_then(|(_, p)| Some((p.place, p.ip, p.want?)))
        else {
            return;
        };
        let other = ServiceId(3 - service.0);
        self.add(place, Some(other), Some(ip));
    }

    fn next_document(&mut self) -> String {
        let slots = 2 + self.rng.below(6);
        let change = self.operators.len();
        let text = &self.setup.document;
        let text = text.replace("slots = 9", &format!("slots = {slots}"));
        format!("{text}\n# change {change}\n")
    }

    fn race(&mut self) {
        for _ in 0..2 {
            let text = self.next_document();
            self.change(Object::Document, text);
        }
    }

    /// Takes a data centre out, unless another one is out, or brings all back.
    fn change_evacuations(&mut self, out: Option<u8>) {
        let is_any_out = !self.truth.out.is_empty();
        match out {
            Some(place) if !is_any_out => {
                let text = format!("out = [\"{}\"]\n", NAMES[usize::from(place)]);
                self.change(Object::Evacuations, text);
            }
            None if is_any_out => {
                self.change(Object::Evacuations, "out = []\n".to_owned());
            }
            _ => {}
        }
    }

    /// The store loses the newest value of an object that the fleet knows.
    fn lose_newest(&mut self) {
        let object = OBJECTS[self.rng.below(2) as usize];
        let known = self.truth.is_known(self.now, object, KNOWN);
        if known && self.truth.faults == 0 && self.now > Instant::from_secs(1_000) + KNOWN {
            self.store.lose_newest(object);
            self.truth.lost = Some(self.now);
        }
    }
}
