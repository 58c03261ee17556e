//! Frames from agents.

use std::net::SocketAddrV4;

use bytes::Bytes;
use monsoon_model::Instant;

use super::{Balancer, Flow};
use crate::{Action, Facts, FlowKey, Frame, Holds, Kind};

impl Balancer {
    /// Handles a frame of an agent. `facts` are those of the packet behind it.
    pub fn receive(
        &mut self,
        now: Instant,
        from: SocketAddrV4,
        frame: Frame,
        packet: Bytes,
        facts: Option<Facts>,
    ) -> Vec<Action> {
        let mut out = Vec::new();
        if let Some(target) = self.targets.get_mut(&from) {
            target.doubt = None;
        }
        match (frame, facts) {
            (Frame::Taken { key, offer }, _) => self.taken(from, key, offer),
            (Frame::Refused { reason, .. }, Some(facts)) => {
                self.refused(&facts, &reason.to_string(), &mut out);
            }
            (Frame::Missing, Some(facts)) => self.missing(now, from, packet, &facts, &mut out),
            (Frame::Answer { key, holds }, _) => self.answered(now, from, key, holds, &mut out),
            // The other frames are for agents.
            _ => {}
        }
        out
    }

    fn taken(&mut self, from: SocketAddrV4, key: FlowKey, offer: u32) {
        if let Some(Flow::Opening(opening)) = self.flows.get_mut(&key) {
            opening.offers.push((from, offer));
        }
    }

    fn refused(&mut self, facts: &Facts, reason: &str, out: &mut Vec<Action>) {
        let Some(Flow::Opening(opening)) = self.flows.get(&facts.key) else {
            return;
        };
        if !opening.offers.is_empty() || opening.facts.sequence != facts.sequence {
            return;
        }
        let copy = match facts.kind {
            Kind::Open { copy } => copy.max(opening.copy),
            _ => opening.copy,
        };
        self.reject(facts.key, copy, facts.expects, reason, out);
    }

    fn missing(
        &mut self,
        now: Instant,
        from: SocketAddrV4,
        packet: Bytes,
        facts: &Facts,
        out: &mut Vec<Action>,
    ) {
        match self.flows.get_mut(&facts.key) {
            Some(Flow::Asking(lookup)) => lookup.keep(packet),
            Some(Flow::Held { agent, .. }) if *agent != from => {}
            _ => self.look_up(now, packet, facts, Some(from), out),
        }
    }

    fn answered(
        &mut self,
        now: Instant,
        from: SocketAddrV4,
        key: FlowKey,
        holds: Holds,
        out: &mut Vec<Action>,
    ) {
        match self.flows.remove(&key) {
            Some(Flow::Asking(mut lookup)) => {
                let verdict = lookup.answer(from, holds);
                self.settle(now, key, lookup, verdict, out);
            }
            Some(Flow::Trying(mut lookup)) => match holds {
                Holds::Yes => {
                    self.flows.insert(
                        key,
                        Flow::Held {
                            agent: from,
                            used: now,
                        },
                    );
                }
                Holds::No | Holds::Unsure => {
                    let verdict = lookup.answer(from, holds);
                    if verdict == crate::lookup::Verdict::Nobody {
                        self.settle(now, key, lookup, verdict, out);
                    } else {
                        self.flows.insert(key, Flow::Trying(lookup));
                    }
                }
            },
            Some(flow) => {
                self.flows.insert(key, flow);
            }
            None => {}
        }
    }
}
