//! Probes: packets of a flow that agents hand to their targets because they cannot tell whether they
//! own it. Each probe of another agent than the owner reaches a wrong target.

mod world;

use std::net::SocketAddrV4;

use bytes::Bytes;
use monsoon_flow::{Action, Agent, Balancer, Frame, OwnerQuery, OwnerReply, Ownership, PacketInfo};
use monsoon_model::{Duration, Instant};
use world::{
    agent_at, agent_settings, balancer_at, caller, data, heartbeat_of, ready_balancer, views,
};

const START: Instant = Instant::from_secs(100);
/// Time after [`START`] from which the list of agents counts as complete.
const LIST_WAIT: Duration = Duration::from_millis(1_200);

fn reply_unknown(balancer: &mut Balancer, now: Instant, agent: u8) -> Vec<Action> {
    let replies = vec![OwnerReply {
        key: caller(1),
        ownership: Ownership::Unknown,
    }];
    let replies = Frame::OwnerReplies(replies);
    balancer.handle_frame(now, agent_at(agent), replies, Bytes::new(), None)
}

/// Agents that were sent a packet.
fn probed(actions: &[Action]) -> Vec<SocketAddrV4> {
    let probes = actions.iter().filter_map(|action| match action {
        Action::Send {
            to,
            frame: Frame::Data,
            ..
        } => Some(*to),
        _ => None,
    });
    probes.collect()
}

/// Guards against a balancer that has just started and sends the packets of a flow to wrong targets
/// for seconds, because the owner is not among the few agents that it knows.
#[test]
fn agents_are_probed_once_the_list_is_complete() {
    let mut balancer = ready_balancer(START, 1);
    balancer.set_targets(START, views([1]));
    let now = START + Duration::from_millis(100);
    balancer.handle_caller_packet(now, Bytes::new(), &data(caller(1), 6));
    let mut early = reply_unknown(&mut balancer, now, 1);
    let packet = data(caller(1), 6);
    early.extend(balancer.handle_caller_packet(now, Bytes::new(), &packet));
    early.extend(balancer.tick(now + Duration::from_millis(300)));
    assert_eq!(probed(&early), []);
    let later = START + LIST_WAIT;
    balancer.set_targets(later, views([1, 2]));
    balancer.tick(later + Duration::from_millis(20));
    let actions = reply_unknown(&mut balancer, later, 2);
    let mut probed = probed(&actions);
    probed.sort_unstable();
    assert_eq!(probed, [agent_at(1), agent_at(2)]);
}

/// Guards against a flow that waits for seconds because one agent is down while the others cannot
/// tell and the list is not complete.
#[test]
fn a_silent_agent_does_not_delay_the_probes_of_a_complete_list() {
    let mut balancer = ready_balancer(START, 1);
    balancer.set_targets(START, views([1, 2]));
    let now = START + Duration::from_millis(100);
    balancer.handle_caller_packet(now, Bytes::new(), &data(caller(1), 6));
    reply_unknown(&mut balancer, now, 1);
    // Agent 2 does not reply, and the list changes several times.
    let mut probes = Vec::new();
    for step in 1..=24 {
        let at = now + Duration::from_millis(step * 50);
        probes.extend(probed(&balancer.tick(at)));
        if step % 4 == 0 {
            probes.extend(probed(&balancer.set_targets(at, views([1, 2]))));
        }
    }
    assert_eq!(probes, [agent_at(1)]);
}

/// Guards against an agent that forgets that its target returned a packet, and hands it the packets
/// of the same flow again for each further balancer that asks.
#[test]
fn a_target_that_returned_a_packet_gets_no_further_one_of_the_flow() {
    let mut agent = Agent::new(START, agent_settings(1, false));
    agent.receive_heartbeat(START, heartbeat_of("i", 9));
    let packet = Bytes::from_static(b"p");
    let request = data(caller(1), 6);
    let probe = agent.handle_frame(
        START,
        balancer_at(1),
        Frame::Data,
        packet.clone(),
        Some(request),
    );
    let is_delivery = |action: &Action| matches!(action, Action::ToTarget(_));
    assert!(probe.iter().any(is_delivery), "{probe:?}");
    let returned = PacketInfo {
        is_returned: true,
        ..request
    };
    agent.handle_target_packet(START, packet.clone(), &returned);
    let now = START + Duration::from_secs(3);
    agent.tick(now);
    let query = OwnerQuery {
        key: caller(1),
        ack: 6,
    };
    let queries = Frame::OwnerQueries(vec![query]);
    let answers = agent.handle_frame(now, balancer_at(2), queries, Bytes::new(), None);
    let is_denial = |action: &Action| {
        matches!(action, Action::Send { frame: Frame::OwnerReplies(replies), .. }
            if replies[0].ownership == Ownership::NotOwned)
    };
    assert!(answers.iter().any(is_denial), "{answers:?}");
    let actions = agent.handle_frame(now, balancer_at(2), Frame::Data, packet, Some(request));
    assert!(!actions.iter().any(is_delivery), "{actions:?}");
}
