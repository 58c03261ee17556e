//! Configuration of the flows: routes, services and data centres taken out.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

use derive_more::Display;
use monsoon_model::hash::{self, mix};
use monsoon_model::{Duration, ServiceId, Version};
use serde::{Deserialize, Serialize};

use crate::FlowKey;

/// Salt of the choice among several services of a route.
const SHARE_SALT: u64 = hash::bytes(b"service-share");

/// Hash of a service's name, by which processes agree on a service without a common list.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
pub struct ServiceTag(u64);

impl ServiceTag {
    /// Tag of the service `name`.
    pub const fn of(name: &str) -> Self {
        Self(hash::bytes(name.as_bytes()))
    }

    /// Number under which membership lists the service. Two services may share a number; agents
    /// compare the whole tag.
    pub const fn service_id(self) -> ServiceId {
        ServiceId(self.0 as u16)
    }
}

/// Whether a request may run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    Once,
    /// Body sent by the caller; runs at most once.
    Upload,
}

impl RequestKind {
    /// Name in metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::Once => "once",
            Self::Upload => "upload",
        }
    }
}

/// Part of a route's flows that goes to one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Service.
    pub service: ServiceTag,
    /// Part of the sum of all weights.
    pub weight: u32,
}

/// An address that callers send to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name, for logs.
    pub name: String,
    /// Services of new flows.
    pub shares: Vec<Share>,
    /// What its requests bear.
    pub kind: RequestKind,
}

impl Route {
    /// Service of a new flow; all processes choose alike.
    pub fn service(&self, key: FlowKey) -> Option<ServiceTag> {
        let total: u64 = self.shares.iter().map(|s| u64::from(s.weight)).sum();
        if total == 0 {
            return None;
        }
        let mut at = mix(SHARE_SALT, key.hash()) % total;
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if at < weight {
                return Some(share.service);
            }
            at -= weight;
        }
        None
    }

    /// Whether new flows may go to `service`.
    pub fn leads_to(&self, service: ServiceTag) -> bool {
        self.shares
            .iter()
            .any(|s| s.service == service && s.weight > 0)
    }
}

/// Properties of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name.
    pub name: String,
    /// Requests that a cold target bears in a second, if operators limit it.
    pub cold_rate: Option<f64>,
    /// Time for which a target stays cold after its start.
    pub cold_time: Duration,
    /// Path of the health check.
    pub health_path: String,
}

/// Routes and services of one version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Catalogue {
    /// Version.
    pub version: Version,
    /// Routes by address.
    pub routes: BTreeMap<SocketAddrV4, Route>,
    /// Services by tag.
    pub services: BTreeMap<ServiceTag, Service>,
    /// Idle time after which a flow may be forgotten.
    pub idle_timeout: Duration,
}

/// Data centres that operators have taken out, as known at one version of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    /// Version of the store at which this was the whole list.
    pub version: Version,
    /// Names.
    pub data_centres: BTreeSet<String>,
}
