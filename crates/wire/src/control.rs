//! Datagrams of the control protocols.
//!
//! A datagram is one byte with the format version and the key phase, a tag of 16 bytes, and the
//! message in postcard encoding. The tag covers the first byte and the message.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::frame::{self, TAG_LEN};
use crate::{Keyring, WireError};

/// Largest control datagram in bytes; every path that QUIC can use carries it unfragmented.
pub const MAX_DATAGRAM: usize = 1_200;

/// Bytes in front of the message.
const PREFIX_LEN: usize = 1 + TAG_LEN;

/// Largest encoded message in bytes.
pub const MAX_MESSAGE: usize = MAX_DATAGRAM - PREFIX_LEN;

/// Signs a message under the current key.
///
/// # Errors
/// Returns [`WireError::TooLong`] when the encoded message exceeds [`MAX_MESSAGE`], and
/// [`WireError::Malformed`] when the message has no postcard encoding.
pub fn seal(keys: &Keyring, message: &impl Serialize) -> Result<Vec<u8>, WireError> {
    let mut buffer = [0; MAX_MESSAGE];
    let body = postcard::to_slice(message, &mut buffer).map_err(|error| match error {
        postcard::Error::SerializeBufferFull => WireError::TooLong { limit: MAX_MESSAGE },
        _ => WireError::Malformed,
    })?;
    let keys = keys.current();
    let first = frame::first_byte(keys.phase);
    let tag = frame::tag(&keys.control, &[first], body);
    let mut datagram = Vec::with_capacity(PREFIX_LEN + body.len());
    datagram.push(first);
    datagram.extend_from_slice(&tag);
    datagram.extend_from_slice(body);
    debug_assert!(
        datagram.len() <= MAX_DATAGRAM,
        "control datagram exceeds {MAX_DATAGRAM} bytes"
    );
    Ok(datagram)
}

/// Verifies a datagram and decodes its message.
///
/// # Errors
/// Returns the reason when the datagram is truncated or too long, has another format version, is
/// signed with a key phase that isn't loaded, doesn't verify, or holds no valid message of type
/// `T`.
pub fn open<T: DeserializeOwned>(keys: &Keyring, datagram: &[u8]) -> Result<T, WireError> {
    if datagram.len() > MAX_DATAGRAM {
        return Err(WireError::TooLong {
            limit: MAX_DATAGRAM,
        });
    }
    let (first, rest) = datagram.split_first().ok_or(WireError::Truncated)?;
    let keys = frame::keys_for(keys, *first)?;
    let (tag, body) = rest
        .split_first_chunk::<TAG_LEN>()
        .ok_or(WireError::Truncated)?;
    frame::verify(&keys.control, &[*first], body, tag)?;
    match postcard::take_from_bytes(body) {
        Ok((message, [])) => Ok(message),
        _ => Err(WireError::Malformed),
    }
}
