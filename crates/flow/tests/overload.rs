//! Admission of flows whose route states a demand: single decisions of agents and balancers, and a
//! small deployment under overload in virtual time.

#[path = "overload/balancer.rs"]
mod balancer;
#[path = "overload/crowd.rs"]
mod crowd;
#[path = "overload/target.rs"]
mod target;
mod world;

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use bytes::Bytes;
use monsoon_flow::{
    Action, Agent, Catalogue, Demand, Evacuations, Fallback, FlowKey, Frame, Open, PacketInfo,
    PacketKind, Reason,
};
use monsoon_model::{Duration, Instant, Version, Versions};
use world::{
    agent_at, agent_settings, answer, balancer_at, catalogue, data, heartbeat_of, offer, opening,
    route, tag,
};

const START: Instant = Instant::from_secs(100);
const GOAL: Duration = Duration::from_millis(200);
const LIMIT: Duration = Duration::from_millis(800);
/// Sequence number of all offers of targets.
const OFFER: u32 = 7_000;
/// Places of a target of 2 slots before its first answer.
const PLACES: u16 = 6;

fn urgent_route() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 2), 443)
}

fn plain_route() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 3), 443)
}

/// Routes to one service: of priority 2, of priority 1, and without a demand.
fn demanding(version: u64) -> Catalogue {
    let mut catalogue = catalogue(version);
    let plain = catalogue.routes[&route()].clone();
    for (address, priority) in [(route(), 2), (urgent_route(), 1)] {
        let mut stated = plain.clone();
        stated.demand = Some(Demand {
            goal: GOAL,
            limit: LIMIT,
            priority,
        });
        catalogue.routes.insert(address, stated);
    }
    catalogue.routes.insert(plain_route(), plain);
    for service in catalogue.services.values_mut() {
        service.cold_rate = None;
    }
    catalogue
}

fn flow_to(address: SocketAddrV4, number: u16) -> FlowKey {
    FlowKey {
        caller: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), 1_024 + number),
        address,
    }
}

fn flow(number: u16) -> FlowKey {
    flow_to(route(), number)
}

fn heartbeat(sequence: u64) -> monsoon_flow::Heartbeat {
    let mut heartbeat = heartbeat_of("i", sequence);
    heartbeat.slots = 2;
    heartbeat
}

/// Agent with a target of 2 slots. Its packets are the ports of their callers.
struct Rig {
    agent: Agent,
    now: Instant,
}

impl Rig {
    /// Agent beside a target that has run for long.
    fn warm() -> Self {
        Self::new(false, 100)
    }

    fn new(first_start: bool, sequence: u64) -> Self {
        let mut agent = Agent::new(START, agent_settings(1, first_start));
        agent.set_catalogue(Arc::new(demanding(1)));
        agent.set_evacuations(START, &Evacuations::default());
        agent.set_config_checked();
        agent.receive_heartbeat(START, heartbeat(sequence));
        Self { agent, now: START }
    }

    fn frame(&mut self, frame: Frame, info: PacketInfo) -> Vec<Action> {
        let packet = Bytes::copy_from_slice(&info.key.caller.port().to_be_bytes());
        let from = balancer_at(1);
        self.agent
            .handle_frame(self.now, from, frame, packet, Some(info))
    }

    fn target(&mut self, info: PacketInfo) -> Vec<Action> {
        let packet = Bytes::from_static(b"t");
        self.agent.handle_target_packet(self.now, packet, &info)
    }

    fn open(&mut self, key: FlowKey, hops: &[u8], fallback: Option<Fallback>) -> Vec<Action> {
        let open = Open {
            balancer: balancer_at(1),
            service: tag(),
            versions: Versions {
                document: Version::of(1),
                evacuations: Version::of(0),
            },
            hops: hops.iter().copied().map(agent_at).collect(),
            fallback,
            reads_exact: true,
        };
        self.frame(Frame::Open(open), opening(key, 0))
    }

    /// Opens a flow at this agent as the only candidate.
    fn open_last(&mut self, key: FlowKey) -> Vec<Action> {
        self.open(key, &[], None)
    }

