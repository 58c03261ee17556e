//! Tests of the text form of metrics.

use std::collections::BTreeMap;

use monsoon_model::Duration;

use super::{Gauge, Metrics};
use crate::rejection_log::RejectionLog;

/// Guards against a label that breaks the text, waits that are averaged or mixed with the answer
/// times, and rejections that are not told apart by their reason.
#[test]
fn gauges_waits_and_rejections_are_rendered() {
    let mut metrics = Metrics::default();
    // Below 2,048 the histogram keeps every value.
    (1..=100).for_each(|micros| metrics.record_wait(Duration::from_micros(micros)));
    for reason in ["limit", "full", "limit"] {
        metrics.count_rejection(reason);
    }
    let gauge = |name, account: Option<&str>, value| Gauge {
        name,
        label: account.map(|account| ("account", account.to_owned())),
        value,
    };
    let labelled = [
        gauge("concurrency", None, 2.0),
        gauge("account_share", Some("100.64.0.1"), 0.25),
        gauge("account_share", Some("a\"b\\c\nd"), 0.0),
    ];
    let rejected = RejectionLog::default();
    let text = metrics.render(&BTreeMap::new(), &rejected, &[("flows", 2)], &labelled);
    let lines = text.lines().filter(|line| !line.contains("log_lines_lost"));
    assert_eq!(
        lines.collect::<Vec<_>>(),
        [
            "monsoon_rejected_opens_total{reason=\"full\"} 1",
            "monsoon_rejected_opens_total{reason=\"limit\"} 2",
            "monsoon_flows 2",
            "monsoon_concurrency 2",
            "monsoon_account_share{account=\"100.64.0.1\"} 0.25",
            "monsoon_account_share{account=\"a\\\"b\\\\c\\nd\"} 0",
            "monsoon_wait_us{quantile=\"0.5\"} 50",
            "monsoon_wait_us{quantile=\"0.9\"} 90",
            "monsoon_wait_us{quantile=\"0.99\"} 99",
            "monsoon_wait_us_count 100",
        ]
    );
}
