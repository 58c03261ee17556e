//! Recording and merging of histograms, and the limit on series.

use monsoon_metrics::{Histograms, LATENCY_MAX, OTHER, Outcome, RowError, SERIES_MAX};
use monsoon_model::{Duration, hash::mix};

fn filled(seed: u64, count: u64) -> Histograms {
    let mut histograms = Histograms::default();
    for i in 0..count {
        let micros = 500 + mix(seed, i) % 20_000;
        histograms.record_latency("karavanex", "hold", Duration::from_micros(micros));
        histograms.count_outcome("karavanex", "hold", Outcome::Answered);
    }
    histograms
}

/// Guards against averaged percentiles: merged rows must equal the row of one process that recorded
/// all requests.
#[test]
fn merged_rows_equal_one_recorder() {
    let mut merged = filled(1, 1_000);
    for row in filled(2, 5_000).snapshot() {
        merged.merge(&row).expect("exported rows decode");
    }
    let mut expected = filled(1, 1_000);
    for i in 0..5_000 {
        let micros = 500 + mix(2, i) % 20_000;
        expected.record_latency("karavanex", "hold", Duration::from_micros(micros));
        expected.count_outcome("karavanex", "hold", Outcome::Answered);
    }
    assert_eq!(merged.snapshot()[0], expected.snapshot()[0]);
    let row = &expected.snapshot()[0];
    insta::assert_snapshot!(format!(
        "count {} p50 {} p90 {} p99 {} max {} answered {}",
        row.count, row.p50, row.p90, row.p99, row.max, row.answered
    ));
}

/// Guards against unbounded memory, as the names of series come from the network.
#[test]
fn series_beyond_the_limit_share_one_row() {
    let mut histograms = Histograms::default();
    for i in 0..1_000 {
        histograms.record_latency(&format!("tenant-{i}"), "upload", Duration::from_millis(i));
    }
    let rows = histograms.snapshot();
    assert_eq!(rows.len(), SERIES_MAX);
    let other = rows
        .iter()
        .find(|r| r.tenant == OTHER)
        .expect("the shared row exists");
    assert_eq!(other.count, 1_000 - (SERIES_MAX as u64 - 1));
}

/// Guards against a panic or a lost count for a latency outside the range of the histogram.
#[test]
fn extreme_latencies_are_clipped() {
    let mut histograms = Histograms::default();
    histograms.record_latency("t", "c", Duration::ZERO);
    histograms.record_latency("t", "c", LATENCY_MAX + LATENCY_MAX);
    let row = &histograms.snapshot()[0];
    assert_eq!(row.count, 2);
    assert!(row.max >= LATENCY_MAX.as_micros());
}

/// Guards against a panic or a partial merge for a malformed row from the network.
#[test]
fn malformed_rows_are_rejected() {
    let mut row = filled(3, 10).snapshot().remove(0);
    let mut histograms = Histograms::default();
    row.histogram.replace_range(0..2, "zz");
    assert_eq!(histograms.merge(&row), Err(RowError::Hex));
    // A number without its last byte, then one that is too long.
    row.histogram = "01ff".to_owned();
    assert_eq!(histograms.merge(&row), Err(RowError::Encoding));
    row.histogram = "ff".repeat(11);
    assert_eq!(histograms.merge(&row), Err(RowError::Encoding));
    assert!(histograms.snapshot().is_empty());
}
