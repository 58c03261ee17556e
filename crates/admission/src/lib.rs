//! Admission control for one target, run by its agent.
//!
//! [`Admission`] is the control of the daemon, which sees requests. [`Pace`] limits a target of the
//! platform, whose agent sees flows only, after a start or recovery.
//!
//! [`Admission`] tracks the requests in flight at the target, its open streams and a bounded queue
//! per class. It is sans-I/O: each call receives the current time and returns [`Action`]s.
//!
//! A limit bounds the number of concurrent requests. It depends on the phase of the target:
//! - *Cold*: the target gets an average concurrency of `cold_share` times its slots. If that is
//!   below one, requests run one at a time with a pause after each.
//! - *Warming*: the limit rises by half after each round of successes at good latency.
//! - *Ready*: additive increase up to the slots, multiplicative decrease on high latency.
//!
//! The target's own health reports can be late or wrong. They can lower the limit or keep it from
//! rising, but never raise it.
//!
//! Alternatives considered for the cold start:
//! - A rate limit for cold targets needs the service time, which is unknown before the first
//!   responses. A share of busy time needs no estimate.
//! - A ramp over a fixed time, the usual slow start of load balancers, overloads a target that
//!   warms more slowly than the ramp. A limit that follows completed requests does not.
//! - A limit that follows the health endpoint overloads the target whenever the endpoint lags.
//! - A limit of one request without a pause gives a target of 4 slots 25 % of its load, where it
//!   can carry 10 %.
//!
//! Known limitation: a target that turned cold but still answers at its warm latency, with no
//! failure and no report, cannot be distinguished from a warm one until it fails. The work started
//! before the first failure overloads it. The time between later attempts doubles.

mod account_shares;
mod admission;
mod estimate;
mod in_flight;
mod limit;
mod pace;
mod pacer;
mod queue;
mod round;
mod shedding;
mod streams;
mod types;
mod wait_queue;

pub use account_shares::{AccountKey, AccountShares, HALF_LIFE, MAX_ACCOUNTS};
pub use admission::Admission;
pub use pace::Pace;
pub use queue::{CLASSES_MAX, QUEUE_PER_SLOT};
pub use shedding::{PERIOD as SHEDDING_PERIOD, Shedding};
pub use types::{
    Action, ClassParameters, HealthReport, Load, Outcome, ReportedState, ShedReason,
    TargetParameters, TargetState, WorkId,
};
pub use wait_queue::{
    Estimate, LATE_WORK, MAX_WAITING, RejectReason, Rejected, WaitQueue, Waiting,
};
