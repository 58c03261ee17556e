//! Membership of the processes, in the order of the daemon's control loop.

use std::net::{IpAddr, SocketAddr};

use monsoon_membership::{Action, Event, Message};
use monsoon_model::Duration;

use super::process::{Condition, INBOX, Node, Phase};
use super::{Due, Fleet};

/// Time between two looks of an agent at its own state.
const REPORT: Duration = Duration::from_millis(100);
/// Time after which nobody sends new work to a leaving agent any more.
const LEAVING_NOTICE: Duration = Duration::from_secs(3);

impl Fleet {
    pub(super) fn tick(&mut self, process: usize) {
        if self.processes[process].tick_at == self.now {
            self.event(process, Event::Tick);
        }
    }

    /// Index of the process that holds this address now.
    pub(super) fn holder(&self, address: SocketAddr) -> Option<usize> {
        match address.ip() {
            IpAddr::V4(ip) => self.by_ip.get(&ip).copied(),
            IpAddr::V6(_) => None,
        }
    }

    pub(super) fn control(&mut self, to: usize, from: SocketAddr, message: Message) {
        let process = &mut self.processes[to];
        match process.condition {
            Condition::Running => self.event(to, Event::Message { from, message }),
            Condition::Frozen if process.inbox.len() < INBOX => {
                process.inbox.push((from, message));
            }
            _ => {}
        }
    }

    /// Gives an event to a running process and performs its actions.
    pub(super) fn event(&mut self, index: usize, event: Event) {
        let process = &mut self.processes[index];
        if !process.is_running() {
            return;
        }
        let actions = process.node.handle(self.now, event);
        self.act(index, actions);
        self.schedule_tick(index);
    }

    fn schedule_tick(&mut self, index: usize) {
        if self.processes[index].is_balancer() && self.processes[index].left.is_some() {
            return;
        }
        let next = self.processes[index].node.next_tick();
        let next = next.max(self.now + Duration::from_millis(1));
        let process = &mut self.processes[index];
        if process.tick_at <= self.now || next < process.tick_at {
            process.tick_at = next;
            let delay = next.since(self.now);
            self.after(delay, Due::Tick(index));
        }
    }

    pub(super) fn act(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => self.send(index, to, &message),
                Action::MembersChanged => self.changed(index),
                Action::MemberDied(member) => {
                    let now = self.now;
                    let epoch = member.id.epoch();
                    self.processes[index]
                        .router
                        .mark_dead(now, member.data, epoch);
                }
                Action::FetchConfiguration { peer, versions } => self.fetch(index, peer, versions),
            }
        }
    }

    fn changed(&mut self, index: usize) {
        let now = self.now;
        let process = &mut self.processes[index];
        if process.is_balancer() {
            process.rebuild(now);
        } else if let Node::Agent(node) = &process.node {
            let balancers = node.balancers(now);
            process.agent.members = balancers.iter().map(|balancer| balancer.data).collect();
        }
    }

    fn send(&mut self, index: usize, to: SocketAddr, message: &Message) {
        let Some(receiver) = self.holder(to) else {
            return;
        };
        let from = self.processes[index].control();
        let places = (self.processes[index].place, self.processes[receiver].place);
        for delay in self.links.between(&mut self.rng, places.0, places.1) {
            let due = Due::Control {
                to: receiver,
                from,
                message: message.clone(),
            };
            self.after(delay, due);
        }
    }

    /// Timer of an agent: reports its own state and ends it when it has drained.
    pub(super) fn report(&mut self, index: usize) {
        let condition = self.processes[index].condition;
        if condition == Condition::Ended {
            return;
        }
        if condition == Condition::Running && self.processes[index].started {
            self.redraw_load(index);
            let local = self.processes[index].local();
            if self.processes[index].agent.reported != Some(local) {
                self.event(index, Event::Local(local));
                self.processes[index].agent.reported = Some(local);
            }
            self.drain(index);
        }
        self.after(REPORT, Due::Report(index));
    }

    /// Changes the load of the target now and then, up to half above the limit.
    fn redraw_load(&mut self, index: usize) {
        if self.rng.below(10) == 0 {
            let agent = &mut self.processes[index].agent;
            agent.load.used = self.rng.below(u64::from(agent.load.limit) * 3 / 2) as u32;
        }
    }

    /// Ends a leaving agent without flows.
    fn drain(&mut self, index: usize) {
        let now = self.now;
        let process = &mut self.processes[index];
        let Some(left) = process.left else {
            return;
        };
        process
            .agent
            .flows
            .retain(|_, held| now.since(held.last) < super::agents::IDLE_TIMEOUT);
        if now.since(left) >= LEAVING_NOTICE && process.agent.flows.is_empty() {
            self.event(index, Event::Leave);
            self.processes[index].condition = Condition::Ended;
            self.processes[index].ended = Some(now);
        }
    }

    /// Begins the planned stop of an agent.
    pub(super) fn leave_agent(&mut self, index: usize) {
        let process = &mut self.processes[index];
        process.left.get_or_insert(self.now);
        process.agent.phase = Phase::Leaving;
    }

    /// Lets a frozen process handle what waited.
    pub(super) fn thaw(&mut self, index: usize) {
        if self.processes[index].condition != Condition::Frozen {
            return;
        }
        self.processes[index].condition = Condition::Running;
        self.processes[index].thawed = self.now;
        let inbox = std::mem::take(&mut self.processes[index].inbox);
        for (from, message) in inbox {
            self.event(index, Event::Message { from, message });
        }
        self.event(index, Event::Tick);
        self.after(Duration::ZERO, Due::Tick(index));
    }
}
