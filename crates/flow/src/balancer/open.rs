//! Placement of new flows.

use std::collections::BTreeSet;
use std::net::SocketAddrV4;

use bytes::Bytes;
use monsoon_model::Instant;

use super::frames::MAX_OVERLOADS;
use super::{Balancer, Flow, Opening};
use crate::action::{log, reset, send};
use crate::ranking::{MAX_HOPS, rank_candidates};
use crate::{Action, FlowKey, Frame, Open, PacketInfo, ServiceTag};

impl Balancer {
    pub(super) fn open(
        &mut self,
        now: Instant,
        packet: Bytes,
        info: &PacketInfo,
        copy: u32,
        actions: &mut Vec<Action>,
    ) {
        let key = info.key;
        if !self.config_checked {
            return;
        }
        let Some(service) = self.service(key) else {
            if self.catalogue.is_some() {
                actions.push(log(
                    key,
                    "reset",
                    format!("reason=\"no route\" config={}", self.versions.document),
                ));
                actions.push(reset(key, info.ack));
            }
            return;
        };
        let opening = match self.flows.get(&key) {
            Some(Flow::Opening(opening)) if opening.info.sequence == info.sequence => {
                let mut opening = opening.clone();
                opening.saw_all &= copy <= opening.copy + 1;
                opening.copy = opening.copy.max(copy);
                opening
            }
            // The target that took the flow answers the retransmission.
            Some(Flow::Owned { agent, .. }) if copy > 0 => {
                actions.push(self.send_open(*agent, service, Vec::new(), packet));
                return;
            }
            _ => Opening {
                service,
                packet,
                info: *info,
                sent_to: BTreeSet::new(),
                refused_by: BTreeSet::new(),
                last_candidates: Vec::new(),
                received_at: now,
                offers: Vec::new(),
                queued_at: None,
                open_attempts: 0,
                overloads: 0,
                copy,
                saw_all: copy == 0,
                placed_at: now,
            },
        };
        if let Some(&(agent, _)) = opening.offers.first() {
            let packet = opening.packet.clone();
            actions.push(self.send_open(agent, service, Vec::new(), packet));
            return;
        }
        if let Some(agent) = opening.queued_at {
            self.ask_queue(now, agent, key, opening, actions);
        } else {
            self.place(now, key, opening, actions);
        }
    }

    /// Sends a retransmission of a waiting packet to the agent that has it. If the agent does not
    /// answer, because it has restarted or is unreachable, the packet is placed again.
    fn ask_queue(
        &mut self,
        now: Instant,
        agent: SocketAddrV4,
        key: FlowKey,
        mut opening: Opening,
        actions: &mut Vec<Action>,
    ) {
        let packet = opening.packet.clone();
        actions.push(self.send_open(agent, opening.service, Vec::new(), packet));
        opening.queued_at = None;
        opening.last_candidates = vec![agent];
        opening.sent_to.insert(agent);
        opening.placed_at = now;
        self.insert_flow(key, Flow::Opening(opening));
        self.pending_opens.push_back((now, key));
    }

    pub(super) fn service(&self, key: FlowKey) -> Option<ServiceTag> {
        let route = self.catalogue.as_ref()?.routes.get(&key.address)?;
        route.service(key)
    }

    /// Candidates for a new flow, best first.
    pub(super) fn candidates(
        &self,
        now: Instant,
        service: ServiceTag,
        key: FlowKey,
    ) -> Vec<SocketAddrV4> {
        let fits = |target: &super::TargetView| {
            target.accepts_flows
                && target.service == service.service_id()
                && !self.evacuations.contains(&target.data_centre)
        };
        let targets = self.targets.iter().filter(|(_, target)| fits(target));
        rank_candidates(now, key.hash(), self.settings.data_centre, targets)
    }

