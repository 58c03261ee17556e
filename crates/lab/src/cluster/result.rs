//! Measured results of one run.

use std::fmt::Write as _;

use monsoon_metrics::{Histograms, Outcome};
use monsoon_model::Duration;

use super::Setup;

/// Results of one run, after the warm-up.
#[derive(Clone, Debug, Default)]
pub struct Results {
    pub latency: Histograms,
    /// Busy time per target.
    pub busy: Vec<Duration>,
    /// Responses per class.
    pub good: Vec<u64>,
    pub requests: u64,
    /// Retries over requests, from the start of the run.
    pub retries: f64,
    pub forwards: u64,
    /// Starts that overran a cold target before any evidence of the episode: a failure or a report.
    pub unforeseen: u64,
    /// Starts that overran a cold target after that.
    pub overruns: u64,
    /// Starts at cold targets.
    pub cold_starts: u64,
    pub queued_max: u32,
}

impl Results {
    /// Share of its slots that each target was busy.
    pub fn uses(&self, setup: &Setup) -> Vec<f64> {
        let span = setup.end.since(setup.warm_up).as_secs_f64() * f64::from(setup.slots);
        self.busy.iter().map(|b| b.as_secs_f64() / span).collect()
    }

    /// Smallest, mean and largest use, and the largest over the mean.
    pub fn spread(&self, setup: &Setup) -> String {
        let uses = self.uses(setup);
        let mean = uses.iter().sum::<f64>() / uses.len() as f64;
        let most = uses.iter().copied().fold(0.0, f64::max);
        let least = uses.iter().copied().fold(f64::MAX, f64::min);
        format!("{least:.3} {mean:.3} {most:.3} {:.2}", most / mean)
    }

    /// Responses as busy time at speed 1 over the capacity.
    pub fn goodput(&self, setup: &Setup) -> f64 {
        let work = |(class, good): (usize, &u64)| {
            *good as f64 * setup.classes[class].service.as_secs_f64()
        };
        let done: f64 = self.good.iter().enumerate().map(work).sum();
        done / setup.end.since(setup.warm_up).as_secs_f64() / setup.capacity()
    }

    /// One cell per class: median and 99th percentile in milliseconds.
    pub fn classes(&self, setup: &Setup) -> String {
        let rows = self.latency.snapshot();
        let mut text = String::new();
        for class in &setup.classes {
            let row = rows.iter().find(|r| r.class == class.name);
            let (p50, p99) = row.map_or((0, 0), |r| (r.p50, r.p99));
            write!(text, "| {:.1} / {:.1} ", p50 as f64 / 1e3, p99 as f64 / 1e3)
                .expect("writing to a string");
        }
        text
    }

    /// Refused and unknown shares of the requests, in percent.
    pub fn lost(&self) -> (f64, f64) {
        let rows = self.latency.snapshot();
        let sum = |f: fn(&monsoon_metrics::Row) -> u64| rows.iter().map(f).sum::<u64>() as f64;
        let all = self.requests.max(1) as f64 / 100.0;
        (sum(|r| r.refused) / all, sum(|r| r.unknown) / all)
    }

    pub fn count(&mut self, class: &str, outcome: Outcome) {
        self.latency.count_outcome("prodejna", class, outcome);
    }
}
