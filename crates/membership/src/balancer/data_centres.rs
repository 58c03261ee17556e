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
        for data_centre in self.heartbeats.returning() {
            let choice = self.members.balancers(data_centre).map(|m| m.control);
            let choice = choice.collect::<Vec<_>>();
            if let Some(&to) = self.rng.pick(&choice, 1).first() {
                self.send_digest(to, Some(data_centre));
            }
        }
    }

    /// Sends the changes of the own data centre to the other ones.
    pub(super) fn remote_round(&mut self, now: Instant) {
        let speaker = self.is_speaker();
        let members = &self.members;
        let find = |id| members.get(id).map(|row| row.entry(now));
        let (entries, _) = self
            .remote_gossip
            .take_round(room(&self.heartbeats.list()), find);
        for data_centre in self.other_data_centres() {
            if !speaker && !self.is_substitute(now, data_centre) {
                continue;
            }
            let Some(to) = self.choose_contact(now, data_centre) else {
                continue;
            };
            self.heartbeats.raise(now, REMOTE_INTERVAL);
            self.send_gossip(to, entries.clone(), Vec::new());
        }
    }

    /// Whether this balancer contacts a silent data centre although it is no speaker. On average
    /// [`GOSSIP_FANOUT`] balancers of the data centre do so in each round.
    fn is_substitute(&mut self, now: Instant, data_centre: DataCentreId) -> bool {
        let silent = self
            .heartbeats
            .is_unresponsive(now, data_centre, FALLBACK_TIMEOUT);
        silent && self.rng.below(self.active_balancers.len()) < GOSSIP_FANOUT
    }

    /// A speaker of `place`, any balancer of it once it is silent.
    pub(super) fn choose_contact(
        &mut self,
        now: Instant,
        data_centre: DataCentreId,
    ) -> Option<SocketAddr> {
        let mut choice = self.speakers(data_centre);
        if choice.is_empty()
            || self
                .heartbeats
                .is_unresponsive(now, data_centre, FALLBACK_TIMEOUT)
        {
            choice = self
                .members
                .balancers(data_centre)
                .map(|m| m.control)
                .collect();
        }
        self.rng.pick(&choice, 1).first().copied()
    }

    /// Other data centres with known balancers.
    pub(super) fn other_data_centres(&self) -> Vec<DataCentreId> {
        let own = self.me.group;
        let rows = self.members.service(monsoon_model::ServiceId(0));
        let data_centres = rows
            .map(|row| row.member.group)
            .filter(|&data_centre| data_centre != own);
        data_centres
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
        let data_centres = self.other_data_centres();
        let target = self.rng.pick(&data_centres, 1).first().copied();
        if target.is_none() || self.rng.below(SEED_DIGEST_ODDS) == 0 {
            if let Some(&to) = self.rng.pick(&self.seeds, 1).first() {
                self.send_digest(to, None);
            }
            return;
        }
        let beating = self.heartbeats.list();
        let any = self
            .rng
            .pick(&beating, 1)
            .first()
            .map(|heartbeat| heartbeat.data_centre);
        let scope = if self.rng.below(2) == 0 { target } else { any };
        if let Some(to) = target.and_then(|data_centre| self.choose_contact(now, data_centre)) {
            self.send_digest(to, scope);
        }
    }
}
