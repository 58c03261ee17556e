//! First byte and tag that envelopes and control datagrams have in common.

use ring::hmac;
use subtle::ConstantTimeEq;

use crate::keys::PhaseKeys;
use crate::{Keyring, WireError};

/// Version of the formats; incremented by a change of any layout.
pub(crate) const VERSION: u8 = 1;

/// Length of a tag in bytes. 128 bits are enough to prevent forgery and save 16 bytes per packet.
pub(crate) const TAG_LEN: usize = 16;

const PHASE_BITS: u32 = 3;
const PHASE_MASK: u8 = (1 << PHASE_BITS) - 1;

/// First byte of a datagram: format version (5 bits) and key phase (3 bits).
pub(crate) fn first_byte(phase: u8) -> u8 {
    debug_assert!(
        phase <= PHASE_MASK,
        "phase {phase} needs more than {PHASE_BITS} bits"
    );
    VERSION << PHASE_BITS | phase
}

/// Keys for the version and phase in a datagram's first byte.
pub(crate) fn keys_for(keys: &Keyring, first: u8) -> Result<&PhaseKeys, WireError> {
    let version = first >> PHASE_BITS;
    if version != VERSION {
        return Err(WireError::Version { found: version });
    }
    let phase = first & PHASE_MASK;
    keys.of_phase(phase)
        .ok_or(WireError::Phase { found: phase })
}

/// Truncated HMAC-SHA256 of the prefix and the body.
pub(crate) fn tag(key: &hmac::Key, prefix: &[u8], body: &[u8]) -> [u8; TAG_LEN] {
    let mut context = hmac::Context::with_key(key);
    context.update(prefix);
    context.update(body);
    let full = context.sign();
    let mut truncated = [0; TAG_LEN];
    truncated.copy_from_slice(&full.as_ref()[..TAG_LEN]);
    truncated
}

/// Verifies a tag in constant time.
pub(crate) fn verify(
    key: &hmac::Key,
    prefix: &[u8],
    body: &[u8],
    received: &[u8; TAG_LEN],
) -> Result<(), WireError> {
    let expected = tag(key, prefix, body);
    if bool::from(expected.ct_eq(received)) {
        Ok(())
    } else {
        Err(WireError::Tag)
    }
}
