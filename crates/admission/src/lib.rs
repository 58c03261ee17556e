//! Admission of work to one target, decided by the agent beside it.
//!
//! [`Admission`] keeps the target's in-flight work, its open streams and bounded queues per class.
//! It is sans-I/O: each call receives the present time and returns [`Action`]s.
//!
//! The number of concurrent requests follows a limit that has three phases:
//! - *Cold*: the target carries `cold_share` of its slots in average concurrency. Where that is
//!   below one, requests run one at a time with a pause after each.
//! - *Warming*: the limit rises by half after each round of successes at good latency.
//! - *Ready*: additive increase up to the slots, multiplicative decrease on high latency.
//!
//! The target's own reports lag and mislead. They can lower the limit or hold it down and never
//! raise it.
//!
//! Alternatives considered for the cold start:
//! - A rate limit for cold targets needs the service time, which is unknown before the first
//!   responses. A share of busy time needs no estimate.
//! - A ramp over a fixed time (the usual slow start of load balancers) overruns a target that
//!   warms more slowly than the ramp. Evidence from completions does not.
//! - Following the health endpoint overruns the target whenever the endpoint lags.
//! - Holding the limit at one request without a pause gives a target of 4 slots 25 % of its load
//!   where it can carry 10 %.
//!
//! Where this does not hold: a target that turned cold and still answers at its warm latency, with
//! no failure and no report, cannot be told from a warm one until it fails. The work started up to
//! the first failure overruns it. The time between later attempts doubles.

mod admission;
mod estimate;
mod in_flight;
mod limit;
mod pacer;
mod queue;
mod streams;
mod types;

pub use admission::Admission;
pub use queue::{CLASSES_MAX, QUEUE_PER_SLOT};
pub use types::{
    Action, ClassParameters, HealthReport, Load, Outcome, ReportedState, ShedReason,
    TargetParameters, TargetState, WorkId,
};
