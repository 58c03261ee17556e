//! Choice between the local target and the targets of peers.

use monsoon_admission::{Load, TargetState};
use monsoon_model::hash::mix;

/// Load of the local target below which it always runs the request itself: it has free slots, and
/// the hop to a peer would only add latency.
const LOCAL_ENOUGH: f64 = 0.75;

/// A peer's load over the local one up to which the local target counts as much slower.
const MUCH_SLOWER: f64 = 0.5;

/// A peer's load over that of a full local target up to which the peer is chosen. Between almost
/// equal loads the hop and the age of the report outweigh the gain.
const FULL_GAIN: f64 = 0.75;

/// Load of a peer's target as last reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerLoad {
    /// Reported load. Reports lag by the announcement interval and the sampling.
    pub load: Load,
    /// Requests that this agent sent to the peer since the report was made.
    pub sent: u32,
}

impl PeerLoad {
    /// Reported load plus what this agent sent since.
    fn present(self) -> Load {
        Load {
            busy: self.load.busy.saturating_add(self.sent),
            ..self.load
        }
    }
}

/// Where a request runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Destination {
    /// At the local target.
    Local,
    /// At the peer with this index.
    Peer(usize),
}

/// Chooses the place of a request.
///
/// The local target is preferred. A peer is chosen, as the less loaded of two random ones, when
/// the local target is leaving, is full (for a cold one: bears no more at present) and more loaded
/// than the peer, or is loaded at least twice as much as the peer. `noise` supplies the random
/// numbers.
pub fn pick_destination(local: Load, peers: &[PeerLoad], leaving: bool, noise: u64) -> Destination {
    let leaving = leaving || local.leaving;
    let enough = !leaving && !local.is_full() && local.utilisation() < LOCAL_ENOUGH;
    let cold = local.state == TargetState::Cold;
    if enough || (cold && !leaving && !local.is_full()) {
        return Destination::Local;
    }
    let usable = two_choices(peers, is_usable, noise);
    // A leaving target takes nothing, so even a full or cold peer, which queues, is better.
    let choice = usable.or_else(|| two_choices(peers, |load| leaving && !load.leaving, noise));
    let Some((index, peer)) = choice else {
        return Destination::Local;
    };
    let gain = if local.is_full() {
        FULL_GAIN
    } else {
        MUCH_SLOWER
    };
    let better = leaving || peer.utilisation() <= local.utilisation() * gain;
    if better {
        Destination::Peer(index)
    } else {
        Destination::Local
    }
}

/// The less loaded of two random peers that are `usable`.
fn two_choices(
    peers: &[PeerLoad],
    usable: impl Fn(Load) -> bool,
    noise: u64,
) -> Option<(usize, Load)> {
    let usable: Vec<_> = peers
        .iter()
        .map(|p| p.present())
        .enumerate()
        .filter(|(_, load)| usable(*load))
        .collect();
    let count = usable.len() as u64;
    if count == 0 {
        return None;
    }
    let first = mix(noise, 1) % count;
    let second = (first + 1 + mix(noise, 2) % (count - 1).max(1)) % count;
    let pair = [usable[first as usize], usable[second as usize]];
    pair.into_iter()
        .min_by(|a, b| a.1.utilisation().total_cmp(&b.1.utilisation()))
}

/// Whether a peer's target may get a request: never a leaving one, a cold one only with room.
fn is_usable(load: Load) -> bool {
    match load.state {
        TargetState::Leaving => false,
        TargetState::Cold => !load.leaving && !load.is_full(),
        TargetState::Ready => !load.leaving,
    }
}
