//! Log lines for decisions on flows, at a bounded rate.

use std::collections::BTreeMap;

use monsoon_flow::Log;
use monsoon_model::{Duration, Instant};

/// Beyond this rate lines are omitted, and their number is logged once a second.
const LINES_PER_SECOND: u32 = 100;

/// Logs decisions and counts them.
#[derive(Debug)]
pub(crate) struct DecisionLog {
    prefix: &'static str,
    window_start: Instant,
    lines_written: u32,
    lines_omitted: u64,
    counts: BTreeMap<&'static str, u64>,
}

impl DecisionLog {
    pub(crate) fn new(prefix: &'static str) -> Self {
        Self {
            prefix,
            window_start: Instant::ZERO,
            lines_written: 0,
            lines_omitted: 0,
            counts: BTreeMap::new(),
        }
    }

    pub(crate) fn log(&mut self, now: Instant, line: &Log) {
        *self.counts.entry(line.decision).or_default() += 1;
        if now.since(self.window_start) >= Duration::from_secs(1) {
            if self.lines_omitted > 0 {
                log::info!("{}: left out lines={}", self.prefix, self.lines_omitted);
            }
            self.window_start = now;
            self.lines_written = 0;
            self.lines_omitted = 0;
        }
        if self.lines_written >= LINES_PER_SECOND {
            self.lines_omitted += 1;
            return;
        }
        self.lines_written += 1;
        log::info!(
            "{}: {} flow={} {}",
            self.prefix,
            line.decision,
            line.key,
            line.inputs
        );
    }

    /// Number of decisions of each kind since the start, omitted lines included.
    pub(crate) fn counts(&self) -> &BTreeMap<&'static str, u64> {
        &self.counts
    }
}
