//! Events of the simulation, with the messages between members.

use monsoon_execution::Event as RequestEvent;
use monsoon_execution::claim::{Answer, ClaimId, KeyHash};
use monsoon_model::{AgentId, Instant};

use super::members::partition_side;

#[derive(Clone, Copy, Debug)]
pub(super) enum Event {
    Send {
        key: KeyHash,
    },
    Claim {
        to: AgentId,
        key: KeyHash,
        claim: ClaimId,
    },
    Answer {
        from: AgentId,
        claim: ClaimId,
        answer: Answer,
    },
    Release {
        to: AgentId,
        key: KeyHash,
        claim: ClaimId,
    },
    StoreStatus {
        to: AgentId,
        key: KeyHash,
        claim: ClaimId,
    },
    Tick {
        claim: ClaimId,
    },
    /// A member learns whether another one departed, or forgets it with `None`.
    UpdateView {
        agent: AgentId,
        about: AgentId,
        state: Option<bool>,
    },
    /// An event of a request reaches its agent.
    Request {
        request: ClaimId,
        request_event: RequestEvent,
    },
    /// A forwarded attempt reaches a peer.
    ForwardedAttempt {
        to: AgentId,
        request: ClaimId,
        attempt: u32,
        until: Instant,
    },
    ChangeMembers,
    Partition,
    Suspect,
}

/// Whether a message crosses from one side of a partition to the other.
pub(super) fn crosses_partition(event: Event) -> bool {
    match event {
        Event::Claim {
            to: member, claim, ..
        }
        | Event::Release {
            to: member, claim, ..
        }
        | Event::StoreStatus {
            to: member, claim, ..
        }
        | Event::Answer {
            from: member,
            claim,
            ..
        } => partition_side(member) != partition_side(claim.agent),
        _ => false,
    }
}
