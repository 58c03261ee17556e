//! A process of the fleet: its membership node, its configuration and its role's own parts.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use monsoon_config::{ConfigState, Document};
use monsoon_membership::{
    Action, AgentNode, BalancerNode, Event, LocalState, Member, Message, Role, State,
};
use monsoon_model::{AgentId, DataCentreId, Duration, Instant, ServiceId};
use monsoon_routing::{Handoff, Load, Router};
use monsoon_wire::ConnectionId;

/// Most control messages that the socket of a frozen process holds.
pub const INBOX: usize = 200;

/// Time for which the fabric still sends to a crashed balancer.
const FABRIC_LAG: Duration = Duration::from_secs(1);

/// Data centres by number, as the documents of the simulation name them.
pub const NAMES: [&str; 4] = ["", "montevideo-a", "canelones-b", "sanjose-c"];

/// Service of an agent, `None` for a balancer.
pub type Want = Option<ServiceId>;

/// Whether a process takes part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    Running,
    Frozen,
    Ended,
}

/// What happens to the flows of an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Serving,
    Leaving,
    Out,
}

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

/// Flow as its agent's QUIC endpoint holds it.
#[derive(Clone, Copy, Debug)]
pub struct Held {
    /// Parts of the first flight that arrived, as bits.
    pub parts: u8,
    pub nonce: u32,
    pub last: Instant,
}

/// Parts that agents use.
#[derive(Debug)]
pub struct Agent {
    pub handoff: Handoff,
    pub phase: Phase,
    /// Data centres that are out.
    pub out: BTreeSet<DataCentreId>,
    pub load: Load,
    pub reported: Option<LocalState>,
    pub flows: BTreeMap<usize, Held>,
    /// Balancers that forwarded a datagram, and when.
    pub heard: BTreeMap<usize, Instant>,
    pub members: Vec<SocketAddrV4>,
    pub nonce: u32,
    /// When each slot becomes free.
    pub slots: Vec<Instant>,
    /// Answers of requests: when each is ready.
    pub answers: BTreeMap<(usize, u64), Instant>,
}

/// One process.
#[derive(Debug)]
pub struct Process {
    pub want: Want,
    pub place: u8,
    pub ip: Ipv4Addr,
    pub id: AgentId,
    pub condition: Condition,
    /// Learns the document as a member without a service until this is set.
    pub started: bool,
    pub node: Node,
    pub config: ConfigState,
    pub fetching: bool,
    pub router: Router,
    pub agent: Agent,
    pub seeds: Vec<SocketAddr>,
    pub tick_at: Instant,
    pub since: Instant,
    pub thawed: Instant,
    pub left: Option<Instant>,
    /// It crashed, was stopped before its flows ended, or was frozen.
    pub harmed: bool,
    pub crashed: Option<Instant>,
    /// End of an agent.
    pub ended: Option<Instant>,
    pub inbox: Vec<(SocketAddr, Message)>,
    pub store_delay: u64,
}

impl Process {
    pub fn new(
        now: Instant,
        (place, ip, id): (u8, Ipv4Addr, AgentId),
        want: Want,
        seeds: Vec<SocketAddr>,
    ) -> Self {
        let config = ConfigState::default();
        let member = member(id, ip, Role::Agent, (0, 0), ServiceId(0), &config);
        let node = AgentNode::new(now, member, seeds.clone(), id.0);
        Self {
            want,
            place,
            ip,
            id,
            condition: Condition::Running,
            started: false,
            node: Node::Agent(Box::new(node)),
            config,
            fetching: false,
            router: Router::default(),
            agent: Agent {
                handoff: Handoff::default(),
                phase: Phase::Serving,
                out: BTreeSet::new(),
                load: Load {
                    used: 0,
                    limit: 4,
                    leaving: false,
                },
                reported: None,
                flows: BTreeMap::new(),
                heard: BTreeMap::new(),
                members: Vec::new(),
                nonce: ConnectionId::nonce_of(id.epoch(), (id.0 >> 8) as u32),
                slots: Vec::new(),
                answers: BTreeMap::new(),
            },
            seeds,
            tick_at: now,
            since: now,
            thawed: Instant::ZERO,
            left: None,
            harmed: false,
            crashed: None,
            ended: None,
            inbox: Vec::new(),
            store_delay: 0,
        }
    }

