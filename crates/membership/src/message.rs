//! Control messages.

use std::net::SocketAddr;

use monsoon_model::{AgentId, DataCentreId, Versions};
use serde::{Deserialize, Serialize};

use crate::bounds::{HEADER_ROOM, MAX_MESSAGE};
use crate::heartbeats::Heartbeat;
use crate::{BalancerInfo, Entry, Member, State, TargetInfo};

/// Header of every message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Sender.
    pub id: AgentId,
    /// Sender's tonic address.
    pub peer: SocketAddr,
    /// Configuration that the sender has in force.
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

/// Load of a target in a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// Target's agent.
    pub id: AgentId,
    /// Percent of the concurrency limit in use.
    pub load: u16,
    /// Whether it takes work.
    pub state: State,
}

/// Load of an agent in gossip.
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
        /// The member is about to end.
        leaving: bool,
    },
    /// A watcher answers an announcement.
    Reply {
        /// Incarnation of the receiver that was declared dead, to be refuted.
        dead_incarnation: Option<u64>,
        /// Hash of the live balancers of the data centre.
        balancers_hash: u32,
        /// Hash of the live members of the receiver's service.
        service_hash: u32,
        /// Loads of other targets of the receiver's service.
        samples: Vec<Sample>,
    },
    /// An agent asks for the lists whose hashes differ.
    ListRequest {
        /// Wants the live balancers.
        wants_balancers: bool,
        /// Wants the members of its service.
        wants_service: bool,
    },
    /// Part of the live balancers of the data centre.
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
    /// Part of the members of the receiver's service.
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
        /// Sender's data centre.
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
        /// Sender's data centre.
        data_centre: DataCentreId,
        /// Heartbeats of all data centres.
        heartbeats: Vec<Heartbeat>,
    },
    /// Hash of each bucket of the sender's table.
    Digest {
        /// Whether this answers a digest; an answer is not answered with another digest.
        is_response: bool,
        /// Data centre whose members are compared, `None` for all.
        scope: Option<DataCentreId>,
        /// Live agents in the sender's table.
        agents: u32,
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
        /// Last incarnation heard.
        incarnation: u64,
        /// Control address of the member, which the receiver may not know yet.
        control: SocketAddr,
    },
    /// Asks the receiver to announce itself to the sender.
    Probe,
    /// Another watcher has heard from the suspected member.
    RecentAnnouncement {
        /// Member.
        id: AgentId,
        /// Incarnation heard.
        incarnation: u64,
        /// Time since the announcement, in milliseconds.
        age_ms: u32,
    },
    /// A new configuration is in force; the versions are in the header.
    ConfigurationNotice,
}

/// Encoded size, in bytes. Messages have no unserialisable values, so encoding cannot fail.
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
