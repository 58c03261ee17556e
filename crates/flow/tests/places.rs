//! Places at a target and its wait queue in unusual sequences of frames, packets and timeouts.

mod world;

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::Arc;

use bytes::Bytes;
use monsoon_flow::{
    Action, Agent, Balancer, Catalogue, Demand, Evacuations, Fallback, FlowKey, Frame, Open,
    PacketInfo, PacketKind, Readiness, Reason, ServiceTag,
};
use monsoon_model::hash::mix;
use monsoon_model::{Duration, Instant, Version, Versions};
use quickcheck::QuickCheck;
use world::{
    agent_at, agent_settings, balancer_at, caller, catalogue, catalogue_to, data, heartbeat_of,
    offer, opening, other_tag, ready_balancer, tag, views,
};

const START: Instant = Instant::from_secs(100);
/// Longest time that a waiting packet may stay without a look at it while the target idles.
const MAX_IDLE: Duration = Duration::from_millis(100);

fn with_demand(mut catalogue: Catalogue) -> Arc<Catalogue> {
    for route in catalogue.routes.values_mut() {
        route.demand = Some(Demand {
            goal: Duration::from_millis(200),
            limit: Duration::from_millis(900),
            priority: 1,
        });
    }
    for service in catalogue.services.values_mut() {
        service.cold_rate = Some(20.0);
    }
    Arc::new(catalogue)
}

/// Agent with a checked configuration, a demand and a ready target.
fn agent() -> Agent {
    let mut agent = Agent::new(START, agent_settings(1, true));
    agent.set_catalogue(with_demand(catalogue(1)));
    agent.set_evacuations(START, &Evacuations::default());
    agent.set_config_checked();
    agent.receive_heartbeat(START, heartbeat_of("i", 1));
    agent
}

fn open(hops: Vec<u8>, fallback: Option<Fallback>) -> Frame {
    Frame::Open(Open {
        balancer: balancer_at(1),
        service: tag(),
        versions: Versions {
            document: Version(1),
            evacuations: Version(0),
        },
        hops: hops.into_iter().map(agent_at).collect(),
        fallback,
    })
}

fn send_open(agent: &mut Agent, now: Instant, info: PacketInfo) -> Vec<Action> {
    let packet = Bytes::copy_from_slice(&info.sequence.to_le_bytes());
    agent.handle_frame(now, balancer_at(1), open(vec![], None), packet, Some(info))
}

/// Opens flows until one waits. Returns the number of flows that were started.
fn fill(agent: &mut Agent, now: Instant) -> u16 {
    for number in 0..1_000 {
        send_open(agent, now, opening(caller(number), 0));
        if agent.place_counts().waiting > 0 {
            return number;
        }
    }
    panic!("no flow waits: {:?}", agent.place_counts());
}

fn deliveries(actions: &[Action]) -> usize {
    let is_delivery = |action: &&Action| matches!(action, Action::ToTarget(_));
    actions.iter().filter(is_delivery).count()
}

fn is_refused(actions: &[Action], expected: Reason) -> bool {
    actions.iter().any(|action| {
        matches!(action, Action::Send { frame: Frame::Refused { reason }, .. } if *reason == expected)
    })
}

/// Guards against an opening packet that is passed on to another target before its time, so that
/// the flow opens at both: the timeout of an ended flow applied to the next one between the same
/// addresses.
#[test]
fn the_timeouts_of_a_former_flow_do_not_apply_to_the_next_one() {
    let mut agent = agent();
    let key = caller(1);
    send_open(&mut agent, START, opening(key, 0));
    let reset = PacketInfo {
        kind: PacketKind::Reset,
        ..offer(key, 1_000)
    };
    agent.handle_target_packet(START, Bytes::new(), &reset);
    let next_at = START + Duration::from_millis(40);
    let next = PacketInfo {
        sequence: 200,
        ..opening(key, 0)
    };
    send_open(&mut agent, next_at, next);
    let actions = agent.tick(START + Duration::from_millis(50));
    assert!(!is_refused(&actions, Reason::Unresponsive), "{actions:?}");
    let actions = agent.tick(next_at + Duration::from_millis(50));
    assert!(is_refused(&actions, Reason::Unresponsive), "{actions:?}");
}

