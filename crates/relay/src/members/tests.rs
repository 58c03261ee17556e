//! What a process says of itself before its first tick.

use std::net::{Ipv4Addr, SocketAddrV4};

use monsoon_flow::{Presence, ServiceTag};
use monsoon_membership::{Action, Body, Event, Header, Message};
use monsoon_model::{AgentId, DataCentreId, Duration, Instant, Versions};

use super::target_view;
use crate::agent::AgentState;
use crate::{AgentSettings, DataCentre, Limits, Role, Settings};

const START: Instant = Instant::from_secs(100);

const fn address(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, port)
}

fn settings(agent: &AgentSettings) -> Settings {
    let data_centre = DataCentre {
        name: "brno".to_owned(),
        id: DataCentreId(1),
        group: DataCentreId(1),
    };
    Settings {
        instance: "side-1".to_owned(),
        role: Role::Agent(agent.clone()),
        data_centre: data_centre.clone(),
        data_centres: vec![data_centre],
        frames: address(7_001),
        control: address(7_002),
        peer: address(7_001),
        readiness: address(7_003),
        metrics: None,
        caller_port: 7_004,
        seeds: vec![address(8_002).into()],
        store: address(9_000).into(),
        limits: Limits {
            heartbeat_lease: Duration::from_secs(2),
            cold_factor: 1.5,
            cold_burst: 5.0,
            flow_ttl: Duration::from_secs(60),
            grace: Duration::from_secs(6),
        },
        first_start: false,
    }
}

/// Message to the former process at the address of a starting agent.
fn late_reply() -> Event {
    Event::Message {
        from: address(8_002).into(),
        message: Message {
            header: Header {
                id: AgentId(7),
                peer: address(8_001).into(),
                versions: Versions::default(),
            },
            body: Body::Reply {
                dead_incarnation: None,
                balancers_hash: 1,
                service_hash: 1,
                samples: Vec::new(),
            },
        },
    }
}

/// Guards against the flows of a running target that are reset because its agent, at its start, says
/// that the target has ended: an event that comes before the first tick announces the member as it
/// is (review/7).
#[test]
fn a_starting_agent_does_not_say_that_its_target_has_ended() {
    let agent = AgentSettings {
        target: address(7_005),
        outbound: address(7_006),
        heartbeats: address(7_007),
        service: ServiceTag::of("sales"),
    };
    for event in [late_reply(), Event::Tick, Event::Leave] {
        let mut state = AgentState::new(START, &settings(&agent), &agent);
        let actions = state.node.handle(START, event.clone());
        let announced = actions.iter().find_map(|action| match action {
            Action::Send {
                message:
                    Message {
                        body: Body::Announce { member, .. },
                        ..
                    },
                ..
            } => Some(target_view(member)),
            _ => None,
        });
        let view = announced.unwrap_or_else(|| panic!("{event:?} announces the agent"));
        assert_eq!(view.presence, Presence::Unknown, "{event:?}");
        assert!(!view.accepts_flows, "{event:?}");
    }
}
