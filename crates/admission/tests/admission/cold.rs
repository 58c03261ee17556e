//! Simulated cold phases: a cold target must not be overrun once the agent can know that it is
//! cold.

use monsoon_admission::TargetState;
use monsoon_model::{Duration, Instant};

use crate::sim::{Plan, Sim, plan};

/// Target under twice its capacity that is cold at the start and turns cold once more.
fn cold_twice(seed: u64, target_speed: f64) -> Plan {
    let second_start = Instant::from_secs(40) + Duration::from_micros(seed * 7_919);
    let cold_intervals = vec![
        (Instant::ZERO, Instant::from_secs(12)),
        (second_start, second_start + Duration::from_secs(20)),
    ];
    Plan {
        cold_intervals,
        ..plan(seed, target_speed, 2.0, 100)
    }
}

/// Guards against a limit that rises because the health endpoint still reports "ready" after the
/// target turned cold.
#[test]
fn lagging_reports_do_not_overrun() {
    for seed in 0..8 {
        let target_speed = 1.0 + (seed % 4) as f64;
        let report_lag = Some(Duration::from_millis(seed * 250));
        let sim = Sim::new(Plan {
            report_lag,
            cold_factor: 1.0,
            ..cold_twice(seed, target_speed)
        })
        .run();
        assert_eq!(
            sim.stats.late_overruns, 0,
            "seed {seed}: overrun while known to be cold"
        );
        assert!(
            sim.stats.early_overruns <= 2,
            "seed {seed}: {} overruns",
            sim.stats.early_overruns
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

/// Guards against a limit that rises because the health endpoint always reports "ready". The
/// latency alone must keep the limit down.
#[test]
fn misleading_reports_do_not_overrun() {
    for seed in 0..8 {
        let target_speed = 1.0 + (seed % 4) as f64;
        // At the first start there is no baseline to compare with, so the target starts warm here.
        let mut plan = Plan {
            report_lag: None,
            cold_factor: 3.0,
            ..cold_twice(seed, target_speed)
        };
        plan.cold_intervals.remove(0);
        let sim = Sim::new(plan).run();
        assert_eq!(
            sim.stats.late_overruns, 0,
            "seed {seed}: overrun while known to be cold"
        );
        assert_eq!(
            sim.admission.state(),
            TargetState::Ready,
            "seed {seed}: did not recover"
        );
    }
}

/// Guards against a constant rate of attempts to warm a cold target that cannot be distinguished
/// from a warm one, because it neither reports cold nor becomes slower. The time between them must
/// double.
#[test]
fn undetectable_cold_target_is_overrun_rarely() {
    for seed in 0..8 {
        let sim = Sim::new(Plan {
            report_lag: None,
            cold_factor: 1.0,
            ..cold_twice(seed, 1.0)
        })
        .run();
        let overruns = sim.stats.early_overruns + sim.stats.late_overruns;
        // Cold phases of 12 s and 20 s allow attempts after 4 s and 8 s, and one more at each
        // start.
        assert!(overruns <= 6, "seed {seed}: {overruns} overruns");
    }
}
