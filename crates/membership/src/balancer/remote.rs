//! Contact with other data centres.

use std::net::SocketAddr;

use monsoon_model::{DataCentreId, Instant};

use super::BalancerNode;
use crate::bounds::{FALLBACK_TIMEOUT, GOSSIP_FANOUT, REMOTE_INTERVAL};
use crate::message::room;

/// Chance, one in this many, that a digest between data centres goes to a seed. Finds data centres
/// that started or whose balancers were all replaced while no contact was possible.
const SEED_DIGEST_ODDS: usize = 4;

impl BalancerNode {
    /// Compares the members of data centres that come back with any balancer there.
    pub(super) fn compare_returning(&mut self) {
        for place in self.beats.returning() {
            let choice = self.members.balancers(place).map(|m| m.control);
            let choice = choice.collect::<Vec<_>>();
            if let Some(&to) = self.rng.pick(&choice, 1).first() {
                self.send_digest(to, Some(place));
            }
        }
    }

    /// Sends the changes of the own data centre to the other ones.
    pub(super) fn remote_round(&mut self, now: Instant) {
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
            self.beats.raise(now, REMOTE_INTERVAL);
            self.send_gossip(to, entries.clone(), Vec::new());
        }
    }

    /// Whether this balancer contacts a silent data centre although it is no speaker. On average
    /// [`GOSSIP_FANOUT`] balancers of the data centre do so in each round.
    fn stands_in(&mut self, now: Instant, place: DataCentreId) -> bool {
        let silent = self.beats.silent(now, place, FALLBACK_TIMEOUT);
        silent && self.rng.below(self.team.len()) < GOSSIP_FANOUT
    }

    /// A speaker of `place`, any balancer of it once it is silent.
    pub(super) fn contact(&mut self, now: Instant, place: DataCentreId) -> Option<SocketAddr> {
        let mut choice = self.speakers(place);
        if choice.is_empty() || self.beats.silent(now, place, FALLBACK_TIMEOUT) {
            choice = self.members.balancers(place).map(|m| m.control).collect();
        }
        self.rng.pick(&choice, 1).first().copied()
    }

    /// Other data centres with known balancers.
    pub(super) fn places(&self) -> Vec<DataCentreId> {
        let own = self.me.group;
        let rows = self.members.service(monsoon_model::ServiceId(0));
        let places = rows
            .map(|row| row.member.group)
            .filter(|&place| place != own);
        places
            .collect::<std::collections::BTreeSet<_>>()
            .into_iter()
            .collect()
    }

    /// Compares the members of one data centre with a balancer of one. Mostly both are the same,
    /// but a third one can pass on what a cut link holds back, and a seed can name a new one.
    pub(super) fn remote_digest(&mut self, now: Instant) {
        if !self.is_speaker() {
            return;
        }
        let places = self.places();
        let target = self.rng.pick(&places, 1).first().copied();
        if target.is_none() || self.rng.below(SEED_DIGEST_ODDS) == 0 {
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
}
