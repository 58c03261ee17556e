//! What a process does when the store comes back from an older copy. [`crate::restore`] decides
//! what stays in force.

use std::net::SocketAddr;
use std::sync::Arc;

use monsoon_flow::{Catalogue, Evacuations};
use monsoon_model::{Instant, Number, Version, Versions};

use super::{Process, RoleState};
use crate::message::{Position, StoreObject, Update};
use crate::restore::{Choice, Source, choose};
use crate::store_watch::raise_era;

impl Process {
    /// Records the era of a response of the store, or of a peer's configuration.
    pub(super) fn observe_era(&mut self, now: Instant, role_state: &mut RoleState, era: u64) {
        raise_era(&self.era, era);
        let former = self.restore.era();
        if !self.restore.observe(now, era) {
            return;
        }
        log::warn!(
            "store: restored era={era} former={former} config={} places={}; the last known \
             configuration stays in force",
            self.versions().document,
            self.versions().evacuations
        );
        self.metrics.count("store_restored");
        self.store_revision = Number::ZERO;
        self.restores.send_modify(|restores| *restores += 1);
        if let RoleState::Balancer(balancer) = role_state {
            balancer.handle_restore(now);
        }
    }

    /// Follows eras that other tasks have seen, and ends what a restore left for a while.
    pub(super) fn tick_restore(&mut self, now: Instant, role_state: &mut RoleState) {
        let known = *self.era.borrow();
        if known > self.restore.era() {
            self.observe_era(now, role_state, known);
        }
        let ended = self.restore.expire(now);
        if !ended.is_empty() {
            log::warn!("places: not written again since the restore names={ended:?}");
            self.apply_evacuations(now, role_state);
        }
        if self.restore.take_recheck(now) {
            self.read_all();
            // That peer may have ended since, so that it is asked only once.
            if let Some(peer) = self.era_peer.take() {
                self.fetch_from_peer(peer);
            } else if self.freshness.is_failing.contains(&true) {
                self.fetch_from_random_seed();
            }
        }
    }

    /// Handles a peer's announcement of versions of a later era. Returns whether it is news, so
    /// that the store is read again and the peer is asked for its configuration.
    pub(super) fn handle_later_era(
        &mut self,
        now: Instant,
        peer: SocketAddr,
        versions: Versions,
    ) -> bool {
        let era = versions.document.era().max(versions.evacuations.era());
        if era >= self.restore.era() {
            self.era_peer = Some(peer);
        }
        let is_news = self.restore.announce(now, era);
        if is_news {
            log::info!("store: new era={era} peer={peer}; reading all again");
            self.read_all();
            self.fetch_from_peer(peer);
        }
        is_news
    }

    /// Reads everything from the store again.
    fn read_all(&self) {
        self.generation.send_modify(|generation| *generation += 1);
    }

    /// Handles a part of the configuration from the store or a peer.
    pub(super) fn handle_update(
        &mut self,
        now: Instant,
        role_state: &mut RoleState,
        update: Update,
    ) {
        match update {
            Update::Catalogue(catalogue) => {
                self.observe_era(now, role_state, catalogue.version.era());
                self.offer_catalogue(role_state, catalogue);
            }
            Update::StoreCatalogue(era, newest) => {
                self.handle_stored_catalogue(now, role_state, era, newest);
            }
            Update::Evacuations(evacuations) => {
                self.offer_evacuations(now, role_state, evacuations, Source::Peer);
            }
            Update::ChangedEvacuations(evacuations, names) => {
                let from = Source::Changes(&names);
                self.offer_evacuations(now, role_state, evacuations, from);
            }
            Update::ListedEvacuations(evacuations, list) => {
                self.offer_evacuations(now, role_state, evacuations, Source::List(list));
            }
        }
    }

    /// Handles the newest configuration of a response of the store.
    fn handle_stored_catalogue(
        &mut self,
        now: Instant,
        role_state: &mut RoleState,
        era: u64,
        newest: Option<Arc<Catalogue>>,
    ) {
        self.observe_era(now, role_state, era);
        if era < self.restore.era() {
            return;
        }
        if let Some(catalogue) = newest {
            self.offer_catalogue(role_state, catalogue);
            return;
        }
        // The copy has no usable configuration.
        let present = self.catalogue.as_ref().map(|c| c.version);
        let former = present.filter(|version| version.era() < era);
        if let Some(former) = former {
            self.restamp(role_state, former.in_era(era), "none");
        }
    }

    /// Handles a configuration of the store or of a peer.
    fn offer_catalogue(&mut self, role_state: &mut RoleState, catalogue: Arc<Catalogue>) {
        let present = self.catalogue.as_ref().map(|c| c.version);
        match choose(present, catalogue.version) {
            Choice::Ignore => {}
            Choice::Adopt => self.set_catalogue(role_state, catalogue),
            Choice::Restamp(version) => {
                self.restamp(role_state, version, &catalogue.version.to_string());
            }
        }
    }

    /// Keeps the present configuration in force in a new era.
    fn restamp(&mut self, role_state: &mut RoleState, version: Version, copy: &str) {
        let Some(present) = &self.catalogue else {
            return;
        };
        log::info!("config: kept config={version} copy={copy}");
        let mut restamped = Catalogue::clone(present);
        restamped.version = version;
        self.set_catalogue(role_state, Arc::new(restamped));
    }

    /// Handles a set of evacuations of the store or of a peer.
    fn offer_evacuations(
        &mut self,
        now: Instant,
        role_state: &mut RoleState,
        evacuations: Evacuations,
        from: Source<'_>,
    ) {
        self.observe_era(now, role_state, evacuations.version.era());
        let before = self.restore.evacuations().clone();
        let offered = evacuations.version;
        if !self.restore.offer(now, evacuations, from) {
            return;
        }
        self.freshness.set_newer(StoreObject::Places);
        let present = self.restore.evacuations();
        if present.data_centres != before.data_centres {
            log::info!(
                "places: in force places={} out={:?}",
                present.version,
                present.data_centres
            );
        } else if present.version.era() > before.version.era() || present.version > offered {
            log::info!(
                "places: kept places={} offered={offered} out={:?}",
                present.version,
                present.data_centres
            );
        }
        self.apply_evacuations(now, role_state);
    }

    /// Passes the evacuations in force to the flows.
    fn apply_evacuations(&self, now: Instant, role_state: &mut RoleState) {
        let evacuations = self.restore.evacuations();
        match role_state {
            RoleState::Balancer(balancer) => balancer.flows.set_evacuations(evacuations, |name| {
                self.settings
                    .data_centre_named(name)
                    .map(|data_centre| data_centre.id)
            }),
            RoleState::Agent(agent) => agent.flows.set_evacuations(now, evacuations),
        }
    }

    /// Records that an object was read from the store.
    pub(super) fn record_position(
        &mut self,
        now: Instant,
        role_state: &mut RoleState,
        object: StoreObject,
        position: Position,
    ) {
        self.observe_era(now, role_state, position.era);
        if position.era == self.restore.era() {
            self.restore.set_read(object);
            self.store_revision = self.store_revision.max(position.revision);
        }
    }
}
