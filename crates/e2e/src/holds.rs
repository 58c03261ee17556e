//! Comparison of answered holds with what the targets ran.

use std::collections::BTreeMap;

use monsoon_standin::target::Record;

use crate::caller::Report;

/// Checks that no hold ran twice, and that each answered one ran.
pub fn assert_executions(records: &[Record], reports: &[&Report]) {
    let mut ran: BTreeMap<&str, u32> = BTreeMap::new();
    for (key, count) in records.iter().flat_map(|record| &record.executions) {
        *ran.entry(key).or_default() += count;
    }
    let twice: Vec<_> = ran.iter().filter(|(_, count)| **count > 1).collect();
    assert!(twice.is_empty(), "holds ran more than once: {twice:?}");
    let answered = reports.iter().flat_map(|report| report.answered_holds());
    let missing: Vec<_> = answered.filter(|key| !ran.contains_key(key)).collect();
    assert!(missing.is_empty(), "answered but not run: {missing:?}");
}
