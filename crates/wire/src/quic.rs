//! First look at a caller's datagram: packet type and destination connection ID.
//!
//! Follows the version-independent properties of QUIC (RFC 8999) and the packet types of version 1
//! (RFC 9000, section 17). Only the first packet of a datagram is inspected; packets that follow
//! it in the datagram have the same destination connection ID.
//!
//! The fixed bit is not checked, since endpoints may clear it (RFC 9287).

use crate::CID_LEN;

const LONG_FORM: u8 = 0x80;
const VERSION_1: u32 = 1;
const VERSION_NEGOTIATION: u32 = 0;

/// Longest connection ID of version 1 in bytes.
const MAX_CID_V1: usize = 20;

/// Type and destination connection ID of a datagram's first packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Packet<'a> {
    /// Initial packet, or a long header of an unknown version, which an agent answers with version
    /// negotiation.
    Initial {
        /// Destination connection ID.
        dcid: &'a [u8],
    },
    /// 0-RTT, Handshake or Retry packet.
    Long {
        /// Destination connection ID.
        dcid: &'a [u8],
    },
    /// Short header.
    Short {
        /// The first [`CID_LEN`] bytes after the first byte; all IDs of agents have this length.
        dcid: &'a [u8],
    },
    /// No packet that a caller may send.
    Unknown,
}

impl<'a> Packet<'a> {
    /// Destination connection ID, if the packet has one.
    pub fn dcid(&self) -> Option<&'a [u8]> {
        match *self {
            Self::Initial { dcid } | Self::Long { dcid } | Self::Short { dcid } => Some(dcid),
            Self::Unknown => None,
        }
    }
}

/// Classifies a caller's datagram by its first packet.
pub fn classify(datagram: &[u8]) -> Packet<'_> {
    let Some((&first, rest)) = datagram.split_first() else {
        return Packet::Unknown;
    };
    if first & LONG_FORM == 0 {
        return rest
            .get(..CID_LEN)
            .map_or(Packet::Unknown, |dcid| Packet::Short { dcid });
    }
    long(first, rest).unwrap_or(Packet::Unknown)
}

/// Classifies a long header; `None` when it is truncated or invalid.
fn long(first: u8, rest: &[u8]) -> Option<Packet<'_>> {
    let (version, rest) = rest.split_first_chunk::<4>()?;
    let (dcid, rest) = counted(rest)?;
    let (scid, _) = counted(rest)?;
    match u32::from_be_bytes(*version) {
        // Only servers send version negotiation.
        VERSION_NEGOTIATION => None,
        VERSION_1 if dcid.len().max(scid.len()) > MAX_CID_V1 => None,
        VERSION_1 if first & 0x30 != 0 => Some(Packet::Long { dcid }),
        _ => Some(Packet::Initial { dcid }),
    }
}

/// Splits off a byte string that follows its length in one byte.
fn counted(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let (&length, rest) = bytes.split_first()?;
    rest.split_at_checked(usize::from(length))
}
