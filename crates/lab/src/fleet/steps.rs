//! Performance of the scheduled steps: planned changes and faults.

use monsoon_membership::Event;
use monsoon_model::{Duration, Instant, ServiceId};

use super::plan::{Faults, Step};
use super::process::{Condition, DATA_CENTRE_NAMES, Phase, Process};
use super::store::{OBJECTS, Object};
use super::{Fleet, FleetEvent};

/// Time for which a leaving balancer still forwards packets.
const FORWARD_TIME: Duration = Duration::from_secs(2);
/// Least number of balancers that a data centre keeps.
const MIN_BALANCERS: usize = 2;
/// Least number of serving agents that a service keeps.
const MIN_AGENTS: usize = 3;
/// Least age of a value that the store loses, so that the fleet knows it already.
const KNOWN_AGE: Duration = Duration::from_secs(5);

impl Fleet {
    /// Schedules the changes and faults of a run.
    pub(super) fn with_faults(mut self, faults: &Faults) -> Self {
        self.links.loss_permille = faults.loss_permille;
        self.links.duplicate_permille = faults.duplicate_permille;
        self.links.late_permille = faults.late_permille;
        self.store.lost_permille = faults.lost_answer_permille;
        self.reuse_delay = Duration::from_secs(faults.reuse_delay);
        let span = self.setup.end.since(self.now);
        for (delay, step) in faults.steps(&mut self.rng, span) {
            self.schedule(delay, FleetEvent::Step(step));
        }
        self
    }

    /// Schedules one step.
    pub(super) fn schedule_step(&mut self, delay: Duration, step: Step) {
        self.schedule(delay, FleetEvent::Step(step));
    }

    pub(super) fn perform_step(&mut self, step: Step) {
        match step {
            Step::JoinBalancer => self.join(true),
            Step::JoinAgent => self.join(false),
            Step::LeaveBalancer => self.leave_balancer(),
            Step::CrashBalancer => self.crash_process(true),
            Step::CrashAgent => self.crash_process(false),
            Step::SuspendBalancer(span) => self.suspend(true, span),
            Step::SuspendAgent(span) => self.suspend(false, span),
            Step::Resume(index) => self.resume(index),
            Step::ReuseAddress => self.reuse_address(),
            Step::LeaveAgent => {
                if let Some(index) = self.removable_process(false) {
                    self.leave_agent(index);
                }
            }
            Step::ChangeDocument => {
                let text = self.next_document();
                self.start_change(Object::Document, text);
            }
            Step::RaceOperators => self.race(),
            Step::EvacuateRandom => {
                let data_centre = 1 + self.rng.below(3) as u8;
                self.change_evacuations(Some(data_centre));
            }
            Step::Evacuate(data_centre) => self.change_evacuations(Some(data_centre)),
            Step::Restore => self.change_evacuations(None),
            Step::CutLink {
                from,
                to,
                both,
                span,
            } => self.cut_link(from, to, both, span),
            Step::StoreDown(span) => {
                self.store.down_until = self.now + span;
                self.wake_watches(None);
                self.begin_fault(span, None);
            }
            Step::StoreSlow(span) => {
                self.store.slow_until = self.now + span;
                self.begin_fault(span, None);
            }
            Step::StoreLoss => self.lose_newest(),
            Step::EndFault(link) => {
                if let Some(link) = link {
                    self.links.cuts.remove(&link);
                    self.truth.cut_at = Some(self.now);
                }
                self.truth.active_faults -= 1;
                self.truth.healthy_since = self.now;
            }
            Step::EndBalancer(index) => self.processes[index].condition = Condition::Ended,
        }
    }

    /// Counts a fault of store or links, and schedules its end after `span`.
    fn begin_fault(&mut self, span: Duration, link: Option<(u8, u8)>) {
        self.truth.active_faults += 1;
        self.schedule_step(span, Step::EndFault(link));
    }

    fn cut_link(&mut self, from: u8, to: u8, both: bool, span: Duration) {
        self.links.cuts.insert((from, to));
        self.begin_fault(span, Some((from, to)));
        if both {
            self.links.cuts.insert((to, from));
            self.begin_fault(span, Some((to, from)));
        }
    }

    fn join(&mut self, is_balancer: bool) {
        let data_centre = 1 + self.rng.below(3) as u8;
        let service = ServiceId(1 + self.rng.below(2) as u16);
        self.add(data_centre, (!is_balancer).then_some(service), None);
    }

