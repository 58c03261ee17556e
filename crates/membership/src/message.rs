//! Control messages between members, and their split into pages that fit into a datagram.

use std::net::SocketAddr;

use monsoon_model::{AgentId, DataCentreId, ExactVersions, Versions};
use serde::{Deserialize, Serialize};

use crate::bounds::{HEADER_ROOM, MAX_MESSAGE};
use crate::heartbeats::Heartbeat;
use crate::{BalancerInfo, Entry, Member, State, TargetInfo};

/// Header of every message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Sender.
    pub id: AgentId,
    /// The sender's tonic address.
    pub peer: SocketAddr,
    /// Versions of the configuration that the sender has in force.
    pub versions: Versions,
}

/// One control message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Header.
    pub header: Header,
    /// Contents.
    pub body: Body,
}

/// Load of a target, as a reply carries it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// The target's agent.
    pub id: AgentId,
    /// Percent of the concurrency limit in use.
    pub load: u16,
    /// Whether the target takes new work.
    pub state: State,
}

/// Load of an agent, as gossip carries it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadRecord {
    /// Agent.
    pub id: AgentId,
    /// Sequence of the announcement that carried the load.
    pub sequence: u64,
    /// Percent of the concurrency limit in use.
    pub load: u16,
}

/// Contents of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// A member announces itself to a watcher.
    Announce {
        /// The member.
        member: Member,
        /// Whether the member is about to end.
        leaving: bool,
    },
    /// A watcher answers an announcement.
    Reply {
        /// Incarnation of the receiver that was declared dead, which it must refute.
        dead_incarnation: Option<u64>,
        /// Hash of the live balancers of the data centre.
        balancers_hash: u32,
        /// Hash of the live members of the receiver's service.
        service_hash: u32,
        /// Loads of other targets of the receiver's service.
        samples: Vec<Sample>,
    },
    /// An agent requests the lists whose hashes differ from its own.
    ListRequest {
        /// Whether it requests the live balancers.
        wants_balancers: bool,
        /// Whether it requests the members of its service.
        wants_service: bool,
    },
    /// A page of the live balancers of the data centre.
    Balancers {
        /// Hash of the whole list.
        hash: u32,
        /// Position of this page.
        page: u16,
        /// Number of pages.
        pages: u16,
        /// Balancers on this page.
        list: Vec<BalancerInfo>,
    },
    /// A page of the members of the receiver's service.
    Service {
        /// Hash of the live members.
        hash: u32,
        /// Position of this page.
        page: u16,
        /// Number of pages.
        pages: u16,
        /// Members on this page.
        list: Vec<TargetInfo>,
    },
    /// Changes and loads.
    Gossip {
        /// The sender's data centre.
        data_centre: DataCentreId,
        /// Heartbeats of all data centres.
        heartbeats: Vec<Heartbeat>,
        /// Changed entries.
        entries: Vec<Entry>,
        /// Changed loads.
        loads: Vec<LoadRecord>,
    },
    /// Answer to gossip from another data centre.
    Heartbeats {
        /// The sender's data centre.
        data_centre: DataCentreId,
        /// Heartbeats of all data centres.
        heartbeats: Vec<Heartbeat>,
    },
    /// Hash of each bucket of the sender's table.
    Digest {
        /// Whether this answers another digest; a response is not answered with a digest.
        is_response: bool,
        /// Data centre whose members are compared; `None` compares all.
        scope: Option<DataCentreId>,
        /// Whole seconds for which the sender has followed the members.
        followed_s: u32,
        /// Hashes, one per bucket.
        buckets: Vec<u32>,
    },
    /// Entries of buckets whose hashes differ.
    Entries {
        /// The entries.
        entries: Vec<Entry>,
    },
    /// A watcher suspects a member.
    Suspect {
        /// Member.
        id: AgentId,
        /// Last known incarnation.
        incarnation: u64,
        /// Control address of the member, because the receiver may not know the member yet.
        control: SocketAddr,
    },
    /// Requests that the receiver announces itself to the sender.
    Probe,
    /// Answers a suspicion: the member announced itself recently.
    RecentAnnouncement {
        /// Member.
        id: AgentId,
        /// Incarnation in that announcement.
        incarnation: u64,
        /// Time since the announcement, in milliseconds.
        age_ms: u32,
    },
    /// The sender has a newer configuration in force; the versions are in the header.
    ConfigurationNotice,
}

impl Message {
    /// Encodes a message for a datagram without an envelope. Versions that cannot be packed follow
    /// the message. Former releases ignore them, and read the packed ones.
    pub fn encode(&self) -> Vec<u8> {
        // Every value of a message can be serialized, so that this does not fail.
        let datagram = postcard::to_stdvec(self).unwrap_or_default();
        if self.header.versions.are_packable() {
            return datagram;
        }
        let exact = ExactVersions(self.header.versions);
        postcard::to_extend(&exact, datagram).unwrap_or_default()
    }

    /// Decodes a datagram of [`Message::encode`]; `None` when it holds no message.
    pub fn decode(datagram: &[u8]) -> Option<Self> {
        let (mut message, rest) = postcard::take_from_bytes::<Self>(datagram).ok()?;
        if !rest.is_empty() {
            let ExactVersions(versions) = postcard::from_bytes(rest).ok()?;
            message.header.versions = versions;
        }
        Some(message)
    }
}

/// Encoded size, in bytes. Every value of a message can be serialized, so encoding cannot fail.
pub(crate) fn size(value: &impl Serialize) -> usize {
    postcard::experimental::serialized_size(value).unwrap_or(usize::MAX)
}

/// Room for the items of a message that also carries `rest`, in bytes.
pub(crate) fn room(rest: &impl Serialize) -> usize {
    MAX_MESSAGE.saturating_sub(HEADER_ROOM + size(rest))
}

/// Splits `items` into pages of at most `room` bytes.
pub(crate) fn pages<T: Serialize>(room: usize, items: impl IntoIterator<Item = T>) -> Vec<Vec<T>> {
    let mut pages = vec![Vec::new()];
    let mut used = 0;
    for item in items {
        let bytes = size(&item);
        debug_assert!(bytes <= room, "an item fits into a page");
        if used + bytes > room {
            pages.push(Vec::new());
            used = 0;
        }
        used += bytes;
        if let Some(page) = pages.last_mut() {
            page.push(item);
        }
    }
    pages
}
