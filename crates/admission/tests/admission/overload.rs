//! Goodput, queues and shares under overload.

use monsoon_admission::{QUEUE_PER_SLOT, ShedReason};
use monsoon_model::Duration;

use crate::sim::{Plan, Sim, plan};

fn good(seed: u64, pace: f64, load: f64) -> Sim {
    Sim::new(plan(seed, pace, load, 60)).run()
}

/// Guards against collapse: at 2 and 5 times the capacity the goodput stays at 90 % of that at
/// capacity at least, also where the deadline is shorter than the wait in a full queue, and no
/// queue exceeds its bound.
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
        let busy = |sim: &Sim| sim.stats.good[0] + 3 * sim.stats.good[1];
        let at_capacity = busy(&run(1.0));
        for load in [2.0, 5.0] {
            let sim = run(load);
            let share = busy(&sim) as f64 / at_capacity as f64;
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

/// Guards against shedding by arrival rate: a class of weight 2 gets twice the starts.
#[test]
fn classes_are_shed_by_weight() {
    for seed in 0..4 {
        let sim = good(seed, 1.0, 5.0);
        let ratio = sim.stats.good[0] as f64 / sim.stats.good[1] as f64;
        assert!(
            (1.8..=2.2).contains(&ratio),
            "seed {seed}: ratio {ratio:.2}"
        );
    }
}

/// Guards against queueing what cannot be served: most refusals must come at once, with the reason
/// that the deadline cannot be met or the queue is full.
#[test]
fn refusals_have_a_reason() {
    let sim = good(1, 1.0, 5.0);
    let of = |reason| sim.stats.shed.get(&reason).copied().unwrap_or(0);
    assert!(of(ShedReason::Deadline) + of(ShedReason::QueueFull) > 1_000);
    assert_eq!(of(ShedReason::Leaving) + of(ShedReason::Connections), 0);
}
