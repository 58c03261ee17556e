//! Memory of failures and restarts, which makes the pace more cautious for some seconds.

use monsoon_model::{Duration, Instant};

use crate::pacer::backoff;

/// Time for which failures and restarts are remembered. Exceeds [`PROBE_PAUSE_MAX`], so that
/// failures at each probe keep the pause long.
const MEMORY: Duration = Duration::from_secs(10);

/// Time from the first failure until the level that failed is tried again.
const PROBE_PAUSE: Duration = Duration::from_millis(500);

/// Maximum of the doubled [`PROBE_PAUSE`].
const PROBE_PAUSE_MAX: Duration = Duration::from_secs(8);

/// Time for which the second of two restarts within [`MEMORY`] holds the limit at one request.
const HOLD: Duration = Duration::from_millis(100);

/// Maximum of the doubled [`HOLD`]. Below the usual time for which a target is cold.
const HOLD_MAX: Duration = Duration::from_millis(1_600);

/// Maximum number of rounds without a failure that show that a level which failed is safe. One is
/// needed per failure: where requests overlap only at times, a single round may pass by chance.
const PROOF_ROUNDS_MAX: u32 = 5;

/// Level of concurrency, in requests, at which one failed.
#[derive(Clone, Copy, Debug)]
struct Ceiling {
    level: f64,
    /// When the level may be tried again.
    probe_at: Instant,
    /// Rounds at the level since then without a failure.
    rounds: u32,
}

/// Failures and restarts of a target.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Memory {
    failures: u32,
    failed_at: Option<Instant>,
    ceiling: Option<Ceiling>,
    /// Restarts in a row, each within [`MEMORY`] of the one before.
    restarts: u32,
    restarted_at: Option<Instant>,
}

impl Memory {
    /// Records a failure. `limit` is the limit of the pace, if it limits the target.
    ///
    /// A request that fails alone does not fail for the load. The levels that failed before are
    /// then forgotten, or random failures would keep the limit low for ever.
    pub(super) fn record_failure(&mut self, now: Instant, limit: Option<f64>) {
        if limit.is_some_and(|limit| limit < 2.0) {
            self.failures = 0;
            self.ceiling = None;
            return;
        }
        if !self.remembers_failure(now) {
            self.failures = 0;
        }
        self.failures = self.failures.saturating_add(1);
        self.failed_at = Some(now);
        if let Some(limit) = limit {
            let pause = backoff(PROBE_PAUSE, self.failures, PROBE_PAUSE_MAX);
            self.ceiling = Some(Ceiling {
                level: limit.floor(),
                probe_at: now + pause,
                rounds: 0,
            });
        }
    }

    /// Records a restart. Returns the time for which the limit is held at one request.
    pub(super) fn record_restart(&mut self, now: Instant) -> Duration {
        self.restarts = match self.restarted_at {
            Some(at) if now.since(at) < MEMORY => self.restarts.saturating_add(1),
            _ => 0,
        };
        self.restarted_at = Some(now);
        if !self.remembers_failure(now) {
            self.ceiling = None;
        }
        backoff(HOLD, self.restarts, HOLD_MAX)
    }

    /// Records a round without a failure and with `level` requests in flight.
    pub(super) fn record_round(&mut self, level: f64) {
        let needed = self.failures.min(PROOF_ROUNDS_MAX);
        if let Some(ceiling) = &mut self.ceiling
            && level >= ceiling.level
        {
            ceiling.rounds += 1;
            if ceiling.rounds >= needed {
                self.ceiling = None;
            }
        }
    }

    /// Returns the level up to which the limit may rise now, if a request failed above it.
    pub(super) fn cap(&self, now: Instant) -> Option<f64> {
        let is_probe = |ceiling: &Ceiling| now >= ceiling.probe_at;
        self.ceiling
            .map(|ceiling| ceiling.level - if is_probe(&ceiling) { 0.0 } else { 1.0 })
    }

    /// Whether a request that was delivered at `sent_at` belongs to the present lifetime.
    pub(super) fn is_current(&self, sent_at: Instant) -> bool {
        self.restarted_at.is_none_or(|at| sent_at >= at)
    }

    /// Whether a request failed recently that was not alone at the target.
    pub(super) fn remembers_failure(&self, now: Instant) -> bool {
        self.failed_at.is_some_and(|at| now.since(at) < MEMORY)
    }
}
