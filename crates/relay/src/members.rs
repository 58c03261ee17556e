//! Conversions between the members of `monsoon-membership` and the targets of `monsoon-flow`.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use monsoon_flow::{Agent, Presence, Reason, TargetView};
use monsoon_membership::{BalancerNode, LocalState, Member, Role, State};
use monsoon_model::{AgentId, Duration, Instant, PackedVersions, ServiceId};

use crate::Settings;

/// Member that stands for this process. `state` is announced as it is until the process announces
/// another, possibly before its first tick, so that it must be true of a process that knows nothing.
pub(crate) fn own_member(
    settings: &Settings,
    role: Role,
    service: ServiceId,
    state: State,
) -> Member {
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
        state,
        slots: 0,
        load: 0,
        versions: PackedVersions::default(),
        reads_exact: role == Role::Agent,
    }
}

/// State that an agent announces to the membership.
pub(crate) fn local_state(now: Instant, agent: &Agent) -> LocalState {
    let counts = agent.stats(now);
    let slots = counts.slots.max(1);
    let state = match agent.refusal_reason(now) {
        // These conditions usually pass within moments, so that announcing them is not worthwhile.
        None | Some(Reason::Returned | Reason::Unresponsive)
            if agent.target_state().is_cold(now) =>
        {
            State::Cold
        }
        None | Some(Reason::Returned | Reason::Unresponsive) => State::Ready,
        Some(_) => State::Leaving,
    };
    // Balancers use the announced slots as a weight only, so that they hold the learned speed as well.
    // With a weight of zero, the state says whether heartbeats of a target may still arrive (`Cold`) or the
    // target has ended (`Leaving`).
    let (state, weight) = match agent.presence() {
        Presence::Present => (state, agent.weight().max(1)),
        Presence::Unknown => (State::Cold, 0),
        Presence::Ended => (State::Leaving, 0),
    };
    LocalState {
        state,
        load: u16::try_from(counts.in_flight * 100 / usize::from(slots)).unwrap_or(u16::MAX),
        slots: weight,
        versions: agent.versions(),
    }
}

/// Time for which an agent that has left or was declared dead may still own flows. It is longer
/// than a restart, and longer than it takes to detect a partition and recover from it.
const DEPARTED_FOR: Duration = Duration::from_secs(10);

/// Targets by the frame address of their agent, including those of agents that departed recently.
///
/// For up to two seconds after a crash, the former process at an address is still listed beside the
/// new one. Such an address gets new flows only when both entries allow it.
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
                other.reads_exact &= view.reads_exact;
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
        // An agent whose target had ended when it departed owned no flow.
        if view.presence != Presence::Ended {
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
        reads_exact: member.reads_exact,
        suspected_until: None,
    }
}

#[cfg(test)]
mod tests;
