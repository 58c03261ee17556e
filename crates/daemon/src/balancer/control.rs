//! Membership of the balancer and the routing tables that follow from it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex};

use monsoon_config::Document;
use monsoon_membership::{BalancerNode, Member, State, Status};
use monsoon_model::{AgentId, DataCentreId, Instant, ServiceId};
use monsoon_routing::{Candidate, Router};

use crate::configuration::Configuration;

/// Weight of one slot in the tables; a cold target's share of it is at least one.
const SLOT_WEIGHT: f64 = 100.0;

/// Routing tables and what they are built from.
#[derive(Clone, Debug)]
pub struct Tables {
    /// Membership.
    pub node: Arc<Mutex<BalancerNode>>,
    /// Routing decisions.
    pub router: Arc<Mutex<Router>>,
    /// Configuration in force.
    pub configuration: Configuration,
    /// Name of the own data centre.
    pub data_centre: String,
    /// Encapsulation addresses of the agents seen at the last rebuild.
    pub seen: Arc<Mutex<BTreeMap<AgentId, SocketAddrV4>>>,
}

impl Tables {
    /// Rebuilds the tables from the live agents and the document.
    pub fn rebuild(&self, now: Instant) {
        let agents: Vec<Member> = {
            let node = self.node.lock().expect("no panic while the lock is held");
            node.agents().copied().collect()
        };
        let out = self.configuration.out();
        let tables = self
            .configuration
            .with_document(|document| candidates(document, &self.data_centre, &agents, &out))
            .unwrap_or_default();
        let departed = self.note_seen(&agents);
        let mut router = self.router.lock().expect("no panic while the lock is held");
        router.set_out(now, out);
        for (id, agent) in departed {
            router.mark_left(now, agent, id.epoch());
        }
        for agent in &agents {
            router.mark_alive(agent.data, agent.id.epoch());
        }
        for (service, candidates) in tables {
            router.update(now, service, candidates);
        }
    }

    /// Replaces the agents seen and returns those that left by themselves.
    ///
    /// An agent that is only hidden behind a cut link may still serve its flows.
    fn note_seen(&self, agents: &[Member]) -> Vec<(AgentId, SocketAddrV4)> {
        let present = agents.iter().map(|agent| (agent.id, agent.data)).collect();
        let mut seen = self.seen.lock().expect("no panic while the lock is held");
        let before = std::mem::replace(&mut *seen, present);
        let node = self.node.lock().expect("no panic while the lock is held");
        let left = |id: &AgentId| node.status(*id) == Some(Status::Left);
        before.into_iter().filter(|(id, _)| left(id)).collect()
    }

    /// Notes the death of a member.
    pub fn mark_dead(&self, now: Instant, member: &Member) {
        let mut router = self.router.lock().expect("no panic while the lock is held");
        router.mark_dead(now, member.data, member.id.epoch());
    }
}

/// Candidates of each service of the document, also of those without any.
fn candidates(
    document: &Document,
    home: &str,
    agents: &[Member],
    out: &BTreeSet<DataCentreId>,
) -> BTreeMap<ServiceId, Vec<Candidate>> {
    let region = document
        .data_centre_named(home)
        .map(|place| place.region.as_str());
    let mut tables: BTreeMap<_, Vec<_>> = document
        .services
        .keys()
        .map(|service| (*service, Vec::new()))
        .collect();
    for agent in agents {
        let (Some(service), Some(place)) = (
            document.services.get(&agent.service),
            document.data_centres.get(&agent.place),
        ) else {
            continue;
        };
        let Some(share) = share(agent.state, service.cold_share) else {
            continue;
        };
        if out.contains(&agent.place) {
            continue;
        }
        let weight = f64::from(agent.slots.max(1)) * SLOT_WEIGHT * share;
        let candidate = Candidate {
            id: agent.id,
            agent: agent.data,
            data_centre: agent.place,
            weight: (weight as u32).max(1),
            local: Some(place.region.as_str()) == region,
        };
        tables.entry(agent.service).or_default().push(candidate);
    }
    tables
}

/// Share of its slots with which a target takes new flows; `None` for a leaving one.
fn share(state: State, cold_share: f64) -> Option<f64> {
    match state {
        State::Ready => Some(1.0),
        State::Cold => Some(cold_share),
        State::Leaving => None,
    }
}
