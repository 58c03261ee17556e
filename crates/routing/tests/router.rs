//! Tests of routes under table changes, evacuations and dead agents.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::{Rng, address, candidate};
use monsoon_model::{AgentId, DataCentreId, Duration, Instant, MAX_HOPS, ServiceId};
use monsoon_routing::{
    Candidate, Destination, DropReason, GRACE_MIN_AGE, MAX_DEAD_AGENTS, PacketKind, RESET_DELAY,
    Route, Router,
};

const SERVICE: ServiceId = ServiceId(1);

fn established(candidate: &Candidate) -> PacketKind {
    let Candidate {
        id,
        agent,
        data_centre,
        ..
    } = *candidate;
    PacketKind::Established(Destination {
        agent,
        service: SERVICE,
        data_centre,
        epoch: id.epoch(),
    })
}

/// Guards against established flows that are moved or dropped by a table change, and against chains
/// that contain a dead agent or one in an evacuated data centre.
#[test]
fn routes_exclude_dead_and_evacuated_agents() {
    for seed in 0..4 {
        let mut rng = Rng(seed);
        let mut router = Router::new();
        let mut evacuations = BTreeSet::new();
        let mut died_at = BTreeMap::new();
        let all: Vec<_> = (1..16).map(|id| candidate(id, 1 + id as u32 % 5)).collect();
        for step in 0..80 {
            let now = Instant::from_millis(1_500 * step);
            let agent = address(1 + rng.below(15));
            match rng.below(4) {
                0 => {
                    evacuations = (1..4)
                        .filter(|_| rng.below(3) == 0)
                        .map(DataCentreId)
                        .collect();
                    router.set_evacuations(now, evacuations.clone());
                }
                1 => {
                    died_at.entry(agent).or_insert(now);
                    let epoch = all
                        .iter()
                        .find(|c| c.agent == agent)
                        .map_or(0, |c| c.id.epoch());
                    router.mark_dead(now, agent, epoch);
                }
                2 => {
                    died_at.remove(&agent);
                    let epoch = all
                        .iter()
                        .find(|c| c.agent == agent)
                        .map_or(0, |c| c.id.epoch());
                    router.mark_alive(agent, epoch);
                }
                _ => {
                    let ready: Vec<_> = all.iter().filter(|_| rng.below(2) == 0).copied().collect();
                    router.update(now, SERVICE, ready);
                }
            }
            let later = Instant::from_millis(1_500 * step + 1_200);
            for flow in &all {
                let death = died_at.get(&flow.agent);
                let is_dead = death.is_some_and(|at| later.since(*at) >= RESET_DELAY);
                let is_reset = evacuations.contains(&flow.data_centre) || is_dead;
                let alive = Route::Established(flow.agent);
                let expected = if is_reset { Route::Reset } else { alive };
                assert_eq!(router.route(later, SERVICE, established(flow)), expected);
            }
            for _ in 0..50 {
                let kind = PacketKind::New { key: rng.next() };
                let Route::New(chain) = router.route(now, SERVICE, kind) else {
                    continue;
                };
                let agents: BTreeSet<_> = chain.hops().iter().map(|hop| hop.agent).collect();
                assert!(agents.len() == chain.len() && (1..=MAX_HOPS).contains(&chain.len()));
                for hop in chain.hops() {
                    let hop_candidate = all.iter().find(|c| c.agent == hop.agent);
                    assert!(!died_at.contains_key(&hop.agent), "seed {seed} step {step}");
                    assert!(hop_candidate.is_some_and(|c| !evacuations.contains(&c.data_centre)));
                }
            }
        }
    }
}

/// Guards against an evacuated data centre that receives packets for too long, also from a new
/// balancer, or whose flows are reset too early, and against drops that are not counted.
#[test]
fn evacuation_resets_after_grace_and_drops_are_counted() {
    let mut router = Router::new();
    let flow = candidate(1, 1);
    let evacuations = BTreeSet::from([flow.data_centre]);
    router.update(Instant::ZERO, SERVICE, [flow]);
    let mut new_router = Router::new();
    new_router.update(Instant::from_millis(2), SERVICE, [flow]);
    new_router.set_evacuations(Instant::from_millis(9), evacuations.clone());
    let route = new_router.route(Instant::from_millis(9), SERVICE, established(&flow));
    assert_eq!(route, Route::Reset, "a new router gives no grace period");
    let at = |millis| Instant::ZERO + GRACE_MIN_AGE + Duration::from_millis(millis);
    router.set_evacuations(at(10), evacuations.clone());
    router.set_evacuations(at(900), evacuations);
    let (known, new) = (established(&flow), PacketKind::New { key: 0 });
    let other = ServiceId(2);
    for (now, service, kind, expected) in [
        (1_009, SERVICE, known, Route::Established(flow.agent)),
        (1_010, SERVICE, known, Route::Reset),
        (11, SERVICE, new, Route::Drop(DropReason::NoTarget)),
        (11, other, new, Route::Drop(DropReason::UnknownService)),
        (11, other, known, Route::Drop(DropReason::OtherService)),
        (
            11,
            SERVICE,
            PacketKind::Unverified,
            Route::Drop(DropReason::Unverified),
        ),
    ] {
        assert_eq!(router.route(at(now), service, kind), expected);
    }
    router.set_evacuations(at(2_000), BTreeSet::new());
    assert!(matches!(router.route(at(2_000), SERVICE, new), Route::New(chain) if chain.len() == 1));
    for id in 0..=MAX_DEAD_AGENTS as u64 {
        router.mark_dead(at(3_000 + id), address(id + 2), (id + 2) as u8);
    }
    let kind = established(&candidate(2, 1));
    let route = router.route(at(8_000), SERVICE, kind);
    assert_eq!(route, Route::Established(address(2)));
    insta::assert_debug_snapshot!(router.counters());
}

/// Guards against resets of an agent's flows because an earlier process at its address died. The
/// epoch in the connection ID distinguishes the two. Flows of an agent that left are reset at once.
#[test]
fn restart_at_the_same_address_keeps_its_flows() {
    let mut router = Router::new();
    let old = candidate(1, 1);
    let new = Candidate {
        id: AgentId(2),
        ..old
    };
    router.update(Instant::ZERO, SERVICE, [old]);
    let (died_at, late) = (Instant::from_secs(10), Instant::from_secs(60));
    router.mark_dead(died_at, old.agent, old.id.epoch());
    let alive = Route::Established(old.agent);
    let mut route = |now, flow| router.route(now, SERVICE, established(&flow));
    assert_eq!(route(died_at, old), alive);
    assert_eq!(route(late, old), Route::Reset);
    assert_eq!(route(late, new), alive);
    router.mark_left(late, new.agent, new.id.epoch());
    assert_eq!(router.route(late, SERVICE, established(&new)), Route::Reset);
}
