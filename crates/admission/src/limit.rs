//! Concurrency limit of the target and the phase it is in.

mod success;

use monsoon_model::{Duration, Instant};

/// Shortest time in the cold phase. It is longer than the usual lag of a health endpoint, so that a
/// target that turned cold has reported it before the limit rises. Each failed attempt doubles it.
const DWELL_MIN: Duration = Duration::from_secs(4);

/// Longest time between two attempts to leave the cold phase.
const DWELL_MAX: Duration = Duration::from_secs(64);

/// Time in the cold phase of a target that never sent a report: only time can show that it warmed.
const DWELL_WITHOUT_REPORT: Duration = Duration::from_secs(10);

/// Time in the ready phase after which the next cold phase starts at [`DWELL_MIN`] again.
const DWELL_RESET: Duration = Duration::from_secs(60);

/// Age after which a report no longer holds the limit down.
const REPORT_TTL: Duration = Duration::from_secs(10);

/// Largest ratio that one sample contributes, so that one outlier alone changes nothing.
const SAMPLE_RATIO_MAX: f64 = 8.0;

/// Phase of the target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Phase {
    Cold,
    Warming,
    Ready,
    /// Ready until one failure or far latency; carries the cold share until shown to be warm.
    Suspect {
        good: u32,
    },
}

/// End of one request as evidence.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sample {
    pub(crate) started: Instant,
    /// Latency over baseline; none for a failure.
    pub(crate) ratio: Option<f64>,
    /// Whether the limit held other work back.
    pub(crate) saturated: bool,
}

/// Mean over one round of successes.
#[derive(Clone, Copy, Debug, Default)]
struct Round {
    started_at: Instant,
    count: u32,
    sum: f64,
}

/// Limit and phase.
#[derive(Clone, Debug)]
pub(crate) struct Limiter {
    slots: f64,
    cold_limit: f64,
    phase: Phase,
    /// Start of the present phase; earlier requests are no evidence for it.
    entered_at: Instant,
    limit: f64,
    dwell: Duration,
    round: Round,
    slow_mean: f64,
    fast_mean: f64,
    completions: u32,
    plateau: Option<(f64, Instant)>,
    was_ready: bool,
    cold_report: Option<Instant>,
    full_report: Option<Instant>,
    has_report: bool,
}

impl Limiter {
    /// Changes the slots; the limit keeps what evidence has shown, up to the new slots.
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

    /// Present average concurrency that the target may carry.
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

    /// Whether the target was ever warm, so that its baseline is meaningful.
    pub(crate) fn was_ready(&self) -> bool {
        self.was_ready
    }

    /// Records a report of the target's own endpoint.
    pub(crate) fn report(&mut self, now: Instant, cold: bool, load: Option<f64>) {
        self.has_report = true;
        self.cold_report = cold.then_some(now);
        self.full_report = load.is_some_and(|l| l >= 1.0).then_some(now);
        if cold && self.phase != Phase::Cold {
            self.enter_cold(now);
        }
    }

    /// Records the end of a request and returns the factor by which baselines change, if any.
    pub(crate) fn record_end(&mut self, now: Instant, sample: Sample) -> Option<f64> {
        match sample.ratio {
            None => self.failed(now, sample.started),
            Some(ratio) => self.succeeded(now, ratio.min(SAMPLE_RATIO_MAX), sample),
        }
    }

    /// Treats the target as cold until it shows otherwise, because requests in flight hang.
    pub(crate) fn mark_suspect(&mut self, now: Instant) {
        match self.phase {
            Phase::Ready => self.enter(now, Phase::Suspect { good: 0 }),
            Phase::Warming => self.enter_cold(now),
            Phase::Cold | Phase::Suspect { .. } => {}
        }
    }

    fn failed(&mut self, now: Instant, started: Instant) -> Option<f64> {
        match self.phase {
            Phase::Ready => self.enter(now, Phase::Suspect { good: 0 }),
            Phase::Suspect { .. } | Phase::Warming => self.enter_cold(now),
            // A failure of a request that the cold phase itself started restarts its time.
            Phase::Cold if started >= self.entered_at => self.restart_round(now),
            Phase::Cold => {}
        }
        None
    }

    fn succeeded(&mut self, now: Instant, ratio: f64, sample: Sample) -> Option<f64> {
        let fresh = sample.started >= self.entered_at;
        match self.phase {
            Phase::Cold if fresh => return self.cold_success(now, ratio),
            Phase::Warming if fresh => self.warming_success(now, ratio),
            Phase::Suspect { good } if fresh => self.suspect_success(now, ratio, good),
            Phase::Ready => self.ready_success(now, ratio, sample.saturated),
            Phase::Cold | Phase::Warming | Phase::Suspect { .. } => {}
        }
        None
    }

    fn restart_round(&mut self, now: Instant) {
        self.round = Round {
            started_at: now,
            ..Round::default()
        };
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
        debug_assert!(self.limit() <= self.slots, "limit exceeds the slots");
    }
}
