//! The role agent: terminates QUIC flows beside a target and runs their requests there or at the
//! target of another agent.

mod admission_control;
mod attempt;
mod cid;
mod claims;
mod driver;
mod flows;
mod health;
mod local;
mod membership;
mod peer_handlers;
mod reply_balancers;
mod request;
mod respond;
mod socket;
mod start;
mod target;

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use monsoon_config::Class;
use monsoon_execution::claim::ClaimTable;
use monsoon_execution::{PeerTracker, RetryBudget};
use monsoon_membership::{AgentNode, ServiceMember};
use monsoon_metrics::{Histograms, Outcome};
use monsoon_model::{AgentId, ClassKey, Duration, ServiceId};
use tokio::sync::watch;
use tonic::Status;

pub use start::run;

use crate::clock::Clock;
use crate::configuration::Configuration;
use crate::counters::Counters;
use crate::peer::Peers;
use admission_control::AdmissionControl;
use flows::{FlowCount, PeerRequests, Phase};
use target::Target;

/// State that the tasks of an agent share.
#[derive(Debug)]
pub struct Agent {
    clock: Clock,
    id: AgentId,
    service: ServiceId,
    tenant: String,
    configuration: Configuration,
    admission_control: AdmissionControl,
    target: Target,
    peers: Peers,
    node: Arc<Mutex<AgentNode>>,
    claims: Mutex<ClaimTable>,
    retry_budget: Mutex<RetryBudget>,
    claim_serial: AtomicU64,
    peer_tracker: Mutex<PeerTracker>,
    histograms: Mutex<Histograms>,
    counters: Arc<Counters>,
    phase: watch::Sender<Phase>,
    flows: FlowCount,
    /// Requests and streams that run at the local target for flows of other agents.
    peer_requests: PeerRequests,
}

impl Agent {
    /// Class of a request by the document in force.
    fn class_of(&self, method: &str, path: &str) -> Option<(ClassKey, Class)> {
        self.configuration
            .with_document(|document| {
                let service = document.services.get(&self.service)?;
                let key = service.class_of(method, path)?;
                Some((key, service.class(key)?.clone()))
            })
            .flatten()
    }

    /// Members of the service, including this one and those that departed recently.
    fn members(&self) -> Vec<ServiceMember> {
        let node = self.node.lock().expect("no panic while the lock is held");
        node.service_members(self.clock.now())
    }

    /// Whether the list of members is known, which claims need.
    fn has_members(&self) -> bool {
        let node = self.node.lock().expect("no panic while the lock is held");
        node.has_service_list()
    }

    /// Number for a claim, which this process uses only once.
    fn next_claim_serial(&self) -> u64 {
        self.claim_serial.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns an error unless `service` is the own one: a request must never reach a target of another
    /// service.
    fn check_service(&self, service: ServiceId) -> Result<(), Status> {
        if service == self.service {
            return Ok(());
        }
        self.counters.count("request_other_service");
        Err(Status::failed_precondition(format!(
            "this agent serves service {}, not {service}; the membership of the sender is outdated",
            self.service
        )))
    }

    /// Counts the outcome of a request and records its latency, if there is one.
    fn record(&self, class: &str, outcome: Outcome, latency: Option<Duration>) {
        let mut histograms = self
            .histograms
            .lock()
            .expect("no panic while the lock is held");
        histograms.count_outcome(&self.tenant, class, outcome);
        if let Some(latency) = latency {
            histograms.record_latency(&self.tenant, class, latency);
        }
    }
}
