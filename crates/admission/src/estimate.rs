//! Latency estimates per class.

use monsoon_model::Duration;

/// Weight of a new sample in the service estimate.
const SERVICE_RATE: f64 = 1.0 / 16.0;

/// Weight of a new sample in the warm baseline once it has settled.
const BASELINE_RATE: f64 = 1.0 / 64.0;

/// Weight of a new sample in the baseline before the target was ever warm.
const PROVISIONAL_RATE: f64 = 1.0 / 4.0;

/// Samples are clipped at this multiple of the baseline, so that a slow episode moves it little.
const CLIP_RATIO: f64 = 2.0;

/// Latency of one class, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
struct Estimate {
    mean: f64,
    deviation: f64,
    baseline: f64,
    samples: u32,
}

/// Latency of all classes.
#[derive(Clone, Debug)]
pub(crate) struct Estimates {
    classes: Vec<Estimate>,
}

/// Which estimates a sample may move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LearnMode {
    /// The target was never warm: the baseline follows quickly.
    Provisional,
    /// The target is warm: the baseline follows slowly.
    Warm,
    /// The target is cold after a warm phase: the baseline stays.
    ServiceTime,
}

impl Estimates {
    pub(crate) fn new(classes: usize) -> Self {
        Self {
            classes: vec![Estimate::default(); classes],
        }
    }

    /// Makes room for more classes. Fewer classes keep their estimates, for work in flight.
    pub(crate) fn grow(&mut self, classes: usize) {
        let classes = classes.max(self.classes.len());
        self.classes.resize(classes, Estimate::default());
    }

    /// Records the latency of a success and returns its ratio to the baseline before it.
    pub(crate) fn record(&mut self, class: usize, latency: Duration, mode: LearnMode) -> f64 {
        let sample = (latency.as_micros() as f64).max(1.0);
        let e = &mut self.classes[class];
        if e.samples == 0 {
            *e = Estimate {
                mean: sample,
                deviation: sample / 4.0,
                baseline: sample,
                samples: 1,
            };
            return 1.0;
        }
        let ratio = sample / e.baseline;
        e.samples = e.samples.saturating_add(1);
        e.deviation += ((sample - e.mean).abs() - e.deviation) * SERVICE_RATE;
        e.mean += (sample - e.mean) * SERVICE_RATE;
        let rate = match mode {
            LearnMode::Provisional => PROVISIONAL_RATE,
            LearnMode::Warm => BASELINE_RATE.max(1.0 / f64::from(e.samples)),
            LearnMode::ServiceTime => 0.0,
        };
        let clipped = match mode {
            LearnMode::Provisional => sample,
            LearnMode::Warm | LearnMode::ServiceTime => sample.min(e.baseline * CLIP_RATIO),
        };
        e.baseline += (clipped - e.baseline) * rate;
        ratio
    }

    /// Ratio of an age or latency to the baseline, if the class has one.
    pub(crate) fn ratio(&self, class: usize, age: Duration) -> Option<f64> {
        let e = self.classes[class];
        (e.samples > 0).then(|| age.as_micros() as f64 / e.baseline)
    }

    /// Baseline of the class, if it has one.
    pub(crate) fn baseline(&self, class: usize) -> Option<Duration> {
        let e = self.classes[class];
        (e.samples > 0).then(|| Duration::from_micros(e.baseline as u64))
    }

    /// Mean service time of the class, in microseconds; zero when unknown.
    pub(crate) fn mean(&self, class: usize) -> f64 {
        self.classes[class].mean
    }

    /// Service time that most requests of the class stay below.
    pub(crate) fn service_time(&self, class: usize) -> Duration {
        let e = self.classes[class];
        Duration::from_micros((e.mean + e.deviation) as u64)
    }

    /// Moves all baselines by `factor` after the target settled at another speed.
    pub(crate) fn rescale(&mut self, factor: f64) {
        for e in &mut self.classes {
            e.baseline *= factor;
        }
    }
}
