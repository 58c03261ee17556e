//! Nodes on the fake network.

mod common;
mod cuts;
mod faults;
mod lifecycle;
mod lists;
mod pauses;
