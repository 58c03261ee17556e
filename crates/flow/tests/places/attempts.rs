//! Attempts of a balancer to place a flow: when their refusals reset it, and what they cost.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use bytes::Bytes;
use monsoon_flow::{Action, Agent, Balancer, Evacuations, FlowKey, Frame, PacketInfo, Reason};
use monsoon_model::{Duration, Instant};

use super::world::{
    agent_at, agent_settings, balancer_at, caller, catalogue, heartbeat_of, opening,
    ready_balancer, views,
};
use super::{START, with_demand};

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
