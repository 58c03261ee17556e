//! Recording of latencies and outcomes, and merging of rows.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use monsoon_model::Duration;

use crate::row::{OTHER, Row, RowError, decode, encode};

/// Most series, each for one pair of client account and class. Further pairs share the series
/// [`OTHER`], so that names from the network cannot exhaust the memory.
pub const SERIES_MAX: usize = 64;

/// Longest latency that is recorded; longer ones are recorded as this.
pub const LATENCY_MAX: Duration = Duration::from_secs(600);

/// Significant decimal digits of recorded latencies.
const SIGNIFICANT_DIGITS: u8 = 3;

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The caller got the target's response.
    Answered,
    /// The request was refused without running.
    Refused,
    /// The request may have run.
    Unknown,
    /// The caller cancelled the request.
    Cancelled,
}

#[derive(Clone, Debug)]
struct Series {
    latency: Histogram<u64>,
    answered: u64,
    refused: u64,
    unknown: u64,
    cancelled: u64,
}

/// Latency histograms and outcome counters of one process.
#[derive(Clone, Debug, Default)]
pub struct Histograms {
    series: BTreeMap<(String, String), Series>,
}

impl Histograms {
    /// Records the latency of one request, limited to [`LATENCY_MAX`].
    pub fn record_latency(&mut self, tenant: &str, class: &str, latency: Duration) {
        let micros = latency.min(LATENCY_MAX).as_micros().max(1);
        self.series(tenant, class).latency.saturating_record(micros);
    }

    /// Counts the outcome of one request.
    pub fn count_outcome(&mut self, tenant: &str, class: &str, outcome: Outcome) {
        let series = self.series(tenant, class);
        let counter = match outcome {
            Outcome::Answered => &mut series.answered,
            Outcome::Refused => &mut series.refused,
            Outcome::Unknown => &mut series.unknown,
            Outcome::Cancelled => &mut series.cancelled,
        };
        *counter += 1;
    }

    /// One row for each series, ordered by client account and class.
    pub fn snapshot(&self) -> Vec<Row> {
        let row = |((tenant, class), series): (&(String, String), &Series)| Row {
            tenant: tenant.clone(),
            class: class.clone(),
            count: series.latency.len(),
            p50: series.latency.value_at_quantile(0.5),
            p90: series.latency.value_at_quantile(0.9),
            p99: series.latency.value_at_quantile(0.99),
            max: series.latency.max(),
            answered: series.answered,
            refused: series.refused,
            unknown: series.unknown,
            cancelled: series.cancelled,
            histogram: encode(&series.latency),
        };
        self.series.iter().map(row).collect()
    }

    /// Adds the latencies and counters of another process's row.
    ///
    /// # Errors
    /// Returns a [`RowError`] if the histogram of the row cannot be decoded; nothing is added then.
    pub fn merge(&mut self, row: &Row) -> Result<(), RowError> {
        let latency = decode(&row.histogram)?;
        let series = self.series(&row.tenant, &row.class);
        for (value, count) in latency {
            series.latency.saturating_record_n(value, count);
        }
        series.answered = series.answered.saturating_add(row.answered);
        series.refused = series.refused.saturating_add(row.refused);
        series.unknown = series.unknown.saturating_add(row.unknown);
        series.cancelled = series.cancelled.saturating_add(row.cancelled);
        Ok(())
    }

    fn series(&mut self, tenant: &str, class: &str) -> &mut Series {
        let mut key = (tenant.to_owned(), class.to_owned());
        let other = (OTHER.to_owned(), OTHER.to_owned());
        // One series is reserved for OTHER.
        if !self.series.contains_key(&key) && self.series.len() >= SERIES_MAX - 1 {
            key = other;
        }
        let series = self.series.entry(key).or_insert_with(Series::new);
        debug_assert!(
            series.latency.high() >= LATENCY_MAX.as_micros(),
            "the range of the histogram is too small"
        );
        series
    }
}

impl Series {
    fn new() -> Self {
        let latency = Histogram::new_with_bounds(1, LATENCY_MAX.as_micros(), SIGNIFICANT_DIGITS);
        Self {
            latency: latency.expect("the bounds are constants that hdrhistogram accepts"),
            answered: 0,
            refused: 0,
            unknown: 0,
            cancelled: 0,
        }
    }
}
