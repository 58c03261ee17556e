//! Way of a first packet from agent to agent.
//!
//! A packet carries the agents that it visited in front of the next one, so that an agent notices
//! when a packet comes back.

use std::net::SocketAddrV4;

use monsoon_model::{Chain, Hop, MAX_HOPS};

use crate::chain;
use crate::handoff::{Decision, Load};

/// Most agents that a packet visits. The last one takes the flow, so that a packet can't circle
/// without end when more than three agents pass a flow to one another.
pub const MAX_PATH: usize = 16;

/// Position of the agent that a packet reaches after `hop` others.
fn position(chain: &Chain, hop: usize) -> usize {
    hop.min(chain.len().saturating_sub(1))
}

/// Decision for a flow without memory.
pub(crate) fn fresh(chain: &Chain, hop: usize, load: Load) -> Decision {
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

/// Decision for a flow that was passed on to `next`.
pub(crate) fn follow(next: SocketAddrV4, chain: &Chain, hop: usize) -> Decision {
    let at = position(chain, hop);
    let target = owner_of_cycle(next, chain, at).unwrap_or(next);
    let is_at = |at: usize| chain.hop(at).is_some_and(|hop| hop.agent == target);
    if is_at(at) || hop + 1 >= MAX_PATH {
        return Decision::Accept;
    }
    if is_at(at + 1) {
        Decision::Pass(at + 1)
    } else {
        Decision::Redirect(target)
    }
}

/// Agent that takes a flow which would go back to an agent that the packet visited.
///
/// Two packets of a flow that started at different agents can make each of these pass the flow to
/// the other. All agents of such a cycle agree on the smallest address.
fn owner_of_cycle(next: SocketAddrV4, chain: &Chain, at: usize) -> Option<SocketAddrV4> {
    let visited = chain.hops().get(..at)?;
    let start = visited.iter().rposition(|hop| hop.agent == next)?;
    chain.hops()[start..=at].iter().map(|hop| hop.agent).min()
}

/// Chain and hop index for [`Decision::Redirect`]: the last hops so far, then `next`, then the
/// current candidates that were not asked yet, as far as [`MAX_HOPS`] permits.
///
/// `next` normally knows the flow. If it does not, because another packet of the flow was lost or
/// is late, the current candidates decide.
pub fn redirect(chain: &Chain, hop: usize, next: SocketAddrV4) -> (Chain, usize) {
    debug_assert!(
        hop + 1 < MAX_PATH,
        "packet visits more than {MAX_PATH} agents"
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
