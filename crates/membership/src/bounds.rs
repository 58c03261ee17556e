//! Constants of the protocol: intervals, timeouts and limits.

use std::net::SocketAddr;

use monsoon_model::Duration;

/// Interval of announcements.
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval of announcements of a node that knows no balancer yet.
pub const START_INTERVAL: Duration = Duration::from_millis(100);
/// Number of announcements at [`START_INTERVAL`]. Later ones follow at [`ANNOUNCE_INTERVAL`], so
/// that the seeds of a large deployment are not overloaded when all of it starts at once.
pub const START_ANNOUNCEMENTS: u64 = 6;
/// Interval of gossip rounds.
pub const GOSSIP_INTERVAL: Duration = Duration::from_millis(250);
/// Interval of messages to each other data centre.
pub const REMOTE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval of bucket digests to one balancer of the same data centre.
pub const DIGEST_INTERVAL: Duration = Duration::from_secs(2);
/// Interval of bucket digests of a balancer that catches up after a start or a suspension.
pub const CATCH_UP_INTERVAL: Duration = Duration::from_millis(200);
/// Time by which a balancer must have followed the members for longer than another one, so that the
/// other may rely on its table. An agent whose balancers are all gone needs
/// [`SUSPECT_TIMEOUT`] to notice, and may have been suspended meanwhile.
pub const SENIORITY: Duration = Duration::from_secs(5);
/// Longest time after a start or a suspension in which a balancer sends digests at
/// [`CATCH_UP_INTERVAL`].
pub const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(30);
/// Time after a start or a suspension from which a balancer sends its lists although it may not
/// have caught up. Long enough for several digests, and short compared with the start of a target.
pub const LIST_DELAY: Duration = Duration::from_secs(3);
/// Interval of timer checks. Adds to every detection time, so it is small compared with the limit
/// of 3 s.
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Time without an announcement after which a watcher suspects a member: four announcements.
pub const SUSPECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which a watcher repeats a vote. A lost vote delays the detection by this time,
/// within the limit of 3 s.
pub const VOTE_INTERVAL: Duration = Duration::from_millis(200);
/// Age at which a vote no longer counts.
pub const VOTE_TTL: Duration = Duration::from_secs(1);
/// Time without any answer to its votes after which a watcher assumes that the other watchers are
/// dead. Three votes and their answers fit into it, and the detection stays within the limit of 3
/// s.
pub const SOLE_WATCHER_TIMEOUT: Duration = Duration::from_millis(600);
/// Interval of probes to a member that another watcher suspects.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a probed member that did not answer is suspected: three probes.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Time without any message after which a balancer assumes that it is disconnected.
pub const CONNECTED_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two events after which a node assumes that its process was suspended. Its timers
/// would then measure its own suspension instead of the silence of others, so they restart.
pub const SUSPENSION_GAP: Duration = Duration::from_secs(1);
/// Time without an acknowledgement from another data centre after which its members leave the
/// routing tables.
pub const REMOTE_TIMEOUT: Duration = Duration::from_secs(2);
/// Shortest time between the first new acknowledgement of a hidden data centre and its return to
/// the routing tables. Meanwhile every balancer compares its members with one there, so that
/// members that died during a partition do not reappear.
pub const MIN_RETURN_DELAY: Duration = Duration::from_secs(1);
/// Longest time between the first new acknowledgement and the return. After it the data centre
/// returns although no comparison was equal.
pub const MAX_RETURN_DELAY: Duration = Duration::from_secs(4);
/// Time without an acknowledgement from another data centre after which balancers that are not
/// speakers send to it, and to balancers there that are not speakers. Covers the loss of both
/// speakers before [`REMOTE_TIMEOUT`] expires. Longer than [`REMOTE_INTERVAL`] and the gossip that
/// spreads the acknowledgement.
pub const FALLBACK_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Lifetime of entries of departed members. Long enough that a partition of one hour does not bring
/// back members that died meanwhile.
pub const TOMBSTONE_TTL: Duration = Duration::from_secs(2 * 3600);
/// Time during which departed members are reported for the claim ranking (the claim window).
pub const DEPARTED_TTL: Duration = Duration::from_secs(120);
/// Age at which a sampled load is no longer used.
pub const SAMPLE_TTL: Duration = Duration::from_secs(5);
/// Interval of requests for lists in the long run. While a whole data centre starts, every new
/// balancer changes the lists, and each answer takes several datagrams.
pub const REQUEST_COST: Duration = Duration::from_secs(1);
/// Requests for lists that may come before [`REQUEST_COST`] limits their rate, in units of
/// [`REQUEST_COST`]. A lost rack changes the lists a few times in a row.
pub const REQUEST_BURST: u32 = 4;
/// Shortest interval of requests for a list or a configuration.
pub const REQUEST_INTERVAL: Duration = Duration::from_millis(200);

