//! Concurrency limit and phase of the target, adapted to the results of its requests.

mod evidence;

use monsoon_model::{Duration, Instant};

use crate::round::Round;
pub(crate) use evidence::{DECREASE_FACTOR, GOOD_RATIO, HIGH_RATIO};

/// Minimum time in the cold phase. It exceeds the usual lag of a health endpoint, so that a target
/// that turned cold has reported it before the limit rises. Each failed attempt to warm doubles it.
const DWELL_MIN: Duration = Duration::from_secs(4);

/// Maximum of the doubled minimum time, which bounds the time between two attempts to warm.
const DWELL_MAX: Duration = Duration::from_secs(64);

/// Minimum time in the cold phase of a target that never sent a health report. Only time can show
/// that such a target has warmed.
const DWELL_WITHOUT_REPORT: Duration = Duration::from_secs(10);

/// Time in the ready phase that resets the minimum time in the cold phase to [`DWELL_MIN`].
const DWELL_RESET: Duration = Duration::from_secs(60);

/// Age from which a health report no longer keeps the limit from rising.
const REPORT_TTL: Duration = Duration::from_secs(10);

/// Maximum latency ratio of a sample, so that a single outlier does not change the limit.
pub(crate) const SAMPLE_RATIO_MAX: f64 = 8.0;

/// Phase of the target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Phase {
    Cold,
    Warming,
    Ready,
    /// Was ready until a failure, hanging requests or very high latency. Gets the cold share until
    /// enough successes, counted in `good`, show that it is warm.
    Suspect {
        good: u32,
    },
}

/// Result of one request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sample {
    pub(crate) started_at: Instant,
    /// Ratio of latency to baseline. None for a failure.
    pub(crate) ratio: Option<f64>,
    /// Whether the limit kept other work waiting.
    pub(crate) saturated: bool,
}

/// Limit and phase of one target. Limits are in slots, ratios are latency over baseline.
#[derive(Clone, Debug)]
pub(crate) struct Limiter {
    slots: f64,
    cold_limit: f64,
    phase: Phase,
    /// Start of the current phase. Results of requests started earlier do not count for it.
    entered_at: Instant,
    limit: f64,
    /// Minimum time in the cold phase.
    dwell: Duration,
    /// Latency ratios of the successes since the last change.
    round: Round,
    /// Moving mean of the ratios with weight 1/8, for decreases and increases.
    slow_mean: f64,
    /// Moving mean of the ratios with weight 1/4, which detects a cold target.
    fast_mean: f64,
    /// Successes since the last decrease.
    completions: u32,
    /// Mean ratio of a cold target while it is steady, and the time since when it is.
    plateau: Option<(f64, Instant)>,
    was_ready: bool,
    /// Time of the last report if it said cold.
    cold_report: Option<Instant>,
    /// Time of the last report if it said full load.
    full_report: Option<Instant>,
    /// Whether the target ever sent a report.
    has_report: bool,
}

impl Limiter {
    /// Changes the slots. The limit stays, up to the new slots.
    pub(crate) fn resize(&mut self, slots: u32, cold_share: f64) {
        self.slots = f64::from(slots.max(1));
        self.cold_limit = (self.slots * cold_share).min(self.slots);
        self.limit = self.limit.min(self.slots);
        if self.phase == Phase::Cold {
            self.limit = self.cold_limit;
        }
    }

    pub(crate) fn new(slots: u32, cold_share: f64) -> Self {
        let slots = f64::from(slots.max(1));
        Self {
            slots,
            cold_limit: (slots * cold_share).min(slots),
            phase: Phase::Cold,
            entered_at: Instant::ZERO,
            limit: (slots * cold_share).min(slots),
            dwell: DWELL_MIN,
            round: Round::default(),
            slow_mean: 1.0,
            fast_mean: 1.0,
            completions: 0,
            plateau: None,
            was_ready: false,
            cold_report: None,
            full_report: None,
            has_report: false,
        }
    }

