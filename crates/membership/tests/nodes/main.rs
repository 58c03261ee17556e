//! Tests of nodes on the simulated network.

mod common;
mod cuts;
mod faults;
mod lifecycle;
mod lists;
mod pauses;