    pub fn is_balancer(&self) -> bool {
        self.want.is_none()
    }

    pub fn is_running(&self) -> bool {
        self.condition == Condition::Running
    }

    /// Whether the fabric sends callers' packets here.
    pub fn takes_packets(&self, now: Instant) -> bool {
        let works = match self.crashed {
            Some(at) => now.since(at) < FABRIC_LAG,
            None => self.condition != Condition::Ended && self.left.is_none(),
        };
        self.is_balancer() && self.started && works
    }

    pub fn control(&self) -> SocketAddr {
        SocketAddr::from((self.ip, 7_000))
    }

    pub fn data(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, 7_001)
    }

    /// Enters the membership in its role, once the document names its place and service.
    pub fn start(&mut self, now: Instant) -> Option<Vec<Action>> {
        let place = self.config.document()?.data_centres.get(&self.number())?;
        let numbers = (place.group.0, place.number.0);
        let slots = match self.want {
            Some(service) => self.config.document()?.services.get(&service)?.slots,
            None => 0,
        };
        self.agent.slots = vec![now; slots as usize];
        self.agent.load.limit = slots;
        let farewell = self.node.handle(now, Event::Leave);
        let service = self.want.unwrap_or_default();
        let role = if self.is_balancer() {
            Role::Balancer
        } else {
            Role::Agent
        };
        self.id = AgentId(monsoon_model::hash::mix(self.id.0, 1));
        let member = member(self.id, self.ip, role, numbers, service, &self.config);
        let seeds = self.seeds.clone();
        self.node = match self.want {
            None => Node::Balancer(Box::new(BalancerNode::new(now, member, seeds, self.id.0))),
            Some(_) => Node::Agent(Box::new(AgentNode::new(now, member, seeds, self.id.0))),
        };
        self.started = true;
        Some(farewell)
    }

    fn number(&self) -> DataCentreId {
        DataCentreId(self.place)
    }

    /// Own state for the membership.
    pub fn local(&self) -> LocalState {
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

    /// Follows the set of data centres that are out; true when the flows have to be closed.
    pub fn follow_evacuations(&mut self) -> bool {
        let all = self.config.evacuated();
        if !all.is_subset(&self.agent.out) {
            self.agent.handoff.clear_passed();
        }
        let out = all.contains(&self.number());
        self.agent.out = all;
        let before = self.agent.phase;
        self.agent.phase = match (before, out) {
            (Phase::Serving, true) => Phase::Out,
            (Phase::Out, false) => Phase::Serving,
            (present, _) => present,
        };
        self.agent.phase == Phase::Out && before != Phase::Out
    }

    /// Rebuilds the routing tables, as the daemon's balancer does.
    pub fn rebuild(&mut self, now: Instant) {
        let (Node::Balancer(node), Some(document)) = (&self.node, self.config.document()) else {
            return;
        };
        let agents: Vec<Member> = node.agents().copied().collect();
        let out = self.config.evacuated();
        let home = NAMES[usize::from(self.place)];
        let tables = monsoon_placement::candidates(document, home, &agents, &out);
        self.router.set_evacuations(now, out);
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
    (group, place): (u8, u8),
    service: ServiceId,
    config: &ConfigState,
) -> Member {
    Member {
        id,
        incarnation: 1,
        sequence: 0,
        role,
        group: DataCentreId(group),
        data_centre: DataCentreId(place),
        service,
        control: SocketAddr::from((ip, 7_000)),
        data: SocketAddrV4::new(ip, 7_001),
        peer: SocketAddr::from((ip, 7_002)),
        state: State::Cold,
        slots: 0,
        load: 0,
        versions: config.versions(),
    }
}
