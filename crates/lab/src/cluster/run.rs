//! Event loop of the simulation.

mod requests;
mod target;

use std::collections::BTreeMap;

use monsoon_admission::{Outcome, WorkId};
use monsoon_execution::{Event as Step, Execution, Request};
use monsoon_model::{Duration, Instant, hash::mix};

use super::node::Node;
use super::{Policy, Results, Setup};

/// One way between agents, in the same region.
const HOP: Duration = Duration::from_micros(1_500);

/// Interval of announcements, and of the replies that carry the others' loads.
const ANNOUNCE: Duration = Duration::from_millis(500);

/// Interval of health reports.
const REPORT: Duration = Duration::from_millis(100);

/// Flows per agent on average; a flow stays where it is.
const FLOWS: u64 = 20;

#[derive(Clone, Copy, Debug)]
enum Event {
    Arrive(usize),
    /// A request passed on reaches the peer.
    Offer(WorkId, usize),
    Done(WorkId, usize),
    /// The outcome at the peer reaches the agent of the flow.
    Back(u64, Step),
    Deadline(u64),
    Tick(usize),
    Announce(usize),
    Report(usize),
}

struct Flight {
    execution: Execution,
    class: usize,
    agent: usize,
    /// Node of the present attempt.
    node: usize,
    offered: Instant,
}

/// A simulated service.
pub struct Cluster {
    setup: Setup,
    now: Instant,
    draws: u64,
    events: BTreeMap<(Instant, u64), Event>,
    nodes: Vec<Node>,
    requests: BTreeMap<u64, Flight>,
    serial: u64,
    results: Results,
}

impl Cluster {
    pub fn run(setup: Setup) -> Results {
        let count = setup.speeds.len();
        let mut cluster = Self {
            now: Instant::ZERO,
            draws: 0,
            events: BTreeMap::new(),
            nodes: (0..count).map(|_| Node::new(&setup)).collect(),
            requests: BTreeMap::new(),
            serial: 0,
            results: Results {
                busy: vec![Duration::ZERO; count],
                good: vec![0; setup.classes.len()],
                ..Results::default()
            },
            setup,
        };
        for class in 0..cluster.setup.classes.len() {
            cluster.arrive_later(class);
        }
        for node in 0..count {
            let phase = Duration::from_micros(cluster.draw(500_000));
            cluster.at(phase, Event::Announce(node));
            cluster.at(phase, Event::Report(node));
        }
        while let Some(((at, _), event)) = cluster.events.pop_first() {
            if at >= cluster.setup.end {
                break;
            }
            cluster.now = at;
            cluster.step(event);
        }
        let retries: u64 = cluster.nodes.iter().map(|n| n.budget.retries()).sum();
        cluster.results.retries = retries as f64 / cluster.serial as f64;
        cluster.results
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrive(class) => self.arrive(class),
            Event::Offer(id, node) => self.offer(id, node),
            Event::Done(id, node) => self.done(id, node),
            Event::Back(request, step) => self.drive(request, step),
            Event::Deadline(request) => self.drive(request, Step::Tick),
            Event::Tick(node) => {
                self.nodes[node].ticks_at = None;
                let actions = self.nodes[node].control.tick(self.now);
                self.admit(node, actions);
            }
            Event::Announce(node) => self.announce(node),
            Event::Report(node) => self.report(node),
        }
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.draws += 1;
        mix(self.setup.seed, self.draws) % below.max(1)
    }

    fn unit(&mut self) -> f64 {
        self.draw(1 << 53) as f64 / (1_u64 << 53) as f64
    }

    fn at(&mut self, after: Duration, event: Event) {
        self.draws += 1;
        self.events.insert((self.now + after, self.draws), event);
    }

    fn arrive_later(&mut self, class: usize) {
        let gap = -(1.0 - self.unit()).ln() / self.setup.rate(class) * 1e6;
        self.at(Duration::from_micros(gap as u64), Event::Arrive(class));
    }

    fn arrive(&mut self, class: usize) {
        self.arrive_later(class);
        let agent = self.entry();
        let offered = self.now;
        let deadline = offered + self.setup.classes[class].deadline;
        let request = Request {
            idempotent: true,
            from_peer: false,
            deadline: Some(deadline),
        };
        let execution = Execution::new(offered, request);
        self.serial += 1;
        let id = self.serial;
        let flight = Flight {
            execution,
            class,
            agent,
            node: agent,
            offered,
        };
        self.requests.insert(id, flight);
        self.results.requests += u64::from(offered >= self.setup.warm_up);
        self.at(deadline.since(offered), Event::Deadline(id));
        self.drive(id, Step::Arrived);
    }

    /// Node that a request reaches first.
    fn entry(&mut self) -> usize {
        let count = self.nodes.len() as u64;
        let noise = self.draw(u64::MAX);
        let first = (noise % count) as usize;
        match self.setup.policy {
            Policy::Ours | Policy::FixedSlots => {
                let flow = noise % (count * FLOWS);
                (mix(self.setup.seed, flow) % count) as usize
            }
            Policy::Random => first,
            Policy::TwoChoices => {
                let second = (first + 1 + self.draw(count - 1) as usize) % count as usize;
                let share = |node: usize| self.nodes[node].announced.utilisation();
                if share(second) < share(first) {
                    second
                } else {
                    first
                }
            }
        }
    }

    /// Announces the node's load and receives the others' announced loads.
    fn announce(&mut self, node: usize) {
        self.at(ANNOUNCE, Event::Announce(node));
        self.nodes[node].announced = self.nodes[node].control.load();
        let announced: Vec<_> = self.nodes.iter().map(|n| n.announced).collect();
        for (peer, load) in self.nodes[node].peers.iter_mut().zip(announced) {
            peer.load = load;
            peer.sent = 0;
        }
    }
}

/// Outcome of a request that ended at its target.
fn outcome(fails: bool) -> Outcome {
    if fails { Outcome::Failed } else { Outcome::Ok }
}
