//! Simulated network on virtual time that runs the real state machines, for tests and measurements.
//!
//! Messages are encoded and decoded as the daemon does. A run depends only on the seed, apart from
//! the processor time in [`Traffic`].

mod host;
mod link;

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use monsoon_model::{AgentId, DataCentreId, Duration, Instant, ServiceId, Versions};

pub use host::{Condition, Host, Node, Traffic};
pub use link::{Links, Loss};

use crate::rng::Rng;
use crate::{
    Action, AgentNode, BalancerNode, Event, LocalState, Member, Message, Role, Rule, State,
};

/// Simulated time of fetching a newer configuration.
const FETCH_DELAY: Duration = Duration::from_millis(5);

#[derive(Debug)]
enum Task {
    Tick(usize),
    Deliver {
        to: usize,
        from: SocketAddr,
        bytes: Vec<u8>,
    },
    Fetched {
        node: usize,
        versions: Versions,
    },
}

/// Notice of a balancer that a member was declared dead, by itself or by another balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Death {
    /// Time of the notice.
    pub at: Instant,
    /// Index of the balancer.
    pub observer: usize,
    /// The dead member.
    pub id: AgentId,
}

/// Hosts, the links between them and the queue of tasks.
#[derive(Debug)]
pub struct Network {
    /// Present virtual time.
    pub now: Instant,
    /// All hosts that were ever added; the index of a host is its position here.
    pub hosts: Vec<Host>,
    /// Links between them.
    pub links: Links,
    /// Deaths in the order of their notices.
    pub deaths: Vec<Death>,
    /// Rule of failure detection of hosts added from now on.
    pub rule: Rule,
    seed: u64,
    rng: Rng,
    queue: BTreeMap<(Instant, u64), Task>,
    scheduled_count: u64,
    node_indices: BTreeMap<SocketAddr, usize>,
    seeds: BTreeMap<DataCentreId, Vec<SocketAddr>>,
}

impl Network {
    /// Creates a network without hosts.
    pub fn new(seed: u64) -> Self {
        Self {
            now: Instant::from_secs(1_000),
            hosts: Vec::new(),
            links: Links::new(seed),
            deaths: Vec::new(),
            rule: Rule::DEFAULT,
            seed,
            rng: Rng::new(seed),
            queue: BTreeMap::new(),
            scheduled_count: 0,
            node_indices: BTreeMap::new(),
            seeds: BTreeMap::new(),
        }
    }

    /// Adds a host with a balancer, starts it and returns its index.
    pub fn add_balancer(&mut self, data_centre: u8) -> usize {
        let member = self.member(Role::Balancer, DataCentreId(data_centre), ServiceId(0));
        let seeds = self.seeds_for(member.group, true);
        let own = self.seeds.entry(member.group).or_default();
        if own.len() < 3 {
            own.push(member.control);
        }
        let node = BalancerNode::with_rule(self.now, member, seeds, self.seed, self.rule);
        self.add(member, Node::Balancer(Box::new(node)))
    }

    /// Adds a host with an agent, starts it and returns its index.
    pub fn add_agent(&mut self, data_centre: u8, service: u16) -> usize {
        let member = self.member(Role::Agent, DataCentreId(data_centre), ServiceId(service));
        let seeds = self.seeds_for(member.group, false);
        let node = AgentNode::with_rule(self.now, member, seeds, self.seed, self.rule);
        self.add(member, Node::Agent(Box::new(node)))
    }

    fn member(&mut self, role: Role, data_centre: DataCentreId, service: ServiceId) -> Member {
        let index = self.hosts.len() as u32;
        let id = AgentId(monsoon_model::hash::mix(self.seed, u64::from(index)));
        let ip = Ipv4Addr::from_bits(10 << 24 | (index + 1));
        let address = |port| SocketAddr::from((ip, port));
        Member {
            id,
            incarnation: 0,
            sequence: 0,
            role,
            group: data_centre,
            data_centre,
            service,
            control: address(7_000),
            data: SocketAddrV4::new(ip, 7_001),
            peer: address(7_002),
            state: State::Ready,
            slots: 4,
            load: 0,
            versions: Versions::default().into(),
            reads_exact: role == Role::Agent,
        }
    }