    /// Random process of a role that can stop without leaving its data centre too few balancers, or
    /// its service too few agents.
    fn removable_process(&mut self, is_balancer: bool) -> Option<usize> {
        let is_live = |p: &Process| {
            let serves = p.agent.phase == Phase::Serving && p.left_at.is_none();
            p.is_balancer() == is_balancer && p.is_running() && p.is_started && serves
        };
        let is_peer = |a: &Process, b: &Process| {
            if is_balancer {
                a.data_centre == b.data_centre
            } else {
                a.service == b.service
            }
        };
        let minimum = if is_balancer {
            MIN_BALANCERS
        } else {
            MIN_AGENTS
        };
        let removable = |one: &Process| {
            let others = self.processes.iter();
            others.filter(|p| is_live(p) && is_peer(p, one)).count() > minimum
        };
        let found: Vec<_> = (0..self.processes.len())
            .filter(|index| is_live(&self.processes[*index]) && removable(&self.processes[*index]))
            .collect();
        let pick = self.rng.below(found.len() as u64) as usize;
        found.get(pick).copied()
    }

    fn leave_balancer(&mut self) {
        let Some(index) = self.removable_process(true) else {
            return;
        };
        self.handle_event(index, Event::Leave);
        self.processes[index].left_at = Some(self.now);
        self.schedule_step(FORWARD_TIME, Step::EndBalancer(index));
    }

    fn crash_process(&mut self, is_balancer: bool) {
        let Some(index) = self.removable_process(is_balancer) else {
            return;
        };
        let process = &mut self.processes[index];
        process.condition = Condition::Ended;
        process.crashed_at = Some(self.now);
        process.ended_at = Some(self.now);
        process.is_harmed = true;
        process.agent.flows.clear();
    }

    fn suspend(&mut self, is_balancer: bool, span: Duration) {
        if let Some(index) = self.removable_process(is_balancer) {
            self.processes[index].condition = Condition::Suspended;
            self.processes[index].is_harmed = true;
            self.schedule_step(span, Step::Resume(index));
        }
    }

    /// Starts an agent of the other service at the address of an agent that ended.
    fn reuse_address(&mut self) {
        let ended = |(index, p): &(usize, &Process)| {
            let last = self.by_ip.get(&p.ip) == Some(index);
            let age = p.ended_at.map_or(Duration::ZERO, |at| self.now.since(at));
            let ready = last && age >= self.reuse_delay;
            p.service.is_some() && p.condition == Condition::Ended && ready
        };
        let found = self.processes.iter().enumerate().find(ended);
        let Some((data_centre, ip, service)) =
            found.and_then(|(_, p)| Some((p.data_centre, p.ip, p.service?)))
        else {
            return;
        };
        let other = ServiceId(3 - service.0);
        self.add(data_centre, Some(other), Some(ip));
    }

    /// Text of a changed document.
    fn next_document(&mut self) -> String {
        let slots = 2 + self.rng.below(6);
        let change = self.operators.len();
        let text = &self.setup.document;
        let text = text.replace("slots = 9", &format!("slots = {slots}"));
        format!("{text}\n# change {change}\n")
    }

    /// Starts two operators that change the document at once.
    fn race(&mut self) {
        for _ in 0..2 {
            let text = self.next_document();
            self.start_change(Object::Document, text);
        }
    }

    /// Evacuates a data centre unless one is evacuated already, or restores all with `None`.
    fn change_evacuations(&mut self, data_centre: Option<u8>) {
        let any_evacuated = !self.truth.evacuated_at.is_empty();
        match data_centre {
            Some(data_centre) if !any_evacuated => {
                let text = format!(
                    "out = [\"{}\"]\n",
                    DATA_CENTRE_NAMES[usize::from(data_centre)]
                );
                self.start_change(Object::Evacuations, text);
            }
            None if any_evacuated => {
                self.start_change(Object::Evacuations, "out = []\n".to_owned());
            }
            _ => {}
        }
    }

    /// Lets the store lose the newest value of an object, if the fleet knows that value.
    fn lose_newest(&mut self) {
        let object = OBJECTS[self.rng.below(2) as usize];
        let is_known = self.truth.is_known(self.now, object, KNOWN_AGE);
        if is_known
            && self.truth.active_faults == 0
            && self.now > Instant::from_secs(1_000) + KNOWN_AGE
        {
            self.store.lose_newest(object);
            self.truth.lost_at = Some(self.now);
        }
    }
}
