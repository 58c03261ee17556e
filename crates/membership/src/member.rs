//! Members, their status and their compact encoding in messages.

use std::net::{IpAddr, SocketAddr, SocketAddrV4};

use monsoon_model::hash::mix;
use monsoon_model::{AgentId, DataCentreId, PackedVersions, ServiceId};
use serde::{Deserialize, Serialize};

/// Kind of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Role {
    /// Process at the entry, which forwards flows to agents.
    Balancer,
    /// Process beside a target, which owns flows.
    Agent,
}

/// How much work a member takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    /// Takes only a small share of its full load.
    Cold,
    /// Takes its full load.
    Ready,
    /// Takes no new work.
    Leaving,
}

/// A process as it describes itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Packed", into = "Packed")]
pub struct Member {
    /// Identity, unique for each start of a process.
    pub id: AgentId,
    /// Raised by the member to refute that it is dead.
    pub incarnation: u64,
    /// Raised by the member with every announcement.
    pub sequence: u64,
    /// Balancer or agent.
    pub role: Role,
    /// Membership group, named by the number of one of its data centres.
    pub group: DataCentreId,
    /// Data centre where the member runs.
    pub data_centre: DataCentreId,
    /// Service, zero for balancers.
    pub service: ServiceId,
    /// Address of the control socket.
    pub control: SocketAddr,
    /// Address of the encapsulation socket.
    pub data: SocketAddrV4,
    /// Address of the tonic server.
    pub peer: SocketAddr,
    /// How much work the member takes.
    pub state: State,
    /// Concurrent requests when warm, or another weight of the target; 0 without a target.
    pub slots: u16,
    /// Percent of the concurrency limit in use.
    pub load: u16,
    /// Versions of the configuration in force.
    pub versions: PackedVersions,
    /// Whether the member reads versions that cannot be packed. Members of releases that do not
    /// know the field drop it when they pass the entry on.
    pub reads_exact: bool,
}

impl Member {
    /// Whether `other` differs in a field that routing or the claim ranking depends on.
    pub(crate) fn differs_from(&self, other: &Self) -> bool {
        self.fingerprint() != other.fingerprint()
    }

    /// Hash of the fields that other members depend on.
    pub(crate) fn fingerprint(&self) -> u64 {
        let kind = (self.state as u64) << 32 | u64::from(self.slots) << 8 | self.role as u64;
        let location = u64::from(self.service.0) << 16
            | u64::from(self.group.0) << 8
            | u64::from(self.data_centre.0);
        let mut hash = mix(self.id.0, self.incarnation);
        for word in [
            kind,
            location,
            hash_address(self.control),
            hash_address(self.data.into()),
        ] {
            hash = mix(hash, word);
        }
        mix(hash, hash_address(self.peer))
    }
}

fn hash_address(address: SocketAddr) -> u64 {
    let ip = match address.ip() {
        IpAddr::V4(ip) => u64::from(ip.to_bits()),
        IpAddr::V6(ip) => monsoon_model::hash::bytes(&ip.octets()),
    };
    mix(ip, u64::from(address.port()))
}

/// Address without its IP where that is the IP of the encapsulation socket, which saves four bytes.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
enum PackedAddress {
    Port(u16),
    Full(SocketAddr),
}

impl PackedAddress {
    fn pack(address: SocketAddr, data: SocketAddrV4) -> Self {
        if address.ip() == IpAddr::V4(*data.ip()) {
            Self::Port(address.port())
        } else {
            Self::Full(address)
        }
    }

    fn unpack(self, data: SocketAddrV4) -> SocketAddr {
        match self {
            Self::Port(port) => SocketAddrV4::new(*data.ip(), port).into(),
            Self::Full(address) => address,
        }
    }
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct Packed {
    id: AgentId,
    incarnation: u64,
    sequence: u64,
    kind: u8,
    group: DataCentreId,
    data_centre: DataCentreId,
    service: ServiceId,
    data: SocketAddrV4,
    control: PackedAddress,
    peer: PackedAddress,
    slots: u16,
    load: u16,
    versions: PackedVersions,
}

/// Bits of the role in `kind`.
const AGENT_KIND: u8 = 1 << 2;
/// Bit of `reads_exact` in `kind`. Former releases take any bit above the state for an agent's, so
/// that only agents set it.
const READS_EXACT: u8 = 1 << 3;

impl From<Member> for Packed {
    fn from(m: Member) -> Self {
        let is_flagged = m.reads_exact && m.role == Role::Agent;
        let reads_exact = if is_flagged { READS_EXACT } else { 0 };
        Self {
            id: m.id,
            incarnation: m.incarnation,
            sequence: m.sequence,
            kind: (m.role as u8) << 2 | m.state as u8 | reads_exact,
            group: m.group,
            data_centre: m.data_centre,
            service: m.service,
            data: m.data,
            control: PackedAddress::pack(m.control, m.data),
            peer: PackedAddress::pack(m.peer, m.data),
            slots: m.slots,
            load: m.load,
            versions: m.versions,
        }
    }
}

impl From<Packed> for Member {
    fn from(p: Packed) -> Self {
        Self {
            id: p.id,
            incarnation: p.incarnation,
            sequence: p.sequence,
            role: if p.kind & AGENT_KIND == 0 {
                Role::Balancer
            } else {
                Role::Agent
            },
            group: p.group,
            data_centre: p.data_centre,
            service: p.service,
            control: p.control.unpack(p.data),
            data: p.data,
            peer: p.peer.unpack(p.data),
            state: match p.kind & 3 {
                0 => State::Cold,
                1 => State::Ready,
                _ => State::Leaving,
            },
            slots: p.slots,
            load: p.load,
            versions: p.versions,
            reads_exact: p.kind & READS_EXACT != 0,
        }
    }
}

/// Liveness of a process, as the other members know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Status {
    /// Announces itself.
    Alive,
    /// Declared dead by its watchers. A higher incarnation refutes it.
    Dead,
    /// Announced its end. Final, because a restarted process has a new identity.
    Left,
}

/// A member with its status, as gossip and digests carry it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The member.
    pub member: Member,
    /// Its status.
    pub status: Status,
    /// Seconds since the member joined (alive) or departed (dead, left).
    pub age: u32,
}

impl Entry {
    /// Sort key of entries of one identity; the greater entry replaces the lesser. A departure
    /// supersedes every announcement of the same incarnation, because an announcement delayed
    /// beyond the detection must not revive the member.
    pub(crate) fn precedence(&self) -> (bool, u64, Status, u64) {
        let member = &self.member;
        (
            self.status == Status::Left,
            member.incarnation,
            self.status,
            member.sequence,
        )
    }

    /// Hash for bucket digests, without sequence and load, which change with every announcement.
    pub(crate) fn fingerprint(&self) -> u64 {
        mix(self.member.fingerprint(), self.status as u64)
    }
}
