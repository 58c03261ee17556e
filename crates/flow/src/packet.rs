//! What forwarding needs to know about a packet.

use crate::FlowKey;

/// Role of a packet in its flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PacketKind {
    /// Caller opens a flow; `copy` counts its retransmissions.
    Open {
        /// Number of the copy, zero for the first packet.
        copy: u32,
    },
    /// Target offers to take the flow.
    Offer,
    /// Anything later.
    Data,
    /// Either end gives the flow up.
    Reset,
}

/// What is known of one packet, independent of its format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PacketInfo {
    /// Flow.
    pub key: FlowKey,
    /// Role in the flow.
    pub kind: PacketKind,
    /// The target returned a caller's packet that it does not take.
    pub is_returned: bool,
    /// Sender closes its direction.
    pub closes: bool,
    /// Sequence number of the sender.
    pub sequence: u32,
    /// Next sequence number that the sender expects.
    pub ack: u32,
    /// Bytes of data.
    pub bytes: u16,
}

/// A reset that the system sends to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reset {
    /// Flow.
    pub key: FlowKey,
    /// Sequence number that the caller expects next, if it is known.
    pub ack: u32,
}
