//! Decisions of a balancer on flows that wait at an agent or are refused by overloaded ones.

use std::net::SocketAddrV4;

use bytes::Bytes;
use monsoon_flow::{Action, Balancer, Frame, PacketInfo, Reason};
use monsoon_model::Duration;

use super::{START, demanding, flow, sent};
use crate::world::{opening, ready_balancer_with, views};

fn balancer() -> Balancer {
    let mut balancer = ready_balancer_with(START, 1, demanding(1));
    balancer.set_targets(START, views(1..=12));
    balancer
}

/// First agent, further candidates.
type Attempt = (SocketAddrV4, Vec<SocketAddrV4>);

/// Attempts to place a flow.
fn attempts(actions: &[Action]) -> Vec<Attempt> {
    let opens = sent(actions)
        .into_iter()
        .filter_map(|(to, frame)| match frame {
            Frame::Open(open) => Some((to, open.hops.clone())),
            _ => None,
        });
    opens.collect()
}

fn open(balancer: &mut Balancer, after: u64, info: PacketInfo) -> Vec<Action> {
    let now = START + Duration::from_millis(after);
    balancer.handle_caller_packet(now, Bytes::from_static(b"p"), &info)
}

fn reply(balancer: &mut Balancer, from: SocketAddrV4, frame: Frame) -> Vec<Action> {
    let now = START + Duration::from_millis(5);
    let info = opening(flow(1), 0);
    balancer.handle_frame(now, from, frame, Bytes::from_static(b"p"), Some(info))
}

fn first_attempt(balancer: &mut Balancer) -> Attempt {
    let actions = open(balancer, 0, opening(flow(1), 0));
    attempts(&actions).remove(0)
}

fn has_reset(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reset(_)))
}

fn refusal(reason: Reason) -> Frame {
    Frame::Refused { reason }
}

/// Load pattern: one flow that waits at its first agent for longer than the time to an offer.
/// Guards against a second place for a waiting flow, and against agents that are avoided because
/// their queues work.
#[test]
fn an_agent_that_has_queued_the_packet_is_not_suspected() {
    for is_queued in [true, false] {
        let mut balancer = balancer();
        let (first, _) = first_attempt(&mut balancer);
        if is_queued {
            reply(&mut balancer, first, Frame::Queued { key: flow(1) });
        }
        let late = balancer.tick(START + Duration::from_millis(150));
        assert_eq!(attempts(&late).is_empty(), is_queued, "{late:?}");
        // A new flow of the same addresses goes to the same agent unless that is suspected.
        let mut info = opening(flow(1), 0);
        info.sequence += 1_000;
        let next = attempts(&open(&mut balancer, 160, info)).remove(0).0;
        assert_eq!(next == first, is_queued);
    }
}

/// Load pattern: a waiting flow whose caller repeats its packet, at an agent that still has it or
/// is gone. Guards against a second place, and against callers that wait for a lost queue.
#[test]
fn a_retransmission_asks_the_queue_and_is_placed_anew_if_it_is_gone() {
    for is_gone in [true, false] {
        let mut balancer = balancer();
        let (first, _) = first_attempt(&mut balancer);
        let queued = Frame::Queued { key: flow(1) };
        reply(&mut balancer, first, queued.clone());
        let asked = open(&mut balancer, 200, opening(flow(1), 1));
        assert_eq!(attempts(&asked), [(first, Vec::new())]);
        if !is_gone {
            reply(&mut balancer, first, queued);
        }
        let late = attempts(&balancer.tick(START + Duration::from_millis(290)));
        assert_eq!(late.len(), usize::from(is_gone));
        for (next, hops) in late {
            assert!(next != first && !hops.contains(&first));
        }
    }
}

/// Load pattern: one flow at a service that is overloaded everywhere. Guards against attempts that
/// cost the overloaded targets more than they find, and against callers that learn of it late.
#[test]
fn two_overloaded_attempts_or_a_shed_one_reset_the_flow() {
    let mut balancer = balancer();
    let (first, hops) = first_attempt(&mut balancer);
    assert_eq!(hops.len(), 3);
    let again = reply(&mut balancer, hops[2], refusal(Reason::Overloaded));
    let (second, others) = attempts(&again).remove(0);
    assert!(!has_reset(&again) && !hops.contains(&second) && second != first);
    assert!(others.iter().all(|a| *a != first && !hops.contains(a)));
    let end = reply(&mut balancer, second, refusal(Reason::Overloaded));
    assert!(has_reset(&end) && attempts(&end).is_empty(), "{end:?}");

    let mut balancer = self::balancer();
    let (first, _) = first_attempt(&mut balancer);
    reply(&mut balancer, first, Frame::Queued { key: flow(1) });
    let end = reply(&mut balancer, first, refusal(Reason::Shed));
    assert!(has_reset(&end) && attempts(&end).is_empty(), "{end:?}");
}

/// Load pattern: a flow whose first packet went through another balancer is shed. Guards against a
/// reset of a flow that may be open.
#[test]
fn a_shed_flow_that_may_be_open_is_not_reset() {
    let mut balancer = balancer();
    let actions = open(&mut balancer, 0, opening(flow(1), 1));
    let (first, _) = attempts(&actions).remove(0);
    let end = reply(&mut balancer, first, refusal(Reason::Shed));
    assert!(!has_reset(&end) && attempts(&end).is_empty(), "{end:?}");
}

/// Load pattern: a flow that waits at an agent past the caller's retransmission, which went to
/// another balancer. Guards against a reset of the flow, which may have opened through that one.
#[test]
fn a_flow_with_a_missing_retransmission_is_not_reset() {
    for (copies, after, is_reset) in [
        (0, 200, true),
        (0, 300, false),
        (1, 300, true),
        (1, 700, false),
    ] {
        let mut balancer = balancer();
        let (first, _) = first_attempt(&mut balancer);
        reply(&mut balancer, first, Frame::Queued { key: flow(1) });
        if copies > 0 {
            open(&mut balancer, 200, opening(flow(1), copies));
            reply(&mut balancer, first, Frame::Queued { key: flow(1) });
        }
        let now = START + Duration::from_millis(after);
        let (packet, info) = (Bytes::from_static(b"p"), opening(flow(1), 0));
        let end = balancer.handle_frame(now, first, refusal(Reason::Shed), packet, Some(info));
        assert_eq!(has_reset(&end), is_reset, "{copies} {after} {end:?}");
    }
}
