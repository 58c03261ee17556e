//! Which agent holds a flow that a balancer does not know.

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddrV4;

use bytes::Bytes;
use monsoon_model::Instant;

use crate::placing::MAX_HOPS;
use crate::{FlowKey, OwnerQuery, Ownership, PacketInfo};

/// Packets of one flow that wait for the answer. A caller has at most 16 in flight and sends a
/// lost one again.
const MAX_PACKETS: usize = 16;

/// Agents that are tried first. A flow is mostly held by one of those that its opening packet was
/// offered to.
const FIRST_WAVE: usize = MAX_HOPS;
/// Agents in a further wave, as a multiple of all that were tried before.
const WAVE_GROWTH: usize = 3;

/// A question to the agents of a service.
#[derive(Clone, Debug)]
pub(crate) struct Lookup {
    /// When it was first sent.
    pub since: Instant,
    /// When it was last sent.
    pub at: Instant,
    /// Agents that have not answered.
    waiting: BTreeSet<SocketAddrV4>,
    /// Agents that cannot tell.
    pub unsure: BTreeSet<SocketAddrV4>,
    /// Agents that do not hold it, and never will.
    denied: BTreeSet<SocketAddrV4>,
    /// Agents that cannot tell and were handed a packet of the flow.
    tried: BTreeSet<SocketAddrV4>,
    /// Packets that wait, one with data first.
    packets: VecDeque<Bytes>,
    /// The first packet has data.
    probes: bool,
    /// What the caller expects next.
    pub ack: u32,
    /// Every agent that may hold the flow was asked.
    pub complete: bool,
}

/// State of a question after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// Others may still answer.
    Open,
    /// This agent holds the flow.
    Held(SocketAddrV4),
    /// All have answered, some without knowing.
    Unsure,
    /// All have answered, and none holds the flow.
    Nobody,
}

impl Lookup {
    pub(crate) fn new(now: Instant, ack: u32) -> Self {
        Self {
            since: now,
            at: now,
            waiting: BTreeSet::new(),
            unsure: BTreeSet::new(),
            denied: BTreeSet::new(),
            tried: BTreeSet::new(),
            packets: VecDeque::new(),
            probes: false,
            ack,
            complete: false,
        }
    }

    /// Notes that these agents may hold the flow. Those that have denied it are not asked again.
    pub(crate) fn ask(&mut self, now: Instant, holders: &BTreeSet<SocketAddrV4>) {
        self.at = now;
        self.waiting = holders - &self.denied;
        self.unsure.clear();
        self.tried.clear();
    }

    /// Notes that an agent does not hold the flow.
    pub(crate) fn deny(&mut self, agent: SocketAddrV4) {
        self.denied.insert(agent);
    }

    /// Agents that have not answered.
    pub(crate) fn silent(&self) -> impl Iterator<Item = SocketAddrV4> {
        self.waiting.iter().copied()
    }

    /// The question, for a datagram.
    pub(crate) fn question(&self, key: FlowKey) -> OwnerQuery {
        OwnerQuery { key, ack: self.ack }
    }

    /// Keeps a packet until the answer; beyond the bound it is dropped. One with data comes first,
    /// because a target always reacts to it.
    pub(crate) fn keep(&mut self, packet: Bytes, info: &PacketInfo) {
        let data = info.bytes > 0;
        if self.packets.len() >= MAX_PACKETS {
            return;
        }
        if data && !self.probes {
            self.probes = true;
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
    pub(crate) fn pending(&self) -> impl Iterator<Item = SocketAddrV4> {
        self.tried.intersection(&self.unsure).copied()
    }

    /// Takes the next agents to try out of `ranked`.
    pub(crate) fn next_wave(
        &mut self,
        ranked: impl IntoIterator<Item = SocketAddrV4>,
    ) -> Vec<SocketAddrV4> {
        let size = FIRST_WAVE.max(self.tried.len() * WAVE_GROWTH);
        let open = |agent: &SocketAddrV4| !self.tried.contains(agent);
        let wave: Vec<_> = ranked.into_iter().filter(open).take(size).collect();
        self.tried.extend(&wave);
        wave
    }

    /// Takes an answer.
    pub(crate) fn answer(&mut self, from: SocketAddrV4, ownership: Ownership) -> Verdict {
        let asked = self.waiting.remove(&from);
        match ownership {
            Ownership::Owned => return Verdict::Held(from),
            Ownership::Unknown => {
                self.unsure.insert(from);
            }
            Ownership::NotOwned => {
                self.unsure.remove(&from);
                self.denied.insert(from);
            }
        }
        match (
            asked || ownership == Ownership::NotOwned,
            self.waiting.is_empty(),
        ) {
            (true, true) if self.unsure.is_empty() => Verdict::Nobody,
            (true, true) => Verdict::Unsure,
            _ => Verdict::Open,
        }
    }

    /// Gives up waiting for agents of which none is expected to hold a flow. Returns the verdict
    /// of the others, if all of them have answered.
    pub(crate) fn give_up(&self, hopeless: impl Fn(SocketAddrV4) -> bool) -> Option<Verdict> {
        let answered = self.waiting.iter().all(|&agent| hopeless(agent));
        answered.then_some(if self.unsure.is_empty() {
            Verdict::Nobody
        } else {
            Verdict::Unsure
        })
    }

    /// Whether all agents have answered.
    pub(crate) fn is_answered(&self) -> bool {
        self.waiting.is_empty()
    }
}
