//! Decisions of single agents and balancers: which flows an agent takes, and which flows a balancer
//! resets or looks up.

mod world;

use std::collections::BTreeSet;
use std::sync::Arc;

use bytes::Bytes;
use monsoon_flow::{
    Action, Agent, Balancer, Evacuations, Fallback, FlowKey, Frame, Open, OwnerQuery, OwnerReply,
    Ownership, PacketInfo, PacketKind, Presence, Readiness, Reason, ServiceTag,
};
use monsoon_model::{Duration, Instant, Number, Version, Versions};
use world::{
    HEARTBEAT_LEASE, agent_at, agent_settings, balancer_at, caller, catalogue, data, heartbeat_of,
    offer, opening, other_tag, ready_agent, ready_balancer, tag, views,
};

const START: Instant = Instant::from_secs(100);

fn open_frame(document: u64, service: ServiceTag) -> Frame {
    open_frame_by(Version::of(document), service)
}

fn open_frame_by(document: Version, service: ServiceTag) -> Frame {
    Frame::Open(Open {
        balancer: balancer_at(1),
        service,
        versions: Versions {
            document,
            evacuations: Version::of(0),
        },
        hops: Vec::new(),
        fallback: None,
        reads_exact: true,
    })
}

/// Offers flow `number` to the agent. Returns the reason if the agent refuses it.
fn offer_flow(agent: &mut Agent, now: Instant, number: u16, frame: Frame) -> Option<Reason> {
    let info = opening(caller(number), 0);
    let packet = Bytes::from_static(b"p");
    let actions = agent.handle_frame(now, balancer_at(1), frame, packet, Some(info));
    actions.into_iter().find_map(|action| match action {
        Action::Send {
            frame: Frame::Refused { reason },
            ..
        } => Some(reason),
        _ => None,
    })
}

fn offer_first_flow(agent: &mut Agent, now: Instant) -> Option<Reason> {
    offer_flow(agent, now, 1, open_frame(1, tag()))
}

/// Guards against new flows at a target that is draining or has ended.
#[test]
fn a_draining_or_ended_target_gets_no_new_flow() {
    let mut agent = ready_agent(START, 1);
    assert_eq!(offer_first_flow(&mut agent, START), None);
    let mut draining = heartbeat_of("i", 2);
    draining.readiness = Readiness::Draining;
    agent.receive_heartbeat(START, draining);
    assert_eq!(
        offer_flow(&mut agent, START, 2, open_frame(1, tag())),
        Some(Reason::Leaving)
    );
    let mut agent = ready_agent(START, 1);
    assert!(agent.set_target_ended("i"));
    assert_eq!(offer_first_flow(&mut agent, START), Some(Reason::Leaving));
}

/// Guards against a delayed heartbeat, possibly of a former lifetime, that replaces a newer state.
#[test]
fn an_outdated_heartbeat_is_ignored() {
    let mut agent = ready_agent(START, 1);
    let mut draining = heartbeat_of("i", 5);
    draining.readiness = Readiness::Draining;
    agent.receive_heartbeat(START, draining);
    assert_eq!(
        agent.receive_heartbeat(START, heartbeat_of("i", 4)),
        Some("ignored")
    );
    assert_eq!(offer_first_flow(&mut agent, START), Some(Reason::Leaving));
    let mut older = heartbeat_of("former", 9);
    older.started_ms = 0;
    assert_eq!(agent.receive_heartbeat(START, older), Some("ignored"));
}

/// Guards against flows at an address that has been given to another target since the last
/// heartbeat.
#[test]
fn a_target_without_recent_heartbeat_gets_no_new_flow() {
    let mut agent = ready_agent(START, 1);
    let late = START + HEARTBEAT_LEASE;
    assert_eq!(
        offer_first_flow(&mut agent, late),
        Some(Reason::NoHeartbeat)
    );
    agent.receive_heartbeat(late, heartbeat_of("i", 2));
    assert_eq!(offer_first_flow(&mut agent, late), None);
}

/// Guards against flows at the wrong service after the address was given to another one.
#[test]
fn a_target_of_another_service_gets_no_flow() {
    let mut agent = ready_agent(START, 1);
    let wrong = open_frame(1, other_tag());
    assert_eq!(
        offer_flow(&mut agent, START, 1, wrong),
        Some(Reason::OtherService)
    );
    let mut both = catalogue(2);
    let other = both.services[&tag()].clone();
    both.services.insert(other_tag(), other);
    agent.set_catalogue(Arc::new(both));
    let mut moved = heartbeat_of("j", 1);
    moved.started_ms = 2;
    moved.service = other_tag();
    agent.receive_heartbeat(START, moved);
    assert_eq!(
        offer_first_flow(&mut agent, START),
        Some(Reason::OtherService)
    );
}

/// Guards against a heartbeat of another process that ends the flows of the target.
#[test]
fn a_heartbeat_of_another_target_is_ignored() {
    let mut agent = ready_agent(START, 1);
    offer_first_flow(&mut agent, START);
    make_offer(&mut agent, START, 1);
    let mut other = heartbeat_of("x", 1);
    other.started_ms = 9;
    other.service = other_tag();
    assert_eq!(
        agent.receive_heartbeat(START, other),
        Some("not of this target")
    );
    let mut elsewhere = heartbeat_of("x", 1);
    elsewhere.started_ms = 9;
    elsewhere.address.set_port(9);
    assert_eq!(
        agent.receive_heartbeat(START, elsewhere),
        Some("not of this target")
    );
    let packet = Bytes::from_static(b"r");
    let request = data(caller(1), 7_001);
    let actions = agent.handle_frame(START, balancer_at(1), Frame::Data, packet, Some(request));
    let is_delivery = |a: &Action| matches!(a, Action::ToTarget(_));
    assert!(actions.iter().any(is_delivery), "{actions:?}");
}

