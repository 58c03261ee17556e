//! Links between data centres and to callers, with delay, loss, duplication, reordering and cuts.

use std::collections::BTreeSet;

use monsoon_model::{Duration, hash::mix};

/// Delay within a data centre, in microseconds.
const LOCAL_DELAY_US: u64 = 100;
/// Delay between data centres, in microseconds.
const REMOTE_DELAY_US: u64 = 1_500;
/// Delay between callers and balancers, in microseconds.
const CALLER_DELAY_US: u64 = 3_000;
/// Most additional delay of a late packet, which others overtake, in microseconds.
const LATE_SPREAD_US: u64 = 300_000;

/// Generator of random numbers from a seed.
#[derive(Debug)]
pub struct Rng {
    seed: u64,
    draws: u64,
}

impl Rng {
    pub fn new(seed: u64) -> Self {
        Self { seed, draws: 0 }
    }

    pub fn next(&mut self) -> u64 {
        self.draws += 1;
        mix(self.seed, self.draws)
    }

    /// Random number less than `bound`.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound.max(1)
    }
}

/// Properties of all links. Shares are per thousand.
#[derive(Debug, Default)]
pub struct Links {
    /// Share of packets that are lost.
    pub loss_permille: u64,
    /// Share of packets that arrive twice.
    pub duplicate_permille: u64,
    /// Share of packets that others overtake.
    pub late_permille: u64,
    /// Directions between data centres that are cut, as sender and receiver.
    pub cuts: BTreeSet<(u8, u8)>,
}

impl Links {
    /// Delays of the copies of a datagram between data centres that arrive.
    pub fn between(&self, rng: &mut Rng, from: u8, to: u8) -> Vec<Duration> {
        if self.cuts.contains(&(from, to)) {
            return Vec::new();
        }
        self.draw_copies(
            rng,
            if from == to {
                LOCAL_DELAY_US
            } else {
                REMOTE_DELAY_US
            },
        )
    }

    /// Delays of the copies of a datagram from or to a caller that arrive.
    pub fn caller(&self, rng: &mut Rng) -> Vec<Duration> {
        self.draw_copies(rng, CALLER_DELAY_US)
    }

    /// Delay of a reliable message in one direction, with a retransmission after a loss. `None` if
    /// the direction is cut.
    pub fn call(&self, rng: &mut Rng, from: u8, to: u8) -> Option<Duration> {
        let base = if from == to {
            LOCAL_DELAY_US
        } else {
            REMOTE_DELAY_US
        };
        let retransmission = if rng.below(1_000) < self.loss_permille {
            200_000
        } else {
            0
        };
        let is_up = !self.cuts.contains(&(from, to));
        is_up.then(|| Duration::from_micros(base + retransmission))
    }

    fn draw_copies(&self, rng: &mut Rng, base: u64) -> Vec<Duration> {
        let copies = 1 + u64::from(rng.below(1_000) < self.duplicate_permille);
        let mut delays = Vec::new();
        for _ in 0..copies {
            let spread = if rng.below(1_000) < self.late_permille {
                LATE_SPREAD_US
            } else {
                400
            };
            let delay = Duration::from_micros(base + rng.below(spread));
            if rng.below(1_000) >= self.loss_permille {
                delays.push(delay);
            }
        }
        delays
    }
}
