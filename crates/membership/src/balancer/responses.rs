//! Responses of a balancer: replies to announcements, lists, and entries of differing buckets.

use std::net::SocketAddr;

use monsoon_model::{AgentId, DataCentreId, Instant};

use super::BalancerNode;
use crate::bounds::{BUCKETS, CATCH_UP_TIMEOUT, LIST_DELAY, LOAD_SAMPLES, MAX_RESPONSE_PAGES};
use crate::members::{Row, elapsed_seconds};
use crate::message::{pages, room};
use crate::{BalancerInfo, Body, Entry, Member, Role, Sample, Status, TargetInfo, listing};

impl BalancerNode {
    /// Answers an announcement, or informs an agent at once that its lists changed.
    pub(super) fn reply(&mut self, now: Instant, id: AgentId) {
        let Some(to) = self.announcers.get(&id).map(|announcer| announcer.control) else {
            return;
        };
        let Some(member) = self.members.get(id).map(|row| row.member) else {
            return;
        };
        let mut body = Body::Reply {
            dead_incarnation: None,
            balancers_hash: 0,
            service_hash: 0,
            samples: Vec::new(),
        };
        if member.role == Role::Agent {
            let has_lists = self.has_complete_lists(now);
            let service_hash = || listing::member_hash(self.service_members(now, &member).0);
            let service_hash = if has_lists { service_hash() } else { 0 };
            let samples = self.choose_samples(&member);
            body = Body::Reply {
                dead_incarnation: None,
                balancers_hash: if has_lists { self.balancers_hash } else { 0 },
                service_hash,
                samples,
            };
        }
        self.send(to, body);
    }

    /// Whether the table is complete enough to send lists. Agents claim idempotency keys at the
    /// listed members, so a balancer that just started must not send them a shorter list.
    fn has_complete_lists(&self, now: Instant) -> bool {
        !self.catching_up || now + CATCH_UP_TIMEOUT >= self.catchup_deadline + LIST_DELAY
    }

    /// Samples other targets of the member's service, in its own data centre if there are any.
    fn choose_samples(&mut self, member: &Member) -> Vec<Sample> {
        let rows = self.members.service(member.service);
        let rows =
            rows.filter(|row| row.takes_work() && self.heartbeats.is_visible(row.member.group));
        let rows = rows
            .filter(|row| row.member.id != member.id)
            .collect::<Vec<_>>();
        let is_local = |row: &&&Row| row.member.group == member.group;
        let mut candidates = rows
            .iter()
            .filter(is_local)
            .map(|row| load_sample(row))
            .collect::<Vec<_>>();
        if candidates.is_empty() {
            candidates = rows.into_iter().map(load_sample).collect();
        }
        self.rng.pick(&candidates, LOAD_SAMPLES)
    }

    /// Live and recently departed members of a member's service. Live members of a hidden data
    /// centre count as departed.
    fn service_members(&self, now: Instant, member: &Member) -> (Vec<&Member>, Vec<TargetInfo>) {
        let mut live = Vec::new();
        let mut departed = Vec::new();
        for row in self.members.service(member.service) {
            let data_centre = row.member.group;
            let age = match (
                row.status == Status::Alive,
                self.heartbeats.is_visible(data_centre),
            ) {
                (true, true) => {
                    live.push(&row.member);
                    continue;
                }
                (true, false) => self
                    .heartbeats
                    .hidden_at(now, data_centre)
                    .map(|at| elapsed_seconds(now, at)),
                (false, _) => row.departed_recently(now).then(|| row.entry(now).age),
            };
            departed.extend(age.map(|age| target_info(&row.member, None, age)));
        }
        (live, departed)
    }

    pub(super) fn send_lists(
        &mut self,
        now: Instant,
        from: SocketAddr,
        id: AgentId,
        wants_balancers: bool,
        wants_service: bool,
    ) {
        if !self.has_complete_lists(now) {
            return;
        }
        if wants_balancers {
            self.send_balancers(from);
        }
        let member = self.members.get(id).map(|row| row.member);
        if let Some(member) = member.filter(|_| wants_service) {
            self.send_service(now, from, &member);
        }
    }

    fn send_balancers(&mut self, to: SocketAddr) {
        let rows = self
            .active_balancers
            .iter()
            .filter_map(|&id| self.members.get(id));
        let parts = pages(
            room(&()),
            rows.map(|row| BalancerInfo::from(&row.member))
                .collect::<Vec<_>>(),
        );
        let (hash, count) = (self.balancers_hash, parts.len() as u16);
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
        let (live, departed) = self.service_members(now, member);
        let hash = listing::member_hash(live.iter().copied());
        let live = live
            .into_iter()
            .map(|m| target_info(m, Some(m.state), self.member_age(now, m)));
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

    /// Seconds since a member joined or, if later, its data centre returned. The member does not
    /// know claims made during a partition, so it counts as new.
    fn member_age(&self, now: Instant, member: &Member) -> u32 {
        let joined = self
            .members
            .get(member.id)
            .map_or(now, |row| row.changed_at);
        let returned = self
            .heartbeats
            .returned_at(member.group)
            .unwrap_or(Instant::ZERO);
        elapsed_seconds(now, joined.max(returned))
    }

    /// Compares a digest with this table and sends the entries of differing buckets. Returns
    /// whether no bucket differs.
    pub(super) fn receive_digest(
        &mut self,
        now: Instant,
        from: SocketAddr,
        (is_response, scope): (bool, Option<DataCentreId>),
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
        if is_response && scope.is_none() {
            self.catching_up &= !equal;
        }
        if !is_response {
            self.send(
                from,
                Body::Digest {
                    is_response: true,
                    scope,
                    followed_s: elapsed_seconds(now, self.followed_since),
                    buckets: own,
                },
            );
        }
        if equal || (is_response && self.catching_up) {
            return equal;
        }
        for entries in self.differing_pages(now, scope, &differs) {
            self.send(from, Body::Entries { entries });
        }
        false
    }

    /// Whether an entry may be sent in response to a digest. Entries of live members of a hidden
    /// data centre may be outdated, and a process that starts there would accept them as new.
    fn may_forward(&self, entry: &Entry) -> bool {
        entry.status != Status::Alive || self.heartbeats.is_visible(entry.member.group)
    }

    /// Pages with the entries of differing buckets. Starts at a random bucket, because the number
    /// of pages is limited and each bucket must be reached eventually.
    fn differing_pages(
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
            entries.extend(found.filter(|entry| self.may_forward(entry)));
            parts = pages(room(&()), entries.iter().copied());
            if parts.len() >= MAX_RESPONSE_PAGES {
                break;
            }
        }
        parts.truncate(MAX_RESPONSE_PAGES.min(self.page_budget));
        self.page_budget -= parts.len();
        parts
    }
}

fn load_sample(row: &Row) -> Sample {
    Sample {
        id: row.member.id,
        load: row.member.load,
        state: row.member.state,
    }
}

fn target_info(m: &Member, state: Option<crate::State>, age: u32) -> TargetInfo {
    TargetInfo {
        id: m.id,
        incarnation: m.incarnation,
        data_centre: m.group,
        peer: m.peer,
        state,
        age,
    }
}
