//! What membership tells about agents, in the form in which flows are placed.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use monsoon_flow::{Agent, Presence, Reason, TargetView};
use monsoon_membership::{BalancerNode, LocalState, Member, Role, State};
use monsoon_model::{AgentId, Duration, Instant, ServiceId, Versions};

use crate::Settings;

/// Entry of this process.
pub(crate) fn own_member(settings: &Settings, role: Role, service: ServiceId) -> Member {
    Member {
        id: AgentId(rand::random()),
        incarnation: 1,
        sequence: 0,
        role,
        group: settings.data_centre.group,
        data_centre: settings.data_centre.id,
        service,
        control: settings.control.into(),
        data: settings.frames,
        peer: settings.peer.into(),
        state: State::Leaving,
        slots: 0,
        load: 0,
        versions: Versions::default(),
    }
}

/// State that an agent announces.
pub(crate) fn local_state(now: Instant, agent: &Agent) -> LocalState {
    let metrics = agent.stats(now);
    let slots = metrics.slots.max(1);
    let state = match agent.refusal_reason(now) {
        // A pause of a moment is not worth an announcement.
        None | Some(Reason::Returned | Reason::Unresponsive)
            if agent.target_state().is_cold(now) =>
        {
            State::Cold
        }
        None | Some(Reason::Returned | Reason::Unresponsive) => State::Ready,
        Some(_) => State::Leaving,
    };
    // Without slots, the state tells whether a target may still be heard or has ended.
    let (state, announced_slots) = match agent.presence(now) {
        Presence::Present => (state, slots),
        Presence::Unknown => (State::Cold, 0),
        Presence::Ended => (State::Leaving, 0),
    };
    LocalState {
        state,
        load: u16::try_from(metrics.in_flight * 100 / usize::from(slots)).unwrap_or(u16::MAX),
        slots: announced_slots,
        versions: agent.versions(),
    }
}

/// Time for which an agent that was declared dead or left may still hold flows: longer than a
/// restart, and than a partition takes to be noticed and heal.
const DEPARTED_FOR: Duration = Duration::from_secs(10);

/// Targets by the frame address of their agent, those of agents that went lately included.
///
/// For up to two seconds after a crash, the former process of an address is still listed beside the
/// new one. Such an address takes flows only when both entries say so.
pub(crate) fn targets(now: Instant, node: &BalancerNode) -> BTreeMap<SocketAddrV4, TargetView> {
    let mut targets = BTreeMap::new();
    for member in node.agents() {
        let view = target_view(member);
        targets
            .entry(member.data)
            .and_modify(|other: &mut TargetView| {
                other.accepts_flows &= view.accepts_flows;
                other.is_cold |= view.is_cold;
                other.load = other.load.max(view.load);
                other.weight = other.weight.max(view.weight);
                if view.presence != Presence::Ended {
                    other.presence = view.presence;
                }
            })
            .or_insert(view);
    }
    for member in node.departed_agents(now, DEPARTED_FOR) {
        let view = TargetView {
            accepts_flows: false,
            ..target_view(member)
        };
        // One that had no target when it went held no flow.
        if view.presence == Presence::Present {
            targets.entry(member.data).or_insert(view);
        }
    }
    targets
}

fn target_view(member: &Member) -> TargetView {
    TargetView {
        service: member.service,
        data_centre: member.data_centre,
        presence: match (member.slots, member.state) {
            (0, State::Leaving) => Presence::Ended,
            (0, _) => Presence::Unknown,
            _ => Presence::Present,
        },
        accepts_flows: member.slots > 0 && member.state != State::Leaving,
        is_cold: member.state == State::Cold,
        weight: u32::from(member.slots),
        load: member.load,
        suspected_until: None,
    }
}
