//! Frames from agents.

use std::net::SocketAddrV4;

use bytes::Bytes;
use monsoon_model::Instant;

use super::{Balancer, Flow};
use crate::action::{log, send};
use crate::lookup::Verdict;
use crate::{Action, FlowKey, Frame, OwnerReply, Ownership, PacketInfo, Reason};

impl Balancer {
    /// Handles a frame of an agent. `info` are those of the packet behind it.
    pub fn handle_frame(
        &mut self,
        now: Instant,
        from: SocketAddrV4,
        frame: Frame,
        packet: Bytes,
        info: Option<PacketInfo>,
    ) -> Vec<Action> {
        let mut out = Vec::new();
        if let Some(target) = self.targets.get_mut(&from) {
            target.suspected_until = None;
        }
        match (frame, info) {
            (Frame::Offer { key, offer }, _) => self.taken(from, key, offer),
            (Frame::Refused { reason }, Some(info)) => {
                self.refused(now, &info, reason, &mut out);
            }
            (Frame::NotOwned, Some(info)) => self.not_owned(now, from, packet, &info, &mut out),
            (Frame::OwnerReplies(answers), _) => {
                for OwnerReply { key, ownership } in answers {
                    self.answered(now, from, key, ownership, &mut out);
                }
            }
            // The other frames are for agents.
            _ => {}
        }
        self.asks.send_due(now, &mut out);
        out
    }

    fn taken(&mut self, from: SocketAddrV4, key: FlowKey, offer: u32) {
        if let Some(Flow::Opening(opening)) = self.flows.get_mut(&key) {
            opening.offers.push((from, offer));
        }
    }

    /// No agent on the way took the packet. Others are asked, and without any it waits for a short
    /// while, because what balancers know of agents is older than what the agents know.
    fn refused(&mut self, now: Instant, info: &PacketInfo, reason: Reason, out: &mut Vec<Action>) {
        let Some(Flow::Opening(opening)) = self.flows.get(&info.key) else {
            return;
        };
        if !opening.offers.is_empty() || opening.info.sequence != info.sequence {
            return;
        }
        let mut opening = opening.clone();
        opening.refused.extend(opening.asked.drain(..));
        out.push(log(info.key, "refused", format!("reason=\"{reason}\"")));
        self.place(now, info.key, opening, out);
    }

    fn not_owned(
        &mut self,
        now: Instant,
        from: SocketAddrV4,
        packet: Bytes,
        info: &PacketInfo,
        out: &mut Vec<Action>,
    ) {
        match self.flows.get_mut(&info.key) {
            Some(Flow::Asking(lookup)) => lookup.keep(packet, info),
            Some(Flow::Held { agent, .. }) if *agent != from => {}
            _ => self.look_up(now, packet, info, Some(from), out),
        }
    }

    fn answered(
        &mut self,
        now: Instant,
        from: SocketAddrV4,
        key: FlowKey,
        ownership: Ownership,
        out: &mut Vec<Action>,
    ) {
        match self.flows.remove(&key) {
            Some(Flow::Asking(mut lookup)) => {
                let verdict = lookup.answer(from, ownership);
                self.settle(now, key, lookup, verdict, out);
            }
            Some(Flow::Trying(mut lookup)) => match lookup.answer(from, ownership) {
                Verdict::Held(agent) => {
                    // It has the first packet already.
                    let rest = lookup.packets().skip(1).cloned();
                    out.extend(rest.map(|packet| send(agent, Frame::Data, packet)));
                    self.flows.insert(key, Flow::Held { agent, used: now });
                }
                Verdict::Nobody => self.settle(now, key, lookup, Verdict::Nobody, out),
                Verdict::Open | Verdict::Unsure if lookup.pending().next().is_none() => {
                    self.try_next(now, key, lookup, out);
                }
                Verdict::Open | Verdict::Unsure => {
                    self.flows.insert(key, Flow::Trying(lookup));
                }
            },
            // The agent started again, and its target returned a packet of the flow. The caller's next
            // packet asks all agents.
            Some(Flow::Held { agent, .. }) if agent == from && ownership == Ownership::NotOwned => {
            }
            Some(flow) => {
                self.flows.insert(key, flow);
            }
            None => {}
        }
    }
}
