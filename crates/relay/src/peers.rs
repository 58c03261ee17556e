//! Configuration of other processes, for those that the store does not answer.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use monsoon_flow::{Catalogue, Evacuations};
use monsoon_model::{Version, Versions};
use serde::{Deserialize, Serialize};

use crate::message::{Message, MessageSender};

/// Path at which a process serves its configuration.
pub(crate) const CONFIGURATION_PATH: &str = "/configuration";

/// Configuration as one process has it in force.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct SharedConfiguration {
    /// It was compared with the store since the process started or was suspended.
    pub is_checked: bool,
    /// Routes and services.
    pub catalogue: Option<Catalogue>,
    /// Data centres taken out.
    pub places: Evacuations,
}

/// Path and query for what is newer than these versions.
pub(crate) fn configuration_path(versions: Versions) -> String {
    format!(
        "{CONFIGURATION_PATH}?config={}&places={}",
        versions.document, versions.evacuations
    )
}

/// Versions in a query; a part that cannot be read asks for everything.
pub(crate) fn parse_versions(query: &str) -> Versions {
    let value = |name: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let found = pairs.find(|(key, _)| *key == name);
        Version(found.and_then(|(_, value)| value.parse().ok()).unwrap_or(0))
    };
    Versions {
        document: value("config"),
        evacuations: value("places"),
    }
}

/// Encodes a configuration. It holds no value that cannot be encoded.
pub(crate) fn encode(configuration: &SharedConfiguration) -> Bytes {
    Bytes::from(postcard::to_stdvec(configuration).unwrap_or_default())
}

/// Reads what a peer has newer than `own` and hands it in. Returns whether the peer had checked it.
pub(crate) async fn fetch_configuration(
    peer: SocketAddr,
    own: Versions,
    messages: &MessageSender,
) -> bool {
    let body = match monsoon_store::fetch(peer, &configuration_path(own)).await {
        Ok(body) => body,
        Err(error) => {
            log::warn!("peers: no configuration peer={peer} error=\"{error}\"");
            return false;
        }
    };
    let configuration: SharedConfiguration = match postcard::from_bytes(&body) {
        Ok(configuration) => configuration,
        Err(error) => {
            log::warn!("peers: malformed configuration peer={peer} error=\"{error}\"");
            return false;
        }
    };
    log::info!(
        "peers: fetched peer={peer} checked={} config={} places={}",
        configuration.is_checked,
        configuration.catalogue.as_ref().map_or(0, |c| c.version.0),
        configuration.places.version
    );
    // An unchecked peer may hold an older list than this process, and says so.
    let catalogue = configuration
        .catalogue
        .map(|c| Message::Catalogue(Arc::new(c)));
    let places = configuration
        .is_checked
        .then_some(Message::Places(configuration.places));
    for message in catalogue.into_iter().chain(places) {
        if messages.send(message).await.is_err() {
            return false;
        }
    }
    configuration.is_checked
}
