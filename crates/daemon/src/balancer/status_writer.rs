//! Writes status objects to the store, which `monsoonctl status` reads: which process runs which
//! version of the configuration.
//!
//! In each membership group the holder of a lease in the store writes them. A write carries the
//! version of the lease as its fencing token and is conditional on the object that was read, so a
//! holder that was suspended past its lease cannot overwrite the status of a later holder.

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

/// Time for which the lease lasts without renewal.
const LEASE_TERM: monsoon_model::Duration = monsoon_model::Duration::from_secs(15);
/// Time before the end of the lease at which its holder stops writing.
const LEASE_MARGIN: monsoon_model::Duration = monsoon_model::Duration::from_secs(2);
/// Time between two checks whether the status or the rank of this balancer changed.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Writer of the status objects of one membership group.
#[derive(Debug)]
pub struct StatusWriter {
    pub client: Client,
    /// Environment whose status is written.
    pub environment: String,
    /// Membership and configuration.
    pub tables: Tables,
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

/// Part of a stored status that decides whether it may be replaced.
#[derive(Deserialize)]
struct Fence {
    fence: u64,
}

impl StatusWriter {
    /// Acquires the lease whenever `is_writer` returns true, and writes the status while the lease is
    /// held.
    pub async fn run(self, is_writer: impl Fn() -> bool) {
        let Ok(timing) = LeaseTiming::new(LEASE_TERM, LEASE_MARGIN) else {
            return log::error!(
                "status: no status is written, because the margin of the lease does not fit its term"
            );
        };
        let (id, group) = {
            let node = self
                .tables
                .node
                .lock()
                .expect("no panic while the lock is held");
            (node.member().id, node.member().group)
        };
        let lease = Mutex::new(Lease::new(self.clock.now(), id, timing));
        let lease_loop = self.maintain_lease(&lease, group, is_writer);
        let status_loop = self.write_changes(&lease, group);
        tokio::join!(lease_loop, status_loop);
    }

    async fn maintain_lease(
        &self,
        lease: &Mutex<Lease>,
        group: DataCentreId,
        is_writer: impl Fn() -> bool,
    ) {
        let name = format!("env/{}/lease/{group}", self.environment);
        let mut event = Event::Tick;
        loop {
            while !is_writer() {
                tokio::time::sleep(POLL_INTERVAL).await;
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

    async fn write_changes(&self, lease: &Mutex<Lease>, group: DataCentreId) {
        let mut written = BTreeMap::new();
        loop {
            tokio::time::sleep(POLL_INTERVAL).await;
            for (data_centre, name) in self.data_centres(group) {
                let token = {
                    let lease = lease.lock().expect("no panic while the lock is held");
                    lease.fencing_token(self.clock.now())
                };
                let Some(token) = token else {
                    written.clear();
                    break;
                };
                // The fence changes with each renewal of the lease, which alone is no reason to write.
                let processes = self.processes(data_centre);
                if written.get(&data_centre) == Some(&processes) {
                    continue;
                }
                let fence = token.packed();
                let status = Status { fence, processes };
                if self.put(&name, token, &status).await {
                    written.insert(data_centre, status.processes);
                }
            }
        }
    }

    /// Numbers and names of the data centres of the group.
    fn data_centres(&self, group: DataCentreId) -> Vec<(DataCentreId, String)> {
        let named = self.tables.configuration.with_document(|document| {
            let all = document.data_centres.values();
            let own = all.filter(|data_centre| data_centre.group == group);
            own.map(|data_centre| (data_centre.number, data_centre.name.clone()))
                .collect()
        });
        named.unwrap_or_default()
    }

    /// Processes of a data centre, sorted so that they can be compared.
    fn processes(&self, data_centre: DataCentreId) -> Vec<Process> {
        let node = self
            .tables
            .node
            .lock()
            .expect("no panic while the lock is held");
        let members = node.agents().chain(node.balancers());
        let own = members.filter(|member| member.data_centre == data_centre);
        let mut processes: Vec<_> = own.map(process).collect();
        processes.sort();
        processes
    }

    /// Replaces the status object of a data centre; false when a retry is needed.
    async fn put(&self, data_centre_name: &str, token: Version, status: &Status) -> bool {
        let name = format!("env/{}/status/{data_centre_name}", self.environment);
        let current = match self.client.get(&name).await {
            Ok(current) => current,
            Err(error) => {
                log::warn!("status: the status of {data_centre_name} is not read: {error}");
                return false;
            }
        };
        let fence = current
            .as_ref()
            .and_then(|(_, stored)| serde_json::from_str::<Fence>(&stored.text).ok())
            .map_or(Version::NONE, |present| Version::from_packed(present.fence));
        if !may_replace(token, fence) {
            log::warn!(
                "status: the status of {data_centre_name} is not written, because a later lease holder has written it"
            );
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
        let condition = Condition::of(current.map(|(version, _)| version));
        match self.client.put(&name, condition, &stored).await {
            Ok(_) => true,
            Err(error) => {
                log::warn!("status: the status of {data_centre_name} is not written: {error}");
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
        document: member.versions.document,
        places: member.versions.evacuations,
        state: format!("{:?}", member.state).to_lowercase(),
    }
}
