//! Frames from balancers and other agents.

use std::net::SocketAddrV4;

use bytes::Bytes;
use monsoon_model::{Duration, Instant};

use super::Agent;
use super::flows::{Flow, Offered};
use crate::Fallback;
use crate::action::{log, reset, send};
use crate::{Action, FlowKey, Frame, Open, OwnerReply, Ownership, PacketInfo, PacketKind, Reason};

/// Difference of load, in percent points, for which a flow goes back to a busy agent that it has
/// passed.
const FALLBACK_STEP: u16 = 25;

impl Agent {
    /// Handles a frame of another process. `info` are those of the packet behind it.
    pub fn handle_frame(
        &mut self,
        now: Instant,
        from: SocketAddrV4,
        frame: Frame,
        packet: Bytes,
        info: Option<PacketInfo>,
    ) -> Vec<Action> {
        let mut out = Vec::new();
        match (frame, info) {
            (Frame::Open(open), Some(info)) => self.open(now, open, packet, info, &mut out),
            (Frame::Data, Some(info)) => self.data(now, from, packet, info, &mut out),
            (Frame::OwnerQueries(questions), _) => {
                let answers = questions.iter().map(|question| OwnerReply {
                    key: question.key,
                    ownership: self.ownership(question.key, question.ack, &mut out),
                });
                let answers = Frame::OwnerReplies(answers.collect());
                out.push(send(from, answers, Bytes::new()));
            }
            // Answers and refusals are for balancers.
            _ => {}
        }
        out
    }

    fn open(
        &mut self,
        now: Instant,
        open: Open,
        packet: Bytes,
        info: PacketInfo,
        out: &mut Vec<Action>,
    ) {
        let key = info.key;
        if self.is_copy(&info) {
            out.push(Action::ToTarget(packet));
            return;
        }
        match self.judge(now, &open, key) {
            Ok(()) => {
                let inputs = format!(
                    "service={} config={} places={} beat_age_ms={} in_flight={}",
                    open.service,
                    open.versions.document,
                    open.versions.evacuations,
                    self.target_state
                        .heartbeat_age(now)
                        .map_or(0, Duration::as_millis),
                    self.flows.in_flight(),
                );
                out.push(log(key, "taken", inputs));
                out.push(Action::ToTarget(packet.clone()));
                let offered = Offered {
                    open,
                    packet,
                    sequence: info.sequence,
                    offer: None,
                    at: now,
                    pending: true,
                };
                self.flows.set(key, Flow::Offered(offered));
                self.await_answer(now, key);
            }
            Err(Reason::Busy) => self.pass_busy(key, open, packet, out),
            Err(Reason::Failing) => {
                let mut open = open;
                if open.hops.is_empty() {
                    open.hops
                        .extend(open.fallback.take().map(|fallback| fallback.agent));
                }
                pass(key, open, packet, Reason::Failing, out);
            }
            Err(reason) => pass(key, open, packet, reason, out),
        }
    }

    /// Passes a flow on for want of room, with the note that this target would take it.
    fn pass_busy(&self, key: FlowKey, mut open: Open, packet: Bytes, out: &mut Vec<Action>) {
        let (agent, load) = (self.settings.frame_address, self.load());
        match open.fallback {
            Some(fallback) if fallback.load <= load => {}
            _ => open.fallback = Some(Fallback { agent, load }),
        }
        if open.hops.is_empty()
            && let Some(fallback) = open.fallback.take()
            && fallback.agent != agent
        {
            open.hops.push(fallback.agent);
        }
        pass(key, open, packet, Reason::Busy, out);
    }

    /// Whether the target has this opening packet already.
    fn is_copy(&self, info: &PacketInfo) -> bool {
        match self.flows.get(info.key) {
            Some(Flow::Offered(offered)) => offered.sequence == info.sequence,
            Some(Flow::Open(opened)) => opened.sequence == Some(info.sequence),
            _ => false,
        }
    }

