//! Packets that the target sends.

use std::net::SocketAddrV4;

use bytes::Bytes;
use monsoon_model::Instant;

use super::Agent;
use super::flows::{Flow, Opened};
use super::inbound::pass;
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
        let mut out = Vec::new();
        self.target_state.set_responsive();
        match info.kind {
            PacketKind::Open { .. } if info.is_returned => {
                self.returned_open(now, info.key, &mut out);
            }
            _ if info.is_returned => self.returned_data(now, info, &mut out),
            PacketKind::Offer => self.offered(now, packet, info, &mut out),
            PacketKind::Reset => self.target_reset(now, packet, info, &mut out),
            PacketKind::Open { .. } | PacketKind::Data => {
                self.answered(now, packet, info, &mut out);
            }
        }
        out
    }

    fn returned_open(&mut self, now: Instant, key: FlowKey, out: &mut Vec<Action>) {
        let Some(Flow::Offered(offered)) = self.flows.get(key) else {
            return;
        };
        if offered.offer.is_some() {
            return;
        }
        let (open, packet) = (offered.open.clone(), offered.packet.clone());
        self.flows.remove(key);
        self.target_state.set_full(now);
        pass(key, open, packet, Reason::Returned, out);
    }

    /// A flow that the target itself does not know is over for certain, when this agent saw it
    /// open there.
    fn returned_data(&mut self, now: Instant, info: &PacketInfo, out: &mut Vec<Action>) {
        let key = info.key;
        match self.flows.get(key) {
            Some(Flow::Open(opened)) if opened.offer.is_some() && opened.matches(info.ack) => {
                out.push(log(key, "reset", "reason=\"target returned it\""));
                out.push(reset(key, info.ack));
                self.flows.set(key, Flow::Ended { at: now });
            }
            Some(Flow::Tried { from, .. }) => {
                out.push(tell(*from, key, Ownership::NotOwned));
                self.flows.remove(key);
            }
            _ => {}
        }
    }

    fn offered(&mut self, now: Instant, packet: Bytes, info: &PacketInfo, out: &mut Vec<Action>) {
        let (key, offer) = (info.key, info.sequence);
        if let Some(Flow::Offered(offered)) = self.flows.get(key) {
            let mut offered = offered.clone();
            let known = offered.offer == Some(offer);
            offered.offer = Some(offer);
            if !known {
                let taken = Frame::Offer { key, offer };
                out.push(send(offered.open.from, taken, Bytes::new()));
            }
            self.flows.set(key, Flow::Offered(offered));
        } else if self.flows.get(key).is_none() {
            self.adopt(now, info, Some(offer));
        }
        out.push(Action::ToCaller { key, packet });
    }

    fn target_reset(
        &mut self,
        now: Instant,
        packet: Bytes,
        info: &PacketInfo,
        out: &mut Vec<Action>,
    ) {
        let key = info.key;
        match self.flows.get(key) {
            Some(flow @ (Flow::Open(_) | Flow::Offered(_))) => {
                let waited = matches!(flow, Flow::Open(opened) if opened.waits.is_some());
                self.flows.remove(key);
                if waited {
                    self.fail(now, key, out);
                }
                out.push(log(key, "reset", "reason=\"target reset it\""));
                out.push(Action::ToCaller { key, packet });
            }
            // The target also resets data of a flow that ended long ago, while the same ends may
            // have opened another flow elsewhere.
            _ => out.push(log(key, "dropped", "reason=\"reset of an unknown flow\"")),
        }
    }

    fn answered(&mut self, now: Instant, packet: Bytes, info: &PacketInfo, out: &mut Vec<Action>) {
        let key = info.key;
        match self.flows.get(key) {
            Some(Flow::Open(_) | Flow::Offered(_)) => {}
            Some(Flow::Tried { from, .. }) => {
                out.push(tell(*from, key, Ownership::Owned));
                self.adopt(now, info, None);
            }
            // The target's former lifetime sent it; its flow was reset already.
            Some(Flow::Ended { .. }) => return,
            None => self.adopt(now, info, None),
        }
        let end = info.sequence.wrapping_add(u32::from(info.bytes));
        let mut asked = None;
        self.flows.update(key, |flow| {
            flow.used = now;
            flow.sent_to(end);
            flow.target_closed |= info.closes;
            if info.bytes > 0 {
                asked = flow.waits.take();
                flow.overdue = false;
            }
            if info.closes {
                flow.waits = None;
            }
        });
        if let Some(at) = asked {
            let latency = now.since(at);
            self.health.answered(now, latency);
            out.push(Action::Answered { key, latency });
        }
        out.push(Action::ToCaller { key, packet });
    }

    /// The target ended a request without an answer.
    fn fail(&mut self, now: Instant, key: FlowKey, out: &mut Vec<Action>) {
        self.health.failed(now);
        let percent = self.stats(now).failing_percent;
        out.push(log(key, "failed", format!("failing_percent={percent}")));
    }

    /// Records a flow that this process did not see open.
    fn adopt(&mut self, now: Instant, info: &PacketInfo, offer: Option<u32>) {
        let opened = Opened {
            sequence: None,
            offer,
            since: now,
            sent: info.sequence.wrapping_add(u32::from(info.bytes)),
            used: now,
            received: None,
            waits: None,
            overdue: false,
            caller_closed: false,
            target_closed: false,
        };
        self.flows.set(info.key, Flow::Open(opened));
    }
}

/// Tells a balancer whether a flow was found here.
fn tell(balancer: SocketAddrV4, key: FlowKey, ownership: Ownership) -> Action {
    let answers = vec![OwnerReply { key, ownership }];
    send(balancer, Frame::OwnerReplies(answers), Bytes::new())
}
