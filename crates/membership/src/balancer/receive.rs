//! Received messages.

use std::net::SocketAddr;

use monsoon_model::{DataCentreId, Instant};

use super::{BalancerNode, Client};
use crate::bounds::{LOAD_STEP, MAX_MEMBERS};
use crate::probes::Suspect;
use crate::{Body, Entry, LoadRecord, Member, Message, Role, Status};

impl BalancerNode {
    pub(super) fn receive(&mut self, now: Instant, from: SocketAddr, message: Message) {
        let Message { head, body } = message;
        // The seeds of the settings may name this process. Its own table proves nothing.
        if head.id == self.me.id {
            return;
        }
        self.received = now;
        self.pending.out.extend(self.fresh.see(now, &head));
        match body {
            Body::Announce { member, left } => self.announced(now, from, member, left),
            Body::Reply {
                dead: Some(incarnation),
                ..
            } => self.refute_death(now, incarnation),
            Body::Ask { balancers, service } => self.asked(now, from, head.id, balancers, service),
            Body::Gossip {
                place,
                beats,
                entries,
                loads,
            } => {
                self.beats.merge(now, place, &beats);
                self.gossiped(now, &entries, &loads);
                if place != self.me.group {
                    let (place, beats) = (self.me.group, self.beats.list());
                    self.send(from, Body::Beats { place, beats });
                }
            }
            Body::Beats { place, beats } => self.beats.merge(now, place, &beats),
            Body::Digest {
                answer,
                scope,
                agents,
                buckets,
            } => {
                let place = self.members.get(head.id).map(|row| row.member.group);
                if self.digested(now, from, (answer, scope), agents, &buckets) && place == scope {
                    self.beats.compared(scope);
                }
            }
            Body::Entries { entries } => self.learn_all(now, &entries),
            Body::Suspect {
                id,
                incarnation,
                control,
            } => {
                self.voted(
                    now,
                    from,
                    head.id,
                    Suspect {
                        id,
                        incarnation,
                        control,
                    },
                );
            }
            Body::Probe => self.announce_to(from),
            Body::Heard {
                id,
                incarnation,
                age,
            } => self.heard(now, id, incarnation, age),
            Body::Reply { .. } | Body::Balancers { .. } | Body::Service { .. } | Body::Notice => {}
        }
    }

    fn announced(&mut self, now: Instant, from: SocketAddr, member: Member, left: bool) {
        let id = member.id;
        if id == self.me.id {
            return;
        }
        if member.group == DataCentreId(0) {
            // The sender has no document yet; the header tells it where to fetch one.
            self.send(from, Body::Notice);
            return;
        }
        if member.group != self.me.group {
            self.introduced(now, from, &member);
            return;
        }
        let known = self.members.get(id).copied();
        if left {
            self.learn(
                now,
                &Entry {
                    member,
                    status: Status::Left,
                    age: 0,
                },
                true,
            );
            return;
        }
        let dead = known.filter(|row| {
            row.status != Status::Alive && row.member.incarnation >= member.incarnation
        });
        if let Some(row) = dead {
            let dead = Some(row.member.incarnation);
            let body = Body::Reply {
                dead,
                balancers: 0,
                service: 0,
                sample: Vec::new(),
            };
            self.send(from, body);
            return;
        }
        let age = known.map_or(0, |row| row.entry(now).age);
        let same = known.is_some_and(|row| row.member.incarnation == member.incarnation);
        let entry = Entry {
            member,
            status: Status::Alive,
            age: if same { age } else { 0 },
        };
        self.learn(now, &entry, true);
        self.settle_watch(now, &member);
        self.probed(&member);
        self.note_client(now, from, &member);
        self.reply(now, id);
    }

    /// Tells a watcher that suspects a member that it answered.
    fn probed(&mut self, member: &Member) {
        let (id, incarnation) = (member.id, member.incarnation);
        if let Some(to) = self.probes.close(id).filter(|&to| to != self.me.control) {
            self.send(
                to,
                Body::Heard {
                    id,
                    incarnation,
                    age: 0,
                },
            );
        }
    }

    /// Meets a balancer of another data centre that has this one as a seed. Agents of other data
    /// centres would take this one's balancers for their own and get no answer.
    fn introduced(&mut self, now: Instant, from: SocketAddr, member: &Member) {
        if member.role == Role::Balancer {
            self.learn(
                now,
                &Entry {
                    member: *member,
                    status: Status::Alive,
                    age: 0,
                },
                true,
            );
            self.send_digest(from, None);
        }
    }

    /// Notes the announcement with the detector, which may have to learn of the member first.
    fn settle_watch(&mut self, now: Instant, member: &Member) {
        if self.pending.regroup {
            self.pending.regroup = false;
            self.regroup(now);
        }
        if std::mem::take(&mut self.pending.reassign)
            && self.watchers(member.id).contains(&self.me.id)
        {
            self.watcher.watch(now, member.id, member.incarnation);
        }
        self.watcher.heard(now, member.id, member.incarnation);
    }

    fn note_client(&mut self, now: Instant, from: SocketAddr, member: &Member) {
        if self.clients.len() >= MAX_MEMBERS && !self.clients.contains_key(&member.id) {
            return;
        }
        let client = Client {
            control: from,
            heard: now,
            load: member.load,
        };
        let client = self.clients.entry(member.id).or_insert(client);
        client.control = from;
        client.heard = now;
        if client.load.abs_diff(member.load) < LOAD_STEP {
            return;
        }
        client.load = member.load;
        let record = LoadRecord {
            id: member.id,
            sequence: member.sequence,
            load: member.load,
        };
        self.gossip.load(record);
    }

    fn gossiped(&mut self, now: Instant, entries: &[Entry], loads: &[LoadRecord]) {
        for entry in entries {
            self.learn(now, entry, true);
        }
        for record in loads {
            if self.members.load(record.id, record.sequence, record.load) {
                self.gossip.load(*record);
            }
        }
    }
}
