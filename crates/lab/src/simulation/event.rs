//! Events and messages.

use monsoon_execution::Event as Step;
use monsoon_execution::claim::{Answer, ClaimId, KeyHash};
use monsoon_model::{AgentId, Instant};

use super::members::half;

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
    Store {
        to: AgentId,
        key: KeyHash,
        claim: ClaimId,
    },
    Tick {
        claim: ClaimId,
    },
    Learn {
        agent: AgentId,
        about: AgentId,
        state: Option<bool>,
    },
    /// The next event of a request, at its agent.
    Step {
        request: ClaimId,
        step: Step,
    },
    /// An attempt that reaches a peer.
    Work {
        to: AgentId,
        request: ClaimId,
        attempt: u32,
        until: Instant,
    },
    Change,
    Partition,
    Suspect,
}

/// Whether a message goes from one side of a partition to the other.
pub(super) fn crosses(event: Event) -> bool {
    match event {
        Event::Claim {
            to: member, claim, ..
        }
        | Event::Release {
            to: member, claim, ..
        }
        | Event::Store {
            to: member, claim, ..
        }
        | Event::Answer {
            from: member,
            claim,
            ..
        } => half(member) != half(claim.agent),
        _ => false,
    }
}
