//! Configuration of forwarding: routes, services and evacuated data centres.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

use derive_more::{Display, Error};
use monsoon_model::hash::{self, mix};
use monsoon_model::{Duration, Number, ServiceId, Version};
use serde::{Deserialize, Serialize};

use crate::FlowKey;

/// Salt of the hash that selects one of several services of a route.
const SHARE_SALT: u64 = hash::bytes(b"service-share");

/// Hash of a service's name, which identifies the service without a shared list.
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

    /// Identifier of the service in the membership. Two services may share one; agents compare the
    /// whole tag.
    pub const fn service_id(self) -> ServiceId {
        ServiceId(self.0 as u16)
    }
}

/// How often a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    Once,
    /// Upload of the caller; runs at most once.
    Upload,
    /// Download of the caller; may run more than once.
    Download,
}

impl RequestKind {
    /// Name in metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::Once => "once",
            Self::Upload => "upload",
            Self::Download => "download",
        }
    }
}

/// Share of a route's flows that goes to one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Service.
    pub service: ServiceTag,
    /// Weight, relative to the sum of all weights of the route.
    pub weight: u32,
}

/// Longest time limit of a request that counts as a plausible setting.
const MAX_TIME_LIMIT: Duration = Duration::from_secs(3_600);

/// What the callers of a route need of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Response-time goal, counted from the caller's first attempt.
    pub goal: Duration,
    /// Time after which an answer is useless. At least the goal.
    pub limit: Duration,
    /// Urgency under overload; 0 is the highest.
    pub priority: u8,
}

/// Operators stated a demand that cannot be used as it is.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum DemandError {
    /// The time limit is missing, zero or longer than an hour.
    #[display("the time limit is not between 1 ms and 1 h; requests are served without a demand")]
    Limit,
    /// The goal is missing or zero.
    #[display("the response-time goal is missing or zero; the time limit is used in its place")]
    Goal,
    /// The goal is above the time limit.
    #[display("the response-time goal is above the time limit; the time limit is used")]
    GoalAboveLimit,
    /// The priority is missing or negative.
    #[display("the priority is missing or not a number from 0; the lowest is used")]
    Priority,
}

/// Demand as operators stated it. A value that cannot be read is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StatedDemand {
    /// Response-time goal.
    pub goal: Option<Duration>,
    /// Time limit.
    pub limit: Option<Duration>,
    /// Urgency; 0 is the highest.
    pub priority: Option<u8>,
}

impl StatedDemand {
    /// Demand with a safe default for what cannot be used, and what was wrong with it. Without a
    /// usable time limit there is none.
    pub fn check(self) -> (Option<Demand>, Vec<DemandError>) {
        let limit = self.limit.filter(|&limit| limit > Duration::ZERO);
        let Some(limit) = limit.filter(|&limit| limit <= MAX_TIME_LIMIT) else {
            return (None, vec![DemandError::Limit]);
        };
        let mut errors = Vec::new();
        let goal = match self.goal.filter(|&goal| goal > Duration::ZERO) {
            Some(goal) if goal <= limit => goal,
            Some(_) => {
                errors.push(DemandError::GoalAboveLimit);
                limit
            }
            None => {
                errors.push(DemandError::Goal);
                limit
            }
        };
        if self.priority.is_none() {
            errors.push(DemandError::Priority);
        }
        let demand = Demand {
            goal,
            limit,
            priority: self.priority.unwrap_or(u8::MAX),
        };
        (Some(demand), errors)
    }
}

/// Priorities that the routes of a configuration state. They are used as they are if each is an
/// integer of 8 bits, and by their order otherwise.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Priorities {
    /// All of them in order, if one is no integer of 8 bits.
    order: Vec<Number>,
}

impl Priorities {
    /// Priorities of all routes.
    pub fn of(stated: impl IntoIterator<Item = Number>) -> Self {
        let order: BTreeSet<_> = stated.into_iter().collect();
        let is_usable = order.iter().all(|&priority| as_u8(priority).is_some());
        Self {
            order: if is_usable {
                Vec::new()
            } else {
                order.into_iter().collect()
            },
        }
    }

    /// Urgency of a priority that was stated; 0 is the highest. From the 256th on, all have the
    /// lowest.
    pub fn rank(&self, priority: Number) -> Option<u8> {
        if self.order.is_empty() {
            return as_u8(priority);
        }
        let at = self.order.binary_search(&priority).ok()?;
        Some(u8::try_from(at).unwrap_or(u8::MAX))
    }
}

fn as_u8(number: Number) -> Option<u8> {
    let integer = u8::try_from(number.saturating_u64()).ok()?;
    (Number::of(integer.into()) == number).then_some(integer)
}

/// Address to which callers send, and the services behind it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name for logs.
    pub name: String,
    /// Services that get new flows, with their weights.
    pub shares: Vec<Share>,
    /// How often its requests may run.
    pub kind: RequestKind,
    /// What its callers need; without it, requests are admitted by free slots alone.
    pub demand: Option<Demand>,
}

impl Route {
    /// Service of a new flow, the same in all processes. `None` when all weights are zero.
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
    /// Requests per second that a cold target can take, if operators set a limit.
    pub cold_rate: Option<f64>,
    /// Time for which a target stays cold after its start.
    pub cold_duration: Duration,
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
    /// Time without packets after which a flow may be forgotten.
    pub idle_timeout: Duration,
}

/// Data centres that operators have taken out of service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    /// Version of the store at which this was the complete set.
    pub version: Version,
    /// Names of the evacuated data centres.
    pub data_centres: BTreeSet<String>,
}
