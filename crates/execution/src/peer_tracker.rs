//! Estimates the load of an agent's peers between two reports of their load.
//!
//! Reports are delayed. A peer that rejects requests at once looks idle until its next report and
//! would attract the requests of all agents, so it is skipped for a while after a rejection. The
//! requests sent since a report are added to it, so that an agent does not send all requests to
//! the peer that was last reported idle.

use std::collections::{BTreeMap, VecDeque};

use monsoon_admission::Load;
use monsoon_model::{AgentId, Duration, Instant};

use crate::destination::PeerLoad;

/// Time for which a peer that rejected a request is not chosen again: two announcement intervals.
pub const REJECTION_PAUSE: Duration = Duration::from_secs(1);

/// Most peers tracked. Beyond it the record that was updated longest ago is dropped, which only
/// makes the estimate less accurate.
pub const PEERS_MAX: usize = 256;

/// Most sends recorded for one peer; further ones are not counted.
pub const SENDS_MAX: usize = 64;

/// `limit` of an announced load, in thousandths of a slot: 100 slots, so that `busy` is a
/// percentage.
pub const ANNOUNCED_LIMIT: u32 = 100_000;

/// Percentage of an announced limit that one request uses, as for a target of four slots.
const ANNOUNCED_REQUEST_PERCENT: u32 = 25;

#[derive(Clone, Debug, Default)]
struct PeerRecord {
    sends: VecDeque<Instant>,
    rejected_at: Option<Instant>,
    /// Load in the peer's last answer, with the time of the answer.
    answer_load: Option<(Instant, Load)>,
    updated_at: Instant,
}

/// Recent sends to each peer, its last rejection and the load in its last answer.
#[derive(Clone, Debug, Default)]
pub struct PeerTracker {
    peers: BTreeMap<AgentId, PeerRecord>,
}

impl PeerTracker {
    /// Records a request sent to a peer.
    pub fn record_send(&mut self, now: Instant, peer: AgentId) {
        let record = self.entry(now, peer);
        if record.sends.len() < SENDS_MAX {
            record.sends.push_back(now);
        }
    }

    /// Records that a peer rejected a request without running it.
    pub fn record_rejection(&mut self, now: Instant, peer: AgentId) {
        self.entry(now, peer).rejected_at = Some(now);
    }

    /// Whether a peer rejected a request within the last [`REJECTION_PAUSE`].
    pub fn recently_rejected(&self, now: Instant, peer: AgentId) -> bool {
        let rejected_at = self.peers.get(&peer).and_then(|record| record.rejected_at);
        rejected_at.is_some_and(|at| now.since(at) < REJECTION_PAUSE)
    }

    /// Records the load in a peer's answer.
    pub fn record_load(&mut self, now: Instant, peer: AgentId, load: Load) {
        self.entry(now, peer).answer_load = Some((now, load));
    }

    /// Newest known load of a peer that announced `announced` at `announced_at`, with the requests
    /// sent to it since.
    pub fn load(&mut self, peer: AgentId, announced: Load, announced_at: Instant) -> PeerLoad {
        let Some(record) = self.peers.get_mut(&peer) else {
            return PeerLoad {
                load: announced,
                sent: 0,
            };
        };
        let (at, load) = match record.answer_load {
            Some((answered_at, load)) if answered_at >= announced_at => (answered_at, load),
            _ => (announced_at, announced),
        };
        while record.sends.front().is_some_and(|sent_at| *sent_at <= at) {
            record.sends.pop_front();
        }
        // An announced load is in percent of the limit, the load in an answer is in slots.
        let weight = if load.limit == ANNOUNCED_LIMIT {
            ANNOUNCED_REQUEST_PERCENT
        } else {
            1
        };
        PeerLoad {
            load,
            sent: record.sends.len() as u32 * weight,
        }
    }

    fn entry(&mut self, now: Instant, peer: AgentId) -> &mut PeerRecord {
        if self.peers.len() >= PEERS_MAX && !self.peers.contains_key(&peer) {
            let oldest = self
                .peers
                .iter()
                .min_by_key(|(_, record)| record.updated_at);
            if let Some(oldest) = oldest.map(|(id, _)| *id) {
                self.peers.remove(&oldest);
            }
        }
        let record = self.peers.entry(peer).or_default();
        record.updated_at = now;
        record
    }
}
