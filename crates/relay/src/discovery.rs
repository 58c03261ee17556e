//! Discovery through the store: of balancers, for processes whose seeds in the settings are all
//! unreachable, and of agents, for balancers that start when no other balancer knows them.
//!
//! The registry of agents is one object, which one balancer keeps up to date and each balancer that
//! starts reads once. It tells a balancer which agents it has to hear of before it may take a flow
//! without owner for ended.

use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::sleep;

use crate::message::{Message, MessageSender};
use crate::restore::is_same_era;
use crate::store_watch::rejected_entries;
use crate::{AgentRegistry, Settings, StoreClient, StoreError};

/// Delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// First delay before a failed read of the registry is retried; doubles up to
/// [`MAX_REGISTRY_DELAY`]. Flows without owner wait for it.
const REGISTRY_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Longest delay before a failed read of the registry is retried.
const MAX_REGISTRY_DELAY: Duration = Duration::from_secs(5);
/// Time over which processes spread the writes of entries that a restore of the store has lost.
const REWRITE_SPREAD: Duration = Duration::from_secs(3);
/// Least time between two reads while no other process is received from.
const READ_INTERVAL: Duration = Duration::from_secs(2);

/// Records a balancer in the store, so that other processes find it. It is recorded again after
/// each restore of the store, which may have lost the entry.
pub(crate) async fn register_balancer(
    client: StoreClient,
    settings: Settings,
    mut restores: watch::Receiver<u64>,
) {
    let instance = settings.instance.clone();
    let address = settings.control;
    loop {
        restores.mark_unchanged();
        while let Err(error) =
            (client.register_balancer)(settings.store, instance.clone(), address).await
        {
            log::warn!("discovery: registration failed; retrying error=\"{error}\"");
            sleep(RETRY_DELAY).await;
        }
        log::info!("discovery: registered instance={instance} control={address}");
        if restores.changed().await.is_err() {
            return;
        }
        sleep(rewrite_delay()).await;
    }
}

/// Random delay from a restore of the store to a write of a lost entry.
pub(crate) fn rewrite_delay() -> Duration {
    REWRITE_SPREAD.mul_f64(rand::random_range(0.0..1.0))
}

/// Reads the recorded balancers at the start, and again while the process is isolated.
pub(crate) async fn find_balancers(
    client: StoreClient,
    store: SocketAddr,
    own_address: SocketAddrV4,
    mut is_isolated: watch::Receiver<bool>,
    messages: MessageSender,
) {
    loop {
        match (client.list_balancers)(store).await {
            Ok(response) => {
                let rejected = rejected_entries(&response, "balancers");
                let mut balancers = response.items;
                balancers.retain(|&address| address != SocketAddr::V4(own_address));
                for message in rejected.into_iter().chain([Message::Balancers(balancers)]) {
                    if messages.send(message).await.is_err() {
                        return;
                    }
                }
                sleep(READ_INTERVAL).await;
                if is_isolated
                    .wait_for(|is_isolated| *is_isolated)
                    .await
                    .is_err()
                {
                    return;
                }
            }
            Err(error) => {
                log::warn!("discovery: list of balancers not read; retrying error=\"{error}\"");
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Reads the registry of agents, with retries until the store answers. A response of an era before
/// the `known` one is late and is retried as well, with the same delays.
pub(crate) async fn read_registry(
    client: StoreClient,
    store: SocketAddr,
    known: watch::Receiver<u64>,
    messages: MessageSender,
) {
    let mut delay = REGISTRY_RETRY_DELAY;
    loop {
        let read = (client.read_agents)(store).await;
        let read = read.and_then(|registry| match registry.era {
            Some(era) if era < *known.borrow() => Err(StoreError::Unavailable {
                reason: format!("the response is of the former era {era}"),
            }),
            _ => Ok(registry),
        });
        match read {
            Ok(registry) => {
                log::info!("registry: read agents={}", registry.agents.len());
                // Sending fails only when the process ends.
                let _ = messages.send(Message::Registry(registry)).await;
                return;
            }
            Err(error) => {
                log::warn!("registry: not read; retrying error=\"{error}\"");
                sleep(delay).await;
                delay = (delay * 2).min(MAX_REGISTRY_DELAY);
            }
        }
    }
}

/// Writes the registry of agents once.
pub(crate) async fn write_registry(
    client: StoreClient,
    store: SocketAddr,
    registry: AgentRegistry,
    messages: MessageSender,
) {
    let (agents, read_era) = (registry.agents.clone(), registry.era);
    let written = (client.write_agents)(store, registry).await;
    let result = written.and_then(|written| {
        if !is_same_era(read_era, written.era) {
            return Err(StoreError::Conflict);
        }
        Ok(AgentRegistry {
            // Without the header, the write belongs to the era of its condition.
            era: written.era.or(read_era),
            revision: Some(written.revision),
            agents,
        })
    });
    // Sending fails only when the process ends.
    let _ = messages.send(Message::RegistryWritten(result)).await;
}

#[cfg(test)]
mod tests;
