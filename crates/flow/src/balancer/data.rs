//! Forwarding of packets of open flows, and lookups of their owners.

use bytes::Bytes;
use monsoon_model::{Duration, Instant};

use super::{Balancer, Flow, LOOKUP_TIMEOUT, Opening, Presence};
use crate::action::{log, reset, send};
use crate::lookup::{Lookup, Outcome};
use crate::ranking::rank_owners;
use crate::{Action, FlowKey, Frame, PacketInfo, PacketKind};
use std::net::SocketAddrV4;

/// Maximum distance between the offer that a caller accepts and the sequence number that it expects
/// in its first packets.
const MAX_OFFER_DISTANCE: u32 = 65_536;

/// Time for which a flow of a route that was never in force here waits for a newer version. Another
/// balancer's version usually arrives within this time.
const ROUTE_WAIT: Duration = Duration::from_secs(1);

/// Time after which agents that could not tell are asked again, because they may know by then.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

impl Balancer {
    pub(super) fn forward_data(
        &mut self,
        now: Instant,
        packet: Bytes,
        info: &PacketInfo,
        actions: &mut Vec<Action>,
    ) {
        let key = info.key;
        if !self.has_route(key) {
            self.handle_without_route(now, info, actions);
            return;
        }
        match self.flows.get_mut(&key) {
            Some(Flow::Owned { agent, last_used }) => {
                *last_used = now;
                let to = *agent;
                if self.has_ended(to) {
                    self.flows.remove(&key);
                    actions.push(log(
                        key,
                        "reset",
                        format!("reason=\"target ended\" agent={to}"),
                    ));
                    actions.push(reset(key, info.ack));
                } else {
                    actions.push(forward(to, packet));
                }
            }
            Some(Flow::Opening(opening)) => match accepted_agent(opening, info.ack) {
                Some(agent) => {
                    self.insert_flow(
                        key,
                        Flow::Owned {
                            agent,
                            last_used: now,
                        },
                    );
                    actions.push(forward(agent, packet));
                }
                None => self.look_up(now, packet, info, None, actions),
            },
            Some(Flow::LookingUp(lookup)) => lookup.queue_packet(packet, info),
            // None of the probed agents owns the flow, or some did not reply.
            Some(Flow::Probing(lookup)) if now.since(lookup.last_sent) >= PROBE_TIMEOUT => {
                let mut lookup = Lookup::new(now, info.ack);
                lookup.queue_packet(packet, info);
                self.ask_all(now, key, lookup, actions);
            }
            Some(Flow::Probing(lookup)) => {
                let agents = lookup.pending_probes();
                actions.extend(agents.map(|agent| forward(agent, packet.clone())));
                lookup.queue_packet(packet, info);
            }
            Some(Flow::UnknownRoute { .. }) | None => {
                self.look_up(now, packet, info, None, actions);
            }
        }
    }

    pub(super) fn has_route(&self, key: FlowKey) -> bool {
        let catalogue = self.catalogue.as_ref();
        catalogue.is_none_or(|c| c.routes.contains_key(&key.address))
    }

    /// Resets a flow whose route is not in force. The route may have been added by a version that
    /// another balancer has earlier, so that a flow of one that was never in force here waits first.
    fn handle_without_route(&mut self, now: Instant, info: &PacketInfo, actions: &mut Vec<Action>) {
        let key = info.key;
        if !self.config_checked || info.kind == PacketKind::Reset {
            self.flows.remove(&key);
            return;
        }
        let config = self.versions.document;
        if !self.dropped_routes.contains(&key.address) {
            let since = match self.flows.get(&key) {
                Some(Flow::UnknownRoute { since }) => *since,
                _ => now,
            };
            if now.since(since) < ROUTE_WAIT {
                self.insert_flow(key, Flow::UnknownRoute { since });
                actions.push(log(
                    key,
                    "dropped",
                    format!("reason=\"unknown route\" config={config}"),
                ));
                return;
            }
        }
        self.flows.remove(&key);
        actions.push(log(
            key,
            "reset",
            format!("reason=\"route dropped\" config={config}"),
        ));
        actions.push(reset(key, info.ack));
    }

    /// Whether an agent announced that its target, and so all its flows, have ended.
    pub(super) fn has_ended(&self, agent: SocketAddrV4) -> bool {
        let recent = self.recent_agents.get(&agent);
        recent.is_some_and(|recent| recent.presence == Presence::Ended)
    }

    /// Starts a lookup of the owner of a flow. The agent `denied` does not own it and is not asked.
    pub(super) fn look_up(
        &mut self,
        now: Instant,
        packet: Bytes,
        info: &PacketInfo,
        denied: Option<SocketAddrV4>,
        actions: &mut Vec<Action>,
    ) {
        let mut lookup = Lookup::new(now, info.ack);
        lookup.queue_packet(packet, info);
        if let Some(agent) = denied {
            lookup.deny(agent);
        }
        self.send_queries(now, info.key, lookup, actions);
    }

    /// Asks the agents that may own the flow and have not denied it: at first the likely owners, then
    /// all.
    pub(super) fn send_queries(
        &mut self,
        now: Instant,
        key: FlowKey,
        mut lookup: Lookup,
        actions: &mut Vec<Action>,
    ) {
        let owners = if lookup.asks_all {
            self.possible_owners()
        } else {
            self.likely_owners(key.address)
        };
        lookup.is_complete = self.may_ask_all(now, key);
        lookup.ask(now, &owners);
        if lookup.is_answered() {
            let outcome = lookup.outcome();
            self.apply_outcome(now, key, lookup, outcome, actions);
            return;
        }
        let agents = lookup.unanswered().count();
        actions.push(log(key, "asked", format!("agents={agents}")));
        self.batches
            .add(lookup.unanswered(), lookup.query(key), actions);
        self.insert_flow(key, Flow::LookingUp(lookup));
        self.sent_lookups.push_back((now, key));
    }

