//! Stateless flow routing: selects the agent that receives a caller's packet.
//!
//! A balancer passes each packet to [`Router`]. The connection ID of an established flow names the
//! agent. For a new flow, the [`Table`] of the service yields a chain of candidate agents. Each
//! agent on the chain uses [`Handoff`] to accept the flow or to pass it on to the next one.
//!
//! Balancers learn of changes at different times, so two packets of one handshake can be routed by
//! different tables. They must still reach the same agent. Two mechanisms ensure this:
//! - For [`PREVIOUS_TTL`] after a change, a chain starts with the previous first candidates, which
//!   are also the first hops of balancers with older tables.
//! - Each agent remembers its decision about a flow and applies it to later packets, even when the
//!   next agent is not on their chain ([`Decision::Redirect`]).
//!
//! Second candidates need no history: the first candidate remembers that it passed the flow on.
//!
//! Balancers that receive packets of the same flow must prefer the same region, because their
//! tables differ by region for as long as both regions have ready targets.

mod chain;
mod dead;
mod handoff;
mod history;
mod packet;
mod path;
mod route;
mod router;
mod score;
mod table;
mod update;

pub use dead::{DEAD_AGENT_TTL, MAX_DEAD_AGENTS, RESET_DELAY};
pub use handoff::{DECISION_TTL, Decision, Handoff, HandoffCounters, Load, MAX_DECISIONS};
pub use history::{MAX_HISTORY, PREVIOUS_TTL};
pub use packet::{Destination, PacketKind};
pub use path::{MAX_PATH, redirect};
pub use route::{Counters, DropReason, Route};
pub use router::{EVACUATION_GRACE, GRACE_MIN_AGE, MAX_SERVICES, Router};
pub use table::{BUCKETS, Candidate, MAX_TARGETS, MAX_WEIGHT, Table};
