//! Header in front of a caller's packet between balancer and agent.
//!
//! Layout: version and phase (1 byte), header length (1 byte), tag (16 bytes), header in postcard
//! encoding, payload. The tag covers the two leading bytes and the header. The payload is a QUIC
//! packet that authenticates itself, so that hashing it would only cost time per byte.

use std::net::SocketAddr;

use monsoon_model::{Chain, MAX_HOPS, ServiceId};
use serde::{Deserialize, Serialize};

use crate::frame::{self, TAG_LEN};
use crate::{Keyring, WireError};

/// Bytes in front of the header.
const PREFIX: usize = 2 + TAG_LEN;

/// Largest encoded header in bytes: direction 1, service 3, two IPv6 addresses 20 each, key 10,
/// chain length 1, four hops of 8, hop index 1.
pub const MAX_HEADER: usize = 88;

/// Most agents that a packet visits, as the routing rules of the agents limit it.
pub const MAX_PATH: usize = 16;

/// Way of the payload.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Direction {
    /// From the caller to an agent.
    Forward,
    /// From an agent to the caller.
    Reply,
}

/// Header in front of a caller's packet.
///
/// Addresses are carried without IPv6 flow information and scope.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Envelope {
    /// Way of the payload.
    pub direction: Direction,
    /// Service of the flow.
    pub service: ServiceId,
    /// Address of the caller.
    pub caller: SocketAddr,
    /// Address of the service that the caller uses.
    pub address: SocketAddr,
    /// Flow key of a new flow; zero for an established one.
    pub key: u64,
    /// Agents that may take a new flow; empty for an established one and for replies.
    pub chain: Chain,
    /// Number of agents that the packet visited. It is the receiver's index in the chain, or larger
    /// when agents have shifted a full chain to lead the packet elsewhere.
    pub hop: u8,
}

impl Envelope {
    /// Puts the signed header in front of `payload`.
    ///
    /// # Panics
    /// Panics when the chain holds more than [`MAX_HOPS`] hops, which [`Chain::push`] excludes.
    pub fn seal(&self, keys: &Keyring, payload: &[u8]) -> Vec<u8> {
        debug_assert!(
            self.is_consistent(),
            "hop index is outside the chain: {self:?}"
        );
        let mut buffer = [0; MAX_HEADER];
        let header = postcard::to_slice(self, &mut buffer).expect("MAX_HEADER bounds the header");
        let keys = keys.current();
        let lead = [frame::first_byte(keys.phase), header.len() as u8];
        let tag = frame::tag(&keys.envelope, &lead, header);
        let mut out = Vec::with_capacity(PREFIX + header.len() + payload.len());
        out.extend_from_slice(&lead);
        out.extend_from_slice(&tag);
        out.extend_from_slice(header);
        out.extend_from_slice(payload);
        out
    }

    /// Verifies a datagram and splits it into header and payload.
    ///
    /// # Errors
    /// Returns the reason when the datagram is truncated, has another version or an unloaded key
    /// phase, does not verify, or holds an invalid header.
    pub fn open<'a>(keys: &Keyring, datagram: &'a [u8]) -> Result<(Self, &'a [u8]), WireError> {
        let (lead, rest) = datagram
            .split_first_chunk::<2>()
            .ok_or(WireError::Truncated)?;
        let keys = frame::keys_for(keys, lead[0])?;
        let (tag, rest) = rest
            .split_first_chunk::<TAG_LEN>()
            .ok_or(WireError::Truncated)?;
        let (header, payload) = rest
            .split_at_checked(usize::from(lead[1]))
            .ok_or(WireError::Truncated)?;
        frame::verify(&keys.envelope, lead, header, tag)?;
        Ok((Self::decode(header)?, payload))
    }

    fn decode(header: &[u8]) -> Result<Self, WireError> {
        match postcard::take_from_bytes::<Self>(header) {
            Ok((envelope, [])) if envelope.is_consistent() => Ok(envelope),
            _ => Err(WireError::Malformed),
        }
    }

    fn is_consistent(&self) -> bool {
        let limit = match self.chain.len() {
            MAX_HOPS => MAX_PATH,
            hops => hops.max(1),
        };
        self.chain.len() <= MAX_HOPS && usize::from(self.hop) < limit
    }
}