    /// Seeds of `data_centre`; with `all`, also one of each other data centre.
    fn seeds_for(&self, data_centre: DataCentreId, all: bool) -> Vec<SocketAddr> {
        let own = self.seeds.get(&data_centre).cloned().unwrap_or_default();
        let others = self
            .seeds
            .iter()
            .filter(|(id, _)| all && **id != data_centre);
        own.into_iter()
            .chain(others.filter_map(|(_, list)| list.first().copied()))
            .collect()
    }

    fn add(&mut self, member: Member, node: Node) -> usize {
        let index = self.hosts.len();
        self.node_indices.insert(member.control, index);
        self.hosts.push(Host::new(member, node));
        let delay = Duration::from_micros(self.rng.below(50_000) as u64);
        self.schedule_tick(index, self.now + delay);
        index
    }

    fn schedule(&mut self, at: Instant, task: Task) {
        self.scheduled_count += 1;
        self.queue
            .insert((at.max(self.now), self.scheduled_count), task);
    }

    fn schedule_tick(&mut self, node: usize, at: Instant) {
        self.hosts[node].next_tick_at = Some(at);
        self.schedule(at, Task::Tick(node));
    }

    /// Advances the virtual time by `span`.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), task) = entry.remove_entry();
            debug_assert!(at >= self.now, "virtual time never goes back");
            self.now = at;
            self.run_task(task);
        }
        self.now = end;
    }

    /// Runs until `done` is true, checked every 10 ms. Returns the time taken, or `None` after
    /// `limit`.
    pub fn run_until(
        &mut self,
        limit: Duration,
        mut done: impl FnMut(&Self) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while !done(self) {
            if self.now.since(start) >= limit {
                return None;
            }
            self.run(Duration::from_millis(10));
        }
        Some(self.now.since(start))
    }

    fn run_task(&mut self, task: Task) {
        match task {
            Task::Tick(node) => self.tick(node),
            Task::Deliver { to, from, bytes } => self.deliver(to, from, bytes),
            Task::Fetched { node, versions } => self.set_versions(node, versions),
        }
    }

    /// Ticks a host unless its next tick was scheduled for another time meanwhile.
    fn tick(&mut self, node: usize) {
        if self.hosts[node].next_tick_at == Some(self.now) {
            self.hosts[node].next_tick_at = None;
            self.event(node, Event::Tick);
        }
    }

    /// Schedules the next tick of a host if it is earlier than the scheduled one.
    fn reschedule(&mut self, node: usize) {
        let host = &mut self.hosts[node];
        let Some(next) = host.next_tick() else { return };
        let next = next.max(self.now + Duration::from_millis(1));
        if host.next_tick_at.is_none_or(|at| next < at) {
            host.next_tick_at = Some(next);
            self.schedule(next, Task::Tick(node));
        }
    }

    fn deliver(&mut self, to: usize, from: SocketAddr, bytes: Vec<u8>) {
        let host = &mut self.hosts[to];
        match host.condition {
            Condition::Ended => {}
            Condition::Suspended => host.inbox.push((from, bytes)),
            Condition::Running => {
                host.traffic.receive(bytes.len());
                let start = std::time::Instant::now();
                let message = postcard::from_bytes::<Message>(&bytes);
                host.traffic.cpu_time += start.elapsed();
                let message = message.expect("a message that was encoded here decodes");
                self.event(to, Event::Message { from, message });
            }
        }
    }

    /// Passes an event to a running host and performs its actions.
    pub fn event(&mut self, node: usize, event: Event) {
        let host = &mut self.hosts[node];
        if host.condition != Condition::Running {
            return;
        }
        let start = std::time::Instant::now();
        let actions = host.handle(self.now, event);
        host.traffic.cpu_time += start.elapsed();
        for action in actions {
            self.perform_action(node, action);
        }
        self.reschedule(node);
    }

    fn perform_action(&mut self, node: usize, action: Action) {
        match action {
            Action::Send { to, message } => self.send(node, to, &message),
            Action::MembersChanged => self.hosts[node].traffic.rebuilds += 1,
            Action::MemberDied(member) => {
                self.deaths.push(Death {
                    at: self.now,
                    observer: node,
                    id: member.id,
                });
            }
            Action::FetchConfiguration { versions, .. } => {
                self.schedule(self.now + FETCH_DELAY, Task::Fetched { node, versions });
            }
        }
    }

    fn send(&mut self, node: usize, to: SocketAddr, message: &Message) {
        let host = &mut self.hosts[node];
        let start = std::time::Instant::now();
        let bytes = postcard::to_stdvec(message).expect("a message has only serialisable values");
        host.traffic.cpu_time += start.elapsed();
        host.traffic.send(bytes.len());
        let from = (node, host.member);
        let Some(&to) = self.node_indices.get(&to) else {
            return;
        };
        for delay in self
            .links
            .transmit(self.now, from, (to, &self.hosts[to].member))
        {
            let task = Task::Deliver {
                to,
                from: from.1.control,
                bytes: bytes.clone(),
            };
            self.schedule(self.now + delay, task);
        }
    }

    /// Ends a host without any message.
    pub fn crash(&mut self, node: usize) {
        self.hosts[node].condition = Condition::Ended;
    }

    /// Ends a host after its node announced that it leaves.
    pub fn leave(&mut self, node: usize) {
        self.event(node, Event::Leave);
        self.hosts[node].condition = Condition::Ended;
    }

    /// Suspends a running host. Messages to it are kept.
    pub fn suspend(&mut self, node: usize) {
        if self.hosts[node].condition == Condition::Running {
            self.hosts[node].condition = Condition::Suspended;
        }
    }

    /// Resumes a suspended host, which first handles the messages that were kept.
    pub fn resume(&mut self, node: usize) {
        self.resume_with(node, usize::MAX);
    }

    /// Like [`Self::resume`], but only the first `kept` messages fit into the socket's buffer.
    pub fn resume_with(&mut self, node: usize, kept: usize) {
        if self.hosts[node].condition != Condition::Suspended {
            return;
        }
        self.hosts[node].condition = Condition::Running;
        let inbox = std::mem::take(&mut self.hosts[node].inbox);
        for (from, bytes) in inbox.into_iter().take(kept) {
            self.deliver(node, from, bytes);
        }
        self.schedule_tick(node, self.now);
    }

    /// Sets the state and load that a node announces.
    pub fn set_local_state(&mut self, node: usize, state: State, load: u16) {
        let versions = self.hosts[node].versions;
        let local = LocalState {
            state,
            load,
            slots: 4,
            versions,
        };
        self.hosts[node].state = state;
        self.event(node, Event::Local(local));
    }

    /// Sets the configuration in force at a running host, if it is newer.
    pub fn set_versions(&mut self, node: usize, versions: Versions) {
        let host = &mut self.hosts[node];
        if host.condition != Condition::Running || !versions.is_ahead_of(host.versions) {
            return;
        }
        host.versions.document = host.versions.document.max(versions.document);
        host.versions.evacuations = host.versions.evacuations.max(versions.evacuations);
        let (state, load) = (host.state, 0);
        self.set_local_state(node, state, load);
    }

    /// Running balancers of `data_centre`, or of all data centres for `None`, with their indices.
    pub fn balancers(
        &self,
        data_centre: Option<u8>,
    ) -> impl Iterator<Item = (usize, &BalancerNode)> {
        self.hosts
            .iter()
            .enumerate()
            .filter_map(move |(index, host)| {
                let here = data_centre.is_none_or(|data_centre| host.member.group.0 == data_centre);
                let running = host.condition == Condition::Running;
                host.balancer()
                    .filter(|_| here && running)
                    .map(|node| (index, node))
            })
    }

    /// Running agents, with their indices.
    pub fn agents(&self) -> impl Iterator<Item = (usize, &AgentNode)> {
        self.hosts.iter().enumerate().filter_map(|(index, host)| {
            let running = host.condition == Condition::Running;
            host.agent().filter(|_| running).map(|node| (index, node))
        })
    }
}