    /// Whether the target may get the flow.
    fn judge(&mut self, now: Instant, open: &Open, key: FlowKey) -> Result<(), Reason> {
        self.floor.document = self.floor.document.max(open.versions.document);
        self.floor.evacuations = self.floor.evacuations.max(open.versions.evacuations);
        if let Some(reason) = self.refusal_reason(now) {
            return Err(reason);
        }
        if open.service != self.service() {
            return Err(Reason::OtherService);
        }
        let catalogue = self.catalogue.as_ref().ok_or(Reason::ConfigUnchecked)?;
        let behind = open.versions.document > catalogue.version;
        let route = catalogue.routes.get(&key.address);
        if !behind && !route.is_some_and(|route| route.leads_to(open.service)) {
            return Err(Reason::NoRoute);
        }
        // Behind a newer balancer, the route cannot be checked here and an older balancer must not
        // be believed either.
        let newest = self.floor.document;
        if newest > catalogue.version && newest > open.versions.document {
            return Err(Reason::OlderConfig);
        }
        let cold_rate = catalogue
            .services
            .get(&open.service)
            .and_then(|service| service.cold_rate);
        let load = self.load();
        let last = open.hops.is_empty();
        let fallback = open
            .fallback
            .filter(|fallback| fallback.load.saturating_add(FALLBACK_STEP) <= load);
        if !self.flows.has_room() || (load >= 100 && (!last || fallback.is_some())) {
            return Err(Reason::Busy);
        }
        // The last candidate takes the flow all the same, because nobody else would.
        let others = !last
            || open
                .fallback
                .is_some_and(|fallback| fallback.agent != self.settings.frame_address);
        if others && self.health.avoids(now) {
            return Err(Reason::Failing);
        }
        self.target_state.admit(now, cold_rate)
    }

    fn data(
        &mut self,
        now: Instant,
        from: SocketAddrV4,
        packet: Bytes,
        info: PacketInfo,
        out: &mut Vec<Action>,
    ) {
        let key = info.key;
        match self.flows.get(key) {
            Some(Flow::Offered(offered)) => {
                let opened = offered.opened(now);
                if offered.offer.is_none() || !opened.matches(info.ack) {
                    out.push(send(from, Frame::NotOwned, packet));
                    return;
                }
                self.flows.set(key, Flow::Open(opened));
                self.deliver(now, &info, packet, out);
            }
            Some(Flow::Open(opened)) if opened.matches(info.ack) => {
                self.deliver(now, &info, packet, out);
            }
            Some(Flow::Tried { .. }) => out.push(Action::ToTarget(packet)),
            Some(Flow::Ended { .. }) => {
                out.push(log(key, "reset", "reason=\"target ended\""));
                out.push(reset(key, info.ack));
            }
            None if self.is_unsure() => {
                out.push(log(key, "tried", format!("balancer={from}")));
                self.flows.set(key, Flow::Tried { from, at: now });
                out.push(Action::ToTarget(packet));
            }
            Some(Flow::Open(_)) | None => out.push(send(from, Frame::NotOwned, packet)),
        }
    }

    fn deliver(&mut self, now: Instant, info: &PacketInfo, packet: Bytes, out: &mut Vec<Action>) {
        self.flows.update(info.key, |flow| {
            flow.used = now;
            flow.caller_closed |= info.closes;
            let end = info.sequence.wrapping_add(u32::from(info.bytes));
            let new = info.bytes > 0 && flow.received_to(end);
            if new && !flow.target_closed && flow.waits.is_none() {
                flow.waits = Some(now);
            }
        });
        if info.kind == PacketKind::Reset {
            self.flows.remove(info.key);
        }
        out.push(Action::ToTarget(packet));
    }

    /// Whether the flow is open here. A flow that has ended here for certain is reset.
    fn ownership(&self, key: FlowKey, ack: u32, out: &mut Vec<Action>) -> Ownership {
        match self.flows.get(key) {
            Some(Flow::Open(opened)) if opened.matches(ack) => Ownership::Owned,
            Some(Flow::Offered(offered)) => match offered.offer {
                Some(offer) if ack.wrapping_sub(offer) <= 2 => Ownership::Owned,
                _ => Ownership::NotOwned,
            },
            Some(Flow::Tried { .. }) => Ownership::Unknown,
            Some(Flow::Ended { .. }) => {
                out.push(log(key, "reset", "reason=\"target ended\""));
                out.push(reset(key, ack));
                Ownership::NotOwned
            }
            None if self.is_unsure() => Ownership::Unknown,
            Some(Flow::Open(_)) | None => Ownership::NotOwned,
        }
    }
}

/// Sends an opening packet to the next candidate, or back to its balancer.
pub(super) fn pass(
    key: FlowKey,
    mut open: Open,
    packet: Bytes,
    reason: Reason,
    out: &mut Vec<Action>,
) {
    if open.hops.is_empty() {
        out.push(log(key, "refused", format!("reason=\"{reason}\"")));
        out.push(send(open.from, Frame::Refused { reason }, packet));
        return;
    }
    let next = open.hops.remove(0);
    out.push(log(key, "passed", format!("reason=\"{reason}\" to={next}")));
    out.push(send(next, Frame::Open(open), packet));
}
