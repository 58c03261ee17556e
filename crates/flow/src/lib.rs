//! Forwarding of flows that this system carries but cannot end.
//!
//! Callers and targets own both ends of a flow. A [`Balancer`] places the opening packet of a flow
//! on an agent, and an [`Agent`] hands it to the target beside it or passes it on. The agent owns
//! what is known about the flows of its target. A balancer only caches which agent holds a flow,
//! and asks the agents of the service when it does not know.
//!
//! Everything here is sans-I/O: each call takes the present time and returns [`Action`]s. The
//! packet format belongs to the caller, who hands in [`PacketInfo`] beside the opaque bytes.

mod action;
mod agent;
mod balancer;
mod catalogue;
mod frame;
mod health;
mod key;
mod lookup;
mod packet;
mod placing;
mod target_state;
mod window_limiter;

pub use action::{Action, Log};
pub use agent::{Agent, AgentStats, Settings as AgentSettings};
pub use balancer::{Balancer, Presence, Settings as BalancerSettings, TargetView};
pub use catalogue::{Catalogue, Evacuations, RequestKind, Route, Service, ServiceTag, Share};
pub use frame::{
    Fallback, Frame, FrameError, Open, OwnerQuery, OwnerReply, Ownership, Reason, decode, encode,
};
pub use key::FlowKey;
pub use packet::{PacketInfo, PacketKind, Reset};
pub use target_state::{Heartbeat, Readiness, TargetLimits, TargetState};
pub use window_limiter::WindowLimiter;
