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
pub(crate) struct Estimate {
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

impl Estimate {
    /// Records the latency of a success. Returns its ratio to the previous baseline.
    pub(crate) fn record(&mut self, latency: Duration, mode: LearnMode) -> f64 {
        let sample = (latency.as_micros() as f64).max(1.0);
        if self.samples == 0 {
            *self = Self {
                mean: sample,
                deviation: sample / 4.0,
                baseline: sample,
                samples: 1,
            };
            return 1.0;
        }
        let ratio = sample / self.baseline;
        self.samples = self.samples.saturating_add(1);
        self.deviation += ((sample - self.mean).abs() - self.deviation) * SERVICE_RATE;
        self.mean += (sample - self.mean) * SERVICE_RATE;
        let rate = match mode {
            LearnMode::Provisional => PROVISIONAL_RATE,
            LearnMode::Warm => BASELINE_RATE.max(1.0 / f64::from(self.samples)),
            LearnMode::ServiceTime => 0.0,
        };
        let clipped = match mode {
            LearnMode::Provisional => sample,
            LearnMode::Warm | LearnMode::ServiceTime => sample.min(self.baseline * CLIP_RATIO),
        };
        self.baseline += (clipped - self.baseline) * rate;
        ratio
    }

    /// Returns the ratio of an age or latency to the baseline, if there is one.
    pub(crate) fn ratio(&self, age: Duration) -> Option<f64> {
        (self.samples > 0).then(|| age.as_micros() as f64 / self.baseline)
    }

    /// Returns the baseline latency, if there is one.
    pub(crate) fn baseline(&self) -> Option<Duration> {
        (self.samples > 0).then(|| Duration::from_micros(self.baseline as u64))
    }

    /// Multiplies the baseline by `factor`.
    pub(crate) fn rescale(&mut self, factor: f64) {
        self.baseline *= factor;
    }
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
        self.classes[class].record(latency, mode)
    }

    /// Returns the ratio of an age or latency to the baseline, if the class has one.
    pub(crate) fn ratio(&self, class: usize, age: Duration) -> Option<f64> {
        self.classes[class].ratio(age)
    }

    /// Returns the baseline latency of the class, if it has one.
    pub(crate) fn baseline(&self, class: usize) -> Option<Duration> {
        self.classes[class].baseline()
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
            estimate.rescale(factor);
        }
    }
}
