//! Periodic work: announcements, votes, gossip rounds, digests, contact with other data centres.

use std::net::SocketAddr;

use monsoon_model::{DataCentreId, Duration, Instant};

use super::{BalancerNode, jitter};
use crate::bounds::{
    ANNOUNCE_EVERY, ANSWERS_PER_SECOND, CATCH_UP_EVERY, DIGEST_EVERY, FANOUT, GOSSIP_EVERY,
    REMOTE_DOUBT, REMOTE_EVERY, SUSPECT_AFTER, WATCHERS,
};
use crate::message::room;
use crate::probes::Suspect;
use crate::{Body, Entry, LoadRecord, Status};

/// Interval of digests between data centres, one data centre at a time.
const REMOTE_DIGEST_EVERY: Duration = Duration::from_secs(1);
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
        self.probe(now);
        self.bury(now);
        if now >= self.timers.announce {
            self.announce(now);
        }
        if now >= self.timers.gossip {
            self.timers.gossip = now + GOSSIP_EVERY;
            self.gossip_round(now);
            self.compare_returning();
        }
        if now >= self.timers.answers {
            self.timers.answers = now + Duration::from_secs(1);
            self.answers = ANSWERS_PER_SECOND;
        }
        if now >= self.timers.contact {
            self.timers.contact = now + REMOTE_EVERY;
            self.remote_round(now);
        }
        if now >= self.timers.digest {
            self.digest_round(now);
        }
        if now >= self.timers.remote {
            self.timers.remote = now + REMOTE_DIGEST_EVERY;
            self.remote_digest(now);
        }
        if now >= self.timers.expire {
            self.timers.expire = now + Duration::from_secs(60);
            self.members.expire(now);
        }
    }

    fn vote(&mut self, now: Instant) {
        let due = self.watcher.tick(now);
        for (id, incarnation) in due.ask {
            if let Some(control) = self.control(id) {
                self.probes.open(
                    now,
                    Suspect {
                        id,
                        incarnation,
                        control,
                    },
                    self.me.control,
                );
            }
        }
        for (id, incarnation) in due.tell {
            let Some(control) = self.control(id) else {
                continue;
            };
            let others = self
                .watchers(id)
                .into_iter()
                .filter(|&watcher| watcher != self.me.id);
            let others = others.filter_map(|watcher| self.control(watcher));
            for to in others.collect::<Vec<_>>() {
                self.suspect(
                    to,
                    Suspect {
                        id,
                        incarnation,
                        control,
                    },
                );
            }
            if self.rule.asks {
                self.send(control, Body::Probe);
            }
        }
    }

    fn suspect(&mut self, to: SocketAddr, suspect: Suspect) {
        let Suspect {
            id,
            incarnation,
            control,
        } = suspect;
        self.send(
            to,
            Body::Suspect {
                id,
                incarnation,
                control,
            },
        );
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

    fn probe(&mut self, now: Instant) {
        let due = self.probes.tick(now);
        for to in due.ask {
            self.send(to, Body::Probe);
        }
        for (suspect, asker) in due.silent {
            if asker == self.me.control {
                self.watcher.unanswered(suspect.id);
            } else {
                self.suspect(asker, suspect);
            }
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
            self.send_gossip(to, vec![entry], Vec::new());
        }
        self.left = true;
    }

    fn gossip_round(&mut self, now: Instant) {
        let members = &self.members;
        let find = |id| members.get(id).map(|row| row.entry(now));
        let (entries, loads) = self.gossip.take(room(&self.beats.list()), find);
        let others = self.others();
        for to in self.rng.pick(&others, FANOUT) {
            self.send_gossip(to, entries.clone(), loads.clone());
        }
    }

    pub(super) fn send_gossip(
        &mut self,
        to: SocketAddr,
        entries: Vec<Entry>,
        loads: Vec<LoadRecord>,
    ) {
        let (place, beats) = (self.me.data_centre, self.beats.list());
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

    /// Compares the members of data centres that come back with any balancer there.
    fn compare_returning(&mut self) {
        for place in self.beats.returning() {
            let choice = self.members.balancers(place).map(|m| m.control);
            let choice = choice.collect::<Vec<_>>();
            if let Some(&to) = self.rng.pick(&choice, 1).first() {
                self.send_digest(to, Some(place));
            }
        }
    }

    /// Sends the changes of the own data centre to the other ones.
    fn remote_round(&mut self, now: Instant) {
        let speaker = self.is_speaker();
        let members = &self.members;
        let find = |id| members.get(id).map(|row| row.entry(now));
        let (entries, _) = self.remote.take(room(&self.beats.list()), find);
        for place in self.places() {
            if !speaker && !self.stands_in(now, place) {
                continue;
            }
            let Some(to) = self.contact(now, place) else {
                continue;
            };
            self.beats.raise(now, REMOTE_EVERY);
            self.send_gossip(to, entries.clone(), Vec::new());
        }
    }

    /// Whether this balancer contacts a silent data centre although it is no speaker. On average
    /// [`FANOUT`] balancers of the data centre do so in each round.
    fn stands_in(&mut self, now: Instant, place: DataCentreId) -> bool {
        let silent = self.beats.silent(now, place, REMOTE_DOUBT);
        silent && self.rng.below(self.team.len()) < FANOUT
    }

    /// A speaker of `place`, any balancer of it once it is silent.
    fn contact(&mut self, now: Instant, place: DataCentreId) -> Option<SocketAddr> {
        let mut choice = self.speakers(place);
        if choice.is_empty() || self.beats.silent(now, place, REMOTE_DOUBT) {
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
        self.catching &= now < self.catch_until;
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
            self.send_digest(to, None);
        }
    }

    /// Compares the members of one data centre with a balancer of one. Mostly both are the same,
    /// but a third one can pass on what a cut link holds back, and a seed can name a new one.
    fn remote_digest(&mut self, now: Instant) {
        if !self.is_speaker() {
            return;
        }
        let places = self.places();
        let target = self.rng.pick(&places, 1).first().copied();
        if target.is_none() || self.rng.below(SEEDING) == 0 {
            if let Some(&to) = self.rng.pick(&self.seeds, 1).first() {
                self.send_digest(to, None);
            }
            return;
        }
        let beating = self.beats.list();
        let any = self.rng.pick(&beating, 1).first().map(|beat| beat.place);
        let scope = if self.rng.below(2) == 0 { target } else { any };
        if let Some(to) = target.and_then(|place| self.contact(now, place)) {
            self.send_digest(to, scope);
        }
    }

    pub(super) fn send_digest(&mut self, to: SocketAddr, scope: Option<DataCentreId>) {
        let buckets = self.members.digest(scope);
        self.send(
            to,
            Body::Digest {
                answer: false,
                scope,
                buckets,
            },
        );
    }
}
