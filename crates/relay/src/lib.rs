//! The processes of the layer-4 load balancer: sockets, timers and HTTP endpoints around the state
//! machines of `monsoon-flow` and `monsoon-membership`.
//!
//! One task owns all state. Other tasks serve HTTP or watch the store, and send messages to it
//! through a bounded queue. The formats of a platform are translated by an [`Adapter`], a set of
//! plain functions.

mod adapter;
mod agent;
mod balancer;
mod clock;
mod decision_log;
mod discovery;
mod endpoints;
mod explain;
mod http;
pub mod logs;
mod members;
mod message;
mod metrics;
mod peers;
mod process;
mod rejection_log;
mod restore;
mod settings;
mod store_watch;
mod task;

pub use adapter::{
    Adapter, AgentRegistry, EvacuationEntry, Origin, ReadFrom, RejectedEntry, StoreClient,
    StoreError, StoreFuture, StoreRead, StoreWrite, TargetCall,
};
pub use process::{RunError, run};
pub use settings::{AgentSettings, DataCentre, Limits, Role, Settings};