/// Guards against more requests at the target than it has places: the place of a flow was given up
/// when an earlier flow between the same addresses had not been answered.
#[test]
fn a_place_is_kept_until_the_time_of_its_own_flow() {
    let mut agent = agent();
    let key = caller(1);
    let at = |ms| START + Duration::from_millis(ms);
    for (sequence, ms) in [(100, 0), (200, 80)] {
        let info = PacketInfo {
            sequence,
            ..opening(key, 0)
        };
        send_open(&mut agent, at(ms), info);
        agent.handle_target_packet(at(ms), Bytes::new(), &offer(key, sequence * 10));
    }
    agent.tick(at(100));
    assert_eq!(agent.place_counts().in_flight, 1);
    agent.tick(at(180));
    assert_eq!(agent.place_counts().in_flight, 0);
}

/// Guards against a waiting packet of a flow that its caller has given up: started after the next
/// flow between the same addresses had opened, it replaced that flow in the table, and the packets
/// of the open flow were no longer delivered.
#[test]
fn a_new_flow_replaces_a_waiting_one_between_the_same_addresses() {
    let mut agent = agent();
    let key = caller(fill(&mut agent, START));
    let next = PacketInfo {
        sequence: 200,
        ..opening(key, 0)
    };
    send_open(&mut agent, START, next);
    assert_eq!(agent.place_counts().waiting, 1);
    let reset = PacketInfo {
        kind: PacketKind::Reset,
        ..offer(caller(0), 1_000)
    };
    let actions = agent.handle_target_packet(START, Bytes::new(), &reset);
    let packet = Action::ToTarget(Bytes::copy_from_slice(&200_u32.to_le_bytes()));
    assert!(actions.contains(&packet), "{actions:?}");
}

/// Guards against a retransmitted opening packet that replaces an open flow in the table: the target
/// offered to take the flow after the agent had passed the packet on.
#[test]
fn a_retransmission_of_a_flow_that_opened_late_goes_to_its_target() {
    let mut agent = agent();
    let key = caller(1);
    send_open(&mut agent, START, opening(key, 0));
    let late = START + Duration::from_millis(60);
    assert!(is_refused(&agent.tick(late), Reason::Unresponsive));
    agent.handle_target_packet(late, Bytes::new(), &offer(key, 1_000));
    send_open(&mut agent, late, opening(key, 1));
    let request = data(key, 1_001);
    let actions = agent.handle_frame(
        late,
        balancer_at(1),
        Frame::Data,
        Bytes::new(),
        Some(request),
    );
    assert_eq!(deliveries(&actions), 1, "{actions:?}");
}

/// State of a random sequence.
struct Sequence {
    agent: Agent,
    now: Instant,
    seed: u64,
    heartbeat: u64,
    lifetime: u64,
    version: u64,
}

impl Sequence {
    fn below(&mut self, bound: u64) -> u64 {
        self.seed = mix(self.seed, 3);
        (self.seed >> 8) % bound
    }

    fn key(&mut self) -> FlowKey {
        caller(self.below(24) as u16)
    }

    fn beat(&mut self, readiness: Readiness) {
        self.heartbeat += 1;
        let mut heartbeat = heartbeat_of(&self.lifetime.to_string(), self.heartbeat);
        heartbeat.started_ms = self.lifetime;
        heartbeat.readiness = readiness;
        heartbeat.cold_left = Duration::from_millis(self.below(2) * 500);
        if self.below(20) == 0 {
            heartbeat.service = other_tag();
        }
        self.agent.receive_heartbeat(self.now, heartbeat);
    }

