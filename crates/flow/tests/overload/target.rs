//! Wait queue of an agent whose target leaves, falls silent, starts or returns packets, and flows
//! without a demand.

use std::collections::BTreeSet;
use std::sync::Arc;

use monsoon_flow::{Evacuations, Frame, PacketInfo, Readiness, Reason};
use monsoon_model::{Duration, Version};

use super::{
    OFFER, PLACES, Rig, START, delivered, demanding, flow, flow_to, heartbeat, is_queued,
    plain_route, refused, sent,
};
use crate::world::{HEARTBEAT_LEASE, data, offer, opening, route};

/// Change of an agent or its target.
type Change = fn(&mut Rig);

/// Load pattern: two flows wait at a full target that then leaves, loses its data centre, does not
/// answer opening packets, or falls silent. Guards against requests that wait where they cannot run.
#[test]
fn a_target_that_takes_no_flows_passes_its_queue_on() {
    let draining = |rig: &mut Rig| {
        let mut heartbeat = heartbeat(101);
        heartbeat.readiness = Readiness::Draining;
        rig.agent.receive_heartbeat(rig.now, heartbeat);
    };
    let evacuated = |rig: &mut Rig| {
        let evacuations = Evacuations {
            version: Version::of(5),
            data_centres: BTreeSet::from(["a".to_owned()]),
        };
        rig.agent.set_evacuations(rig.now, &evacuations);
    };
    let silent = |rig: &mut Rig| {
        rig.answer(flow(1));
        rig.now += Duration::from_millis(50);
    };
    let suspended = |rig: &mut Rig| rig.now = START + HEARTBEAT_LEASE;
    let cases: [(Change, Reason); 4] = [
        (draining, Reason::Leaving),
        (evacuated, Reason::Evacuated),
        (silent, Reason::Unresponsive),
        (suspended, Reason::NoHeartbeat),
    ];
    for (change, reason) in cases {
        let mut rig = Rig::warm();
        rig.run_flows(PLACES);
        for number in [7, 8] {
            assert!(is_queued(&rig.open_last(flow(number)), flow(number)));
        }
        change(&mut rig);
        let actions = rig.tick_after(Duration::ZERO);
        let refusals = refused(&actions);
        assert_eq!(refusals.len(), 2, "{reason}: {actions:?}");
        assert!(refusals.iter().all(|(_, r)| *r == reason), "{refusals:?}");
        assert!(delivered(&actions).is_empty());
    }
}

/// Load pattern: a flow waits while the operators remove its route. Guards against requests that
/// run under a configuration that is no longer in force.
#[test]
fn the_configuration_is_checked_again_at_the_start() {
    let mut rig = Rig::warm();
    rig.run_flows(PLACES);
    assert!(is_queued(&rig.open_last(flow(7)), flow(7)));
    let mut without = demanding(2);
    without.routes.remove(&route());
    rig.agent.set_catalogue(Arc::new(without));
    let actions = rig.answer(flow(1));
    assert!(delivered(&actions).is_empty());
    assert_eq!(
        refused(&actions),
        [(flow(7).caller.port(), Reason::NoRoute)]
    );
}

/// Load pattern: callers that take all places and do not send their requests, and one that waits.
/// Guards against places that stay idle for callers that have gone.
#[test]
fn a_caller_that_does_not_answer_the_offer_loses_its_place() {
    let mut rig = Rig::warm();
    for number in 1..=PLACES {
        rig.open_last(flow(number));
        rig.target(offer(flow(number), OFFER));
    }
    assert!(is_queued(&rig.open_last(flow(7)), flow(7)));
    assert!(delivered(&rig.tick_after(Duration::from_millis(99))).is_empty());
    assert!(rig.agent.next_tick() <= START + Duration::from_millis(100));
    let actions = rig.tick_after(Duration::from_millis(1));
    assert_eq!(delivered(&actions), [flow(7).caller.port()]);
    // Its flow is still open.
    let late = rig.frame(Frame::Data, data(flow(1), OFFER + 1));
    assert_eq!(delivered(&late), [flow(1).caller.port()]);
}

/// Load pattern: a waiting flow while the target returns all opening packets, and no further event.
/// Guards against a queue that is not looked at again when the target takes flows.
#[test]
fn a_queue_goes_on_after_the_target_returned_packets() {
    let mut rig = Rig::warm();
    for number in 1..=PLACES {
        rig.open_last(flow(number));
    }
    assert!(is_queued(&rig.open_last(flow(7)), flow(7)));
    rig.now = START + Duration::from_millis(5);
    for number in 1..=PLACES {
        let returned = PacketInfo {
            is_returned: true,
            ..opening(flow(number), 0)
        };
        let actions = rig.target(returned);
        assert_eq!(refused(&actions).len(), 1, "{actions:?}");
    }
    let mut starts = Vec::new();
    while rig.agent.next_tick() <= START + Duration::from_millis(70) {
        rig.now = rig.agent.next_tick();
        starts.extend(delivered(&rig.agent.tick(rig.now)));
        if !starts.is_empty() {
            break;
        }
    }
    assert_eq!(starts, [flow(7).caller.port()], "at {:?}", rig.now);
}

/// Load pattern: three flows at a target that has just started. Guards against flooding it while
/// others have room, and against leaving it idle when nobody else takes the flow.
#[test]
fn a_started_target_is_paced_while_others_have_room() {
    let mut rig = Rig::new(true, 1);
    let taken = rig.open(flow(1), &[2], None);
    assert_eq!(delivered(&taken), [flow(1).caller.port()]);
    let passed = rig.open(flow(2), &[2], None);
    assert!(delivered(&passed).is_empty() && sent(&passed).len() == 1);
    for number in 2..=3 {
        let taken = rig.open_last(flow(number));
        assert_eq!(delivered(&taken), [flow(number).caller.port()]);
    }
    // One more than its slots is all that a target without proof gets.
    assert!(is_queued(&rig.open_last(flow(4)), flow(4)));
}

/// Load pattern: flows of a route without a demand at a target with 2 slots. Guards against changes
/// for services whose operators state no goals: the offer is a percentage, nothing waits, and an
/// opening flow counts as load for at least 500 ms.
#[test]
fn a_route_without_a_demand_is_handled_as_before() {
    let mut rig = Rig::new(true, 1);
    let plain = |number| flow_to(plain_route(), number);
    for number in 1..=8 {
        let taken = rig.open_last(plain(number));
        assert_eq!(delivered(&taken), [plain(number).caller.port()]);
        rig.target(offer(plain(number), OFFER));
    }
    rig.tick_after(Duration::from_millis(150));
    let actions = rig.open(plain(9), &[2], None);
    let [(_, Frame::Open(open))] = sent(&actions)[..] else {
        panic!("not passed on: {actions:?}");
    };
    assert_eq!(open.fallback.map(|offer| offer.load), Some(400));
}
