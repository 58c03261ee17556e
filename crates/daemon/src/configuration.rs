//! Configuration in force: offers from the store and from other processes.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use monsoon_config::{ConfigState, Document, OfferResult};
use monsoon_model::{DataCentreId, Version, Versions};
use tokio::sync::watch;

use crate::peer::{FetchCall, FetchReply, ObjectText, Peers};

/// Shared configuration state with notification of changes.
#[derive(Clone, Debug)]
pub struct Configuration {
    state: Arc<Mutex<ConfigState>>,
    changes: watch::Sender<Versions>,
}

impl Configuration {
    /// Nothing in force yet.
    pub fn new() -> Self {
        let (changes, _) = watch::channel(Versions::default());
        Self {
            state: Arc::default(),
            changes,
        }
    }

    /// Versions in force.
    pub fn versions(&self) -> Versions {
        self.lock().versions()
    }

    /// Receiver that wakes on each accepted change.
    pub fn subscribe(&self) -> watch::Receiver<Versions> {
        self.changes.subscribe()
    }

    /// Reads the document in force, if there is one.
    pub fn with_document<T>(&self, read: impl FnOnce(&Document) -> T) -> Option<T> {
        self.lock().document().map(read)
    }

    /// Data centres taken out.
    pub fn evacuations(&self) -> BTreeSet<DataCentreId> {
        self.lock().evacuated()
    }

    /// Takes a newer document into force.
    pub fn offer_document(&self, version: Version, text: &str) {
        let offer = self.lock().offer_document(version, text);
        self.settle("document", version, &offer);
    }

    /// Takes a newer set of data centres taken out into force.
    pub fn offer_evacuations(&self, version: Version, text: &str) {
        let offer = self.lock().offer_evacuations(version, text);
        self.settle("data centres", version, &offer);
    }

    /// Texts newer than `call.versions`.
    pub fn newer_texts(&self, call: FetchCall) -> FetchReply {
        let state = self.lock();
        let versions = state.versions();
        let text = |newer: bool, version: Version, text: Option<&str>| {
            text.filter(|_| newer).map(|text| ObjectText {
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

    /// Fetches newer texts from another process.
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
            Err(status) => log::debug!("config: {peer} gave no configuration: {status}"),
        }
    }

    fn settle(&self, object: &str, version: Version, offer: &OfferResult) {
        match offer {
            OfferResult::Accepted => {
                log::info!("config: {object} version {version} is in force");
                self.changes.send_replace(self.versions());
            }
            OfferResult::Rejected(faults) => {
                log::error!("config: {object} version {version} is refused: {faults}");
            }
            OfferResult::Stale => {
                log::warn!("config: {object} version {version} is older and ignored");
            }
            OfferResult::Same => {}
        }
    }

    fn lock(&self) -> MutexGuard<'_, ConfigState> {
        self.state.lock().expect("no panic while the lock is held")
    }
}