/// Guards against flows at an evacuated data centre, and against overload of targets that became
/// cold until its return.
#[test]
fn an_evacuated_data_centre_gets_no_new_flow_and_returns_cold() {
    let mut agent = ready_agent(START, 1);
    let evacuated = Evacuations {
        version: Version::of(5),
        data_centres: BTreeSet::from(["a".to_owned()]),
    };
    agent.set_evacuations(START, &evacuated);
    assert_eq!(offer_first_flow(&mut agent, START), Some(Reason::Evacuated));
    let stale = Evacuations {
        version: Version::of(4),
        data_centres: BTreeSet::new(),
    };
    agent.set_evacuations(START, &stale);
    assert_eq!(offer_first_flow(&mut agent, START), Some(Reason::Evacuated));
    let returned = Evacuations {
        version: Version::of(6),
        data_centres: BTreeSet::new(),
    };
    agent.set_evacuations(START, &returned);
    assert!(agent.target_state().is_cold(START));
    agent.receive_heartbeat(START + Duration::from_millis(1), heartbeat_of("i", 2));
    assert!(
        !agent
            .target_state()
            .is_cold(START + Duration::from_millis(1))
    );
}

/// Load pattern: many flows at once for a target that has just started. Guards against more flows
/// in any second than its limit: the rate of 2 a second times 1.5, plus 5.
#[test]
fn a_cold_target_gets_no_more_than_its_limit_in_any_second() {
    let mut agent = Agent::new(START, agent_settings(1, true));
    agent.set_catalogue(Arc::new(catalogue(1)));
    agent.set_config_checked();
    let mut cold = heartbeat_of("i", 1);
    cold.cold_left = Duration::from_secs(4);
    agent.receive_heartbeat(START, cold);
    let mut taken = Vec::new();
    for step in 0..400_u16 {
        let now = START + Duration::from_millis(u64::from(step) * 10);
        if step % 100 == 0 {
            let mut again = heartbeat_of("i", u64::from(step) / 100 + 2);
            again.cold_left = Duration::from_secs(4).saturating_sub(now - START);
            agent.receive_heartbeat(now, again);
        }
        let frame = open_frame(1, tag());
        if offer_flow(&mut agent, now, step, frame).is_none() {
            taken.push(now);
            make_offer(&mut agent, now, step);
        }
    }
    let most = |from: Instant| {
        let second = |at: &&Instant| **at >= from && **at - from <= Duration::from_secs(1);
        taken.iter().filter(second).count()
    };
    let busiest = taken.iter().map(|&at| most(at)).max();
    assert!(busiest <= Some(8), "{busiest:?} flows in a second");
    assert!(
        taken.len() >= 20,
        "only {} flows in four seconds",
        taken.len()
    );
}

/// Lets the target offer to take flow `number`.
fn make_offer(agent: &mut Agent, now: Instant, number: u16) {
    let info = offer(caller(number), 7_000);
    agent.handle_target_packet(now, Bytes::from_static(b"o"), &info);
}

/// Guards against flows by an old configuration after a newer one was in use, because one balancer
/// has not received it.
#[test]
fn a_flow_placed_by_an_older_configuration_is_refused() {
    let mut agent = ready_agent(START, 1);
    let mut without = catalogue(3);
    without.routes.clear();
    agent.set_catalogue(Arc::new(without));
    assert_eq!(offer_first_flow(&mut agent, START), Some(Reason::NoRoute));
    // A balancer used a newer configuration than this agent has received.
    let mut behind = ready_agent(START, 1);
    assert_eq!(
        offer_flow(&mut behind, START, 1, open_frame(3, tag())),
        None
    );
    make_offer(&mut behind, START, 1);
    let older = open_frame(2, tag());
    assert_eq!(
        offer_flow(&mut behind, START, 2, older),
        Some(Reason::OlderConfig)
    );
}

/// Guards against flows that are refused while some processes have not learned of a restore of the
/// store, and against flows by the copy of a configuration that was replaced before the restore.
#[test]
fn configurations_are_compared_by_number_across_eras() {
    let in_era = |era, number| Version::new(era, Number::of(number));
    let mut agent = ready_agent(START, 1);
    agent.set_catalogue(Arc::new(catalogue(5)));
    // Balancers with the present configuration, one of them with the stamp of the new era.
    let offer_by = |agent: &mut Agent, number, version| {
        let refused = offer_flow(agent, START, number, open_frame_by(version, tag()));
        if refused.is_none() {
            make_offer(agent, START, number);
        }
        refused
    };
    assert_eq!(offer_by(&mut agent, 1, in_era(1, 5)), None);
    assert_eq!(offer_by(&mut agent, 2, in_era(0, 5)), None);
    // A balancer that started with the copy offers a route that was removed since.
    let mut without = catalogue(6);
    without.routes.clear();
    agent.set_catalogue(Arc::new(without));
    assert_eq!(offer_by(&mut agent, 3, in_era(1, 4)), Some(Reason::NoRoute));
}

/// Guards against decisions by a configuration that became outdated during a suspension.
#[test]
fn a_resumed_process_takes_no_flow_until_its_configuration_is_checked() {
    let mut agent = ready_agent(START, 1);
    agent.resume();
    assert_eq!(
        offer_first_flow(&mut agent, START),
        Some(Reason::ConfigUnchecked)
    );
    agent.set_config_checked();
    assert_eq!(
        offer_first_flow(&mut agent, START),
        Some(Reason::NoHeartbeat)
    );
    let mut balancer = ready_balancer(START, 1);
    balancer.resume(START);
    assert!(!balancer.is_ready());
    let actions = balancer.handle_caller_packet(START, Bytes::new(), &opening(caller(1), 0));
    assert_eq!(actions, []);
}

