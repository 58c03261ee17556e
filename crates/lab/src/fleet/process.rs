//! Process of the fleet: its membership node, its configuration and the parts of its role.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use monsoon_config::{ConfigState, Document};
use monsoon_membership::{
    Action, AgentNode, BalancerNode, Event, LocalState, Member, Message, Role, State,
};
use monsoon_model::{AgentId, DataCentreId, Duration, Instant, ServiceId};
use monsoon_routing::{Handoff, Load, Router};
use monsoon_wire::ConnectionId;

/// Most control messages that the socket of a suspended process keeps.
pub const INBOX: usize = 200;

/// Time for which the fabric that spreads callers' packets still sends to a crashed balancer.
const FABRIC_DELAY: Duration = Duration::from_secs(1);

/// Names of the data centres by number, as in the documents of the simulation.
pub const DATA_CENTRE_NAMES: [&str; 4] = ["", "montevideo-a", "canelones-b", "sanjose-c"];

/// Service of an agent; `None` for a balancer.
pub type AgentService = Option<ServiceId>;

/// Whether a process runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    Running,
    Suspended,
    Ended,
}

/// Whether an agent accepts and keeps flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Accepts new flows.
    Serving,
    /// Refuses new flows and keeps those that it owns.
    Leaving,
    /// Refuses new flows and has closed those that it owned.
    Evacuated,
}

/// Membership node of a process.
#[derive(Debug)]
pub enum Node {
    Balancer(Box<BalancerNode>),
    Agent(Box<AgentNode>),
}

impl Node {
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        match self {
            Self::Balancer(node) => node.handle(now, event),
            Self::Agent(node) => node.handle(now, event),
        }
    }

    pub fn next_tick(&self) -> Instant {
        match self {
            Self::Balancer(node) => node.next_tick(),
            Self::Agent(node) => node.next_tick(),
        }
    }
}

/// State of a flow at the QUIC endpoint of its agent.
#[derive(Clone, Copy, Debug)]
pub struct FlowState {
    /// Bits of the parts of the first flight that arrived.
    pub parts: u8,
    /// Nonce of the flow's connection ID.
    pub nonce: u32,
    /// When the last packet of the flow arrived.
    pub last_packet: Instant,
}

/// State that only agents use.
#[derive(Debug)]
pub struct Agent {
    pub handoff: Handoff,
    pub phase: Phase,
    /// Data centres that are evacuated, as last applied.
    pub evacuations: BTreeSet<DataCentreId>,
    pub load: Load,
    pub reported_state: Option<LocalState>,
    pub flows: BTreeMap<usize, FlowState>,
    /// Balancers that forwarded a packet lately, and when.
    pub active_balancers: BTreeMap<usize, Instant>,
    /// Data addresses of the balancers that the membership knows.
    pub known_balancers: Vec<SocketAddrV4>,
    /// Nonce of the last flow that was accepted.
    pub nonce: u32,
    /// When each slot of the target becomes free.
    pub free_at: Vec<Instant>,
    /// When the response to each request is ready, by flow and number.
    pub ready_at: BTreeMap<(usize, u64), Instant>,
}

/// Process of the fleet, of either role.
#[derive(Debug)]
pub struct Process {
    pub service: AgentService,
    pub data_centre: u8,
    pub ip: Ipv4Addr,
    pub id: AgentId,
    pub condition: Condition,
    /// Whether the process has entered the membership in its role. Until then it learns the
    /// document as a member without a service.
    pub is_started: bool,
    pub node: Node,
    pub config: ConfigState,
    /// Whether a call for newer texts is in progress.
    pub is_fetching: bool,
    pub router: Router,
    pub agent: Agent,
    pub seeds: Vec<SocketAddr>,
    /// When the scheduled timer of the membership expires.
    pub tick_at: Instant,
    pub started_at: Instant,
    /// End of the last suspension, zero if there was none.
    pub resumed_at: Instant,
    /// Start of the planned stop.
    pub left_at: Option<Instant>,
    /// Whether it crashed or was suspended, so that its flows may break.
    pub is_harmed: bool,
    pub crashed_at: Option<Instant>,
    /// When the agent ended, or the balancer crashed.
    pub ended_at: Option<Instant>,
    /// Control messages that arrived during a suspension.
    pub inbox: Vec<(SocketAddr, Message)>,
    /// Delay after the next failed read of the store, in milliseconds.
    pub retry_ms: u64,
}

impl Process {
    pub fn new(
        now: Instant,
        (data_centre, ip, id): (u8, Ipv4Addr, AgentId),
        service: AgentService,
        seeds: Vec<SocketAddr>,
    ) -> Self {
        let config = ConfigState::default();
        let member = member(id, ip, Role::Agent, (0, 0), ServiceId(0), &config);
        let node = AgentNode::new(now, member, seeds.clone(), id.0);
        Self {
            service,
            data_centre,
            ip,
            id,
            condition: Condition::Running,
            is_started: false,
            node: Node::Agent(Box::new(node)),
            config,
            is_fetching: false,
            router: Router::default(),
            agent: Agent {
                handoff: Handoff::default(),
                phase: Phase::Serving,
                evacuations: BTreeSet::new(),
                load: Load {
                    used: 0,
                    limit: 4,
                    leaving: false,
                },
                reported_state: None,
                flows: BTreeMap::new(),
                active_balancers: BTreeMap::new(),
                known_balancers: Vec::new(),
                nonce: ConnectionId::nonce_of(id.epoch(), (id.0 >> 8) as u32),
                free_at: Vec::new(),
                ready_at: BTreeMap::new(),
            },
            seeds,
            tick_at: now,
            started_at: now,
            resumed_at: Instant::ZERO,
            left_at: None,
            is_harmed: false,
            crashed_at: None,
            ended_at: None,
            inbox: Vec::new(),
            retry_ms: 0,
        }
    }

