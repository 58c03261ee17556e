//! Data path of agents: the handoff decision of the product, then a simple model of the QUIC
//! endpoint and of the target.

use std::net::SocketAddrV4;

use monsoon_model::{Duration, Instant};
use monsoon_routing::{Decision, Load, redirect};
use monsoon_wire::ConnectionId;

use super::flow::{Forwarded, Packet, Reply};
use super::process::{FlowState, Phase};
use super::{Fleet, FleetEvent, Policy};

/// Time without a packet after which a leaving agent forgets a flow.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time after a forwarded packet for which its balancer counts as alive.
const BALANCER_TTL: Duration = Duration::from_secs(1);
/// Bits of both parts of the first flight.
const ALL_PARTS: u8 = 0b11;

impl Fleet {
    /// Handles a forwarded packet that arrives at an address.
    pub(super) fn receive_forwarded(&mut self, to: SocketAddrV4, forwarded: &Forwarded) {
        let Some(index) = self.by_ip.get(to.ip()).copied() else {
            return;
        };
        self.check_evacuation(index, forwarded);
        let process = &mut self.processes[index];
        if !process.is_running()
            || !process.is_started
            || process.service != Some(forwarded.service)
        {
            return;
        }
        if let (0, Some(balancer)) = (forwarded.hop, forwarded.balancer) {
            process.agent.active_balancers.insert(balancer, self.now);
        }
        if self.setup.policy != Policy::Ours
            || forwarded.chain.is_empty()
            || self.is_own(index, forwarded)
        {
            return self.deliver(index, forwarded);
        }
        self.decide_handoff(index, forwarded);
    }

    /// Whether the packet carries a connection ID that this agent issued.
    fn is_own(&self, index: usize, forwarded: &Forwarded) -> bool {
        let id = forwarded
            .cid
            .and_then(|cid| ConnectionId::open(&cid, &self.keys));
        id.is_some_and(|id| id.agent == self.processes[index].data_address())
    }

    /// Lets the handoff decide whether the agent takes the packet or passes it to another agent.
    fn decide_handoff(&mut self, index: usize, forwarded: &Forwarded) {
        let now = self.now;
        let process = &mut self.processes[index];
        let data_centre = process.data_centre;
        let load = Load {
            leaving: process.agent.phase != Phase::Serving,
            ..process.agent.load
        };
        let hop = usize::from(forwarded.hop);
        let handoff = &mut process.agent.handoff;
        let (chain, next) = match handoff.decide(now, forwarded.key, &forwarded.chain, hop, load) {
            Decision::Accept | Decision::Refuse => return self.deliver(index, forwarded),
            Decision::Pass(next) => (forwarded.chain.clone(), next),
            Decision::Redirect(agent) => redirect(&forwarded.chain, hop, agent),
        };
        let Some(target) = chain.hop(next) else {
            return;
        };
        let passed = Forwarded {
            chain,
            hop: next as u8,
            ..forwarded.clone()
        };
        self.send_data(data_centre, target.agent, &passed);
    }

    /// Passes a packet to the QUIC endpoint.
    fn deliver(&mut self, index: usize, forwarded: &Forwarded) {
        self.check_service(index, forwarded);
        let flow = forwarded.flow;
        let nonce = forwarded
            .cid
            .and_then(|cid| ConnectionId::open(&cid, &self.keys))
            .map(|id| id.nonce);
        let agent = &mut self.processes[index].agent;
        let state = agent.flows.get_mut(&flow);
        let is_known = |state: &&mut FlowState| {
            self.setup.policy != Policy::Ours || nonce.is_none_or(|nonce| nonce == state.nonce)
        };
        if let Some(state) = state.filter(is_known) {
            state.last_packet = self.now;
            return self.handle_known(index, forwarded);
        }
        match forwarded.packet {
            Packet::Hello(part) if forwarded.cid.is_none() => self.accept(index, forwarded, part),
            Packet::Hello(_) | Packet::Finish => {}
            Packet::Request(_) | Packet::Close => self.reply(index, flow, Reply::Reset),
        }
    }

