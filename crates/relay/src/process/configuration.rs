//! Changes of the configuration and the settings, and fetches of a newer configuration from peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use monsoon_flow::Catalogue;
use monsoon_model::{Instant, Version, Versions};

use super::{FETCH_INTERVAL, Process, REWATCH_INTERVAL, RoleState};
use crate::message::{Message, StoreObject};
use crate::{Settings, peers};

/// Marks the end of a fetch when it is dropped, also when the fetch panics.
struct FetchGuard(Arc<AtomicBool>);

impl Drop for FetchGuard {
    fn drop(&mut self) {
        self.0.store(false, Ordering::Relaxed);
    }
}

impl Process {
    pub(super) fn versions(&self) -> Versions {
        Versions {
            document: self.catalogue.as_ref().map_or(Version::NONE, |c| c.version),
            evacuations: self.restore.evacuations().version,
        }
    }

    /// Handles a peer's message that it has a newer configuration. Usually the watch of the store
    /// delivers it; it is fetched from the peer when the store does not answer or the watch is
    /// late. The answer to a late watch may be lost, so that the store is polled, too.
    pub(super) fn handle_newer_peer(&mut self, now: Instant, peer: SocketAddr, versions: Versions) {
        if self.handle_later_era(now, peer, versions) {
            return;
        }
        let own = self.versions();
        if *self.peers_suffice.borrow() {
            if now.since(self.fetched_at) >= FETCH_INTERVAL && versions.is_ahead_of(own) {
                self.fetched_at = now;
                self.fetch_from_peer(peer);
            }
            return;
        }
        let is_late = self.freshness.is_late(now, own, versions);
        if is_late && now.since(self.rewatched_at) >= REWATCH_INTERVAL {
            self.rewatched_at = now;
            self.behind.send_modify(|behind| *behind += 1);
            self.metrics.count("watch_late");
            log::warn!(
                "store: behind peer={peer} config={} newer={} places={} newer={}",
                own.document,
                versions.document,
                own.evacuations,
                versions.evacuations
            );
        }
        let store_fails = self.freshness.is_failing.contains(&true);
        if is_late || store_fails && versions.is_ahead_of(own) {
            self.fetch_from_peer(peer);
        }
    }

    /// Fetches the configuration of a peer, unless another fetch is in progress.
    pub(super) fn fetch_from_peer(&self, peer: SocketAddr) {
        if self.is_fetching.swap(true, Ordering::Relaxed) {
            return;
        }
        let messages = self.messages.clone();
        let fetch_guard = FetchGuard(Arc::clone(&self.is_fetching));
        let generation = *self.generation.borrow();
        let own = self.versions();
        tokio::spawn(async move {
            if peers::fetch_configuration(peer, own, &messages).await {
                // Sending fails only when the process ends.
                let _ = messages.send(Message::PeerRead(generation)).await;
            }
            drop(fetch_guard);
        });
    }

    /// Fetches the configuration of a peer that was heard, for a process whose configuration is not
    /// checked.
    pub(crate) fn fetch_unchecked(&self, peer: SocketAddr) {
        if !self.config_checked {
            self.fetch_from_peer(peer);
        }
    }

    /// Fetches the configuration of a random seed, for a process that cannot read the store and
    /// whose configuration is not checked.
    pub(super) fn fetch_from_seed(&mut self) {
        if !self.config_checked {
            self.fetch_from_random_seed();
        }
    }

    pub(super) fn fetch_from_random_seed(&self) {
        if self.settings.seeds.is_empty() {
            return;
        }
        let index = rand::random_range(0..self.settings.seeds.len());
        let seed = self.settings.seeds[index];
        if seed != SocketAddr::V4(self.settings.control) {
            self.fetch_from_peer(SocketAddr::new(seed.ip(), self.settings.peer.port()));
        }
    }

    pub(super) fn set_catalogue(&mut self, role_state: &mut RoleState, catalogue: Arc<Catalogue>) {
        log::info!(
            "config: in force config={} routes={} services={}",
            catalogue.version,
            catalogue.routes.len(),
            catalogue.services.len()
        );
        self.catalogue = Some(Arc::clone(&catalogue));
        self.freshness.set_newer(StoreObject::Catalogue);
        match role_state {
            RoleState::Balancer(balancer) => balancer.flows.set_catalogue(catalogue),
            RoleState::Agent(agent) => agent.flows.set_catalogue(catalogue),
        }
    }

    pub(super) fn set_config_checked(&mut self, role_state: &mut RoleState, by: &str) {
        if self.config_checked {
            return;
        }
        self.config_checked = true;
        log::info!(
            "config: checked by={by} config={} places={}",
            self.versions().document,
            self.versions().evacuations
        );
        match role_state {
            RoleState::Balancer(balancer) => balancer.flows.set_config_checked(),
            RoleState::Agent(agent) => agent.flows.set_config_checked(),
        }
    }

    pub(super) fn apply_settings(&mut self, role_state: &mut RoleState, settings: Settings) {
        log::info!("settings: reloaded seeds={}", settings.seeds.len());
        let seeds = settings.seeds.clone();
        match role_state {
            RoleState::Balancer(balancer) => balancer.node.add_seeds(seeds),
            RoleState::Agent(agent) => {
                agent.node.add_seeds(seeds);
                agent.configure(&settings);
            }
        }
        // Changed addresses take effect only after a restart.
        self.settings.seeds = settings.seeds;
        self.settings.limits = settings.limits;
    }
}