    pub fn is_balancer(&self) -> bool {
        self.service.is_none()
    }

    pub fn is_running(&self) -> bool {
        self.condition == Condition::Running
    }

    /// Whether the fabric sends callers' packets here.
    pub fn takes_packets(&self, now: Instant) -> bool {
        let is_reachable = match self.crashed_at {
            Some(at) => now.since(at) < FABRIC_DELAY,
            None => self.condition != Condition::Ended && self.left_at.is_none(),
        };
        self.is_balancer() && self.is_started && is_reachable
    }

    pub fn control_address(&self) -> SocketAddr {
        SocketAddr::from((self.ip, 7_000))
    }

    pub fn data_address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, 7_001)
    }

    /// Enters the membership in its role, once the document has its data centre and service.
    /// Returns the actions by which the node without a service leaves.
    pub fn start(&mut self, now: Instant) -> Option<Vec<Action>> {
        let location = self
            .config
            .document()?
            .data_centres
            .get(&self.data_centre_id())?;
        let numbers = (location.group.0, location.number.0);
        let slots = match self.service {
            Some(service) => self.config.document()?.services.get(&service)?.slots,
            None => 0,
        };
        self.agent.free_at = vec![now; slots as usize];
        self.agent.load.limit = slots;
        let leave_actions = self.node.handle(now, Event::Leave);
        let service = self.service.unwrap_or_default();
        let role = if self.is_balancer() {
            Role::Balancer
        } else {
            Role::Agent
        };
        self.id = AgentId(monsoon_model::hash::mix(self.id.0, 1));
        let member = member(self.id, self.ip, role, numbers, service, &self.config);
        let seeds = self.seeds.clone();
        self.node = match self.service {
            None => Node::Balancer(Box::new(BalancerNode::new(now, member, seeds, self.id.0))),
            Some(_) => Node::Agent(Box::new(AgentNode::new(now, member, seeds, self.id.0))),
        };
        self.is_started = true;
        Some(leave_actions)
    }

    fn data_centre_id(&self) -> DataCentreId {
        DataCentreId(self.data_centre)
    }

    /// Own state as the membership announces it.
    pub fn local_state(&self) -> LocalState {
        let versions = self.config.versions();
        if self.is_balancer() {
            return LocalState {
                state: State::Ready,
                load: 0,
                slots: 0,
                versions,
            };
        }
        let load = self.agent.load;
        LocalState {
            state: if self.agent.phase == Phase::Serving {
                State::Ready
            } else {
                State::Leaving
            },
            load: (100 * load.used / load.limit.max(1)) as u16,
            slots: load.limit as u16,
            versions,
        }
    }

    /// Applies the evacuations in force to an agent; true if its flows have to be closed.
    pub fn update_evacuations(&mut self) -> bool {
        let evacuations = self.config.evacuated();
        if !evacuations.is_subset(&self.agent.evacuations) {
            self.agent.handoff.clear_passed();
        }
        let is_evacuated = evacuations.contains(&self.data_centre_id());
        self.agent.evacuations = evacuations;
        let before = self.agent.phase;
        self.agent.phase = match (before, is_evacuated) {
            (Phase::Serving, true) => Phase::Evacuated,
            (Phase::Evacuated, false) => Phase::Serving,
            (present, _) => present,
        };
        self.agent.phase == Phase::Evacuated && before != Phase::Evacuated
    }

    /// Rebuilds the routing tables as the daemon's balancer does.
    pub fn rebuild(&mut self, now: Instant) {
        let (Node::Balancer(node), Some(document)) = (&self.node, self.config.document()) else {
            return;
        };
        let agents: Vec<Member> = node.agents().copied().collect();
        let evacuations = self.config.evacuated();
        let own_name = DATA_CENTRE_NAMES[usize::from(self.data_centre)];
        let tables = monsoon_placement::candidates(document, own_name, &agents, &evacuations);
        self.router.set_evacuations(now, evacuations);
        for agent in &agents {
            self.router.mark_alive(agent.data, agent.id.epoch());
        }
        for (service, candidates) in tables {
            self.router.update(now, service, candidates);
        }
    }

    pub fn document(&self) -> Option<&Document> {
        self.config.document()
    }
}

fn member(
    id: AgentId,
    ip: Ipv4Addr,
    role: Role,
    (group, data_centre): (u8, u8),
    service: ServiceId,
    config: &ConfigState,
) -> Member {
    Member {
        id,
        incarnation: 1,
        sequence: 0,
        role,
        group: DataCentreId(group),
        data_centre: DataCentreId(data_centre),
        service,
        control: SocketAddr::from((ip, 7_000)),
        data: SocketAddrV4::new(ip, 7_001),
        peer: SocketAddr::from((ip, 7_002)),
        state: State::Cold,
        slots: 0,
        load: 0,
        versions: config.versions().into(),
        reads_exact: role == Role::Agent,
    }
}
