//! Places of a target: how many requests it may have in flight, and how long they take.
//!
//! A target processes a request per slot. While the caller answers the offer of the target, its flow
//! has a place but no request at the target, so that a target with as many flows as slots idles. The
//! number of places therefore follows from the service time and the duration of the handshake.

use monsoon_admission::Estimate;
use monsoon_model::Duration;

/// Weight of a new sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 1.0 / 16.0;
/// Service time until the first answer.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(20);
/// Duration of a handshake until the first one.
const INITIAL_HANDSHAKE_TIME: Duration = Duration::from_millis(10);
/// Longest duration of a handshake that counts. A longer one had a lost packet.
const MAX_HANDSHAKE_TIME: Duration = Duration::from_millis(100);
/// Further flows per slot, which cover the variation of service and handshake times.
const SPARE_PER_SLOT: f64 = 1.5;
/// Limit of places per slot. Targets queue a few requests themselves and reject those beyond.
const MAX_PLACES_PER_SLOT: f64 = 4.0;

/// Learned times of one target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Places {
    service_time: Duration,
    handshake_time: Duration,
}

impl Default for Places {
    fn default() -> Self {
        Self {
            service_time: INITIAL_SERVICE_TIME,
            handshake_time: INITIAL_HANDSHAKE_TIME,
        }
    }
}

impl Places {
    /// Records that a request was answered after `latency`. When it reached the target, `running`
    /// requests were there, itself included; those beyond the slots waited for each other.
    pub(super) fn record_answer(&mut self, latency: Duration, running: usize, slots: u16) {
        let share = f64::from(slots) / running.max(1) as f64;
        self.service_time = average(self.service_time, latency.mul_f64(share.min(1.0)));
    }

    /// Records the time from the delivery of an opening packet to the first request.
    pub(super) fn record_handshake(&mut self, duration: Duration) {
        if duration <= MAX_HANDSHAKE_TIME {
            self.handshake_time = average(self.handshake_time, duration);
        }
    }

    /// Mean time of a request at the target.
    pub(super) fn service_time(&self) -> Duration {
        self.service_time
    }

    /// Estimate for the wait queue.
    pub(super) fn estimate(&self, slots: u16) -> Estimate {
        Estimate {
            service_time: self.service_time,
            concurrency: f64::from(slots),
        }
    }

    /// Flows that keep all slots busy: those in their handshake, one request in each slot, and
    /// [`SPARE_PER_SLOT`].
    pub(super) fn limit(&self, slots: u16) -> usize {
        let service_time = self.service_time.as_secs_f64().max(1e-6);
        let in_handshake = self.handshake_time.as_secs_f64() / service_time;
        let per_slot = (1.0 + SPARE_PER_SLOT + in_handshake).min(MAX_PLACES_PER_SLOT);
        (f64::from(slots) * per_slot).ceil() as usize
    }
}

fn average(mean: Duration, sample: Duration) -> Duration {
    mean.mul_f64(1.0 - SAMPLE_WEIGHT) + sample.mul_f64(SAMPLE_WEIGHT)
}
