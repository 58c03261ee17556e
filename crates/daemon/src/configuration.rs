//! Configuration in force.
//!
//! It has two objects: the document and the set of data centres taken out of service. Both are
//! offered by the store watch and by other processes; a newer valid text takes effect.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use monsoon_config::{ConfigState, Document, OfferResult};
use monsoon_model::{DataCentreId, Version, Versions};
use tokio::sync::watch;

use crate::peer::{FetchCall, FetchReply, ObjectText, Peers};

/// Configuration state shared by the tasks of the process, with notification of changes.
#[derive(Clone, Debug)]
pub struct Configuration {
    state: Arc<Mutex<ConfigState>>,
    changes: watch::Sender<Versions>,
}

impl Configuration {
    /// State without any object in force.
    pub fn new() -> Self {
        let (changes, _) = watch::channel(Versions::default());
        Self {
            state: Arc::default(),
            changes,
        }
    }

    /// Versions in force; zero for an object that is not there yet.
    pub fn versions(&self) -> Versions {
        self.lock().versions()
    }

    /// Receiver that is notified of each accepted text.
    pub fn subscribe(&self) -> watch::Receiver<Versions> {
        self.changes.subscribe()
    }

    /// Reads the document in force; `None` without one. `read` is called under the lock.
    pub fn with_document<T>(&self, read: impl FnOnce(&Document) -> T) -> Option<T> {
        self.lock().document().map(read)
    }

    /// Data centres taken out of service.
    pub fn evacuations(&self) -> BTreeSet<DataCentreId> {
        self.lock().evacuated()
    }

    /// Puts the document into force if it is newer and valid.
    pub fn offer_document(&self, version: Version, text: &str) {
        let offer = self.lock().offer_document(version, text);
        self.publish("document", version, &offer);
    }

    /// Puts the set of data centres taken out of service into force if it is newer and valid.
    pub fn offer_evacuations(&self, version: Version, text: &str) {
        let offer = self.lock().offer_evacuations(version, text);
        self.publish("data centres", version, &offer);
    }

    /// Texts in force that are newer than `call.versions`.
    pub fn newer_texts(&self, call: FetchCall) -> FetchReply {
        let state = self.lock();
        let versions = state.versions();
        let text = |is_newer: bool, version: Version, text: Option<&str>| {
            text.filter(|_| is_newer).map(|text| ObjectText {
                version,
                text: text.to_owned(),
            })
        };
        FetchReply {
            document: text(
                versions.document > call.versions.document,
                versions.document,
                state.document_text(),
            ),
            evacuations: text(
                versions.evacuations > call.versions.evacuations,
                versions.evacuations,
                state.evacuations_text(),
            ),
        }
    }

    /// Fetches newer texts from another process and offers them.
    pub async fn fetch(&self, peers: &Peers, peer: SocketAddr) {
        match peers
            .fetch(
                peer,
                FetchCall {
                    versions: self.versions(),
                },
            )
            .await
        {
            Ok(fetched) => {
                if let Some(object) = fetched.document {
                    self.offer_document(object.version, &object.text);
                }
                if let Some(object) = fetched.evacuations {
                    self.offer_evacuations(object.version, &object.text);
                }
            }
            Err(status) => log::debug!("config: fetch from {peer} failed: {status}"),
        }
    }

    /// Logs the result of an offer and notifies the receivers of an accepted one.
    fn publish(&self, object: &str, version: Version, offer: &OfferResult) {
        match offer {
            OfferResult::Accepted => {
                log::info!("config: {object} version {version} is in force");
                self.changes.send_replace(self.versions());
            }
            OfferResult::Rejected(faults) => {
                log::error!(
                    "config: {object} version {version} is rejected, the one in force stays; correct it and apply it again: {faults}"
                );
            }
            OfferResult::Stale => log::warn!(
                "config: {object} version {version} is older than the one in force and ignored"
            ),
            OfferResult::Same => {}
        }
    }

    fn lock(&self) -> MutexGuard<'_, ConfigState> {
        self.state.lock().expect("no panic while the lock is held")
    }
}
