//! Resets only on certainty: no flow of a running target is reset, whatever processes stop, start,
//! pause or lose datagrams, in series and overlapping. The list of agents is what balancers were
//! told since their start.

mod world;

use std::collections::BTreeSet;
use std::ops::Range;
use std::sync::Mutex;
use std::thread;

use monsoon_flow::FlowKey;
use monsoon_model::Duration;
use world::{Seen, World, caller};

const BALANCERS: u8 = 3;
const AGENTS: u8 = 5;
const FLOWS: u16 = 8;
/// Seeds played by default. `MONSOON_CERTAINTY_SEEDS=0..2000` plays others.
const SEEDS: Range<u64> = 0..240;

fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var("MONSOON_CERTAINTY_SEEDS") else {
        return SEEDS;
    };
    let (from, to) = text
        .split_once("..")
        .expect("MONSOON_CERTAINTY_SEEDS=FROM..TO");
    let number = |text: &str| text.parse::<u64>().expect("seeds are numbers");
    number(from)..number(to)
}

fn random_time(world: &mut World, from: u64, to: u64) -> Duration {
    Duration::from_millis(from + world.random(to - from))
}

/// Plays faults in series. Returns the flows that were reset although their targets ran.
fn wrong_resets(seed: u64) -> Vec<String> {
    let mut world = World::with_lists(seed, BALANCERS, AGENTS);
    world.loss_percent = seed % 3;
    let keys: Vec<FlowKey> = (1..=FLOWS).map(caller).collect();
    let mut open: BTreeSet<FlowKey> = keys
        .into_iter()
        .filter(|&key| world.open_flow(key))
        .collect();
    let mut wrong = Vec::new();
    for _ in 0..3 {
        inject(&mut world);
        for _ in 0..6 {
            for &key in &open {
                let (_, offer, _) = world.open[&key];
                world.send(world::data(key, offer + 1));
            }
            world.run(Duration::from_millis(400));
            open.retain(|key| {
                let was_reset = world
                    .seen
                    .get(key)
                    .is_some_and(|s| s.contains(&Seen::Reset));
                let (target, _, id) = world.open[key];
                if was_reset && world.targets[&target].id == id {
                    wrong.push(format!(
                        "seed {seed}: {key}\n{}",
                        world.trace[key].join("\n")
                    ));
                }
                !was_reset
            });
        }
    }
    wrong
}

/// One fault or several at once. Every process is back within 2.5 s.
fn inject(world: &mut World) {
    let agent = world.random(u64::from(AGENTS)) as u8 + 1;
    match world.random(6) {
        0 => {
            let pause = random_time(world, 300, 2_500);
            world.suspend_agent(agent, pause);
        }
        1 => {
            let down = random_time(world, 200, 1_700);
            world.stop_agent(agent, down);
        }
        2 => {
            // All balancers are replaced while an agent is suspended.
            let pause = random_time(world, 300, 2_500);
            world.suspend_agent(agent, pause);
            for number in 1..=BALANCERS {
                world.stop_balancer(number);
            }
            for number in 1..=BALANCERS {
                let gap = random_time(world, 0, 300);
                world.run(gap);
                world.start_balancer(number);
            }
        }
        3 => {
            // All processes are killed and start together; an agent is suspended soon after.
            for number in 1..=BALANCERS {
                world.stop_balancer(number);
            }
            let down = random_time(world, 500, 1_700);
            for number in 1..=AGENTS {
                world.stop_agent(number, down);
            }
            world.run(down);
            for number in 1..=BALANCERS {
                world.start_balancer(number);
            }
            let after = random_time(world, 100, 600);
            world.run(after);
            let pause = random_time(world, 300, 2_500);
            world.suspend_agent(agent, pause);
        }
        4 => {
            let number = world.random(u64::from(BALANCERS)) as u8 + 1;
            world.stop_balancer(number);
            let down = random_time(world, 100, 1_000);
            world.run(down);
            world.start_balancer(number);
        }
        _ => {
            world.replace_target(agent);
            let pause = random_time(world, 300, 1_500);
            let other = agent % AGENTS + 1;
            world.suspend_agent(other, pause);
        }
    }
}

/// Load pattern: open flows with a request every 0.4 s while processes are lost. Guards against a
/// balancer that takes an incomplete list of agents for complete, and against an agent that ends
/// flows which were never its own.
#[test]
fn no_flow_of_a_running_target_is_reset() {
    let seeds = Mutex::new(seeds());
    let wrong = Mutex::new(Vec::new());
    let threads = thread::available_parallelism().map_or(1, usize::from);
    thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                while let Some(seed) = { seeds.lock().expect("no panic here").next() } {
                    let found = wrong_resets(seed);
                    wrong.lock().expect("no panic here").extend(found);
                }
            });
        }
    });
    let wrong = wrong.into_inner().expect("no panic in a run");
    assert!(wrong.is_empty(), "{} resets\n{}", wrong.len(), wrong[0]);
}
