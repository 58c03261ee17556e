//! Learned speed of a target, and its weight in the ranking of balancers.
//!
//! The speed is a reference service time over the learned one. It is announced in coarse steps with
//! a margin, because each change of a weight is announced and makes balancers rank anew.

use monsoon_model::Duration;

use crate::ranking::WEIGHT_PER_SLOT;

/// Service time of a target of speed 1.
const REFERENCE_TIME: Duration = Duration::from_millis(20);
/// Answers from which the learned service time counts. The initial value then has a weight of an
/// eighth.
const MIN_ANSWERS: u32 = 32;
/// Steps in each doubling of the speed: a step is the square root of 2.
const STEPS_PER_DOUBLING: f64 = 2.0;
/// Limit of the steps in both directions: speeds of 1/8 to 8. One wrong estimate thus neither keeps
/// all flows from a target nor sends all of them there.
const MAX_STEP: f64 = 6.0;
/// Weight of a new sample in the moving mean of the speed. The learned service time itself follows
/// 16 answers, and its variation would change the announced step every few seconds.
const SAMPLE_WEIGHT: f64 = 1.0 / 64.0;
/// Distance of the mean from the present step, in steps, beyond which it changes. More than half a step, so that
/// a speed between two steps does not alternate.
const CHANGE_MARGIN: f64 = 0.75;

/// Learned speed of one target.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Speed {
    answers: u32,
    /// Moving mean of the speed, as a power of the square root of 2.
    mean: f64,
    /// Announced speed, as a power of the square root of 2.
    step: f64,
}

impl Speed {
    /// Records an answer, after which the learned service time is `service_time`.
    pub(super) fn record_answer(&mut self, service_time: Duration) {
        self.answers = self.answers.saturating_add(1);
        if self.answers < MIN_ANSWERS {
            return;
        }
        let speed = REFERENCE_TIME.as_secs_f64() / service_time.as_secs_f64().max(1e-6);
        let exact = (speed.log2() * STEPS_PER_DOUBLING).clamp(-MAX_STEP, MAX_STEP);
        if self.answers == MIN_ANSWERS {
            self.mean = exact;
            self.step = exact.round();
        }
        self.mean += (exact - self.mean) * SAMPLE_WEIGHT;
        if (self.mean - self.step).abs() > CHANGE_MARGIN {
            self.step = self.mean.round();
        }
    }

    /// Weight of a target with `slots` at its learned speed, or at speed 1 without enough answers.
    pub(super) fn weight(self, slots: u16) -> u16 {
        let factor = (self.step / STEPS_PER_DOUBLING).exp2();
        // A conversion from a float saturates.
        (f64::from(slots) * f64::from(WEIGHT_PER_SLOT) * factor).round() as u16
    }
}
