//! Balancers through which replies go back to callers.
//!
//! A balancer that has just forwarded a datagram is alive, which is fresher news than membership
//! can give. Replies take turns over these; without any, over the balancers of the membership.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use monsoon_model::{Duration, Instant};

/// Time for which a balancer counts as alive after it forwarded a datagram.
const FORWARD_TTL: Duration = Duration::from_millis(1_000);
/// Most balancers remembered; further ones are ignored until one expires.
const MAX_FORWARDS: usize = 128;

/// Balancers usable for replies.
#[derive(Debug, Default)]
pub struct ReplyBalancers {
    last_forwards: BTreeMap<SocketAddrV4, Instant>,
    members: Vec<SocketAddrV4>,
    cursor: usize,
}

impl ReplyBalancers {
    /// Notes a datagram that came straight from the balancer at `address`.
    pub fn record_forward(&mut self, now: Instant, address: SocketAddrV4) {
        if self.last_forwards.len() >= MAX_FORWARDS && !self.last_forwards.contains_key(&address) {
            self.last_forwards
                .retain(|_, at| now.since(*at) < FORWARD_TTL);
        }
        if self.last_forwards.len() < MAX_FORWARDS || self.last_forwards.contains_key(&address) {
            self.last_forwards.insert(address, now);
        }
    }

    /// Replaces the balancers known from the membership.
    pub fn set_members(&mut self, members: impl IntoIterator<Item = SocketAddrV4>) {
        self.members = members.into_iter().collect();
    }

    /// Balancer for the next reply.
    pub fn next(&mut self, now: Instant) -> Option<SocketAddrV4> {
        self.cursor = self.cursor.wrapping_add(1);
        let live = |at: &Instant| now.since(*at) < FORWARD_TTL;
        let count = self.last_forwards.values().filter(|at| live(at)).count();
        if count > 0 {
            let mut fresh = self.last_forwards.iter().filter(|(_, at)| live(at));
            return fresh.nth(self.cursor % count).map(|(address, _)| *address);
        }
        if self.members.is_empty() {
            return None;
        }
        self.members.get(self.cursor % self.members.len()).copied()
    }
}
