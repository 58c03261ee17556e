//! Taking over news, and the consequences for lists, watched members and other nodes.

use monsoon_model::{AgentId, Instant};

use super::{BalancerNode, takes_part};
use crate::members::Merge;
use crate::message::{pages, room};
use crate::{Action, Entry, Role, State, Status, listing};

/// Age after which a node gossips what it learns from digests. A starting node learns everything
/// from them, and the others know it already.
const SETTLED: monsoon_model::Duration = monsoon_model::Duration::from_secs(10);
/// Departures pushed at once while one event is handled. The rest follows by gossip.
const MAX_URGENT: usize = 16;

impl BalancerNode {
    /// Merges a received or own entry.
    pub(super) fn learn(&mut self, now: Instant, entry: &Entry, spread: bool) {
        let id = entry.member.id;
        if id == self.me.id {
            self.refute(now, entry);
            return;
        }
        let was_alive = self.members.alive(id);
        let merge = self.members.merge(now, entry);
        if merge == Merge::Stale {
            return;
        }
        let own = entry.member.group == self.me.group;
        let died = was_alive && entry.status == Status::Dead;
        if merge == Merge::Refreshed {
            return;
        }
        if died {
            self.pending.out.push(Action::MemberDied(entry.member));
        }
        if spread {
            self.spread(entry, own);
        }
        self.pending.changed = true;
        self.pending.reassign |= own;
        self.pending.regroup |= own && entry.member.role == Role::Balancer;
        if entry.status != Status::Alive {
            self.clients.remove(&id);
            self.nudge_for(entry);
        }
    }

    fn spread(&mut self, entry: &Entry, own: bool) {
        let id = entry.member.id;
        self.gossip.change(id);
        if own {
            self.remote.change(id);
        }
        let departs = entry.status != Status::Alive || entry.member.state != State::Ready;
        if departs && self.pending.urgent.len() < MAX_URGENT {
            self.pending.urgent.push(id);
        }
    }

    /// Learns what a digest brought.
    pub(super) fn learn_all(&mut self, now: Instant, entries: &[Entry]) {
        let spread = now.since(self.started) >= SETTLED;
        for entry in entries {
            self.learn(now, entry, spread);
        }
    }

    /// Answers a wrong death of this process with a higher incarnation.
    fn refute(&mut self, now: Instant, entry: &Entry) {
        if entry.status != Status::Alive {
            self.refute_death(now, entry.member.incarnation);
        }
    }

    pub(super) fn refute_death(&mut self, now: Instant, incarnation: u64) {
        if incarnation < self.me.incarnation {
            return;
        }
        self.me.incarnation = incarnation + 1;
        self.republish(now);
    }

    /// Announces a changed own state at once.
    pub(super) fn republish(&mut self, now: Instant) {
        self.store_self(now);
        self.gossip.change(self.me.id);
        self.remote.change(self.me.id);
        self.pending.urgent.push(self.me.id);
        self.pending.regroup = true;
        self.pending.reassign = true;
        self.timers.announce = now;
    }

    pub(super) fn store_self(&mut self, now: Instant) {
        self.me.sequence += 1;
        let age = crate::members::seconds(now, self.started);
        let entry = Entry {
            member: self.me,
            status: Status::Alive,
            age,
        };
        self.members.merge(now, &entry);
    }

    /// Agents that must ask for a list again because `entry` departed.
    fn nudge_for(&mut self, entry: &Entry) {
        let all = entry.member.role == Role::Balancer;
        if all && entry.member.group != self.me.group {
            return;
        }
        let wanted = |id: &&AgentId| {
            let row = self.members.get(**id);
            row.is_some_and(|row| {
                let same = row.member.service == entry.member.service;
                row.member.role == Role::Agent && (all || same)
            })
        };
        let ids = self
            .clients
            .keys()
            .filter(wanted)
            .copied()
            .collect::<Vec<_>>();
        self.pending.nudge.extend(ids);
    }

    /// Applies what the event changed: rankings, watched members, pushes.
    pub(super) fn settle(&mut self, now: Instant) {
        if std::mem::take(&mut self.pending.regroup) {
            self.regroup(now);
        }
        let urgent = std::mem::take(&mut self.pending.urgent);
        if !urgent.is_empty() {
            self.push(now, &urgent);
        }
        for id in std::mem::take(&mut self.pending.nudge) {
            self.reply(now, id);
        }
        if std::mem::take(&mut self.pending.changed) {
            self.pending.out.push(Action::MembersChanged);
        }
    }

    /// Computes the rankings of the data centre again.
    pub(super) fn regroup(&mut self, now: Instant) {
        let own = self.me.group;
        let rows = self
            .members
            .balancers(own)
            .filter_map(|m| self.members.get(m.id));
        self.team = rows
            .filter(|row| takes_part(row))
            .map(|row| row.member.id)
            .collect();
        let rows = self.team.iter().filter_map(|&id| self.members.get(id));
        self.list_hash = listing::hash(rows.map(|row| &row.member));
        self.reassign(now);
    }

    /// Starts and stops watching according to the rankings.
    pub(super) fn reassign(&mut self, now: Instant) {
        self.pending.reassign = false;
        let own = self.me.group;
        let candidates = self.members.live().filter(|row| row.member.group == own);
        let candidates = candidates.filter(|row| row.member.id != self.me.id);
        let mine = candidates
            .filter(|row| self.watchers(row.member.id).contains(&self.me.id))
            .map(|row| (row.member.id, row.member.incarnation))
            .collect::<std::collections::BTreeMap<_, _>>();
        self.watcher.retain(|id| mine.contains_key(&id));
        for (id, incarnation) in mine {
            self.watcher.watch(now, id, incarnation);
        }
    }

    /// Sends departures to other balancers without waiting for the next round.
    fn push(&mut self, now: Instant, ids: &[AgentId]) {
        let entries = ids.iter().filter_map(|&id| self.members.get(id));
        let entries = entries.map(|row| row.entry(now)).collect::<Vec<_>>();
        let others = self.others();
        let targets = self.rng.pick(&others, crate::bounds::FANOUT);
        for page in pages(room(&self.beats.list()), entries) {
            for &to in &targets {
                self.send_gossip(to, page.clone(), Vec::new());
            }
        }
        self.push_away(now, ids);
    }

    /// Tells the other data centres at once of departures in the own one. Waiting for the next
    /// contact, and then for gossip there, took up to 2.5 s more than the detection.
    fn push_away(&mut self, now: Instant, ids: &[AgentId]) {
        if !self.is_speaker() {
            return;
        }
        let own = self.me.group;
        let rows = ids.iter().filter_map(|&id| self.members.get(id));
        let rows = rows.filter(|row| row.member.group == own);
        let entries = rows.map(|row| row.entry(now)).collect::<Vec<_>>();
        let pages = pages(room(&self.beats.list()), entries);
        let pages = pages.into_iter().filter(|page| !page.is_empty());
        let pages = pages.collect::<Vec<_>>();
        for place in self.places() {
            for page in &pages {
                if let Some(to) = self.contact(now, place) {
                    self.send_gossip(to, page.clone(), Vec::new());
                }
            }
        }
    }
}
