//! Packets of flows that are open.

use bytes::Bytes;
use monsoon_model::{Duration, Instant};

use super::{ASKED_FOR, Balancer, Flow, Opening, Presence};
use crate::action::{log, reset, send};
use crate::lookup::{Lookup, Verdict};
use crate::placing::likely;
use crate::{Action, FlowKey, Frame, PacketInfo, PacketKind};
use std::net::SocketAddrV4;

/// Largest distance of what a caller expects from the offer that it accepts in its first packets.
const OFFER_REACH: u32 = 65_536;

/// Time after which agents that could not tell are asked again: they may know by then.
const TRIED_FOR: Duration = Duration::from_millis(300);

impl Balancer {
    pub(super) fn data(
        &mut self,
        now: Instant,
        packet: Bytes,
        info: &PacketInfo,
        out: &mut Vec<Action>,
    ) {
        let key = info.key;
        if !self.has_route(key) {
            self.drop_flow(info, out);
            return;
        }
        match self.flows.get_mut(&key) {
            Some(Flow::Held { agent, used }) => {
                *used = now;
                let to = *agent;
                if self.has_ended(to) {
                    self.flows.remove(&key);
                    out.push(log(
                        key,
                        "reset",
                        format!("reason=\"target ended\" agent={to}"),
                    ));
                    out.push(reset(key, info.ack));
                } else {
                    out.push(forward(to, packet));
                }
            }
            Some(Flow::Opening(opening)) => match accepted(opening, info.ack) {
                Some(agent) => {
                    self.remember(key, Flow::Held { agent, used: now });
                    out.push(forward(agent, packet));
                }
                None => self.look_up(now, packet, info, None, out),
            },
            Some(Flow::Asking(lookup)) => lookup.keep(packet, info),
            // None of those tried has the flow, or some did not answer.
            Some(Flow::Trying(lookup)) if now.since(lookup.at) >= TRIED_FOR => {
                self.look_up(now, packet, info, None, out);
            }
            Some(Flow::Trying(lookup)) => {
                let agents = lookup.pending();
                out.extend(agents.map(|agent| forward(agent, packet.clone())));
                lookup.keep(packet, info);
            }
            None => self.look_up(now, packet, info, None, out),
        }
    }

    fn has_route(&self, key: FlowKey) -> bool {
        let catalogue = self.catalogue.as_ref();
        catalogue.is_none_or(|c| c.routes.contains_key(&key.address))
    }

    /// A configuration dropped the route, which ends its flows.
    fn drop_flow(&mut self, info: &PacketInfo, out: &mut Vec<Action>) {
        let key = info.key;
        self.flows.remove(&key);
        if self.config_checked && info.kind != PacketKind::Reset {
            out.push(log(
                key,
                "reset",
                format!("reason=\"route dropped\" config={}", self.versions.document),
            ));
            out.push(reset(key, info.ack));
        }
    }

    /// Whether an agent said that its target and so all its flows have ended.
    fn has_ended(&self, agent: SocketAddrV4) -> bool {
        let recent = self.recent.get(&agent);
        recent.is_some_and(|recent| recent.presence == Presence::Ended)
    }

    /// Looks for the agent of a flow, apart from one that has said that it does not hold it.
    pub(super) fn look_up(
        &mut self,
        now: Instant,
        packet: Bytes,
        info: &PacketInfo,
        denied: Option<SocketAddrV4>,
        out: &mut Vec<Action>,
    ) {
        let mut lookup = Lookup::new(now, info.ack);
        lookup.keep(packet, info);
        if let Some(agent) = denied {
            lookup.deny(agent);
        }
        self.ask(now, info.key, lookup, out);
    }

    /// Asks all agents that may hold the flow and have not denied it.
    pub(super) fn ask(
        &mut self,
        now: Instant,
        key: FlowKey,
        mut lookup: Lookup,
        out: &mut Vec<Action>,
    ) {
        let holders = self.holders(key.address);
        // Without any agent in sight, nothing is known about the flow.
        lookup.complete = self.is_list_complete(now) && !holders.is_empty();
        lookup.ask(now, &holders);
        if lookup.is_answered() {
            self.settle(now, key, lookup, Verdict::Nobody, out);
            return;
        }
        let agents = lookup.silent().count();
        out.push(log(key, "asked", format!("agents={agents}")));
        self.asks.add(lookup.silent(), lookup.question(key), out);
        self.remember(key, Flow::Asking(lookup));
        self.questions.push_back((now, key));
    }

