//! Packets that the target sends.

use std::net::SocketAddrV4;

use bytes::Bytes;
use monsoon_model::Instant;

use super::Agent;
use super::flows::{Flow, OpenFlow};
use super::inbound::pass_on;
use crate::action::{log, reset, send};
use crate::{Action, FlowKey, Frame, OwnerReply, Ownership, PacketInfo, PacketKind, Reason};

impl Agent {
    /// Handles a packet of the target: an answer to a caller, or a caller's packet returned. The
    /// packet of a returned one is clean of the mark.
    pub fn handle_target_packet(
        &mut self,
        now: Instant,
        packet: Bytes,
        info: &PacketInfo,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        self.target_state.set_responsive();
        match info.kind {
            PacketKind::Open { .. } if info.is_returned => {
                self.returned_open(now, info.key, &mut actions)
            }
            _ if info.is_returned => self.returned_data(now, info, &mut actions),
            PacketKind::Offer => self.handle_offer(now, packet, info, &mut actions),
            PacketKind::Reset => self.handle_reset(now, packet, info, &mut actions),
            PacketKind::Open { .. } | PacketKind::Data => {
                self.handle_answer(now, packet, info, &mut actions)
            }
        }
        actions
    }

    fn returned_open(&mut self, now: Instant, key: FlowKey, actions: &mut Vec<Action>) {
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

    /// A flow that the target itself does not know is over for certain, when this agent saw it
    /// open there.
    fn returned_data(&mut self, now: Instant, info: &PacketInfo, actions: &mut Vec<Action>) {
        let key = info.key;
        match self.flows.get(key) {
            Some(Flow::Open(opened)) if opened.offer.is_some() && opened.matches(info.ack) => {
                actions.push(log(key, "reset", "reason=\"target returned it\""));
                actions.push(reset(key, info.ack));
                self.flows.set(key, Flow::Ended { at: now });
            }
            Some(Flow::Probed { from, .. }) => {
                actions.push(owner_reply(*from, key, Ownership::NotOwned));
                self.flows.remove(key);
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
                let taken = Frame::Offer { key, offer };
                actions.push(send(opening.open.balancer, taken, Bytes::new()));
            }
            self.flows.set(key, Flow::Opening(opening));
        } else if self.flows.get(key).is_none() {
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
                let was_waiting =
                    matches!(flow, Flow::Open(opened) if opened.waiting_since.is_some());
                self.flows.remove(key);
                if was_waiting {
                    self.record_failure(now, key, actions);
                }
                actions.push(log(key, "reset", "reason=\"target reset it\""));
                actions.push(Action::ToCaller { key, packet });
            }
            // The target also resets data of a flow that ended long ago, while the same ends may
            // have opened another flow elsewhere.
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
            // The target's former lifetime sent it; its flow was reset already.
            Some(Flow::Ended { .. }) => return,
            None => self.adopt(now, info, None),
        }
        let end = info.sequence.wrapping_add(u32::from(info.bytes));
        let mut requested_at = None;
        self.flows.update(key, |flow| {
            flow.last_used = now;
            flow.extend_sent(end);
            flow.target_closed |= info.closes;
            if info.bytes > 0 {
                requested_at = flow.waiting_since.take();
                flow.is_overdue = false;
            }
            if info.closes {
                flow.waiting_since = None;
            }
        });
        if let Some(at) = requested_at {
            let latency = now.since(at);
            self.health.answered(now, latency);
            actions.push(Action::Answered { key, latency });
        }
        actions.push(Action::ToCaller { key, packet });
    }

    /// The target ended a request without an answer.
    fn record_failure(&mut self, now: Instant, key: FlowKey, actions: &mut Vec<Action>) {
        self.health.failed(now);
        let percent = self.stats(now).failing_percent;
        actions.push(log(key, "failed", format!("failing_percent={percent}")));
    }

    /// Records a flow that this process did not see open.
    fn adopt(&mut self, now: Instant, info: &PacketInfo, offer: Option<u32>) {
        let opened = OpenFlow {
            caller_start: None,
            offer,
            offered_at: now,
            sent_end: info.sequence.wrapping_add(u32::from(info.bytes)),
            last_used: now,
            received_end: None,
            waiting_since: None,
            is_overdue: false,
            caller_closed: false,
            target_closed: false,
        };
        self.flows.set(info.key, Flow::Open(opened));
    }
}

/// Tells a balancer whether a flow was found here.
fn owner_reply(balancer: SocketAddrV4, key: FlowKey, ownership: Ownership) -> Action {
    let replies = vec![OwnerReply { key, ownership }];
    send(balancer, Frame::OwnerReplies(replies), Bytes::new())
}
