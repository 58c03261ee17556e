//! Requests at the agents of their flows: choice of the target, attempts and replies.

use monsoon_admission::WorkId;
use monsoon_execution::{Action, Destination, Event as RequestEvent, Reply, pick_destination};
use monsoon_metrics::Outcome as Answered;
use monsoon_model::Duration;

use super::{Cluster, Event, HOP_DELAY};
use crate::cluster::Policy;

impl Cluster {
    /// Passes an event to a request and performs the actions that it returns.
    pub(super) fn advance(&mut self, id: u64, event: RequestEvent) {
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        let budget = &mut self.nodes[pending.agent].retry_budget;
        let actions = pending.execution.handle(self.now, event, budget);
        let (agent, node) = (pending.agent, pending.node);
        for action in actions {
            match action {
                Action::Pick(refused) => self.choose_destination(id, agent, refused),
                Action::Enqueue(attempt) => {
                    self.set_node(id, agent);
                    self.offer_work(work_id(id, attempt), agent);
                }
                Action::Forward(attempt, peer) => {
                    self.set_node(id, peer);
                    self.nodes[agent].peer_loads[peer].sent += 1;
                    self.results.forwards += u64::from(self.now >= self.setup.measured_from);
                    self.schedule(HOP_DELAY, Event::Offer(work_id(id, attempt), peer));
                }
                Action::Cancel(attempt) => self.cancel_work(work_id(id, attempt), node),
                Action::Reply(reply) => self.record_reply(id, reply),
                Action::Claim | Action::Send(_) | Action::StoreStatus(_) | Action::ReleaseClaim => {
                }
            }
        }
        if self
            .requests
            .get(&id)
            .is_some_and(|pending| pending.execution.is_done())
        {
            self.requests.remove(&id);
        }
    }

    fn set_node(&mut self, id: u64, node: usize) {
        if let Some(pending) = self.requests.get_mut(&id) {
            pending.node = node;
        }
    }

    fn choose_destination(&mut self, id: u64, agent: usize, refused: Option<Destination>) {
        let noise = self.draw(u64::MAX);
        let node = &self.nodes[agent];
        let destination = match self.setup.policy {
            Policy::Ours | Policy::FixedSlots => {
                let mut peers = node.peer_loads.clone();
                peers[agent].load.leaving = true;
                if let Some(Destination::Peer(peer)) = refused {
                    peers[peer].load.leaving = true;
                }
                let local_refused = refused == Some(Destination::Local);
                pick_destination(node.admission.load(), &peers, local_refused, noise)
            }
            Policy::Random | Policy::TwoChoices => Destination::Local,
        };
        self.advance(id, RequestEvent::Picked(Some(destination)));
    }

    fn record_reply(&mut self, id: u64, reply: Reply) {
        let pending = &self.requests[&id];
        if pending.offered < self.setup.measured_from {
            return;
        }
        let class = self.setup.classes[pending.class].name;
        let latency = self.now.since(pending.offered);
        let outcome = match reply {
            Reply::Response(_) | Reply::Replay(_) => Answered::Answered,
            Reply::NotRun => Answered::Refused,
            Reply::Unknown => Answered::Unknown,
        };
        if outcome == Answered::Answered {
            self.results.responses[pending.class] += 1;
            self.results
                .latency
                .record_latency("prodejna", class, latency);
        }
        self.results.count_outcome(class, outcome);
    }

    /// Returns the outcome of an attempt at `node` to the agent of the flow.
    pub(super) fn return_outcome(&mut self, id: u64, node: usize, event: RequestEvent) {
        let Some(pending) = self.requests.get(&id) else {
            return;
        };
        let agent = pending.agent;
        if agent == node {
            // Scheduled rather than handled at once, so that the actions of the present event are
            // performed first.
            self.schedule(Duration::ZERO, Event::Outcome(id, event));
            return;
        }
        // A reply of a peer carries its present load.
        self.nodes[agent].peer_loads[node].load = self.nodes[node].admission.load();
        self.nodes[agent].peer_loads[node].sent = 0;
        self.schedule(HOP_DELAY, Event::Outcome(id, event));
    }
}

/// Identity of an attempt for admission.
fn work_id(request: u64, attempt: u32) -> WorkId {
    WorkId(request << 8 | u64::from(attempt))
}

/// Request and attempt of a [`WorkId`].
pub(super) fn split_work_id(work: WorkId) -> (u64, u32) {
    (work.0 >> 8, (work.0 & 0xff) as u32)
}
