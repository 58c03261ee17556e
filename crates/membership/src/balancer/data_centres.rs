//! Messages to other data centres: changes, heartbeats and digests.

use std::net::SocketAddr;

use monsoon_model::{DataCentreId, Instant};

use super::BalancerNode;
use crate::bounds::{FALLBACK_TIMEOUT, GOSSIP_FANOUT, REMOTE_INTERVAL};
use crate::message::room;

/// One in this many digests between data centres goes to a seed, on average. That finds data
/// centres that started, or whose balancers were all replaced, during a partition.
const SEED_DIGEST_ODDS: usize = 4;

impl BalancerNode {
    /// Sends a digest of the members of each returning data centre to a balancer there.
    pub(super) fn compare_returning(&mut self, now: Instant) {
        for data_centre in self.heartbeats.returning() {
            let candidates = self.members.balancers(data_centre).map(|m| m.control);
            let candidates = candidates.collect::<Vec<_>>();
            if let Some(&to) = self.rng.pick(&candidates, 1).first() {
                self.send_digest(now, to, Some(data_centre));
            }
        }
    }

    /// Sends the changes of this data centre and a heartbeat to the other data centres.
    pub(super) fn remote_round(&mut self, now: Instant) {
        let is_speaker = self.is_speaker();
        let members = &self.members;
        let find = |id| members.get(id).map(|row| row.entry(now));
        let (entries, _) = self
            .remote_gossip
            .take_round(room(&self.heartbeats.list()), find);
        for data_centre in self.other_data_centres() {
            if !is_speaker && !self.is_substitute(now, data_centre) {
                continue;
            }
            let Some(to) = self.choose_contact(now, data_centre) else {
                continue;
            };
            self.heartbeats.raise(now, REMOTE_INTERVAL);
            self.send_gossip(to, entries.clone(), Vec::new());
        }
    }

    /// Whether this balancer contacts an unresponsive data centre although it is not a speaker. On
    /// average [`GOSSIP_FANOUT`] balancers do so in each round.
    fn is_substitute(&mut self, now: Instant, data_centre: DataCentreId) -> bool {
        let is_unresponsive = self
            .heartbeats
            .is_unresponsive(now, data_centre, FALLBACK_TIMEOUT);
        is_unresponsive && self.rng.below(self.active_balancers.len()) < GOSSIP_FANOUT
    }

    /// Control address of a speaker of `data_centre`, or of any balancer there once it is
    /// unresponsive.
    pub(super) fn choose_contact(
        &mut self,
        now: Instant,
        data_centre: DataCentreId,
    ) -> Option<SocketAddr> {
        let mut candidates = self.speakers(data_centre);
        if candidates.is_empty()
            || self
                .heartbeats
                .is_unresponsive(now, data_centre, FALLBACK_TIMEOUT)
        {
            candidates = self
                .members
                .balancers(data_centre)
                .map(|m| m.control)
                .collect();
        }
        self.rng.pick(&candidates, 1).first().copied()
    }

    /// Other data centres with known balancers, departed ones included.
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

    /// Sends a digest to another data centre. Half of the digests compare the members of that data
    /// centre; the others compare any data centre, because a third one can forward what a failed
    /// link holds back. Some digests go to a seed, which may know new data centres.
    pub(super) fn remote_digest(&mut self, now: Instant) {
        if !self.is_speaker() {
            return;
        }
        let data_centres = self.other_data_centres();
        let chosen = self.rng.pick(&data_centres, 1).first().copied();
        if chosen.is_none() || self.rng.below(SEED_DIGEST_ODDS) == 0 {
            if let Some(&to) = self.rng.pick(&self.seeds, 1).first() {
                self.send_digest(now, to, None);
            }
            return;
        }
        let heartbeats = self.heartbeats.list();
        let random = self
            .rng
            .pick(&heartbeats, 1)
            .first()
            .map(|heartbeat| heartbeat.data_centre);
        let scope = if self.rng.below(2) == 0 {
            chosen
        } else {
            random
        };
        if let Some(to) = chosen.and_then(|data_centre| self.choose_contact(now, data_centre)) {
            self.send_digest(now, to, scope);
        }
    }
}