/// Load pattern: a burst of flows for one target while others have free slots. Guards against a
/// queue at the first candidate of the ranking.
#[test]
fn a_busy_target_passes_new_flows_on() {
    let mut agent = ready_agent(START, 1);
    for number in 0..4 {
        offer_flow(&mut agent, START, number, open_frame(1, tag()));
        make_offer(&mut agent, START, number);
        let request = data(caller(number), 7_001);
        let packet = Bytes::from_static(b"r");
        agent.handle_frame(START, balancer_at(1), Frame::Data, packet, Some(request));
    }
    assert_eq!(agent.stats(START).in_flight, 4);
    let Frame::Open(mut open) = open_frame(1, tag()) else {
        unreachable!("open_frame makes an opening frame")
    };
    open.hops = vec![agent_at(2)];
    let info = opening(caller(9), 0);
    let packet = Bytes::from_static(b"p");
    let actions = agent.handle_frame(START, balancer_at(1), Frame::Open(open), packet, Some(info));
    let passed = |a: &Action| matches!(a, Action::Send { to, .. } if *to == agent_at(2));
    assert!(actions.iter().any(passed), "{actions:?}");
    // No other candidate is left, so the target queues the flow.
    assert_eq!(
        offer_flow(&mut agent, START, 10, open_frame(1, tag())),
        None
    );
    // An agent that passed the flow on has less load.
    let Frame::Open(mut open) = open_frame(1, tag()) else {
        unreachable!("open_frame makes an opening frame")
    };
    let agent_3 = agent_at(3);
    open.fallback = Some(Fallback {
        agent: agent_3,
        load: 100,
    });
    let info = opening(caller(11), 0);
    let packet = Bytes::from_static(b"p");
    let actions = agent.handle_frame(START, balancer_at(1), Frame::Open(open), packet, Some(info));
    let passed = |a: &Action| matches!(a, Action::Send { to, .. } if *to == agent_3);
    assert!(actions.iter().any(passed), "{actions:?}");
}

/// Guards against callers that wait until their deadline although no target exists, and against a
/// reset of a flow that may have opened through another balancer.
#[test]
fn a_flow_without_target_is_reset_at_once_but_its_retransmissions_are_not() {
    let mut balancer = ready_balancer(START, 1);
    let now = START + Duration::from_secs(5);
    let is_reset = |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::Reset(_)));
    let first = balancer.handle_caller_packet(now, Bytes::new(), &opening(caller(1), 0));
    assert!(is_reset(&first));
    let copy = balancer.handle_caller_packet(now, Bytes::new(), &opening(caller(2), 1));
    assert!(!is_reset(&copy));
    // In the second case, another balancer received a retransmission.
    let mut closed = views([1]);
    closed.get_mut(&agent_at(1)).expect("listed").accepts_flows = false;
    balancer.set_targets(now, closed);
    for (number, copies) in [(3, [0, 1]), (4, [0, 2])] {
        for copy in copies {
            let info = opening(caller(number), copy);
            assert_eq!(balancer.handle_caller_packet(now, Bytes::new(), &info), []);
        }
    }
    let late = balancer.tick(now + Duration::from_millis(400));
    let refusals = late
        .iter()
        .filter(|a| matches!(a, Action::Reset(_)))
        .count();
    assert_eq!(refusals, 1, "{late:?}");
}

/// Guards against resets by a balancer that has just started and knows no agents yet.
#[test]
fn a_flow_waits_for_the_list_of_agents_after_a_start() {
    let mut balancer = ready_balancer(START, 1);
    let actions = balancer.handle_caller_packet(START, Bytes::new(), &opening(caller(1), 0));
    assert_eq!(actions, []);
    let actions = balancer.set_targets(START + Duration::from_millis(200), views([1]));
    let placed = |a: &Action| matches!(a, Action::Send { to, .. } if *to == agent_at(1));
    assert!(actions.iter().any(placed), "{actions:?}");
}

/// Guards against packets at the wrong target when two targets offered to take the flow.
#[test]
fn the_accepted_offer_determines_the_owner_of_a_flow() {
    let mut balancer = ready_balancer(START, 1);
    balancer.set_targets(START, views([1, 2]));
    let key = caller(1);
    balancer.handle_caller_packet(START, Bytes::new(), &opening(key, 0));
    for (number, offer) in [(1, 1_000_000), (2, 9_000_000)] {
        let frame = Frame::Offer { key, offer };
        balancer.handle_frame(START, agent_at(number), frame, Bytes::new(), None);
    }
    let actions = balancer.handle_caller_packet(START, Bytes::new(), &data(key, 9_000_001));
    let sent = |a: &Action| matches!(a, Action::Send { to, .. } if *to == agent_at(2));
    assert!(actions.iter().all(sent), "{actions:?}");
}

/// Guards against an agent that delivers packets of a flow that opened at another target.
#[test]
fn a_packet_that_accepts_another_offer_is_not_delivered() {
    let mut agent = ready_agent(START, 1);
    offer_flow(&mut agent, START, 1, open_frame(1, tag()));
    make_offer(&mut agent, START, 1);
    let other = data(caller(1), 9_000_001);
    let packet = Bytes::from_static(b"r");
    let actions = agent.handle_frame(START, balancer_at(1), Frame::Data, packet, Some(other));
    let is_delivery = |a: &Action| matches!(a, Action::ToTarget(_));
    assert!(!actions.iter().any(is_delivery), "{actions:?}");
}

