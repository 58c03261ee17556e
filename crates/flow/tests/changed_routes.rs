//! Flows of routes that a configuration moves or adds, at a balancer that does not know the former
//! or not yet the present configuration. A moved route leaves its open flows with the former service.

mod world;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::sync::Arc;

use bytes::Bytes;
use monsoon_flow::{Action, Balancer, Frame, OwnerReply, Ownership, ServiceTag, TargetView};
use monsoon_model::{Duration, Instant};
use world::{
    agent_at, caller, catalogue, catalogue_to, data, other_tag, ready_balancer_with, tag, view,
    views,
};

const START: Instant = Instant::from_secs(100);
/// Time after [`START`] from which the list of agents counts as complete.
const LIST_WAIT: Duration = Duration::from_secs(5);
/// Time by which queries that are due are sent.
const BATCH_DELAY: Duration = Duration::from_millis(20);
/// Agent of the service that the route led to before.
const FORMER: u8 = 1;
/// Agent of the service that the route leads to now.
const PRESENT: u8 = 2;

/// Balancer that started after the route had moved from [`tag`] to [`other_tag`].
fn balancer_after_move() -> Balancer {
    let mut balancer = ready_balancer_with(START, 1, catalogue_to(2, other_tag()));
    let serving = |service: ServiceTag| TargetView {
        service: service.service_id(),
        ..view()
    };
    let targets = BTreeMap::from([
        (agent_at(FORMER), serving(tag())),
        (agent_at(PRESENT), serving(other_tag())),
    ]);
    balancer.set_targets(START, targets);
    balancer
}

/// Replies to a query, and waits until the next queries are sent together.
fn reply(balancer: &mut Balancer, now: Instant, agent: u8, ownership: Ownership) -> Vec<Action> {
    let key = caller(1);
    let replies = Frame::OwnerReplies(vec![OwnerReply { key, ownership }]);
    let mut actions = balancer.handle_frame(now, agent_at(agent), replies, Bytes::new(), None);
    actions.extend(balancer.tick(now + BATCH_DELAY));
    actions
}

/// Agents that are asked for the owner of a flow.
fn asked(actions: &[Action]) -> BTreeSet<SocketAddrV4> {
    let queried = actions.iter().filter_map(|action| match action {
        Action::Send {
            to,
            frame: Frame::OwnerQueries(_),
            ..
        } => Some(*to),
        _ => None,
    });
    queried.collect()
}

/// Whether a packet of the flow is sent to an agent.
fn is_forwarded(actions: &[Action], agent: SocketAddrV4) -> bool {
    let is_packet = |action: &Action| match action {
        Action::Send { to, frame, .. } => *to == agent && *frame == Frame::Data,
        _ => false,
    };
    actions.iter().any(is_packet)
}

fn is_reset(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reset(_)))
}

/// Guards against resets of open flows by a balancer that started after their route had moved to
/// another service: it asked only the agents of the present service.
#[test]
fn a_new_balancer_finds_the_flows_of_a_moved_route() {
    let mut balancer = balancer_after_move();
    let now = START + LIST_WAIT;
    let actions = balancer.handle_caller_packet(now, Bytes::new(), &data(caller(1), 6));
    assert_eq!(asked(&actions), BTreeSet::from([agent_at(PRESENT)]));
    let actions = reply(&mut balancer, now, PRESENT, Ownership::NotOwned);
    assert!(!is_reset(&actions), "{actions:?}");
    assert_eq!(asked(&actions), BTreeSet::from([agent_at(FORMER)]));
    let actions = reply(&mut balancer, now, FORMER, Ownership::Owned);
    assert!(is_forwarded(&actions, agent_at(FORMER)), "{actions:?}");
}

/// Guards against flows of a moved route that wait for an agent of the present service which does
/// not reply, and never owned them.
#[test]
fn a_silent_agent_of_the_present_service_delays_no_flow_of_the_former_one() {
    let mut balancer = balancer_after_move();
    let now = START + LIST_WAIT;
    balancer.handle_caller_packet(now, Bytes::new(), &data(caller(1), 6));
    let actions = balancer.tick(now + Duration::from_millis(120));
    assert!(asked(&actions).contains(&agent_at(FORMER)), "{actions:?}");
}

/// Guards against callers that wait on a flow without owner: it is reset once the agents of all
/// services have denied it.
#[test]
fn a_flow_that_every_service_denies_is_reset() {
    let mut balancer = balancer_after_move();
    let now = START + LIST_WAIT;
    balancer.handle_caller_packet(now, Bytes::new(), &data(caller(1), 6));
    reply(&mut balancer, now, PRESENT, Ownership::NotOwned);
    let actions = reply(&mut balancer, now, FORMER, Ownership::NotOwned);
    assert!(is_reset(&actions), "{actions:?}");
}

/// Guards against flows of a moved route that are lost when the agents of both services restarted
/// and none can tell: the likely owners are probed first, then the others.
#[test]
fn agents_of_the_former_service_that_cannot_tell_are_probed() {
    let mut balancer = balancer_after_move();
    let now = START + LIST_WAIT;
    balancer.handle_caller_packet(now, Bytes::new(), &data(caller(1), 6));
    let actions = reply(&mut balancer, now, PRESENT, Ownership::Unknown);
    assert!(is_forwarded(&actions, agent_at(PRESENT)), "{actions:?}");
    assert!(!is_forwarded(&actions, agent_at(FORMER)), "{actions:?}");
    reply(&mut balancer, now, PRESENT, Ownership::NotOwned);
    let actions = reply(&mut balancer, now, FORMER, Ownership::Unknown);
    assert!(is_forwarded(&actions, agent_at(FORMER)), "{actions:?}");
}

/// Balancer whose configuration does not have the route yet.
fn balancer_before_addition() -> Balancer {
    let mut without = catalogue(1);
    without.routes.clear();
    let mut balancer = ready_balancer_with(START, 1, without);
    balancer.set_targets(START, views([FORMER]));
    balancer
}

/// Guards against resets of open flows of a route that was just added, by a balancer that has the
/// configuration a moment later than the one through which they opened.
#[test]
fn flows_of_an_added_route_outlive_a_balancer_that_is_behind() {
    let mut balancer = balancer_before_addition();
    let now = START + LIST_WAIT;
    let actions = balancer.handle_caller_packet(now, Bytes::new(), &data(caller(1), 6));
    assert!(!is_reset(&actions), "{actions:?}");
    balancer.set_catalogue(Arc::new(catalogue(2)));
    let now = now + Duration::from_millis(200);
    let actions = balancer.handle_caller_packet(now, Bytes::new(), &data(caller(1), 6));
    assert_eq!(asked(&actions), BTreeSet::from([agent_at(FORMER)]));
}

/// Guards against callers that wait on a flow whose route was dropped before this balancer started.
#[test]
fn a_flow_of_an_unknown_route_is_reset_when_the_route_stays_unknown() {
    let mut balancer = balancer_before_addition();
    let now = START + LIST_WAIT;
    balancer.handle_caller_packet(now, Bytes::new(), &data(caller(1), 6));
    balancer.tick(now + Duration::from_secs(1));
    // Third retransmission of a caller.
    let now = now + Duration::from_millis(1_400);
    let actions = balancer.handle_caller_packet(now, Bytes::new(), &data(caller(1), 6));
    assert!(is_reset(&actions), "{actions:?}");
}
