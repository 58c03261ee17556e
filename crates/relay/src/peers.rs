//! Exchange of the configuration between processes, for those that cannot read the store.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use monsoon_flow::{Catalogue, Evacuations};
use monsoon_model::{Version, Versions};
use serde::{Deserialize, Serialize};

use crate::message::{Message, MessageSender, Update};

/// HTTP path at which a process serves its configuration.
pub(crate) const CONFIGURATION_PATH: &str = "/configuration";

/// Configuration that one process has in force.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct SharedConfiguration {
    /// Whether it was compared with the store since the process started or resumed.
    pub is_checked: bool,
    /// Routes and services; `None` unless newer than the requested version.
    pub catalogue: Option<Catalogue>,
    /// Evacuated data centres.
    pub evacuations: Evacuations,
}

/// Path and query that request what is newer than these versions, which are sent as one integer
/// each. Processes of earlier releases read them as well.
pub(crate) fn configuration_path(versions: Versions) -> String {
    format!(
        "{CONFIGURATION_PATH}?config={}&places={}",
        versions.document.0, versions.evacuations.0
    )
}

/// Versions in a query. One that is missing or malformed is read as 0, which requests everything.
pub(crate) fn parse_versions(query: &str) -> Versions {
    let value = |name: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let pair = pairs.find(|(key, _)| *key == name);
        Version(pair.and_then(|(_, value)| value.parse().ok()).unwrap_or(0))
    };
    Versions {
        document: value("config"),
        evacuations: value("places"),
    }
}

/// Encodes a configuration. All its values can be encoded, so that this does not fail.
pub(crate) fn encode(configuration: &SharedConfiguration) -> Bytes {
    Bytes::from(postcard::to_stdvec(configuration).unwrap_or_default())
}

/// Fetches what a peer has newer than `known` and sends it to the task that owns the state. Returns
/// whether the peer had checked its configuration.
pub(crate) async fn fetch_configuration(
    peer: SocketAddr,
    known: Versions,
    messages: &MessageSender,
) -> bool {
    let body = match monsoon_store::fetch(peer, &configuration_path(known)).await {
        Ok(body) => body,
        Err(error) => {
            log::warn!("peers: configuration not fetched peer={peer} error=\"{error}\"");
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
        configuration
            .catalogue
            .as_ref()
            .map_or(Version(0), |c| c.version),
        configuration.evacuations.version
    );
    // The list of an unchecked peer may be older than that of this process.
    let catalogue = configuration
        .catalogue
        .map(|c| Update::Catalogue(Arc::new(c)));
    let evacuations = configuration
        .is_checked
        .then_some(Update::Evacuations(configuration.evacuations));
    for update in catalogue.into_iter().chain(evacuations) {
        if messages.send(Message::Update(update)).await.is_err() {
            return false;
        }
    }
    configuration.is_checked
}