    /// Sends the opening packet to the candidates. Those that were first in an earlier attempt come
    /// last.
    pub(super) fn place(
        &mut self,
        now: Instant,
        key: FlowKey,
        mut opening: Opening,
        actions: &mut Vec<Action>,
    ) {
        let mut order = self.candidates(now, opening.service, key);
        order.retain(|agent| !opening.refused_by.contains(agent));
        order.sort_by_key(|agent| opening.sent_to.contains(agent));
        order.truncate(MAX_HOPS);
        let Some(first) = order.first().copied() else {
            opening.last_candidates.clear();
            let deadline = self.wait_deadline(opening.service, opening.received_at);
            if self.wait_for_list(now, key, deadline) {
                // Agents that refused may take flows again by then.
                opening.refused_by.clear();
                self.insert_flow(key, Flow::Opening(opening));
            } else {
                self.reject(key, &opening, "no target", actions);
            }
            return;
        };
        actions.push(log(
            key,
            "placed",
            format!(
                "service={} agent={first} copy={} config={} places={} targets={}",
                opening.service,
                opening.copy,
                self.versions.document,
                self.versions.evacuations,
                self.targets.len()
            ),
        ));
        opening.last_candidates.clone_from(&order);
        opening.open_attempts += 1;
        let hops = order.split_off(1);
        let packet = opening.packet.clone();
        actions.push(self.send_open(first, opening.service, hops, packet));
        opening.sent_to.insert(first);
        opening.placed_at = now;
        self.insert_flow(key, Flow::Opening(opening));
        self.pending_opens.push_back((now, key));
    }

    fn send_open(
        &self,
        to: SocketAddrV4,
        service: ServiceTag,
        hops: Vec<SocketAddrV4>,
        packet: Bytes,
    ) -> Action {
        let reads_exact = |agent| {
            let target = self.targets.get(agent);
            target.is_some_and(|target| target.reads_exact)
        };
        let reads_exact = hops.iter().chain([&to]).all(reads_exact);
        let frame = Frame::Open(Open {
            balancer: self.settings.frame_address,
            service,
            versions: self.versions,
            hops,
            fallback: None,
            reads_exact,
        });
        send(to, frame, packet)
    }

    /// Resets a flow that cannot be placed, unless it may have opened through another balancer.
    pub(super) fn reject(
        &mut self,
        key: FlowKey,
        opening: &Opening,
        reason: &str,
        actions: &mut Vec<Action>,
    ) {
        self.flows.remove(&key);
        let decision = if opening.saw_all {
            "rejected"
        } else {
            "dropped"
        };
        let inputs = format!("reason=\"{reason}\" copy={}", opening.copy);
        actions.push(log(key, decision, inputs));
        if opening.saw_all {
            actions.push(reset(key, opening.info.ack));
        }
    }

    /// Handles an attempt without an offer or a refusal: the first candidates of all attempts are
    /// suspected, and the packet is sent to others.
    pub(super) fn offer_timed_out(
        &mut self,
        now: Instant,
        at: Instant,
        key: FlowKey,
        actions: &mut Vec<Action>,
    ) {
        let Some(Flow::Opening(opening)) = self.flows.get(&key) else {
            return;
        };
        let is_decided = opening.queued_at.is_some() || opening.overloads >= MAX_OVERLOADS;
        if opening.placed_at != at || !opening.offers.is_empty() || is_decided {
            return;
        }
        let opening = opening.clone();
        for &agent in &opening.sent_to {
            self.suspect(now, agent);
        }
        let candidates = self.candidates(now, opening.service, key);
        let rest: Vec<_> = candidates
            .into_iter()
            .filter(|agent| !opening.sent_to.contains(agent))
            .take(MAX_HOPS)
            .collect();
        let Some((&first, hops)) = rest.split_first() else {
            return;
        };
        actions.push(log(
            key,
            "placed again",
            format!("agent={first} unanswered={}", opening.sent_to.len()),
        ));
        actions.push(self.send_open(
            first,
            opening.service,
            hops.to_vec(),
            opening.packet.clone(),
        ));
        if let Some(Flow::Opening(opening)) = self.flows.get_mut(&key) {
            opening.sent_to.insert(first);
            opening.last_candidates = rest;
            opening.open_attempts += 1;
            opening.placed_at = now;
        }
        self.pending_opens.push_back((now, key));
    }
}
