//! Handling of received messages.

use std::net::SocketAddr;

use monsoon_model::{DataCentreId, Instant};

use super::{Announcer, BalancerNode};
use crate::bounds::{LOAD_STEP, MAX_MEMBERS};
use crate::probes::Suspect;
use crate::{Body, Entry, LoadRecord, Member, Message, Role, Status};

impl BalancerNode {
    pub(super) fn receive(&mut self, now: Instant, from: SocketAddr, message: Message) {
        let Message { header, body } = message;
        // The configured seeds may include this process. A comparison with its own table would
        // always be equal.
        if header.id == self.me.id {
            return;
        }
        self.received_at = now;
        self.pending
            .actions
            .extend(self.version_tracker.observe(now, &header));
        match body {
            Body::Announce { member, leaving } => self.receive_announce(now, from, member, leaving),
            Body::Reply {
                dead_incarnation: Some(incarnation),
                ..
            } => self.refute_death(now, incarnation),
            Body::ListRequest {
                wants_balancers,
                wants_service,
            } => self.send_lists(now, from, header.id, wants_balancers, wants_service),
            Body::Gossip {
                data_centre,
                heartbeats,
                entries,
                loads,
            } => {
                self.heartbeats.merge(now, data_centre, &heartbeats);
                self.receive_gossip(now, &entries, &loads);
                if data_centre != self.me.group {
                    let (data_centre, heartbeats) = (self.me.group, self.heartbeats.list());
                    self.send(
                        from,
                        Body::Heartbeats {
                            data_centre,
                            heartbeats,
                        },
                    );
                }
            }
            Body::Heartbeats {
                data_centre,
                heartbeats,
            } => self.heartbeats.merge(now, data_centre, &heartbeats),
            Body::Digest {
                is_response,
                scope,
                followed_s,
                buckets,
            } => {
                if is_response && scope.is_none() {
                    self.record_followed(now, followed_s);
                }
                let data_centre = self.members.get(header.id).map(|row| row.member.group);
                if self.receive_digest(now, from, (is_response, scope), &buckets)
                    && data_centre == scope
                {
                    self.heartbeats.record_equal(scope);
                }
            }
            Body::Entries { entries } => self.merge_entries(now, &entries),
            Body::Suspect {
                id,
                incarnation,
                control,
            } => {
                self.receive_vote(
                    now,
                    from,
                    header.id,
                    Suspect {
                        id,
                        incarnation,
                        control,
                    },
                );
            }
            Body::Probe => self.announce_to(from),
            Body::RecentAnnouncement {
                id,
                incarnation,
                age_ms,
            } => self.receive_recent_announcement(now, id, incarnation, age_ms),
            Body::Reply { .. }
            | Body::Balancers { .. }
            | Body::Service { .. }
            | Body::ConfigurationNotice => {}
        }
    }

    fn receive_announce(&mut self, now: Instant, from: SocketAddr, member: Member, leaving: bool) {
        let id = member.id;
        if id == self.me.id {
            return;
        }
        if member.group == DataCentreId(0) {
            // The sender has no document yet; the header names a process to fetch it from.
            self.send(from, Body::ConfigurationNotice);
            return;
        }
        if member.group != self.me.group {
            self.greet_remote(now, from, &member);
            return;
        }
        let known = self.members.get(id).copied();
        if leaving {
            self.merge_entry(
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
            let dead_incarnation = Some(row.member.incarnation);
            let body = Body::Reply {
                dead_incarnation,
                balancers_hash: 0,
                service_hash: 0,
                samples: Vec::new(),
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
        self.merge_entry(now, &entry, true);
        self.notify_detector(now, &member);
        self.report_answer(&member);
        self.record_announcer(now, from, &member);
        self.reply(now, id);
    }

    /// Informs the watcher that requested a probe of a member that the member answered.
    fn report_answer(&mut self, member: &Member) {
        let (id, incarnation) = (member.id, member.incarnation);
        if let Some(to) = self.probes.close(id).filter(|&to| to != self.me.control) {
            self.send(
                to,
                Body::RecentAnnouncement {
                    id,
                    incarnation,
                    age_ms: 0,
                },
            );
        }
    }

    /// Handles an announcement from another data centre. A balancer there that has this one as a
    /// seed is added. An agent is not answered, because it would take the balancers of this data
    /// centre for those of its own.
    fn greet_remote(&mut self, now: Instant, from: SocketAddr, member: &Member) {
        if member.role == Role::Balancer {
            self.merge_entry(
                now,
                &Entry {
                    member: *member,
                    status: Status::Alive,
                    age: 0,
                },
                true,
            );
            self.send_digest(now, from, None);
        }
    }

    /// Records the announcement in the failure detector, which first starts to watch a new member.
    fn notify_detector(&mut self, now: Instant, member: &Member) {
        if self.pending.rankings_stale {
            self.pending.rankings_stale = false;
            self.rerank(now);
        }
        if std::mem::take(&mut self.pending.watches_stale)
            && self.watchers(member.id).contains(&self.me.id)
        {
            self.detector.watch(now, member.id, member.incarnation);
        }
        self.detector
            .record_announcement(now, member.id, member.incarnation);
    }

    fn record_announcer(&mut self, now: Instant, from: SocketAddr, member: &Member) {
        if self.announcers.len() >= MAX_MEMBERS && !self.announcers.contains_key(&member.id) {
            return;
        }
        let announcer = Announcer {
            control: from,
            last_announcement: now,
            load: member.load,
        };
        let announcer = self.announcers.entry(member.id).or_insert(announcer);
        announcer.control = from;
        announcer.last_announcement = now;
        if announcer.load.abs_diff(member.load) < LOAD_STEP {
            return;
        }
        announcer.load = member.load;
        let record = LoadRecord {
            id: member.id,
            sequence: member.sequence,
            load: member.load,
        };
        self.gossip.queue_load(record);
    }

    fn receive_gossip(&mut self, now: Instant, entries: &[Entry], loads: &[LoadRecord]) {
        for entry in entries {
            self.merge_entry(now, entry, true);
        }
        for record in loads {
            if self
                .members
                .update_load(record.id, record.sequence, record.load)
            {
                self.gossip.queue_load(*record);
            }
        }
    }
}
