//! Control path of the processes: membership messages, their actions and the states that agents
//! report, in the order of the daemon's control loop.

use std::net::{IpAddr, SocketAddr};

use monsoon_membership::{Action, Event, Message};
use monsoon_model::Duration;

use super::process::{Condition, INBOX, Node, Phase};
use super::{Fleet, FleetEvent};

/// Interval at which an agent checks and reports its own state.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which no process sends new work to a leaving agent.
const LEAVING_NOTICE: Duration = Duration::from_secs(3);

impl Fleet {
    pub(super) fn tick(&mut self, process: usize) {
        if self.processes[process].tick_at == self.now {
            self.handle_event(process, Event::Tick);
        }
    }

    /// Index of the latest process at an address.
    pub(super) fn process_at(&self, address: SocketAddr) -> Option<usize> {
        match address.ip() {
            IpAddr::V4(ip) => self.by_ip.get(&ip).copied(),
            IpAddr::V6(_) => None,
        }
    }

    pub(super) fn receive_control(&mut self, to: usize, from: SocketAddr, message: Message) {
        let process = &mut self.processes[to];
        match process.condition {
            Condition::Running => self.handle_event(to, Event::Message { from, message }),
            Condition::Suspended if process.inbox.len() < INBOX => {
                process.inbox.push((from, message));
            }
            _ => {}
        }
    }

    /// Passes an event to the membership of a running process and performs its actions.
    pub(super) fn handle_event(&mut self, index: usize, event: Event) {
        let process = &mut self.processes[index];
        if !process.is_running() {
            return;
        }
        let actions = process.node.handle(self.now, event);
        self.perform_actions(index, actions);
        self.schedule_tick(index);
    }

    fn schedule_tick(&mut self, index: usize) {
        if self.processes[index].is_balancer() && self.processes[index].left_at.is_some() {
            return;
        }
        let next = self.processes[index].node.next_tick();
        let next = next.max(self.now + Duration::from_millis(1));
        let process = &mut self.processes[index];
        if process.tick_at <= self.now || next < process.tick_at {
            process.tick_at = next;
            let delay = next.since(self.now);
            self.schedule(delay, FleetEvent::Tick(index));
        }
    }

    pub(super) fn perform_actions(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => self.send_control(index, to, &message),
                Action::MembersChanged => self.members_changed(index),
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

    /// Rebuilds a balancer's tables, or updates the balancers that an agent knows.
    fn members_changed(&mut self, index: usize) {
        let now = self.now;
        let process = &mut self.processes[index];
        if process.is_balancer() {
            process.rebuild(now);
        } else if let Node::Agent(node) = &process.node {
            let balancers = node.balancers(now);
            process.agent.known_balancers =
                balancers.iter().map(|balancer| balancer.data).collect();
        }
    }

    fn send_control(&mut self, index: usize, to: SocketAddr, message: &Message) {
        let Some(receiver) = self.process_at(to) else {
            return;
        };
        let from = self.processes[index].control_address();
        let data_centres = (
            self.processes[index].data_centre,
            self.processes[receiver].data_centre,
        );
        for delay in self
            .links
            .between(&mut self.rng, data_centres.0, data_centres.1)
        {
            let delivery = FleetEvent::Control {
                to: receiver,
                from,
                message: message.clone(),
            };
            self.schedule(delay, delivery);
        }
    }

    /// Reports the state of an agent if it changed, and ends a leaving agent that has drained.
    pub(super) fn report_state(&mut self, index: usize) {
        let condition = self.processes[index].condition;
        if condition == Condition::Ended {
            return;
        }
        if condition == Condition::Running && self.processes[index].is_started {
            self.redraw_load(index);
            let local = self.processes[index].local_state();
            if self.processes[index].agent.reported_state != Some(local) {
                self.handle_event(index, Event::Local(local));
                self.processes[index].agent.reported_state = Some(local);
            }
            self.end_if_drained(index);
        }
        self.schedule(REPORT_INTERVAL, FleetEvent::ReportState(index));
    }

    /// Sets the load of the target to a random value up to 1.5 times the limit, in one of ten
    /// calls.
    fn redraw_load(&mut self, index: usize) {
        if self.rng.below(10) == 0 {
            let agent = &mut self.processes[index].agent;
            agent.load.used = self.rng.below(u64::from(agent.load.limit) * 3 / 2) as u32;
        }
    }

    /// Ends a leaving agent once it has no flows.
    fn end_if_drained(&mut self, index: usize) {
        let now = self.now;
        let process = &mut self.processes[index];
        let Some(left_at) = process.left_at else {
            return;
        };
        process
            .agent
            .flows
            .retain(|_, state| now.since(state.last_packet) < super::agents::IDLE_TIMEOUT);
        if now.since(left_at) >= LEAVING_NOTICE && process.agent.flows.is_empty() {
            self.handle_event(index, Event::Leave);
            self.processes[index].condition = Condition::Ended;
            self.processes[index].ended_at = Some(now);
        }
    }

    /// Starts the planned stop of an agent.
    pub(super) fn leave_agent(&mut self, index: usize) {
        let process = &mut self.processes[index];
        process.left_at.get_or_insert(self.now);
        process.agent.phase = Phase::Leaving;
    }

    /// Resumes a suspended process, which then handles the messages that waited.
    pub(super) fn resume(&mut self, index: usize) {
        if self.processes[index].condition != Condition::Suspended {
            return;
        }
        self.processes[index].condition = Condition::Running;
        self.processes[index].resumed_at = self.now;
        let inbox = std::mem::take(&mut self.processes[index].inbox);
        for (from, message) in inbox {
            self.handle_event(index, Event::Message { from, message });
        }
        self.handle_event(index, Event::Tick);
        self.schedule(Duration::ZERO, FleetEvent::Tick(index));
    }
}
