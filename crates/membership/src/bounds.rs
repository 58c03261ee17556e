//! Intervals and bounds.

use std::net::SocketAddr;

use monsoon_model::Duration;

/// Interval of announcements.
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval of announcements of a node that knows no balancer yet.
pub const START_INTERVAL: Duration = Duration::from_millis(100);
/// Announcements at that interval; later ones follow at the usual one, so that the seeds of a large
/// deployment that starts at once are not overrun.
pub const START_ANNOUNCEMENTS: u64 = 6;
/// Announcements of a process in its first three seconds: those at the start, the regular ones and
/// some for changes of its state.
pub const MAX_START_SEQUENCE: u64 = 16;
/// Interval of gossip rounds.
pub const GOSSIP_INTERVAL: Duration = Duration::from_millis(250);
/// Interval of contacts with each other data centre.
pub const REMOTE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval of bucket digests to one balancer of the own data centre.
pub const DIGEST_INTERVAL: Duration = Duration::from_secs(2);
/// Interval of bucket digests to one other data centre; also limits catching up after a join.
pub const CATCH_UP_INTERVAL: Duration = Duration::from_millis(200);
/// Longest time after a start or a pause in which a node compares tables at the faster rate.
pub const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(30);
/// Time after a start or a pause from which a node answers with its lists although it may not have
/// caught up: several comparisons of tables, and short against the start of a target.
pub const LIST_DELAY: Duration = Duration::from_secs(3);
/// Interval of timer checks. Adds to every detection time, so it is small against the 3 s bound.
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Silence after which a watcher suspects a member: four announcements.
pub const SUSPECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which a watcher repeats a vote, so that a lost vote costs little of the 3 s bound.
pub const VOTE_INTERVAL: Duration = Duration::from_millis(200);
/// Age at which a vote no longer counts.
pub const VOTE_TTL: Duration = Duration::from_secs(1);
/// Time without any answer to votes after which a watcher takes itself for the only live one. Three
/// votes and their answers fit into it, and the whole stays within the 3 s bound.
pub const SOLE_WATCHER_TIMEOUT: Duration = Duration::from_millis(600);
/// Interval of probes to a member that another watcher suspects.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a probed member that gave no answer is suspected: three probes.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Age of the last message from which on a node doubts that anything reaches it.
pub const CONNECTED_TIMEOUT: Duration = Duration::from_secs(1);
/// Gap between two events after which a node takes itself for frozen and thawed. Its timers then
/// measure its own pause and not the silence of others, so they restart.
pub const SUSPENSION_GAP: Duration = Duration::from_secs(1);
/// Silence of another data centre after which its members leave the tables.
pub const REMOTE_TIMEOUT: Duration = Duration::from_secs(2);
/// Least time between the first new echo of a hidden data centre and its return to the tables.
/// Meanwhile every balancer compares its members with one there, so that members that died during
/// a cut do not show up again.
pub const MIN_RETURN_DELAY: Duration = Duration::from_secs(1);
/// Longest such time; then the data centre returns although no comparison was equal.
pub const MAX_RETURN_DELAY: Duration = Duration::from_secs(4);
/// Silence of another data centre after which any balancers contact each other, not only speakers.
/// Covers the loss of both speakers before [`REMOTE_TIMEOUT`] expires. Longer than a contact interval
/// and the gossip that spreads its echo.
pub const FALLBACK_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Lifetime of dead entries. A cut of one hour must not bring back members that died meanwhile.
pub const TOMBSTONE_TTL: Duration = Duration::from_secs(2 * 3600);
/// Time during which departed members are reported to the claim ranking (the claim window).
pub const DEPARTED_TTL: Duration = Duration::from_secs(120);
/// Age at which a sampled load is no longer used.
pub const SAMPLE_TTL: Duration = Duration::from_secs(5);
/// Interval of requests for lists in the long run. While a whole data centre starts, every balancer
/// changes the lists, and each answer is several datagrams.
pub const REQUEST_COST: Duration = Duration::from_secs(1);
/// Requests for lists that may come before that rate applies, in intervals of [`REQUEST_COST`]. A lost
/// rack changes the lists a few times in a row.
pub const REQUEST_BURST: u32 = 4;
/// Interval at which a node asks again for a list or a configuration.
pub const REQUEST_INTERVAL: Duration = Duration::from_millis(200);

/// Watchers of a member.
pub const WATCHERS: usize = 3;
/// Speakers of a data centre.
pub const SPEAKERS: usize = 2;
/// Balancers that one gossip round reaches.
pub const GOSSIP_FANOUT: usize = 3;
/// Gossip rounds that carry a change.
pub const CHANGE_ROUNDS: u8 = 4;
/// Gossip rounds that carry a load. Loads are refreshed often, so a lost one needs no repair.
pub const LOAD_ROUNDS: u8 = 2;
/// Buckets of a digest.
pub const BUCKETS: usize = 64;
/// Messages sent in answer to one digest. The rest follows with the next digest.
pub const MAX_RESPONSE_PAGES: usize = 8;
/// Members probed at the same time. At the bound the vote that asks for a probe has no effect.
pub const MAX_PROBES: usize = 1_024;
/// Pages sent in answer to all digests in a second. Keeps the seeds of a starting data centre
/// responsive; those that get no answer ask others.
pub const RESPONSE_PAGES_PER_SECOND: usize = 40;
/// Targets in the load sample of a reply.
pub const LOAD_SAMPLES: usize = 4;
/// Load records in one gossip message. Bounds the load traffic whatever the number of members.
pub const LOADS_PER_MESSAGE: usize = 10;
/// Change of load, in percent points, that is worth gossiping.
pub const LOAD_STEP: u16 = 10;
/// Queued load records. At the bound a new record is dropped; a later announcement queues it again.
pub const MAX_LOADS: usize = 1_024;
/// Queued changes. At the bound a change is dropped; digests repair it.
pub const MAX_CHANGES: usize = 8_192;
/// Entries of the table, tombstones included. At the bound new members are refused.
pub const MAX_MEMBERS: usize = 16_384;
/// Members of one service that an agent keeps. At the bound the rest is ignored.
pub const MAX_SERVICE_MEMBERS: usize = 4_096;
/// Other data centres known to a node. At the bound further ones are ignored. Their heartbeats take less
/// than half of a message.
pub const MAX_DATA_CENTRES: usize = 16;
/// Seeds that a node keeps. At the bound the oldest is dropped for a new one.
pub const MAX_SEEDS: usize = 64;
/// Seeds that an agent announces to until it has a list of balancers. Bounds the messages of an
/// agent at the start of a large deployment.
pub const START_SEEDS: usize = 16;
/// Largest encoded message, in bytes. A control datagram has 1,200 bytes with its envelope.
pub const MAX_MESSAGE: usize = 1_150;
/// Bytes of a message left to the header and to length fields.
pub const HEADER_ROOM: usize = 75;
/// UDP, IP and control envelope around each message, in bytes.
pub const DATAGRAM_OVERHEAD: usize = 46;

/// Rule of failure detection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rule {
    /// Watchers that each member announces to.
    pub watchers: usize,
    /// Watchers that must suspect a member before it is dead.
    pub quorum: usize,
    /// Whether a suspected member is asked and given time to answer before it is dead.
    pub probe_first: bool,
}

impl Rule {
    /// Two of three watchers, after the member was asked.
    pub const DEFAULT: Self = Self {
        watchers: WATCHERS,
        quorum: 2,
        probe_first: true,
    };
}

/// Adds seeds that are not known yet.
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
