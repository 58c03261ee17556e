//! Connection IDs that name the agent of a flow.
//!
//! An ID is the key phase (1 byte) followed by one AES-128 block. The block holds the agent's IPv4
//! address (4 bytes) and port (2), the service number (2), the data centre number (1), a nonce (3)
//! and a check field (4), which is zero before encryption. Changing any bit of the encrypted block
//! changes all of the decrypted block, so a forged ID passes the check once in 2^32 attempts, and
//! it must also name the right service to be forwarded.

use std::net::{Ipv4Addr, SocketAddrV4};

use aes::cipher::{BlockDecrypt, BlockEncrypt, generic_array::GenericArray};
use monsoon_model::{DataCentreId, ServiceId};
use subtle::ConstantTimeEq;

use crate::Keyring;

/// Length of a connection ID in bytes.
pub const CID_LEN: usize = 17;

/// Bits of [`ConnectionId::nonce`] that an ID carries.
pub const NONCE_MASK: u32 = 0x00ff_ffff;

const BLOCK_LEN: usize = 16;

/// Decrypted check field of a valid ID.
const CHECK: [u8; 4] = [0; 4];

/// Decrypted content of a connection ID.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ConnectionId {
    /// Address of the agent's encapsulation socket.
    pub agent: SocketAddrV4,
    /// Service of the flow.
    pub service: ServiceId,
    /// Data centre of the agent.
    pub data_centre: DataCentreId,
    /// Distinguishes the IDs of one agent; only the low 24 bits are sent.
    ///
    /// The high 8 of them are the agent's epoch, and the low 16 count up from a random start, so
    /// that IDs don't repeat while a flow of an earlier process at the same address may still send.
    pub nonce: u32,
}

impl ConnectionId {
    /// Nonce for an ID of an agent with `epoch`; only the low 16 bits of `count` are used.
    pub const fn nonce_of(epoch: u8, count: u32) -> u32 {
        (epoch as u32) << 16 | (count & 0xffff)
    }

    /// Epoch of the agent that issued the ID.
    pub const fn epoch(&self) -> u8 {
        (self.nonce >> 16) as u8
    }

    /// Encrypts the fields under the current key.
    pub fn seal(&self, keys: &Keyring) -> [u8; CID_LEN] {
        let keys = keys.current();
        let mut block = GenericArray::from(self.to_block());
        keys.cid.encrypt_block(&mut block);
        let mut id = [keys.phase; CID_LEN];
        id[1..].copy_from_slice(&block);
        id
    }

    /// Decrypts an ID; `None` unless it was sealed under one of the loaded keys.
    pub fn open(bytes: &[u8], keys: &Keyring) -> Option<Self> {
        let bytes: &[u8; CID_LEN] = bytes.try_into().ok()?;
        let keys = keys.of_phase(bytes[0])?;
        let mut block = GenericArray::clone_from_slice(&bytes[1..]);
        keys.cid.decrypt_block(&mut block);
        Self::from_block(&block.into())
    }

    fn to_block(self) -> [u8; BLOCK_LEN] {
        let mut block = [0; BLOCK_LEN];
        block[..4].copy_from_slice(&self.agent.ip().octets());
        block[4..6].copy_from_slice(&self.agent.port().to_be_bytes());
        block[6..8].copy_from_slice(&self.service.0.to_be_bytes());
        block[8] = self.data_centre.0;
        block[9..12].copy_from_slice(&self.nonce.to_be_bytes()[1..]);
        block[12..].copy_from_slice(&CHECK);
        block
    }

    fn from_block(block: &[u8; BLOCK_LEN]) -> Option<Self> {
        let [
            a,
            b,
            c,
            d,
            p0,
            p1,
            s0,
            s1,
            data_centre,
            n0,
            n1,
            n2,
            check @ ..,
        ] = *block;
        if !bool::from(check.ct_eq(&CHECK)) {
            return None;
        }
        Some(Self {
            agent: SocketAddrV4::new(Ipv4Addr::new(a, b, c, d), u16::from_be_bytes([p0, p1])),
            service: ServiceId(u16::from_be_bytes([s0, s1])),
            data_centre: DataCentreId(data_centre),
            nonce: u32::from_be_bytes([0, n0, n1, n2]),
        })
    }
}
