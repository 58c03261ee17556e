//! Gossip membership and failure detection of balancers and agents: which processes of an
//! environment are alive, in which state and with how many slots.
//!
//! Agents and balancers announce themselves to three balancers of their own data centre, their
//! *watchers*. Watchers detect failures and spread changes by gossip. Balancers compare their
//! tables by digests of hash buckets, which repairs what gossip lost. Two balancers of each data
//! centre, its *speakers*, exchange the same messages with the other data centres. The crate does
//! no I/O: a node is a state machine that takes events and returns actions.

mod agent;
mod api;
mod balancer;
pub mod bounds;
mod detector;
mod gossip;
mod heartbeats;
mod listing;
mod member;
mod members;
mod message;
mod probes;
mod rank;
mod rng;
#[cfg(feature = "simulation")]
pub mod simulation;
mod versions;

pub use agent::{AgentNode, SampledTarget, ServiceMember};
pub use api::{Action, Event, LocalState};
pub use balancer::BalancerNode;
pub use bounds::Rule;
pub use heartbeats::Heartbeat;
pub use listing::{BalancerInfo, TargetInfo};
pub use member::{Entry, Member, Role, State, Status};
pub use message::{Body, Header, LoadRecord, Message, Sample};
