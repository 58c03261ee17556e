//! Entry instance: forwards datagrams between callers and agents without holding flows.

mod forwarder;
mod listeners;
mod replies;
mod start;
mod status_writer;
mod store_watch;
mod tables;

pub use start::run;
