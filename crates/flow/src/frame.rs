//! Frames between balancers and agents: a header, in some cases followed by a caller's packet.

use std::net::SocketAddrV4;

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use monsoon_model::Versions;
use serde::{Deserialize, Serialize};

use crate::{FlowKey, ServiceTag};

/// Room for the header of a frame, in bytes: the largest is an [`Open`] with its hops.
const HEADER_ROOM: usize = 128;

/// Opening packet on its way along the candidates.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Open {
    /// Frame address of the balancer that placed the packet.
    pub from: SocketAddrV4,
    /// Service that the balancer chose.
    pub service: ServiceTag,
    /// Configuration that the balancer acted on.
    pub versions: Versions,
    /// Frame addresses of the agents still to be asked, the receiver excluded.
    pub hops: Vec<SocketAddrV4>,
    /// Busy agent with the least load so far.
    pub fallback: Option<Fallback>,
}

/// A busy agent that would take a flow if no other one has room.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fallback {
    /// Frame address.
    pub agent: SocketAddrV4,
    /// Percent of its slots in use, above 100 when requests wait.
    pub load: u16,
}

/// Why an agent does not take an opening packet.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Reason {
    /// No recent heartbeat of a target.
    #[display("no recent heartbeat")]
    NoHeartbeat,
    /// Target is draining or gone.
    #[display("leaving")]
    Leaving,
    /// Data centre is taken out.
    #[display("data centre out")]
    Evacuated,
    /// Target belongs to another service than the balancer chose.
    #[display("other service")]
    OtherService,
    /// Route does not lead to the service of the target.
    #[display("no route")]
    NoRoute,
    /// Balancer acted on an older configuration than this agent has seen.
    #[display("older configuration")]
    OlderConfig,
    /// Configuration of this agent was not checked since it started or was suspended.
    #[display("configuration not checked")]
    ConfigUnchecked,
    /// Cold target has its share of this second.
    #[display("cold")]
    Cold,
    /// Target works on as much as it has slots for.
    #[display("busy")]
    Busy,
    /// Target did not answer the last opening packets.
    #[display("mute")]
    Unresponsive,
    /// Target returned the packet.
    #[display("returned")]
    Returned,
    /// Target fails requests.
    #[display("failing")]
    Failing,
}

/// Whether an agent holds a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ownership {
    /// The flow is open at its target.
    Owned,
    /// The agent started beside a living target and cannot tell.
    Unknown,
    /// The flow is not open at its target.
    NotOwned,
}

/// Question of a balancer about one flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerQuery {
    /// Flow.
    pub key: FlowKey,
    /// Sequence number that the caller expects next.
    pub ack: u32,
}

/// Answer of an agent about one flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerReply {
    /// Flow.
    pub key: FlowKey,
    /// Whether the agent holds it.
    pub ownership: Ownership,
}

/// Message between a balancer and an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// Opening packet; the packet follows.
    Open(Open),
    /// Later packet of a flow; the packet follows.
    Data,
    /// The target offered to take the flow.
    Offer {
        /// Flow.
        key: FlowKey,
        /// Sequence number of the target's offer.
        offer: u32,
    },
    /// No agent on the way took the opening packet; the packet follows.
    Refused {
        /// Reason of the last agent.
        reason: Reason,
    },
    /// The agent does not hold the flow; the packet follows.
    NotOwned,
    /// Asks whether the agent holds these flows.
    OwnerQueries(Vec<OwnerQuery>),
    /// Answers [`Frame::OwnerQueries`].
    OwnerReplies(Vec<OwnerReply>),
}

/// A datagram that is no frame.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("the datagram is no frame; check that all processes run compatible versions")]
pub struct FrameError;

/// Datagram of a frame and the packet that follows it.
pub fn encode(frame: &Frame, packet: &[u8]) -> Bytes {
    let out = BytesMut::with_capacity(HEADER_ROOM + packet.len());
    // A frame holds no value that cannot be encoded, and the buffer grows as needed.
    let mut out = postcard::to_extend(frame, out).unwrap_or_default();
    out.extend_from_slice(packet);
    out.freeze()
}

/// Frame of a datagram and the packet that follows it.
///
/// # Errors
/// Returns an error when the datagram does not start with a frame.
pub fn decode(datagram: &[u8]) -> Result<(Frame, &[u8]), FrameError> {
    // The library's error names no remedy beyond that of FrameError.
    postcard::take_from_bytes(datagram).ok().ok_or(FrameError)
}
