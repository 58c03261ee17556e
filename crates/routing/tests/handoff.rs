//! Tests of an agent's decisions about first packets.

mod common;

use std::fmt::Write as _;

use common::address;
use monsoon_model::{Chain, Hop, Instant};
use monsoon_routing::{Decision, Handoff, Load, MAX_DECISIONS, redirect};

/// Chain of agents by ID. A negative ID means a known-only hop.
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

fn load(name: &str) -> Load {
    let used = if name == "busy" { 4 } else { 0 };
    Load {
        used,
        limit: 4,
        leaving: name == "leaving",
    }
}

/// Decides about a packet given as time in milliseconds, chain, hop and load.
fn decide(handoff: &mut Handoff, packet: &str) -> Decision {
    let fields: Vec<_> = packet.split(' ').collect();
    let agents: Vec<i64> = fields[1]
        .split(',')
        .map(|id| id.parse().expect("agent"))
        .collect();
    let now = Instant::from_millis(fields[0].parse().expect("time"));
    let hop = fields[2].parse().expect("hop");
    handoff.decide(now, 9, &chain(&agents), hop, load(fields[3]))
}

/// Guards against flows accepted by an agent that must not accept them, and against flows accepted
/// by two agents because a packet does not follow the decision about an earlier one.
#[test]
fn decisions_depend_on_hop_load_and_memory() {
    let cases = [
        ("idle agent accepts", "0 1,2 0 idle"),
        (
            "busy agent passes, also when idle later",
            "0 1,2 0 busy; 1 1,2 0 idle",
        ),
        ("known-only hop passes", "0 -1,2 0 idle"),
        ("known flow stays", "0 1,2 0 idle; 1 -1,3 0 leaving"),
        ("last hop accepts when busy", "0 2,1 1 busy"),
        ("leaving agent passes", "0 1,2 0 leaving"),
        ("leaving last hop refuses", "0 1 0 leaving"),
        ("known-only last hop refuses", "0 -1 0 idle"),
        ("absent hop counts as last", "0 1 7 idle"),
        (
            "passed flow skips a hop",
            "0 1,3 0 busy; 1 -1,-2,3,4 0 idle",
        ),
        (
            "passed flow leaves the chain",
            "0 -1,3 0 idle; 1 1,2 0 idle",
        ),
        (
            "passed flow leaves a full chain",
            "0 1,5 0 busy; 1 -2,-3,4,1 3 busy",
        ),
        (
            "cycle goes to the smallest address",
            "0 1,2 0 busy; 1 -2,1 1 busy",
        ),
        (
            "cycle skips a larger address",
            "0 3,2 0 busy; 1 -2,3 1 busy",
        ),
        (
            "last agent of the longest path accepts",
            "0 1,5 0 busy; 1 2,3,4,1 15 busy",
        ),
        ("decision expires", "0 1,2 0 busy; 10000 1,2 0 idle"),
    ];
    let mut text = String::new();
    for (title, packets) in cases {
        let mut handoff = Handoff::new();
        let decide = |packet| decide(&mut handoff, packet);
        let decisions: Vec<_> = packets.split("; ").map(decide).collect();
        writeln!(text, "{title}: {packets}: {decisions:?}").expect("writing to a string");
    }
    insta::assert_snapshot!(text);
}

/// Guards against a redirected packet that loops without end or skips the current candidates.
#[test]
fn redirected_chain_keeps_the_visited_hops() {
    let full = chain(&[-1, -2, 3, 4]);
    assert_eq!(redirect(&full, 0, address(9)), (chain(&[-1, -9, 3, 4]), 1));
    assert_eq!(redirect(&full, 1, address(4)), (chain(&[-1, -2, -4, 3]), 2));
    assert_eq!(redirect(&full, 2, address(9)), (chain(&[-1, -2, 3, 9]), 3));
    assert_eq!(redirect(&full, 3, address(9)), (chain(&[-2, 3, 4, 9]), 4));
    assert_eq!(redirect(&full, 7, address(9)), (chain(&[-2, 3, 4, 9]), 8));
}

/// Guards against memory use that grows with the number of flows.
#[test]
fn remembered_decisions_are_bounded() {
    let mut handoff = Handoff::new();
    let now = Instant::from_secs(1);
    let two = chain(&[1, 2]);
    for key in 0..MAX_DECISIONS as u64 + 10 {
        assert_eq!(
            handoff.decide(now, key, &two, 0, load("busy")),
            Decision::Pass(1)
        );
    }
    assert_eq!(handoff.len(), MAX_DECISIONS);
    assert_eq!(handoff.counters().evicted, 10);
    assert_eq!(
        handoff.decide(now, 9, &two, 0, load("idle")),
        Decision::Accept
    );
    assert_eq!(
        handoff.decide(now, 11, &two, 0, load("idle")),
        Decision::Pass(1)
    );
}

/// Guards against a flow that is passed to an agent in an evacuated data centre because of an
/// earlier decision, and against accepted flows that are no longer known.
#[test]
fn evacuation_clears_passed_flows() {
    let mut handoff = Handoff::new();
    assert_eq!(decide(&mut handoff, "0 1,2 0 busy"), Decision::Pass(1));
    handoff.clear_passed();
    assert!(handoff.is_empty());
    assert_eq!(decide(&mut handoff, "1 1,3 0 idle"), Decision::Accept);
    handoff.clear_passed();
    assert_eq!(decide(&mut handoff, "2 -1,3 0 busy"), Decision::Accept);
}
