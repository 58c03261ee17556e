//! Handling of packets that the target sends: offers, answers, resets and returned packets.

use std::net::SocketAddrV4;

use bytes::Bytes;
use monsoon_model::Instant;

use super::Agent;
use super::admission::Admission;
use super::flows::{Flow, OpenFlow};
use super::inbound::pass_on;
use crate::action::{log, reset, send};
use crate::{Action, FlowKey, Frame, OwnerReply, Ownership, PacketInfo, PacketKind, Reason};

impl Agent {
    /// Handles a packet of the target: one for a caller, or a caller's packet that the target
    /// returned. The mark of a returned packet has been removed before.
    pub fn handle_target_packet(
        &mut self,
        now: Instant,
        packet: Bytes,
        info: &PacketInfo,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        self.target_state.set_responsive();
        match info.kind {
            PacketKind::Open { .. } if info.is_returned => self.resend(now, info.key, &mut actions),
            _ if info.is_returned => self.returned_data(now, info, &mut actions),
            PacketKind::Offer => self.handle_offer(now, packet, info, &mut actions),
            PacketKind::Reset => self.handle_reset(now, packet, info, &mut actions),
            PacketKind::Open { .. } | PacketKind::Data => {
                self.handle_answer(now, packet, info, &mut actions);
            }
        }
        self.start_waiting(now, &mut actions);
        actions
    }

    /// Handles an opening packet that the target returned: it goes to the next candidate.
    fn resend(&mut self, now: Instant, key: FlowKey, actions: &mut Vec<Action>) {
        let Some(Flow::Opening(opening)) = self.flows.get(key) else {
            return;
        };
        if opening.offer.is_some() {
            return;
        }
        let (open, packet) = (opening.open.clone(), opening.packet.clone());
        self.flows.remove(key);
        self.target_state.set_full(now);
        pass_on(key, open, packet, Reason::Returned, actions);
    }

    /// Handles a later packet that the target returned because it does not know the flow. If this
    /// agent saw the flow open there, the flow has certainly ended.
    fn returned_data(&mut self, now: Instant, info: &PacketInfo, actions: &mut Vec<Action>) {
        let key = info.key;
        match self.flows.get(key) {
            Some(Flow::Open(open_flow))
                if open_flow.offer.is_some() && open_flow.matches(info.ack) =>
            {
                actions.push(log(key, "reset", "reason=\"target returned it\""));
                actions.push(reset(key, info.ack));
                let last = *open_flow;
                self.flows.set(key, Flow::Ended { at: now, last });
            }
            Some(Flow::Probed { from, .. }) => {
                actions.push(owner_reply(*from, key, Ownership::NotOwned));
                self.flows.set(key, Flow::Returned { at: now });
            }
            // The flow was found at the target, which has been replaced since. The caller's next
            // packet starts a lookup.
            Some(Flow::Open(open_flow)) if open_flow.offer.is_none() => {
                self.flows.set(key, Flow::Returned { at: now });
            }
            _ => {}
        }
    }

    fn handle_offer(
        &mut self,
        now: Instant,
        packet: Bytes,
        info: &PacketInfo,
        actions: &mut Vec<Action>,
    ) {
        let (key, offer) = (info.key, info.sequence);
        if let Some(Flow::Opening(opening)) = self.flows.get(key) {
            let mut opening = opening.clone();
            let known = opening.offer == Some(offer);
            opening.offer = Some(offer);
            if !known {
                if self.demand_of(key).is_some() {
                    self.await_request(now, key, opening.delivered_at);
                }
                let taken = Frame::Offer { key, offer };
                actions.push(send(opening.open.balancer, taken, Bytes::new()));
            }
            self.flows.set(key, Flow::Opening(opening));
        } else if matches!(self.flows.get(key), Some(Flow::Returned { .. }) | None) {
            self.adopt(now, info, Some(offer));
        }
        actions.push(Action::ToCaller { key, packet });
    }

