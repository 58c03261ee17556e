//! Outcomes of everything a caller sent.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// Longest recorded latency, in microseconds; longer ones count as this.
const MAX_LATENCY_US: u64 = 120_000_000;

/// End of a flow or request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Complete and correct response.
    Answered,
    /// Refused as not run, after all retries.
    Refused,
    /// Answered with an error status that says nothing about the effect.
    Failed,
    /// The service says that it does not know whether the request ran.
    Unknown,
    /// Ended without a complete response.
    Broken,
    /// The data centre was taken out.
    GivenUp,
}

/// Outcome of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Class of the request.
    pub class: String,
    /// Idempotency key.
    pub key: String,
    /// End of the request.
    pub outcome: Outcome,
}

/// Sums of one class.
#[derive(Clone, Debug)]
pub struct Totals {
    /// Flows or requests; repetitions of one key count once.
    pub sent: u64,
    /// Refused attempts that were repeated.
    pub retries: u64,
    outcomes: BTreeMap<Outcome, u64>,
    latency: Histogram<u64>,
}

impl Default for Totals {
    fn default() -> Self {
        Self {
            sent: 0,
            retries: 0,
            outcomes: BTreeMap::new(),
            latency: Histogram::new_with_max(MAX_LATENCY_US, 3).expect("bounds are valid"),
        }
    }
}

impl Totals {
    /// Number of flows or requests with `outcome`.
    pub fn count(&self, outcome: Outcome) -> u64 {
        self.outcomes.get(&outcome).copied().unwrap_or(0)
    }

    fn fields(&self) -> [(&'static str, u64); 10] {
        [
            ("sent", self.sent),
            ("answered", self.count(Outcome::Answered)),
            ("refused", self.count(Outcome::Refused)),
            ("unknown", self.count(Outcome::Unknown)),
            ("broken", self.count(Outcome::Broken)),
            ("given_up", self.count(Outcome::GivenUp)),
            ("p50_us", self.latency.value_at_quantile(0.5)),
            ("p99_us", self.latency.value_at_quantile(0.99)),
            ("failed", self.count(Outcome::Failed)),
            ("retries", self.retries),
        ]
    }
}

/// All classes and requests of one caller.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Sums by class.
    pub classes: BTreeMap<&'static str, Totals>,
    /// Requests with a key, in the order of their end.
    pub requests: Vec<Entry>,
    /// Connections that were opened.
    pub connections: u64,
    /// Connection attempts that failed.
    pub connect_failures: u64,
    /// Connections that ended by a stateless reset.
    pub resets: u64,
    /// Longest time between two lines of an open stream.
    pub longest_gap: Duration,
}

impl Report {
    pub(super) fn record_start(&mut self, class: &'static str) {
        self.classes.entry(class).or_default().sent += 1;
    }

    /// Takes back a flow that the caller ended before any response.
    pub(super) fn discard_start(&mut self, class: &'static str) {
        self.classes.entry(class).or_default().sent -= 1;
    }

    pub(super) fn record_retry(&mut self, class: &'static str) {
        self.classes.entry(class).or_default().retries += 1;
    }

    pub(super) fn record_outcome(
        &mut self,
        class: &'static str,
        outcome: Outcome,
        latency: Duration,
    ) {
        let totals = self.classes.entry(class).or_default();
        *totals.outcomes.entry(outcome).or_default() += 1;
        let ended: u64 = totals.outcomes.values().sum();
        assert!(ended <= totals.sent, "each flow and request ends once");
        if outcome == Outcome::Answered {
            totals.latency.saturating_record(latency.as_micros() as u64);
        }
    }

    /// Counts everything that has not ended as broken.
    pub(super) fn count_unfinished(&mut self) {
        for totals in self.classes.values_mut() {
            let ended: u64 = totals.outcomes.values().sum();
            *totals.outcomes.entry(Outcome::Broken).or_default() += totals.sent - ended;
        }
    }

    /// Sum of one outcome over all classes.
    pub fn total(&self, outcome: Outcome) -> u64 {
        self.classes
            .values()
            .map(|totals| totals.count(outcome))
            .sum()
    }

    /// Number of flows and requests.
    pub fn sent(&self) -> u64 {
        self.classes.values().map(|totals| totals.sent).sum()
    }

    /// Lines for people and scripts: one per class, then the sum of all but what was given up with
    /// its data centre.
    pub fn lines(&self) -> Vec<String> {
        let line = |(class, totals): (&&str, &Totals)| {
            let fields = totals
                .fields()
                .map(|(name, value)| format!("{name}={value}"));
            format!("class={class} {}", fields.join(" "))
        };
        let mut lines: Vec<String> = self.classes.iter().map(line).collect();
        lines.push(format!(
            "caller: served {} of {}, broken flows {}",
            self.total(Outcome::Answered),
            self.sent() - self.total(Outcome::GivenUp),
            self.total(Outcome::Broken),
        ));
        lines
    }

    /// Everything as JSON.
    pub fn to_json(&self) -> Value {
        let classes: BTreeMap<_, _> = self
            .classes
            .iter()
            .map(|(class, totals)| (class, BTreeMap::from(totals.fields())))
            .collect();
        json!({
            "classes": classes,
            "served": self.total(Outcome::Answered),
            "sent": self.sent(),
            "broken": self.total(Outcome::Broken),
            "connections": self.connections,
            "connect_failures": self.connect_failures,
            "resets": self.resets,
            "longest_gap_ms": self.longest_gap.as_millis() as u64,
            "requests": self.requests,
        })
    }
}
