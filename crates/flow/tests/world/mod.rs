//! Simulation of a small deployment in virtual time: the balancers and agents of the crate with
//! simulated targets and callers. Every packet may reach any balancer, and datagrams may be lost.

#![allow(dead_code, reason = "each test uses a part of the world")]

mod lists;
mod work;

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use bytes::Bytes;
use monsoon_flow::{
    Action, Agent, AgentSettings, Balancer, BalancerSettings, Catalogue, Evacuations, FlowKey,
    Frame, Heartbeat, PacketInfo, PacketKind, Presence, Readiness, RequestKind, Route, Service,
    ServiceTag, Share, TargetLimits, TargetView,
};
use monsoon_model::hash::mix;
use monsoon_model::{DataCentreId, Duration, Instant, Version};

use lists::Lists;
pub use work::Work;

pub const HEARTBEAT_LEASE: Duration = Duration::from_millis(1_800);
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_000);
const DELAY: Duration = Duration::from_millis(1);

pub fn tag() -> ServiceTag {
    ServiceTag::of("stock")
}

pub fn other_tag() -> ServiceTag {
    ServiceTag::of("documents")
}

pub fn route() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443)
}

pub fn caller(number: u16) -> FlowKey {
    FlowKey {
        caller: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), 1_024 + number),
        address: route(),
    }
}

pub fn agent_at(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, number), 7_000)
}

pub fn target_at() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, 1), 8_000)
}

pub fn balancer_at(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 2, 0, number), 7_000)
}

/// Configuration of one route to the service [`tag`].
pub fn catalogue(version: u64) -> Catalogue {
    catalogue_to(version, tag())
}

/// Configuration of one route to a service.
pub fn catalogue_to(version: u64, service: ServiceTag) -> Catalogue {
    let share = Share { service, weight: 1 };
    let route_of = Route {
        name: "r".to_owned(),
        shares: vec![share],
        kind: RequestKind::Idempotent,
        demand: None,
    };
    let service = Service {
        name: "stock".to_owned(),
        cold_rate: Some(2.0),
        cold_duration: Duration::from_secs(2),
        health_path: "/health".to_owned(),
    };
    Catalogue {
        version: Version::of(version),
        routes: BTreeMap::from([(route(), route_of)]),
        services: BTreeMap::from([(tag(), service)]),
        idle_timeout: Duration::from_secs(15),
    }
}

pub fn agent_settings(number: u8, first_start: bool) -> AgentSettings {
    AgentSettings {
        frame_address: agent_at(number),
        data_centre: "a".to_owned(),
        target: target_at(),
        service: tag(),
        limits: TargetLimits {
            heartbeat_lease: HEARTBEAT_LEASE,
            cold_factor: 1.5,
            cold_burst: 5.0,
        },
        flow_ttl: Duration::from_secs(60),
        first_start,
    }
}

pub fn heartbeat_of(id: &str, sequence: u64) -> Heartbeat {
    Heartbeat {
        id: id.to_owned(),
        started_ms: 1,
        sequence,
        service: tag(),
        address: target_at(),
        readiness: Readiness::Ready,
        slots: 4,
        cold_left: Duration::ZERO,
    }
}

/// Agent with a checked configuration and a ready target.
pub fn ready_agent(now: Instant, number: u8) -> Agent {
    let mut agent = Agent::new(now, agent_settings(number, true));
    agent.set_catalogue(Arc::new(catalogue(1)));
    agent.set_evacuations(now, &Evacuations::default());
    agent.set_config_checked();
    agent.receive_heartbeat(now, heartbeat_of("i", 1));
    agent
}

pub fn ready_balancer(now: Instant, number: u8) -> Balancer {
    ready_balancer_with(now, number, catalogue(1))
}

