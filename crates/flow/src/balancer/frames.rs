//! Handling of frames from agents.

use std::net::SocketAddrV4;

use bytes::Bytes;
use monsoon_model::Instant;

use super::{Balancer, Flow};
use crate::action::{log, send};
use crate::lookup::Outcome;
use crate::packet::retransmissions_by;
use crate::{Action, FlowKey, Frame, OwnerReply, Ownership, PacketInfo, Reason};

/// Attempts to place a flow that may end at overloaded targets. The targets of a service are about
/// equally loaded under overload, so that further ones cost more than they find.
pub(super) const MAX_OVERLOADS: u32 = 2;

impl Balancer {
    /// Handles a frame of an agent. `info` describes the packet that follows the frame.
    pub fn handle_frame(
        &mut self,
        now: Instant,
        from: SocketAddrV4,
        frame: Frame,
        packet: Bytes,
        info: Option<PacketInfo>,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        if let Some(target) = self.targets.get_mut(&from) {
            target.suspected_until = None;
        }
        match (frame, info) {
            (Frame::Offer { key, offer }, _) => self.record_offer(from, key, offer),
            (Frame::Queued { key }, _) => self.record_queued(from, key),
            (Frame::Refused { reason }, Some(info)) => {
                self.handle_refusal(now, from, &info, reason, &mut actions);
            }
            (Frame::NotOwned, Some(info)) => self.not_owned(now, from, packet, &info, &mut actions),
            (Frame::OwnerReplies(replies), _) => {
                for OwnerReply { key, ownership } in replies {
                    self.handle_reply(now, from, key, ownership, &mut actions);
                }
            }
            // The other frames are for agents.
            _ => {}
        }
        self.batches.send_due(now, &mut actions);
        actions
    }

    fn record_offer(&mut self, from: SocketAddrV4, key: FlowKey, offer: u32) {
        if let Some(Flow::Opening(opening)) = self.flows.get_mut(&key) {
            opening.offers.push((from, offer));
        }
    }

    fn record_queued(&mut self, from: SocketAddrV4, key: FlowKey) {
        if let Some(Flow::Opening(opening)) = self.flows.get_mut(&key) {
            opening.queued_at = Some(from);
        }
    }

    /// Handles a refusal by all candidates of an attempt. Other candidates are asked; without any,
    /// the flow waits for a short time, because a balancer knows the state of agents later than the
    /// agents themselves.
    fn handle_refusal(
        &mut self,
        now: Instant,
        from: SocketAddrV4,
        info: &PacketInfo,
        reason: Reason,
        actions: &mut Vec<Action>,
    ) {
        let Some(Flow::Opening(opening)) = self.flows.get_mut(&info.key) else {
            return;
        };
        if !opening.offers.is_empty() || opening.info.sequence != info.sequence {
            return;
        }
        opening.open_attempts = opening.open_attempts.saturating_sub(1);
        if opening.queued_at.is_some_and(|agent| agent != from) {
            // Another attempt was refused; the agent that has the packet decides.
            opening.refused_by.insert(from);
            return;
        }
        let mut opening = opening.clone();
        opening.refused_by.extend(opening.last_candidates.drain(..));
        opening.queued_at = None;
        actions.push(log(info.key, "refused", format!("reason=\"{reason}\"")));
        opening.overloads += u32::from(reason == Reason::Overloaded);
        // Every agent sheds the same accounts.
        if reason == Reason::Shed {
            opening.overloads = MAX_OVERLOADS;
        }
        if opening.overloads >= MAX_OVERLOADS {
            if opening.open_attempts == 0 {
                // A missing retransmission may have opened the flow through another balancer.
                let age = now.since(opening.received_at);
                opening.saw_all &= opening.copy >= retransmissions_by(age);
                self.reject(info.key, &opening, "overloaded", actions);
            } else {
                // The flow may still open through another attempt, whose end decides.
                self.insert_flow(info.key, Flow::Opening(opening));
            }
            return;
        }
        self.place(now, info.key, opening, actions);
    }

    fn not_owned(
        &mut self,
        now: Instant,
        from: SocketAddrV4,
        packet: Bytes,
        info: &PacketInfo,
        actions: &mut Vec<Action>,
    ) {
        match self.flows.get_mut(&info.key) {
            Some(Flow::LookingUp(lookup)) => lookup.queue_packet(packet, info),
            Some(Flow::Owned { agent, .. }) if *agent != from => {}
            _ => self.look_up(now, packet, info, Some(from), actions),
        }
    }

    fn handle_reply(
        &mut self,
        now: Instant,
        from: SocketAddrV4,
        key: FlowKey,
        ownership: Ownership,
        actions: &mut Vec<Action>,
    ) {
        match self.flows.remove(&key) {
            Some(Flow::LookingUp(mut lookup)) => {
                let outcome = lookup.receive_reply(from, ownership);
                self.apply_outcome(now, key, lookup, outcome, actions);
            }
            Some(Flow::Probing(mut lookup)) => match lookup.receive_reply(from, ownership) {
                Outcome::Found(agent) => {
                    // The owner has received the first packet as a probe.
                    let rest = lookup.packets().skip(1).cloned();
                    actions.extend(rest.map(|packet| send(agent, Frame::Data, packet)));
                    self.flows.insert(
                        key,
                        Flow::Owned {
                            agent,
                            last_used: now,
                        },
                    );
                }
                Outcome::NoOwner => self.apply_outcome(now, key, lookup, Outcome::NoOwner, actions),
                Outcome::Pending | Outcome::Unknown if lookup.pending_probes().next().is_none() => {
                    self.probe_next(now, key, lookup, actions);
                }
                Outcome::Pending | Outcome::Unknown => {
                    self.flows.insert(key, Flow::Probing(lookup));
                }
            },
            // The owner restarted, and its target returned a packet of the flow. The caller's next
            // packet starts a lookup.
            Some(Flow::Owned { agent, .. })
                if agent == from && ownership == Ownership::NotOwned => {}
            Some(flow) => {
                self.flows.insert(key, flow);
            }
            None => {}
        }
    }
}
