//! Stateless resets (RFC 9000, section 10.3).

use monsoon_model::hash::mix;
use ring::hmac;

use crate::{CID_LEN, Keyring};

const TOKEN_LEN: usize = 16;

/// Smallest stateless reset in bytes: 5 in front of the token (RFC 9000, section 10.3).
pub const MIN_RESET_LEN: usize = 5 + TOKEN_LEN;

/// Largest stateless reset in bytes. Resets for longer packets need not grow with them: at this
/// size a reset can't be told from a short packet with the longest connection ID.
const MAX_RESET_LEN: usize = 42;

/// Stateless reset for a packet of `trigger_len` bytes that was sent to `cid`.
///
/// The last 16 bytes are the start of HMAC-SHA256 of the ID under the reset key of the ID's phase,
/// as the agent's endpoint issued them. `noise` fills the other bytes and comes from a random
/// generator. The reset is shorter than its trigger, so that two endpoints which answer each
/// other's resets stop.
///
/// `None` when the ID has another length or an unloaded phase, or the trigger is too short.
pub fn stateless_reset(
    keys: &Keyring,
    cid: &[u8],
    trigger_len: usize,
    noise: u64,
) -> Option<Vec<u8>> {
    let length = trigger_len.checked_sub(1)?.min(MAX_RESET_LEN);
    if cid.len() != CID_LEN || length < MIN_RESET_LEN {
        return None;
    }
    let keys = keys.of_phase(cid[0])?;
    let token = hmac::sign(&keys.reset, cid);
    let mut out = Vec::with_capacity(length);
    out.extend((0..length - TOKEN_LEN).map(|i| mix(noise, i as u64) as u8));
    // The first two bits of a short header: header form 0, fixed bit 1.
    out[0] = out[0] & 0x3f | 0x40;
    out.extend_from_slice(&token.as_ref()[..TOKEN_LEN]);
    debug_assert!(
        out.len() < trigger_len,
        "reset is not shorter than its trigger"
    );
    Some(out)
}