    /// Accepts a new flow, or refuses it while the agent does not serve.
    fn accept(&mut self, index: usize, forwarded: &Forwarded, part: u8) {
        let flow = forwarded.flow;
        let process = &mut self.processes[index];
        if process.agent.phase != Phase::Serving {
            return self.reply(index, flow, Reply::Refused);
        }
        let epoch = process.agent.nonce >> 16;
        process.agent.nonce =
            ConnectionId::nonce_of(epoch as u8, process.agent.nonce.wrapping_add(1));
        let state = FlowState {
            parts: 1 << part,
            nonce: process.agent.nonce,
            last_packet: self.now,
        };
        process.agent.flows.insert(flow, state);
        self.check_leaving(index, flow);
    }

    /// Handles a packet of a flow that the agent owns.
    fn handle_known(&mut self, index: usize, forwarded: &Forwarded) {
        let flow = forwarded.flow;
        let process = &mut self.processes[index];
        let Some(state) = process.agent.flows.get_mut(&flow) else {
            return;
        };
        match forwarded.packet {
            Packet::Hello(part) => {
                state.parts |= 1 << part;
                if state.parts == ALL_PARTS {
                    let id = ConnectionId {
                        agent: process.data_address(),
                        service: forwarded.service,
                        data_centre: monsoon_model::DataCentreId(process.data_centre),
                        nonce: process.agent.flows[&flow].nonce,
                    };
                    let cid = id.seal(&self.keys);
                    self.reply(index, flow, Reply::Hello(cid));
                }
            }
            Packet::Finish if state.parts == ALL_PARTS => self.reply(index, flow, Reply::Finished),
            Packet::Finish => {}
            Packet::Request(request) => self.run_request(index, flow, request),
            Packet::Close => {
                process.agent.flows.remove(&flow);
            }
        }
    }

    /// Runs a request in the slot of the target that becomes free first.
    fn run_request(&mut self, index: usize, flow: usize, request: u64) {
        let now = self.now;
        let agent = &mut self.processes[index].agent;
        if self.setup.request_time == Duration::ZERO {
            return self.reply(index, flow, Reply::Response(request));
        }
        if let Some(ready) = agent.ready_at.get(&(flow, request)) {
            if *ready <= now {
                self.reply(index, flow, Reply::Response(request));
            }
            return;
        }
        let Some(slot) = agent.free_at.iter_mut().min() else {
            return;
        };
        *slot = (*slot).max(now) + self.setup.request_time;
        let ready: Instant = *slot;
        agent.ready_at.insert((flow, request), ready);
        let event = FleetEvent::RequestDone {
            process: index,
            flow,
            request,
        };
        self.schedule(ready.since(now), event);
    }

    /// Replies to a request that the target has completed.
    pub(super) fn finish_request(&mut self, index: usize, flow: usize, request: u64) {
        let process = &self.processes[index];
        if process.is_running() && process.agent.flows.contains_key(&flow) {
            self.reply(index, flow, Reply::Response(request));
        }
    }

    /// Sends a reply through a balancer that forwarded a packet lately, else through any balancer
    /// that the membership knows.
    fn reply(&mut self, index: usize, flow: usize, reply: Reply) {
        let now = self.now;
        let process = &mut self.processes[index];
        let data_centre = process.data_centre;
        process
            .agent
            .active_balancers
            .retain(|_, at| now.since(*at) < BALANCER_TTL);
        let mut candidates: Vec<usize> = process.agent.active_balancers.keys().copied().collect();
        if candidates.is_empty() {
            let known = process.agent.known_balancers.iter();
            candidates = known
                .filter_map(|data| self.by_ip.get(data.ip()).copied())
                .collect();
        }
        let pick = self.rng.below(candidates.len() as u64) as usize;
        let Some(balancer) = candidates.get(pick).copied() else {
            return;
        };
        let remote = self.processes[balancer].data_centre;
        for delay in self.links.between(&mut self.rng, data_centre, remote) {
            self.schedule(
                delay,
                FleetEvent::AgentReply {
                    balancer,
                    flow,
                    reply,
                },
            );
        }
    }

    /// Closes all flows of an agent whose data centre is evacuated.
    pub(super) fn close_flows(&mut self, index: usize) {
        let flows = std::mem::take(&mut self.processes[index].agent.flows);
        self.processes[index].agent.ready_at.clear();
        for flow in flows.keys() {
            self.reply(index, *flow, Reply::Evacuated);
        }
    }
}
