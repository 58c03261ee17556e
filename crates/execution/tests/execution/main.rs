//! State machines of requests and claims, in virtual time.

mod claims;
mod destination;
mod requests;
mod tally;
