//! Lookup of the owner of a flow that a balancer does not know.
//!
//! The balancer first asks the agents of the services that the route is known to have led to, and
//! then all others. A flow has no owner only when every agent has denied it. Agents that restarted
//! beside a running target cannot tell. If no agent confirms that it owns the flow, packets are sent
//! to those that cannot tell, in waves: a target returns a packet of a flow that it does not know.

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddrV4;

use bytes::Bytes;
use monsoon_model::Instant;

use crate::ranking::MAX_HOPS;
use crate::{FlowKey, OwnerQuery, Ownership, PacketInfo};

/// Limit of packets of one flow that are queued during a lookup. A caller has at most 16 packets in
/// flight and retransmits lost ones.
const MAX_QUEUED: usize = 16;

/// Number of agents that are probed first. The owner is mostly one of the candidates of the opening
/// packet.
const FIRST_WAVE_SIZE: usize = MAX_HOPS;
/// Number of agents in a further wave, as a multiple of all that were probed before.
const WAVE_GROWTH: usize = 3;

/// State of the lookup of one flow.
#[derive(Clone, Debug)]
pub(crate) struct Lookup {
    /// When the lookup started.
    pub started_at: Instant,
    /// When queries or probes were last sent.
    pub last_sent: Instant,
    /// Agents that have not replied.
    unanswered: BTreeSet<SocketAddrV4>,
    /// Agents that cannot tell whether they own the flow.
    pub unknown: BTreeSet<SocketAddrV4>,
    /// Agents that do not own the flow and never will.
    denied: BTreeSet<SocketAddrV4>,
    /// Agents that cannot tell and were sent a packet of the flow.
    probed: BTreeSet<SocketAddrV4>,
    /// Packets queued until the owner is known; one with data is first.
    packets: VecDeque<Bytes>,
    /// Whether the first queued packet has data.
    has_data: bool,
    /// Sequence number that the caller expects next.
    pub ack: u32,
    /// Whether the agents of all services are asked, in place of those that the route is known to
    /// have led to.
    pub asks_all: bool,
    /// Whether the list of agents was complete when they were asked.
    pub is_complete: bool,
}

/// Outcome of a lookup after a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// Replies are missing.
    Pending,
    /// This agent owns the flow.
    Found(SocketAddrV4),
    /// All agents have replied, and some cannot tell.
    Unknown,
    /// All agents have replied, and none owns the flow.
    NoOwner,
}

impl Lookup {
    pub(crate) fn new(now: Instant, ack: u32) -> Self {
        Self {
            started_at: now,
            last_sent: now,
            unanswered: BTreeSet::new(),
            unknown: BTreeSet::new(),
            denied: BTreeSet::new(),
            probed: BTreeSet::new(),
            packets: VecDeque::new(),
            has_data: false,
            ack,
            asks_all: false,
            is_complete: false,
        }
    }

    /// Starts a round of queries to the agents that may own the flow. Those that have replied are not
    /// asked again.
    pub(crate) fn ask(&mut self, now: Instant, owners: &BTreeSet<SocketAddrV4>) {
        self.last_sent = now;
        self.unanswered = &(owners - &self.denied) - &self.unknown;
    }

    /// Records that an agent does not own the flow.
    pub(crate) fn deny(&mut self, agent: SocketAddrV4) {
        self.denied.insert(agent);
    }

    /// Agents that have not replied.
    pub(crate) fn unanswered(&self) -> impl Iterator<Item = SocketAddrV4> {
        self.unanswered.iter().copied()
    }

    /// Query about this flow for an agent.
    pub(crate) fn query(&self, key: FlowKey) -> OwnerQuery {
        OwnerQuery { key, ack: self.ack }
    }

    /// Queues a packet until the owner is known; at the limit it is dropped. A packet with data is
    /// put first, because a target always reacts to it.
    pub(crate) fn queue_packet(&mut self, packet: Bytes, info: &PacketInfo) {
        let has_payload = info.bytes > 0;
        if self.packets.len() >= MAX_QUEUED {
            return;
        }
        if has_payload && !self.has_data {
            self.has_data = true;
            self.packets.push_front(packet);
        } else {
            self.packets.push_back(packet);
        }
    }

    /// Queued packets.
    pub(crate) fn packets(&self) -> impl Iterator<Item = &Bytes> {
        self.packets.iter()
    }

    /// Agents that were probed and have not denied the flow.
    pub(crate) fn pending_probes(&self) -> impl Iterator<Item = SocketAddrV4> {
        self.probed.intersection(&self.unknown).copied()
    }

    /// Selects the next agents to probe, in the order of `ranked`.
    pub(crate) fn next_wave(
        &mut self,
        ranked: impl IntoIterator<Item = SocketAddrV4>,
    ) -> Vec<SocketAddrV4> {
        let size = FIRST_WAVE_SIZE.max(self.probed.len() * WAVE_GROWTH);
        let open = |agent: &SocketAddrV4| !self.probed.contains(agent);
        let wave: Vec<_> = ranked.into_iter().filter(open).take(size).collect();
        self.probed.extend(&wave);
        wave
    }

    /// Records the reply of an agent.
    pub(crate) fn receive_reply(&mut self, from: SocketAddrV4, ownership: Ownership) -> Outcome {
        let was_asked = self.unanswered.remove(&from);
        match ownership {
            Ownership::Owned => return Outcome::Found(from),
            Ownership::Unknown => {
                self.unknown.insert(from);
            }
            Ownership::NotOwned => {
                self.unknown.remove(&from);
                self.denied.insert(from);
            }
        }
        if was_asked || ownership == Ownership::NotOwned {
            self.outcome()
        } else {
            Outcome::Pending
        }
    }

    /// Outcome of the replies so far, none of which confirmed the flow.
    pub(crate) fn outcome(&self) -> Outcome {
        match (self.unanswered.is_empty(), self.unknown.is_empty()) {
            (false, _) => Outcome::Pending,
            (true, true) => Outcome::NoOwner,
            (true, false) => Outcome::Unknown,
        }
    }

    /// Whether all agents have replied.
    pub(crate) fn is_answered(&self) -> bool {
        self.unanswered.is_empty()
    }
}
