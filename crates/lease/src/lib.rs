//! Decisions about conditional writes and leases, without I/O.
//!
//! [`ConditionalWrite`] settles a conditional write whose answer may be lost. [`Lease`] acquires, renews and
//! loses a lease that is an object of the store. Both return the next [`Call`] to make and take
//! its result as an [`Event`], together with the present time of the caller's monotonic clock.
//!
//! # Why at most one holder acts
//! A holder counts the term from the moment before it sent its write, and stops a margin earlier.
//! Others take over only after they observed one version of the lease for a whole term of their
//! own clock, which starts after that write took effect. The margin covers clocks of different
//! speed. A holder that is suspended between its check and its write is stopped by the fencing
//! token: [`may_replace`] refuses a token older than the one of the present value.

mod call;
mod lease;
mod write;

pub use call::{Call, Event, ObjectState};
pub use lease::{Lease, LeaseStep, LeaseTiming, TimingError, may_replace};
pub use write::{ConditionalWrite, WriteOutcome, WriteStep};
