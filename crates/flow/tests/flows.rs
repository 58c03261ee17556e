//! Flows through balancers and agents that stop, restart and lose datagrams.

mod world;

use monsoon_model::Duration;
use quickcheck::{QuickCheck, TestResult};
use world::{Seen, World, caller, other_targets};

/// Guards against a restarted balancer that guesses the owner of a flow, so that packets reach
/// other targets, which return them.
#[test]
fn any_balancer_finds_the_owner_of_an_open_flow() {
    let mut world = World::new(1, 3, 4);
    let key = caller(1);
    assert!(world.open_flow(key));
    let (own_target, ..) = world.open[&key];
    for number in 1..=3 {
        world.balancers.remove(&number);
        world.start_balancer(number);
    }
    world.run(Duration::from_secs(2));
    for _ in 0..10 {
        let seen = world.request(key);
        assert!(seen.contains(&Seen::Answer), "{seen:?}");
        assert!(other_targets(&seen, own_target).is_empty(), "{seen:?}");
    }
}

/// Guards against the loss of flows when an agent restarts beside its running target.
#[test]
fn a_restarted_agent_learns_the_flows_of_its_running_target() {
    let mut world = World::new(2, 2, 4);
    let key = caller(1);
    assert!(world.open_flow(key));
    let (own_target, ..) = world.open[&key];
    world.restart_agent(own_target);
    for number in 1..=2 {
        world.start_balancer(number);
    }
    world.run(Duration::from_secs(2));
    let seen = world.request(key);
    assert!(seen.contains(&Seen::Answer), "{seen:?}");
    assert!(!seen.contains(&Seen::Reset), "{seen:?}");
}

/// Guards against packets that miss the target of their flow when all agents restarted and none can
/// tell whether it owns the flow.
#[test]
fn the_owner_of_a_flow_is_found_after_all_agents_restarted() {
    let mut world = World::new(3, 2, 5);
    let key = caller(1);
    assert!(world.open_flow(key));
    let (own_target, ..) = world.open[&key];
    for number in 1..=5 {
        world.restart_agent(number);
    }
    for number in 1..=2 {
        world.start_balancer(number);
    }
    world.run(Duration::from_secs(2));
    let seen = world.request(key);
    assert!(seen.contains(&Seen::Target(own_target)), "{seen:?}");
    assert!(seen.contains(&Seen::Answer), "{seen:?}");
    assert!(!seen.contains(&Seen::Reset), "{seen:?}");
    let again = world.request(key);
    assert!(other_targets(&again, own_target).is_empty(), "{again:?}");
}

/// Guards against callers that wait until their deadline on a flow whose target has ended.
#[test]
fn a_flow_of_an_ended_lifetime_is_reset() {
    let mut world = World::new(4, 2, 3);
    let key = caller(1);
    assert!(world.open_flow(key));
    let (own_target, ..) = world.open[&key];
    world.replace_target(own_target);
    world.run(Duration::from_millis(100));
    assert!(world.request(key).contains(&Seen::Reset));
}

/// Guards against a reset without certainty: an agent that does not reply may still own the flow.
#[test]
fn a_flow_of_an_unresponsive_agent_is_not_reset() {
    let mut world = World::new(5, 2, 3);
    let key = caller(1);
    assert!(world.open_flow(key));
    let (own_target, ..) = world.open[&key];
    let agent = world.agents.remove(&own_target).expect("agent runs");
    world.start_balancer(1);
    let seen = world.request(key);
    assert!(!seen.contains(&Seen::Reset), "{seen:?}");
    world.agents.insert(own_target, agent);
    assert!(world.request(key).contains(&Seen::Answer));
}

/// Guards against new flows that wait for a dead agent until the membership detects its death.
#[test]
fn an_unanswered_opening_goes_to_another_agent() {
    let mut world = World::new(6, 1, 3);
    let first: Vec<_> = (1..=12).map(caller).collect();
    for &key in &first {
        assert!(world.open_flow(key));
    }
    let counts = |world: &World, n: u8| {
        world
            .open
            .values()
            .filter(|(own_target, ..)| *own_target == n)
            .count()
    };
    let busiest = (1..=3)
        .max_by_key(|&n| counts(&world, n))
        .expect("three agents");
    let agent = world.agents.remove(&busiest).expect("agent runs");
    // The membership has not detected it yet.
    let mut opened = 0;
    for number in 13..=24 {
        let views = world::views(1..=3);
        let now = world.now;
        let balancer = world.balancers.get_mut(&1).expect("balancer runs");
        balancer.set_targets(now, views);
        opened += usize::from(world.open_flow(caller(number)));
    }
    assert_eq!(opened, 12);
    world.agents.insert(busiest, agent);
}

/// Guards against new flows that wait at a target which receives packets and never answers.
#[test]
fn an_opening_that_a_target_leaves_unanswered_is_passed_on() {
    let mut world = World::new(7, 1, 3);
    world.targets.get_mut(&2).expect("target exists").is_up = false;
    for number in 1..=12 {
        assert!(world.open_flow(caller(number)));
    }
    assert!(world.open.values().all(|(own_target, ..)| *own_target != 2));
}

/// Guards against resets of open flows, and against packets at other targets, when balancers and
/// agents restart in any order and datagrams are lost.
#[test]
fn flows_survive_restarts_in_any_order() {
    fn survives(seed: u64) -> TestResult {
        let mut world = World::new(seed, 3, 4);
        world.loss_percent = seed % 4;
        let keys: Vec<_> = (1..=6).map(caller).collect();
        let opened: Vec<_> = keys
            .into_iter()
            .filter(|&key| world.open_flow(key))
            .collect();
        for _ in 0..6 {
            let number = world.random(4) as u8;
            match world.random(3) {
                0 => world.restart_agent(number + 1),
                1 => world.start_balancer(number % 3 + 1),
                _ => {
                    world.balancers.remove(&(number % 3 + 1));
                    world.run(Duration::from_millis(100));
                    world.start_balancer(number % 3 + 1);
                }
            }
            world.run(Duration::from_millis(300));
            for &key in &opened {
                let own_target = world.open[&key].0;
                let events = world.request(key);
                if events.contains(&Seen::Reset) {
                    let trace = world.trace[&key].join("\n");
                    return TestResult::error(format!("seed {seed}: reset of {key}\n{trace}"));
                }
                if other_targets(&events, own_target).len() >= 3
                    && !events.contains(&Seen::Target(own_target))
                {
                    return TestResult::error(format!(
                        "seed {seed}: packets of {key} missed its target: {events:?}"
                    ));
                }
            }
        }
        TestResult::passed()
    }
    for seed in 0..60 {
        let result = survives(seed);
        assert!(!result.is_failure(), "{result:?}");
    }
    QuickCheck::new()
        .tests(20)
        .quickcheck(survives as fn(u64) -> TestResult);
}
