//! Callers' flows and the packets between callers, balancers and agents.

use std::net::SocketAddr;

use monsoon_model::{Chain, Instant, ServiceId};
use monsoon_wire::CID_LEN;

/// Packet of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Packet {
    /// Part of the first flight, which fills two datagrams. The agent answers when it has both.
    Hello(u8),
    /// Last flight of the handshake.
    Finish,
    /// Request with its number.
    Request(u64),
    /// Close of the flow.
    Close,
}

/// Answer of an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// First flight of the agent, with the connection ID.
    Hello([u8; CID_LEN]),
    /// The handshake is complete.
    Finished,
    /// Response to a request.
    Response(u64),
    /// The agent takes no new flows.
    Refused,
    /// The flow is closed because the data centre is out.
    Evacuated,
    /// Stateless reset.
    Reset,
}

/// Packet on its way to an agent.
#[derive(Clone, Debug)]
pub struct Forwarded {
    pub flow: usize,
    pub packet: Packet,
    /// Connection ID that the packet names, if any.
    pub cid: Option<[u8; CID_LEN]>,
    pub service: ServiceId,
    pub key: u64,
    pub chain: Chain,
    pub hop: u8,
    /// Balancer that sent it, for replies.
    pub balancer: Option<usize>,
}

/// End of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Closed,
    Refused,
    Evacuated,
    Reset,
    Timeout,
    /// The handshake did not end in time.
    NotOpened,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    Hello,
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
    pub retries: u32,
    pub last_reply: Instant,
    pub closes_at: Instant,
    /// Keeps sending after the end of the flow.
    pub keeps_sending: bool,
    /// Process that answered first.
    pub agent: Option<usize>,
    /// Agents that hold a state for the handshake.
    pub acceptors: Vec<usize>,
    pub last_request: u64,
    pub requested_at: Instant,
    pub last_answered: u64,
    /// Caller with a measured stream of requests.
    pub measured_caller: Option<usize>,
}