    fn frame(&mut self, frame: Frame, info: PacketInfo) -> Vec<Action> {
        let packet = Bytes::from_static(b"p");
        let info = Some(info);
        self.agent
            .handle_frame(self.now, balancer_at(1), frame, packet, info)
    }

    fn open(&mut self) {
        let mut info = opening(self.key(), self.below(3) as u32);
        info.sequence = 100 * (1 + self.below(8) / 7) as u32;
        let hops = if self.below(4) == 0 { vec![2] } else { vec![] };
        let fallback = (self.below(4) == 0).then(|| Fallback {
            agent: agent_at(1 + self.below(2) as u8),
            load: [0, 400, u16::MAX][self.below(3) as usize],
        });
        self.frame(open(hops, fallback), info);
    }

    fn receive_from_target(&mut self) {
        let key = self.key();
        let ack = 1_000;
        let mut info = match self.below(6) {
            0..=2 => offer(key, ack),
            3 => PacketInfo {
                sequence: ack + 1,
                bytes: 20,
                ..data(key, 111)
            },
            4 => opening(key, 0),
            _ => data(key, ack + 1),
        };
        info.is_returned = matches!(info.kind, PacketKind::Open { .. }) || self.below(8) == 0;
        info.closes = self.below(8) == 0;
        if self.below(12) == 0 {
            info.kind = PacketKind::Reset;
        }
        let packet = Bytes::from_static(b"t");
        self.agent.handle_target_packet(self.now, packet, &info);
    }

    fn receive_from_caller(&mut self) {
        let mut info = data(self.key(), 1_001);
        info.sequence += 10 * self.below(4) as u32;
        info.closes = self.below(8) == 0;
        if self.below(12) == 0 {
            info.kind = PacketKind::Reset;
        }
        self.frame(Frame::Data, info);
    }

    fn change(&mut self) {
        match self.below(12) {
            0..=4 => self.beat(Readiness::Ready),
            5 => self.beat(Readiness::Draining),
            6 => {
                (self.lifetime, self.heartbeat) = (self.lifetime + 1, 0);
                self.beat(Readiness::Ready);
            }
            7 => self.agent.set_target_absent(),
            8 => {
                self.agent.set_target_ended(&self.lifetime.to_string());
            }
            9 => {
                self.version += 1;
                let mut evacuations = Evacuations {
                    version: Version(self.version),
                    ..Evacuations::default()
                };
                if self.below(2) == 0 {
                    evacuations.data_centres.insert("a".to_owned());
                }
                self.agent.set_evacuations(self.now, &evacuations);
            }
            10 => {
                self.version += 1;
                let service: ServiceTag = [tag(), tag(), other_tag()][self.below(3) as usize];
                let catalogue = with_demand(catalogue_to(self.version, service));
                self.agent.set_catalogue(catalogue);
            }
            _ => {
                self.agent.resume();
                if self.below(2) == 0 {
                    self.agent.set_config_checked();
                }
            }
        }
    }

    fn step(&mut self) {
        match self.below(20) {
            0..=7 => self.open(),
            8..=11 => self.receive_from_target(),
            12..=14 => self.receive_from_caller(),
            15 if self.below(3) == 0 => self.change(),
            16 => {
                self.agent.set_config_checked();
                self.beat(Readiness::Ready);
            }
            17 if self.below(10) == 0 => self.pass(Duration::from_secs(3)),
            17..=18 => {
                let span = Duration::from_millis(self.below(120));
                self.pass(span);
            }
            _ => {
                let due = self.agent.next_tick();
                self.pass(due.since(self.now));
            }
        }
    }

    fn pass(&mut self, span: Duration) {
        self.now += span;
        self.agent.tick(self.now);
        let next = self.agent.next_tick();
        assert!(next > self.now, "tick is due again: {next:?}");
    }

