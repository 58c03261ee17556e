//! Forwards datagrams of callers to agents, with one routing decision for each datagram.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use monsoon_model::{Chain, ServiceId};
use monsoon_routing::{Destination, PacketKind, Route, Router};
use monsoon_wire::quic::{self, Packet};
use monsoon_wire::{ConnectionId, Direction, Envelope, Keyring, flow_key, stateless_reset};
use tokio::net::UdpSocket;

use crate::clock::Clock;
use crate::counters::Counters;

/// Forwards the datagrams of callers.
#[derive(Clone, Debug)]
pub struct Forwarder {
    /// Routing tables and decisions.
    pub router: Arc<Mutex<Router>>,
    /// Socket towards agents.
    pub data: Arc<UdpSocket>,
    /// Keys that the processes of the cluster share.
    pub keys: Arc<Keyring>,
    pub clock: Clock,
    pub counters: Arc<Counters>,
}

/// Datagram that a caller sent to a service address.
#[derive(Clone, Copy, Debug)]
pub struct CallerDatagram<'a> {
    /// Service of `address`.
    pub service: ServiceId,
    /// Address that the caller sent to.
    pub address: SocketAddr,
    /// Address of the caller.
    pub caller: SocketAddr,
    /// QUIC packets of the datagram.
    pub payload: &'a [u8],
}

impl Forwarder {
    /// Forwards one datagram. The result is a stateless reset to send to the caller, if one is needed.
    pub fn forward(&self, datagram: CallerDatagram<'_>) -> Option<Vec<u8>> {
        let packet = quic::classify(datagram.payload);
        let kind = self.packet_kind(datagram.caller, &packet);
        let key = if let PacketKind::New { key } = kind {
            key
        } else {
            0
        };
        let now = self.clock.now();
        let route = self
            .router
            .lock()
            .expect("no panic while the lock is held")
            .route(now, datagram.service, kind);
        match route {
            Route::Established(agent) => {
                self.send(datagram, 0, Chain::default(), SocketAddr::V4(agent));
                None
            }
            Route::New(chain) => {
                let first = chain.hop(0)?;
                self.send(datagram, key, chain, SocketAddr::V4(first.agent));
                None
            }
            Route::Reset => self.reset(datagram.payload, &packet),
            Route::Drop(_) => None,
        }
    }

    fn packet_kind(&self, caller: SocketAddr, packet: &Packet<'_>) -> PacketKind {
        let (Packet::Initial { dcid } | Packet::Long { dcid } | Packet::Short { dcid }) = *packet
        else {
            return PacketKind::Unverified;
        };
        if let Some(id) = ConnectionId::open(dcid, &self.keys) {
            return PacketKind::Established(Destination {
                agent: id.agent,
                service: id.service,
                data_centre: id.data_centre,
                epoch: id.epoch(),
            });
        }
        match packet {
            Packet::Initial { .. } => PacketKind::New {
                key: flow_key(&self.keys, caller, dcid),
            },
            _ => PacketKind::Unverified,
        }
    }

    fn send(&self, datagram: CallerDatagram<'_>, key: u64, chain: Chain, to: SocketAddr) {
        let envelope = Envelope {
            direction: Direction::Forward,
            service: datagram.service,
            caller: datagram.caller,
            address: datagram.address,
            key,
            chain,
            hop: 0,
        };
        let sealed = envelope.seal(&self.keys, datagram.payload);
        if self.data.try_send_to(&sealed, to).is_err() {
            self.counters.count("datagram_not_sent");
        }
    }

    fn reset(&self, payload: &[u8], packet: &Packet<'_>) -> Option<Vec<u8>> {
        // A long header belongs to a handshake, for which QUIC has no stateless reset.
        let Packet::Short { dcid } = packet else {
            return None;
        };
        let reset = stateless_reset(&self.keys, dcid, payload.len(), rand::random())?;
        self.counters.count("reset_sent");
        Some(reset)
    }
}