pub fn ready_balancer_with(now: Instant, number: u8, catalogue: Catalogue) -> Balancer {
    let settings = BalancerSettings {
        frame_address: balancer_at(number),
        data_centre: DataCentreId(1),
        flow_ttl: Duration::from_secs(60),
    };
    let mut balancer = Balancer::new(now, settings);
    balancer.set_catalogue(Arc::new(catalogue));
    balancer.set_config_checked();
    balancer
}

pub fn view() -> TargetView {
    TargetView {
        service: tag().service_id(),
        data_centre: DataCentreId(1),
        presence: Presence::Present,
        accepts_flows: true,
        is_cold: false,
        weight: 4,
        load: 0,
        reads_exact: true,
        suspected_until: None,
    }
}

pub fn views(agents: impl IntoIterator<Item = u8>) -> BTreeMap<SocketAddrV4, TargetView> {
    agents.into_iter().map(|n| (agent_at(n), view())).collect()
}

pub fn opening(key: FlowKey, copy: u32) -> PacketInfo {
    PacketInfo {
        key,
        kind: PacketKind::Open { copy },
        is_returned: false,
        closes: false,
        sequence: 100,
        ack: copy,
        bytes: 0,
    }
}

pub fn data(key: FlowKey, ack: u32) -> PacketInfo {
    PacketInfo {
        kind: PacketKind::Data,
        sequence: 101,
        ack,
        bytes: 10,
        ..opening(key, 0)
    }
}

pub fn offer(key: FlowKey, sequence: u32) -> PacketInfo {
    PacketInfo {
        kind: PacketKind::Offer,
        sequence,
        ack: 101,
        ..opening(key, 0)
    }
}

/// Answer of a target whose offer had the given sequence number.
pub fn answer(key: FlowKey, offer: u32) -> PacketInfo {
    PacketInfo {
        kind: PacketKind::Data,
        sequence: offer + 1,
        ack: 111,
        bytes: 20,
        ..opening(key, 0)
    }
}

/// What happened to a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seen {
    /// It reached the target of this agent.
    Target(u8),
    /// The caller received an answer of a target.
    Answer,
    /// The caller received a reset of the system.
    Reset,
}

#[derive(Clone, Debug)]
enum Event {
    AtBalancer(u8, Bytes),
    Frame(SocketAddrV4, SocketAddrV4, Frame, Bytes),
    AtTarget(u8, Bytes),
    FromTarget(u8, Bytes),
    AtCaller(FlowKey, Bytes),
    Reset(FlowKey),
    /// The target of this agent has processed a request of the flow.
    Done(u8, FlowKey),
}

/// Simulated target, which takes every flow and returns packets of flows that it does not know.
#[derive(Clone, Debug, Default)]
pub struct Target {
    pub id: u64,
    pub is_up: bool,
    pub flows: BTreeMap<FlowKey, u32>,
    pub heartbeats: u64,
    /// Requests at a target that needs time for them; `None` if it answers at once.
    pub work: Option<Work>,
}

#[derive(Debug)]
pub struct World {
    pub now: Instant,
    pub seed: u64,
    pub loss_percent: u64,
    catalogue: Catalogue,
    pub balancers: BTreeMap<u8, Balancer>,
    pub agents: BTreeMap<u8, Agent>,
    pub targets: BTreeMap<u8, Target>,
    /// Properties of all packets. The bytes of a packet are its index here, so that they are opaque
    /// to the state machines.
    packets: Vec<PacketInfo>,
    queue: BTreeMap<(Instant, u64), Event>,
    order: u64,
    /// For each open flow: the target whose offer the caller accepted, the offer, and the target's
    /// identity.
    pub open: BTreeMap<FlowKey, (u8, u32, u64)>,
    pub seen: BTreeMap<FlowKey, Vec<Seen>>,
    /// Logged decisions on each flow, for the message of a failed test.
    pub trace: BTreeMap<FlowKey, Vec<String>>,
    next_heartbeat: Instant,
    /// What balancers know of agents; `None` if they know all of them at once.
    lists: Option<Lists>,
    /// Suspended agents, and the times at which they resume.
    suspended: BTreeMap<u8, Instant>,
    /// Agents that are down, and the times at which they start.
    stopped: BTreeMap<u8, Instant>,
}