    fn check(&self) {
        let counts = self.agent.place_counts();
        assert_eq!(counts.in_flight, counts.counted_in_flight);
        assert_eq!(counts.running, counts.counted_running);
        assert_eq!(counts.waiting, counts.waiting_keys);
        if counts.waiting > 0 && counts.in_flight == 0 {
            let due = self.agent.next_tick().since(self.now);
            assert!(due <= MAX_IDLE, "target idles for {due:?}: {counts:?}");
        }
    }
}

fn stays_consistent(seed: u64) -> bool {
    let mut sequence = Sequence {
        agent: agent(),
        now: START,
        seed,
        heartbeat: 1,
        lifetime: 1,
        version: 1,
    };
    let mut waited = false;
    for _ in 0..400 {
        sequence.step();
        sequence.check();
        waited |= sequence.agent.place_counts().waiting > 0;
    }
    waited
}

/// Guards against places that are counted twice or never released, against a waiting packet that no
/// timer wakes while the target idles, and against a timer that is due forever.
#[test]
fn random_sequences_neither_leak_places_nor_stop_the_queue() {
    QuickCheck::new()
        .rng(quickcheck::Gen::from_size_and_seed(100, 1))
        .tests(300)
        .quickcheck(
            (|seed| {
                stays_consistent(seed);
            }) as fn(u64),
        );
    let waited = (0..20).filter(|&seed| stays_consistent(seed)).count();
    assert!(waited > 10, "flows waited in {waited} of 20 sequences");
}

/// Guards against a waiting packet that idles for up to a second after the target returned another
/// one, and against a tick that is due all that time and does nothing.
#[test]
fn waiting_flows_start_when_the_target_takes_packets_again() {
    let mut agent = agent();
    let started = fill(&mut agent, START);
    let returned_at = START + Duration::from_millis(10);
    for number in 0..started {
        let mut returned = opening(caller(number), 0);
        returned.is_returned = true;
        agent.handle_target_packet(returned_at, Bytes::new(), &returned);
    }
    let counts = agent.place_counts();
    assert_eq!((counts.in_flight, counts.waiting), (0, 1), "{counts:?}");
    let mut now = returned_at;
    let mut delivered = 0;
    while now < returned_at + Duration::from_millis(50) {
        now = agent.next_tick();
        delivered += deliveries(&agent.tick(now));
    }
    assert_eq!(delivered, 1);
    assert_eq!(now, returned_at + Duration::from_millis(50));
}

/// Guards against packets that wait for a target that has ended: nothing arrives from it that
/// would start or pass on the queue.
#[test]
fn waiting_flows_leave_an_ended_target_at_once() {
    let mut agent = agent();
    fill(&mut agent, START);
    agent.set_target_ended("i");
    let due = agent.next_tick();
    assert!(due <= START, "{due:?}");
    let actions = agent.tick(START);
    assert!(is_refused(&actions, Reason::Leaving), "{actions:?}");
}

/// Balancer that has sent the opening packet of flow 1 to two chains of agents: the first did not
/// answer in time. Returns the first agents of both.
fn placed_twice() -> (Balancer, [SocketAddrV4; 2]) {
    let mut balancer = ready_balancer(START, 1);
    balancer.set_targets(START, views(1..=8));
    let first = balancer.handle_caller_packet(START, Bytes::new(), &opening(caller(1), 0));
    let second = balancer.tick(START + Duration::from_millis(90));
    let receiver = |actions: &[Action]| {
        let to = |action: &Action| match action {
            Action::Send { to, .. } => Some(*to),
            _ => None,
        };
        actions.iter().find_map(to).expect("packet is sent")
    };
    let agents = [receiver(&first), receiver(&second)];
    (balancer, agents)
}

fn refuse(balancer: &mut Balancer, from: SocketAddrV4, info: PacketInfo) -> Vec<Action> {
    let now = START + Duration::from_millis(100);
    let reason = Reason::Shed;
    balancer.handle_frame(
        now,
        from,
        Frame::Refused { reason },
        Bytes::new(),
        Some(info),
    )
}

fn is_reset(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reset(_)))
}

