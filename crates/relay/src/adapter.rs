//! What a platform speaks, as plain functions.

use std::net::{SocketAddr, SocketAddrV4};
use std::pin::Pin;
use std::sync::Arc;

use bytes::Bytes;
use derive_more::{Display, Error};
use http::Method;
use monsoon_flow::{Catalogue, Heartbeat, PacketInfo, Reset};

use crate::Settings;

/// Who sent a packet, as far as the socket tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A caller, or a process that passes its packet on.
    Caller,
    /// A target, which also returns packets of callers.
    Target,
}

/// Call of a target at its agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetCall {
    /// Heartbeat.
    Heartbeat(Heartbeat),
    /// The target of this identity has ended.
    Ended(String),
    /// A heartbeat that cannot be read; it names no target to use.
    Malformed(String),
    /// Anything else.
    Unknown,
}

/// Result of a read of the store.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreRead<T> {
    /// Revision of the store up to which this is complete.
    pub revision: u64,
    /// Entries or changes, in order.
    pub items: Vec<T>,
}

/// Presence of a named entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationEntry {
    /// Name.
    pub data_centre: String,
    /// Whether the entry exists.
    pub is_evacuated: bool,
    /// Revision of its last change.
    pub revision: u64,
}

/// A read of the store failed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum StoreError {
    /// The store did not answer or turned the call away.
    #[display("the store gave no answer ({reason}); it is asked again")]
    Unavailable {
        /// What happened.
        reason: String,
    },
    /// The changes since the revision are no longer kept.
    #[display("the store no longer keeps these changes; the whole list is read again")]
    Gone,
    /// The answer cannot be read.
    #[display("the answer of the store is malformed ({reason}); check the platform's version")]
    Malformed {
        /// What is wrong.
        reason: String,
    },
}

/// Future of a call to the store.
pub type StoreFuture<T> = Pin<Box<dyn Future<Output = Result<T, StoreError>> + Send>>;

/// Reads and writes of the store. `after` is a revision; without one the whole list is read.
#[derive(Clone, Copy, Debug)]
pub struct StoreClient {
    /// Configurations, the newest last.
    pub read_catalogue: fn(SocketAddr, Option<u64>) -> StoreFuture<StoreRead<Catalogue>>,
    /// Data centres taken out.
    pub read_evacuations: fn(SocketAddr, Option<u64>) -> StoreFuture<StoreRead<EvacuationEntry>>,
    /// Membership addresses of balancers; may be old.
    pub list_balancers: fn(SocketAddr) -> StoreFuture<Vec<SocketAddr>>,
    /// Records the membership address of the balancer on an instance.
    pub register_balancer: fn(SocketAddr, String, SocketAddrV4) -> StoreFuture<()>,
}

/// Functions of one platform.
#[derive(Clone)]
pub struct Adapter {
    /// PacketInfo of a packet, `None` when it is none.
    pub decode_packet: fn(&[u8], Origin) -> Option<PacketInfo>,
    /// Removes marks that the platform leaves on a returned packet.
    pub restore_packet: fn(&mut [u8]),
    /// Reset to a caller.
    pub encode_reset: fn(&Reset) -> Bytes,
    /// Call of a target.
    pub parse_call: fn(&Method, &str, &[u8]) -> TargetCall,
    /// Store.
    pub store_client: StoreClient,
    /// Reads the settings file again; `None` while it is unchanged.
    pub reload_settings: Arc<dyn Fn() -> Option<Settings> + Send + Sync>,
}

impl std::fmt::Debug for Adapter {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Adapter").finish_non_exhaustive()
    }
}
