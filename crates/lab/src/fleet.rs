//! Simulation of a fleet of balancers and agents in three data centres, on virtual time.
//!
//! The decision code is the product's own and wired as in the daemon. Network, store, callers and
//! targets are simulated. Planned changes and faults come from a random schedule. A run depends
//! only on its seed, and checks of the invariants end it with a message when one is broken.

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

use checks::GroundTruth;
use flow::{Flow, Forwarded, Packet, Reply};
use network::{Links, Rng};
use operators::Operator;
use plan::Step;
use process::{AgentService, Condition, Process};
use store::{Object, Store};

/// How balancers choose the agent of a packet. The tables print the variants' names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The product: connection IDs, tables with their history, and handoff between agents.
    Ours,
    /// A random live target for each packet.
    Random,
    /// Consistent hashing of the caller over the balancer's present table.
    HashOnly,
}

/// Event of the simulation. Processes, flows and operators are given by index.
#[derive(Clone, Debug)]
enum FleetEvent {
    Tick(usize),
    Control {
        to: usize,
        from: SocketAddr,
        message: Message,
    },
    /// A call for newer texts of the configuration arrives at `server`.
    FetchRequest {
        server: usize,
        client: usize,
    },
    FetchReply {
        process: usize,
        texts: Vec<(Object, Version, String)>,
    },
    /// A balancer reads or watches an object of the store.
    PollStore(usize, Object),
    StoreValue {
        process: usize,
        object: Object,
        value: Option<(Version, String)>,
    },
    ReportState(usize),
    /// A caller's packet arrives at a balancer.
    CallerPacket {
        balancer: usize,
        flow: usize,
        packet: Packet,
        cid: Option<[u8; monsoon_wire::CID_LEN]>,
    },
    /// A forwarded packet arrives at an address.
    ForwardedPacket {
        to: SocketAddrV4,
        packet: Forwarded,
    },
    /// An agent's reply arrives at a balancer.
    AgentReply {
        balancer: usize,
        flow: usize,
        reply: Reply,
    },
    /// A reply arrives at the caller.
    CallerReply {
        flow: usize,
        reply: Reply,
    },
    CallerTimer(usize),
    NewFlow,
    Operator(usize, WriteEvent),
    StorePut(usize, Object, Option<Version>, String),
    StoreRead(usize, Object),
    RequestDone {
        process: usize,
        flow: usize,
        request: u64,
    },
    Step(Step),
    /// The next measured caller starts.
    StartMeasured,
    CheckConfiguration,
}

/// Parameters of one run.
#[derive(Clone, Debug)]
pub struct Setup {
    pub seed: u64,
    pub policy: Policy,
    pub document: String,
    /// Balancers in each data centre.
    pub balancers: u8,
    /// Data centre and service of each agent.
    pub agents: Vec<(u8, u16)>,
    /// New flows in a second.
    pub flow_rate: u64,
    /// Time that a target takes for a request; zero for an answer at once.
    pub request_time: Duration,
    pub end: Instant,
}

/// Counts of one run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// Flows that callers tried to open.
    pub flows: u64,
    pub opened: u64,
    /// Flows that their caller closed.
    pub closed: u64,
    pub refused: u64,
    /// Flows that were closed because their data centre was evacuated.
    pub evacuated: u64,
    /// Flows that broke although their agent was available.
    pub broken: u64,
    /// Flows that broke with their agent, its data centre or a link.
    pub lost: u64,
    /// Handshakes that did not end in time.
    pub not_opened: u64,
    /// Handshakes that more than one agent accepted.
    pub split_handshakes: u64,
    pub resets: u64,
    /// Writes that the store accepted.
    pub accepted_writes: u64,
}

/// A simulated fleet with its scheduled events.
pub struct Fleet {
    setup: Setup,
    now: Instant,
    rng: Rng,
    event_count: u64,
    events: BTreeMap<(Instant, u64), FleetEvent>,
    keys: Keyring,
    links: Links,
    store: Store,
    processes: Vec<Process>,
    /// Latest process at each address.
    by_ip: BTreeMap<Ipv4Addr, usize>,
    flows: Vec<Flow>,
    operators: Vec<Operator>,
    truth: GroundTruth,
    measured: centre::MeasuredChecks,
    /// Whether broken flows, unfinished handshakes and late packets to an evacuated data centre end
    /// the run with a message.
    is_strict: bool,
    /// Least time between the end of an agent and the reuse of its address.
    reuse_delay: Duration,
    pub totals: Totals,
}

