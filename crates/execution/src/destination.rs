//! Choice between the local target and the targets of peers for the next attempt of a request.

use monsoon_admission::{Load, TargetState};
use monsoon_model::hash::mix;

/// Utilisation of the local target below which it runs the request itself. It has free slots then,
/// so the hop to a peer would only add latency.
const LOCAL_UTILISATION_MAX: f64 = 0.75;

/// Largest ratio of a peer's utilisation to the local one at which the peer is chosen. The local
/// target then counts as much slower.
const PEER_RATIO_MAX: f64 = 0.5;

/// The same ratio for a full local target. It is below 1 because between almost equal loads the
/// latency of the hop and the age of the report outweigh the gain.
const PEER_RATIO_MAX_WHEN_FULL: f64 = 0.75;

/// One in this many requests that the local target could run goes to an idle cold peer. A target
/// warms only by requests, and its own agent may own no flow that brings any.
const WARMING_INTERVAL: u64 = 16;

/// Load of a peer's target, from its last report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerLoad {
    /// Reported load. It is as old as the announcement interval and the sampling allow.
    pub load: Load,
    /// Requests that this agent sent to the peer since that report, in the unit of `load.busy`.
    pub sent: u32,
}

impl PeerLoad {
    /// Reported load plus the requests sent since.
    fn estimate(self) -> Load {
        Load {
            busy: self.load.busy.saturating_add(self.sent),
            ..self.load
        }
    }
}

/// Where an attempt runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Destination {
    /// At the agent's local target.
    Local,
    /// At the peer with this index.
    Peer(usize),
}

/// Chooses the destination of an attempt.
///
/// The local target is preferred, except for a small share of requests that warms idle cold peers.
/// The less loaded of two random peers is chosen instead when the
/// local target is leaving, when it is full and clearly more loaded than the peer, or when its
/// utilisation is at least twice that of the peer. A cold local target is full when it can take no
/// more requests at present. All random choices are derived from `random`.
pub fn pick_destination(
    local: Load,
    peers: &[PeerLoad],
    is_leaving: bool,
    random: u64,
) -> Destination {
    let is_leaving = is_leaving || local.leaving;
    let has_capacity =
        !is_leaving && !local.is_full() && local.utilisation() < LOCAL_UTILISATION_MAX;
    let is_cold = local.state == TargetState::Cold;
    if has_capacity && !is_cold && mix(random, 3).is_multiple_of(WARMING_INTERVAL) {
        let idle = two_choices(peers, is_idle_and_cold, random);
        return idle.map_or(Destination::Local, |(index, _)| Destination::Peer(index));
    }
    if has_capacity || (is_cold && !is_leaving && !local.is_full()) {
        return Destination::Local;
    }
    let usable = two_choices(peers, is_usable, random);
    // A leaving target takes no requests, so even a full or cold peer, which queues, is better.
    let choice = usable.or_else(|| two_choices(peers, |load| is_leaving && !load.leaving, random));
    let Some((index, peer)) = choice else {
        return Destination::Local;
    };
    let max_ratio = if local.is_full() {
        PEER_RATIO_MAX_WHEN_FULL
    } else {
        PEER_RATIO_MAX
    };
    let better = is_leaving || peer.utilisation() <= local.utilisation() * max_ratio;
    if better {
        Destination::Peer(index)
    } else {
        Destination::Local
    }
}

/// Less loaded of two random peers that are `usable`, with its index.
fn two_choices(
    peers: &[PeerLoad],
    usable: impl Fn(Load) -> bool,
    random: u64,
) -> Option<(usize, Load)> {
    let usable: Vec<_> = peers
        .iter()
        .map(|p| p.estimate())
        .enumerate()
        .filter(|(_, load)| usable(*load))
        .collect();
    let count = usable.len() as u64;
    if count == 0 {
        return None;
    }
    let first = mix(random, 1) % count;
    let second = (first + 1 + mix(random, 2) % (count - 1).max(1)) % count;
    let pair = [usable[first as usize], usable[second as usize]];
    pair.into_iter()
        .min_by(|a, b| a.1.utilisation().total_cmp(&b.1.utilisation()))
}

/// Whether a peer's target is cold and runs nothing, so that it does not warm by itself.
fn is_idle_and_cold(load: Load) -> bool {
    load.state == TargetState::Cold && !load.leaving && load.busy == 0 && load.queued == 0
}

/// Whether a peer's target may get a request: a leaving one never, a cold one unless it is full.
fn is_usable(load: Load) -> bool {
    match load.state {
        TargetState::Leaving => false,
        TargetState::Cold => !load.leaving && !load.is_full(),
        TargetState::Ready => !load.leaving,
    }
}
