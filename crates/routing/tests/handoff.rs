//! Rules of an agent for first packets, one at a time.

mod common;

use std::fmt::Write as _;

use common::address;
use monsoon_model::{Chain, Hop, Instant};
use monsoon_routing::{Decision, Handoff, Load, MAX_REMEMBERED, redirect};

const IDLE: Load = Load {
    used: 0,
    limit: 4,
    leaving: false,
};
const BUSY: Load = Load { used: 4, ..IDLE };
const LEAVING: Load = Load {
    leaving: true,
    ..IDLE
};

/// Title, then time, chain, hop and load of each packet.
type Case = (&'static str, &'static [(u64, &'static [i64], usize, Load)]);

/// Chain of agents; a negative number is known-only.
fn chain(agents: &[i64]) -> Chain {
    agents.iter().fold(Chain::default(), |mut chain, id| {
        let hop = Hop {
            agent: address(id.unsigned_abs()),
            known_only: *id < 0,
        };
        chain.push(hop).expect("at most 4 hops");
        chain
    })
}

/// Guards against flows that are accepted where they may not be, or that two agents get because a
/// packet does not follow an earlier one.
#[test]
fn decisions_follow_the_rules() {
    let at = Instant::from_millis;
    let cases: &[Case] = &[
        ("idle agent accepts", &[(0, &[1, 2], 0, IDLE)]),
        (
            "busy agent passes, also when idle later",
            &[(0, &[1, 2], 0, BUSY), (1, &[1, 2], 0, IDLE)],
        ),
        ("known-only hop passes", &[(0, &[-1, 2], 0, IDLE)]),
        (
            "known flow stays",
            &[(0, &[1, 2], 0, IDLE), (1, &[-1, 3], 0, LEAVING)],
        ),
        ("last hop accepts when busy", &[(0, &[2, 1], 1, BUSY)]),
        ("leaving agent passes", &[(0, &[1, 2], 0, LEAVING)]),
        ("leaving last hop refuses", &[(0, &[1], 0, LEAVING)]),
        ("known-only last hop refuses", &[(0, &[-1], 0, IDLE)]),
        ("absent hop counts as last", &[(0, &[], 7, IDLE)]),
        (
            "passed flow skips a hop",
            &[(0, &[1, 3], 0, BUSY), (1, &[-1, -2, 3, 4], 0, IDLE)],
        ),
        (
            "passed flow leaves the chain",
            &[(0, &[-1, 3], 0, IDLE), (1, &[1, 2], 0, IDLE)],
        ),
        (
            "also from a full chain",
            &[(0, &[1, 5], 0, BUSY), (1, &[-2, -3, 4, 1], 3, BUSY)],
        ),
        (
            "cycle goes to the smallest address",
            &[(0, &[1, 2], 0, BUSY), (1, &[-2, 1], 1, BUSY)],
        ),
        (
            "and not to a larger one",
            &[(0, &[3, 2], 0, BUSY), (1, &[-2, 3], 1, BUSY)],
        ),
        (
            "longest path ends",
            &[(0, &[1, 5], 0, BUSY), (1, &[2, 3, 4, 1], 15, BUSY)],
        ),
        (
            "memory ends",
            &[(0, &[1, 2], 0, BUSY), (10_000, &[1, 2], 0, IDLE)],
        ),
    ];
    let mut text = String::new();
    for (title, packets) in cases {
        let mut handoff = Handoff::new();
        let decisions = packets.iter().map(|(now, agents, hop, load)| {
            format!(
                "{:?}",
                handoff.decide(at(*now), 9, &chain(agents), *hop, *load)
            )
        });
        let decisions = decisions.collect::<Vec<_>>().join(", ");
        writeln!(text, "{title}: {decisions}").expect("writing to a string");
    }
    insta::assert_snapshot!(text);
}

/// Guards against a redirected packet that can circle without end or that skips the current
/// candidates.
#[test]
fn redirected_chain_keeps_the_visited_hops() {
    let full = chain(&[-1, -2, 3, 4]);
    assert_eq!(redirect(&full, 0, address(9)), (chain(&[-1, -9, 3, 4]), 1));
    assert_eq!(redirect(&full, 1, address(4)), (chain(&[-1, -2, -4, 3]), 2));
    assert_eq!(redirect(&full, 2, address(9)), (chain(&[-1, -2, 3, 9]), 3));
    assert_eq!(redirect(&full, 3, address(9)), (chain(&[-2, 3, 4, 9]), 4));
    assert_eq!(redirect(&full, 7, address(9)), (chain(&[-2, 3, 4, 9]), 8));
}

/// Guards against memory that grows with the number of flows.
#[test]
fn memory_is_bounded() {
    let mut handoff = Handoff::new();
    let now = Instant::from_secs(1);
    for key in 0..MAX_REMEMBERED as u64 + 10 {
        assert_eq!(
            handoff.decide(now, key, &chain(&[1, 2]), 0, BUSY),
            Decision::Pass(1)
        );
    }
    assert_eq!(handoff.len(), MAX_REMEMBERED);
    assert_eq!(handoff.counters().evicted, 10);
    assert_eq!(
        handoff.decide(now, 9, &chain(&[1, 2]), 0, IDLE),
        Decision::Accept
    );
    assert_eq!(
        handoff.decide(now, 11, &chain(&[1, 2]), 0, IDLE),
        Decision::Pass(1)
    );
}