impl Fleet {
    /// Fleet whose processes all start within 50 ms.
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
            event_count: 0,
            events: BTreeMap::new(),
            keys: Keyring::try_from(raw).expect("valid keys"),
            links: Links::default(),
            store: Store::new(&setup.document),
            processes: Vec::new(),
            by_ip: BTreeMap::new(),
            flows: Vec::new(),
            operators: Vec::new(),
            truth: GroundTruth::new(Instant::from_secs(1_000)),
            measured: centre::MeasuredChecks::default(),
            is_strict: setup.policy == Policy::Ours,
            reuse_delay: Duration::ZERO,
            totals: Totals::default(),
            setup,
        };
        for data_centre in 1..=3 {
            for _ in 0..fleet.setup.balancers {
                fleet.add(data_centre, None, None);
            }
        }
        for (data_centre, service) in fleet.setup.agents.clone() {
            fleet.add(data_centre, Some(ServiceId(service)), None);
        }
        fleet.schedule(Duration::from_secs(8), FleetEvent::NewFlow);
        fleet.schedule(Duration::from_millis(100), FleetEvent::CheckConfiguration);
        fleet
    }

    /// Starts a balancer, or an agent if a service is given. `ip` is the address of an ended
    /// process to reuse.
    fn add(&mut self, data_centre: u8, service: AgentService, ip: Option<Ipv4Addr>) -> usize {
        let index = self.processes.len();
        let new_ip = Ipv4Addr::from_bits(10 << 24 | (index as u32 + 1));
        let ip = ip.unwrap_or(new_ip);
        let id = AgentId(mix(self.setup.seed, index as u64));
        let seeds = self.seeds(data_centre);
        let process = Process::new(self.now, (data_centre, ip, id), service, seeds);
        self.processes.push(process);
        self.by_ip.insert(ip, index);
        let delay = Duration::from_micros(self.rng.below(50_000));
        self.processes[index].tick_at = self.now + delay;
        self.schedule(delay, FleetEvent::Tick(index));
        if service.is_none() {
            for object in store::OBJECTS {
                self.schedule(delay, FleetEvent::PollStore(index, object));
            }
        } else {
            self.schedule(delay, FleetEvent::ReportState(index));
        }
        index
    }

    /// Seed addresses of a new process: two balancers of its own data centre and one of each other.
    fn seeds(&self, data_centre: u8) -> Vec<SocketAddr> {
        let mut seeds = Vec::new();
        for other in 1..=3 {
            let count = if other == data_centre { 2 } else { 1 };
            let is_live = |process: &&Process| {
                process.is_balancer()
                    && process.condition == Condition::Running
                    && process.data_centre == other
            };
            let found = self.processes.iter().filter(is_live).take(count);
            seeds.extend(found.map(Process::control_address));
        }
        seeds
    }

    fn schedule(&mut self, delay: Duration, event: FleetEvent) {
        self.event_count += 1;
        self.events
            .insert((self.now + delay, self.event_count), event);
    }

    /// Runs to the end that the set-up gives.
    pub fn run(&mut self) {
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at >= self.setup.end {
                break;
            }
            assert!(at >= self.now, "virtual time never goes back");
            self.now = at;
            self.perform(event);
        }
        self.check_end();
    }

    fn perform(&mut self, event: FleetEvent) {
        match event {
            FleetEvent::Tick(process) => self.tick(process),
            FleetEvent::Control { to, from, message } => self.receive_control(to, from, message),
            FleetEvent::FetchRequest { server, client } => self.answer_fetch(server, client),
            FleetEvent::FetchReply { process, texts } => self.receive_fetched(process, texts),
            FleetEvent::PollStore(process, object) => self.poll_store(process, object),
            FleetEvent::StoreValue {
                process,
                object,
                value,
            } => self.receive_stored(process, object, value),
            FleetEvent::ReportState(process) => self.report_state(process),
            FleetEvent::CallerPacket {
                balancer,
                flow,
                packet,
                cid,
            } => self.receive_packet(balancer, flow, packet, cid),
            FleetEvent::ForwardedPacket { to, packet } => self.receive_forwarded(to, &packet),
            FleetEvent::AgentReply {
                balancer,
                flow,
                reply,
            } => self.receive_reply(balancer, flow, reply),
            FleetEvent::CallerReply { flow, reply } => self.handle_reply(flow, reply),
            FleetEvent::CallerTimer(flow) => self.caller_timer(flow),
            FleetEvent::NewFlow => self.open_next_flow(),
            FleetEvent::Operator(operator, input) => self.advance_operator(operator, input),
            FleetEvent::StorePut(operator, object, condition, change) => {
                self.put_object(operator, object, condition, change);
            }
            FleetEvent::StoreRead(operator, object) => self.read_object(operator, object),
            FleetEvent::RequestDone {
                process,
                flow,
                request,
            } => self.finish_request(process, flow, request),
            FleetEvent::Step(step) => self.perform_step(step),
            FleetEvent::StartMeasured => self.start_measured_caller(),
            FleetEvent::CheckConfiguration => {
                self.check_configuration();
                self.schedule(Duration::from_millis(100), FleetEvent::CheckConfiguration);
            }
        }
    }
}
