//! Tests of the rate of lines.

use monsoon_model::Instant;

use super::RejectionLog;

/// Guards against a writer of invalid entries that fills the log.
#[test]
fn lines_are_limited_and_every_rejection_is_counted() {
    let mut log = RejectionLog::default();
    let mut lines = 0;
    for millis in 0..2_500 {
        let now = Instant::from_millis(millis);
        lines += u32::from(log.record(now, "balancers", "front-1", "no address"));
    }
    assert_eq!(lines, 3);
    assert!(log.record(
        Instant::from_millis(2_500),
        "frames",
        "10.0.0.1:7",
        "no frame"
    ));
    let counts: Vec<_> = log.counts().collect();
    assert_eq!(counts, [("balancers", 2_500), ("frames", 1)]);
}
