//! Events that a node takes and actions that it returns.

use std::net::SocketAddr;

use monsoon_model::Versions;

use crate::{Member, Message, State};

/// What the process knows about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LocalState {
    /// Whether the process takes new work.
    pub state: State,
    /// Percent of the concurrency limit in use.
    pub load: u16,
    /// Concurrent requests when warm, or another weight of the target; 0 without a target.
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
    /// The state of this process changed.
    Local(LocalState),
    /// The process is about to end. The node announces it and ignores later events.
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
    /// The set, the states or the slots of live members changed; rebuild the routing tables.
    MembersChanged,
    /// A member was declared dead.
    MemberDied(Member),
    /// Another member has a newer configuration; fetch it there.
    FetchConfiguration {
        /// The member's tonic address.
        peer: SocketAddr,
        /// Versions that the member has in force.
        versions: Versions,
    },
}
