//! Messages from other tasks to the task that owns the state.

use std::collections::BTreeSet;
use std::sync::Arc;

use bytes::Bytes;
use monsoon_flow::{Catalogue, Evacuations, Heartbeat};
use monsoon_model::{Number, Versions};
use tokio::sync::{mpsc, oneshot};

use crate::http::Reply;
use crate::{AgentRegistry, RejectedEntry, Settings, StoreError};

/// Messages that the queue holds; when it is full, senders wait.
pub(crate) const QUEUE_LENGTH: usize = 64;

/// Sending end of the queue.
pub(crate) type MessageSender = mpsc::Sender<Message>;

/// Object of the store that is watched. The names of the variants appear in log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StoreObject {
    /// Configuration of routes and services.
    Catalogue,
    /// Evacuated data centres.
    Places,
}

impl StoreObject {
    /// Name in log lines and metrics about rejected entries.
    pub(crate) const fn kind(self) -> &'static str {
        match self {
            Self::Catalogue => "config",
            Self::Places => "evacuations",
        }
    }
}

/// State of the store up to which an object was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Position {
    /// Era of the store.
    pub era: u64,
    /// Revision within the era.
    pub revision: Number,
}

/// Whole list of the store, as it was at the time of the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct List {
    /// Revision of the store.
    pub revision: Number,
    /// Whether all its entries could be read.
    pub is_complete: bool,
}

/// Part of the configuration as the store or a peer has it.
#[derive(Debug)]
pub(crate) enum Update {
    /// Configuration of a peer.
    Catalogue(Arc<Catalogue>),
    /// Newest usable configuration of a response of the store in this era, if there is one.
    StoreCatalogue(u64, Option<Arc<Catalogue>>),
    /// Evacuated data centres, as a peer knows them.
    Evacuations(Evacuations),
    /// Evacuated data centres after a change in the store of the entries of these names.
    ChangedEvacuations(Evacuations, BTreeSet<String>),
    /// Evacuated data centres, as the store listed them.
    ListedEvacuations(Evacuations, List),
}

/// Message to the task that owns the state.
#[derive(Debug)]
pub(crate) enum Message {
    /// Part of the configuration, from the store or a peer.
    Update(Update),
    /// An object was read up to its newest state in this generation.
    ObjectRead(StoreObject, u64, Position),
    /// A checked configuration was fetched from a peer in this generation.
    PeerRead(u64),
    /// Entries of this kind cannot be used.
    Rejected(&'static str, Vec<RejectedEntry>),
    /// A read of an object failed.
    ReadFailed(StoreObject),
    /// Membership addresses of balancers, from the store.
    Balancers(Vec<std::net::SocketAddr>),
    /// Registry of agents, as it was read from the store.
    Registry(AgentRegistry),
    /// Outcome of a write of the registry: its contents from now on.
    RegistryWritten(Result<AgentRegistry, StoreError>),
    /// Heartbeat of the target; the reply says that it has taken effect.
    Heartbeat(Heartbeat, oneshot::Sender<()>),
    /// The target of this identity has ended; the reply says that this has taken effect.
    TargetEnded(String, oneshot::Sender<()>),
    /// The target's address refused a connection.
    TargetAbsent,
    /// Requests the parts of the configuration that are newer than these versions, encoded.
    Configuration(Versions, oneshot::Sender<Bytes>),
    /// Requests the answer to this query of `/explain`.
    Explain(String, oneshot::Sender<Reply>),
    /// Requests the metrics as text.
    Metrics(oneshot::Sender<String>),
    /// Requests whether the process takes new flows.
    Readiness(oneshot::Sender<bool>),
    /// The settings file has changed.
    Settings(Box<Settings>),
    /// A signal asked the process to stop.
    Stop,
}
