//! Comparison of the holds (non-idempotent requests of the class `hold`) that callers saw answered
//! with those that targets executed.

use std::collections::BTreeMap;

use monsoon_standin::target::Record;

use crate::caller::Report;

/// Checks that no hold was executed twice, and that each answered hold was executed.
pub fn assert_executions(records: &[Record], reports: &[&Report]) {
    let mut runs: BTreeMap<&str, u32> = BTreeMap::new();
    for (key, count) in records.iter().flat_map(|record| &record.executions) {
        *runs.entry(key).or_default() += count;
    }
    let twice: Vec<_> = runs.iter().filter(|(_, count)| **count > 1).collect();
    assert!(twice.is_empty(), "holds ran more than once: {twice:?}");
    let answered = reports.iter().flat_map(|report| report.answered_holds());
    let missing: Vec<_> = answered.filter(|key| !runs.contains_key(key)).collect();
    assert!(missing.is_empty(), "answered but not run: {missing:?}");
}
