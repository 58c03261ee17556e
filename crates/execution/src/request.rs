//! Input events and output actions of the state machine of one request.

use monsoon_model::Instant;

use crate::claim::ClaimResult;
use crate::destination::Destination;

/// Properties of a request that are known when it arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// Whether the request may safely run more than once.
    pub idempotent: bool,
    /// Whether a peer forwarded the request; such a request is never forwarded again.
    pub from_peer: bool,
    /// Time after which the caller no longer waits.
    pub deadline: Option<Instant>,
}

/// Event of a request. Numbers of type `u32` are attempt numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The request arrived.
    Arrived,
    /// The claim round ended with this result.
    Claimed(ClaimResult),
    /// Destination of the next attempt, `None` when no destination is left.
    Picked(Option<Destination>),
    /// Admission started the local attempt, which may now be sent to the target.
    Started(u32),
    /// The attempt did not run and will not.
    NotRun(u32),
    /// The attempt was answered with this HTTP status.
    Response(u32, u16),
    /// The connection of the attempt failed; it may have run.
    ConnectionLost(u32),
    /// The caller cancelled the request or closed its connection.
    Cancelled,
    /// Time passed; the deadline is checked.
    Tick,
}

/// Answer to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Response of the attempt with this number.
    Response(u32),
    /// The request ran earlier; this is the stored status of that run.
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
    /// Choose a destination other than the given one, which rejected the previous attempt, and
    /// report it as [`Event::Picked`].
    Pick(Option<Destination>),
    /// Offer the attempt to the admission control of the local target.
    Enqueue(u32),
    /// Send the attempt to the local target.
    Send(u32),
    /// Send the attempt (first) to the peer with this index (second).
    Forward(u32, usize),
    /// Cancel the attempt: remove it from the queue, drop its connection or tell the peer.
    Cancel(u32),
    /// Store the response status at the members that recorded the claim.
    StoreStatus(u16),
    /// Release the claim at the members that recorded it: the request did not run.
    ReleaseClaim,
    /// Answer the caller.
    Reply(Reply),
}
