//! gRPC calls between the processes of the cluster.
//!
//! The service has three methods: `Execute` runs a request at another target of the same service,
//! `Claim` sends a message about an idempotency key to a claim replica, and `Fetch` reads
//! configuration texts. Both sides authenticate with certificates of the cluster's own authority.
//! Messages are encoded with `postcard`, so no generated protocol code is needed.

mod client;
mod codec;
mod message;
mod server;

pub use client::Peers;
pub use message::{
    ClaimCall, ClaimMessage, ClaimReply, ExecuteHead, FetchCall, FetchReply, ObjectText,
    RequestFrame, ResponseFrame, ResponseHead,
};
pub use server::{Handlers, ResponseFrames, serve};
