//! What an agent remembers of its peers between two reports of their load.
//!
//! Reports lag. A peer that refuses at once looks idle until its next report, so without memory it
//! would draw the requests of all agents. Requests sent since a report are counted as well, so
//! that one agent does not send everything to the peer that was idle last.

use std::collections::{BTreeMap, VecDeque};

use monsoon_admission::Load;
use monsoon_model::{AgentId, Duration, Instant};

use crate::destination::PeerLoad;

/// Time for which a peer that refused a request is not chosen again; two announcement intervals.
pub const REJECTION_PAUSE: Duration = Duration::from_secs(1);

/// Most peers remembered. Above it the one heard of longest ago is forgotten, which only costs
/// accuracy.
pub const PEERS_MAX: usize = 256;

/// Most sends remembered for one peer; further ones are not counted.
pub const SENDS_MAX: usize = 64;

/// Limit that stands for the percentages of an announced load, in thousandths of a slot.
pub const ANNOUNCED_LIMIT: u32 = 100_000;

/// Percent of an announced limit that one request counts, for a target of four slots.
const ANNOUNCED_REQUEST: u32 = 25;

#[derive(Clone, Debug, Default)]
struct Tally {
    sends: VecDeque<Instant>,
    refused: Option<Instant>,
    /// Load that came with the peer's last answer.
    answered: Option<(Instant, Load)>,
    last: Instant,
}

/// Sends to peers and their refusals.
#[derive(Clone, Debug, Default)]
pub struct PeerTracker {
    peers: BTreeMap<AgentId, Tally>,
}

impl PeerTracker {
    /// Notes a request sent to a peer.
    pub fn record_send(&mut self, now: Instant, peer: AgentId) {
        let tally = self.entry(now, peer);
        if tally.sends.len() < SENDS_MAX {
            tally.sends.push_back(now);
        }
    }

    /// Notes that a peer refused a request as not run.
    pub fn record_rejection(&mut self, now: Instant, peer: AgentId) {
        self.entry(now, peer).refused = Some(now);
    }

    /// Whether a peer refused a request within [`REJECTION_PAUSE`].
    pub fn recently_rejected(&self, now: Instant, peer: AgentId) -> bool {
        let refused = self.peers.get(&peer).and_then(|tally| tally.refused);
        refused.is_some_and(|at| now.since(at) < REJECTION_PAUSE)
    }

    /// Notes the load that came with a peer's answer.
    pub fn record_load(&mut self, now: Instant, peer: AgentId, load: Load) {
        self.entry(now, peer).answered = Some((now, load));
    }

    /// Newest known load of a peer that announced `announced` at `at`, with the requests sent to
    /// it since.
    pub fn load(&mut self, peer: AgentId, announced: Load, at: Instant) -> PeerLoad {
        let Some(tally) = self.peers.get_mut(&peer) else {
            return PeerLoad {
                load: announced,
                sent: 0,
            };
        };
        let (at, load) = match tally.answered {
            Some((answered, load)) if answered >= at => (answered, load),
            _ => (at, announced),
        };
        while tally.sends.front().is_some_and(|sent| *sent <= at) {
            tally.sends.pop_front();
        }
        // An announced load counts percentages of the limit; a request weighs by the real limit
        // of the last answer, or as one of four slots.
        let weight = if load.limit == ANNOUNCED_LIMIT {
            ANNOUNCED_REQUEST
        } else {
            1
        };
        PeerLoad {
            load,
            sent: tally.sends.len() as u32 * weight,
        }
    }

    fn entry(&mut self, now: Instant, peer: AgentId) -> &mut Tally {
        if self.peers.len() >= PEERS_MAX && !self.peers.contains_key(&peer) {
            let oldest = self.peers.iter().min_by_key(|(_, tally)| tally.last);
            if let Some(oldest) = oldest.map(|(id, _)| *id) {
                self.peers.remove(&oldest);
            }
        }
        let tally = self.peers.entry(peer).or_default();
        tally.last = now;
        tally
    }
}
