//! Merges entries into the member table and applies the consequences: gossip, rankings, watched
//! members and notices to agents.

use monsoon_model::{AgentId, Instant};

use super::{BalancerNode, is_ranked};
use crate::members::Merge;
use crate::message::{pages, room};
use crate::{Action, Entry, Role, State, Status, listing};

/// Age at which a balancer begins to gossip entries from digests. A starting balancer learns
/// everything from digests, and the others know it already.
const DIGEST_GOSSIP_DELAY: monsoon_model::Duration = monsoon_model::Duration::from_secs(10);
/// Members whose change is sent at once while one event is handled. The others follow by gossip.
const MAX_URGENT: usize = 16;

impl BalancerNode {
    /// Merges an entry. With `spread`, a change is gossiped.
    pub(super) fn merge_entry(&mut self, now: Instant, entry: &Entry, spread: bool) {
        let id = entry.member.id;
        if id == self.me.id {
            self.refute(now, entry);
            return;
        }
        let was_alive = self.members.is_alive(id);
        let merge = self.members.merge(now, entry);
        if merge == Merge::Stale {
            return;
        }
        let is_local = entry.member.group == self.me.group;
        let has_died = was_alive && entry.status == Status::Dead;
        if merge == Merge::Refreshed {
            return;
        }
        if has_died {
            self.pending.actions.push(Action::MemberDied(entry.member));
        }
        if spread {
            self.queue_gossip(entry, is_local);
        }
        self.pending.members_changed = true;
        self.pending.watches_stale |= is_local;
        self.pending.rankings_stale |= is_local && entry.member.role == Role::Balancer;
        if entry.status != Status::Alive {
            self.announcers.remove(&id);
            self.notify_announcers(entry);
        }
    }

    fn queue_gossip(&mut self, entry: &Entry, is_local: bool) {
        let id = entry.member.id;
        self.gossip.queue_change(id);
        if is_local {
            self.remote_gossip.queue_change(id);
        }
        let is_urgent = entry.status != Status::Alive || entry.member.state != State::Ready;
        if is_urgent && self.pending.urgent.len() < MAX_URGENT {
            self.pending.urgent.push(id);
        }
    }

    /// Merges entries that a digest requested.
    pub(super) fn merge_entries(&mut self, now: Instant, entries: &[Entry]) {
        let spread = now.since(self.started_at) >= DIGEST_GOSSIP_DELAY;
        for entry in entries {
            self.merge_entry(now, entry, spread);
        }
    }

    /// Refutes by a higher incarnation that this process was declared dead.
    fn refute(&mut self, now: Instant, entry: &Entry) {
        if entry.status != Status::Alive {
            self.refute_death(now, entry.member.incarnation);
        }
    }

    pub(super) fn refute_death(&mut self, now: Instant, incarnation: u64) {
        if incarnation < self.me.incarnation {
            return;
        }
        self.me.incarnation = incarnation.saturating_add(1);
        self.republish(now);
    }

    /// Gossips and announces a changed state of this balancer at once.
    pub(super) fn republish(&mut self, now: Instant) {
        self.store_self(now);
        self.gossip.queue_change(self.me.id);
        self.remote_gossip.queue_change(self.me.id);
        self.pending.urgent.push(self.me.id);
        self.pending.rankings_stale = true;
        self.pending.watches_stale = true;
        self.timers.next_announcement = now;
    }

    pub(super) fn store_self(&mut self, now: Instant) {
        self.me.sequence += 1;
        let age = crate::members::elapsed_seconds(now, self.started_at);
        let entry = Entry {
            member: self.me,
            status: Status::Alive,
            age,
        };
        self.members.merge(now, &entry);
    }

