//! Watch on the configuration in the store. The whole list is read once; then each call waits for
//! the changes after the last revision that was read.
//!
//! An answer may be lost while its connection stays open. Nothing shows this but the end of the wait,
//! and the same loss may affect all processes at once. Calls are priced, so that only a few balancers
//! wait briefly; the others wait long and hear of a change from them.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use monsoon_flow::{Catalogue, Evacuations};
use monsoon_model::Version;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};

use crate::message::{Message, MessageSender, StoreObject};
use crate::{
    EvacuationEntry, ReadFrom, RejectedEntry, StoreClient, StoreError, StoreFuture, StoreRead,
};

/// Time for which the store holds a watch open while other processes tell of changes. The store
/// allows 30 s.
const LONG_WAIT: Duration = Duration::from_secs(25);
/// The same for a process on duty. Bounds the time for which all processes miss changes after lost
/// answers.
const SHORT_WAIT: Duration = Duration::from_secs(1);
/// Time for an answer, after [`SHORT_WAIT`]. It usually takes milliseconds. A later one costs one
/// more call.
const SHORT_WAIT_TIMEOUT: Duration = Duration::from_millis(500);
/// Least time between the starts of a failed read and the next one; doubles up to
/// [`MAX_RETRY_DELAY`].
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Longest delay from a failed read to the next. Short compared with the time in which a change has
/// to be in force.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);
/// The same while other processes are heard, which tell of a change. Each refused call is priced,
/// and the store may refuse a part of the processes for long.
const SUPPORTED_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Delay after a change, so that changes in quick succession cost one call together. Short compared
/// with the time in which a change has to be in force.
const CHANGE_DELAY: Duration = Duration::from_millis(600);

/// Signals that decide when the store is read.
#[derive(Clone, Debug)]
pub(crate) struct ReadPolicy {
    /// Raised when everything has to be read again.
    pub generation: watch::Receiver<u64>,
    /// Set while other processes announce changes, so that the store need not be watched.
    pub peers_suffice: watch::Receiver<bool>,
    /// Set while the configuration is checked and other processes announce changes, so that a
    /// failed read is not urgent.
    pub is_supported: watch::Receiver<bool>,
    /// Set while other processes rely on this one to notice each change soon.
    pub is_on_duty: watch::Receiver<bool>,
    /// Raised when another process has a change that the watches have not delivered.
    pub behind: watch::Receiver<u64>,
    /// Whether the first list may be some seconds old, because other processes announce what is
    /// newer, and nothing is decided by this process alone.
    pub starts_stale: bool,
}

/// Why a call in progress is given up.
enum Interruption {
    /// Everything has to be read again.
    ReadAll,
    /// Other processes announce changes.
    PeersSuffice,
    /// A change may have been missed, or must not be missed from now on.
    Poll,
    /// The answer to a short watch is overdue.
    NoAnswer,
}

impl ReadPolicy {
    /// Waits until there is a reason to give up the call in progress. `watch` is the time for which
    /// the call waits for a change, if it does.
    async fn interruption(&mut self, watch: Option<Duration>) -> Interruption {
        let is_short = watch == Some(SHORT_WAIT);
        let interruption = tokio::select! {
            Ok(()) = self.generation.changed() => Some(Interruption::ReadAll),
            Ok(_) = self.peers_suffice.wait_for(|peers_suffice| *peers_suffice) => {
                Some(Interruption::PeersSuffice)
            }
            Ok(()) = self.behind.changed(), if watch.is_some() => Some(Interruption::Poll),
            Ok(_) = self.is_on_duty.wait_for(|is_on_duty| *is_on_duty),
                if watch.is_some() && !is_short => Some(Interruption::Poll),
            () = sleep(SHORT_WAIT + SHORT_WAIT_TIMEOUT), if is_short => {
                Some(Interruption::NoAnswer)
            }
            // The process ends.
            else => None,
        };
        match interruption {
            Some(interruption) => interruption,
            None => std::future::pending().await,
        }
    }

    /// Waits until a read may follow one that was called at `called_at` and failed.
    async fn wait_to_retry(&mut self, called_at: Instant, delay: Duration) {
        let retry_at = called_at + delay.mul_f64(rand::random_range(0.5..1.0));
        tokio::select! {
            () = sleep_until(retry_at) => {}
            // Without support, the delay is too long.
            Ok(_) = self.is_supported.wait_for(|is_supported| !*is_supported),
                if delay > MAX_RETRY_DELAY => {}
        }
    }
}

