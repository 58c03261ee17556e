//! Fake network on virtual time that runs real nodes, for tests and measurements.
//!
//! Messages are encoded and decoded as the daemon does. The run depends only on the seed; the
//! processor time in [`Traffic`] is the exception.

mod link;
mod node;

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use monsoon_model::{AgentId, DataCentreId, Duration, Instant, ServiceId, Versions};

pub use link::{Links, Loss};
pub use node::{Condition, Node, Slot, Traffic};

use crate::rng::Rng;
use crate::{
    Action, AgentNode, BalancerNode, Event, LocalState, Member, Message, Role, Rule, State,
};

/// Time that a fetch of a newer configuration takes.
const FETCH: Duration = Duration::from_millis(5);

#[derive(Debug)]
enum Due {
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

/// A death that a balancer declared or learned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Death {
    /// When.
    pub at: Instant,
    /// Observing node.
    pub observer: usize,
    /// Dead member.
    pub id: AgentId,
}

/// Nodes, links and the queue of what is due.
#[derive(Debug)]
pub struct Network {
    /// Present.
    pub now: Instant,
    /// All nodes that were ever added.
    pub slots: Vec<Slot>,
    /// Links between them.
    pub links: Links,
    /// Deaths in order.
    pub deaths: Vec<Death>,
    /// Rule of failure detection for nodes added from now on.
    pub rule: Rule,
    seed: u64,
    rng: Rng,
    queue: BTreeMap<(Instant, u64), Due>,
    count: u64,
    by_address: BTreeMap<SocketAddr, usize>,
    seeds: BTreeMap<DataCentreId, Vec<SocketAddr>>,
}

impl Network {
    /// Empty network.
    pub fn new(seed: u64) -> Self {
        Self {
            now: Instant::from_secs(1_000),
            slots: Vec::new(),
            links: Links::new(seed),
            deaths: Vec::new(),
            rule: Rule::SHARED,
            seed,
            rng: Rng::new(seed),
            queue: BTreeMap::new(),
            count: 0,
            by_address: BTreeMap::new(),
            seeds: BTreeMap::new(),
        }
    }

    /// Adds a balancer and starts it.
    pub fn add_balancer(&mut self, place: u8) -> usize {
        let member = self.member(Role::Balancer, DataCentreId(place), ServiceId(0));
        let seeds = self.seeds_for(member.group, true);
        let own = self.seeds.entry(member.group).or_default();
        if own.len() < 3 {
            own.push(member.control);
        }
        let node = BalancerNode::with_rule(self.now, member, seeds, self.seed, self.rule);
        self.add(member, Node::Balancer(Box::new(node)))
    }

    /// Adds an agent and starts it.
    pub fn add_agent(&mut self, place: u8, service: u16) -> usize {
        let member = self.member(Role::Agent, DataCentreId(place), ServiceId(service));
        let seeds = self.seeds_for(member.group, false);
        let node = AgentNode::with_rule(self.now, member, seeds, self.seed, self.rule);
        self.add(member, Node::Agent(Box::new(node)))
    }

