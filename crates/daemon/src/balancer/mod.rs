//! The role balancer: forwards datagrams between callers and agents.
//!
//! A balancer owns no flow. Any balancer can forward any packet of a flow.

mod forwarder;
mod listeners;
mod replies;
mod start;
mod status_writer;
mod store_watch;
mod tables;

pub use start::run;
