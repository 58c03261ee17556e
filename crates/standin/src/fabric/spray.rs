//! Random choice of the balancer and of the faults for each datagram, without I/O.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

/// Most balancers, and most addresses with counts; replies of further addresses are not counted.
pub const MAX_BALANCERS: usize = 1024;

/// Probabilities of faults. They apply to each datagram in each direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rates {
    /// The datagram is lost.
    pub loss: f64,
    /// The datagram arrives twice.
    pub duplicate: f64,
    /// A copy is delayed, so that later datagrams overtake it.
    pub reorder: f64,
}

impl Rates {
    /// Whether all rates are probabilities.
    pub fn is_valid(&self) -> bool {
        let rates = [self.loss, self.duplicate, self.reorder];
        rates.iter().all(|rate| (0.0..=1.0).contains(rate))
    }
}

/// Counts of one balancer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BalancerCount {
    /// Datagrams sent to it.
    pub sent: u64,
    /// Datagrams received from it.
    pub replies: u64,
}

/// Dropped datagrams by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drops {
    /// Lost because of the loss rate.
    pub loss: u64,
    /// The list of balancers was empty.
    pub no_balancer: u64,
    /// No socket for a new caller: there were too many callers, or opening it failed.
    pub callers: u64,
    /// The operating system refused to send.
    pub send: u64,
}

/// Counts of datagrams since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Counts by address of the balancer.
    pub balancers: BTreeMap<SocketAddr, BalancerCount>,
    /// Dropped datagrams.
    pub dropped: Drops,
    /// Callers that have a socket now.
    pub callers: usize,
}

/// Delivery of one copy of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Delivery {
    /// Whether the copy is delayed.
    pub is_delayed: bool,
}

/// Balancers, rates, counts and the source of all random choices.
#[derive(Debug)]
pub(super) struct Spray {
    pub balancers: Vec<SocketAddr>,
    pub rates: Rates,
    pub counts: Counts,
    random: StdRng,
}

impl Spray {
    pub fn new(balancers: Vec<SocketAddr>, rates: Rates, seed: u64) -> Self {
        Self {
            balancers,
            rates,
            counts: Counts::default(),
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Deliveries of one datagram: none if it is lost, two if it is duplicated.
    pub fn deliveries(&mut self) -> Vec<Delivery> {
        if self.random.random_bool(self.rates.loss) {
            self.counts.dropped.loss += 1;
            return Vec::new();
        }
        let count = if self.random.random_bool(self.rates.duplicate) {
            2
        } else {
            1
        };
        let reorder_rate = self.rates.reorder;
        (0..count)
            .map(|_| Delivery {
                is_delayed: self.random.random_bool(reorder_rate),
            })
            .collect()
    }

    /// Chooses a random balancer for one copy and counts the copy.
    pub fn choose_balancer(&mut self) -> Option<SocketAddr> {
        if self.balancers.is_empty() {
            self.counts.dropped.no_balancer += 1;
            return None;
        }
        let index = self.random.random_range(..self.balancers.len());
        let balancer = self.balancers[index];
        self.update_count(balancer, |count| count.sent += 1);
        Some(balancer)
    }

    /// Counts a datagram received from a balancer.
    pub fn count_reply(&mut self, balancer: SocketAddr) {
        self.update_count(balancer, |count| count.replies += 1);
    }

    fn update_count(&mut self, balancer: SocketAddr, add: impl FnOnce(&mut BalancerCount)) {
        let counts = &mut self.counts.balancers;
        if counts.len() < MAX_BALANCERS || counts.contains_key(&balancer) {
            add(counts.entry(balancer).or_default());
        }
    }
}
