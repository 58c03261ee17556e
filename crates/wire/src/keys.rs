//! Secrets and the keys derived from them.
//!
//! A key file holds the secret of the current phase and optionally those of the phases before and
//! after it. All loaded phases verify, only the current one signs. Each use has its own key,
//! derived from the phase's secret, so that a value made for one use never verifies in another.
//!
//! A process that lacks a phase rejects what is signed with it. A rotation therefore loads the new
//! secret as `next` on every instance before the first one signs with it; without this step,
//! instances with different current phases can't exchange datagrams in both directions until every
//! instance has loaded the new file.
//!
//! An agent keeps one keyring for the lifetime of its QUIC endpoint, because the endpoint derives
//! all reset tokens from the one key it was built with. Connection IDs and tokens of an agent then
//! belong to the same phase, and [`crate::stateless_reset`] finds the matching key by the phase
//! byte of the ID. An endpoint that replaced its keyring while it runs would issue new IDs with
//! tokens of the older phase; a caller doesn't recognise resets for these and waits for its idle
//! timeout. An agent restarted under a newer phase can't have flows with IDs of the older one, so
//! it answers such packets with [`crate::stateless_reset`] and doesn't give them to its endpoint,
//! whose own resets would carry tokens of the newer phase.

use std::fmt;

use aes::Aes128;
use aes::cipher::{KeyInit, generic_array::GenericArray};
use derive_more::{Display, Error};
use ring::hmac;
use serde::Deserialize;

/// Number of key phases; the phase after the last one is 0.
pub const PHASES: u8 = 8;

/// Length of a secret in bytes.
const SECRET_LEN: usize = 32;

/// Key file as operators write it.
#[derive(Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawKeys {
    /// Phase of the current secret, 0 to 7.
    pub phase: u8,
    /// Secret that signs and verifies, 64 hex digits.
    pub current: String,
    /// Secret of the phase before it, which only verifies, 64 hex digits.
    #[serde(default)]
    pub previous: Option<String>,
    /// Secret of the phase after it, which only verifies, 64 hex digits. Every instance must hold
    /// it before the first one signs with it.
    #[serde(default)]
    pub next: Option<String>,
}

impl fmt::Debug for RawKeys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RawKeys")
            .field("phase", &self.phase)
            .finish_non_exhaustive()
    }
}

/// Fault in a key file.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[non_exhaustive]
pub enum KeysError {
    /// The phase is out of range.
    #[display("key phase {found} is out of range; use 0 to 7")]
    Phase {
        /// Phase in the file.
        found: u8,
    },
    /// The current secret is not a 32-byte hex string.
    #[display("secret `current` is invalid; use 64 hex digits")]
    Current,
    /// The previous secret is not a 32-byte hex string.
    #[display("secret `previous` is invalid; use 64 hex digits or leave it out")]
    Previous,
    /// The next secret is not a 32-byte hex string.
    #[display("secret `next` is invalid; use 64 hex digits or leave it out")]
    Next,
    /// Two secrets are the same.
    #[display("two secrets are equal; generate each anew")]
    Equal,
}

/// Keys of one phase.
pub(crate) struct PhaseKeys {
    pub(crate) phase: u8,
    pub(crate) cid: Aes128,
    pub(crate) envelope: hmac::Key,
    pub(crate) control: hmac::Key,
    pub(crate) flow: hmac::Key,
    pub(crate) reset: hmac::Key,
}

impl PhaseKeys {
    /// Derives the keys with HMAC-SHA256 as the pseudorandom function. The secret has full length,
    /// so no extraction step is needed.
    fn derive(phase: u8, secret: &[u8; SECRET_LEN]) -> Self {
        let root = hmac::Key::new(hmac::HMAC_SHA256, secret);
        let derive = |label: &str| hmac::sign(&root, label.as_bytes());
        let hmac_key = |label| hmac::Key::new(hmac::HMAC_SHA256, derive(label).as_ref());
        let cid_key = derive("monsoonrouter connection id");
        Self {
            phase,
            cid: Aes128::new(GenericArray::from_slice(&cid_key.as_ref()[..16])),
            envelope: hmac_key("monsoonrouter envelope"),
            control: hmac_key("monsoonrouter control"),
            flow: hmac_key("monsoonrouter flow key"),
            reset: hmac_key("monsoonrouter stateless reset"),
        }
    }
}

/// Keys of the current phase and, if loaded, of the phases before and after it.
pub struct Keyring {
    current: PhaseKeys,
    /// Keys of the other phases, which only verify.
    others: Vec<PhaseKeys>,
}

impl Keyring {
    /// Key for the stateless reset tokens of the endpoint that issues connection IDs of the
    /// current phase.
    pub fn reset_key(&self) -> &hmac::Key {
        &self.current.reset
    }

    /// Phase that signs.
    pub fn phase(&self) -> u8 {
        self.current.phase
    }

    pub(crate) fn current(&self) -> &PhaseKeys {
        &self.current
    }

    /// Keys of `phase`, if loaded.
    pub(crate) fn of_phase(&self, phase: u8) -> Option<&PhaseKeys> {
        if phase == self.current.phase {
            return Some(&self.current);
        }
        self.others.iter().find(|keys| keys.phase == phase)
    }
}

impl fmt::Debug for Keyring {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Keyring")
            .field("phase", &self.current.phase)
            .field(
                "others",
                &self
                    .others
                    .iter()
                    .map(|keys| keys.phase)
                    .collect::<Vec<_>>(),
            )
            .finish_non_exhaustive()
    }
}

impl TryFrom<RawKeys> for Keyring {
    type Error = KeysError;

    fn try_from(raw: RawKeys) -> Result<Self, KeysError> {
        if raw.phase >= PHASES {
            return Err(KeysError::Phase { found: raw.phase });
        }
        let current = decode_secret(&raw.current).ok_or(KeysError::Current)?;
        let previous = decode_optional(raw.previous.as_deref(), KeysError::Previous)?;
        let next = decode_optional(raw.next.as_deref(), KeysError::Next)?;
        let repeats_current = previous == Some(current) || next == Some(current);
        if repeats_current || (next.is_some() && next == previous) {
            return Err(KeysError::Equal);
        }
        let before = (raw.phase + PHASES - 1) % PHASES;
        let after = (raw.phase + 1) % PHASES;
        let others = [(before, previous), (after, next)];
        let derive = |(phase, secret): (u8, Option<_>)| Some(PhaseKeys::derive(phase, &secret?));
        Ok(Self {
            current: PhaseKeys::derive(raw.phase, &current),
            others: others.into_iter().filter_map(derive).collect(),
        })
    }
}

fn decode_optional(
    text: Option<&str>,
    error: KeysError,
) -> Result<Option<[u8; SECRET_LEN]>, KeysError> {
    text.map(|text| decode_secret(text).ok_or(error))
        .transpose()
}

/// Decodes 64 hex digits; `None` for any other text.
fn decode_secret(text: &str) -> Option<[u8; SECRET_LEN]> {
    let (pairs, rest) = text.as_bytes().as_chunks::<2>();
    if pairs.len() != SECRET_LEN || !rest.is_empty() {
        return None;
    }
    let mut bytes = [0; SECRET_LEN];
    for (byte, pair) in bytes.iter_mut().zip(pairs) {
        *byte = hex_digit(pair[0])? << 4 | hex_digit(pair[1])?;
    }
    Some(bytes)
}

fn hex_digit(byte: u8) -> Option<u8> {
    char::from(byte)
        .to_digit(16)
        .and_then(|value| u8::try_from(value).ok())
}