/// Watches the configuration until the process ends.
pub(crate) async fn watch_catalogue(
    client: StoreClient,
    store: SocketAddr,
    policy: ReadPolicy,
    messages: MessageSender,
) {
    let read = move |from| (client.read_catalogue)(store, from);
    // While the store's configuration cannot be used, the last one stays in force.
    let apply = |response: StoreRead<Catalogue>, _| {
        let newest = response.items.into_iter().max_by_key(|c| c.version);
        newest.map(|catalogue| Message::Catalogue(Arc::new(catalogue)))
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
    let apply = move |response: StoreRead<EvacuationEntry>, is_full_list: bool| {
        if is_full_list {
            // An entry that cannot be read any more, or was not read, has not been removed.
            let rejected = response.rejected.iter();
            let unread: BTreeSet<_> = rejected.filter_map(|entry| entry.name.as_ref()).collect();
            data_centres.retain(|name| response.is_partial || unread.contains(name));
        }
        let mut version = Version(0);
        let has_changes = !response.items.is_empty();
        for entry in response.items {
            version = version.max(Version(entry.revision));
            if entry.is_evacuated {
                data_centres.insert(entry.data_centre);
            } else {
                data_centres.remove(&entry.data_centre);
            }
        }
        let data_centres = data_centres.clone();
        if is_full_list {
            return Some(Message::ListedEvacuations(
                Evacuations {
                    version,
                    data_centres,
                },
                response.revision,
            ));
        }
        // A deleted entry may carry the revision of its last change, not that of the deletion.
        let version = Version(response.revision);
        has_changes.then_some(Message::Evacuations(Evacuations {
            version,
            data_centres,
        }))
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

async fn watch_object<T>(
    object: StoreObject,
    read: impl Fn(ReadFrom) -> StoreFuture<StoreRead<T>>,
    mut apply: impl FnMut(StoreRead<T>, bool) -> Option<Message>,
    mut policy: ReadPolicy,
    messages: MessageSender,
) {
    let mut revision = None;
    let mut list = if policy.starts_stale {
        ReadFrom::StaleList
    } else {
        ReadFrom::List
    };
    let mut retry_delay = MIN_RETRY_DELAY;
    let mut is_failing = false;
    // After a watch without an answer, the next call does not wait: a change may have been missed.
    let mut must_poll = false;
    loop {
        let called_at = Instant::now();
        let generation = *policy.generation.borrow_and_update();
        let peers_suffice = *policy.peers_suffice.borrow_and_update();
        let is_on_duty = *policy.is_on_duty.borrow_and_update();
        policy.behind.mark_unchanged();
        if peers_suffice {
            tokio::select! {
                Ok(()) = policy.peers_suffice.changed() => {}
                Ok(()) = policy.generation.changed() => {}
                // The process ends.
                else => return,
            }
            revision = None;
            list = ReadFrom::List;
            continue;
        }
        let wait = match (must_poll, is_on_duty) {
            (true, _) => Duration::ZERO,
            (false, true) => SHORT_WAIT,
            (false, false) => LONG_WAIT,
        };
        let from = revision.map_or(list, |after| ReadFrom::Changes { after, wait });
        let watch = (revision.is_some() && !must_poll).then_some(wait);
        let result = tokio::select! {
            result = read(from) => result,
            interruption = policy.interruption(watch) => match interruption {
                Interruption::ReadAll => {
                    revision = None;
                    list = ReadFrom::List;
                    continue;
                }
                Interruption::PeersSuffice => continue,
                Interruption::Poll => {
                    must_poll = true;
                    continue;
                }
                Interruption::NoAnswer => Err(StoreError::Unavailable {
                    reason: "a watch was not answered in time".to_owned(),
                }),
            },
        };
        let was_poll = std::mem::take(&mut must_poll);
        match result {
            Ok(response) => {
                if is_failing {
                    log::info!(
                        "store: regained object={object:?} revision={}",
                        response.revision
                    );
                }
                is_failing = false;
                retry_delay = MIN_RETRY_DELAY;
                let is_full_list = revision.is_none();
                list = ReadFrom::List;
                let has_entries = !(response.items.is_empty() && response.rejected.is_empty());
                revision = Some(response.revision);
                let rejected = rejected_entries(&response, object.kind());
                let message = apply(response, is_full_list);
                let read = Message::ObjectRead(object, generation);
                for message in rejected.into_iter().chain(message).chain([read]) {
                    if messages.send(message).await.is_err() {
                        return;
                    }
                }
                // A store that does not hold a watch open must not be called without a pause.
                let was_held = called_at.elapsed() >= MAX_RETRY_DELAY;
                if !is_full_list && (has_entries || !(was_held || was_poll)) {
                    sleep(CHANGE_DELAY).await;
                }
            }
            Err(StoreError::Gone) => {
                log::info!("store: history gone object={object:?} after={revision:?}");
                revision = None;
                sleep(MIN_RETRY_DELAY.mul_f64(rand::random_range(0.0..1.0))).await;
            }
            Err(error) => {
                if !is_failing {
                    log::warn!("store: lost object={object:?} error=\"{error}\"");
                }
                is_failing = true;
                must_poll = true;
                if messages.send(Message::ReadFailed(object)).await.is_err() {
                    return;
                }
                policy.wait_to_retry(called_at, retry_delay).await;
                retry_delay = next_delay(retry_delay, *policy.is_supported.borrow());
            }
        }
    }
}

/// Delay from one more failed read to the next.
fn next_delay(delay: Duration, is_supported: bool) -> Duration {
    let longest = if is_supported {
        SUPPORTED_RETRY_DELAY
    } else {
        MAX_RETRY_DELAY
    };
    (delay * 2).min(longest)
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
mod tests;