    /// Takes flows 1 to `count`, whose callers send their requests at once.
    fn run_flows(&mut self, count: u16) {
        for number in 1..=count {
            let actions = self.open_last(flow(number));
            assert_eq!(delivered(&actions), [flow(number).caller.port()]);
            self.accept(flow(number));
        }
    }

    fn accept(&mut self, key: FlowKey) {
        self.target(offer(key, OFFER));
        self.frame(Frame::Data, data(key, OFFER + 1));
    }

    /// Ends the request of a flow. Returns what the agent does then.
    fn answer(&mut self, key: FlowKey) -> Vec<Action> {
        self.target(answer(key, OFFER))
    }

    fn tick_after(&mut self, after: Duration) -> Vec<Action> {
        self.now += after;
        self.agent.tick(self.now)
    }
}

/// Ports of the callers whose packets were delivered to the target.
fn delivered(actions: &[Action]) -> Vec<u16> {
    let ports = actions.iter().filter_map(|action| match action {
        Action::ToTarget(packet) => Some(u16::from_be_bytes([packet[0], packet[1]])),
        _ => None,
    });
    ports.collect()
}

fn sent(actions: &[Action]) -> Vec<(SocketAddrV4, &Frame)> {
    let frames = actions.iter().filter_map(|action| match action {
        Action::Send { to, frame, .. } => Some((*to, frame)),
        _ => None,
    });
    frames.collect()
}

/// Flows that were given back to the balancer, by the ports of their callers.
fn refused(actions: &[Action]) -> Vec<(u16, Reason)> {
    let refused = actions.iter().filter_map(|action| match action {
        Action::Send {
            frame: Frame::Refused { reason },
            packet,
            ..
        } => Some((u16::from_be_bytes([packet[0], packet[1]]), *reason)),
        _ => None,
    });
    refused.collect()
}

fn queued(key: FlowKey) -> (SocketAddrV4, Frame) {
    (balancer_at(1), Frame::Queued { key })
}

fn is_queued(actions: &[Action], key: FlowKey) -> bool {
    let (to, frame) = queued(key);
    delivered(actions).is_empty() && sent(actions) == [(to, &frame)]
}

/// Load pattern: two flows, then a third, at an agent with 2 slots. Guards against flows that visit
/// other agents although their first one has a free slot, and against ones that wait at a busy one
/// without the comparison; the offer must state the time to the answer, the better of two.
#[test]
fn a_busy_agent_passes_on_its_expected_completion() {
    let mut rig = Rig::warm();
    for number in [1, 2] {
        let actions = rig.open(flow(number), &[2], None);
        assert_eq!(delivered(&actions), [flow(number).caller.port()]);
        assert!(sent(&actions).is_empty(), "{actions:?}");
    }
    // 20 ms for the request, and half as much for one request too many at 2 slots.
    let of = |agent, load| Fallback {
        agent: agent_at(agent),
        load,
    };
    for (former, best) in [
        (None, of(1, 300)),
        (Some(of(3, 290)), of(3, 290)),
        (Some(of(3, 310)), of(1, 300)),
    ] {
        let actions = rig.open(flow(3), &[2], former);
        let [(to, Frame::Open(open))] = sent(&actions)[..] else {
            panic!("not passed on: {actions:?}");
        };
        assert_eq!((to, open.fallback), (agent_at(2), Some(best)));
        assert!(open.hops.is_empty() && delivered(&actions).is_empty());
    }
}

/// Load pattern: one flow beyond the slots at the last of its candidates. Guards against a queue at
/// a slow agent while a faster one is known, and against flows that go back and forth for less than
/// the way costs.
#[test]
fn the_last_candidate_gives_a_flow_back_to_a_clearly_better_one() {
    let mut rig = Rig::warm();
    rig.run_flows(2);
    let passed = |load| {
        Some(Fallback {
            agent: agent_at(2),
            load,
        })
    };
    let actions = rig.open(flow(3), &[], passed(250));
    let [(to, Frame::Open(open))] = sent(&actions)[..] else {
        panic!("not given back: {actions:?}");
    };
    // Without an offer, the better agent has to take, queue or refuse it.
    assert_eq!(
        (to, &open.hops, open.fallback),
        (agent_at(2), &vec![], None)
    );
    let actions = rig.open(flow(4), &[], passed(251));
    assert_eq!(delivered(&actions), [flow(4).caller.port()]);
}