impl World {
    pub fn new(seed: u64, balancers: u8, agents: u8) -> Self {
        Self::start(seed, balancers, agents, None, catalogue(1))
    }

    /// World in which balancers know only the agents that they were told of.
    pub fn with_lists(seed: u64, balancers: u8, agents: u8) -> Self {
        Self::start(
            seed,
            balancers,
            agents,
            Some(Lists::default()),
            catalogue(1),
        )
    }

    /// World with another configuration.
    pub fn with_catalogue(seed: u64, balancers: u8, agents: u8, catalogue: Catalogue) -> Self {
        Self::start(seed, balancers, agents, None, catalogue)
    }

    fn start(
        seed: u64,
        balancers: u8,
        agents: u8,
        lists: Option<Lists>,
        catalogue: Catalogue,
    ) -> Self {
        let now = Instant::from_secs(100);
        let mut world = Self {
            now,
            seed,
            loss_percent: 0,
            catalogue,
            balancers: BTreeMap::new(),
            agents: BTreeMap::new(),
            targets: BTreeMap::new(),
            packets: Vec::new(),
            queue: BTreeMap::new(),
            order: 0,
            open: BTreeMap::new(),
            seen: BTreeMap::new(),
            trace: BTreeMap::new(),
            next_heartbeat: now,
            lists,
            suspended: BTreeMap::new(),
            stopped: BTreeMap::new(),
        };
        for number in 1..=agents {
            let target = Target {
                id: u64::from(number),
                is_up: true,
                ..Target::default()
            };
            world.targets.insert(number, target);
            let mut agent = Agent::new(now, agent_settings(number, true));
            world.configure(&mut agent);
            world.agents.insert(number, agent);
            if let Some(lists) = &mut world.lists {
                lists.start_agent(now, number);
            }
        }
        for number in 1..=balancers {
            world.start_balancer(number);
        }
        world.run(Duration::from_secs(2));
        world
    }

    fn configure(&self, agent: &mut Agent) {
        agent.set_catalogue(Arc::new(self.catalogue.clone()));
        agent.set_evacuations(self.now, &Evacuations::default());
        agent.set_config_checked();
    }

    pub fn random(&mut self, below: u64) -> u64 {
        self.seed = mix(self.seed, 7);
        self.seed % below
    }

    pub fn start_balancer(&mut self, number: u8) {
        let balancer = ready_balancer_with(self.now, number, self.catalogue.clone());
        self.balancers.insert(number, balancer);
        if let Some(mut lists) = self.lists.take() {
            // An agent whose balancers are gone notices it within two seconds.
            let now = self.now;
            let delay = || Duration::from_millis(self.random(2_200));
            lists.start_balancer(now, number, delay);
            self.lists = Some(lists);
            // The store, which holds the registry, does not answer each time.
            if self.random(4) > 0 {
                let registered = self.targets.keys().copied().map(agent_at).collect();
                let balancer = self.balancers.get_mut(&number).expect("just started");
                let actions = balancer.set_registered(now, registered);
                self.perform(balancer_at(number), actions);
            }
        }
    }

    pub fn stop_balancer(&mut self, number: u8) {
        self.balancers.remove(&number);
        if let Some(lists) = &mut self.lists {
            lists.end_balancer(number);
        }
    }

    /// Suspends an agent for a time, in which it loses all datagrams.
    pub fn suspend_agent(&mut self, number: u8, pause: Duration) {
        self.suspended.insert(number, self.now + pause);
    }

