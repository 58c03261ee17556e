//! Random numbers and candidates shared by the tests.
#![allow(dead_code, reason = "each test file uses a part of the helpers")]

use std::net::{Ipv4Addr, SocketAddrV4};

use monsoon_model::hash::mix;
use monsoon_model::{AgentId, DataCentreId};
use monsoon_routing::Candidate;

/// Deterministic random number generator; the field is its seed.
pub struct Rng(pub u64);

impl Rng {
    pub fn next(&mut self) -> u64 {
        self.0 += 1;
        mix(self.0, 0x726f_7574)
    }

    pub fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }
}

/// Address of agent `id`, with the ID in the last octets.
pub fn address(id: u64) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from(0x0a00_0000 + id as u32), 4_000)
}

/// Local candidate `id`, in one of three data centres.
pub fn candidate(id: u64, weight: u32) -> Candidate {
    let data_centre = DataCentreId(1 + (id % 3) as u8);
    Candidate {
        id: AgentId(id),
        agent: address(id),
        data_centre,
        weight,
        local: true,
    }
}
