//! Messages from other tasks to the one that owns the state.

use std::sync::Arc;

use bytes::Bytes;
use monsoon_flow::{Catalogue, Evacuations, Heartbeat};
use monsoon_model::Versions;
use tokio::sync::{mpsc, oneshot};

use crate::Settings;

/// Messages that wait at most; a sender waits for room.
pub(crate) const QUEUE_LENGTH: usize = 64;

/// Sender of messages.
pub(crate) type MessageSender = mpsc::Sender<Message>;

/// Which object of the store a read was for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StoreObject {
    /// Configuration.
    Catalogue,
    /// Data centres taken out.
    Places,
}

/// Message to the owner of the state.
#[derive(Debug)]
pub(crate) enum Message {
    /// Newest configuration.
    Catalogue(Arc<Catalogue>),
    /// Data centres taken out, as a peer knows them.
    Places(Evacuations),
    /// Data centres taken out, as the store listed them at this revision.
    ListedEvacuations(Evacuations, u64),
    /// The newest state of an object was read in this generation.
    ObjectRead(StoreObject, u64),
    /// A peer with a checked configuration was read in this generation.
    PeerRead(u64),
    /// Reads of an object fail.
    ReadFailed(StoreObject),
    /// Membership addresses of balancers.
    Balancers(Vec<std::net::SocketAddr>),
    /// Heartbeat of the target, answered once it counts.
    Heartbeat(Heartbeat, oneshot::Sender<()>),
    /// The target has ended.
    TargetEnded(String, oneshot::Sender<()>),
    /// Nothing listens at the target's address.
    TargetAbsent,
    /// Asks for the configuration in force, as far as it is newer than these versions.
    Configuration(Versions, oneshot::Sender<Bytes>),
    /// Asks for the metrics.
    Metrics(oneshot::Sender<String>),
    /// Asks whether the process takes new flows.
    Readiness(oneshot::Sender<bool>),
    /// Settings changed.
    Settings(Box<Settings>),
    /// Stop.
    Stop,
}