    /// Stops an agent, which starts again after a time.
    pub fn stop_agent(&mut self, number: u8, down: Duration) {
        self.agents.remove(&number);
        self.stopped.insert(number, self.now + down);
        if let Some(lists) = &mut self.lists {
            lists.end_agent(number);
        }
    }

    /// Starts and resumes the agents that are due.
    fn bring_back_agents(&mut self) {
        let now = self.now;
        let is_due = |(_, at): &(&u8, &Instant)| **at <= now;
        let resumed: Vec<u8> = self
            .suspended
            .iter()
            .filter(is_due)
            .map(|(&n, _)| n)
            .collect();
        for number in resumed {
            self.suspended.remove(&number);
            if let Some(agent) = self.agents.get_mut(&number) {
                agent.resume();
                agent.set_config_checked();
            }
        }
        let started: Vec<u8> = self
            .stopped
            .iter()
            .filter(is_due)
            .map(|(&n, _)| n)
            .collect();
        for number in started {
            self.stopped.remove(&number);
            let mut agent = Agent::new(now, agent_settings(number, false));
            self.configure(&mut agent);
            self.agents.insert(number, agent);
            if let Some(lists) = &mut self.lists {
                lists.start_agent(now, number);
            }
        }
    }

    /// Tells balancers of agents as far as they were told.
    fn update_lists(&mut self, mut lists: Lists) -> Lists {
        let now = self.now;
        let suspended = self.suspended.keys().copied().collect();
        let mut seed = self.seed;
        let pick = |bound: usize| {
            seed = mix(seed, 11);
            (seed % bound as u64) as usize
        };
        let agents = &self.agents;
        let presence = |number: u8| agents[&number].presence();
        lists.exchange(now, &suspended, presence, pick);
        self.seed = seed;
        let numbers: Vec<u8> = self.balancers.keys().copied().collect();
        for number in numbers {
            let (views, has_joined) = lists.views(now, number);
            let balancer = self.balancers.get_mut(&number).expect("number is listed");
            balancer.set_joined(has_joined);
            let mut actions = balancer.set_targets(now, views);
            actions.extend(balancer.tick(now));
            self.perform(balancer_at(number), actions);
        }
        lists
    }

    /// Restarts the agent beside its running target.
    pub fn restart_agent(&mut self, number: u8) {
        let mut agent = Agent::new(self.now, agent_settings(number, false));
        self.configure(&mut agent);
        self.agents.insert(number, agent);
        self.next_heartbeat = self.now;
    }

    /// Ends a target and starts a new one at the same agent.
    pub fn replace_target(&mut self, number: u8) {
        let target = self.targets.get_mut(&number).expect("target exists");
        target.id += 1_000;
        target.flows.clear();
        target.heartbeats = 0;
        self.next_heartbeat = self.now;
    }

    fn push(&mut self, after: Duration, event: Event) {
        self.order += 1;
        self.queue.insert((self.now + after, self.order), event);
    }

    fn packet(&mut self, info: PacketInfo) -> Bytes {
        self.packets.push(info);
        Bytes::copy_from_slice(&(self.packets.len() as u64 - 1).to_le_bytes())
    }

    fn info(&self, packet: &[u8]) -> Option<PacketInfo> {
        let number = u64::from_le_bytes(packet.try_into().ok()?);
        self.packets.get(number as usize).copied()
    }

    /// Sends a caller's packet to a random running balancer.
    pub fn send(&mut self, info: PacketInfo) {
        let live: Vec<u8> = self.balancers.keys().copied().collect();
        if live.is_empty() {
            return;
        }
        let pick = self.random(live.len() as u64) as usize;
        let packet = self.packet(info);
        self.push(DELAY, Event::AtBalancer(live[pick], packet));
    }

    /// Opens a flow with up to three opening packets, 300 ms apart. Returns whether it is open.
    pub fn open_flow(&mut self, key: FlowKey) -> bool {
        for copy in 0..3 {
            if !self.open.contains_key(&key) {
                self.send(opening(key, copy));
            }
            self.run(Duration::from_millis(300));
        }
        if let Some(&(_, offer, _)) = self.open.get(&key) {
            self.send(data(key, offer + 1));
            self.run(Duration::from_millis(20));
            true
        } else {
            false
        }
    }

