//! Simulated overload: goodput, queue lengths and shares of the classes.

use monsoon_admission::{QUEUE_PER_SLOT, ShedReason};
use monsoon_model::Duration;

use crate::sim::{Plan, Sim, plan};

/// Runs one minute at `load` times the capacity.
fn run(seed: u64, target_speed: f64, load: f64) -> Sim {
    Sim::new(plan(seed, target_speed, load, 60)).run()
}

/// Guards against a collapse of the goodput under overload. At 2 and 5 times the capacity it must
/// be at least 90 % of that at capacity, also if the deadline is shorter than the wait in a full
/// queue. No queue may exceed its bound.
#[test]
fn goodput_holds_under_overload() {
    for (seed, millis) in (0..4).flat_map(|seed| [(seed, 150), (seed, 1_000)]) {
        let run = |load| {
            let deadline = Duration::from_millis(millis);
            let secs = 40;
            Sim::new(Plan {
                deadline,
                ..plan(seed, 1.0 + seed as f64 / 4.0, load, secs)
            })
            .run()
        };
        let goodput = |sim: &Sim| sim.stats.good[0] + 3 * sim.stats.good[1];
        let at_capacity = goodput(&run(1.0));
        for load in [2.0, 5.0] {
            let sim = run(load);
            let share = goodput(&sim) as f64 / at_capacity as f64;
            assert!(
                share >= 0.9,
                "seed {seed}, {millis} ms, load {load}: goodput {share:.3}"
            );
            let bound = 2 * 4 * QUEUE_PER_SLOT as u32;
            assert!(
                sim.stats.queued_max <= bound,
                "queue {}",
                sim.stats.queued_max
            );
        }
    }
}

/// Guards against shedding by arrival rate instead of weight: a class of weight 2 must start twice
/// as many requests as one of weight 1.
#[test]
fn classes_are_shed_by_weight() {
    for seed in 0..4 {
        let sim = run(seed, 1.0, 5.0);
        let ratio = sim.stats.good[0] as f64 / sim.stats.good[1] as f64;
        assert!(
            (1.8..=2.2).contains(&ratio),
            "seed {seed}: ratio {ratio:.2}"
        );
    }
}

/// Guards against queueing requests that cannot be served. Overload must be shed because the
/// deadline cannot be met or the queue is full, and for no reason that does not apply.
#[test]
fn overload_is_shed_by_deadline_or_full_queue() {
    let sim = run(1, 1.0, 5.0);
    let shed = |reason| sim.stats.shed.get(&reason).copied().unwrap_or(0);
    assert!(shed(ShedReason::Deadline) + shed(ShedReason::QueueFull) > 1_000);
    assert_eq!(shed(ShedReason::Leaving) + shed(ShedReason::Connections), 0);
}
