//! Identity of a flow.

use std::net::SocketAddrV4;

use derive_more::Display;
use monsoon_model::hash::mix;
use serde::{Deserialize, Serialize};

/// Addresses of a flow as its caller sees them.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{caller}>{address}")]
pub struct FlowKey {
    /// Address and port of the caller.
    pub caller: SocketAddrV4,
    /// Address and port of the route.
    pub address: SocketAddrV4,
}

impl FlowKey {
    /// Hash that is the same in all processes.
    pub fn hash(self) -> u64 {
        mix(address_bits(self.caller), address_bits(self.address))
    }
}

/// Address and port packed into one integer.
pub(crate) fn address_bits(address: SocketAddrV4) -> u64 {
    u64::from(address.ip().to_bits()) << 16 | u64::from(address.port())
}
