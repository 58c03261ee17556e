//! Socket below the agent's QUIC endpoint: opens the envelopes that balancers forward and seals
//! replies into envelopes.
//!
//! The handoff decision is taken for each first packet of a flow before QUIC receives it. A packet
//! for another agent of the chain is passed on from here.

use std::fmt;
use std::io::{self, IoSliceMut};
use std::net::{SocketAddr, SocketAddrV4};
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};

use monsoon_model::{Chain, Instant, ServiceId};
use monsoon_routing::{Decision, Handoff, Load, redirect};
use monsoon_wire::{ConnectionId, Direction, Envelope, Keyring, quic};
use quinn::udp::{RecvMeta, Transmit};
use quinn::{AsyncUdpSocket, UdpPoller};
use tokio::io::ReadBuf;
use tokio::net::UdpSocket;

use super::reply_balancers::ReplyBalancers;
use crate::clock::Clock;
use crate::counters::Counters;
use crate::sockets::MAX_DATAGRAM;

/// Number of balancers through which an evacuated agent sends each datagram. A flow is closed by one
/// datagram, which must not be lost because one balancer failed.
const EVACUATED_COPIES: usize = 3;

/// Parts of the agent that the socket uses.
pub struct SocketParts {
    /// Socket that balancers and other agents send to.
    pub udp: Arc<UdpSocket>,
    /// Address of `udp` at which others reach it.
    pub data: SocketAddrV4,
    /// Keys that the processes of the cluster share.
    pub keys: Arc<Keyring>,
    pub service: ServiceId,
    pub clock: Clock,
    /// Present load, for the handoff decision.
    pub load: Box<dyn Fn() -> Load + Send + Sync>,
    /// Whether the own data centre is out of service.
    pub is_evacuated: Box<dyn Fn() -> bool + Send + Sync>,
    pub counters: Arc<Counters>,
}

/// Socket that exchanges enveloped datagrams with balancers and other agents.
pub struct AgentSocket {
    parts: SocketParts,
    state: Mutex<State>,
    buffer: Mutex<Box<[u8; MAX_DATAGRAM]>>,
}

struct State {
    reply_balancers: ReplyBalancers,
    handoff: Handoff,
    /// Service address of the last datagram, from which replies are sent.
    service_address: Option<SocketAddr>,
}

impl fmt::Debug for AgentSocket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("AgentSocket")
            .field("data", &self.parts.data)
            .finish_non_exhaustive()
    }
}

impl AgentSocket {
    /// Socket without any handoff decision or balancer in its memory.
    pub fn new(parts: SocketParts) -> Self {
        let state = State {
            reply_balancers: ReplyBalancers::default(),
            handoff: Handoff::default(),
            service_address: None,
        };
        let buffer = Mutex::new(Box::new([0; MAX_DATAGRAM]));
        Self {
            parts,
            state: Mutex::new(state),
            buffer,
        }
    }

    /// Replaces the balancers that the membership lists.
    pub fn set_balancers(&self, balancers: impl IntoIterator<Item = SocketAddrV4>) {
        self.lock().reply_balancers.set_members(balancers);
    }

    /// Forgets which flows were passed on, because one may have been passed to a data centre that was
    /// taken out of service.
    pub fn clear_passed(&self) {
        self.lock().handoff.clear_passed();
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no panic while the lock is held")
    }