/// Guards against a reset of a flow that another attempt may open at this moment: only one of two
/// attempts was refused.
#[test]
fn a_flow_is_reset_only_when_all_attempts_are_refused() {
    let (mut balancer, [first, second]) = placed_twice();
    let info = opening(caller(1), 0);
    let actions = refuse(&mut balancer, second, info);
    assert!(!is_reset(&actions), "{actions:?}");
    let actions = refuse(&mut balancer, first, info);
    assert!(is_reset(&actions), "{actions:?}");
}

/// Guards against the reset of a flow that waits at an agent, by the late refusal of an earlier
/// attempt.
#[test]
fn only_the_agent_that_has_a_waiting_packet_refuses_it() {
    let (mut balancer, [first, second]) = placed_twice();
    let info = opening(caller(1), 0);
    let queued = Frame::Queued { key: info.key };
    balancer.handle_frame(START, second, queued, Bytes::new(), None);
    let actions = refuse(&mut balancer, first, info);
    assert_eq!(actions, []);
    let actions = refuse(&mut balancer, second, info);
    assert!(is_reset(&actions), "{actions:?}");
}

/// How the simulated targets handle opening packets.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Behaviour {
    Returns,
    IsSilent,
}

/// Balancer and agents whose frames take 1 ms.
struct Deployment {
    now: Instant,
    balancer: Balancer,
    agents: Vec<Agent>,
    behaviour: Behaviour,
    frames: Vec<(Instant, SocketAddrV4, SocketAddrV4, Frame, Bytes)>,
    /// Frames that carried an opening packet, and packets delivered to targets, by flow.
    opens: BTreeMap<FlowKey, u32>,
    delivered: BTreeMap<FlowKey, u32>,
}

fn info_of(packet: &Bytes) -> Option<PacketInfo> {
    let number = u16::from_le_bytes(packet.as_ref().try_into().ok()?);
    Some(opening(caller(number), 0))
}

impl Deployment {
    fn new(agents: u8, behaviour: Behaviour) -> Self {
        let mut balancer = ready_balancer(START, 1);
        balancer.set_catalogue(with_demand(catalogue(1)));
        let agents = 1..=agents;
        balancer.set_targets(START, views(agents.clone()));
        let agents = agents.map(|number| {
            let mut agent = Agent::new(START, agent_settings(number, true));
            agent.set_catalogue(with_demand(catalogue(1)));
            agent.set_evacuations(START, &Evacuations::default());
            agent.set_config_checked();
            agent
        });
        Self {
            // The balancer does not wait any more for agents that it does not know yet.
            now: START + Duration::from_secs(5),
            balancer,
            agents: agents.collect(),
            behaviour,
            frames: Vec::new(),
            opens: BTreeMap::new(),
            delivered: BTreeMap::new(),
        }
    }

