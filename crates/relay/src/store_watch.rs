//! Following the configuration in the store: one list, then watches.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use monsoon_flow::{Catalogue, Evacuations};
use monsoon_model::Version;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::message::{Message, MessageSender, StoreObject};
use crate::{EvacuationEntry, StoreClient, StoreError, StoreFuture, StoreRead};

/// First pause after a failed read; doubles up to [`MAX_RETRY_DELAY`].
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Longest pause after a failed read. Short against the time in which a change has to be in force.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);
/// Pause after a change, so that changes in quick succession cost one call together. Short against
/// the time in which a change has to be in force.
const CHANGE_DELAY: Duration = Duration::from_millis(600);

/// When the store is read.
#[derive(Clone, Debug)]
pub(crate) struct ReadPolicy {
    /// Rises when everything has to be read again.
    pub generation: watch::Receiver<u64>,
    /// Other processes tell of changes, so that a list that was read suffices.
    pub peers_suffice: watch::Receiver<bool>,
}

/// Follows the configuration until the process ends.
pub(crate) async fn watch_catalogue(
    client: StoreClient,
    store: SocketAddr,
    policy: ReadPolicy,
    messages: MessageSender,
) {
    let read = move |after| (client.read_catalogue)(store, after);
    let apply = |response: StoreRead<Catalogue>, _| {
        let newest = response.items.into_iter().max_by_key(|c| c.version);
        newest.map(|catalogue| Message::Catalogue(Arc::new(catalogue)))
    };
    watch_object(StoreObject::Catalogue, read, apply, policy, messages).await;
}

/// Follows the data centres taken out until the process ends.
pub(crate) async fn watch_evacuations(
    client: StoreClient,
    store: SocketAddr,
    policy: ReadPolicy,
    messages: MessageSender,
) {
    let read = move |after| (client.read_evacuations)(store, after);
    let mut out = BTreeSet::new();
    let apply = move |response: StoreRead<EvacuationEntry>, whole: bool| {
        if whole {
            out.clear();
        }
        let mut version = Version(0);
        let changes = !response.items.is_empty();
        for entry in response.items {
            version = version.max(Version(entry.revision));
            if entry.is_evacuated {
                out.insert(entry.data_centre);
            } else {
                out.remove(&entry.data_centre);
            }
        }
        let out = out.clone();
        if whole {
            return Some(Message::ListedEvacuations(
                Evacuations {
                    version,
                    data_centres: out,
                },
                response.revision,
            ));
        }
        // The revision of an entry that is gone may be that of its last state.
        let version = Version(response.revision);
        changes.then_some(Message::Places(Evacuations {
            version,
            data_centres: out,
        }))
    };
    watch_object(StoreObject::Places, read, apply, policy, messages).await;
}

async fn watch_object<T>(
    object: StoreObject,
    read: impl Fn(Option<u64>) -> StoreFuture<StoreRead<T>>,
    mut apply: impl FnMut(StoreRead<T>, bool) -> Option<Message>,
    mut policy: ReadPolicy,
    messages: MessageSender,
) {
    let mut after = None;
    let mut retry_delay = MIN_RETRY_DELAY;
    let mut failing = false;
    loop {
        let current = *policy.generation.borrow_and_update();
        let peers_suffice = *policy.peers_suffice.borrow_and_update();
        if peers_suffice {
            tokio::select! {
                _ = policy.peers_suffice.changed() => {}
                _ = policy.generation.changed() => {}
            }
            after = None;
            continue;
        }
        let result = tokio::select! {
            result = read(after) => result,
            _ = policy.generation.changed() => {
                after = None;
                continue;
            }
            Ok(_) = policy.peers_suffice.wait_for(|peers_suffice| *peers_suffice) => continue,
        };
        match result {
            Ok(response) => {
                if failing {
                    log::info!(
                        "store: regained object={object:?} revision={}",
                        response.revision
                    );
                }
                failing = false;
                retry_delay = MIN_RETRY_DELAY;
                let whole = after.is_none();
                let changed = !response.items.is_empty();
                after = Some(response.revision);
                let message = apply(response, whole);
                for message in message
                    .into_iter()
                    .chain([Message::ObjectRead(object, current)])
                {
                    if messages.send(message).await.is_err() {
                        return;
                    }
                }
                if changed && !whole {
                    sleep(CHANGE_DELAY).await;
                }
            }
            Err(StoreError::Gone) => {
                log::info!("store: history gone object={object:?} after={after:?}");
                after = None;
            }
            Err(error) => {
                if !failing {
                    log::warn!("store: lost object={object:?} error=\"{error}\"");
                }
                failing = true;
                if messages.send(Message::ReadFailed(object)).await.is_err() {
                    return;
                }
                sleep(retry_delay.mul_f64(rand::random_range(0.5..1.0))).await;
                retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
            }
        }
    }
}
