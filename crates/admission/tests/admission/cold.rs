//! A cold target is never overrun once the agent can know that it is cold.

use monsoon_admission::TargetState;
use monsoon_model::{Duration, Instant};

use crate::sim::{Plan, Sim, plan};

/// Cold at the start and once more, without warning, under 2 times the capacity.
fn episodes(seed: u64, pace: f64) -> Plan {
    let turn = Instant::from_secs(40) + Duration::from_micros(seed * 7_919);
    let cold = vec![
        (Instant::ZERO, Instant::from_secs(12)),
        (turn, turn + Duration::from_secs(20)),
    ];
    Plan {
        cold,
        ..plan(seed, pace, 2.0, 100)
    }
}

/// Guards against trusting the endpoint's "ready" while it lags behind the target.
#[test]
fn lagging_reports_do_not_overrun() {
    for seed in 0..8 {
        let pace = 1.0 + (seed % 4) as f64;
        let lag = Some(Duration::from_millis(seed * 250));
        let sim = Sim::new(Plan {
            lag,
            slow: 1.0,
            ..episodes(seed, pace)
        })
        .run();
        assert_eq!(sim.stats.later, 0, "seed {seed}: overrun after evidence");
        assert!(
            sim.stats.first <= 2,
            "seed {seed}: {} overruns",
            sim.stats.first
        );
        assert_eq!(
            sim.admission.state(),
            TargetState::Ready,
            "seed {seed}: did not recover"
        );
        assert_eq!(
            sim.admission.load().limit,
            4_000,
            "seed {seed}: limit did not recover"
        );
    }
}

/// Guards against following an endpoint that always says "ready": latency alone must hold the
/// limit down.
#[test]
fn misleading_reports_do_not_overrun() {
    for seed in 0..8 {
        let pace = 1.0 + (seed % 4) as f64;
        // The first start has no baseline to compare with, so the target starts warm here.
        let mut plan = Plan {
            lag: None,
            slow: 3.0,
            ..episodes(seed, pace)
        };
        plan.cold.remove(0);
        let sim = Sim::new(plan).run();
        assert_eq!(sim.stats.later, 0, "seed {seed}: overrun after evidence");
        assert_eq!(
            sim.admission.state(),
            TargetState::Ready,
            "seed {seed}: did not recover"
        );
    }
}

/// Guards against a constant rate of attempts when a cold target cannot be told from a warm one:
/// no report and unchanged latency. The time between attempts must double.
#[test]
fn hidden_cold_is_overrun_rarely() {
    for seed in 0..8 {
        let sim = Sim::new(Plan {
            lag: None,
            slow: 1.0,
            ..episodes(seed, 1.0)
        })
        .run();
        let overruns = sim.stats.first + sim.stats.later;
        // 12 s and 20 s of cold allow attempts after 4 and 8 s, and one more at each turn.
        assert!(overruns <= 6, "seed {seed}: {overruns} overruns");
    }
}
