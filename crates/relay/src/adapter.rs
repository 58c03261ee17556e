//! Interface to a platform: the functions that translate its packets, heartbeats, settings and
//! store into the types of this crate and of `monsoon-flow`.

use std::collections::BTreeSet;
use std::net::{SocketAddr, SocketAddrV4};
use std::pin::Pin;
use std::sync::Arc;

use bytes::Bytes;
use derive_more::{Display, Error};
use http::Method;
use monsoon_flow::{Catalogue, Heartbeat, PacketInfo, Reset};
use monsoon_model::Number;

use crate::Settings;

/// Who sent a packet, judged by the socket that received it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A caller, or a process that forwards a caller's packet.
    Caller,
    /// A target, which also returns packets of callers.
    Target,
}

/// HTTP request from a target to its agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetCall {
    /// Heartbeat of a target.
    Heartbeat(Heartbeat),
    /// The target of this identity has ended.
    Ended(String),
    /// A heartbeat that cannot be parsed, with the reason. It must not affect any target.
    Malformed(String),
    /// Any other request.
    Unknown,
}

/// Result of reading a list or its changes from the store.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreRead<T> {
    /// Era of the store; `None` when the response states none.
    pub era: Option<u64>,
    /// Revision of the store up to which `items` is complete.
    pub revision: Number,
    /// Entries or changes, in order.
    pub items: Vec<T>,
    /// Entries that cannot be used, for example those of another writer.
    pub rejected: Vec<RejectedEntry>,
    /// Whether further entries follow that were not read, because the list has too many pages.
    pub is_partial: bool,
}

impl<T> StoreRead<T> {
    /// Result without entries.
    pub fn new(era: Option<u64>, revision: Number) -> Self {
        Self {
            era,
            revision,
            items: Vec::new(),
            rejected: Vec::new(),
            is_partial: false,
        }
    }

    /// Adds an entry, or the reason why it cannot be used.
    pub fn push(&mut self, entry: Result<T, RejectedEntry>) {
        match entry {
            Ok(item) => self.items.push(item),
            Err(rejected) => self.rejected.push(rejected),
        }
    }
}

/// Entry of the store that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RejectedEntry {
    /// Name, if it can be read.
    pub name: Option<String>,
    /// What is wrong with the entry.
    pub reason: String,
}

/// Whether a data centre is evacuated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationEntry {
    /// Name of the data centre.
    pub data_centre: String,
    /// Whether the data centre is taken out of service.
    pub is_evacuated: bool,
    /// Revision of its last change.
    pub revision: Number,
}

/// Agents that may own flows, as the store keeps them across restarts of all processes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AgentRegistry {
    /// Era of the store when it was read or written; `None` when the response stated none.
    pub era: Option<u64>,
    /// Revision of the last change; `None` when the registry does not exist.
    pub revision: Option<Number>,
    /// Frame addresses.
    pub agents: BTreeSet<SocketAddrV4>,
}

/// Result of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreWrite {
    /// Era of the store; `None` when the response states none.
    pub era: Option<u64>,
    /// Revision of the written object.
    pub revision: Number,
}

/// A call to the store failed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum StoreError {
    /// The store did not answer or refused the call.
    #[display("the store did not answer ({reason}); the call is retried")]
    Unavailable {
        /// Status of the response, or error of the connection.
        reason: String,
    },
    /// The store has discarded the changes since the revision.
    #[display("the store has discarded these changes; the whole list is read again")]
    Gone,
    /// The object or its kind does not exist.
    #[display("the store has no such object; check its name")]
    NotFound,
    /// The object exists already, or has changed since it was read.
    #[display("the object exists already or has changed; read it again")]
    Conflict,
    /// The response exceeds the limit of the client.
    #[display("the response has more than {limit} bytes; remove large entries from the store")]
    TooLarge {
        /// Limit in bytes.
        limit: usize,
    },
    /// The response cannot be parsed.
    #[display("the response of the store is malformed ({reason}); check the platform's version")]
    Malformed {
        /// Error of the parser, or unexpected status.
        reason: String,
    },
}

/// Future of a call to the store.
pub type StoreFuture<T> = Pin<Box<dyn Future<Output = Result<T, StoreError>> + Send>>;

/// What a read of a list returns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadFrom {
    /// The whole list, as it is now.
    List,
    /// The whole list, as it is now or was some seconds ago. Costs the store less.
    StaleList,
    /// The changes after a revision.
    Changes {
        /// Revision up to which the changes are known.
        after: Number,
        /// Time for which the store waits for a change.
        wait: std::time::Duration,
    },
}

/// Reads and writes of the store at an address.
#[derive(Clone, Copy, Debug)]
pub struct StoreClient {
    /// Reads the configurations, the newest last.
    pub read_catalogue: fn(SocketAddr, ReadFrom) -> StoreFuture<StoreRead<Catalogue>>,
    /// Reads which data centres are evacuated.
    pub read_evacuations: fn(SocketAddr, ReadFrom) -> StoreFuture<StoreRead<EvacuationEntry>>,
    /// Lists the membership addresses of balancers. Some may be outdated.
    pub list_balancers: fn(SocketAddr) -> StoreFuture<StoreRead<SocketAddr>>,
    /// Reads the registry of agents.
    pub read_agents: fn(SocketAddr) -> StoreFuture<AgentRegistry>,
    /// Replaces the registry of agents, unless it has changed since the revision.
    pub write_agents: fn(SocketAddr, AgentRegistry) -> StoreFuture<StoreWrite>,
    /// Records the membership address of the balancer on the named instance.
    pub register_balancer: fn(SocketAddr, String, SocketAddrV4) -> StoreFuture<()>,
}

/// Functions that translate the formats of one platform.
#[derive(Clone)]
pub struct Adapter {
    /// Reads the head of a packet; `None` when it is malformed.
    pub decode_packet: fn(&[u8], Origin) -> Option<PacketInfo>,
    /// Removes the marks that the platform leaves on a packet returned by a target.
    pub restore_packet: fn(&mut [u8]),
    /// Encodes a reset to a caller.
    pub encode_reset: fn(&Reset) -> Bytes,
    /// Parses a target's request from its method, path and body.
    pub parse_call: fn(&Method, &str, &[u8]) -> TargetCall,
    /// Calls to the platform's store.
    pub store_client: StoreClient,
    /// Reads the settings file again; `None` when it is unchanged or invalid.
    pub reload_settings: Arc<dyn Fn() -> Option<Settings> + Send + Sync>,
}

impl std::fmt::Debug for Adapter {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Adapter").finish_non_exhaustive()
    }
}
