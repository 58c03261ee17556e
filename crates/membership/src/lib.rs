//! Membership of one environment: who is alive, in which state and with how many slots.
//!
//! Agents and balancers announce themselves to three balancers of their own data centre
//! (*watchers*). Watchers detect failures and share changes by gossip. Bucket digests repair what
//! gossip lost. Two *speakers* of each data centre exchange the same messages with the other data
//! centres. Everything here is sans-I/O: a node takes events and returns actions.

mod agent;
mod api;
mod balancer;
mod beats;
pub mod bounds;
mod freshness;
mod gossip;
mod listing;
mod member;
mod members;
mod message;
mod probes;
mod rank;
mod rng;
#[cfg(feature = "simulation")]
pub mod simulation;
mod watcher;

pub use agent::{AgentNode, SampledTarget, ServiceMember};
pub use api::{Action, Event, LocalState};
pub use balancer::BalancerNode;
pub use beats::Beat;
pub use bounds::Rule;
pub use listing::{BalancerInfo, TargetInfo};
pub use member::{Entry, Member, Role, State, Status};
pub use message::{Body, Head, LoadRecord, Message, Sample};