    /// Sends a request on an open flow, with retransmissions. Returns what happened to its packets.
    pub fn request(&mut self, key: FlowKey) -> Vec<Seen> {
        self.seen.remove(&key);
        let (_, offer, _) = self.open[&key];
        for _ in 0..4 {
            self.send(data(key, offer + 1));
            self.run(Duration::from_millis(200));
            let seen = self.seen.get(&key).map_or(&[][..], Vec::as_slice);
            if seen.contains(&Seen::Answer) || seen.contains(&Seen::Reset) {
                break;
            }
        }
        self.seen.get(&key).cloned().unwrap_or_default()
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            let next = self.queue.first_key_value().map(|((at, _), _)| *at);
            let tick = self.now + Duration::from_millis(10);
            let at = next.unwrap_or(tick).min(tick).min(end).max(self.now);
            self.now = at;
            while let Some(entry) = self.queue.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let event = entry.remove();
                self.handle(event);
            }
            self.tick();
            if next.is_none_or(|next| next > self.now) && at == tick {
                continue;
            }
            if at == self.now && self.queue.is_empty() {
                self.now = tick.min(end);
            }
        }
    }

    fn tick(&mut self) {
        self.bring_back_agents();
        if self.now >= self.next_heartbeat {
            self.next_heartbeat = self.now + HEARTBEAT_INTERVAL;
            self.send_heartbeats();
        }
        if let Some(lists) = self.lists.take() {
            self.lists = Some(self.update_lists(lists));
        } else {
            self.list_all_agents();
        }
        let numbers: Vec<u8> = self.agents.keys().copied().collect();
        for number in numbers {
            if self.suspended.contains_key(&number) {
                continue;
            }
            let agent = self.agents.get_mut(&number).expect("number is listed");
            let actions = agent.tick(self.now);
            self.perform(agent_at(number), actions);
        }
    }

    fn list_all_agents(&mut self) {
        // The membership still lists agents that died recently, as not taking flows.
        let mut targets = views(self.targets.keys().copied());
        for number in self.targets.keys() {
            if let Some(target) = targets.get_mut(&agent_at(*number)) {
                target.accepts_flows = self.agents.contains_key(number);
            }
        }
        let numbers: Vec<u8> = self.balancers.keys().copied().collect();
        for number in numbers {
            let balancer = self.balancers.get_mut(&number).expect("number is listed");
            let mut actions = balancer.set_targets(self.now, targets.clone());
            actions.extend(balancer.tick(self.now));
            self.perform(balancer_at(number), actions);
        }
    }

    fn send_heartbeats(&mut self) {
        for (number, target) in &mut self.targets {
            if !target.is_up {
                continue;
            }
            target.heartbeats += 1;
            if self.suspended.contains_key(number) {
                continue;
            }
            if let Some(agent) = self.agents.get_mut(number) {
                let mut heartbeat = heartbeat_of(&target.id.to_string(), target.heartbeats);
                heartbeat.started_ms = target.id;
                if let Some(work) = &target.work {
                    heartbeat.slots = work.slots;
                }
                agent.receive_heartbeat(self.now, heartbeat);
            }
        }
    }

    fn handle(&mut self, event: Event) {
        if self.loss_percent > 0 && self.random(100) < self.loss_percent {
            return;
        }
        match event {
            Event::AtBalancer(number, packet) => {
                let info = self.info(&packet).expect("packet is known");
                if let Some(balancer) = self.balancers.get_mut(&number) {
                    let actions = balancer.handle_caller_packet(self.now, packet, &info);
                    self.perform(balancer_at(number), actions);
                }
            }
            Event::Frame(from, to, frame, packet) => {
                let info = self.info(&packet);
                let number = to.ip().octets()[3];
                let now = self.now;
                let is_agent = to.ip().octets()[1] == 1;
                if is_agent && self.suspended.contains_key(&number) {
                    return;
                }
                let actions = if is_agent {
                    let agent = self.agents.get_mut(&number);
                    agent.map(|agent| agent.handle_frame(now, from, frame, packet, info))
                } else {
                    let balancer = self.balancers.get_mut(&number);
                    balancer.map(|balancer| balancer.handle_frame(now, from, frame, packet, info))
                };
                self.perform(to, actions.unwrap_or_default());
            }
            Event::AtTarget(number, packet) => self.at_target(number, &packet),
            Event::FromTarget(number, packet) => {
                let info = self.info(&packet).expect("packet is known");
                if self.suspended.contains_key(&number) {
                    return;
                }
                if let Some(agent) = self.agents.get_mut(&number) {
                    let actions = agent.handle_target_packet(self.now, packet, &info);
                    self.perform(agent_at(number), actions);
                }
            }
            Event::AtCaller(key, packet) => {
                let info = self.info(&packet).expect("packet is known");
                if info.kind == PacketKind::Offer {
                    let number = (info.sequence >> 24) as u8;
                    let id = self.targets[&number].id;
                    self.open.entry(key).or_insert((number, info.sequence, id));
                } else {
                    self.seen.entry(key).or_default().push(Seen::Answer);
                }
            }
            Event::Reset(key) => self.seen.entry(key).or_default().push(Seen::Reset),
            Event::Done(number, key) => self.finish_request(number, key),
        }
    }

    fn at_target(&mut self, number: u8, packet: &[u8]) {
        let info = self.info(packet).expect("packet is known");
        let key = info.key;
        self.seen.entry(key).or_default().push(Seen::Target(number));
        let fresh = u32::from(number) << 24 | self.random(1 << 20) as u32;
        let target = self.targets.get_mut(&number).expect("target exists");
        if !target.is_up {
            return;
        }
        let answer = match info.kind {
            PacketKind::Open { .. } => {
                let sequence = *target.flows.entry(key).or_insert(fresh);
                offer(key, sequence)
            }
            _ => match target.flows.get(&key) {
                Some(&sequence) if info.ack.wrapping_sub(sequence) < 1 << 16 => {
                    if target.work.is_some() {
                        self.begin_request(number, key);
                        return;
                    }
                    answer(key, sequence)
                }
                _ => PacketInfo {
                    is_returned: true,
                    ..info
                },
            },
        };
        let answer = self.packet(answer);
        self.push(DELAY, Event::FromTarget(number, answer));
    }

    fn perform(&mut self, by: SocketAddrV4, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, frame, packet } => {
                    self.push(DELAY, Event::Frame(by, to, frame, packet));
                }
                Action::ToTarget(packet) => {
                    let number = by.ip().octets()[3];
                    self.push(DELAY, Event::AtTarget(number, packet));
                }
                Action::ToCaller { key, packet } => self.push(DELAY, Event::AtCaller(key, packet)),
                Action::Reset(reset) => self.push(DELAY, Event::Reset(reset.key)),
                Action::Log(log) => {
                    let at = self.now.as_micros() / 1_000;
                    let line = format!("{at} {by} {} {}", log.decision, log.inputs);
                    self.trace.entry(log.key).or_default().push(line);
                }
                Action::Answered { .. } | Action::Waited(_) | Action::Rejected(_) => {}
            }
        }
    }
}

/// Targets that packets of the flow reached, except its own.
pub fn other_targets(seen: &[Seen], own_target: u8) -> BTreeSet<u8> {
    let targets = seen.iter().filter_map(|seen| match seen {
        Seen::Target(number) if *number != own_target => Some(*number),
        _ => None,
    });
    targets.collect()
}
