//! Chain of agents to which a new flow is offered in turn.

use std::net::SocketAddrV4;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Limit of hops in a chain: two candidates of the current table and two of the previous one.
pub const MAX_HOPS: usize = 4;

/// One agent in a chain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Hop {
    /// Address of the agent's encapsulation socket.
    pub agent: SocketAddrV4,
    /// Whether the agent may take the flow only if it knows it already.
    pub known_only: bool,
}

/// The chain is full: it has [`MAX_HOPS`] hops.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("the chain has {MAX_HOPS} hops already; drop a candidate before adding one")]
pub struct ChainFull;

/// Agents to which a new flow is offered, in order. There are at most [`MAX_HOPS`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Chain {
    hops: Vec<Hop>,
}

impl Chain {
    /// Appends a hop.
    ///
    /// # Errors
    /// Returns [`ChainFull`] when the chain has [`MAX_HOPS`] hops already.
    pub fn push(&mut self, hop: Hop) -> Result<(), ChainFull> {
        if self.hops.len() >= MAX_HOPS {
            return Err(ChainFull);
        }
        self.hops.push(hop);
        Ok(())
    }

    /// Hop at `index`, if the chain has one there.
    pub fn hop(&self, index: usize) -> Option<Hop> {
        self.hops.get(index).copied()
    }

    /// All hops in order.
    pub fn hops(&self) -> &[Hop] {
        &self.hops
    }

    /// Number of hops.
    pub fn len(&self) -> usize {
        self.hops.len()
    }

    /// Whether the chain has no hop.
    pub fn is_empty(&self) -> bool {
        self.hops.is_empty()
    }
}
