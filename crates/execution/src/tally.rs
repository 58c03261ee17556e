//! What an agent remembers of its peers between two reports of their load.
//!
//! Reports lag. A peer that refuses at once looks idle until its next report, so without memory it
//! would draw the requests of all agents. Requests sent since a report are counted as well, so
//! that one agent does not send everything to the peer that was idle last.

use std::collections::{BTreeMap, VecDeque};

use monsoon_model::{AgentId, Duration, Instant};

/// Time for which a peer that refused a request is not chosen again; two announcement intervals.
pub const REFUSAL_PAUSE: Duration = Duration::from_secs(1);

/// Most peers remembered. Above it the one heard of longest ago is forgotten, which only costs
/// accuracy.
pub const PEERS_MAX: usize = 256;

/// Most sends remembered for one peer; further ones are not counted.
pub const SENDS_MAX: usize = 64;

#[derive(Clone, Debug, Default)]
struct Tally {
    sends: VecDeque<Instant>,
    refused: Option<Instant>,
    last: Instant,
}

/// Sends to peers and their refusals.
#[derive(Clone, Debug, Default)]
pub struct PeerTallies {
    peers: BTreeMap<AgentId, Tally>,
}

impl PeerTallies {
    /// Notes a request sent to a peer.
    pub fn sent(&mut self, now: Instant, peer: AgentId) {
        let tally = self.entry(now, peer);
        if tally.sends.len() < SENDS_MAX {
            tally.sends.push_back(now);
        }
    }

    /// Notes that a peer refused a request as not run.
    pub fn refused(&mut self, now: Instant, peer: AgentId) {
        self.entry(now, peer).refused = Some(now);
    }

    /// Whether a peer refused a request within [`REFUSAL_PAUSE`].
    pub fn is_refusing(&self, now: Instant, peer: AgentId) -> bool {
        let refused = self.peers.get(&peer).and_then(|tally| tally.refused);
        refused.is_some_and(|at| now.since(at) < REFUSAL_PAUSE)
    }

    /// Requests sent to a peer after its load was reported at `report`.
    pub fn sent_since(&mut self, peer: AgentId, report: Instant) -> u32 {
        let Some(tally) = self.peers.get_mut(&peer) else {
            return 0;
        };
        while tally.sends.front().is_some_and(|at| *at <= report) {
            tally.sends.pop_front();
        }
        tally.sends.len() as u32
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
