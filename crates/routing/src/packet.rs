//! Kinds of caller packets, as the balancer determines them before routing.

use std::net::SocketAddrV4;

use monsoon_model::{DataCentreId, ServiceId};

/// Contents of a verified connection ID.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Destination {
    /// Address of the agent's encapsulation socket.
    pub agent: SocketAddrV4,
    /// Service of the flow.
    pub service: ServiceId,
    /// Data centre of the agent.
    pub data_centre: DataCentreId,
    /// Epoch of the agent, see [`monsoon_model::AgentId::epoch`].
    pub epoch: u8,
}

/// Kind of a packet by its header type and connection ID.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PacketKind {
    /// Packet with a verified connection ID.
    Established(Destination),
    /// First packet of a flow.
    New {
        /// Keyed hash of the caller's address and connection ID.
        key: u64,
    },
    /// Any other packet, without a verified connection ID.
    Unverified,
}
