//! Properties of a packet that forwarding needs.

use crate::FlowKey;

/// Kind of a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PacketKind {
    /// The caller opens a flow.
    Open {
        /// Number of the retransmission, zero for the first packet.
        copy: u32,
    },
    /// The target offers to take the flow.
    Offer,
    /// Any later packet.
    Data,
    /// Caller or target aborts the flow.
    Reset,
}

/// Properties of one packet, independent of the packet format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PacketInfo {
    /// Flow.
    pub key: FlowKey,
    /// Kind of the packet.
    pub kind: PacketKind,
    /// Whether this is a caller's packet that the target did not take and returned.
    pub is_returned: bool,
    /// Whether the sender closes its direction.
    pub closes: bool,
    /// Sequence number of the sender.
    pub sequence: u32,
    /// Next sequence number that the sender expects.
    pub ack: u32,
    /// Length of the data, in bytes.
    pub bytes: u16,
}

/// Reset of a flow that the system sends to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reset {
    /// Flow.
    pub key: FlowKey,
    /// Sequence number that the caller expects next, if it is known.
    pub ack: u32,
}