    /// Returns the average number of concurrent requests that the target may get.
    pub(crate) fn limit(&self) -> f64 {
        match self.phase {
            Phase::Cold | Phase::Suspect { .. } => self.cold_limit,
            Phase::Warming | Phase::Ready => self.limit,
        }
    }

    pub(crate) fn is_cold(&self) -> bool {
        matches!(self.phase, Phase::Cold | Phase::Suspect { .. })
    }

    pub(crate) fn phase(&self) -> Phase {
        self.phase
    }

    /// Whether the target was ever warm, which makes its latency baseline meaningful.
    pub(crate) fn was_ready(&self) -> bool {
        self.was_ready
    }

    /// Records a health report: whether the target is cold, and its load, where 1 means full.
    pub(crate) fn report(&mut self, now: Instant, is_cold: bool, load: Option<f64>) {
        self.has_report = true;
        self.cold_report = is_cold.then_some(now);
        self.full_report = load.is_some_and(|load| load >= 1.0).then_some(now);
        if is_cold && self.phase != Phase::Cold {
            self.enter_cold(now);
        }
    }

    /// Records the result of a request. Returns the factor by which the baselines change, if any.
    pub(crate) fn record_end(&mut self, now: Instant, sample: Sample) -> Option<f64> {
        match sample.ratio {
            None => self.failed(now, sample.started_at),
            Some(ratio) => self.succeeded(now, ratio.min(SAMPLE_RATIO_MAX), sample),
        }
    }

    /// Treats the target as cold until successes show that it is warm, because requests hang.
    pub(crate) fn mark_suspect(&mut self, now: Instant) {
        match self.phase {
            Phase::Ready => self.enter(now, Phase::Suspect { good: 0 }),
            Phase::Warming => self.enter_cold(now),
            Phase::Cold | Phase::Suspect { .. } => {}
        }
    }

    fn failed(&mut self, now: Instant, started_at: Instant) -> Option<f64> {
        match self.phase {
            Phase::Ready => self.enter(now, Phase::Suspect { good: 0 }),
            Phase::Suspect { .. } | Phase::Warming => self.enter_cold(now),
            // Only a failure of a request that was started in this cold phase restarts the round.
            Phase::Cold if started_at >= self.entered_at => self.restart_round(now),
            Phase::Cold => {}
        }
        None
    }

    fn succeeded(&mut self, now: Instant, ratio: f64, sample: Sample) -> Option<f64> {
        let is_current = sample.started_at >= self.entered_at;
        match self.phase {
            Phase::Cold if is_current => return self.cold_success(now, ratio),
            Phase::Warming if is_current => self.warming_success(now, ratio),
            Phase::Suspect { good } if is_current => self.suspect_success(now, ratio, good),
            Phase::Ready => self.ready_success(now, ratio, sample.saturated),
            Phase::Cold | Phase::Warming | Phase::Suspect { .. } => {}
        }
        None
    }

    fn restart_round(&mut self, now: Instant) {
        self.round = Round::new(now);
    }

    fn must_stay_cold(&self, now: Instant) -> bool {
        let reports_cold = self
            .cold_report
            .is_some_and(|at| now.since(at) < REPORT_TTL);
        let dwell = if self.has_report {
            self.dwell
        } else {
            self.dwell.max(DWELL_WITHOUT_REPORT)
        };
        reports_cold || now.since(self.entered_at) < dwell
    }

    fn reports_full(&self, now: Instant) -> bool {
        self.full_report
            .is_some_and(|at| now.since(at) < REPORT_TTL)
    }

    fn enter_cold(&mut self, now: Instant) {
        if self.phase == Phase::Warming {
            let doubled = self.dwell + self.dwell;
            self.dwell = doubled.min(DWELL_MAX);
        }
        self.plateau = None;
        self.enter(now, Phase::Cold);
    }

    fn enter(&mut self, now: Instant, phase: Phase) {
        self.phase = phase;
        self.entered_at = now;
        self.slow_mean = 1.0;
        self.fast_mean = 1.0;
        self.completions = 0;
        self.restart_round(now);
        debug_assert!(self.limit() <= self.slots, "the limit exceeds the slots");
    }
}
