//! Watches the store for newer configuration.
//!
//! Only the first two balancers of a data centre watch, so that the load of the store does not grow
//! with the number of balancers; all others learn from them. While the store is down, the last
//! known configuration stays in force and the watch is retried with a growing delay.

use std::time::Duration;

use monsoon_store::{Client, WatchResult};

use crate::configuration::Configuration;

/// Delay after the first failed call; it doubles with each further one.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(200);
/// Longest delay after a failed call, and delay after a rejected text.
const RETRY_DELAY_MAX: Duration = Duration::from_secs(5);
/// Delay while the store's object is missing or older than the one in force; such a watch returns
/// at once.
const BEHIND_DELAY: Duration = Duration::from_secs(1);
/// Time between two checks whether this balancer is to watch.
const RANK_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Kind of configuration object.
#[derive(Clone, Copy, Debug)]
pub enum ConfigObject {
    /// The document.
    Document,
    /// The set of data centres taken out of service.
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

/// Watches one object until the process ends, whenever `is_watcher` returns true.
pub async fn run(
    client: Client,
    environment: String,
    object: ConfigObject,
    configuration: Configuration,
    is_watcher: impl Fn() -> bool,
) {
    let name = object.name(&environment);
    let mut delay = RETRY_DELAY_MIN;
    loop {
        if !is_watcher() {
            tokio::time::sleep(RANK_POLL_INTERVAL).await;
            continue;
        }
        let after = object.version(&configuration);
        match client.watch(&name, after).await {
            Ok(WatchResult::Newer(version, stored)) => {
                delay = RETRY_DELAY_MIN;
                object.offer(&configuration, version, &stored.text);
                if object.version(&configuration) < version {
                    // The text was rejected. Without a delay the watch would return it again at once.
                    tokio::time::sleep(RETRY_DELAY_MAX).await;
                }
            }
            Ok(WatchResult::Unchanged) => delay = RETRY_DELAY_MIN,
            // The object does not exist yet or was lost; the configuration in force stays.
            Ok(WatchResult::Behind(_)) => tokio::time::sleep(BEHIND_DELAY).await,
            Err(error) => {
                log::warn!("store: {error}; retry in {} ms", delay.as_millis());
                tokio::time::sleep(delay).await;
                delay = (delay * 2).min(RETRY_DELAY_MAX);
            }
        }
    }
}
