//! Data path of balancers: routes of callers' packets to agents, and replies to callers.

use monsoon_model::{Chain, Hop, ServiceId, hash::mix};
use monsoon_routing::{Destination, PacketKind, Route};
use monsoon_wire::{CID_LEN, ConnectionId, flow_key};

use super::flow::{Forwarded, Packet, Reply};
use super::process::{Condition, Node};
use super::{Fleet, FleetEvent, Policy};

impl Fleet {
    /// Routes a caller's packet that arrives at a balancer. One without a running role, or whose
    /// document lacks the service, drops it.
    pub(super) fn receive_packet(
        &mut self,
        balancer: usize,
        flow: usize,
        packet: Packet,
        cid: Option<[u8; CID_LEN]>,
    ) {
        let process = &self.processes[balancer];
        if !process.is_running() || !process.is_started {
            return;
        }
        let service = self.flows[flow].service;
        let is_served = process
            .document()
            .is_some_and(|document| document.services.contains_key(&service));
        if !is_served {
            return;
        }
        self.check_forwarding(balancer);
        let kind = self.packet_kind(flow, packet, cid);
        let key = match kind {
            PacketKind::New { key } => key,
            _ => 0,
        };
        let data_centre = process.data_centre;
        match self.route(balancer, service, kind, flow) {
            Route::Established(agent) => {
                let forwarded = Forwarded {
                    flow,
                    packet,
                    cid,
                    service,
                    key: 0,
                    chain: Chain::default(),
                    hop: 0,
                    balancer: Some(balancer),
                };
                self.send_data(data_centre, agent, &forwarded);
            }
            Route::New(chain) => {
                let Some(first) = chain.hop(0) else { return };
                let forwarded = Forwarded {
                    flow,
                    packet,
                    cid,
                    service,
                    key,
                    chain,
                    hop: 0,
                    balancer: Some(balancer),
                };
                self.send_data(data_centre, first.agent, &forwarded);
            }
            // Only packets with a short header are answered with a reset.
            Route::Reset if matches!(packet, Packet::Request(_) | Packet::Close) => {
                self.reply_to_caller(flow, Reply::Reset);
            }
            Route::Reset | Route::Drop(_) => {}
        }
    }

    fn packet_kind(&self, flow: usize, packet: Packet, cid: Option<[u8; CID_LEN]>) -> PacketKind {
        if let Some(id) = cid.and_then(|cid| ConnectionId::open(&cid, &self.keys)) {
            return PacketKind::Established(Destination {
                agent: id.agent,
                service: id.service,
                data_centre: id.data_centre,
                epoch: id.epoch(),
            });
        }
        let flow = &self.flows[flow];
        match packet {
            Packet::Hello(_) => PacketKind::New {
                key: flow_key(&self.keys, flow.caller, &flow.dcid),
            },
            _ => PacketKind::Unverified,
        }
    }

    /// Route of a packet under the policy of the run.
    fn route(
        &mut self,
        balancer: usize,
        service: ServiceId,
        kind: PacketKind,
        flow: usize,
    ) -> Route {
        let now = self.now;
        if self.setup.policy == Policy::Random {
            return self.random_route(balancer, service);
        }
        let router = &mut self.processes[balancer].router;
        if self.setup.policy == Policy::Ours {
            return router.route(now, service, kind);
        }
        let key = mix(flow as u64, 0x6861_7368);
        match router.route(now, service, PacketKind::New { key }) {
            Route::New(chain) => {
                let current = chain.hops().iter().find(|hop| !hop.known_only);
                single_route(current.copied())
            }
            other => other,
        }
    }

    /// Route to any live agent of the service, for the baseline of random choice.
    fn random_route(&mut self, balancer: usize, service: ServiceId) -> Route {
        let process = &self.processes[balancer];
        let Node::Balancer(node) = &process.node else {
            return single_route(None);
        };
        let evacuations = process.config.evacuated();
        let ready = |member: &&monsoon_membership::Member| {
            member.service == service
                && member.state != monsoon_membership::State::Leaving
                && !evacuations.contains(&member.data_centre)
        };
        let agents: Vec<_> = node
            .agents()
            .filter(ready)
            .map(|member| member.data)
            .collect();
        let pick = self.rng.below(agents.len() as u64) as usize;
        single_route(agents.get(pick).map(|agent| Hop {
            agent: *agent,
            known_only: false,
        }))
    }

    /// Sends an encapsulated packet to an address.
    pub(super) fn send_data(
        &mut self,
        data_centre: u8,
        to: std::net::SocketAddrV4,
        forwarded: &Forwarded,
    ) {
        let Some(receiver) = self.by_ip.get(to.ip()).copied() else {
            return;
        };
        let remote = self.processes[receiver].data_centre;
        for delay in self.links.between(&mut self.rng, data_centre, remote) {
            let packet = forwarded.clone();
            self.schedule(delay, FleetEvent::ForwardedPacket { to, packet });
        }
    }

    /// Passes a reply of an agent on to the caller.
    pub(super) fn receive_reply(&mut self, balancer: usize, flow: usize, reply: Reply) {
        let process = &self.processes[balancer];
        if process.condition == Condition::Running && process.is_started {
            self.reply_to_caller(flow, reply);
        }
    }

    pub(super) fn reply_to_caller(&mut self, flow: usize, reply: Reply) {
        for delay in self.links.caller(&mut self.rng) {
            self.schedule(delay, FleetEvent::CallerReply { flow, reply });
        }
    }
}

/// Route to one agent without a handoff to another.
fn single_route(hop: Option<Hop>) -> Route {
    let mut chain = Chain::default();
    let Some(hop) = hop else {
        return Route::Drop(monsoon_routing::DropReason::NoTarget);
    };
    chain.push(hop).expect("an empty chain has room");
    Route::New(chain)
}
