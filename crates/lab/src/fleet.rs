//! A fleet on virtual time: the product's own decision code of balancers and agents, wired as the
//! daemon wires it, with fakes of network, store, callers and targets.
//!
//! The run depends only on the seed. Checks of the invariants run inside it.

mod agents;
mod balancers;
mod callers;
mod centre;
mod checks;
mod configuration;
mod control;
mod flow;
mod network;
mod operators;
mod plan;
mod process;
mod report;
mod steps;
mod store;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use monsoon_lease::Event as WriteEvent;
use monsoon_membership::Message;
use monsoon_model::{AgentId, Duration, Instant, ServiceId, Version, hash::mix};
use monsoon_wire::{Keyring, RawKeys};

pub use centre::run as run_centre;
pub use report::run as run_fleet;

use checks::Truth;
use flow::{Flow, Forwarded, Packet, Reply};
use network::{Links, Rng};
use operators::Operator;
use plan::Step;
use process::{Condition, Process, Want};
use store::{Object, Store};

/// How balancers choose the agent of a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Connection IDs, tables with their history, and handoff.
    Ours,
    /// A random live target for each packet.
    Random,
    /// Consistent hashing of the caller's address over the balancer's present table.
    HashOnly,
}

/// What is due.
#[derive(Clone, Debug)]
enum Due {
    Tick(usize),
    Control {
        to: usize,
        from: SocketAddr,
        message: Message,
    },
    /// A call for newer texts arrives.
    Asked {
        at: usize,
        by: usize,
    },
    Fetched {
        process: usize,
        texts: Vec<(Object, Version, String)>,
    },
    Poll(usize, Object),
    Stored {
        process: usize,
        object: Object,
        value: Option<(Version, String)>,
    },
    Report(usize),
    /// A caller's packet arrives at a balancer.
    Entry {
        at: usize,
        flow: usize,
        packet: Packet,
        cid: Option<[u8; monsoon_wire::CID_LEN]>,
    },
    /// A forwarded packet arrives at an address.
    Arrive {
        to: SocketAddrV4,
        sent: Forwarded,
    },
    /// A reply arrives at a balancer.
    Return {
        at: usize,
        flow: usize,
        reply: Reply,
    },
    /// A reply arrives at the caller.
    Answer {
        flow: usize,
        reply: Reply,
    },
    Caller(usize),
    NewFlow,
    Operator(usize, WriteEvent),
    Put(usize, Object, Option<Version>, String),
    Read(usize, Object),
    Work {
        process: usize,
        flow: usize,
        request: u64,
    },
    Step(Step),
    /// The measured callers start.
    Measure,
    Check,
}

/// Settings of one run.
#[derive(Clone, Debug)]
pub struct Setup {
    pub seed: u64,
    pub policy: Policy,
    pub document: String,
    pub balancers: u8,
    /// Agents by data centre and service.
    pub agents: Vec<(u8, u16)>,
    /// New flows a second.
    pub rate: u64,
    /// Time that a target needs for a request.
    pub work: Duration,
    pub end: Instant,
}

/// Counts of one run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    pub flows: u64,
    pub opened: u64,
    pub done: u64,
    pub refused: u64,
    pub out: u64,
    /// Broken although their agent lived.
    pub broken: u64,
    /// Broken because their agent was lost.
    pub lost: u64,
    pub not_opened: u64,
    /// Handshakes that two agents took.
    pub split: u64,
    pub resets: u64,
    pub accepted: u64,
}

/// Fleet with everything that is due.
pub struct Fleet {
    setup: Setup,
    now: Instant,
    rng: Rng,
    count: u64,
    due: BTreeMap<(Instant, u64), Due>,
    keys: Keyring,
    links: Links,
    store: Store,
    processes: Vec<Process>,
    by_ip: BTreeMap<Ipv4Addr, usize>,
    flows: Vec<Flow>,
    operators: Vec<Operator>,
    truth: Truth,
    measured: centre::Measured,
    /// Whether a broken flow ends the run with a message.
    strict: bool,
    reuse_after: Duration,
    pub totals: Totals,
}