/// Guards against flows that stay open after their route was removed from the configuration.
#[test]
fn a_dropped_route_ends_its_flows() {
    let mut balancer = ready_balancer(START, 1);
    balancer.set_targets(START, views([1]));
    let key = caller(1);
    balancer.handle_caller_packet(START, Bytes::new(), &opening(key, 0));
    let offer = 5;
    balancer.handle_frame(
        START,
        agent_at(1),
        Frame::Offer { key, offer },
        Bytes::new(),
        None,
    );
    balancer.handle_caller_packet(START, Bytes::new(), &data(key, 6));
    let mut without = catalogue(2);
    without.routes.clear();
    balancer.set_catalogue(Arc::new(without));
    let actions = balancer.handle_caller_packet(START, Bytes::new(), &data(key, 6));
    assert!(actions.iter().any(|a| matches!(a, Action::Reset(_))));
    // An older configuration does not bring it back.
    balancer.set_catalogue(Arc::new(catalogue(1)));
    let actions = balancer.handle_caller_packet(START, Bytes::new(), &data(key, 6));
    assert!(actions.iter().any(|a| matches!(a, Action::Reset(_))));
}

/// Guards against a reset although a target takes flows a moment later: a balancer knows the state
/// of agents later than the agents themselves.
#[test]
fn a_refused_flow_waits_for_a_target_that_takes_flows() {
    let mut balancer = ready_balancer(START, 1);
    let now = START + Duration::from_secs(5);
    let mut targets = views([1, 2]);
    targets.get_mut(&agent_at(2)).expect("listed").accepts_flows = false;
    balancer.set_targets(now, targets.clone());
    let info = opening(caller(1), 0);
    balancer.handle_caller_packet(now, Bytes::new(), &info);
    let refused = Frame::Refused {
        reason: Reason::Leaving,
    };
    let actions = balancer.handle_frame(now, agent_at(1), refused, Bytes::new(), Some(info));
    assert!(
        !actions.iter().any(|a| matches!(a, Action::Reset(_))),
        "{actions:?}"
    );
    targets.get_mut(&agent_at(1)).expect("listed").accepts_flows = false;
    targets.get_mut(&agent_at(2)).expect("listed").accepts_flows = true;
    let actions = balancer.set_targets(now + Duration::from_millis(100), targets.clone());
    let placed = |a: &Action| matches!(a, Action::Send { to, .. } if *to == agent_at(2));
    assert!(actions.iter().any(placed), "{actions:?}");
    // If no target takes flows, the flow is reset long before the caller gives up.
    let late = opening(caller(2), 0);
    targets.get_mut(&agent_at(2)).expect("listed").accepts_flows = false;
    balancer.set_targets(now, targets);
    assert_eq!(balancer.handle_caller_packet(now, Bytes::new(), &late), []);
    let actions = balancer.tick(now + Duration::from_millis(400));
    assert!(
        actions.iter().any(|a| matches!(a, Action::Reset(_))),
        "{actions:?}"
    );
}

/// Guards against a first heartbeat after the restart of an agent that ends the flows which the
/// agent has already learned from its running target.
#[test]
fn the_first_heartbeat_after_a_restart_ends_no_flow() {
    let mut agent = Agent::new(START, agent_settings(1, false));
    agent.set_catalogue(Arc::new(catalogue(1)));
    agent.set_config_checked();
    let key = caller(1);
    let request = |agent: &mut Agent| {
        let packet = Bytes::from_static(b"r");
        let info = data(key, 501);
        agent.handle_frame(START, balancer_at(1), Frame::Data, packet, Some(info))
    };
    request(&mut agent);
    let answer = data(key, 111);
    agent.handle_target_packet(START, Bytes::from_static(b"a"), &answer);
    agent.receive_heartbeat(START, heartbeat_of("i", 11));
    let actions = request(&mut agent);
    let is_delivery = |a: &Action| matches!(a, Action::ToTarget(_));
    assert!(actions.iter().any(is_delivery), "{actions:?}");
}

/// Guards against callers that wait on flows of a crashed target, and against a target that stays
/// absent after its next heartbeat.
#[test]
fn flows_of_a_target_whose_port_is_closed_are_reset() {
    let mut agent = ready_agent(START, 1);
    offer_first_flow(&mut agent, START);
    make_offer(&mut agent, START, 1);
    assert!(!agent.should_probe_target(START));
    assert!(agent.should_probe_target(START + HEARTBEAT_LEASE));
    agent.set_target_absent();
    let packet = Bytes::from_static(b"r");
    let request = data(caller(1), 7_001);
    let actions = agent.handle_frame(START, balancer_at(1), Frame::Data, packet, Some(request));
    assert!(
        actions.iter().any(|a| matches!(a, Action::Reset(_))),
        "{actions:?}"
    );
    assert_eq!(agent.presence(), Presence::Ended);
    let mut again = heartbeat_of("j", 1);
    again.started_ms = 2;
    agent.receive_heartbeat(START, again);
    assert_eq!(agent.presence(), Presence::Present);
    assert_eq!(offer_flow(&mut agent, START, 2, open_frame(1, tag())), None);
}

/// Guards against a lookup that never asks again the agents that could not tell, although they know
/// by then.
#[test]
fn agents_that_could_not_tell_are_asked_again() {
    let mut balancer = ready_balancer(START, 1);
    balancer.set_targets(START, views([1]));
    let now = START + Duration::from_secs(5);
    let key = caller(1);
    let request = data(key, 6);
    balancer.handle_caller_packet(now, Bytes::new(), &request);
    let reply = |ownership| Frame::OwnerReplies(vec![OwnerReply { key, ownership }]);
    balancer.handle_frame(
        now,
        agent_at(1),
        reply(Ownership::Unknown),
        Bytes::new(),
        None,
    );
    let later = now + Duration::from_millis(400);
    let actions = balancer.handle_caller_packet(later, Bytes::new(), &request);
    let is_query = |a: &Action| {
        matches!(
            a,
            Action::Send {
                frame: Frame::OwnerQueries(_),
                ..
            }
        )
    };
    assert!(actions.iter().any(is_query), "{actions:?}");
    let actions = balancer.handle_frame(
        later,
        agent_at(1),
        reply(Ownership::NotOwned),
        Bytes::new(),
        None,
    );
    assert!(
        actions.iter().any(|a| matches!(a, Action::Reset(_))),
        "{actions:?}"
    );
}

