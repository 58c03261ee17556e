//! Tests of the text form of metrics.

use std::collections::BTreeMap;

use monsoon_model::Duration;

use super::{Gauge, Metrics};
use crate::rejection_log::RejectionLog;

fn render(metrics: &Metrics, labelled: &[Gauge]) -> Vec<String> {
    let text = metrics.render(
        &BTreeMap::new(),
        &RejectionLog::default(),
        &[("flows", 2)],
        labelled,
    );
    let lines = text.lines().filter(|line| !line.contains("log_lines_lost"));
    lines.map(str::to_owned).collect()
}

/// Guards against a label that breaks the text, so that a scraper rejects the whole page.
#[test]
fn labels_of_gauges_are_escaped() {
    let gauge = |name, label: Option<&str>, value| Gauge {
        name,
        label: label.map(|value| ("account", value.to_owned())),
        value,
    };
    let labelled = [
        gauge("concurrency", None, 2.0),
        gauge("account_share", Some("100.64.0.1"), 0.25),
        gauge("account_share", Some("a\"b\\c\nd"), 0.0),
    ];
    assert_eq!(
        render(&Metrics::default(), &labelled),
        [
            "monsoon_flows 2",
            "monsoon_concurrency 2",
            "monsoon_account_share{account=\"100.64.0.1\"} 0.25",
            "monsoon_account_share{account=\"a\\\"b\\\\c\\nd\"} 0",
        ]
    );
}

/// Guards against waits that are averaged or mixed with the answer times, and against rejections
/// that are not told apart by their reason.
#[test]
fn waits_and_rejections_are_rendered() {
    let mut metrics = Metrics::default();
    for millis in 1..=100 {
        metrics.record_wait(Duration::from_millis(millis));
    }
    metrics.count_rejection("limit");
    metrics.count_rejection("limit");
    metrics.count_rejection("full");
    let lines = render(&metrics, &[]);
    assert_eq!(
        lines[..3],
        [
            "monsoon_rejected_opens_total{reason=\"full\"} 1",
            "monsoon_rejected_opens_total{reason=\"limit\"} 2",
            "monsoon_flows 2",
        ]
    );
    let waits = lines[3..].iter().map(|line| line.rsplit_once(' '));
    let waits: Vec<_> = waits
        .map(|pair| pair.expect("a line has a value"))
        .collect();
    for ((name, value), (label, millis)) in
        waits.iter().zip([("0.5", 50), ("0.9", 90), ("0.99", 99)])
    {
        assert_eq!(*name, format!("monsoon_wait_us{{quantile=\"{label}\"}}"));
        let micros: u64 = value.parse().expect("value is a number");
        // The histogram keeps three digits.
        assert!(micros.abs_diff(millis * 1_000) < 100, "{label}: {micros}");
    }
    assert_eq!(waits[3], ("monsoon_wait_us_count", "100"));
}
