//! Properties of a packet that forwarding needs.

use monsoon_model::Duration;

use crate::FlowKey;

/// Time since a caller's first opening packet at each of its retransmissions.
const RETRANSMISSION_TIMES: [Duration; 2] =
    [Duration::from_millis(200), Duration::from_millis(600)];
/// Longest time by which a retransmission reaches a balancer later than that after the first packet.
const RETRANSMISSION_DELAY: Duration = Duration::from_millis(50);

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

impl PacketInfo {
    /// Least time since the first opening packet of the caller.
    pub(crate) fn age(&self) -> Duration {
        match self.kind {
            PacketKind::Open { copy: 0 } => Duration::ZERO,
            PacketKind::Open { copy: 1 } => RETRANSMISSION_TIMES[0],
            PacketKind::Open { .. } => RETRANSMISSION_TIMES[1],
            _ => Duration::ZERO,
        }
    }
}

/// Retransmissions of an opening packet that a balancer must have received when the first packet
/// arrived `age` ago, unless they were lost or went to another balancer.
pub(crate) fn retransmissions_by(age: Duration) -> u32 {
    let is_past = |time: &&Duration| age >= **time + RETRANSMISSION_DELAY;
    RETRANSMISSION_TIMES.iter().filter(is_past).count() as u32
}

/// Reset of a flow that the system sends to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reset {
    /// Flow.
    pub key: FlowKey,
    /// Sequence number that the caller expects next, if it is known.
    pub ack: u32,
}
