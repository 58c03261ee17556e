//! Answers: replies to announcements, lists and buckets.

use std::net::SocketAddr;

use monsoon_model::{AgentId, DataCentreId, Instant};

use super::BalancerNode;
use crate::bounds::{BUCKETS, CATCH_UP_TIMEOUT, LIST_DELAY, LOAD_SAMPLES, MAX_RESPONSE_PAGES};
use crate::members::{Row, seconds};
use crate::message::{pages, room};
use crate::{BalancerInfo, Body, Entry, Member, Role, Sample, Status, TargetInfo, listing};

impl BalancerNode {
    /// Answers an announcement, or tells a client at once that its lists changed.
    pub(super) fn reply(&mut self, now: Instant, id: AgentId) {
        let Some(to) = self.clients.get(&id).map(|client| client.control) else {
            return;
        };
        let Some(member) = self.members.get(id).map(|row| row.member) else {
            return;
        };
        let mut body = Body::Reply {
            dead: None,
            balancers: 0,
            service: 0,
            sample: Vec::new(),
        };
        if member.role == Role::Agent {
            let lists = self.has_lists(now);
            let service = || listing::hash(self.service(now, &member).0);
            let service = if lists { service() } else { 0 };
            let sample = self.sample(&member);
            body = Body::Reply {
                dead: None,
                balancers: if lists { self.list_hash } else { 0 },
                service,
                sample,
            };
        }
        self.send(to, body);
    }

    /// Whether the tables can stand for the whole group. Agents claim idempotency keys at the listed
    /// members, so a list of a node that has just started must not shorten theirs.
    fn has_lists(&self, now: Instant) -> bool {
        !self.catching || now + CATCH_UP_TIMEOUT >= self.catch_until + LIST_DELAY
    }

    /// Some other targets of the member's service, those of its data centre if there are any.
    fn sample(&mut self, member: &Member) -> Vec<Sample> {
        let rows = self.members.service(member.service);
        let rows = rows.filter(|row| row.works() && self.beats.visible(row.member.group));
        let rows = rows
            .filter(|row| row.member.id != member.id)
            .collect::<Vec<_>>();
        let near = |row: &&&Row| row.member.group == member.group;
        let mut choice = rows
            .iter()
            .filter(near)
            .map(|row| sample(row))
            .collect::<Vec<_>>();
        if choice.is_empty() {
            choice = rows.into_iter().map(sample).collect();
        }
        self.rng.pick(&choice, LOAD_SAMPLES)
    }

    /// Live and recently departed members of a member's service.
    fn service(&self, now: Instant, member: &Member) -> (Vec<&Member>, Vec<TargetInfo>) {
        let mut live = Vec::new();
        let mut departed = Vec::new();
        for row in self.members.service(member.service) {
            let place = row.member.group;
            let age = match (row.status == Status::Alive, self.beats.visible(place)) {
                (true, true) => {
                    live.push(&row.member);
                    continue;
                }
                (true, false) => self.beats.hidden(now, place).map(|at| seconds(now, at)),
                (false, _) => row.departed(now).then(|| row.entry(now).age),
            };
            departed.extend(age.map(|age| info(&row.member, None, age)));
        }
        (live, departed)
    }

    pub(super) fn asked(
        &mut self,
        now: Instant,
        from: SocketAddr,
        id: AgentId,
        balancers: bool,
        service: bool,
    ) {
        if !self.has_lists(now) {
            return;
        }
        if balancers {
            self.send_balancers(from);
        }
        let member = self.members.get(id).map(|row| row.member);
        if let Some(member) = member.filter(|_| service) {
            self.send_service(now, from, &member);
        }
    }

    fn send_balancers(&mut self, to: SocketAddr) {
        let rows = self.team.iter().filter_map(|&id| self.members.get(id));
        let parts = pages(
            room(&()),
            rows.map(|row| BalancerInfo::from(&row.member))
                .collect::<Vec<_>>(),
        );
        let (hash, count) = (self.list_hash, parts.len() as u16);
        for (page, list) in (0..).zip(parts) {
            self.send(
                to,
                Body::Balancers {
                    hash,
                    page,
                    pages: count,
                    list,
                },
            );
        }
    }

