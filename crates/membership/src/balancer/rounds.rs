//! Periodic work: announcements, votes, gossip rounds, digests, contact with other data centres.

use std::net::SocketAddr;

use monsoon_model::{DataCentreId, Duration, Instant};

use super::{BalancerNode, jitter};
use crate::bounds::{
    ANNOUNCE_INTERVAL, CATCH_UP_INTERVAL, DIGEST_INTERVAL, GOSSIP_FANOUT, GOSSIP_INTERVAL,
    REMOTE_INTERVAL, RESPONSE_PAGES_PER_SECOND, START_ANNOUNCEMENTS, START_INTERVAL,
    SUSPECT_TIMEOUT, WATCHERS,
};
use crate::message::room;
use crate::{Body, Entry, LoadRecord, Status};

/// Interval of digests between data centres, one data centre at a time.
const REMOTE_DIGEST_INTERVAL: Duration = Duration::from_secs(1);

impl BalancerNode {
    pub(super) fn tick(&mut self, now: Instant) {
        self.timers.tick = now;
        if self.pending.reassign {
            self.reassign(now);
        }
        if self.beats.tick(now) {
            self.pending.changed = true;
        }
        self.vote(now);
        self.probe(now);
        self.bury(now);
        if now >= self.timers.announce {
            self.announce(now);
        }
        if now >= self.timers.gossip {
            self.timers.gossip = now + GOSSIP_INTERVAL;
            self.gossip_round(now);
            self.compare_returning();
        }
        if now >= self.timers.answers {
            self.timers.answers = now + Duration::from_secs(1);
            self.answers = RESPONSE_PAGES_PER_SECOND;
        }
        if now >= self.timers.contact {
            self.timers.contact = now + REMOTE_INTERVAL;
            self.remote_round(now);
        }
        if now >= self.timers.digest {
            self.digest_round(now);
        }
        if now >= self.timers.remote {
            self.timers.remote = now + REMOTE_DIGEST_INTERVAL;
            self.remote_digest(now);
        }
        if now >= self.timers.expire {
            self.timers.expire = now + Duration::from_secs(60);
            self.members.expire(now);
        }
    }

    pub(super) fn announce(&mut self, now: Instant) {
        self.timers.announce = now + ANNOUNCE_INTERVAL;
        self.timers.announced = now;
        self.store_self(now);
        self.clients
            .retain(|_, client| now.since(client.heard) < SUSPECT_TIMEOUT);
        let watchers = self.watchers(self.me.id);
        let mut to = watchers
            .iter()
            .filter_map(|&id| self.control(id))
            .collect::<Vec<_>>();
        if to.is_empty() {
            to = self.rng.pick(&self.seeds, WATCHERS);
            if self.me.sequence <= START_ANNOUNCEMENTS {
                self.timers.announce = now + START_INTERVAL;
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
                left: false,
            },
        );
    }

    pub(super) fn leave(&mut self, now: Instant) {
        self.store_self(now);
        let watchers = self.watchers(self.me.id);
        for to in watchers
            .iter()
            .filter_map(|&id| self.control(id))
            .collect::<Vec<_>>()
        {
            self.send(
                to,
                Body::Announce {
                    member: self.me,
                    left: true,
                },
            );
        }
        let entry = Entry {
            member: self.me,
            status: Status::Left,
            age: 0,
        };
        let others = self.others();
        for to in self.rng.pick(&others, GOSSIP_FANOUT) {
            self.send_gossip(to, vec![entry], Vec::new());
        }
        self.left = true;
    }

    fn gossip_round(&mut self, now: Instant) {
        let members = &self.members;
        let find = |id| members.get(id).map(|row| row.entry(now));
        let (entries, loads) = self.gossip.take(room(&self.beats.list()), find);
        let others = self.others();
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
        let (place, beats) = (self.me.group, self.beats.list());
        self.send(
            to,
            Body::Gossip {
                place,
                beats,
                entries,
                loads,
            },
        );
    }

    fn digest_round(&mut self, now: Instant) {
        self.catching &= now < self.catch_until;
        let every = if self.catching {
            CATCH_UP_INTERVAL
        } else {
            DIGEST_INTERVAL
        };
        self.timers.digest = now + every + jitter(&mut self.rng, 50);
        let mut choice = self.others();
        if choice.is_empty() {
            choice.clone_from(&self.seeds);
        }
        if let Some(&to) = self.rng.pick(&choice, 1).first() {
            self.send_digest(to, None);
        }
    }

    pub(super) fn send_digest(&mut self, to: SocketAddr, scope: Option<DataCentreId>) {
        let buckets = self.members.digest(scope);
        self.send(
            to,
            Body::Digest {
                answer: false,
                scope,
                agents: self.live_agents(),
                buckets,
            },
        );
    }
}
