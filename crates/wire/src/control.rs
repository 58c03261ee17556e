//! Datagrams of the control protocols.
//!
//! Layout: version and phase (1 byte), tag (16 bytes), message in postcard encoding. The tag covers
//! the first byte and the message.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::frame::{self, TAG_LEN};
use crate::{Keyring, WireError};

/// Largest control datagram in bytes; it passes every path that QUIC can use without fragmentation.
pub const MAX_DATAGRAM: usize = 1_200;

/// Bytes in front of the message.
const PREFIX: usize = 1 + TAG_LEN;

/// Largest encoded message in bytes.
pub const MAX_MESSAGE: usize = MAX_DATAGRAM - PREFIX;

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
    let mut out = Vec::with_capacity(PREFIX + body.len());
    out.push(first);
    out.extend_from_slice(&tag);
    out.extend_from_slice(body);
    debug_assert!(
        out.len() <= MAX_DATAGRAM,
        "control datagram exceeds its bound"
    );
    Ok(out)
}

/// Verifies a datagram and decodes its message.
///
/// # Errors
/// Returns the reason when the datagram is truncated or too long, has another version or an
/// unloaded key phase, does not verify, or holds no valid message of the type `T`.
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
