//! Balancers through which replies are sent to callers.
//!
//! A balancer that forwarded a datagram a moment ago is alive, which the membership cannot show as
//! early. Replies go round robin through these balancers, and through those of the membership if
//! there are none.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use monsoon_model::{Duration, Instant};

/// Time for which a balancer counts as alive after it forwarded a datagram.
const FORWARD_TTL: Duration = Duration::from_millis(1_000);
/// Most balancers remembered. Further ones are ignored until one expires.
const MAX_FORWARDS: usize = 128;

/// Balancers usable for replies.
#[derive(Debug, Default)]
pub struct ReplyBalancers {
    last_forwards: BTreeMap<SocketAddrV4, Instant>,
    members: Vec<SocketAddrV4>,
    cursor: usize,
}

impl ReplyBalancers {
    /// Records that the balancer at `address` itself forwarded a datagram.
    pub fn record_forward(&mut self, now: Instant, address: SocketAddrV4) {
        if self.last_forwards.len() >= MAX_FORWARDS && !self.last_forwards.contains_key(&address) {
            self.last_forwards
                .retain(|_, at| now.since(*at) < FORWARD_TTL);
        }
        if self.last_forwards.len() < MAX_FORWARDS || self.last_forwards.contains_key(&address) {
            self.last_forwards.insert(address, now);
        }
    }

    /// Replaces the balancers that the membership lists.
    pub fn set_members(&mut self, members: impl IntoIterator<Item = SocketAddrV4>) {
        self.members = members.into_iter().collect();
    }

    /// Balancer for the next reply; `None` if none is known.
    pub fn next(&mut self, now: Instant) -> Option<SocketAddrV4> {
        self.cursor = self.cursor.wrapping_add(1);
        let is_live = |at: &Instant| now.since(*at) < FORWARD_TTL;
        let count = self.last_forwards.values().filter(|at| is_live(at)).count();
        if count > 0 {
            let mut live_balancers = self.last_forwards.iter().filter(|(_, at)| is_live(at));
            return live_balancers
                .nth(self.cursor % count)
                .map(|(address, _)| *address);
        }
        if self.members.is_empty() {
            return None;
        }
        self.members.get(self.cursor % self.members.len()).copied()
    }
}
