//! Flows of callers, and packets and replies between callers, balancers and agents.

use std::net::SocketAddr;

use monsoon_model::{Chain, Instant, ServiceId};
use monsoon_wire::CID_LEN;

/// Packet of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Packet {
    /// Part 0 or 1 of the first flight, which takes two datagrams. The agent replies when it has
    /// both.
    Hello(u8),
    /// Last flight of the handshake.
    Finish,
    /// Request with its number.
    Request(u64),
    /// The caller closes the flow.
    Close,
}

/// Reply of an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// First flight of the agent, with the connection ID.
    Hello([u8; CID_LEN]),
    /// The handshake is complete.
    Finished,
    /// Response to the request of this number.
    Response(u64),
    /// The agent accepts no new flows.
    Refused,
    /// The agent closes the flow because its data centre is evacuated.
    Evacuated,
    /// Stateless reset.
    Reset,
}

/// Packet on its way to an agent.
#[derive(Clone, Debug)]
pub struct Forwarded {
    pub flow: usize,
    pub packet: Packet,
    /// Connection ID that an agent issued for the flow, if the caller has one yet.
    pub cid: Option<[u8; CID_LEN]>,
    pub service: ServiceId,
    pub key: u64,
    /// Agents that the packet can visit; empty for a packet with a connection ID.
    pub chain: Chain,
    /// Position in the chain.
    pub hop: u8,
    /// Balancer that forwarded it first, for replies.
    pub balancer: Option<usize>,
}

/// How a flow ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Closed,
    Refused,
    Evacuated,
    Reset,
    Timeout,
    /// The handshake did not complete in time.
    NotOpened,
}

/// Stage of a flow, as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The first flight was sent.
    Hello,
    /// The last flight of the handshake was sent.
    Finish,
    Open,
    Ended(End),
}

/// Flow as its caller sees it.
#[derive(Clone, Debug)]
pub struct Flow {
    pub service: ServiceId,
    pub caller: SocketAddr,
    pub dcid: [u8; 8],
    pub stage: Stage,
    pub cid: Option<[u8; CID_LEN]>,
    pub opened_at: Instant,
    /// Transmissions of the present flight of the handshake.
    pub retries: u32,
    /// When the caller last received a reply.
    pub last_reply: Instant,
    /// When the caller closes the flow.
    pub closes_at: Instant,
    /// Whether the caller keeps sending after the end of the flow.
    pub keeps_sending: bool,
    /// Agent that issued the connection ID.
    pub agent: Option<usize>,
    /// Agents that accepted the handshake.
    pub acceptors: Vec<usize>,
    /// Number of the last request that was sent.
    pub last_request: u64,
    /// When the caller made its last request.
    pub requested_at: Instant,
    /// Number of the last request that has a response.
    pub last_answered: u64,
    /// Index of the measured caller, if the requests are measured.
    pub measured_caller: Option<usize>,
}
