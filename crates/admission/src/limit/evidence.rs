//! Effect of a successful request on the limit and the phase.

use monsoon_model::{Duration, Instant};

use super::{DWELL_MIN, DWELL_RESET, Limiter, Phase, REPORT_TTL};

/// Minimum number of successes in a round.
const ROUND_MIN: u32 = 5;

/// Minimum time between two rises of the limit, in which the caches of the target can warm.
const ROUND_TIME: Duration = Duration::from_millis(500);

/// Factor by which the limit rises in the warming phase.
const RISE_FACTOR: f64 = 1.5;

/// Mean ratio of latency to baseline up to which a round counts as good.
pub(crate) const GOOD_RATIO: f64 = 1.5;

/// Mean ratio of latency to baseline from which the limit falls in the ready phase.
pub(crate) const HIGH_RATIO: f64 = 2.5;

/// Ratio of latency to baseline from which a target counts as cold.
const COLD_RATIO: f64 = 4.0;

/// Factor by which the limit falls in the ready phase.
pub(crate) const DECREASE_FACTOR: f64 = 0.8;

/// Successes between two decreases, so that the effect of the first shows before the second.
const DECREASE_GAP: u32 = 8;

/// Number of successes up to [`HIGH_RATIO`] after which a suspected target counts as warm again.
const CLEARING_SUCCESSES: u32 = 2;

/// Time at a steady latency after which that latency becomes the baseline of a cold target that did
/// not return to its old baseline.
const PLATEAU_TIME: Duration = Duration::from_secs(30);

/// Relative change of the mean latency of a round that ends a steady latency.
const PLATEAU_TOLERANCE: f64 = 0.25;

impl Limiter {
    pub(super) fn cold_success(&mut self, now: Instant, ratio: f64) -> Option<f64> {
        let mean = self.round(now, ratio, ROUND_MIN, Duration::ZERO)?;
        if self.must_stay_cold(now) {
            return None;
        }
        if mean <= GOOD_RATIO || !self.was_ready {
            self.limit = self.cold_limit;
            self.enter(now, Phase::Warming);
            return None;
        }
        match self.plateau {
            Some((level, level_since)) if (mean / level - 1.0).abs() <= PLATEAU_TOLERANCE => {
                if now.since(level_since) < PLATEAU_TIME {
                    return None;
                }
                self.plateau = None;
                Some(mean)
            }
            _ => {
                self.plateau = Some((mean, now));
                None
            }
        }
    }

    pub(super) fn warming_success(&mut self, now: Instant, ratio: f64) {
        let min_count = ROUND_MIN.max((2.0 * self.limit) as u32);
        let Some(mean) = self.round(now, ratio, min_count, ROUND_TIME) else {
            return;
        };
        if mean >= COLD_RATIO {
            self.enter_cold(now);
        } else if mean <= GOOD_RATIO
            && self
                .full_report
                .is_none_or(|at| now.since(at) >= REPORT_TTL)
        {
            self.limit = (self.limit * RISE_FACTOR).min(self.slots);
            if self.limit >= self.slots {
                self.was_ready = true;
                self.enter(now, Phase::Ready);
            }
        }
    }

    pub(super) fn suspect_success(&mut self, now: Instant, ratio: f64, good: u32) {
        if ratio >= COLD_RATIO {
            self.enter_cold(now);
        } else if ratio <= HIGH_RATIO && good + 1 >= CLEARING_SUCCESSES {
            self.limit = (self.limit / 2.0).max(1.0).min(self.slots);
            self.enter(now, Phase::Ready);
        } else if ratio <= HIGH_RATIO {
            self.phase = Phase::Suspect { good: good + 1 };
        }
    }

    pub(super) fn ready_success(&mut self, now: Instant, ratio: f64, saturated: bool) {
        self.slow_mean += (ratio - self.slow_mean) / 8.0;
        self.fast_mean += (ratio - self.fast_mean) / 4.0;
        self.completions = self.completions.saturating_add(1);
        if self.fast_mean >= COLD_RATIO {
            self.enter(now, Phase::Suspect { good: 0 });
        } else if self.slow_mean >= HIGH_RATIO && self.completions >= DECREASE_GAP {
            self.limit = (self.limit * DECREASE_FACTOR).max(1.0).min(self.slots);
            self.completions = 0;
        } else if saturated && self.slow_mean <= GOOD_RATIO && !self.reports_full(now) {
            self.limit = (self.limit + 1.0 / self.limit).min(self.slots);
        }
        if now.since(self.entered_at) >= DWELL_RESET {
            self.dwell = DWELL_MIN;
        }
    }

    /// Adds a success to the round. Returns the mean ratio and starts a new round once the round
    /// has `min_count` successes and lasted `min_time`.
    fn round(
        &mut self,
        now: Instant,
        ratio: f64,
        min_count: u32,
        min_time: Duration,
    ) -> Option<f64> {
        self.round.add(ratio);
        if self.round.count < min_count || now.since(self.round.started_at) < min_time {
            return None;
        }
        let mean = self.round.mean();
        self.restart_round(now);
        Some(mean)
    }
}
