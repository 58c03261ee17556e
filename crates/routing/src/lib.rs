//! Stateless flow routing: which agent gets a caller's packet.
//!
//! A balancer asks [`Router`] about each packet. Packets of established flows name their agent in
//! the connection ID. For new flows a [`Table`] per service gives a chain of agents. Each agent on
//! the chain asks [`Handoff`] whether to accept the flow or to pass it on.
//!
//! Balancers learn of changes at different times. Two packets of one handshake can therefore be
//! routed by different tables, and must still reach one agent. Two mechanisms ensure it:
//! - For [`PREVIOUS_TTL`] after a change, a chain starts with the agents that were first candidates
//!   before. Chains of balancers with older tables start with the same agent.
//! - Each agent remembers what it decided for a flow, and sends later packets the same way, even
//!   when the next agent is not on their chain ([`Decision::Redirect`]).
//!
//! Second candidates need no history: the first candidate remembers that it passed a flow on.
//!
//! Balancers that share the packets of a flow must prefer the same region. Balancers of different
//! regions have different tables for as long as both regions have ready targets.

mod chain;
mod dead_agents;
mod handoff;
mod history;
mod packet;
mod path;
mod route;
mod router;
mod score;
mod table;
mod update;

pub use dead_agents::{DEAD_AGENT_TTL, MAX_DEAD_AGENTS, RESET_DELAY};
pub use handoff::{DECISION_TTL, Decision, Handoff, HandoffCounters, Load, MAX_DECISIONS};
pub use history::{MAX_HISTORY, PREVIOUS_TTL};
pub use packet::{Destination, PacketKind};
pub use path::{MAX_PATH, redirect};
pub use route::{Counters, DropReason, Route};
pub use router::{EVACUATION_GRACE, GRACE_MIN_AGE, MAX_SERVICES, Router};
pub use table::{BUCKETS, Candidate, MAX_TARGETS, MAX_WEIGHT, Table};
