//! Following the configuration in the store: one list, then watches.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use monsoon_flow::{Catalogue, Places};
use monsoon_model::Version;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::inbox::{Message, Object, Outlet};
use crate::{Entry, Page, Source, SourceError, Task};

/// First pause after a failed read; doubles up to [`PAUSE_MAX`].
const PAUSE_MIN: Duration = Duration::from_millis(100);
/// Longest pause after a failed read. Short against the time in which a change has to be in force.
const PAUSE_MAX: Duration = Duration::from_millis(800);
/// Pause after a change, so that changes in quick succession cost one call together.
const REARM: Duration = Duration::from_millis(250);

/// Generation of reads. It rises when everything has to be read again.
pub(crate) type Generation = watch::Receiver<u64>;

/// Follows the configuration until the process ends.
pub(crate) async fn catalogue(
    source: Source,
    store: SocketAddr,
    generation: Generation,
    outlet: Outlet,
) {
    let read = move |after| (source.catalogue)(store, after);
    let apply = |page: Page<Catalogue>, _| {
        let newest = page.items.into_iter().max_by_key(|c| c.version);
        newest.map(|catalogue| Message::Catalogue(Arc::new(catalogue)))
    };
    follow(Object::Catalogue, read, apply, generation, outlet).await;
}

/// Follows the data centres taken out until the process ends.
pub(crate) async fn places(
    source: Source,
    store: SocketAddr,
    generation: Generation,
    outlet: Outlet,
) {
    let read = move |after| (source.places)(store, after);
    let mut out = BTreeSet::new();
    let apply = move |page: Page<Entry>, whole: bool| {
        if whole {
            out.clear();
        }
        for entry in page.items {
            if entry.present {
                out.insert(entry.name);
            } else {
                out.remove(&entry.name);
            }
        }
        let version = Version(page.at);
        let out = out.clone();
        Some(Message::Places(Places { version, out }))
    };
    follow(Object::Places, read, apply, generation, outlet).await;
}

async fn follow<T>(
    object: Object,
    read: impl Fn(Option<u64>) -> Task<Page<T>>,
    mut apply: impl FnMut(Page<T>, bool) -> Option<Message>,
    mut generation: Generation,
    outlet: Outlet,
) {
    let mut after = None;
    let mut pause = PAUSE_MIN;
    let mut failing = false;
    loop {
        let current = *generation.borrow_and_update();
        let result = tokio::select! {
            result = read(after) => result,
            _ = generation.changed() => {
                after = None;
                continue;
            }
        };
        match result {
            Ok(page) => {
                if failing {
                    log::info!("store: regained object={object:?} revision={}", page.at);
                }
                failing = false;
                pause = PAUSE_MIN;
                let whole = after.is_none();
                let changed = !page.items.is_empty();
                after = Some(page.at);
                let message = apply(page, whole);
                for message in message
                    .into_iter()
                    .chain([Message::Current(object, current)])
                {
                    if outlet.send(message).await.is_err() {
                        return;
                    }
                }
                if changed && !whole {
                    sleep(REARM).await;
                }
            }
            Err(SourceError::Gone) => {
                log::info!("store: history gone object={object:?} after={after:?}");
                after = None;
            }
            Err(error) => {
                if !failing {
                    log::warn!("store: lost object={object:?} error=\"{error}\"");
                }
                failing = true;
                if outlet.send(Message::Failing(object)).await.is_err() {
                    return;
                }
                sleep(pause.mul_f64(rand::random_range(0.5..1.0))).await;
                pause = (pause * 2).min(PAUSE_MAX);
            }
        }
    }
}