    fn handle_reset(
        &mut self,
        now: Instant,
        packet: Bytes,
        info: &PacketInfo,
        actions: &mut Vec<Action>,
    ) {
        let key = info.key;
        match self.flows.get(key) {
            Some(flow @ (Flow::Open(_) | Flow::Opening(_))) => {
                let waiting_since = match flow {
                    Flow::Open(open_flow) => open_flow.waiting_since,
                    _ => None,
                };
                self.flows.remove(key);
                if let Some(at) = waiting_since {
                    self.admission.pace.failed(now, at);
                    self.record_failure(now, key, actions);
                }
                actions.push(log(key, "reset", "reason=\"target reset it\""));
                actions.push(Action::ToCaller { key, packet });
            }
            // The target also resets data of a flow that ended long ago, while the same addresses
            // may have opened another flow at another target.
            _ => actions.push(log(key, "dropped", "reason=\"reset of an unknown flow\"")),
        }
    }

    fn handle_answer(
        &mut self,
        now: Instant,
        packet: Bytes,
        info: &PacketInfo,
        actions: &mut Vec<Action>,
    ) {
        let key = info.key;
        match self.flows.get(key) {
            Some(Flow::Open(_) | Flow::Opening(_)) => {}
            Some(Flow::Probed { from, .. }) => {
                actions.push(owner_reply(*from, key, Ownership::Owned));
                self.adopt(now, info, None);
            }
            // The former lifetime of the target sent it; the flow was reset already.
            Some(Flow::Ended { .. }) => return,
            Some(Flow::Returned { .. }) | None => self.adopt(now, info, None),
        }
        let end = info.sequence.wrapping_add(u32::from(info.bytes));
        let mut answered = None;
        self.flows.update(key, |flow| {
            flow.last_used = now;
            flow.extend_sent(end);
            flow.target_closed |= info.closes;
            if info.bytes > 0 {
                let place_since = flow.place_since.take();
                let request = flow.waiting_since.take();
                answered = request.map(|at| (at, place_since.unwrap_or(at), flow.running));
                flow.is_overdue = false;
            }
            if info.closes {
                flow.waiting_since = None;
            }
        });
        if let Some((at, place_since, running)) = answered {
            let latency = now.since(at);
            let slots = self.slots();
            let Admission { places, speed, .. } = &mut self.admission;
            places.record_answer(latency, running, slots);
            speed.record_answer(places.service_time());
            self.admission.pace.answered(now, place_since, latency);
            self.health.answered(now, latency);
            actions.push(Action::Answered { key, latency });
        }
        actions.push(Action::ToCaller { key, packet });
    }

    /// Records that the target ended a request without an answer.
    fn record_failure(&mut self, now: Instant, key: FlowKey, actions: &mut Vec<Action>) {
        self.health.failed(now);
        let percent = self.stats(now).failing_percent;
        actions.push(log(key, "failed", format!("failing_percent={percent}")));
    }

    /// Adds a flow that opened at the target without this process.
    fn adopt(&mut self, now: Instant, info: &PacketInfo, offer: Option<u32>) {
        let open_flow = OpenFlow {
            // An offer acknowledges the opening packet.
            caller_start: offer.map(|_| info.ack.wrapping_sub(1)),
            offer,
            offered_at: now,
            sent_end: info.sequence.wrapping_add(u32::from(info.bytes)),
            last_used: now,
            received_end: None,
            waiting_since: None,
            place_since: None,
            running: 0,
            is_overdue: false,
            caller_closed: false,
            target_closed: false,
        };
        self.flows.set(info.key, Flow::Open(open_flow));
    }
}

/// Action that tells a balancer whether this agent owns a flow.
fn owner_reply(balancer: SocketAddrV4, key: FlowKey, ownership: Ownership) -> Action {
    let replies = vec![OwnerReply { key, ownership }];
    send(balancer, Frame::OwnerReplies(replies), Bytes::new())
}