/// Guards against an instance that starts and is removed at once: while it did not reply, no flow
/// of any ended target was reset until its agent was declared dead. The closed port of its target,
/// which an agent probes as soon as it starts, proves that it owns no flow.
#[test]
fn an_unresponsive_agent_without_target_does_not_delay_a_reset() {
    let mut agent = Agent::new(START, agent_settings(2, false));
    assert!(agent.should_probe_target(START));
    agent.set_target_absent();
    let mut balancer = ready_balancer(START, 1);
    let mut targets = views([1, 2]);
    targets.get_mut(&agent_at(2)).expect("listed").presence = agent.presence();
    balancer.set_targets(START, targets);
    let now = START + Duration::from_secs(5);
    let actions = deny(&mut balancer, now, caller(1), &[1]);
    assert!(actions.iter().any(is_reset), "{actions:?}");
    // A target that starts later has no flow from before the start of the agent.
    agent.receive_heartbeat(now, heartbeat_of("i", 40));
    let info = Some(data(caller(1), 6));
    let actions = agent.handle_frame(now, balancer_at(1), Frame::Data, Bytes::new(), info);
    assert!(
        matches!(
            actions[..],
            [Action::Send {
                frame: Frame::NotOwned,
                ..
            }]
        ),
        "{actions:?}"
    );
}

/// Guards against a reset while an agent that has just started is suspended: it may own the flow
/// until it says that it does not, or has been gone for long.
#[test]
fn an_unresponsive_agent_without_heartbeat_prevents_a_reset() {
    let mut balancer = ready_balancer(START, 1);
    let mut targets = views([1, 2]);
    targets.get_mut(&agent_at(2)).expect("listed").presence = Presence::Unknown;
    balancer.set_targets(START, targets);
    let start = START + Duration::from_secs(5);
    for (after, is_listed, expected) in [(0, true, false), (3, false, false), (14, false, true)] {
        let now = start + Duration::from_secs(after);
        if !is_listed {
            balancer.set_targets(now, views([1]));
        }
        let mut actions = deny(&mut balancer, now, caller(1), &[1]);
        for step in 1..=9 {
            actions.extend(balancer.tick(now + Duration::from_millis(100 * step)));
        }
        assert_eq!(
            actions.iter().any(is_reset),
            expected,
            "{after} {actions:?}"
        );
    }
}

/// Guards against resets by a balancer that replaced all others: agents that announce themselves to
/// the former ones are not in its list yet.
#[test]
fn a_balancer_without_an_older_one_waits_for_agents_of_former_balancers() {
    for (millis, expected) in [(1_300, false), (4_900, false), (5_100, true)] {
        let mut balancer = ready_balancer(START, 1);
        balancer.set_joined(false);
        balancer.set_targets(START, views([1]));
        let now = START + Duration::from_millis(millis);
        let actions = deny(&mut balancer, now, caller(1), &[1]);
        assert_eq!(
            actions.iter().any(is_reset),
            expected,
            "{millis} {actions:?}"
        );
    }
}

/// Load pattern: all processes start at once, and callers repeat packets of flows whose targets
/// ended. Guards against waiting for further agents when all registered ones are known.
#[test]
fn a_list_with_all_registered_agents_is_complete_at_once() {
    let now = START + Duration::from_millis(100);
    let registered = |agents: &[u8]| agents.iter().copied().map(agent_at).collect();
    for (agents, expected) in [(&[1, 2][..], true), (&[1, 2, 3][..], false)] {
        let mut balancer = ready_balancer(START, 1);
        balancer.set_joined(false);
        balancer.set_targets(START, views([1, 2]));
        balancer.set_registered(START, registered(agents));
        let actions = deny(&mut balancer, now, caller(1), &[1, 2]);
        assert_eq!(
            actions.iter().any(is_reset),
            expected,
            "{agents:?} {actions:?}"
        );
        // The registry is outdated once other processes could not be reached.
        balancer.set_list_incomplete(now);
        let actions = deny(&mut balancer, now, caller(2), &[1, 2]);
        assert!(!actions.iter().any(is_reset), "{actions:?}");
    }
}

/// Load pattern: as above. Guards against flows that are given up without a reset because the list
/// became complete between their queries and the replies.
#[test]
fn a_list_that_becomes_complete_during_a_lookup_ends_it() {
    let mut balancer = ready_balancer(START, 1);
    balancer.set_joined(false);
    balancer.set_targets(START, views([1, 2]));
    balancer.set_registered(START, [1, 2, 3].into_iter().map(agent_at).collect());
    let key = caller(1);
    let now = START + Duration::from_millis(100);
    balancer.handle_caller_packet(now, Bytes::new(), &data(key, 6));
    balancer.set_targets(now, views([1, 2, 3]));
    let not_owned = |balancer: &mut Balancer, agent| {
        let ownership = Ownership::NotOwned;
        let reply = Frame::OwnerReplies(vec![OwnerReply { key, ownership }]);
        balancer.handle_frame(now, agent_at(agent), reply, Bytes::new(), None)
    };
    let mut actions = not_owned(&mut balancer, 1);
    actions.extend(not_owned(&mut balancer, 2));
    assert!(!actions.iter().any(is_reset), "{actions:?}");
    let actions = not_owned(&mut balancer, 3);
    assert!(actions.iter().any(is_reset), "{actions:?}");
}