    /// Opens one datagram. The result is `Some` if it is for the local QUIC endpoint.
    fn open_datagram<'a>(
        &self,
        state: &mut State,
        now: Instant,
        from: SocketAddr,
        datagram: &'a [u8],
    ) -> Option<(Envelope, &'a [u8])> {
        let Ok((envelope, payload)) = Envelope::open(&self.parts.keys, datagram) else {
            self.parts.counters.count("envelope_unverified");
            return None;
        };
        if envelope.direction != Direction::Forward || envelope.service != self.parts.service {
            self.parts.counters.count("envelope_other_service");
            return None;
        }
        if let (0, SocketAddr::V4(balancer)) = (envelope.hop, from) {
            state.reply_balancers.record_forward(now, balancer);
        }
        if envelope.chain.is_empty() || self.is_own_flow(payload) {
            return Some((envelope, payload));
        }
        self.decide(state, now, envelope, payload)
    }

    /// Whether the packet carries a connection ID that this agent issued.
    fn is_own_flow(&self, payload: &[u8]) -> bool {
        let Some(dcid) = quic::classify(payload).dcid() else {
            return false;
        };
        ConnectionId::open(dcid, &self.parts.keys).is_some_and(|id| id.agent == self.parts.data)
    }

    fn decide<'a>(
        &self,
        state: &mut State,
        now: Instant,
        envelope: Envelope,
        payload: &'a [u8],
    ) -> Option<(Envelope, &'a [u8])> {
        let load = (self.parts.load)();
        let hop = usize::from(envelope.hop);
        match state
            .handoff
            .decide(now, envelope.key, &envelope.chain, hop, load)
        {
            Decision::Redirect(agent) => {
                let (chain, last) = redirect(&envelope.chain, hop, agent);
                self.pass_on(Envelope { chain, ..envelope }, last, payload);
                None
            }
            // The accept loop of a leaving agent refuses new flows, which tells the caller.
            Decision::Accept | Decision::Refuse => Some((envelope, payload)),
            Decision::Pass(next) => {
                self.pass_on(envelope, next, payload);
                None
            }
        }
    }

    fn pass_on(&self, envelope: Envelope, next: usize, payload: &[u8]) {
        let Some(target) = envelope.chain.hop(next) else {
            return;
        };
        let next_envelope = Envelope {
            hop: next as u8,
            ..envelope
        };
        let datagram = next_envelope.seal(&self.parts.keys, payload);
        self.parts.counters.count("flow_passed_on");
        self.send(&datagram, SocketAddr::V4(target.agent));
    }

    /// Sends without waiting. A datagram is lost when the socket buffer is full, as it may be lost in
    /// the network.
    fn send(&self, datagram: &[u8], to: SocketAddr) {
        if self.parts.udp.try_send_to(datagram, to).is_err() {
            self.parts.counters.count("datagram_not_sent");
        }
    }
}

impl AsyncUdpSocket for AgentSocket {
    fn create_io_poller(self: Arc<Self>) -> Pin<Box<dyn UdpPoller>> {
        Box::pin(AlwaysWritable)
    }

    fn try_send(&self, transmit: &Transmit<'_>) -> io::Result<()> {
        let now = self.parts.clock.now();
        let Some(address) = self.lock().service_address else {
            self.parts.counters.count("reply_without_balancer");
            return Ok(());
        };
        let envelope = Envelope {
            direction: Direction::Reply,
            service: self.parts.service,
            caller: transmit.destination,
            address: SocketAddr::new(transmit.src_ip.unwrap_or(address.ip()), address.port()),
            key: 0,
            chain: Chain::default(),
            hop: 0,
        };
        let datagram = envelope.seal(&self.parts.keys, transmit.contents);
        let copies = if (self.parts.is_evacuated)() {
            EVACUATED_COPIES
        } else {
            1
        };
        for _ in 0..copies {
            // Successive datagrams go through different balancers.
            let balancer = self.lock().reply_balancers.next(now);
            match balancer {
                Some(balancer) => self.send(&datagram, SocketAddr::V4(balancer)),
                None => self.parts.counters.count("reply_without_balancer"),
            }
        }
        Ok(())
    }

    fn poll_recv(
        &self,
        cx: &mut Context<'_>,
        bufs: &mut [IoSliceMut<'_>],
        meta: &mut [RecvMeta],
    ) -> Poll<io::Result<usize>> {
        let mut buffer = self.buffer.lock().expect("no panic while the lock is held");
        loop {
            let mut read = ReadBuf::new(&mut buffer[..]);
            let from = match ready!(self.parts.udp.poll_recv_from(cx, &mut read)) {
                Ok(from) => from,
                // An ICMP error for an earlier datagram to a closed port.
                Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => continue,
                Err(error) => return Poll::Ready(Err(error)),
            };
            let now = self.parts.clock.now();
            let mut state = self.lock();
            let Some((envelope, payload)) =
                self.open_datagram(&mut state, now, from, read.filled())
            else {
                continue;
            };
            if payload.len() > bufs[0].len() {
                self.parts.counters.count("datagram_too_large");
                continue;
            }
            bufs[0][..payload.len()].copy_from_slice(payload);
            meta[0] = RecvMeta {
                addr: envelope.caller,
                len: payload.len(),
                stride: payload.len(),
                ecn: None,
                dst_ip: Some(envelope.address.ip()),
            };
            state.service_address = Some(envelope.address);
            return Poll::Ready(Ok(1));
        }
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        Ok(SocketAddr::V4(self.parts.data))
    }

    fn may_fragment(&self) -> bool {
        false
    }
}

/// Poller of a socket that never waits to send, see [`AgentSocket::send`].
#[derive(Debug)]
struct AlwaysWritable;

impl UdpPoller for AlwaysWritable {
    fn poll_writable(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}
