//! Requests at the agents of their flows.

use monsoon_admission::WorkId;
use monsoon_execution::{Action, Destination, Event as Step, Reply, pick_destination};
use monsoon_metrics::Outcome as Answered;
use monsoon_model::Duration;

use super::{Cluster, Event, HOP};
use crate::cluster::Policy;

impl Cluster {
    /// Advances a request and carries out what follows.
    pub(super) fn drive(&mut self, id: u64, step: Step) {
        let Some(flight) = self.requests.get_mut(&id) else {
            return;
        };
        let budget = &mut self.nodes[flight.agent].budget;
        let actions = flight.execution.handle(self.now, step, budget);
        let (agent, node) = (flight.agent, flight.node);
        for action in actions {
            match action {
                Action::Pick(refused) => self.pick(id, agent, refused),
                Action::Enqueue(attempt) => {
                    self.place(id, agent);
                    self.offer(work(id, attempt), agent);
                }
                Action::Forward(attempt, peer) => {
                    self.place(id, peer);
                    self.nodes[agent].peers[peer].sent += 1;
                    self.results.forwards += u64::from(self.now >= self.setup.warm_up);
                    self.at(HOP, Event::Offer(work(id, attempt), peer));
                }
                Action::Cancel(attempt) => self.cancel(work(id, attempt), node),
                Action::Reply(reply) => self.answer(id, reply),
                Action::Claim | Action::Send(_) | Action::StoreStatus(_) | Action::ReleaseClaim => {
                }
            }
        }
        if self
            .requests
            .get(&id)
            .is_some_and(|f| f.execution.is_done())
        {
            self.requests.remove(&id);
        }
    }

    fn place(&mut self, id: u64, node: usize) {
        if let Some(flight) = self.requests.get_mut(&id) {
            flight.node = node;
        }
    }

    fn pick(&mut self, id: u64, agent: usize, refused: Option<Destination>) {
        let noise = self.draw(u64::MAX);
        let node = &self.nodes[agent];
        let destination = match self.setup.policy {
            Policy::Ours | Policy::FixedSlots => {
                let mut peers = node.peers.clone();
                peers[agent].load.leaving = true;
                if let Some(Destination::Peer(peer)) = refused {
                    peers[peer].load.leaving = true;
                }
                let away = refused == Some(Destination::Local);
                pick_destination(node.control.load(), &peers, away, noise)
            }
            Policy::Random | Policy::TwoChoices => Destination::Local,
        };
        self.drive(id, Step::Picked(Some(destination)));
    }

    fn answer(&mut self, id: u64, reply: Reply) {
        let flight = &self.requests[&id];
        if flight.offered < self.setup.warm_up {
            return;
        }
        let class = self.setup.classes[flight.class].name;
        let latency = self.now.since(flight.offered);
        let outcome = match reply {
            Reply::Response(_) | Reply::Replay(_) => Answered::Answered,
            Reply::NotRun => Answered::Refused,
            Reply::Unknown => Answered::Unknown,
        };
        if outcome == Answered::Answered {
            self.results.good[flight.class] += 1;
            self.results
                .latency
                .record_latency("prodejna", class, latency);
        }
        self.results.count(class, outcome);
    }

    /// Passes an outcome at `node` to the agent of the flow.
    pub(super) fn back(&mut self, id: u64, node: usize, step: Step) {
        let Some(flight) = self.requests.get(&id) else {
            return;
        };
        let agent = flight.agent;
        if agent == node {
            // An event comes after the actions of the one before it.
            self.at(Duration::ZERO, Event::Back(id, step));
            return;
        }
        // The reply carries the peer's present load.
        self.nodes[agent].peers[node].load = self.nodes[node].control.load();
        self.nodes[agent].peers[node].sent = 0;
        self.at(HOP, Event::Back(id, step));
    }
}

/// Identity of an attempt as work at a target.
fn work(request: u64, attempt: u32) -> WorkId {
    WorkId(request << 8 | u64::from(attempt))
}

/// Request and attempt of a work.
pub(super) fn parts(work: WorkId) -> (u64, u32) {
    (work.0 >> 8, (work.0 & 0xff) as u32)
}
