//! The process beside a target: ends QUIC flows and runs their requests.

mod cid;
mod control;
mod flows;
mod forwarders;
mod gate;
mod health;
mod local;
mod request;
mod respond;
mod serve_peer;
mod socket;
mod start;
mod target;

use std::sync::{Arc, Mutex};

use monsoon_config::Class;
use monsoon_metrics::Histograms;
use monsoon_model::{ClassKey, Duration, ServiceId};
use tokio::sync::watch;

pub use start::{AgentError, run};

use crate::clock::Clock;
use crate::configuration::Configuration;
use crate::counters::Counters;
use crate::peer::Peers;
use flows::{FlowCount, Phase};
use gate::Gate;
use target::Target;

/// What the tasks of an agent share.
#[derive(Debug)]
pub struct Agent {
    clock: Clock,
    service: ServiceId,
    tenant: String,
    configuration: Configuration,
    gate: Gate,
    target: Target,
    peers: Peers,
    histograms: Mutex<Histograms>,
    counters: Arc<Counters>,
    phase: watch::Sender<Phase>,
    flows: FlowCount,
}

impl Agent {
    /// Class that a request belongs to, by the document in force.
    fn class_of(&self, method: &str, path: &str) -> Option<(ClassKey, Class)> {
        self.configuration
            .with_document(|document| {
                let service = document.services.get(&self.service)?;
                let key = service.class_of(method, path)?;
                Some((key, service.class(key)?.clone()))
            })
            .flatten()
    }

    fn record(&self, class: &str, latency: Duration) {
        let mut histograms = self.histograms.lock().expect("no panic while the lock is held");
        histograms.record(&self.tenant, class, latency);
    }
}
