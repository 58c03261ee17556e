//! Status objects: which process runs which configuration, for `monsoonctl status`.
//!
//! One balancer of a membership group writes them, the holder of a lease in the store. A write
//! carries the version of the lease as its fencing token and is conditional on the object that was
//! read, so a holder that was suspended past its lease cannot overwrite a later holder's status.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

use monsoon_lease::{Event, Lease, LeaseStep, LeaseTiming, may_replace};
use monsoon_membership::{Member, Role};
use monsoon_model::{DataCentreId, Version};
use monsoon_store::{Client, Condition, StoredObject, perform};
use serde::{Deserialize, Serialize};

use super::tables::Tables;
use crate::clock::Clock;

/// Time for which a lease is held without renewal.
const TERM: monsoon_model::Duration = monsoon_model::Duration::from_secs(15);
/// Time before its end at which the holder stops acting.
const MARGIN: monsoon_model::Duration = monsoon_model::Duration::from_secs(2);
/// Time between two looks whether the status changed.
const INTERVAL: Duration = Duration::from_secs(2);

/// What the writer works with.
#[derive(Debug)]
pub struct StatusWriter {
    /// Calls to the store.
    pub client: Client,
    /// Environment whose status is written.
    pub environment: String,
    /// Membership and configuration.
    pub tables: Tables,
    /// Clock of the process.
    pub clock: Clock,
}

#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Status {
    fence: u64,
    processes: Vec<Process>,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct Process {
    id: String,
    role: String,
    address: String,
    document: u64,
    places: u64,
    state: String,
}

/// Only the fence of a present status matters for replacing it.
#[derive(Deserialize)]
struct Fence {
    fence: u64,
}

impl StatusWriter {
    /// Acquires the lease while `is_writer` says so and writes the status while it is held.
    pub async fn run(self, is_writer: impl Fn() -> bool) {
        let Ok(terms) = LeaseTiming::new(TERM, MARGIN) else {
            return log::error!("status: term and margin of the lease do not fit");
        };
        let (id, group) = {
            let node = self
                .tables
                .node
                .lock()
                .expect("no panic while the lock is held");
            (node.member().id, node.member().group)
        };
        let lease = Mutex::new(Lease::new(self.clock.now(), id, terms));
        let holding = self.hold(&lease, group, is_writer);
        let writing = self.write(&lease, group);
        tokio::join!(holding, writing);
    }

    async fn hold(&self, lease: &Mutex<Lease>, group: DataCentreId, is_writer: impl Fn() -> bool) {
        let name = format!("env/{}/lease/{group}", self.environment);
        let mut event = Event::Tick;
        loop {
            while !is_writer() {
                tokio::time::sleep(INTERVAL).await;
            }
            let step = {
                let mut lease = lease.lock().expect("no panic while the lock is held");
                lease.handle(self.clock.now(), event)
            };
            event = match step {
                LeaseStep::Call(call) => {
                    perform(&self.client, &name, call, "monsoonrouter", "")
                        .await
                        .event
                }
                LeaseStep::Wait(at) => {
                    tokio::time::sleep_until(self.clock.tokio_instant(at)).await;
                    Event::Tick
                }
            };
        }
    }

    async fn write(&self, lease: &Mutex<Lease>, group: DataCentreId) {
        let mut written = BTreeMap::new();
        loop {
            tokio::time::sleep(INTERVAL).await;
            for (place, name) in self.places(group) {
                let token = {
                    let lease = lease.lock().expect("no panic while the lock is held");
                    lease.fencing_token(self.clock.now())
                };
                let Some(token) = token else {
                    written.clear();
                    break;
                };
                // The fence changes with each renewal of the lease and alone is no reason to write.
                let processes = self.processes(place);
                if written.get(&place) == Some(&processes) {
                    continue;
                }
                let fence = token.0;
                let status = Status { fence, processes };
                if self.put(&name, token, &status).await {
                    written.insert(place, status.processes);
                }
            }
        }
    }

    /// Data centres of the group with their names.
    fn places(&self, group: DataCentreId) -> Vec<(DataCentreId, String)> {
        let named = self.tables.configuration.with_document(|document| {
            let places = document.data_centres.values();
            let own = places.filter(|place| place.group == group);
            own.map(|place| (place.number, place.name.clone()))
                .collect()
        });
        named.unwrap_or_default()
    }

    /// Processes of a data centre, in a fixed order.
    fn processes(&self, place: DataCentreId) -> Vec<Process> {
        let node = self
            .tables
            .node
            .lock()
            .expect("no panic while the lock is held");
        let members = node.agents().chain(node.balancers());
        let own = members.filter(|member| member.data_centre == place);
        let mut processes: Vec<_> = own.map(process).collect();
        processes.sort();
        processes
    }

    /// Replaces the status object; false when it has to be tried again.
    async fn put(&self, place: &str, token: Version, status: &Status) -> bool {
        let name = format!("env/{}/status/{place}", self.environment);
        let present = match self.client.get(&name).await {
            Ok(present) => present,
            Err(error) => {
                log::debug!("status: {error}");
                return false;
            }
        };
        let fence = present
            .as_ref()
            .and_then(|(_, stored)| serde_json::from_str::<Fence>(&stored.text).ok())
            .map_or(Version(0), |present| Version(present.fence));
        if !may_replace(token, fence) {
            log::warn!("status: a later lease holder writes the status of {place}");
            return false;
        }
        let Ok(text) = serde_json::to_string(status) else {
            return false;
        };
        let change = format!("status-{:016x}", rand::random::<u64>());
        let stored = StoredObject {
            change,
            author: "monsoonrouter".to_owned(),
            text,
        };
        let condition = Condition::of(present.map(|(version, _)| version));
        match self.client.put(&name, condition, &stored).await {
            Ok(_) => true,
            Err(error) => {
                log::debug!("status: {error}");
                false
            }
        }
    }
}

fn process(member: &Member) -> Process {
    let role = match member.role {
        Role::Balancer => "balancer",
        Role::Agent => "agent",
    };
    Process {
        id: format!("{:016x}", member.id.0),
        role: role.to_owned(),
        address: member.control.to_string(),
        document: member.versions.document.0,
        places: member.versions.evacuations.0,
        state: format!("{:?}", member.state).to_lowercase(),
    }
}
