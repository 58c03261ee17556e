//! Stateless resets (RFC 9000, section 10.3).

use monsoon_model::hash::mix;
use ring::hmac;

use crate::{CID_LEN, Keyring};

const TOKEN_LEN: usize = 16;

/// Smallest stateless reset in bytes: 5 and the token (RFC 9000, section 10.3).
pub const MIN_RESET_LEN: usize = 5 + TOKEN_LEN;

/// Largest stateless reset in bytes. Resets for longer packets need not be longer: at this size a
/// reset can't be distinguished from a short-header packet with the longest connection ID.
const MAX_RESET_LEN: usize = 42;

/// Builds a stateless reset for a packet of `trigger_len` bytes that was sent to `cid`.
///
/// The last 16 bytes are the start of HMAC-SHA256 of the ID under the reset key of the ID's phase,
/// as the agent's endpoint issued them. The other bytes are derived from the random number
/// `random`. The reset is shorter than the packet that triggers it, so that two endpoints that
/// answer each other's resets stop.
///
/// Returns `None` when the ID has another length, its key phase isn't loaded, or the packet is too
/// short.
pub fn stateless_reset(
    keys: &Keyring,
    cid: &[u8],
    trigger_len: usize,
    random: u64,
) -> Option<Vec<u8>> {
    let length = trigger_len.checked_sub(1)?.min(MAX_RESET_LEN);
    if cid.len() != CID_LEN || length < MIN_RESET_LEN {
        return None;
    }
    let keys = keys.of_phase(cid[0])?;
    let token = hmac::sign(&keys.reset, cid);
    let mut reset = Vec::with_capacity(length);
    reset.extend((0..length - TOKEN_LEN).map(|i| mix(random, i as u64) as u8));
    // First two bits of a short header: header form 0, fixed bit 1.
    reset[0] = reset[0] & 0x3f | 0x40;
    reset.extend_from_slice(&token.as_ref()[..TOKEN_LEN]);
    debug_assert!(
        reset.len() < trigger_len,
        "reset is not shorter than the packet that triggers it"
    );
    Some(reset)
}