/// Guards against entries of agents that are gone for good, which delay each recovery, and against
/// a registry that lacks agents which have started since it was read.
#[test]
fn the_registry_follows_the_list_of_agents() {
    let mut balancer = ready_balancer(START, 1);
    let agents = |numbers: &[u8]| {
        numbers
            .iter()
            .copied()
            .map(agent_at)
            .collect::<BTreeSet<_>>()
    };
    balancer.set_registered(START, agents(&[1, 2]));
    balancer.set_targets(START, views([1, 3]));
    let later = START + Duration::from_secs(5);
    balancer.set_targets(later, views([1, 3]));
    assert_eq!(*balancer.registered(later), agents(&[1, 2, 3]));
    let later = START + Duration::from_secs(11);
    balancer.set_targets(later, views([1]));
    assert_eq!(*balancer.registered(later), agents(&[1, 3]));
    let later = START + Duration::from_secs(22);
    balancer.set_targets(later, views([1]));
    assert_eq!(*balancer.registered(later), agents(&[1]));
    // An agent whose target has ended owns no flow.
    let mut targets = views([1, 2]);
    targets.get_mut(&agent_at(1)).expect("listed").presence = Presence::Ended;
    balancer.set_targets(later, targets);
    assert_eq!(*balancer.registered(later), agents(&[2]));
    // An empty registry tells nothing about the agents that run.
    let mut balancer = ready_balancer(START, 1);
    balancer.set_joined(false);
    balancer.set_registered(START, BTreeSet::new());
    balancer.set_targets(START, views([1]));
    let now = START + Duration::from_secs(2);
    let actions = deny(&mut balancer, now, caller(1), &[1]);
    assert!(!actions.iter().any(is_reset), "{actions:?}");
}

/// Guards against a reset by an agent that handed a packet of another target's flow to its own
/// target, which then ended without an answer.
#[test]
fn a_flow_that_was_only_probed_does_not_end_with_the_target() {
    let mut agent = Agent::new(START, agent_settings(1, false));
    agent.set_catalogue(Arc::new(catalogue(1)));
    agent.receive_heartbeat(START, heartbeat_of("i", 40));
    let key = caller(1);
    let info = Some(data(key, 6));
    let actions = agent.handle_frame(START, balancer_at(1), Frame::Data, Bytes::new(), info);
    assert!(
        actions.iter().any(|a| matches!(a, Action::ToTarget(_))),
        "{actions:?}"
    );
    agent.set_target_ended("i");
    let actions = agent.handle_frame(START, balancer_at(1), Frame::Data, Bytes::new(), info);
    assert!(!actions.iter().any(is_reset), "{actions:?}");
}

/// Guards against a reset by an agent whose target offered to take a flow and ended, while the
/// caller accepted the offer of another target.
#[test]
fn an_offer_that_was_not_accepted_resets_nothing() {
    let key = caller(1);
    for (ack, expected) in [(1_001, true), (900_001, false)] {
        let mut agent = ready_agent(START, 1);
        let frame = open_frame(1, tag());
        let info = Some(opening(key, 0));
        agent.handle_frame(START, balancer_at(1), frame, Bytes::new(), info);
        agent.handle_target_packet(START, Bytes::new(), &offer(key, 1_000));
        agent.set_target_ended("i");
        let queries = Frame::OwnerQueries(vec![OwnerQuery { key, ack }]);
        let actions = agent.handle_frame(START, balancer_at(1), queries, Bytes::new(), None);
        assert_eq!(actions.iter().any(is_reset), expected, "{ack} {actions:?}");
    }
}

fn is_reset(action: &Action) -> bool {
    matches!(action, Action::Reset(_))
}

/// Sends a packet of an unknown flow, and the replies of these agents that they do not own it.
fn deny(balancer: &mut Balancer, now: Instant, key: FlowKey, agents: &[u8]) -> Vec<Action> {
    let mut actions = balancer.handle_caller_packet(now, Bytes::new(), &data(key, 6));
    for &agent in agents {
        let ownership = Ownership::NotOwned;
        let reply = Frame::OwnerReplies(vec![OwnerReply { key, ownership }]);
        actions.extend(balancer.handle_frame(now, agent_at(agent), reply, Bytes::new(), None));
    }
    actions
}

/// Guards against a reset of flows whose target runs while its agent restarts: the new agent
/// process is listed before it receives a heartbeat, and the query was sent before it ran.
#[test]
fn flows_of_a_restarting_agent_are_not_reset() {
    let mut balancer = ready_balancer(START, 1);
    balancer.set_targets(START, views([1, 2]));
    let now = START + Duration::from_secs(5);
    balancer.set_targets(now, views([1, 2]));
    let key = caller(1);
    balancer.handle_caller_packet(now, Bytes::new(), &data(key, 6));
    let reply = Frame::OwnerReplies(vec![OwnerReply {
        key,
        ownership: Ownership::NotOwned,
    }]);
    balancer.handle_frame(now, agent_at(1), reply, Bytes::new(), None);
    let mut targets = views([1, 2]);
    targets.get_mut(&agent_at(2)).expect("listed").presence = Presence::Unknown;
    let mut actions = Vec::new();
    for step in 1..=8 {
        let later = now + Duration::from_millis(100 * step);
        actions.extend(balancer.set_targets(later, targets.clone()));
        actions.extend(balancer.tick(later));
    }
    let is_reset = |a: &Action| matches!(a, Action::Reset(_));
    assert!(!actions.iter().any(is_reset), "{actions:?}");
}