impl Fleet {
    /// Fleet whose processes all start at once.
    pub fn new(setup: Setup) -> Self {
        let raw = RawKeys {
            phase: 1,
            current: "a1".repeat(32),
            previous: None,
            next: None,
        };
        let mut fleet = Self {
            now: Instant::from_secs(1_000),
            rng: Rng::new(setup.seed),
            count: 0,
            due: BTreeMap::new(),
            keys: Keyring::try_from(raw).expect("valid keys"),
            links: Links::default(),
            store: Store::new(&setup.document),
            processes: Vec::new(),
            by_ip: BTreeMap::new(),
            flows: Vec::new(),
            operators: Vec::new(),
            truth: Truth::new(Instant::from_secs(1_000)),
            measured: centre::Measured::default(),
            strict: setup.policy == Policy::Ours,
            reuse_after: Duration::ZERO,
            totals: Totals::default(),
            setup,
        };
        for place in 1..=3 {
            for _ in 0..fleet.setup.balancers {
                fleet.add(place, None, None);
            }
        }
        for (place, service) in fleet.setup.agents.clone() {
            fleet.add(place, Some(ServiceId(service)), None);
        }
        fleet.after(Duration::from_secs(8), Due::NewFlow);
        fleet.after(Duration::from_millis(100), Due::Check);
        fleet
    }

    /// Starts a process, at the address of an ended one if one is given.
    fn add(&mut self, place: u8, want: Want, ip: Option<Ipv4Addr>) -> usize {
        let index = self.processes.len();
        let fresh = Ipv4Addr::from_bits(10 << 24 | (index as u32 + 1));
        let ip = ip.unwrap_or(fresh);
        let id = AgentId(mix(self.setup.seed, index as u64));
        let seeds = self.seeds(place);
        let process = Process::new(self.now, (place, ip, id), want, seeds);
        self.processes.push(process);
        self.by_ip.insert(ip, index);
        let delay = Duration::from_micros(self.rng.below(50_000));
        self.processes[index].tick_at = self.now + delay;
        self.after(delay, Due::Tick(index));
        if want.is_none() {
            for object in store::OBJECTS {
                self.after(delay, Due::Poll(index, object));
            }
        } else {
            self.after(delay, Due::Report(index));
        }
        index
    }

    /// Balancers that a new process is told of: two of its own data centre, one of each other.
    fn seeds(&self, place: u8) -> Vec<SocketAddr> {
        let mut seeds = Vec::new();
        for centre in 1..=3 {
            let count = if centre == place { 2 } else { 1 };
            let lives = |p: &&Process| {
                p.is_balancer() && p.condition == Condition::Running && p.place == centre
            };
            let found = self.processes.iter().filter(lives).take(count);
            seeds.extend(found.map(Process::control));
        }
        seeds
    }

    fn after(&mut self, delay: Duration, due: Due) {
        self.count += 1;
        self.due.insert((self.now + delay, self.count), due);
    }

    /// Runs to the end of the set-up.
    pub fn run(&mut self) {
        while let Some(((at, _), due)) = self.due.pop_first() {
            if at >= self.setup.end {
                break;
            }
            assert!(at >= self.now, "virtual time never goes back");
            self.now = at;
            self.perform(due);
        }
        self.check_end();
    }

    fn perform(&mut self, due: Due) {
        match due {
            Due::Tick(process) => self.tick(process),
            Due::Control { to, from, message } => self.control(to, from, message),
            Due::Asked { at, by } => self.asked(at, by),
            Due::Fetched { process, texts } => self.fetched(process, texts),
            Due::Poll(process, object) => self.poll(process, object),
            Due::Stored {
                process,
                object,
                value,
            } => self.stored(process, object, value),
            Due::Report(process) => self.report(process),
            Due::Entry {
                at,
                flow,
                packet,
                cid,
            } => self.entry(at, flow, packet, cid),
            Due::Arrive { to, sent } => self.arrive(to, &sent),
            Due::Return { at, flow, reply } => self.give_back(at, flow, reply),
            Due::Answer { flow, reply } => self.answer(flow, reply),
            Due::Caller(flow) => self.caller(flow),
            Due::NewFlow => self.new_flows(),
            Due::Operator(operator, event) => self.operate(operator, event),
            Due::Put(operator, object, condition, change) => {
                self.put(operator, object, condition, change);
            }
            Due::Read(operator, object) => self.read(operator, object),
            Due::Work {
                process,
                flow,
                request,
            } => self.worked(process, flow, request),
            Due::Step(step) => self.step(step),
            Due::Measure => self.measure(),
            Due::Check => {
                self.check_configuration();
                self.after(Duration::from_millis(100), Due::Check);
            }
        }
    }
}
