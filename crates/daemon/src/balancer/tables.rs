//! Routing tables of the balancer, built from the membership and the document.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex};

use monsoon_membership::{BalancerNode, Member, Status};
use monsoon_model::{AgentId, Instant};
use monsoon_placement::candidates;
use monsoon_routing::Router;

use crate::configuration::Configuration;

/// Routing tables and what they are built from.
#[derive(Clone, Debug)]
pub struct Tables {
    /// Membership node.
    pub node: Arc<Mutex<BalancerNode>>,
    /// Routing decisions.
    pub router: Arc<Mutex<Router>>,
    /// Configuration in force.
    pub configuration: Configuration,
    /// Name of the own data centre.
    pub data_centre: String,
    /// Data addresses of the agents at the last rebuild.
    pub last_agents: Arc<Mutex<BTreeMap<AgentId, SocketAddrV4>>>,
}

impl Tables {
    /// Rebuilds the tables from the live agents, the document and the evacuated data centres.
    pub fn rebuild(&self, now: Instant) {
        let agents: Vec<Member> = {
            let node = self.node.lock().expect("no panic while the lock is held");
            node.agents().copied().collect()
        };
        let evacuations = self.configuration.evacuations();
        let tables = self
            .configuration
            .with_document(|document| {
                candidates(document, &self.data_centre, &agents, &evacuations)
            })
            .unwrap_or_default();
        let departed = self.replace_last_agents(&agents);
        let mut router = self.router.lock().expect("no panic while the lock is held");
        router.set_evacuations(now, evacuations);
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

    /// Replaces the agents of the last rebuild and returns those that announced that they left.
    ///
    /// Other agents that are missing may be cut off by a broken link and still serve their flows.
    fn replace_last_agents(&self, agents: &[Member]) -> Vec<(AgentId, SocketAddrV4)> {
        let present = agents.iter().map(|agent| (agent.id, agent.data)).collect();
        let mut last = self
            .last_agents
            .lock()
            .expect("no panic while the lock is held");
        let before = std::mem::replace(&mut *last, present);
        let node = self.node.lock().expect("no panic while the lock is held");
        let has_left = |id: &AgentId| node.status(*id) == Some(Status::Left);
        before.into_iter().filter(|(id, _)| has_left(id)).collect()
    }

    /// Tells the router that a member was declared dead.
    pub fn mark_dead(&self, now: Instant, member: &Member) {
        let mut router = self.router.lock().expect("no panic while the lock is held");
        router.mark_dead(now, member.data, member.id.epoch());
    }
}