/// Guards against resets by a balancer that joins running ones and knows only some agents, because
/// the others announce themselves to other balancers.
#[test]
fn a_balancer_that_joins_others_waits_for_the_complete_list() {
    let mut balancer = ready_balancer(START, 1);
    balancer.set_joined(true);
    balancer.set_targets(START, views([1]));
    let now = START + Duration::from_millis(400);
    let key = caller(1);
    balancer.handle_caller_packet(now, Bytes::new(), &data(key, 6));
    let ownership = Ownership::NotOwned;
    let reply = Frame::OwnerReplies(vec![OwnerReply { key, ownership }]);
    let is_reset = |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::Reset(_)));
    let actions = balancer.handle_frame(now, agent_at(1), reply, Bytes::new(), None);
    assert!(!is_reset(&actions), "{actions:?}");
    // The owner is listed a moment later, and the packet reaches it.
    let now = START + Duration::from_millis(800);
    let actions = balancer.set_targets(now, views([1, 2]));
    let is_query = |a: &Action| matches!(a, Action::Send { to, frame: Frame::OwnerQueries(_), .. } if *to == agent_at(2));
    assert!(actions.iter().any(is_query), "{actions:?}");
    let ownership = Ownership::Owned;
    let found = Frame::OwnerReplies(vec![OwnerReply { key, ownership }]);
    let actions = balancer.handle_frame(now, agent_at(2), found, Bytes::new(), None);
    let forwarded =
        |a: &Action| matches!(a, Action::Send { to, frame: Frame::Data, .. } if *to == agent_at(2));
    assert!(actions.iter().any(forwarded), "{actions:?}");
}

/// Guards against packets of a former lifetime's flows at the target that replaced it.
#[test]
fn flows_of_a_former_lifetime_are_reset_and_not_delivered() {
    let mut agent = ready_agent(START, 1);
    offer_first_flow(&mut agent, START);
    make_offer(&mut agent, START, 1);
    let mut next = heartbeat_of("j", 1);
    next.started_ms = 2;
    agent.receive_heartbeat(START, next);
    let packet = Bytes::from_static(b"r");
    let request = data(caller(1), 7_001);
    let actions = agent.handle_frame(START, balancer_at(1), Frame::Data, packet, Some(request));
    let is_reset = |a: &Action| matches!(a, Action::Reset(_));
    assert!(actions.iter().any(is_reset), "{actions:?}");
    let is_delivery = |a: &Action| matches!(a, Action::ToTarget(_));
    assert!(!actions.iter().any(is_delivery), "{actions:?}");
}

/// Guards against a new flow that waits for the caller's retransmission while its first candidate
/// is unreachable.
#[test]
fn an_unanswered_opening_goes_to_the_next_agent_without_a_retransmission() {
    let mut balancer = ready_balancer(START, 1);
    balancer.set_targets(START, views([1, 2]));
    let first = balancer.handle_caller_packet(START, Bytes::new(), &opening(caller(1), 0));
    let to = |actions: &[Action]| {
        let mut sent = actions.iter().filter_map(|action| match action {
            Action::Send {
                to,
                frame: Frame::Open(_),
                ..
            } => Some(*to),
            _ => None,
        });
        sent.next()
    };
    let next = balancer.tick(START + Duration::from_millis(100));
    assert!(to(&first).is_some() && to(&next).is_some());
    assert_ne!(to(&first), to(&next));
    // The agent that did not answer is the last candidate for other flows.
    for number in 2..12 {
        let info = opening(caller(number), 0);
        let actions =
            balancer.handle_caller_packet(START + Duration::from_millis(101), Bytes::new(), &info);
        assert_eq!(to(&actions), to(&next));
    }
}

/// Guards against a new flow that waits at a target which receives packets and never answers.
#[test]
fn an_opening_that_the_target_does_not_answer_goes_to_the_next_agent() {
    let mut agent = ready_agent(START, 1);
    let Frame::Open(mut open) = open_frame(1, tag()) else {
        unreachable!("open_frame makes an opening frame")
    };
    open.hops = vec![agent_at(2)];
    let info = opening(caller(1), 0);
    let packet = Bytes::from_static(b"p");
    agent.handle_frame(START, balancer_at(1), Frame::Open(open), packet, Some(info));
    let now = START + Duration::from_millis(60);
    let actions = agent.tick(now);
    let passed = |a: &Action| matches!(a, Action::Send { to, .. } if *to == agent_at(2));
    assert!(actions.iter().any(passed), "{actions:?}");
    assert_eq!(
        offer_flow(&mut agent, now, 2, open_frame(1, tag())),
        Some(Reason::Unresponsive)
    );
}

/// Guards against packets of a request that are retransmitted after its answer and count as another
/// request: upload targets seemed to be three times as busy as possible.
#[test]
fn a_retransmission_is_not_another_request() {
    let mut agent = ready_agent(START, 1);
    let key = caller(1);
    let packet = Bytes::from_static(b"p");
    offer_first_flow(&mut agent, START);
    make_offer(&mut agent, START, 1);
    let request = data(key, 7_001);
    let from = balancer_at(1);
    let send = |agent: &mut Agent, info| {
        agent.handle_frame(START, from, Frame::Data, packet.clone(), Some(info));
        agent.stats(START).in_flight
    };
    assert_eq!(send(&mut agent, request), 1);
    let response = PacketInfo {
        kind: PacketKind::Data,
        sequence: 7_001,
        bytes: 20,
        ..opening(key, 0)
    };
    agent.handle_target_packet(START, packet.clone(), &response);
    assert_eq!(agent.stats(START).in_flight, 0);
    assert_eq!(send(&mut agent, request), 0);
    let next = PacketInfo {
        sequence: request.sequence + u32::from(request.bytes),
        ..request
    };
    assert_eq!(send(&mut agent, next), 1);
}

