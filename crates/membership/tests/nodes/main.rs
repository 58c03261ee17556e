//! Nodes on the fake network.

mod common;
mod lifecycle;
