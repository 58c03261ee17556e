//! Rules for passing a first packet from agent to agent.
//!
//! The chain in a packet lists the agents it visited before the next one, so that an agent detects
//! a packet that returns to it.

use std::net::SocketAddrV4;

use monsoon_model::{Chain, Hop, MAX_HOPS};

use crate::chain;
use crate::handoff::{Decision, Load};

/// Maximum number of agents that a packet visits. The last one accepts the flow, which ends a loop
/// of more than three agents that pass a flow to one another.
pub const MAX_PATH: usize = 16;

/// Returns the chain position of the agent that a packet reaches after `hop` others.
fn position(chain: &Chain, hop: usize) -> usize {
    hop.min(chain.len().saturating_sub(1))
}

/// Decides about a flow that the agent does not know.
pub(crate) fn decide_new(chain: &Chain, hop: usize, load: Load) -> Decision {
    let at = position(chain, hop);
    let known_only = chain.hop(at).is_some_and(|own| own.known_only);
    let can_accept = !load.leaving && !known_only;
    let is_last = at + 1 >= chain.len();
    match (is_last, can_accept) {
        (true, true) => Decision::Accept,
        (true, false) => Decision::Refuse,
        (false, true) if load.used < load.limit => Decision::Accept,
        (false, _) => Decision::Pass(at + 1),
    }
}

/// Decides about a flow that the agent passed on to `next` before.
pub(crate) fn decide_passed(next: SocketAddrV4, chain: &Chain, hop: usize) -> Decision {
    let at = position(chain, hop);
    let agent = cycle_owner(next, chain, at).unwrap_or(next);
    let is_at = |at: usize| chain.hop(at).is_some_and(|hop| hop.agent == agent);
    if is_at(at) || hop + 1 >= MAX_PATH {
        return Decision::Accept;
    }
    if is_at(at + 1) {
        Decision::Pass(at + 1)
    } else {
        Decision::Redirect(agent)
    }
}

/// Returns the agent that accepts the flow when `next` is an agent that the packet already visited.
///
/// Two packets of a flow that started at different agents can make these agents pass the flow to
/// each other. All agents of such a cycle choose the one with the smallest address.
fn cycle_owner(next: SocketAddrV4, chain: &Chain, at: usize) -> Option<SocketAddrV4> {
    let visited = chain.hops().get(..at)?;
    let start = visited.iter().rposition(|hop| hop.agent == next)?;
    chain.hops()[start..=at].iter().map(|hop| hop.agent).min()
}

/// Returns the chain and hop index for [`Decision::Redirect`].
///
/// The chain contains the last visited hops, then `next`, then the current candidates that were not
/// visited yet, up to [`MAX_HOPS`] hops. `next` normally knows the flow. If it does not, because
/// another packet of the flow was lost or is late, the current candidates decide.
pub fn redirect(chain: &Chain, hop: usize, next: SocketAddrV4) -> (Chain, usize) {
    debug_assert!(
        hop + 1 < MAX_PATH,
        "a packet visits more than {MAX_PATH} agents"
    );
    let (visited, rest) = chain.hops().split_at(chain.len().min(hop + 1));
    let kept = &visited[visited.len().saturating_sub(MAX_HOPS - 1)..];
    let rest: Vec<_> = rest
        .iter()
        .filter(|hop| !hop.known_only && hop.agent != next)
        .collect();
    let known_only = !rest.is_empty() && kept.len() + 1 < MAX_HOPS;
    let next = Hop {
        agent: next,
        known_only,
    };
    (
        chain::collect(
            kept.iter()
                .copied()
                .chain([next])
                .chain(rest.into_iter().copied()),
        ),
        hop + 1,
    )
}