/// Guards against a reset of flows that a target took between its start and its first heartbeat,
/// while the agent still knew the former lifetime.
#[test]
fn flows_of_a_new_lifetime_outlive_its_first_heartbeat() {
    let mut agent = ready_agent(START, 1);
    offer_flow(&mut agent, START, 1, open_frame(1, tag()));
    make_offer(&mut agent, START, 1);
    agent.receive_heartbeat(START + Duration::from_millis(500), heartbeat_of("i", 2));
    let taken = START + Duration::from_millis(900);
    offer_flow(&mut agent, taken, 2, open_frame(1, tag()));
    make_offer(&mut agent, taken, 2);
    let now = START + Duration::from_millis(1_000);
    let mut next = heartbeat_of("j", 1);
    next.started_ms = 2;
    agent.receive_heartbeat(now, next);
    let mut send = |number| {
        let (from, packet) = (balancer_at(1), Bytes::from_static(b"p"));
        let info = data(caller(number), 7_001);
        agent.handle_frame(now, from, Frame::Data, packet, Some(info))
    };
    let is_reset = |a: &Action| matches!(a, Action::Reset(_));
    assert!(send(1).iter().any(is_reset));
    let actions = send(2);
    assert!(
        matches!(actions.as_slice(), [Action::ToTarget(_)]),
        "{actions:?}"
    );
}

/// Request on the flow that [`agent_with_found_flow`] found.
fn request_of_found_flow() -> PacketInfo {
    data(caller(1), 7_001)
}

/// Agent that started beside a running target, received the heartbeat of this identity, and found a
/// flow at the target.
fn agent_with_found_flow(id: &str) -> Agent {
    let mut agent = Agent::new(START, agent_settings(1, false));
    agent.set_catalogue(Arc::new(catalogue(1)));
    agent.set_evacuations(START, &Evacuations::default());
    agent.set_config_checked();
    agent.receive_heartbeat(START, heartbeat_of(id, 9));
    forward(&mut agent, START, request_of_found_flow());
    let response = PacketInfo {
        kind: PacketKind::Data,
        sequence: 7_001,
        bytes: 20,
        ..opening(caller(1), 0)
    };
    agent.handle_target_packet(START, Bytes::from_static(b"p"), &response);
    agent
}

/// Hands a packet of a balancer to an agent.
fn forward(agent: &mut Agent, now: Instant, info: PacketInfo) -> Vec<Action> {
    let packet = Bytes::from_static(b"p");
    agent.handle_frame(now, balancer_at(1), Frame::Data, packet, Some(info))
}

/// Guards against resets of open flows after a restart of their agent, when the first heartbeat that
/// it receives is a late one of a former lifetime of its target.
#[test]
fn a_late_heartbeat_after_a_restart_ends_no_flow_of_the_present_lifetime() {
    let mut agent = agent_with_found_flow("former");
    let mut present = heartbeat_of("present", 12);
    present.started_ms = 2;
    let now = START + Duration::from_millis(800);
    agent.receive_heartbeat(now, present);
    // One flow was found before this heartbeat, the other one is unknown yet.
    for info in [request_of_found_flow(), data(caller(2), 7_001)] {
        let actions = forward(&mut agent, now, info);
        let is_delivery = |a: &Action| matches!(a, Action::ToTarget(_));
        assert!(actions.iter().any(is_delivery), "{info:?}: {actions:?}");
    }
}

/// Guards against callers that wait forever on a flow that an agent found at its target, when the
/// target returns its packets.
#[test]
fn a_flow_found_after_a_restart_is_looked_up_when_the_target_returns_it() {
    let mut agent = agent_with_found_flow("i");
    let returned = PacketInfo {
        is_returned: true,
        ..request_of_found_flow()
    };
    agent.handle_target_packet(START, Bytes::from_static(b"p"), &returned);
    let actions = forward(&mut agent, START, request_of_found_flow());
    let is_denial = |a: &Action| {
        matches!(
            a,
            Action::Send {
                frame: Frame::NotOwned,
                ..
            }
        )
    };
    assert!(actions.iter().any(is_denial), "{actions:?}");
}

/// Guards against callers that wait forever on a flow that an agent found at its target after a
/// restart, when that target then ends.
#[test]
fn a_flow_found_after_a_restart_ends_with_its_lifetime() {
    let mut agent = agent_with_found_flow("i");
    let now = START + Duration::from_millis(100);
    let mut next = heartbeat_of("j", 1);
    next.started_ms = 2;
    agent.receive_heartbeat(now, next);
    let actions = forward(&mut agent, now, request_of_found_flow());
    let is_reset = |a: &Action| matches!(a, Action::Reset(_));
    assert!(actions.iter().any(is_reset), "{actions:?}");
}

/// Guards against callers that wait forever on a flow whose target was replaced while its agent was
/// down: the agent delivers each packet to the new target, which returns it.
#[test]
fn a_flow_that_its_owner_denies_is_looked_up_again() {
    let mut balancer = ready_balancer(START, 1);
    balancer.set_targets(START, views([1, 2]));
    let now = START + Duration::from_secs(5);
    let key = caller(1);
    let request = data(key, 6);
    balancer.handle_caller_packet(now, Bytes::new(), &request);
    let reply = |ownership| Frame::OwnerReplies(vec![OwnerReply { key, ownership }]);
    balancer.handle_frame(
        now,
        agent_at(1),
        reply(Ownership::Owned),
        Bytes::new(),
        None,
    );
    balancer.handle_frame(
        now,
        agent_at(1),
        reply(Ownership::NotOwned),
        Bytes::new(),
        None,
    );
    let later = now + Duration::from_millis(200);
    let actions = balancer.handle_caller_packet(later, Bytes::new(), &request);
    let is_query = |a: &Action| {
        matches!(
            a,
            Action::Send {
                frame: Frame::OwnerQueries(_),
                ..
            }
        )
    };
    assert!(actions.iter().any(is_query), "{actions:?}");
}
