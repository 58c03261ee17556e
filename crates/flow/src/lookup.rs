//! Which agent holds a flow that a balancer does not know.

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddrV4;

use bytes::Bytes;
use monsoon_model::Instant;

use crate::ranking::MAX_HOPS;
use crate::{FlowKey, OwnerQuery, Ownership, PacketInfo};

/// Packets of one flow that wait for the answer. A caller has at most 16 in flight and sends a
/// lost one again.
const MAX_QUEUED: usize = 16;

/// Agents that are tried first. A flow is mostly held by one of those that its opening packet was
/// offered to.
const FIRST_WAVE_SIZE: usize = MAX_HOPS;
/// Agents in a further wave, as a multiple of all that were tried before.
const WAVE_GROWTH: usize = 3;

/// A question to the agents of a service.
#[derive(Clone, Debug)]
pub(crate) struct Lookup {
    /// When it was first sent.
    pub started_at: Instant,
    /// When it was last sent.
    pub last_sent: Instant,
    /// Agents that have not answered.
    unanswered: BTreeSet<SocketAddrV4>,
    /// Agents that cannot tell.
    pub unknown: BTreeSet<SocketAddrV4>,
    /// Agents that do not hold it, and never will.
    denied: BTreeSet<SocketAddrV4>,
    /// Agents that cannot tell and were handed a packet of the flow.
    probed: BTreeSet<SocketAddrV4>,
    /// Packets that wait, one with data first.
    packets: VecDeque<Bytes>,
    /// The first packet has data.
    has_data: bool,
    /// What the caller expects next.
    pub ack: u32,
    /// Every agent that may hold the flow was asked.
    pub is_complete: bool,
}

/// State of a question after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// Others may still answer.
    Pending,
    /// This agent holds the flow.
    Found(SocketAddrV4),
    /// All have answered, some without knowing.
    Unknown,
    /// All have answered, and none holds the flow.
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
            is_complete: false,
        }
    }

    /// Notes that these agents may hold the flow. Those that have denied it are not asked again.
    pub(crate) fn ask(&mut self, now: Instant, owners: &BTreeSet<SocketAddrV4>) {
        self.last_sent = now;
        self.unanswered = owners - &self.denied;
        self.unknown.clear();
        self.probed.clear();
    }

    /// Notes that an agent does not hold the flow.
    pub(crate) fn deny(&mut self, agent: SocketAddrV4) {
        self.denied.insert(agent);
    }

    /// Agents that have not answered.
    pub(crate) fn unanswered(&self) -> impl Iterator<Item = SocketAddrV4> {
        self.unanswered.iter().copied()
    }

    /// The question, for a datagram.
    pub(crate) fn query(&self, key: FlowKey) -> OwnerQuery {
        OwnerQuery { key, ack: self.ack }
    }

    /// Keeps a packet until the answer; beyond the bound it is dropped. One with data comes first,
    /// because a target always reacts to it.
    pub(crate) fn queue_packet(&mut self, packet: Bytes, info: &PacketInfo) {
        let data = info.bytes > 0;
        if self.packets.len() >= MAX_QUEUED {
            return;
        }
        if data && !self.has_data {
            self.has_data = true;
            self.packets.push_front(packet);
        } else {
            self.packets.push_back(packet);
        }
    }

    /// Packets that wait.
    pub(crate) fn packets(&self) -> impl Iterator<Item = &Bytes> {
        self.packets.iter()
    }

    /// Agents that were tried and have not denied the flow.
    pub(crate) fn pending_probes(&self) -> impl Iterator<Item = SocketAddrV4> {
        self.probed.intersection(&self.unknown).copied()
    }

    /// Takes the next agents to try out of `ranked`.
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

    /// Takes an answer.
    pub(crate) fn receive_reply(&mut self, from: SocketAddrV4, ownership: Ownership) -> Outcome {
        let asked = self.unanswered.remove(&from);
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
        match (
            asked || ownership == Ownership::NotOwned,
            self.unanswered.is_empty(),
        ) {
            (true, true) if self.unknown.is_empty() => Outcome::NoOwner,
            (true, true) => Outcome::Unknown,
            _ => Outcome::Pending,
        }
    }

    /// Gives up waiting for agents of which none is expected to hold a flow. Returns the verdict
    /// of the others, if all of them have answered.
    pub(crate) fn give_up(&self, owns_nothing: impl Fn(SocketAddrV4) -> bool) -> Option<Outcome> {
        let answered = self.unanswered.iter().all(|&agent| owns_nothing(agent));
        answered.then_some(if self.unknown.is_empty() {
            Outcome::NoOwner
        } else {
            Outcome::Unknown
        })
    }

    /// Whether all agents have answered.
    pub(crate) fn is_answered(&self) -> bool {
        self.unanswered.is_empty()
    }
}
