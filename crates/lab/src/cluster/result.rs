//! Results of one run, and the cells of the printed tables.

use std::fmt::Write as _;

use monsoon_metrics::{Histograms, Outcome};
use monsoon_model::Duration;

use super::Setup;

/// Results of one run, counted from the start of the measurement unless said otherwise.
#[derive(Clone, Debug, Default)]
pub struct Results {
    pub latency: Histograms,
    /// Busy time of all slots of each target.
    pub busy_times: Vec<Duration>,
    /// Responses of each class.
    pub responses: Vec<u64>,
    pub requests: u64,
    /// Retries for each request, over the whole run.
    pub retry_ratio: f64,
    /// Requests that an agent forwarded to a peer.
    pub forwards: u64,
    /// Starts that overran a cold target before a health report showed that it is cold.
    pub early_overruns: u64,
    /// Starts that overran a cold target after such a report.
    pub late_overruns: u64,
    /// Requests that started at cold targets.
    pub cold_starts: u64,
    /// Most requests that were queued at one target.
    pub longest_queue: u32,
}

impl Results {
    /// Busy share of the slots of each target.
    pub fn utilisations(&self, setup: &Setup) -> Vec<f64> {
        let span = setup.end.since(setup.measured_from).as_secs_f64() * f64::from(setup.slots);
        self.busy_times
            .iter()
            .map(|time| time.as_secs_f64() / span)
            .collect()
    }

    /// Cell with the smallest, mean and largest utilisation, and the ratio of largest to mean.
    pub fn utilisation_cell(&self, setup: &Setup) -> String {
        let utilisations = self.utilisations(setup);
        let mean = utilisations.iter().sum::<f64>() / utilisations.len() as f64;
        let largest = utilisations.iter().copied().fold(0.0, f64::max);
        let smallest = utilisations.iter().copied().fold(f64::MAX, f64::min);
        format!("{smallest:.3} {mean:.3} {largest:.3} {:.2}", largest / mean)
    }

    /// Responses as busy time at speed 1, as a share of the capacity.
    pub fn goodput(&self, setup: &Setup) -> f64 {
        let work = |(class, responses): (usize, &u64)| {
            *responses as f64 * setup.classes[class].service_time.as_secs_f64()
        };
        let served: f64 = self.responses.iter().enumerate().map(work).sum();
        served / setup.end.since(setup.measured_from).as_secs_f64() / setup.capacity()
    }

    /// A cell for each class: median and 99th percentile of the latency in milliseconds.
    pub fn latency_cells(&self, setup: &Setup) -> String {
        let rows = self.latency.snapshot();
        let mut text = String::new();
        for class in &setup.classes {
            let row = rows.iter().find(|row| row.class == class.name);
            let (p50, p99) = row.map_or((0, 0), |row| (row.p50, row.p99));
            write!(text, "| {:.1} / {:.1} ", p50 as f64 / 1e3, p99 as f64 / 1e3)
                .expect("writing to a string");
        }
        text
    }

    /// Percentages of the requests that were refused and of those with an unknown outcome.
    pub fn loss_percents(&self) -> (f64, f64) {
        let rows = self.latency.snapshot();
        let total =
            |column: fn(&monsoon_metrics::Row) -> u64| rows.iter().map(column).sum::<u64>() as f64;
        let hundredth = self.requests.max(1) as f64 / 100.0;
        (
            total(|row| row.refused) / hundredth,
            total(|row| row.unknown) / hundredth,
        )
    }

    pub fn count_outcome(&mut self, class: &str, outcome: Outcome) {
        self.latency.count_outcome("prodejna", class, outcome);
    }
}
