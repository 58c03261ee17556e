//! One log line for each decision on a flow, at a bounded rate.

use std::collections::BTreeMap;

use monsoon_flow::Log;
use monsoon_model::{Duration, Instant};

/// Lines a second. At the bound further ones are counted, and the count is logged.
const LINES_PER_SECOND: u32 = 100;

/// Logs decisions and counts them.
#[derive(Debug)]
pub(crate) struct DecisionLog {
    part: &'static str,
    second: Instant,
    written: u32,
    left_out: u64,
    counts: BTreeMap<&'static str, u64>,
}

impl DecisionLog {
    pub(crate) fn new(part: &'static str) -> Self {
        Self {
            part,
            second: Instant::ZERO,
            written: 0,
            left_out: 0,
            counts: BTreeMap::new(),
        }
    }

    pub(crate) fn log(&mut self, now: Instant, line: &Log) {
        *self.counts.entry(line.decision).or_default() += 1;
        if now.since(self.second) >= Duration::from_secs(1) {
            if self.left_out > 0 {
                log::info!("{}: left out lines={}", self.part, self.left_out);
            }
            self.second = now;
            self.written = 0;
            self.left_out = 0;
        }
        if self.written >= LINES_PER_SECOND {
            self.left_out += 1;
            return;
        }
        self.written += 1;
        log::info!(
            "{}: {} flow={} {}",
            self.part,
            line.decision,
            line.key,
            line.inputs
        );
    }

    /// Decisions since the start.
    pub(crate) fn counts(&self) -> &BTreeMap<&'static str, u64> {
        &self.counts
    }
}
