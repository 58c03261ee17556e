//! Membership of one environment: who is alive, in which state and with how many slots.
//!
//! Agents and balancers announce themselves to three balancers of their own data centre
//! (*watchers*). Watchers detect failures and share changes by gossip. Bucket digests repair what
//! gossip lost. Two *speakers* of each data centre exchange the same messages with the other data
//! centres. Everything here is sans-I/O: a node takes events and returns actions.

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
