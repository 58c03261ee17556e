//! Data path of agents: the handoff decision, then a small model of the QUIC endpoint.

use std::net::SocketAddrV4;

use monsoon_model::{Duration, Instant};
use monsoon_routing::{Decision, Load, redirect};
use monsoon_wire::ConnectionId;

use super::flow::{Forwarded, Packet, Reply};
use super::process::{Held, Phase};
use super::{Due, Fleet, Policy};

/// Time without a packet after which an agent forgets a flow.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for which a balancer counts as alive after it forwarded a datagram.
const HEARD_TTL: Duration = Duration::from_secs(1);
/// Both parts of the first flight.
const COMPLETE: u8 = 0b11;

impl Fleet {
    /// A forwarded packet arrives at an address.
    pub(super) fn arrive(&mut self, to: SocketAddrV4, sent: &Forwarded) {
        let Some(index) = self.by_ip.get(to.ip()).copied() else {
            return;
        };
        self.check_out(index, sent);
        let process = &mut self.processes[index];
        if !process.is_running() || !process.started || process.want != Some(sent.service) {
            return;
        }
        if let (0, Some(balancer)) = (sent.hop, sent.via) {
            process.agent.heard.insert(balancer, self.now);
        }
        if self.setup.policy != Policy::Ours || sent.chain.is_empty() || self.is_own(index, sent) {
            return self.endpoint(index, sent);
        }
        self.decide(index, sent);
    }

    /// Whether the packet carries a connection ID that this agent issued.
    fn is_own(&self, index: usize, sent: &Forwarded) -> bool {
        let id = sent
            .cid
            .and_then(|cid| ConnectionId::open(&cid, &self.keys));
        id.is_some_and(|id| id.agent == self.processes[index].data())
    }

    fn decide(&mut self, index: usize, sent: &Forwarded) {
        let now = self.now;
        let process = &mut self.processes[index];
        let place = process.place;
        let load = Load {
            leaving: process.agent.phase != Phase::Serving,
            ..process.agent.load
        };
        let hop = usize::from(sent.hop);
        let handoff = &mut process.agent.handoff;
        let (chain, next) = match handoff.decide(now, sent.key, &sent.chain, hop, load) {
            Decision::Accept | Decision::Refuse => return self.endpoint(index, sent),
            Decision::Pass(next) => (sent.chain.clone(), next),
            Decision::Redirect(agent) => redirect(&sent.chain, hop, agent),
        };
        let Some(target) = chain.hop(next) else {
            return;
        };
        let onward = Forwarded {
            chain,
            hop: next as u8,
            ..sent.clone()
        };
        self.send_data(place, target.agent, &onward);
    }

    /// The packet reaches the QUIC endpoint.
    fn endpoint(&mut self, index: usize, sent: &Forwarded) {
        self.check_service(index, sent);
        let flow = sent.flow;
        let nonce = sent
            .cid
            .and_then(|cid| ConnectionId::open(&cid, &self.keys))
            .map(|id| id.nonce);
        let agent = &mut self.processes[index].agent;
        let held = agent.flows.get_mut(&flow);
        let is_known = |held: &&mut Held| {
            self.setup.policy != Policy::Ours || nonce.is_none_or(|nonce| nonce == held.nonce)
        };
        if let Some(held) = held.filter(is_known) {
            held.last = self.now;
            return self.known(index, sent);
        }
        match sent.packet {
            Packet::Hello(part) if sent.cid.is_none() => self.take(index, sent, part),
            Packet::Hello(_) | Packet::Finish => {}
            Packet::Data(_) | Packet::Close => self.reply(index, flow, Reply::Reset),
        }
    }

    /// A new flow arrives.
    fn take(&mut self, index: usize, sent: &Forwarded, part: u8) {
        let flow = sent.flow;
        let process = &mut self.processes[index];
        if process.agent.phase != Phase::Serving {
            return self.reply(index, flow, Reply::Refused);
        }
        let epoch = process.agent.nonce >> 16;
        process.agent.nonce =
            ConnectionId::nonce_of(epoch as u8, process.agent.nonce.wrapping_add(1));
        let held = Held {
            parts: 1 << part,
            nonce: process.agent.nonce,
            last: self.now,
        };
        process.agent.flows.insert(flow, held);
        self.check_taken(index, flow);
    }

    fn known(&mut self, index: usize, sent: &Forwarded) {
        let flow = sent.flow;
        let process = &mut self.processes[index];
        let Some(held) = process.agent.flows.get_mut(&flow) else {
            return;
        };
        match sent.packet {
            Packet::Hello(part) => {
                held.parts |= 1 << part;
                if held.parts == COMPLETE {
                    let id = ConnectionId {
                        agent: process.data(),
                        service: sent.service,
                        data_centre: monsoon_model::DataCentreId(process.place),
                        nonce: process.agent.flows[&flow].nonce,
                    };
                    let cid = id.seal(&self.keys);
                    self.reply(index, flow, Reply::Hello(cid));
                }
            }
            Packet::Finish if held.parts == COMPLETE => self.reply(index, flow, Reply::Done),
            Packet::Finish => {}
            Packet::Data(request) => self.request(index, flow, request),
            Packet::Close => {
                process.agent.flows.remove(&flow);
            }
        }
    }

    /// Runs a request in the first free slot of the target.
    fn request(&mut self, index: usize, flow: usize, request: u64) {
        let now = self.now;
        let agent = &mut self.processes[index].agent;
        if self.setup.work == Duration::ZERO {
            return self.reply(index, flow, Reply::Answer(request));
        }
        if let Some(ready) = agent.answers.get(&(flow, request)) {
            if *ready <= now {
                self.reply(index, flow, Reply::Answer(request));
            }
            return;
        }
        let Some(slot) = agent.slots.iter_mut().min() else {
            return;
        };
        *slot = (*slot).max(now) + self.setup.work;
        let ready: Instant = *slot;
        agent.answers.insert((flow, request), ready);
        let due = Due::Work {
            process: index,
            flow,
            request,
        };
        self.after(ready.since(now), due);
    }

    /// A request is complete.
    pub(super) fn worked(&mut self, index: usize, flow: usize, request: u64) {
        let process = &self.processes[index];
        if process.is_running() && process.agent.flows.contains_key(&flow) {
            self.reply(index, flow, Reply::Answer(request));
        }
    }

    /// Sends a reply through a balancer that forwarded lately, else through one of the membership.
    fn reply(&mut self, index: usize, flow: usize, reply: Reply) {
        let now = self.now;
        let process = &mut self.processes[index];
        let place = process.place;
        process
            .agent
            .heard
            .retain(|_, at| now.since(*at) < HEARD_TTL);
        let mut via: Vec<usize> = process.agent.heard.keys().copied().collect();
        if via.is_empty() {
            let members = process.agent.members.iter();
            via = members
                .filter_map(|data| self.by_ip.get(data.ip()).copied())
                .collect();
        }
        let pick = self.rng.below(via.len() as u64) as usize;
        let Some(at) = via.get(pick).copied() else {
            return;
        };
        let there = self.processes[at].place;
        for delay in self.links.between(&mut self.rng, place, there) {
            self.after(delay, Due::Return { at, flow, reply });
        }
    }

    /// Closes all flows of an agent whose data centre is out.
    pub(super) fn close_flows(&mut self, index: usize) {
        let flows = std::mem::take(&mut self.processes[index].agent.flows);
        self.processes[index].agent.answers.clear();
        for flow in flows.keys() {
            self.reply(index, *flow, Reply::Out);
        }
    }
}