    /// Acts on the answers to a question.
    pub(super) fn settle(
        &mut self,
        now: Instant,
        key: FlowKey,
        lookup: Lookup,
        verdict: Verdict,
        out: &mut Vec<Action>,
    ) {
        match verdict {
            Verdict::Held(agent) => {
                out.push(log(key, "found", format!("agent={agent}")));
                let packets = lookup.packets().cloned();
                out.extend(packets.map(|packet| forward(agent, packet)));
                self.remember(key, Flow::Held { agent, used: now });
            }
            Verdict::Unsure => self.try_next(now, key, lookup, out),
            Verdict::Nobody if !lookup.complete && self.hold(now, key, self.list_complete_at()) => {
                self.remember(key, Flow::Asking(lookup));
            }
            Verdict::Nobody => {
                self.flows.remove(&key);
                let certain = lookup.complete;
                out.push(log(
                    key,
                    if certain { "reset" } else { "dropped" },
                    "reason=\"nobody holds it\"",
                ));
                if certain {
                    out.push(reset(key, lookup.ack));
                }
            }
            Verdict::Open => self.remember(key, Flow::Asking(lookup)),
        }
    }

    /// Hands a packet of the flow to the next agents that cannot tell, most likely ones first. A
    /// target returns what is not its own, so each of them knows then.
    pub(super) fn try_next(
        &mut self,
        now: Instant,
        key: FlowKey,
        mut lookup: Lookup,
        out: &mut Vec<Action>,
    ) {
        let agents = lookup.unsure.iter().map(|&at| (at, self.targets.get(&at)));
        let ranked = likely(key.hash(), self.settings.data_centre, agents);
        let wave = lookup.next_wave(ranked);
        if !wave.is_empty() {
            out.push(log(key, "tried", format!("agents={}", wave.len())));
            self.questions.push_back((now, key));
        }
        if let Some(packet) = lookup.packets().next() {
            out.extend(wave.into_iter().map(|to| forward(to, packet.clone())));
        }
        lookup.at = now;
        self.remember(key, Flow::Trying(lookup));
    }

    /// Not all agents answered: those that could not tell are tried, and otherwise the silent ones
    /// are asked again, because questions and answers may be lost.
    pub(super) fn not_answered(
        &mut self,
        now: Instant,
        at: Instant,
        key: FlowKey,
        out: &mut Vec<Action>,
    ) {
        match self.flows.remove(&key) {
            Some(Flow::Asking(mut lookup)) if lookup.at == at => {
                let empty = |agent| {
                    let recent = self.recent.get(&agent);
                    recent.is_some_and(|recent| recent.held_nothing(now, lookup.since))
                };
                let verdict = lookup.give_up(empty);
                let unsure = (!lookup.unsure.is_empty()).then_some(Verdict::Unsure);
                if let Some(verdict) = verdict.or(unsure) {
                    self.settle(now, key, lookup, verdict, out);
                } else if now.since(lookup.since) < ASKED_FOR {
                    self.asks.add(lookup.silent(), lookup.question(key), out);
                    lookup.at = now;
                    self.remember(key, Flow::Asking(lookup));
                    self.questions.push_back((now, key));
                }
            }
            Some(Flow::Trying(lookup)) if lookup.at == at => self.try_next(now, key, lookup, out),
            Some(flow) => self.remember(key, flow),
            None => {}
        }
    }
}

/// Agent whose target's offer the caller accepted.
fn accepted(opening: &Opening, ack: u32) -> Option<SocketAddrV4> {
    let near = |&&(_, offer): &&(SocketAddrV4, u32)| ack.wrapping_sub(offer) <= OFFER_REACH;
    let found = opening.offers.iter().find(near);
    found.map(|&(agent, _)| agent)
}

fn forward(to: SocketAddrV4, packet: Bytes) -> Action {
    send(to, Frame::Data, packet)
}
