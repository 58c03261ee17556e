//! Processes that forward flows which they cannot end: sockets, timers and calls around the state
//! machines of `monsoon-flow` and `monsoon-membership`.
//!
//! One task owns all state. Other tasks serve HTTP or follow the store, and talk to it through a
//! bounded queue. What a platform speaks comes in as a [`Adapter`] of plain functions.

mod adapter;
mod agent;
mod balancer;
mod clock;
mod decision_log;
mod discovery;
mod endpoints;
mod http;
pub mod logs;
mod members;
mod message;
mod metrics;
mod peers;
mod process;
mod settings;
mod store_watch;

pub use adapter::{
    Adapter, EvacuationEntry, Origin, StoreClient, StoreError, StoreFuture, StoreRead, TargetCall,
};
pub use process::{RunError, run};
pub use settings::{AgentSettings, Bounds, DataCentre, Role, Settings};