    fn send_service(&mut self, now: Instant, to: SocketAddr, member: &Member) {
        let (live, departed) = self.service(now, member);
        let hash = listing::hash(live.iter().copied());
        let live = live
            .into_iter()
            .map(|m| info(m, Some(m.state), self.age(now, m)));
        let parts = pages(room(&()), live.chain(departed).collect::<Vec<_>>());
        let count = parts.len() as u16;
        for (page, list) in (0..).zip(parts) {
            self.send(
                to,
                Body::Service {
                    hash,
                    page,
                    pages: count,
                    list,
                },
            );
        }
    }

    /// Seconds since a member joined or, later, came back with its data centre. Claims made during
    /// a cut are unknown to it, so it counts as new.
    fn age(&self, now: Instant, member: &Member) -> u32 {
        let joined = self.members.get(member.id).map_or(now, |row| row.since);
        let returned = self.beats.returned(member.group).unwrap_or(Instant::ZERO);
        seconds(now, joined.max(returned))
    }

    /// Compares a digest and sends the own entries of buckets that differ. Returns whether none
    /// does.
    pub(super) fn digested(
        &mut self,
        now: Instant,
        from: SocketAddr,
        (answer, scope): (bool, Option<DataCentreId>),
        agents: u32,
        buckets: &[u32],
    ) -> bool {
        if buckets.len() != BUCKETS {
            return false;
        }
        let own = self.members.digest(scope);
        let differs = own
            .iter()
            .zip(buckets)
            .map(|(a, b)| a != b)
            .collect::<Vec<_>>();
        let equal = !differs.contains(&true);
        if answer && scope.is_none() {
            self.listed = Some(agents);
            self.catching &= !equal;
        }
        if !answer {
            self.send(
                from,
                Body::Digest {
                    answer: true,
                    scope,
                    agents: self.live_agents(),
                    buckets: own,
                },
            );
        }
        if equal || (answer && self.catching) {
            return equal;
        }
        for entries in self.differing(now, scope, &differs) {
            self.send(from, Body::Entries { entries });
        }
        false
    }

    /// Whether an entry may be passed on. What is known of live members of a hidden data centre may
    /// be old, and a process that starts there would take it for news.
    fn vouches_for(&self, entry: &Entry) -> bool {
        entry.status != Status::Alive || self.beats.visible(entry.member.group)
    }

    /// Pages of differing buckets, from a random bucket on, so that every bucket gets its turn.
    fn differing(
        &mut self,
        now: Instant,
        scope: Option<DataCentreId>,
        differs: &[bool],
    ) -> Vec<Vec<Entry>> {
        let start = self.rng.below(BUCKETS);
        let order = (start..BUCKETS)
            .chain(0..start)
            .filter(|&bucket| differs[bucket]);
        let mut parts = Vec::new();
        let mut entries = Vec::new();
        for bucket in order {
            let found = self.members.entries(now, scope, bucket);
            entries.extend(found.filter(|entry| self.vouches_for(entry)));
            parts = pages(room(&()), entries.iter().copied());
            if parts.len() >= MAX_RESPONSE_PAGES {
                break;
            }
        }
        parts.truncate(MAX_RESPONSE_PAGES.min(self.answers));
        self.answers -= parts.len();
        parts
    }
}

fn sample(row: &Row) -> Sample {
    Sample {
        id: row.member.id,
        load: row.member.load,
        state: row.member.state,
    }
}

fn info(m: &Member, state: Option<crate::State>, age: u32) -> TargetInfo {
    TargetInfo {
        id: m.id,
        incarnation: m.incarnation,
        data_centre: m.group,
        peer: m.peer,
        state,
        age,
    }
}
