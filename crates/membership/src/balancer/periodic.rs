//! Periodic work of a balancer: announcements, votes, gossip rounds, digests and messages to other
//! data centres.

use std::net::SocketAddr;

use monsoon_model::{DataCentreId, Duration, Instant};

use super::{BalancerNode, jitter};
use crate::bounds::{
    ANNOUNCE_INTERVAL, CATCH_UP_INTERVAL, DIGEST_INTERVAL, GOSSIP_FANOUT, GOSSIP_INTERVAL,
    REMOTE_INTERVAL, RESPONSE_PAGES_PER_SECOND, START_ANNOUNCEMENTS, START_INTERVAL,
    SUSPECT_TIMEOUT, WATCHERS,
};
use crate::members::elapsed_seconds;
use crate::message::room;
use crate::{Body, Entry, LoadRecord, Status};

/// Interval of digests to other data centres, one data centre at a time.
const REMOTE_DIGEST_INTERVAL: Duration = Duration::from_secs(1);

impl BalancerNode {
    pub(super) fn tick(&mut self, now: Instant) {
        self.timers.last_tick = now;
        if self.pending.watches_stale {
            self.reassign(now);
        }
        if self.heartbeats.tick(now) {
            self.pending.members_changed = true;
        }
        self.send_votes(now);
        self.send_probes(now);
        self.declare_dead(now);
        if now >= self.timers.next_announcement {
            self.announce(now);
        }
        if now >= self.timers.next_gossip {
            self.timers.next_gossip = now + GOSSIP_INTERVAL;
            self.gossip_round(now);
            self.compare_returning(now);
        }
        if now >= self.timers.next_refill {
            self.timers.next_refill = now + Duration::from_secs(1);
            self.page_budget = RESPONSE_PAGES_PER_SECOND;
        }
        if now >= self.timers.next_contact {
            self.timers.next_contact = now + REMOTE_INTERVAL;
            self.remote_round(now);
        }
        if now >= self.timers.next_digest {
            self.digest_round(now);
        }
        if now >= self.timers.next_remote {
            self.timers.next_remote = now + REMOTE_DIGEST_INTERVAL;
            self.remote_digest(now);
        }
        if now >= self.timers.next_expiry {
            self.timers.next_expiry = now + Duration::from_secs(60);
            self.members.expire(now);
        }
    }

    pub(super) fn announce(&mut self, now: Instant) {
        self.timers.next_announcement = now + ANNOUNCE_INTERVAL;
        self.timers.announced_at = now;
        self.store_self(now);
        self.announcers
            .retain(|_, announcer| now.since(announcer.last_announcement) < SUSPECT_TIMEOUT);
        let watchers = self.watchers(self.me.id);
        let mut to = watchers
            .iter()
            .filter_map(|&id| self.control_address(id))
            .collect::<Vec<_>>();
        if to.is_empty() {
            to = self.rng.pick(&self.seeds, WATCHERS);
            if self.me.sequence <= START_ANNOUNCEMENTS {
                self.timers.next_announcement = now + START_INTERVAL;
            }
        }
        for to in to {
            self.announce_to(to);
        }
    }

    pub(super) fn announce_to(&mut self, to: SocketAddr) {
        self.send(
            to,
            Body::Announce {
                member: self.me,
                leaving: false,
            },
        );
    }

    pub(super) fn leave(&mut self, now: Instant) {
        self.store_self(now);
        let watchers = self.watchers(self.me.id);
        for to in watchers
            .iter()
            .filter_map(|&id| self.control_address(id))
            .collect::<Vec<_>>()
        {
            self.send(
                to,
                Body::Announce {
                    member: self.me,
                    leaving: true,
                },
            );
        }
        let entry = Entry {
            member: self.me,
            status: Status::Left,
            age: 0,
        };
        let others = self.other_balancers();
        for to in self.rng.pick(&others, GOSSIP_FANOUT) {
            self.send_gossip(to, vec![entry], Vec::new());
        }
        self.has_left = true;
    }

    fn gossip_round(&mut self, now: Instant) {
        let members = &self.members;
        let find = |id| members.get(id).map(|row| row.entry(now));
        let (entries, loads) = self.gossip.take_round(room(&self.heartbeats.list()), find);
        let others = self.other_balancers();
        for to in self.rng.pick(&others, GOSSIP_FANOUT) {
            self.send_gossip(to, entries.clone(), loads.clone());
        }
    }

    pub(super) fn send_gossip(
        &mut self,
        to: SocketAddr,
        entries: Vec<Entry>,
        loads: Vec<LoadRecord>,
    ) {
        let (data_centre, heartbeats) = (self.me.group, self.heartbeats.list());
        self.send(
            to,
            Body::Gossip {
                data_centre,
                heartbeats,
                entries,
                loads,
            },
        );
    }

    fn digest_round(&mut self, now: Instant) {
        self.catching_up &= now < self.catchup_deadline;
        let every = if self.catching_up {
            CATCH_UP_INTERVAL
        } else {
            DIGEST_INTERVAL
        };
        self.timers.next_digest = now + every + jitter(&mut self.rng, 50);
        let mut candidates = self.other_balancers();
        if candidates.is_empty() {
            candidates.clone_from(&self.seeds);
        }
        if let Some(&to) = self.rng.pick(&candidates, 1).first() {
            self.send_digest(now, to, None);
        }
    }

    pub(super) fn send_digest(
        &mut self,
        now: Instant,
        to: SocketAddr,
        scope: Option<DataCentreId>,
    ) {
        let buckets = self.members.digest(scope);
        let followed_s = elapsed_seconds(now, self.followed_since);
        self.send(
            to,
            Body::Digest {
                is_response: false,
                scope,
                followed_s,
                buckets,
            },
        );
    }
}
