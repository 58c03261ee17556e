//! Inputs and outputs of the state machine of one request.

use monsoon_model::Instant;

use crate::claim::ClaimResult;
use crate::destination::Destination;

/// What the agent knows of a request when it arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// Whether a peer sent it; such a request is never passed on.
    pub from_peer: bool,
    /// Point after which the caller does not wait any more.
    pub deadline: Option<Instant>,
}

/// What happened to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The request arrived.
    Arrived,
    /// The claim round ended.
    Claimed(ClaimResult),
    /// The place for the next attempt, or none when no place is left.
    Picked(Option<Destination>),
    /// Admission started the local attempt.
    Started(u32),
    /// The attempt was truthfully not run.
    NotRun(u32),
    /// The attempt was answered with this status.
    Response(u32, u16),
    /// The connection of the attempt failed; whether it ran is unknown.
    ConnectionLost(u32),
    /// The caller cancelled the request.
    Cancelled,
    /// Time passed.
    Tick,
}

/// Answer to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The response of this attempt.
    Response(u32),
    /// The stored status of an earlier run.
    Replay(u16),
    /// The request was not run.
    NotRun,
    /// Whether the request ran is unknown.
    Unknown,
}

/// Instruction to the driver. Actions are carried out in order and before the next event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Run a claim round for the request's key.
    Claim,
    /// Choose a place other than the given one, which refused the previous attempt, and answer with
    /// [`Event::Picked`].
    Pick(Option<Destination>),
    /// Offer the attempt to local admission.
    Enqueue(u32),
    /// Send the attempt to the local target.
    Send(u32),
    /// Send the attempt to the peer with this index.
    Forward(u32, usize),
    /// Cancel the attempt: take it from the queue, drop its connection or tell the peer.
    Cancel(u32),
    /// Store the response status at the members that hold the claim.
    StoreStatus(u16),
    /// Release the claim at the members that hold it: the request did not run.
    ReleaseClaim,
    /// Answer the caller.
    Reply(Reply),
}
