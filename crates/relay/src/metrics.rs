//! Counters and latency histograms, and their text form for Prometheus.

use std::collections::BTreeMap;
use std::fmt::Write;

use monsoon_metrics::{Histograms, Outcome, Row};
use monsoon_model::Duration;

use crate::rejection_log::RejectionLog;

/// Event counters and latencies of one process.
#[derive(Debug, Default)]
pub(crate) struct Metrics {
    counters: BTreeMap<&'static str, u64>,
    latencies: Histograms,
    /// One series: the times in the wait queue.
    waits: Histograms,
    rejected_opens: BTreeMap<&'static str, u64>,
}

/// Present value of a metric that may have a label.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Gauge {
    /// Name without the prefix `monsoon_`.
    pub name: &'static str,
    /// Name and value of the label.
    pub label: Option<(&'static str, String)>,
    pub value: f64,
}

impl Metrics {
    pub(crate) fn count(&mut self, event: &'static str) {
        *self.counters.entry(event).or_default() += 1;
    }

    /// Records the time that a target took to answer a request.
    pub(crate) fn record_answer(&mut self, service: &str, class: &str, took: Duration) {
        self.latencies.record_latency(service, class, took);
        self.latencies
            .count_outcome(service, class, Outcome::Answered);
    }

    /// Records the time that a request spent in the wait queue.
    pub(crate) fn record_wait(&mut self, took: Duration) {
        self.waits.record_latency("", "", took);
    }

    /// Counts an opening packet that was rejected.
    pub(crate) fn count_rejection(&mut self, reason: &'static str) {
        *self.rejected_opens.entry(reason).or_default() += 1;
    }

    /// Writes one line for each metric. `decisions` and `gauges` are values by name.
    pub(crate) fn render(
        &self,
        decisions: &BTreeMap<&'static str, u64>,
        rejections: &RejectionLog,
        gauges: &[(&'static str, u64)],
        labelled: &[Gauge],
    ) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        for (name, value) in &self.counters {
            let _ = writeln!(text, "monsoon_events_total{{event=\"{name}\"}} {value}");
        }
        for (name, value) in decisions {
            let _ = writeln!(
                text,
                "monsoon_decisions_total{{decision=\"{name}\"}} {value}"
            );
        }
        for (kind, value) in rejections.counts() {
            let _ = writeln!(text, "monsoon_rejected_total{{kind=\"{kind}\"}} {value}");
        }
        for (reason, value) in &self.rejected_opens {
            let _ = writeln!(
                text,
                "monsoon_rejected_opens_total{{reason=\"{reason}\"}} {value}"
            );
        }
        for (name, value) in gauges {
            let _ = writeln!(text, "monsoon_{name} {value}");
        }
        for gauge in labelled {
            write_gauge(&mut text, gauge);
        }
        let _ = writeln!(text, "monsoon_log_lines_lost {}", crate::logs::lost_lines());
        for row in self.latencies.snapshot() {
            let labels = format!("service=\"{}\",class=\"{}\"", row.tenant, row.class);
            for (quantile, micros) in quantiles(&row) {
                let _ = writeln!(
                    text,
                    "monsoon_answer_us{{{labels},quantile=\"{quantile}\"}} {micros}"
                );
            }
            let _ = writeln!(text, "monsoon_answer_us_count{{{labels}}} {}", row.count);
        }
        for row in self.waits.snapshot() {
            for (quantile, micros) in quantiles(&row) {
                let _ = writeln!(text, "monsoon_wait_us{{quantile=\"{quantile}\"}} {micros}");
            }
            let _ = writeln!(text, "monsoon_wait_us_count {}", row.count);
        }
        text
    }
}

fn quantiles(row: &Row) -> [(&'static str, u64); 3] {
    [("0.5", row.p50), ("0.9", row.p90), ("0.99", row.p99)]
}

fn write_gauge(text: &mut String, gauge: &Gauge) {
    let labels = gauge
        .label
        .as_ref()
        .map(|(label, value)| format!("{{{label}=\"{}\"}}", escape(value)));
    let labels = labels.unwrap_or_default();
    let _ = writeln!(text, "monsoon_{}{labels} {}", gauge.name, gauge.value);
}

/// Escapes the value of a label as the text format requires.
fn escape(value: &str) -> String {
    value
        .replace('\\', "\\\\")
        .replace('"', "\\\"")
        .replace('\n', "\\n")
}

#[cfg(test)]
mod tests;
