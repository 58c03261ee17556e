//! Periodic work: announcements, votes, gossip rounds, digests, contact with other data centres.

use std::net::SocketAddr;

use monsoon_model::{DataCentreId, Duration, Instant};

use super::{BalancerNode, jitter};
use crate::bounds::{
    ANNOUNCE_EVERY, CATCH_UP_EVERY, DIGEST_EVERY, FANOUT, GOSSIP_EVERY, REMOTE_DOUBT,
    SUSPECT_AFTER, WATCHERS,
};
use crate::{Body, Entry, Status};

/// Time after a start in which a node compares tables at the faster rate.
const CATCH_UP_FOR: Duration = Duration::from_secs(30);
/// Interval of digests between data centres, one data centre at a time.
const REMOTE_DIGEST_EVERY: Duration = Duration::from_secs(1);
/// Chance, one in this many, that a contact goes to any balancer instead of a speaker. Reaches a
/// data centre whose speakers are both lost.
const STRAY: usize = 8;
/// Chance, one in this many, that a digest between data centres goes to a seed. Finds data centres
/// that started or whose balancers were all replaced while no contact was possible.
const SEEDING: usize = 4;

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
        self.bury(now);
        if now >= self.timers.announce {
            self.announce(now);
        }
        if now >= self.timers.gossip {
            self.timers.gossip = now + GOSSIP_EVERY;
            self.gossip_round(now);
            self.remote_round(now);
        }
        if now >= self.timers.digest {
            self.digest_round(now);
        }
        if now >= self.timers.remote {
            self.timers.remote = now + REMOTE_DIGEST_EVERY;
            self.remote_digest();
        }
        if now >= self.timers.expire {
            self.timers.expire = now + Duration::from_secs(60);
            self.members.expire(now);
        }
    }

    fn vote(&mut self, now: Instant) {
        for (id, incarnation) in self.watcher.tick(now) {
            for watcher in self.watchers(id) {
                if watcher == self.me.id {
                    continue;
                }
                if let Some(to) = self.control(watcher) {
                    self.send(to, Body::Suspect { id, incarnation });
                }
            }
        }
    }

    pub(super) fn announce(&mut self, now: Instant) {
        self.timers.announce = now + ANNOUNCE_EVERY;
        self.timers.announced = now;
        self.store_self(now);
        self.clients
            .retain(|_, client| now.since(client.heard) < SUSPECT_AFTER);
        let watchers = self.watchers(self.me.id);
        let mut to = watchers
            .iter()
            .filter_map(|&id| self.control(id))
            .collect::<Vec<_>>();
        if to.is_empty() {
            to = self.rng.pick(&self.seeds, WATCHERS);
        }
        for to in to {
            self.send(
                to,
                Body::Announce {
                    member: self.me,
                    left: false,
                },
            );
        }
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
        for to in self.rng.pick(&others, FANOUT) {
            let body = Body::Gossip {
                beats: Vec::new(),
                entries: vec![entry],
                loads: Vec::new(),
            };
            self.send(to, body);
        }
        self.left = true;
    }

    fn gossip_round(&mut self, now: Instant) {
        let members = &self.members;
        let entries = self
            .gossip
            .take(|id| members.get(id).map(|row| row.entry(now)));
        let loads = self.gossip.take_loads(entries.len());
        if self.is_speaker() {
            self.beats.raise(now, GOSSIP_EVERY);
        }
        let others = self.others();
        for to in self.rng.pick(&others, FANOUT) {
            let (beats, entries, loads) = (self.beats.list(), entries.clone(), loads.clone());
            self.send(
                to,
                Body::Gossip {
                    beats,
                    entries,
                    loads,
                },
            );
        }
    }

    /// Sends the changes of the own data centre to the other ones.
    fn remote_round(&mut self, now: Instant) {
        let speaker = self.is_speaker();
        let members = &self.members;
        let entries = self
            .remote
            .take(|id| members.get(id).map(|row| row.entry(now)));
        for place in self.places() {
            if !speaker && !self.stands_in(now, place) {
                continue;
            }
            let Some(to) = self.contact(place) else {
                continue;
            };
            let (beats, entries) = (self.beats.list(), entries.clone());
            self.send(
                to,
                Body::Gossip {
                    beats,
                    entries,
                    loads: Vec::new(),
                },
            );
        }
    }

    /// Whether this balancer contacts a silent data centre although it is no speaker. About one of
    /// the data centre does so in each round.
    fn stands_in(&mut self, now: Instant, place: DataCentreId) -> bool {
        let silent = self.beats.silent(now, place, REMOTE_DOUBT);
        silent && self.rng.below(self.team.len()) == 0
    }

    /// A speaker of `place`, sometimes any balancer of it.
    fn contact(&mut self, place: DataCentreId) -> Option<SocketAddr> {
        let mut choice = self.speakers(place);
        if self.rng.below(STRAY) == 0 {
            choice = self.members.balancers(place).map(|m| m.control).collect();
        }
        self.rng.pick(&choice, 1).first().copied()
    }

    /// Other data centres with known balancers.
    fn places(&self) -> Vec<DataCentreId> {
        let own = self.me.data_centre;
        let rows = self.members.service(monsoon_model::ServiceId(0));
        let places = rows
            .map(|row| row.member.data_centre)
            .filter(|&place| place != own);
        places
            .collect::<std::collections::BTreeSet<_>>()
            .into_iter()
            .collect()
    }

    fn digest_round(&mut self, now: Instant) {
        self.catching &= now.since(self.started) < CATCH_UP_FOR;
        let every = if self.catching {
            CATCH_UP_EVERY
        } else {
            DIGEST_EVERY
        };
        self.timers.digest = now + every + jitter(&mut self.rng, 50);
        let mut choice = self.others();
        if choice.is_empty() {
            choice.clone_from(&self.seeds);
        }
        if let Some(&to) = self.rng.pick(&choice, 1).first() {
            self.send_digest(to);
        }
    }

    fn remote_digest(&mut self) {
        if !self.is_speaker() {
            return;
        }
        let places = self.places();
        let to = match self.rng.pick(&places, 1).first() {
            Some(&place) if self.rng.below(SEEDING) > 0 => self.contact(place),
            _ => self.rng.pick(&self.seeds, 1).first().copied(),
        };
        if let Some(to) = to {
            self.send_digest(to);
        }
    }

    fn send_digest(&mut self, to: SocketAddr) {
        let buckets = self.members.digest();
        self.send(
            to,
            Body::Digest {
                answer: false,
                buckets,
            },
        );
    }
}
