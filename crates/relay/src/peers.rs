//! Exchange of the configuration between processes, for those that cannot read the store.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use monsoon_flow::{Catalogue, Evacuations};
use monsoon_model::{ExactVersions, Version, Versions};
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

impl SharedConfiguration {
    /// Versions of what is contained.
    fn versions(&self) -> Versions {
        let catalogue = self.catalogue.as_ref();
        Versions {
            document: catalogue.map_or_else(Version::default, |catalogue| catalogue.version),
            evacuations: self.evacuations.version,
        }
    }
}

/// Path and query that request what is newer than these versions. They are sent packed, as
/// processes of former releases read them, and as text.
pub(crate) fn configuration_path(versions: Versions) -> String {
    let Versions {
        document,
        evacuations,
    } = versions;
    format!(
        "{CONFIGURATION_PATH}?config={}&places={}&exact_config={document}&exact_places={evacuations}",
        document.packed(),
        evacuations.packed()
    )
}

/// Versions in a query. One that is missing or malformed is read as 0, which requests everything.
pub(crate) fn parse_versions(query: &str) -> Versions {
    let value = |name: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    };
    let version = |exact: &str, packed: &str| {
        let exact = value(exact).and_then(|text| text.parse().ok());
        let packed = value(packed).and_then(|text| text.parse().ok());
        exact.or_else(|| packed.map(Version::from_packed))
    };
    Versions {
        document: version("exact_config", "config").unwrap_or_default(),
        evacuations: version("exact_places", "places").unwrap_or_default(),
    }
}

/// Encodes a configuration. Versions that cannot be packed follow it. Former releases ignore them,
/// and read the packed ones.
pub(crate) fn encode(configuration: &SharedConfiguration) -> Bytes {
    // All values can be encoded, so that this does not fail.
    let body = postcard::to_stdvec(configuration).unwrap_or_default();
    let versions = configuration.versions();
    if versions.are_packable() {
        return Bytes::from(body);
    }
    Bytes::from(postcard::to_extend(&ExactVersions(versions), body).unwrap_or_default())
}

/// Decodes a configuration of [`encode`].
///
/// # Errors
/// Returns the error of the decoder when the body is malformed.
pub(crate) fn decode(body: &[u8]) -> Result<SharedConfiguration, postcard::Error> {
    let (mut configuration, rest) = postcard::take_from_bytes::<SharedConfiguration>(body)?;
    if !rest.is_empty() {
        let ExactVersions(versions) = postcard::from_bytes(rest)?;
        if let Some(catalogue) = &mut configuration.catalogue {
            catalogue.version = versions.document;
        }
        configuration.evacuations.version = versions.evacuations;
    }
    Ok(configuration)
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
    let configuration = match decode(&body) {
        Ok(configuration) => configuration,
        Err(error) => {
            log::warn!("peers: malformed configuration peer={peer} error=\"{error}\"");
            return false;
        }
    };
    log::info!(
        "peers: fetched peer={peer} checked={} config={} places={}",
        configuration.is_checked,
        configuration.versions().document,
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

#[cfg(test)]
mod tests;
