//! Placing of new flows.

use std::collections::BTreeSet;
use std::net::SocketAddrV4;

use bytes::Bytes;
use monsoon_model::Instant;

use super::{Balancer, Flow, Opening};
use crate::action::{log, reset, send};
use crate::placing::{MAX_HOPS, order};
use crate::{Action, FlowKey, Frame, Open, PacketInfo, ServiceTag};

impl Balancer {
    pub(super) fn open(
        &mut self,
        now: Instant,
        packet: Bytes,
        info: &PacketInfo,
        copy: u32,
        out: &mut Vec<Action>,
    ) {
        let key = info.key;
        if !self.config_checked {
            return;
        }
        let Some(service) = self.service(key) else {
            if self.catalogue.is_some() {
                out.push(log(
                    key,
                    "reset",
                    format!("reason=\"no route\" config={}", self.versions.document),
                ));
                out.push(reset(key, info.ack));
            }
            return;
        };
        let opening = match self.flows.get(&key) {
            Some(Flow::Opening(opening)) if opening.info.sequence == info.sequence => {
                let mut opening = opening.clone();
                opening.whole &= copy <= opening.copy + 1;
                opening.copy = opening.copy.max(copy);
                opening
            }
            // The target that holds the flow answers a copy again.
            Some(Flow::Held { agent, .. }) if copy > 0 => {
                out.push(self.send_open(*agent, service, Vec::new(), packet));
                return;
            }
            _ => Opening {
                service,
                packet,
                info: *info,
                tried: BTreeSet::new(),
                refused: BTreeSet::new(),
                asked: Vec::new(),
                since: now,
                offers: Vec::new(),
                copy,
                whole: copy == 0,
                at: now,
            },
        };
        if let Some(&(agent, _)) = opening.offers.first() {
            let packet = opening.packet.clone();
            out.push(self.send_open(agent, service, Vec::new(), packet));
            return;
        }
        self.place(now, key, opening, out);
    }

    pub(super) fn service(&self, key: FlowKey) -> Option<ServiceTag> {
        let route = self.catalogue.as_ref()?.routes.get(&key.address)?;
        route.service(key)
    }

    /// Agents to ask for a new flow, best first.
    fn candidates(&self, now: Instant, service: ServiceTag, key: FlowKey) -> Vec<SocketAddrV4> {
        let fits = |target: &super::TargetView| {
            target.accepts_flows
                && target.service == service.service_id()
                && !self.evacuations.contains(&target.data_centre)
        };
        let targets = self.targets.iter().filter(|(_, target)| fits(target));
        order(now, key.hash(), self.settings.data_centre, targets)
    }

    /// Offers a flow to the candidates, those that were asked before last.
    pub(super) fn place(
        &mut self,
        now: Instant,
        key: FlowKey,
        mut opening: Opening,
        out: &mut Vec<Action>,
    ) {
        let mut order = self.candidates(now, opening.service, key);
        order.retain(|agent| !opening.refused.contains(agent));
        order.sort_by_key(|agent| opening.tried.contains(agent));
        order.truncate(MAX_HOPS);
        let Some(first) = order.first().copied() else {
            opening.asked.clear();
            let end = self.wait_end(&opening);
            if self.hold(now, key, end) {
                // Those that refused may have opened again by then.
                opening.refused.clear();
                self.remember(key, Flow::Opening(opening));
            } else {
                self.reject(key, &opening, out);
            }
            return;
        };
        out.push(log(
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
        opening.asked.clone_from(&order);
        let hops = order.split_off(1);
        let packet = opening.packet.clone();
        out.push(self.send_open(first, opening.service, hops, packet));
        opening.tried.insert(first);
        opening.at = now;
        self.remember(key, Flow::Opening(opening));
        self.awaited.push_back((now, key));
    }

    fn send_open(
        &self,
        to: SocketAddrV4,
        service: ServiceTag,
        hops: Vec<SocketAddrV4>,
        packet: Bytes,
    ) -> Action {
        let frame = Frame::Open(Open {
            from: self.settings.frame_address,
            service,
            versions: self.versions,
            hops,
            fallback: None,
        });
        send(to, frame, packet)
    }

    /// Tells the caller that its flow cannot be placed, unless it may have opened through another
    /// balancer.
    fn reject(&mut self, key: FlowKey, opening: &Opening, out: &mut Vec<Action>) {
        self.flows.remove(&key);
        let decision = if opening.whole { "rejected" } else { "dropped" };
        let inputs = format!("reason=\"no target\" copy={}", opening.copy);
        out.push(log(key, decision, inputs));
        if opening.whole {
            out.push(reset(key, opening.info.ack));
        }
    }

    /// The first agent did not answer: it is doubted, and others are asked.
    pub(super) fn not_taken(
        &mut self,
        now: Instant,
        at: Instant,
        key: FlowKey,
        out: &mut Vec<Action>,
    ) {
        let Some(Flow::Opening(opening)) = self.flows.get(&key) else {
            return;
        };
        if opening.at != at || !opening.offers.is_empty() {
            return;
        }
        let opening = opening.clone();
        for &agent in &opening.tried {
            self.suspect(now, agent);
        }
        let candidates = self.candidates(now, opening.service, key);
        let rest: Vec<_> = candidates
            .into_iter()
            .filter(|agent| !opening.tried.contains(agent))
            .take(MAX_HOPS)
            .collect();
        let Some((&first, hops)) = rest.split_first() else {
            return;
        };
        out.push(log(
            key,
            "placed again",
            format!("agent={first} unanswered={}", opening.tried.len()),
        ));
        out.push(self.send_open(
            first,
            opening.service,
            hops.to_vec(),
            opening.packet.clone(),
        ));
        if let Some(Flow::Opening(opening)) = self.flows.get_mut(&key) {
            opening.tried.insert(first);
            opening.asked = rest;
            opening.at = now;
        }
        self.awaited.push_back((now, key));
    }
}
