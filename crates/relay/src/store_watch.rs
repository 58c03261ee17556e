//! Watch on the configuration in the store. The whole list is read once; then each call waits for
//! the changes after the last revision that was read.
//!
//! An answer may be lost while its connection stays open. Nothing shows this but the end of the wait,
//! and the same loss may affect all processes at once. Calls are priced, so that only a few balancers
//! wait briefly; the others wait long and hear of a change from them.
//!
//! After a restore of the store from a copy, a watch may wait for a revision that the store has not
//! reached again, or be answered without the changes in between. A response of another era
//! therefore never continues a watch, and starts a new list of both objects.

mod policy;
mod watch;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use monsoon_flow::{Catalogue, Evacuations};
use monsoon_model::{Number, Version};
pub(crate) use policy::{ReadPolicy, raise_era};
use watch::{Extent, watch_object};

use crate::message::{List, Message, MessageSender, StoreObject, Update};
use crate::{EvacuationEntry, RejectedEntry, StoreClient, StoreFuture, StoreRead};

/// Watches the configuration until the process ends.
pub(crate) async fn watch_catalogue(
    client: StoreClient,
    store: SocketAddr,
    policy: ReadPolicy,
    messages: MessageSender,
) {
    let read = move |from| (client.read_catalogue)(store, from);
    // While the store's configuration cannot be used, the last one stays in force.
    let apply = |response: StoreRead<Catalogue>, era, _| {
        let newest = response.items.into_iter().max_by_key(|c| c.version);
        let newest = newest.map(|mut catalogue| {
            catalogue.version = catalogue.version.in_era(era);
            Arc::new(catalogue)
        });
        Some(Message::Update(Update::StoreCatalogue(era, newest)))
    };
    watch_object(StoreObject::Catalogue, read, apply, policy, messages).await;
}

/// Watches the list of evacuated data centres until the process ends. Entries that name none of the
/// `known` data centres are rejected.
pub(crate) async fn watch_evacuations(
    client: StoreClient,
    store: SocketAddr,
    known: Arc<BTreeSet<String>>,
    policy: ReadPolicy,
    messages: MessageSender,
) {
    let read = move |from| -> StoreFuture<StoreRead<EvacuationEntry>> {
        let (response, known) = ((client.read_evacuations)(store, from), Arc::clone(&known));
        Box::pin(async move { Ok(reject_unknown(response.await?, &known)) })
    };
    let mut data_centres = BTreeSet::new();
    let apply = move |response: StoreRead<EvacuationEntry>, era, extent| {
        if extent == Extent::StaleList {
            // It may hold evacuations that were withdrawn since, and no process may be left that knows
            // of the withdrawal.
            return None;
        }
        let is_full_list = extent == Extent::List;
        let is_complete = !response.is_partial && response.rejected.is_empty();
        if is_full_list {
            // An entry that cannot be read any more, or was not read, has not been removed.
            let rejected = response.rejected.iter();
            let unread: BTreeSet<_> = rejected.filter_map(|entry| entry.name.as_ref()).collect();
            data_centres.retain(|name| response.is_partial || unread.contains(name));
        }
        let mut newest = Number::ZERO;
        let mut touched = BTreeSet::new();
        for entry in response.items {
            newest = newest.max(entry.revision);
            touched.insert(entry.data_centre.clone());
            if entry.is_evacuated {
                data_centres.insert(entry.data_centre);
            } else {
                data_centres.remove(&entry.data_centre);
            }
        }
        let data_centres = data_centres.clone();
        let evacuations = |revision| Evacuations {
            version: Version::new(era, revision),
            data_centres,
        };
        if is_full_list {
            let listed = evacuations(newest);
            let list = List {
                revision: response.revision,
                is_complete,
            };
            let update = Update::ListedEvacuations(listed, list);
            return Some(Message::Update(update));
        }
        if touched.is_empty() {
            return None;
        }
        // A deleted entry may carry the revision of its last change, not that of the deletion.
        let changed = evacuations(response.revision);
        Some(Message::Update(Update::ChangedEvacuations(
            changed, touched,
        )))
    };
    watch_object(StoreObject::Places, read, apply, policy, messages).await;
}

fn reject_unknown(
    mut response: StoreRead<EvacuationEntry>,
    known: &BTreeSet<String>,
) -> StoreRead<EvacuationEntry> {
    for entry in std::mem::take(&mut response.items) {
        let is_known = known.contains(&entry.data_centre);
        response.push(if is_known {
            Ok(entry)
        } else {
            Err(RejectedEntry {
                name: Some(entry.data_centre),
                reason: "the settings have no data centre of this name".to_owned(),
            })
        });
    }
    response
}

/// Message that reports the rejected entries of a response, if there are any.
pub(crate) fn rejected_entries<T>(response: &StoreRead<T>, kind: &'static str) -> Option<Message> {
    let mut rejected = response.rejected.clone();
    if response.is_partial {
        rejected.push(RejectedEntry {
            name: None,
            reason: "the list has too many pages; the rest was not read".to_owned(),
        });
    }
    (!rejected.is_empty()).then_some(Message::Rejected(kind, rejected))
}

#[cfg(test)]
mod restore_tests;
#[cfg(test)]
pub(crate) mod tests;
