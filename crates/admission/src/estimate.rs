//! Estimates of service time and baseline latency per class.

use monsoon_model::Duration;

/// Weight of a new sample in the service time.
const SERVICE_RATE: f64 = 1.0 / 16.0;

/// Minimum weight of a new sample in the baseline of a warm target.
const BASELINE_RATE: f64 = 1.0 / 64.0;

/// Weight of a new sample in the baseline of a target that was never warm.
const PROVISIONAL_RATE: f64 = 1.0 / 4.0;

/// Multiple of the baseline to which samples are clipped, so that a slow period changes the
/// baseline only a little.
const CLIP_RATIO: f64 = 2.0;

/// Estimates of one class, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
struct Estimate {
    mean: f64,
    deviation: f64,
    baseline: f64,
    samples: u32,
}

/// Estimates of all classes.
#[derive(Clone, Debug)]
pub(crate) struct Estimates {
    classes: Vec<Estimate>,
}

/// Which estimates a sample updates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LearnMode {
    /// Service time, and the baseline quickly: the target was never warm.
    Provisional,
    /// Service time, and the baseline slowly: the target is warm.
    Warm,
    /// Service time only: the target is cold after it was warm.
    ServiceTime,
}

impl Estimates {
    pub(crate) fn new(classes: usize) -> Self {
        Self {
            classes: vec![Estimate::default(); classes],
        }
    }

    /// Adds estimates for further classes. Estimates of removed classes stay for work in flight.
    pub(crate) fn grow(&mut self, classes: usize) {
        let classes = classes.max(self.classes.len());
        self.classes.resize(classes, Estimate::default());
    }

    /// Records the latency of a success. Returns its ratio to the previous baseline.
    pub(crate) fn record(&mut self, class: usize, latency: Duration, mode: LearnMode) -> f64 {
        let sample = (latency.as_micros() as f64).max(1.0);
        let estimate = &mut self.classes[class];
        if estimate.samples == 0 {
            *estimate = Estimate {
                mean: sample,
                deviation: sample / 4.0,
                baseline: sample,
                samples: 1,
            };
            return 1.0;
        }
        let ratio = sample / estimate.baseline;
        estimate.samples = estimate.samples.saturating_add(1);
        estimate.deviation += ((sample - estimate.mean).abs() - estimate.deviation) * SERVICE_RATE;
        estimate.mean += (sample - estimate.mean) * SERVICE_RATE;
        let rate = match mode {
            LearnMode::Provisional => PROVISIONAL_RATE,
            LearnMode::Warm => BASELINE_RATE.max(1.0 / f64::from(estimate.samples)),
            LearnMode::ServiceTime => 0.0,
        };
        let clipped = match mode {
            LearnMode::Provisional => sample,
            LearnMode::Warm | LearnMode::ServiceTime => sample.min(estimate.baseline * CLIP_RATIO),
        };
        estimate.baseline += (clipped - estimate.baseline) * rate;
        ratio
    }

    /// Returns the ratio of an age or latency to the baseline, if the class has one.
    pub(crate) fn ratio(&self, class: usize, age: Duration) -> Option<f64> {
        let estimate = self.classes[class];
        (estimate.samples > 0).then(|| age.as_micros() as f64 / estimate.baseline)
    }

    /// Returns the baseline latency of the class, if it has one.
    pub(crate) fn baseline(&self, class: usize) -> Option<Duration> {
        let estimate = self.classes[class];
        (estimate.samples > 0).then(|| Duration::from_micros(estimate.baseline as u64))
    }

    /// Returns the mean service time of the class in microseconds, or zero if unknown.
    pub(crate) fn mean(&self, class: usize) -> f64 {
        self.classes[class].mean
    }

    /// Returns a service time that most requests of the class do not exceed: mean plus deviation.
    pub(crate) fn service_time(&self, class: usize) -> Duration {
        let estimate = self.classes[class];
        Duration::from_micros((estimate.mean + estimate.deviation) as u64)
    }

    /// Multiplies all baselines by `factor`, after the target became lastingly slower or faster.
    pub(crate) fn rescale(&mut self, factor: f64) {
        for estimate in &mut self.classes {
            estimate.baseline *= factor;
        }
    }
}
