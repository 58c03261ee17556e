//! Outcomes of all flows and requests of a caller.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// Largest recorded latency; larger ones are recorded as this value.
const MAX_LATENCY_US: u64 = 120_000_000;

/// How a flow or request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Complete and correct response.
    Answered,
    /// Not run: the service refused it after all retries, or no connection could be opened.
    Refused,
    /// Error status that does not tell whether the request ran.
    Failed,
    /// The service reports that it does not know whether the request ran.
    Unknown,
    /// Ended without a complete and correct response.
    Broken,
    /// The data centre of the agent was evacuated.
    GivenUp,
}

/// Outcome of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Class of the request.
    pub class: String,
    /// Idempotency key.
    pub key: String,
    /// How the request ended.
    pub outcome: Outcome,
}

/// Totals of one class.
#[derive(Clone, Debug)]
pub struct Totals {
    /// Flows or requests; retries with the same key are not counted again.
    pub sent: u64,
    /// Retries after a refusal.
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

/// Results of one caller.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Totals by class.
    pub classes: BTreeMap<&'static str, Totals>,
    /// Requests with a key, in the order in which they ended.
    pub requests: Vec<Entry>,
    /// Connections that were opened.
    pub connections: u64,
    /// Connection attempts that failed.
    pub connect_failures: u64,
    /// Connections that ended by a stateless reset.
    pub resets: u64,
    /// Longest time without data on an open stream.
    pub longest_gap: Duration,
}

impl Report {
    pub(super) fn record_start(&mut self, class: &'static str) {
        self.classes.entry(class).or_default().sent += 1;
    }

    /// Removes a flow from the totals that the caller ended before any response.
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

    /// Counts all unfinished flows and requests as broken.
    pub(super) fn count_unfinished(&mut self) {
        for totals in self.classes.values_mut() {
            let ended: u64 = totals.outcomes.values().sum();
            *totals.outcomes.entry(Outcome::Broken).or_default() += totals.sent - ended;
        }
    }

    /// Number of flows and requests with `outcome`, over all classes.
    pub fn total(&self, outcome: Outcome) -> u64 {
        self.classes
            .values()
            .map(|totals| totals.count(outcome))
            .sum()
    }

    /// Number of flows and requests, over all classes.
    pub fn sent(&self) -> u64 {
        self.classes.values().map(|totals| totals.sent).sum()
    }

    /// Output for people and scripts: one line per class, then a summary. The total in the summary
    /// leaves out what was given up because of an evacuation.
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

    /// The whole report in JSON.
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
