//! Watches the store for newer configuration.
//!
//! Only the first two balancers of a data centre watch, so that the store's load does not grow with
//! the fleet; all others learn from them. While the store is down the last known configuration
//! stays in force and the watch is tried again with a growing delay.

use std::time::Duration;

use monsoon_store::{Client, WatchResult};

use crate::configuration::Configuration;

/// First delay after a failed call.
const RETRY_FIRST: Duration = Duration::from_millis(200);
/// Longest delay after failed calls.
const RETRY_MOST: Duration = Duration::from_secs(5);
/// Pause while the store has nothing newer than what is in force and cannot wait for it.
const BEHIND_PAUSE: Duration = Duration::from_secs(1);
/// Time between two looks whether this balancer is to watch.
const RANK_POLL: Duration = Duration::from_millis(500);

/// Kind of configuration object.
#[derive(Clone, Copy, Debug)]
pub enum ConfigObject {
    /// The document.
    Document,
    /// The set of data centres taken out.
    Evacuations,
}

impl ConfigObject {
    fn name(self, environment: &str) -> String {
        match self {
            Self::Document => format!("env/{environment}/document"),
            Self::Evacuations => format!("env/{environment}/data-centres"),
        }
    }

    fn version(self, configuration: &Configuration) -> monsoon_model::Version {
        let versions = configuration.versions();
        match self {
            Self::Document => versions.document,
            Self::Evacuations => versions.evacuations,
        }
    }

    fn offer(self, configuration: &Configuration, version: monsoon_model::Version, text: &str) {
        match self {
            Self::Document => configuration.offer_document(version, text),
            Self::Evacuations => configuration.offer_evacuations(version, text),
        }
    }
}

/// Watches one object while `is_watcher` says so, until the process ends.
pub async fn run(
    client: Client,
    environment: String,
    object: ConfigObject,
    configuration: Configuration,
    is_watcher: impl Fn() -> bool,
) {
    let name = object.name(&environment);
    let mut delay = RETRY_FIRST;
    loop {
        if !is_watcher() {
            tokio::time::sleep(RANK_POLL).await;
            continue;
        }
        let after = object.version(&configuration);
        match client.watch(&name, after).await {
            Ok(WatchResult::Newer(version, stored)) => {
                delay = RETRY_FIRST;
                object.offer(&configuration, version, &stored.text);
                if object.version(&configuration) < version {
                    // The text was refused; without a pause the watch would return it at once.
                    tokio::time::sleep(RETRY_MOST).await;
                }
            }
            Ok(WatchResult::Unchanged) => delay = RETRY_FIRST,
            // The object does not exist yet or was lost; what is in force stays in force.
            Ok(WatchResult::Behind(_)) => tokio::time::sleep(BEHIND_PAUSE).await,
            Err(error) => {
                log::warn!("store: {error}; trying again in {} ms", delay.as_millis());
                tokio::time::sleep(delay).await;
                delay = (delay * 2).min(RETRY_MOST);
            }
        }
    }
}
