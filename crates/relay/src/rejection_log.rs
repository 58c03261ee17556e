//! Log lines for input that cannot be used, at a bounded rate.

use std::collections::BTreeMap;
use std::fmt::Display;

use monsoon_model::{Duration, Instant};

/// Minimum time between two lines about one kind of input.
const LINE_INTERVAL: Duration = Duration::from_secs(1);

/// Logs rejected input and counts it by kind.
#[derive(Debug, Default)]
pub(crate) struct RejectionLog {
    kinds: BTreeMap<&'static str, Kind>,
}

#[derive(Debug, Default)]
struct Kind {
    count: u64,
    last_line: Option<Instant>,
    /// Rejections since the last line.
    omitted: u64,
}

impl RejectionLog {
    /// Records that input with this name, or from this sender, was rejected. Returns whether a line
    /// was written.
    pub(crate) fn record(
        &mut self,
        now: Instant,
        kind: &'static str,
        name: impl Display,
        reason: impl Display,
    ) -> bool {
        let state = self.kinds.entry(kind).or_default();
        state.count += 1;
        let is_due = state
            .last_line
            .is_none_or(|at| now.since(at) >= LINE_INTERVAL);
        if is_due {
            // Both texts come from outside; quoting keeps them within one line.
            let (name, reason) = (name.to_string(), reason.to_string());
            log::warn!(
                "rejected: kind={kind} name={name:?} reason={reason:?} omitted={}",
                state.omitted
            );
            state.last_line = Some(now);
            state.omitted = 0;
        } else {
            state.omitted += 1;
        }
        is_due
    }

    /// Rejections since the start, by kind.
    pub(crate) fn counts(&self) -> impl Iterator<Item = (&'static str, u64)> {
        self.kinds.iter().map(|(&kind, state)| (kind, state.count))
    }
}

#[cfg(test)]
mod tests;