/// Load pattern: a flow beyond the places, sent three times. Guards against more requests at the
/// target than it holds, against repeated requests that run twice, and against balancers that do
/// not learn where the packet waits.
#[test]
fn a_flow_beyond_the_places_is_queued_once() {
    let mut rig = Rig::warm();
    rig.run_flows(PLACES);
    let key = flow(7);
    assert!(is_queued(&rig.open_last(key), key));
    for copy in 1..=2 {
        let mut again = opening(key, copy);
        again.kind = PacketKind::Open { copy };
        rig.now += Duration::from_millis(20);
        let open = Open {
            balancer: balancer_at(1),
            service: tag(),
            versions: Versions::default(),
            hops: Vec::new(),
            fallback: None,
            reads_exact: true,
        };
        // Each retransmission is answered, so that its balancer does not suspect the agent.
        assert!(is_queued(&rig.frame(Frame::Open(open), again), key));
    }
    assert_eq!(delivered(&rig.answer(flow(1))), [key.caller.port()]);
    rig.accept(key);
    for number in 2..=PLACES {
        assert!(delivered(&rig.answer(flow(number))).is_empty());
    }
}

/// Load pattern: two flows of priority 2 and then one of priority 1 wait at a full target. Guards
/// against urgent requests that wait for others, and against places that stay idle.
#[test]
fn an_answer_starts_the_next_by_priority() {
    let mut rig = Rig::warm();
    rig.run_flows(PLACES);
    let waiting = [flow(7), flow(8), flow_to(urgent_route(), 9)];
    for key in waiting {
        assert!(is_queued(&rig.open_last(key), key));
    }
    let mut order = Vec::new();
    for number in 1..=3 {
        order.extend(delivered(&rig.answer(flow(number))));
    }
    assert_eq!(order, [9, 7, 8].map(|number| flow(number).caller.port()));
}

/// Load pattern: 120 flows within an instant at 2 slots of 20 ms, answered one per 10 ms. Guards
/// against requests that run although they were refused, and against ones that are neither started
/// nor refused.
#[test]
fn a_request_that_cannot_be_answered_is_refused_and_never_delivered() {
    let mut rig = Rig::warm();
    rig.run_flows(PLACES);
    let (mut starts, mut refusals) = (Vec::new(), Vec::new());
    let mut waiting: BTreeSet<u16> = BTreeSet::new();
    for number in 7..=120 {
        let actions = rig.open_last(flow(number));
        starts.extend(delivered(&actions));
        refusals.extend(refused(&actions));
        waiting.insert(flow(number).caller.port());
    }
    assert!(starts.is_empty() && !refusals.is_empty());
    let mut running: Vec<u16> = (1..=PLACES).map(|n| flow(n).caller.port()).collect();
    while !running.is_empty() {
        rig.now += Duration::from_millis(10);
        let actions = rig.answer(flow(running.remove(0) - 1_024));
        refusals.extend(refused(&actions));
        for port in delivered(&actions) {
            rig.accept(flow(port - 1_024));
            starts.push(port);
            running.push(port);
        }
    }
    // The last answer, of a request that waited at the target too, is in time.
    assert!(rig.now - START <= LIMIT, "{:?}", rig.now);
    assert!(starts.len() >= 15, "{} started", starts.len());
    let mut ended: Vec<u16> = refusals.iter().map(|(port, _)| *port).collect();
    ended.extend(&starts);
    ended.sort_unstable();
    assert_eq!(ended, waiting.into_iter().collect::<Vec<_>>());
    assert!(refusals.iter().all(|(_, r)| *r == Reason::Overloaded));
}
