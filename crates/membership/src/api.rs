//! Events and actions of the nodes.

use std::net::SocketAddr;

use monsoon_model::Versions;

use crate::{Member, Message, State};

/// What the process knows about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LocalState {
    /// Whether the process takes work.
    pub state: State,
    /// Percent of the concurrency limit in use.
    pub load: u16,
    /// Concurrent requests when warm.
    pub slots: u16,
    /// Configuration in force.
    pub versions: Versions,
}

/// Input of a node.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A control message arrived.
    Message {
        /// Sender's control address.
        from: SocketAddr,
        /// The message.
        message: Message,
    },
    /// The process's own state changed.
    Local(LocalState),
    /// The process is about to end. The node announces it and takes no further part.
    Leave,
}

/// Output of a node.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a control message.
    Send {
        /// Receiver's control address.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// The set or the weights of live members changed; rebuild the routing tables.
    MembersChanged,
    /// A member was declared dead.
    MemberDied(Member),
    /// A peer has a newer configuration; fetch it.
    FetchConfiguration {
        /// Peer's tonic address.
        peer: SocketAddr,
        /// Versions that the peer has in force.
        versions: Versions,
    },
}