    /// Asks the agents of all services, because no likely owner has confirmed the flow.
    fn ask_all(
        &mut self,
        now: Instant,
        key: FlowKey,
        mut lookup: Lookup,
        actions: &mut Vec<Action>,
    ) {
        lookup.asks_all = true;
        self.send_queries(now, key, lookup, actions);
    }

    /// Whether every agent that may own the flow can be asked. Without any listed agent, nothing is
    /// known about the flow.
    fn may_ask_all(&self, now: Instant, key: FlowKey) -> bool {
        self.is_list_complete(now) && !self.likely_owners(key.address).is_empty()
    }

    /// Acts on the outcome of a lookup.
    pub(super) fn apply_outcome(
        &mut self,
        now: Instant,
        key: FlowKey,
        lookup: Lookup,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        match outcome {
            Outcome::Found(agent) => {
                actions.push(log(key, "found", format!("agent={agent}")));
                let packets = lookup.packets().cloned();
                actions.extend(packets.map(|packet| forward(agent, packet)));
                self.insert_flow(
                    key,
                    Flow::Owned {
                        agent,
                        last_used: now,
                    },
                );
            }
            // The owner may be an agent that is not listed yet, and the probes would only reach other
            // targets.
            Outcome::Unknown
                if !self.is_list_complete(now)
                    && self.wait_for_list(now, key, self.list_complete_at()) =>
            {
                self.insert_flow(key, Flow::LookingUp(lookup));
            }
            Outcome::Unknown => self.probe_next(now, key, lookup, actions),
            Outcome::NoOwner if !lookup.asks_all => self.ask_all(now, key, lookup, actions),
            // The list became complete after the queries were sent: agents that it has gained since
            // are asked, too.
            Outcome::NoOwner if !lookup.is_complete && self.may_ask_all(now, key) => {
                self.send_queries(now, key, lookup, actions);
            }
            Outcome::NoOwner
                if !lookup.is_complete && self.wait_for_list(now, key, self.list_complete_at()) =>
            {
                self.insert_flow(key, Flow::LookingUp(lookup));
            }
            Outcome::NoOwner => {
                self.flows.remove(&key);
                let is_certain = lookup.is_complete;
                actions.push(log(
                    key,
                    if is_certain { "reset" } else { "dropped" },
                    "reason=\"nobody holds it\"",
                ));
                if is_certain {
                    actions.push(reset(key, lookup.ack));
                }
            }
            Outcome::Pending => self.insert_flow(key, Flow::LookingUp(lookup)),
        }
    }

    /// Probes the next agents that cannot tell, most likely owners first: each is sent a packet of
    /// the flow. A target returns a packet of a flow that it does not know, which tells its agent.
    pub(super) fn probe_next(
        &mut self,
        now: Instant,
        key: FlowKey,
        mut lookup: Lookup,
        actions: &mut Vec<Action>,
    ) {
        let agents = lookup.unknown.iter().map(|&at| (at, self.targets.get(&at)));
        let mut ranked = rank_owners(key.hash(), self.settings.data_centre, agents);
        let likely_owners = self.likely_owners(key.address);
        ranked.sort_by_key(|agent| !likely_owners.contains(agent));
        let wave = lookup.next_wave(ranked);
        if !wave.is_empty() {
            actions.push(log(key, "tried", format!("agents={}", wave.len())));
            self.sent_lookups.push_back((now, key));
        }
        if let Some(packet) = lookup.packets().next() {
            actions.extend(wave.into_iter().map(|to| forward(to, packet.clone())));
        }
        lookup.last_sent = now;
        self.insert_flow(key, Flow::Probing(lookup));
    }

    /// Handles missing replies. If some agents cannot tell, they are probed; otherwise those
    /// without reply are asked again, because queries and replies may be lost.
    pub(super) fn replies_timed_out(
        &mut self,
        now: Instant,
        at: Instant,
        key: FlowKey,
        actions: &mut Vec<Action>,
    ) {
        match self.flows.remove(&key) {
            Some(Flow::LookingUp(mut lookup)) if lookup.last_sent == at => {
                if !lookup.unknown.is_empty() {
                    self.apply_outcome(now, key, lookup, Outcome::Unknown, actions);
                } else if !lookup.asks_all {
                    self.ask_all(now, key, lookup, actions);
                } else if now.since(lookup.started_at) < LOOKUP_TIMEOUT {
                    self.batches
                        .add(lookup.unanswered(), lookup.query(key), actions);
                    lookup.last_sent = now;
                    self.insert_flow(key, Flow::LookingUp(lookup));
                    self.sent_lookups.push_back((now, key));
                }
            }
            Some(Flow::Probing(lookup)) if lookup.last_sent == at => {
                self.probe_next(now, key, lookup, actions);
            }
            Some(flow) => self.insert_flow(key, flow),
            None => {}
        }
    }
}

/// Agent of the target whose offer the caller accepted.
fn accepted_agent(opening: &Opening, ack: u32) -> Option<SocketAddrV4> {
    let is_accepted =
        |&&(_, offer): &&(SocketAddrV4, u32)| ack.wrapping_sub(offer) <= MAX_OFFER_DISTANCE;
    let found = opening.offers.iter().find(is_accepted);
    found.map(|&(agent, _)| agent)
}

fn forward(to: SocketAddrV4, packet: Bytes) -> Action {
    send(to, Frame::Data, packet)
}
