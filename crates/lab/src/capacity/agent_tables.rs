//! Memory of the tables of an agent that have a fixed bound: flow decisions and claims.

use std::net::{Ipv4Addr, SocketAddrV4};

use monsoon_execution::claim::{CLAIMS_MAX, ClaimId, ClaimTable, KeyHash};
use monsoon_model::hash::mix;
use monsoon_model::{AgentId, Chain, Hop, Instant};
use monsoon_routing::{Handoff, Load, MAX_DECISIONS};

use super::fit::Series;
use super::probe;

const COPIES: usize = 6;

/// Part whose memory a child process measures: decisions about flows.
pub const PART_FLOWS: &str = "flow-decisions";
/// Part whose memory a child process measures: claims.
pub const PART_CLAIMS: &str = "claims";

fn sizes(bound: usize) -> [usize; 5] {
    [bound / 16, bound / 4, bound / 2, bound * 3 / 4, bound]
}

/// Handoff state with `flows` accepted flows.
fn handoff(flows: usize) -> Handoff {
    let mut chain = Chain::default();
    let agent = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 4_433);
    let hop = Hop {
        agent,
        known_only: false,
    };
    chain.push(hop).expect("the chain is empty");
    let load = Load {
        used: 0,
        limit: 1,
        leaving: false,
    };
    let mut handoff = Handoff::new();
    for flow in 0..flows {
        handoff.decide(Instant::ZERO, mix(1, flow as u64), &chain, 0, load);
    }
    assert_eq!(handoff.len(), flows, "a measured flow was not remembered");
    handoff
}

/// Claim table with `count` claims.
fn claims(count: usize) -> ClaimTable {
    let mut table = ClaimTable::new(Instant::ZERO);
    for number in 0..count as u64 {
        let key = u128::from(mix(2, number)) << 64 | u128::from(mix(3, number));
        let claim = ClaimId {
            agent: AgentId(1),
            serial: number,
        };
        table.claim(Instant::ZERO, KeyHash(key), claim);
    }
    assert_eq!(table.len(), count, "a measured claim was not recorded");
    table
}

/// Memory of an agent's decisions about `flows` flows, in bytes.
pub fn flow_bytes(flows: usize) -> f64 {
    probe::growth(COPIES, || handoff(flows))
}

/// Memory of a member's table of `count` claims, in bytes.
pub fn claim_bytes(count: usize) -> f64 {
    probe::growth(COPIES, || claims(count))
}

pub fn measure() -> Vec<Series> {
    vec![
        Series::new(
            "flow decisions held, bytes",
            "decisions",
            sizes(MAX_DECISIONS),
            |size| probe::growth_in_child(PART_FLOWS, size),
        ),
        Series::new("claims held, bytes", "claims", sizes(CLAIMS_MAX), |size| {
            probe::growth_in_child(PART_CLAIMS, size)
        }),
    ]
}
