//! Counters and latency histograms, and their text form for Prometheus.

use std::collections::BTreeMap;
use std::fmt::Write;

use monsoon_metrics::{Histograms, Outcome};
use monsoon_model::Duration;

use crate::rejection_log::RejectionLog;

/// Event counters and latencies of one process.
#[derive(Debug, Default)]
pub(crate) struct Metrics {
    counters: BTreeMap<&'static str, u64>,
    latencies: Histograms,
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

    /// Writes one line for each metric. `decisions` and `gauges` are values by name.
    pub(crate) fn render(
        &self,
        decisions: &BTreeMap<&'static str, u64>,
        rejections: &RejectionLog,
        gauges: &[(&'static str, u64)],
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
        for (name, value) in gauges {
            let _ = writeln!(text, "monsoon_{name} {value}");
        }
        let _ = writeln!(text, "monsoon_log_lines_lost {}", crate::logs::lost_lines());
        for row in self.latencies.snapshot() {
            let labels = format!("service=\"{}\",class=\"{}\"", row.tenant, row.class);
            for (quantile, micros) in [("0.5", row.p50), ("0.9", row.p90), ("0.99", row.p99)] {
                let _ = writeln!(
                    text,
                    "monsoon_answer_us{{{labels},quantile=\"{quantile}\"}} {micros}"
                );
            }
            let _ = writeln!(text, "monsoon_answer_us_count{{{labels}}} {}", row.count);
        }
        text
    }
}
