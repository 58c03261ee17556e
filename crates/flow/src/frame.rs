//! Frames between balancers and agents. Some frames are followed by a caller's packet.

use std::net::SocketAddrV4;

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use monsoon_model::{ExactVersions, Versions};
use serde::{Deserialize, Serialize};

use crate::{FlowKey, ServiceTag};

/// Bytes reserved for an encoded frame; an [`Open`] with all its hops is the largest of those that
/// precede a packet.
const HEADER_ROOM: usize = 128;

/// Frame of an opening packet that is offered to one candidate after the other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Open {
    /// Frame address of the balancer that placed the flow.
    pub balancer: SocketAddrV4,
    /// Service that the balancer chose.
    pub service: ServiceTag,
    /// Versions of the configuration that the balancer used, rounded down if they cannot be packed
    /// and one of the candidates does not read exact ones.
    pub versions: Versions,
    /// Frame addresses of the candidates after the receiver.
    pub hops: Vec<SocketAddrV4>,
    /// Least loaded of the busy agents that passed the packet on.
    pub fallback: Option<Fallback>,
    /// Whether the receiver and all hops read versions that cannot be packed.
    #[serde(skip)]
    pub reads_exact: bool,
}

/// Busy agent that takes a flow if no other agent does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fallback {
    /// Frame address of the agent.
    pub agent: SocketAddrV4,
    /// Expected time until a further request is answered, in units of 100 µs, if the route states a
    /// demand. Otherwise percent of the slots in use, above 100 when requests are queued.
    pub load: u16,
}

/// Reason why an agent does not take an opening packet.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Reason {
    /// No recent heartbeat of the target was received.
    #[display("no recent heartbeat")]
    NoHeartbeat,
    /// The target is draining or has ended.
    #[display("leaving")]
    Leaving,
    /// The data centre is evacuated.
    #[display("data centre out")]
    Evacuated,
    /// The target belongs to another service than the balancer selected.
    #[display("other service")]
    OtherService,
    /// The route does not lead to the service of the target.
    #[display("no route")]
    NoRoute,
    /// The balancer used an older configuration than this agent has seen in use.
    #[display("older configuration")]
    OlderConfig,
    /// The configuration of the agent was not checked since it started or was suspended.
    #[display("configuration not checked")]
    ConfigUnchecked,
    /// The cold target has reached its rate limit.
    #[display("cold")]
    Cold,
    /// All slots of the target are in use.
    #[display("busy")]
    Busy,
    /// The target did not answer an opening packet.
    #[display("mute")]
    Unresponsive,
    /// The target returned the packet, or another opening packet a moment ago.
    #[display("returned")]
    Returned,
    /// The target is ejected because it fails requests.
    #[display("failing")]
    Failing,
    /// The target cannot answer the request in time.
    #[display("overloaded")]
    Overloaded,
    /// The service is overloaded, and the client account is among those that are rejected for now.
    #[display("shed")]
    Shed,
}

/// Whether an agent owns a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ownership {
    /// The flow is open at its target.
    Owned,
    /// The agent restarted beside a running target and cannot tell.
    Unknown,
    /// The flow is not open at its target.
    NotOwned,
}

/// Query of a balancer whether an agent owns a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerQuery {
    /// Flow.
    pub key: FlowKey,
    /// Sequence number that the caller expects next.
    pub ack: u32,
}

/// Reply of an agent to an [`OwnerQuery`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerReply {
    /// Flow.
    pub key: FlowKey,
    /// Whether the agent owns it.
    pub ownership: Ownership,
}

/// Message between a balancer and an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// Opening packet, which follows the frame.
    Open(Open),
    /// Later packet of a flow, which follows the frame.
    Data,
    /// The target of the sending agent offered to take the flow.
    Offer {
        /// Flow.
        key: FlowKey,
        /// Sequence number of the target's offer.
        offer: u32,
    },
    /// No candidate took the opening packet, which follows the frame.
    Refused {
        /// Reason of the last candidate.
        reason: Reason,
    },
    /// The agent does not own the flow of the packet, which follows the frame.
    NotOwned,
    /// Asks whether the agent owns these flows.
    OwnerQueries(Vec<OwnerQuery>),
    /// Answers [`Frame::OwnerQueries`].
    OwnerReplies(Vec<OwnerReply>),
    /// The opening packet waits for a place at the target of the sending agent.
    Queued {
        /// Flow.
        key: FlowKey,
    },
    /// Like [`Frame::Open`], with versions that cannot be packed. Only [`encode`] and [`decode`]
    /// use it.
    ExactOpen(ExactVersions, Open),
}

/// The datagram is not a frame.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("the datagram is no frame; check that all processes run compatible versions")]
pub struct FrameError;

/// Encodes a frame and the packet that follows it into a datagram.
pub fn encode(frame: &Frame, packet: &[u8]) -> Bytes {
    let datagram = BytesMut::with_capacity(HEADER_ROOM + packet.len());
    let exact = match frame {
        Frame::Open(open) if open.reads_exact && !open.versions.are_packable() => {
            Some(Frame::ExactOpen(ExactVersions(open.versions), open.clone()))
        }
        _ => None,
    };
    // Encoding cannot fail: all types of a frame are supported and the buffer grows as needed.
    let frame = exact.as_ref().unwrap_or(frame);
    let mut datagram = postcard::to_extend(frame, datagram).unwrap_or_default();
    datagram.extend_from_slice(packet);
    datagram.freeze()
}

/// Decodes a datagram into a frame and the packet that follows it.
///
/// # Errors
/// Returns an error when the datagram does not start with a frame.
pub fn decode(datagram: &[u8]) -> Result<(Frame, &[u8]), FrameError> {
    // The error of the library has no detail that helps an operator.
    let (frame, packet) = postcard::take_from_bytes(datagram).ok().ok_or(FrameError)?;
    let frame = match frame {
        Frame::ExactOpen(ExactVersions(versions), open) => Frame::Open(Open {
            versions,
            reads_exact: true,
            ..open
        }),
        frame => frame,
    };
    Ok((frame, packet))
}
