//! State machines of requests and claims, in virtual time.

mod claims;
mod place;
mod requests;
mod tally;
