//! Places at a target and its wait queue in unusual sequences of frames, packets and timeouts.

#[path = "places/attempts.rs"]
mod attempts;
#[path = "places/sequence.rs"]
mod sequence;
mod world;

use std::sync::Arc;

use bytes::Bytes;
use monsoon_flow::{
    Action, Agent, Catalogue, Demand, Evacuations, Fallback, Frame, Open, PacketInfo, PacketKind,
    Readiness, Reason,
};
use monsoon_model::{Duration, Instant, Version, Versions};
use world::{
    agent_at, agent_settings, balancer_at, caller, catalogue, catalogue_to, data, heartbeat_of,
    offer, opening, other_tag, tag,
};

const START: Instant = Instant::from_secs(100);

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
            document: Version::of(1),
            evacuations: Version::of(0),
        },
        hops: hops.into_iter().map(agent_at).collect(),
        fallback,
        reads_exact: true,
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

/// Guards against the start of a waiting flow that the target may not get any more: the state is
/// checked when the packet arrives and again when it starts.
#[test]
fn a_waiting_flow_is_checked_again_when_it_starts() {
    let changes: [fn(&mut Agent); 6] = [
        |agent| {
            let mut evacuations = Evacuations {
                version: Version::of(2),
                ..Evacuations::default()
            };
            evacuations.data_centres.insert("a".to_owned());
            agent.set_evacuations(START, &evacuations);
        },
        |agent| agent.set_catalogue(with_demand(catalogue_to(2, other_tag()))),
        |agent| {
            let mut heartbeat = heartbeat_of("i", 2);
            heartbeat.readiness = Readiness::Draining;
            agent.receive_heartbeat(START, heartbeat);
        },
        |agent| {
            let mut heartbeat = heartbeat_of("j", 1);
            (heartbeat.started_ms, heartbeat.service) = (2, other_tag());
            agent.set_catalogue(with_demand(Catalogue {
                services: catalogue(1)
                    .services
                    .into_values()
                    .flat_map(|service| [(tag(), service.clone()), (other_tag(), service)])
                    .collect(),
                ..catalogue(1)
            }));
            agent.receive_heartbeat(START, heartbeat);
        },
        |agent| {
            agent.resume();
            agent.set_config_checked();
        },
        |agent| agent.resume(),
    ];
    for (number, change) in changes.into_iter().enumerate() {
        let mut agent = agent();
        let started = fill(&mut agent, START);
        change(&mut agent);
        let mut delivered = deliveries(&agent.tick(START));
        for flow in 0..started {
            let reset = PacketInfo {
                kind: PacketKind::Reset,
                ..offer(caller(flow), 1_000)
            };
            let actions = agent.handle_target_packet(START, Bytes::new(), &reset);
            delivered += deliveries(&actions);
        }
        assert_eq!(delivered, 0, "change {number}");
        assert_eq!(agent.place_counts().waiting, 0, "change {number}");
    }
}

/// Guards against the start of packets whose time has passed while the agent was suspended too
/// briefly to notice.
#[test]
fn a_waiting_flow_does_not_start_after_its_limit() {
    let mut agent = agent();
    fill(&mut agent, START);
    let late = START + Duration::from_millis(950);
    assert_eq!(deliveries(&agent.tick(late)), 0);
    assert_eq!(agent.place_counts().waiting, 0);
}

/// Guards against a cold rate that flows of the queue exceed.
#[test]
fn flows_of_the_queue_count_towards_the_cold_rate() {
    let mut agent = agent();
    let mut heartbeat = heartbeat_of("i", 2);
    heartbeat.cold_left = Duration::from_secs(2);
    agent.receive_heartbeat(START, heartbeat);
    let (mut direct, mut queued) = (0, 0);
    for number in 0..400 {
        let now = START + Duration::from_millis(u64::from(number) * 2);
        let actions = send_open(&mut agent, now, opening(caller(number), 0));
        direct += deliveries(&actions);
        let reset = PacketInfo {
            kind: PacketKind::Reset,
            ..offer(caller(number / 2), 1_000)
        };
        let actions = agent.handle_target_packet(now, Bytes::new(), &reset);
        queued += deliveries(&actions);
    }
    assert!(queued > 0, "no flow came from the queue");
    // 20 a second by a factor of 1.5, a burst of 5, less one.
    assert_eq!(direct + queued, 34);
}