    /// Notifies the agents whose list no longer holds `entry`, because its member departed.
    fn notify_announcers(&mut self, entry: &Entry) {
        let is_balancer = entry.member.role == Role::Balancer;
        if is_balancer && entry.member.group != self.me.group {
            return;
        }
        let wanted = |id: &&AgentId| {
            let row = self.members.get(**id);
            row.is_some_and(|row| {
                let is_same = row.member.service == entry.member.service;
                row.member.role == Role::Agent && (is_balancer || is_same)
            })
        };
        let ids = self
            .announcers
            .keys()
            .filter(wanted)
            .copied()
            .collect::<Vec<_>>();
        self.pending.notify.extend(ids);
    }

    /// Performs the work that the event left pending: rankings, urgent changes, notices to agents.
    pub(super) fn apply_pending(&mut self, now: Instant) {
        if std::mem::take(&mut self.pending.rankings_stale) {
            self.rerank(now);
        }
        let urgent = std::mem::take(&mut self.pending.urgent);
        if !urgent.is_empty() {
            self.push_urgent(now, &urgent);
        }
        for id in std::mem::take(&mut self.pending.notify) {
            self.reply(now, id);
        }
        if std::mem::take(&mut self.pending.members_changed) {
            self.pending.actions.push(Action::MembersChanged);
        }
    }

    /// Computes the rankings of the data centre again.
    pub(super) fn rerank(&mut self, now: Instant) {
        let own = self.me.group;
        let rows = self
            .members
            .balancers(own)
            .filter_map(|m| self.members.get(m.id));
        self.active_balancers = rows
            .filter(|row| is_ranked(row))
            .map(|row| row.member.id)
            .collect();
        let rows = self
            .active_balancers
            .iter()
            .filter_map(|&id| self.members.get(id));
        self.balancers_hash = listing::member_hash(rows.map(|row| &row.member));
        self.reassign(now);
    }

    /// Starts and stops watching members according to the rankings.
    pub(super) fn reassign(&mut self, now: Instant) {
        self.pending.watches_stale = false;
        let own = self.me.group;
        let candidates = self.members.live().filter(|row| row.member.group == own);
        let candidates = candidates.filter(|row| row.member.id != self.me.id);
        let watched = candidates
            .filter(|row| self.watchers(row.member.id).contains(&self.me.id))
            .map(|row| (row.member.id, row.member.incarnation))
            .collect::<std::collections::BTreeMap<_, _>>();
        self.detector.retain(|id| watched.contains_key(&id));
        for (id, incarnation) in watched {
            self.detector.watch(now, id, incarnation);
        }
    }

    /// Sends urgent changes to other balancers without waiting for the next gossip round.
    fn push_urgent(&mut self, now: Instant, ids: &[AgentId]) {
        let entries = ids.iter().filter_map(|&id| self.members.get(id));
        let entries = entries.map(|row| row.entry(now)).collect::<Vec<_>>();
        let others = self.other_balancers();
        let receivers = self.rng.pick(&others, crate::bounds::GOSSIP_FANOUT);
        for page in pages(room(&self.heartbeats.list()), entries) {
            for &to in &receivers {
                self.send_gossip(to, page.clone(), Vec::new());
            }
        }
        self.push_remote(now, ids);
    }

    /// Sends urgent changes of this data centre to the other ones at once. Waiting for the next
    /// remote round, and then for gossip there, delayed them by up to 2.5 s.
    fn push_remote(&mut self, now: Instant, ids: &[AgentId]) {
        if !self.is_speaker() {
            return;
        }
        let own = self.me.group;
        let rows = ids.iter().filter_map(|&id| self.members.get(id));
        let rows = rows.filter(|row| row.member.group == own);
        let entries = rows.map(|row| row.entry(now)).collect::<Vec<_>>();
        let pages = pages(room(&self.heartbeats.list()), entries);
        let pages = pages.into_iter().filter(|page| !page.is_empty());
        let pages = pages.collect::<Vec<_>>();
        for data_centre in self.other_data_centres() {
            for page in &pages {
                if let Some(to) = self.choose_contact(now, data_centre) {
                    self.send_gossip(to, page.clone(), Vec::new());
                }
            }
        }
    }
}
