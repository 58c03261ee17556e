//! Inputs and outputs of the wait queue.

use derive_more::Display;
use monsoon_model::{Duration, Instant};

use crate::account_shares::AccountKey;

/// Smallest concurrency that is calculated with. A target that takes no requests at present still
/// yields a finite wait.
const MIN_CONCURRENCY: f64 = 0.1;

/// Largest concurrency that is calculated with.
const MAX_CONCURRENCY: f64 = 65_536.0;

/// Concurrency that is assumed if the estimate is not a number.
const UNKNOWN_CONCURRENCY: f64 = 1.0;

/// Time that a request needs to reach its goal, in mean service times. Of exponentially distributed
/// service times, 5 % are longer than three means.
const GOAL_MARGIN: f64 = 3.0;

/// Largest time beyond the mean that a request is given to reach its goal. It keeps requests of
/// slow targets from counting as late from the start.
const GOAL_MARGIN_MAX: Duration = Duration::from_millis(50);

/// Request that waits for a place at the target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waiting<T> {
    /// What waits; the queue does not look at it.
    pub item: T,
    /// Account on whose behalf the request is made.
    pub account: AccountKey,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Time until which the answer has its full worth.
    pub goal_at: Instant,
    /// Time from which the answer is worth nothing.
    pub expires_at: Instant,
}

/// Request that was rejected. It has not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejected<T> {
    /// Item of the request.
    pub item: T,
    /// Why it was rejected.
    pub reason: RejectReason,
}

/// Reason for rejecting a request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectReason {
    /// With what is ahead of it, the request cannot be answered within its limit.
    #[display("the wait exceeds the time limit; try another target")]
    Wait,
    /// The time limit cannot be met any more, even if the request starts now.
    #[display("the time limit cannot be met any more; make a new request")]
    Expired,
    /// The queue is full of requests that come first in order.
    #[display("the wait queue is full; try another target")]
    Full,
    /// A more urgent request took the place.
    #[display("more urgent requests came first; try another target")]
    Displaced,
    /// The answer would be late, and enough late requests wait already.
    #[display("the goal cannot be met at this target; try another target")]
    Late,
}

impl RejectReason {
    /// Name in metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Wait => "wait",
            Self::Expired => "expired",
            Self::Full => "full",
            Self::Displaced => "displaced",
            Self::Late => "late",
        }
    }
}

/// What is known of a target: mean time of a request and requests processed concurrently.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Mean time of a request at the target.
    pub service_time: Duration,
    /// Mean number of requests processed concurrently. Values that make no sense are replaced by
    /// the nearest that does, and NaN by 1.
    pub concurrency: f64,
}

impl Estimate {
    /// Concurrency within the range that is calculated with.
    fn places(self) -> f64 {
        if self.concurrency.is_nan() {
            return UNKNOWN_CONCURRENCY;
        }
        self.concurrency.clamp(MIN_CONCURRENCY, MAX_CONCURRENCY)
    }

    /// Mean time until `starts` requests have started, while all places are busy.
    pub(crate) fn time_for(self, starts: f64) -> Duration {
        self.service_time.mul_f64(starts / self.places())
    }

    /// Number of requests that the target processes within `span`.
    pub(crate) fn starts_within(self, span: Duration) -> usize {
        let service = self.service_time.as_micros().max(1) as f64;
        (self.places() * span.as_micros() as f64 / service) as usize
    }

    /// Earliest goal that a request started at `now` is expected to reach.
    pub(crate) fn reachable_goal(self, now: Instant) -> Instant {
        let spread = self.service_time.mul_f64(GOAL_MARGIN - 1.0);
        now + self.service_time + spread.min(GOAL_MARGIN_MAX)
    }
}