    fn perform(&mut self, from: SocketAddrV4, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, frame, packet } => {
                    if matches!(frame, Frame::Open(_)) {
                        let key = info_of(&packet).expect("packet has a number").key;
                        *self.opens.entry(key).or_default() += 1;
                    }
                    let at = self.now + Duration::from_millis(1);
                    self.frames.push((at, from, to, frame, packet));
                }
                Action::ToTarget(packet) => {
                    let mut info = info_of(&packet).expect("packet has a number");
                    *self.delivered.entry(info.key).or_default() += 1;
                    if self.behaviour == Behaviour::Returns {
                        info.is_returned = true;
                        let agent = &mut self.agents[usize::from(from.ip().octets()[3]) - 1];
                        let actions = agent.handle_target_packet(self.now, packet, &info);
                        self.perform(from, actions);
                    }
                }
                _ => {}
            }
        }
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            let (due, rest) = std::mem::take(&mut self.frames)
                .into_iter()
                .partition(|(at, ..)| *at <= self.now);
            self.frames = rest;
            let due: Vec<_> = due;
            for (_, from, to, frame, packet) in due {
                let info = info_of(&packet);
                let actions = if to == balancer_at(1) {
                    self.balancer
                        .handle_frame(self.now, from, frame, packet, info)
                } else {
                    let agent = &mut self.agents[usize::from(to.ip().octets()[3]) - 1];
                    agent.handle_frame(self.now, from, frame, packet, info)
                };
                self.perform(to, actions);
            }
            if self.now.as_micros().is_multiple_of(10_000) {
                let listed = views(1..=self.agents.len() as u8);
                let actions = self.balancer.set_targets(self.now, listed);
                self.perform(balancer_at(1), actions);
            }
            let actions = self.balancer.tick(self.now);
            self.perform(balancer_at(1), actions);
            for number in 1..=self.agents.len() as u8 {
                let agent = &mut self.agents[usize::from(number) - 1];
                if self.now.as_micros().is_multiple_of(500_000) {
                    let sequence = 1 + self.now.as_micros() / 500_000;
                    agent.receive_heartbeat(self.now, heartbeat_of("i", sequence));
                }
                let actions = agent.tick(self.now);
                self.perform(agent_at(number), actions);
            }
            self.now += Duration::from_millis(1);
        }
    }
}

/// Rounds in which a waiting flow is offered to all agents: one every 50 ms of the 400 ms for which it
/// waits, and the first.
const MAX_ROUNDS: u32 = 9;
/// Frames that one opening packet costs: in each round one for each of the 8 agents, and one for the
/// fallback of each of the 2 attempts.
const MAX_OPEN_FRAMES: u32 = MAX_ROUNDS * (8 + 2);

/// Guards against opening packets that go round between agents without end: while the list of
/// agents changes every 10 ms, no target takes a flow, and the queues are full.
#[test]
fn an_opening_packet_costs_a_bounded_number_of_frames() {
    for behaviour in [Behaviour::Returns, Behaviour::IsSilent] {
        let mut deployment = Deployment::new(8, behaviour);
        deployment.run(Duration::from_millis(20));
        for number in 0..400_u16 {
            let packet = Bytes::copy_from_slice(&number.to_le_bytes());
            let info = opening(caller(number), 0);
            let now = deployment.now;
            let actions = deployment.balancer.handle_caller_packet(now, packet, &info);
            deployment.perform(balancer_at(1), actions);
        }
        deployment.run(Duration::from_millis(2_000));
        let opens = deployment.opens.values().max().copied();
        assert!(opens <= Some(MAX_OPEN_FRAMES), "{behaviour:?}: {opens:?}");
        let delivered = deployment.delivered.values().max().copied();
        assert!(
            delivered <= Some(MAX_ROUNDS),
            "{behaviour:?}: {delivered:?}"
        );
        let waiting: usize = deployment
            .agents
            .iter()
            .map(|a| a.place_counts().waiting)
            .sum();
        assert_eq!((waiting, deployment.frames.len()), (0, 0));
    }
}

/// Guards against a flow that waits for the next change of the list although a target took flows
/// shortly after the refusal.
#[test]
fn a_change_shortly_after_a_refusal_is_used_within_the_retry_interval() {
    let now = START + Duration::from_secs(5);
    let mut balancer = ready_balancer(START, 1);
    balancer.set_targets(now, views([1]));
    let info = opening(caller(1), 0);
    balancer.handle_caller_packet(now, Bytes::new(), &info);
    let refused = Frame::Refused {
        reason: Reason::Leaving,
    };
    balancer.handle_frame(now, agent_at(1), refused, Bytes::new(), Some(info));
    balancer.set_targets(now + Duration::from_millis(10), views([2]));
    let retry_at = now + Duration::from_millis(50);
    assert!(balancer.next_tick() <= retry_at);
    let actions = balancer.tick(retry_at);
    let is_placed = |a: &Action| matches!(a, Action::Send { to, .. } if *to == agent_at(2));
    assert!(actions.iter().any(is_placed), "{actions:?}");
}
