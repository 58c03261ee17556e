//! Tests of the state machines of requests and claims, in virtual time.

mod claims;
mod destination;
mod peer_tracker;
mod requests;
