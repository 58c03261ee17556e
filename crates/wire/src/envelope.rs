//! Signed header in front of a caller's packet between balancer and agent.
//!
//! A datagram is one byte with the format version and the key phase, the header length (1 byte), a
//! tag of 16 bytes, the header in postcard encoding, and the payload. The tag covers the first two
//! bytes and the header. It doesn't cover the payload: a QUIC packet authenticates itself, so
//! hashing it would only cost time per byte.

use std::net::SocketAddr;

use monsoon_model::{Chain, MAX_HOPS, ServiceId};
use serde::{Deserialize, Serialize};

use crate::frame::{self, TAG_LEN};
use crate::{Keyring, WireError};

/// Bytes in front of the header.
const PREFIX_LEN: usize = 2 + TAG_LEN;

/// Largest encoded header in bytes: direction 1, service 3, two IPv6 addresses of 20 each, key 10,
/// chain length 1, four hops of 8 each, hop index 1.
pub const MAX_HEADER: usize = 88;

/// Most agents that a packet visits; the agents' routing rules have the same limit.
pub const MAX_PATH: usize = 16;

/// Direction of the payload.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Direction {
    /// From the caller to an agent.
    Forward,
    /// From an agent to the caller.
    Reply,
}

/// Header in front of a caller's packet.
///
/// Addresses are sent without IPv6 flow information and scope.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Envelope {
    /// Direction of the payload.
    pub direction: Direction,
    /// Service of the flow.
    pub service: ServiceId,
    /// Address of the caller.
    pub caller: SocketAddr,
    /// Address of the service that the caller uses.
    pub address: SocketAddr,
    /// Flow key of a new flow; zero for an established one.
    pub key: u64,
    /// Agents that may accept a new flow; empty for an established one and for replies.
    pub chain: Chain,
    /// Number of agents that the packet has visited. It is the receiver's index in the chain, or
    /// larger when agents have shifted a full chain to redirect the packet.
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
            "hop number does not fit the chain: {self:?}"
        );
        let mut buffer = [0; MAX_HEADER];
        let header = postcard::to_slice(self, &mut buffer).expect("MAX_HEADER bounds the header");
        let keys = keys.current();
        let prefix = [frame::first_byte(keys.phase), header.len() as u8];
        let tag = frame::tag(&keys.envelope, &prefix, header);
        let mut datagram = Vec::with_capacity(PREFIX_LEN + header.len() + payload.len());
        datagram.extend_from_slice(&prefix);
        datagram.extend_from_slice(&tag);
        datagram.extend_from_slice(header);
        datagram.extend_from_slice(payload);
        datagram
    }

    /// Verifies a datagram and splits it into header and payload.
    ///
    /// # Errors
    /// Returns the reason when the datagram is truncated, has another format version, is signed
    /// with a key phase that isn't loaded, doesn't verify, or holds an invalid header.
    pub fn open<'a>(keys: &Keyring, datagram: &'a [u8]) -> Result<(Self, &'a [u8]), WireError> {
        let (prefix, rest) = datagram
            .split_first_chunk::<2>()
            .ok_or(WireError::Truncated)?;
        let keys = frame::keys_for(keys, prefix[0])?;
        let (tag, rest) = rest
            .split_first_chunk::<TAG_LEN>()
            .ok_or(WireError::Truncated)?;
        let (header, payload) = rest
            .split_at_checked(usize::from(prefix[1]))
            .ok_or(WireError::Truncated)?;
        frame::verify(&keys.envelope, prefix, header, tag)?;
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