/// Watchers of a member: the balancers that it announces itself to.
pub const WATCHERS: usize = 3;
/// Speakers of a data centre: the balancers that exchange messages with other data centres.
pub const SPEAKERS: usize = 2;
/// Balancers that receive one gossip round.
pub const GOSSIP_FANOUT: usize = 3;
/// Gossip rounds that carry a change.
pub const CHANGE_ROUNDS: u8 = 4;
/// Gossip rounds that carry a load. Loads are refreshed often, so a lost one needs no repair.
pub const LOAD_ROUNDS: u8 = 2;
/// Buckets of a digest.
pub const BUCKETS: usize = 64;
/// Pages of entries sent in response to one digest. The rest follows with the next digest.
pub const MAX_RESPONSE_PAGES: usize = 8;
/// Members probed at the same time. At the limit a vote starts no probe.
pub const MAX_PROBES: usize = 1_024;
/// Pages of entries sent in response to all digests in a second. Keeps the seeds of a starting data
/// centre responsive; a balancer without a response asks another one.
pub const RESPONSE_PAGES_PER_SECOND: usize = 40;
/// Targets in the load sample of a reply.
pub const LOAD_SAMPLES: usize = 4;
/// Load records in one gossip message. Bounds the load traffic whatever the number of members.
pub const LOADS_PER_MESSAGE: usize = 10;
/// Change of load that is gossiped, in percentage points.
pub const LOAD_STEP: u16 = 10;
/// Queued load records. At the limit a new record is dropped; a later announcement queues it again.
pub const MAX_LOADS: usize = 1_024;
/// Queued changes. At the limit a change is dropped; digests repair it.
pub const MAX_CHANGES: usize = 8_192;
/// Entries of the member table, tombstones included. At the limit new members are rejected.
pub const MAX_MEMBERS: usize = 16_384;
/// Members of one service that an agent keeps. At the limit the rest is ignored.
pub const MAX_SERVICE_MEMBERS: usize = 4_096;
/// Other data centres known to a node. At the limit further ones are ignored. Their heartbeats take
/// less than half of a message.
pub const MAX_DATA_CENTRES: usize = 16;
/// Seeds that a node keeps. At the limit a new one replaces the oldest.
pub const MAX_SEEDS: usize = 64;
/// Seeds that an agent announces to until it has a list of balancers. Bounds the messages of an
/// agent at the start of a large deployment.
pub const START_SEEDS: usize = 16;
/// Largest encoded message, in bytes. A control datagram has 1,200 bytes with its envelope.
pub const MAX_MESSAGE: usize = 1_150;
/// Bytes of a message reserved for the header and for length fields.
pub const HEADER_ROOM: usize = 75;
/// UDP, IP and control envelope around each message, in bytes.
pub const DATAGRAM_OVERHEAD: usize = 46;

/// Decides when a silent member is declared dead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rule {
    /// Watchers that each member announces to.
    pub watchers: usize,
    /// Watchers that must suspect a member before it is declared dead.
    pub quorum: usize,
    /// Whether a suspected member is probed and may answer before it is declared dead.
    pub probe_first: bool,
}

impl Rule {
    /// Two of three watchers, after the member was probed.
    pub const DEFAULT: Self = Self {
        watchers: WATCHERS,
        quorum: 2,
        probe_first: true,
    };
}

/// Adds seeds that are not known yet; at [`MAX_SEEDS`] each replaces the oldest.
pub(crate) fn add_seeds(seeds: &mut Vec<SocketAddr>, found: impl IntoIterator<Item = SocketAddr>) {
    for seed in found {
        if seeds.contains(&seed) {
            continue;
        }
        if seeds.len() >= MAX_SEEDS {
            seeds.remove(0);
        }
        seeds.push(seed);
    }
}
