//! Event loop of the simulated service, arrivals and load announcements.

mod requests;
mod target;

use std::collections::BTreeMap;

use monsoon_admission::{Outcome, WorkId};
use monsoon_execution::{Event as RequestEvent, Execution, Request};
use monsoon_model::{Duration, Instant, hash::mix};

use super::node::Node;
use super::{Policy, Results, Setup};

/// Delay of one direction between two agents of a region.
const HOP_DELAY: Duration = Duration::from_micros(1_500);

/// Interval at which an agent announces its load and receives the loads of the others.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

/// Interval of the health reports of a target.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Mean number of flows at an agent. A flow stays at its agent.
const FLOWS_PER_AGENT: u64 = 20;

#[derive(Clone, Copy, Debug)]
enum Event {
    /// A request of a class arrives.
    Arrive(usize),
    /// A forwarded request reaches the peer.
    Offer(WorkId, usize),
    /// A request ends at the target of a node.
    Done(WorkId, usize),
    /// The outcome of an attempt reaches the agent of the flow.
    Outcome(u64, RequestEvent),
    Deadline(u64),
    Tick(usize),
    Announce(usize),
    Report(usize),
}

/// Request at the agent of its flow.
struct PendingRequest {
    execution: Execution,
    class: usize,
    agent: usize,
    /// Node that has the present attempt.
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
    requests: BTreeMap<u64, PendingRequest>,
    last_request: u64,
    results: Results,
}

impl Cluster {
    /// Runs the simulation to its end.
    pub fn run(setup: Setup) -> Results {
        let count = setup.speeds.len();
        let mut cluster = Self {
            now: Instant::ZERO,
            draws: 0,
            events: BTreeMap::new(),
            nodes: (0..count).map(|_| Node::new(&setup)).collect(),
            requests: BTreeMap::new(),
            last_request: 0,
            results: Results {
                busy_times: vec![Duration::ZERO; count],
                responses: vec![0; setup.classes.len()],
                ..Results::default()
            },
            setup,
        };
        for class in 0..cluster.setup.classes.len() {
            cluster.schedule_arrival(class);
        }
        for node in 0..count {
            let phase = Duration::from_micros(cluster.draw(500_000));
            cluster.schedule(phase, Event::Announce(node));
            cluster.schedule(phase, Event::Report(node));
        }
        while let Some(((at, _), event)) = cluster.events.pop_first() {
            if at >= cluster.setup.end {
                break;
            }
            cluster.now = at;
            cluster.handle_event(event);
        }
        let retries: u64 = cluster
            .nodes
            .iter()
            .map(|node| node.retry_budget.retries())
            .sum();
        cluster.results.retry_ratio = retries as f64 / cluster.last_request as f64;
        cluster.results
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Arrive(class) => self.start_request(class),
            Event::Offer(id, node) => self.offer_work(id, node),
            Event::Done(id, node) => self.finish_work(id, node),
            Event::Outcome(request, request_event) => self.advance(request, request_event),
            Event::Deadline(request) => self.advance(request, RequestEvent::Tick),
            Event::Tick(node) => {
                self.nodes[node].tick_at = None;
                let actions = self.nodes[node].admission.tick(self.now);
                self.perform(node, actions);
            }
            Event::Announce(node) => self.announce_load(node),
            Event::Report(node) => self.report_health(node),
        }
    }

    /// Random number less than `below`.
    fn draw(&mut self, below: u64) -> u64 {
        self.draws += 1;
        mix(self.setup.seed, self.draws) % below.max(1)
    }

    /// Random number from 0 up to, but not including, 1.
    fn uniform(&mut self) -> f64 {
        self.draw(1 << 53) as f64 / (1_u64 << 53) as f64
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.draws += 1;
        self.events.insert((self.now + after, self.draws), event);
    }

    /// Schedules the next arrival of a class, with exponentially distributed gaps.
    fn schedule_arrival(&mut self, class: usize) {
        let gap = -(1.0 - self.uniform()).ln() / self.setup.rate(class) * 1e6;
        self.schedule(Duration::from_micros(gap as u64), Event::Arrive(class));
    }

    fn start_request(&mut self, class: usize) {
        self.schedule_arrival(class);
        let agent = self.entry_node();
        let offered = self.now;
        let deadline = offered + self.setup.classes[class].deadline;
        let request = Request {
            idempotent: true,
            from_peer: false,
            deadline: Some(deadline),
        };
        let execution = Execution::new(offered, request);
        self.last_request += 1;
        let id = self.last_request;
        let pending = PendingRequest {
            execution,
            class,
            agent,
            node: agent,
            offered,
        };
        self.requests.insert(id, pending);
        self.results.requests += u64::from(offered >= self.setup.measured_from);
        self.schedule(deadline.since(offered), Event::Deadline(id));
        self.advance(id, RequestEvent::Arrived);
    }

    /// Node that a new request reaches first.
    fn entry_node(&mut self) -> usize {
        let count = self.nodes.len() as u64;
        let noise = self.draw(u64::MAX);
        let first = (noise % count) as usize;
        match self.setup.policy {
            Policy::Ours | Policy::FixedSlots => {
                let flow = noise % (count * FLOWS_PER_AGENT);
                (mix(self.setup.seed, flow) % count) as usize
            }
            Policy::Random => first,
            Policy::TwoChoices => {
                let second = (first + 1 + self.draw(count - 1) as usize) % count as usize;
                let share = |node: usize| self.nodes[node].announced_load.utilisation();
                if share(second) < share(first) {
                    second
                } else {
                    first
                }
            }
        }
    }

    /// Announces the load of a node, which also receives the announced loads of the others.
    fn announce_load(&mut self, node: usize) {
        self.schedule(ANNOUNCE_INTERVAL, Event::Announce(node));
        self.nodes[node].announced_load = self.nodes[node].admission.load();
        let announced: Vec<_> = self
            .nodes
            .iter()
            .map(|other| other.announced_load)
            .collect();
        for (peer, load) in self.nodes[node].peer_loads.iter_mut().zip(announced) {
            peer.load = load;
            peer.sent = 0;
        }
    }
}

/// Outcome that admission learns of a request that ended at its target.
fn target_outcome(failed: bool) -> Outcome {
    if failed { Outcome::Failed } else { Outcome::Ok }
}
