//! Forwarding of flows whose connections end at the caller and the target, not in this system.
//!
//! A [`Balancer`] places a new flow: it sends the opening packet to an agent. An [`Agent`] delivers
//! the packet to the target on its instance or passes it on to the next candidate. The agent of the
//! target that takes the flow is the owner of the flow and keeps its state. A balancer only caches
//! the owner; when it does not know it, a lookup asks the agents of the service.
//!
//! The state machines do no I/O: each call gets the present time and returns [`Action`]s. The
//! packet format is up to the program that uses this crate, which passes [`PacketInfo`] with the
//! opaque bytes of each packet.

mod action;
mod agent;
mod balancer;
mod catalogue;
mod frame;
mod health;
mod key;
mod lookup;
mod packet;
mod ranking;
mod target_state;
mod window_limiter;

pub use action::{Action, Log};
pub use agent::{AdmissionStats, Agent, AgentStats, PlaceCounts, Settings as AgentSettings};
pub use balancer::{
    Balancer, Candidate, Decision, DropReason, Explanation, Presence, RankReason, ResetReason,
    Settings as BalancerSettings, TargetView,
};
pub use catalogue::{
    Catalogue, Demand, DemandError, Evacuations, Priorities, RequestKind, Route, Service,
    ServiceTag, Share, StatedDemand,
};
pub use frame::{
    Fallback, Frame, FrameError, Open, OwnerQuery, OwnerReply, Ownership, Reason, decode, encode,
};
pub use key::FlowKey;
pub use packet::{PacketInfo, PacketKind, Reset};
pub use ranking::WEIGHT_PER_SLOT;
pub use target_state::{Heartbeat, Readiness, TargetLimits, TargetState};
pub use window_limiter::WindowLimiter;
