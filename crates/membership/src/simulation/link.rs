//! Links of the simulated network: loss, delay, duplicates and partitions.

use std::collections::{BTreeMap, BTreeSet};

use monsoon_model::{DataCentreId, Duration, Instant};

use crate::Member;
use crate::rng::Rng;

/// Model of message loss.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Loss {
    /// Each message is lost with this probability.
    Independent(f64),
    /// Gilbert model for each directed pair of hosts: messages are lost during this share of the
    /// time, in bursts of this mean length in seconds.
    PairBursts(f64, f64),
    /// Gilbert model for each sender, with the same numbers: a burst loses all that it sends.
    SenderBursts(f64, f64),
}

#[derive(Clone, Copy, Debug)]
struct Burst {
    is_lossy: bool,
    drawn_at: Instant,
}

/// State of all links.
#[derive(Debug)]
pub struct Links {
    /// Model of loss on all links.
    pub loss: Loss,
    /// Share of messages that arrive twice.
    pub duplicates: f64,
    /// Share of messages that are delayed by up to 300 ms, so that others overtake them.
    pub delayed: f64,
    /// Partitioned data centres: messages from the first to the second are lost.
    pub partitions: BTreeSet<(DataCentreId, DataCentreId)>,
    /// Partitioned hosts by index: messages from the first to the second are lost.
    pub host_partitions: BTreeSet<(usize, usize)>,
    rng: Rng,
    bursts: BTreeMap<(usize, usize), Burst>,
}

impl Links {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            loss: Loss::Independent(0.0),
            duplicates: 0.0,
            delayed: 0.0,
            partitions: BTreeSet::new(),
            host_partitions: BTreeSet::new(),
            rng: Rng::new(monsoon_model::hash::mix(seed, 0x11_4b)),
            bursts: BTreeMap::new(),
        }
    }

    /// Starts or, unless `active`, ends a partition between two data centres.
    pub fn partition(&mut self, a: u8, b: u8, active: bool) {
        for pair in [(a, b), (b, a)] {
            self.partition_one_way(pair.0, pair.1, active);
        }
    }

    /// Starts or, unless `active`, ends a partition in one direction.
    pub fn partition_one_way(&mut self, from: u8, to: u8, active: bool) {
        let pair = (DataCentreId(from), DataCentreId(to));
        if active {
            self.partitions.insert(pair);
        } else {
            self.partitions.remove(&pair);
        }
    }

    /// Delays of the copies of a message that arrive.
    pub(crate) fn transmit(
        &mut self,
        now: Instant,
        from: (usize, Member),
        to: (usize, &Member),
    ) -> Vec<Duration> {
        let data_centres = (from.1.group, to.1.group);
        let is_cut = self.partitions.contains(&data_centres)
            || self.host_partitions.contains(&(from.0, to.0));
        if is_cut || self.lost(now, from.0, to.0) {
            return Vec::new();
        }
        let copies = if self.chance(self.duplicates) { 2 } else { 1 };
        let base = if data_centres.0 == data_centres.1 {
            100
        } else {
            1_500
        };
        (0..copies).map(|_| self.delay(base)).collect()
    }

    fn delay(&mut self, base: u64) -> Duration {
        let spread = if self.chance(self.delayed) {
            300_000
        } else {
            400
        };
        Duration::from_micros(base + self.rng.below(spread) as u64)
    }

    fn lost(&mut self, now: Instant, from: usize, to: usize) -> bool {
        match self.loss {
            Loss::Independent(share) => self.chance(share),
            Loss::PairBursts(share, mean) => self.burst(now, (from, to), share, mean),
            Loss::SenderBursts(share, mean) => self.burst(now, (from, from), share, mean),
        }
    }

    /// Whether a burst loses the message: a continuous-time Markov chain with two states, sampled
    /// at each message.
    fn burst(&mut self, now: Instant, key: (usize, usize), share: f64, mean: f64) -> bool {
        let draw = self.unit();
        let rate = 1.0 / mean / (1.0 - share);
        let old = self.bursts.get(&key).copied();
        let probability = old.map_or(share, |old| {
            let kept = (-rate * now.since(old.drawn_at).as_secs_f64()).exp();
            share + (f64::from(u8::from(old.is_lossy)) - share) * kept
        });
        let is_lossy = draw < probability;
        self.bursts.insert(
            key,
            Burst {
                is_lossy,
                drawn_at: now,
            },
        );
        is_lossy
    }

    fn chance(&mut self, share: f64) -> bool {
        share > 0.0 && self.unit() < share
    }

    fn unit(&mut self) -> f64 {
        self.rng.below(1 << 53) as f64 / (1_u64 << 53) as f64
    }
}
