//! Configuration: taking it over, and asking peers for what is newer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use monsoon_flow::{Catalogue, Evacuations};
use monsoon_model::{Instant, Version, Versions};

use super::{FETCH_INTERVAL, Process, RoleState, WATCH_GRACE};
use crate::message::Message;
use crate::{Settings, peers};

impl Process {
    pub(super) fn versions(&self) -> Versions {
        Versions {
            document: self.catalogue.as_ref().map_or(Version(0), |c| c.version),
            evacuations: self.places.version,
        }
    }

    /// A peer has a newer configuration. The own watch usually brings it; a peer is asked when
    /// the store does not answer or the watch is late.
    pub(super) fn handle_newer_peer(&mut self, now: Instant, peer: SocketAddr, versions: Versions) {
        let own = self.versions();
        if *self.peers_suffice.borrow() {
            if now.since(self.fetched_at) >= FETCH_INTERVAL && versions.is_ahead_of(own) {
                self.fetched_at = now;
                self.fetch_from_peer(peer);
            }
            return;
        }
        let document = versions.document > own.document;
        let since = *self.freshness.behind_since.get_or_insert(now);
        let late = document && now.since(since) >= WATCH_GRACE;
        let failing = self.freshness.is_failing.contains(&true);
        if !document {
            self.freshness.behind_since = None;
        }
        if !(late || failing && versions.is_ahead_of(own)) {
            return;
        }
        self.fetch_from_peer(peer);
    }

    /// Fetches the configuration of a peer, one at a time.
    pub(super) fn fetch_from_peer(&self, peer: SocketAddr) {
        if self.is_fetching.swap(true, Ordering::Relaxed) {
            return;
        }
        let (messages, is_fetching) = (self.messages.clone(), Arc::clone(&self.is_fetching));
        let generation = *self.generation.borrow();
        let own = self.versions();
        tokio::spawn(async move {
            if peers::fetch_configuration(peer, own, &messages).await {
                // The owner of the state has ended when the queue is closed.
                let _ = messages.send(Message::PeerRead(generation)).await;
            }
            is_fetching.store(false, Ordering::Relaxed);
        });
    }

    /// Without an answer of the store, any process that has a checked configuration helps.
    pub(super) fn fetch_from_seed(&mut self) {
        if self.is_checked || self.settings.seeds.is_empty() {
            return;
        }
        let pick = rand::random_range(0..self.settings.seeds.len());
        let seed = self.settings.seeds[pick];
        if seed != SocketAddr::V4(self.settings.control) {
            self.fetch_from_peer(SocketAddr::new(seed.ip(), self.settings.peer.port()));
        }
    }

    pub(super) fn set_catalogue(&mut self, role_state: &mut RoleState, catalogue: Arc<Catalogue>) {
        if self
            .catalogue
            .as_ref()
            .is_some_and(|c| c.version >= catalogue.version)
        {
            return;
        }
        log::info!(
            "config: in force config={} routes={} services={}",
            catalogue.version,
            catalogue.routes.len(),
            catalogue.services.len()
        );
        self.catalogue = Some(Arc::clone(&catalogue));
        self.freshness.behind_since = None;
        match role_state {
            RoleState::Balancer(balancer) => balancer.flows.set_catalogue(catalogue),
            RoleState::Agent(agent) => agent.flows.set_catalogue(catalogue),
        }
    }

    pub(super) fn set_places(
        &mut self,
        now: Instant,
        role_state: &mut RoleState,
        places: Evacuations,
    ) {
        if places.version < self.places.version {
            return;
        }
        if places.data_centres != self.places.data_centres {
            log::info!(
                "places: in force places={} out={:?}",
                places.version,
                places.data_centres
            );
        }
        match role_state {
            RoleState::Balancer(balancer) => balancer.flows.set_evacuations(&places, |name| {
                self.settings
                    .data_centre_named(name)
                    .map(|data_centre| data_centre.id)
            }),
            RoleState::Agent(agent) => agent.flows.set_evacuations(now, &places),
        }
        self.places = places;
    }

    pub(super) fn set_checked(&mut self, role_state: &mut RoleState, by: &str) {
        if self.is_checked {
            return;
        }
        self.is_checked = true;
        log::info!(
            "config: checked by={by} config={} places={}",
            self.versions().document,
            self.places.version
        );
        match role_state {
            RoleState::Balancer(balancer) => balancer.flows.set_config_checked(),
            RoleState::Agent(agent) => agent.flows.set_config_checked(),
        }
    }

    pub(super) fn configure(&mut self, role_state: &mut RoleState, settings: Settings) {
        log::info!("settings: reloaded seeds={}", settings.seeds.len());
        let seeds = settings.seeds.clone();
        match role_state {
            RoleState::Balancer(balancer) => balancer.node.add_seeds(seeds),
            RoleState::Agent(agent) => {
                agent.node.add_seeds(seeds);
                agent.configure(&settings);
            }
        }
        // Sockets stay as they are; addresses change only with a restart.
        self.settings.seeds = settings.seeds;
        self.settings.bounds = settings.bounds;
    }
}