    fn member(&mut self, role: Role, data_centre: DataCentreId, service: ServiceId) -> Member {
        let index = self.slots.len() as u32;
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
            versions: Versions::default(),
        }
    }

    /// Seeds of the own data centre, for balancers also one of each other.
    fn seeds_for(&self, place: DataCentreId, all: bool) -> Vec<SocketAddr> {
        let own = self.seeds.get(&place).cloned().unwrap_or_default();
        let others = self.seeds.iter().filter(|(id, _)| all && **id != place);
        own.into_iter()
            .chain(others.filter_map(|(_, list)| list.first().copied()))
            .collect()
    }

    fn add(&mut self, member: Member, node: Node) -> usize {
        let index = self.slots.len();
        self.by_address.insert(member.control, index);
        self.slots.push(Slot::new(member, node));
        let delay = Duration::from_micros(self.rng.below(50_000) as u64);
        self.wake(index, self.now + delay);
        index
    }

    fn schedule(&mut self, at: Instant, due: Due) {
        self.count += 1;
        self.queue.insert((at.max(self.now), self.count), due);
    }

    fn wake(&mut self, node: usize, at: Instant) {
        self.slots[node].scheduled = Some(at);
        self.schedule(at, Due::Tick(node));
    }

    /// Runs for `span`.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), due) = entry.remove_entry();
            debug_assert!(at >= self.now, "virtual time never goes back");
            self.now = at;
            self.perform(due);
        }
        self.now = end;
    }

    /// Runs until `done`, checked every 10 ms. Returns the time taken, `None` after `limit`.
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

    fn perform(&mut self, due: Due) {
        match due {
            Due::Tick(node) => self.tick(node),
            Due::Deliver { to, from, bytes } => self.deliver(to, from, bytes),
            Due::Fetched { node, versions } => self.set_versions(node, versions),
        }
    }

    /// Ticks a node unless it asked for another time since this tick was scheduled.
    fn tick(&mut self, node: usize) {
        if self.slots[node].scheduled == Some(self.now) {
            self.slots[node].scheduled = None;
            self.event(node, Event::Tick);
        }
    }

    /// Schedules the next tick if it is due before the scheduled one.
    fn reschedule(&mut self, node: usize) {
        let slot = &mut self.slots[node];
        let Some(next) = slot.next_tick() else { return };
        let next = next.max(self.now + Duration::from_millis(1));
        if slot.scheduled.is_none_or(|at| next < at) {
            slot.scheduled = Some(next);
            self.schedule(next, Due::Tick(node));
        }
    }

    fn deliver(&mut self, to: usize, from: SocketAddr, bytes: Vec<u8>) {
        let slot = &mut self.slots[to];
        match slot.condition {
            Condition::Ended => {}
            Condition::Frozen => slot.inbox.push((from, bytes)),
            Condition::Running => {
                slot.traffic.receive(bytes.len());
                let start = std::time::Instant::now();
                let message = postcard::from_bytes::<Message>(&bytes);
                slot.traffic.processor += start.elapsed();
                let message = message.expect("a message that was encoded here decodes");
                self.event(to, Event::Message { from, message });
            }
        }
    }

    /// Gives an event to a running node and performs its actions.
    pub fn event(&mut self, node: usize, event: Event) {
        let slot = &mut self.slots[node];
        if slot.condition != Condition::Running {
            return;
        }
        let start = std::time::Instant::now();
        let actions = slot.handle(self.now, event);
        slot.traffic.processor += start.elapsed();
        for action in actions {
            self.act(node, action);
        }
        self.reschedule(node);
    }

    fn act(&mut self, node: usize, action: Action) {
        match action {
            Action::Send { to, message } => self.send(node, to, &message),
            Action::MembersChanged => self.slots[node].traffic.rebuilds += 1,
            Action::MemberDied(member) => {
                self.deaths.push(Death {
                    at: self.now,
                    observer: node,
                    id: member.id,
                });
            }
            Action::FetchConfiguration { versions, .. } => {
                self.schedule(self.now + FETCH, Due::Fetched { node, versions });
            }
        }
    }

    fn send(&mut self, node: usize, to: SocketAddr, message: &Message) {
        let slot = &mut self.slots[node];
        let start = std::time::Instant::now();
        let bytes = postcard::to_stdvec(message).expect("a message has only serialisable values");
        slot.traffic.processor += start.elapsed();
        slot.traffic.send(bytes.len());
        let from = (node, slot.member);
        let Some(&to) = self.by_address.get(&to) else {
            return;
        };
        for delay in self
            .links
            .transmit(self.now, from, (to, &self.slots[to].member))
        {
            let due = Due::Deliver {
                to,
                from: from.1.control,
                bytes: bytes.clone(),
            };
            self.schedule(self.now + delay, due);
        }
    }

    /// Ends a node without any message.
    pub fn crash(&mut self, node: usize) {
        self.slots[node].condition = Condition::Ended;
    }

    /// Lets a node announce its end and ends it.
    pub fn leave(&mut self, node: usize) {
        self.event(node, Event::Leave);
        self.slots[node].condition = Condition::Ended;
    }

    /// Stops a running node; its messages wait.
    pub fn freeze(&mut self, node: usize) {
        if self.slots[node].condition == Condition::Running {
            self.slots[node].condition = Condition::Frozen;
        }
    }

    /// Continues a frozen node, which first handles the messages that waited.
    pub fn thaw(&mut self, node: usize) {
        self.thaw_with(node, usize::MAX);
    }

    /// Like [`Self::thaw`], but the socket held only the first `kept` messages.
    pub fn thaw_with(&mut self, node: usize, kept: usize) {
        if self.slots[node].condition != Condition::Frozen {
            return;
        }
        self.slots[node].condition = Condition::Running;
        let inbox = std::mem::take(&mut self.slots[node].inbox);
        for (from, bytes) in inbox.into_iter().take(kept) {
            self.deliver(node, from, bytes);
        }
        self.wake(node, self.now);
    }

    /// Tells a node its own state.
    pub fn local(&mut self, node: usize, state: State, load: u16) {
        let versions = self.slots[node].versions;
        let local = LocalState {
            state,
            load,
            slots: 4,
            versions,
        };
        self.slots[node].state = state;
        self.event(node, Event::Local(local));
    }

    /// Tells a node that a configuration is in force.
    pub fn set_versions(&mut self, node: usize, versions: Versions) {
        let slot = &mut self.slots[node];
        if slot.condition != Condition::Running || !versions.is_ahead_of(slot.versions) {
            return;
        }
        slot.versions.document = slot.versions.document.max(versions.document);
        slot.versions.evacuations = slot.versions.evacuations.max(versions.evacuations);
        let (state, load) = (slot.state, 0);
        self.local(node, state, load);
    }

    /// Running balancers of `place`, of all data centres for `None`.
    pub fn balancers(&self, place: Option<u8>) -> impl Iterator<Item = (usize, &BalancerNode)> {
        self.slots
            .iter()
            .enumerate()
            .filter_map(move |(index, slot)| {
                let here = place.is_none_or(|place| slot.member.group.0 == place);
                let running = slot.condition == Condition::Running;
                slot.balancer()
                    .filter(|_| here && running)
                    .map(|node| (index, node))
            })
    }

    /// Running agents.
    pub fn agents(&self) -> impl Iterator<Item = (usize, &AgentNode)> {
        self.slots.iter().enumerate().filter_map(|(index, slot)| {
            let running = slot.condition == Condition::Running;
            slot.agent().filter(|_| running).map(|node| (index, node))
        })
    }
}
