//! State machines for conditional writes and leases on versioned objects of a store.
//!
//! [`ConditionalWrite`] makes one write and finds out its outcome even when the store's answer is
//! lost. [`Lease`] acquires and renews a lease that is one object of the store. Both perform no
//! I/O: they return the next [`Call`] to make and take its result as an [`Event`], together with
//! the current time of the process's monotonic clock.
//!
//! # Why at most one holder acts
//!
//! A holder counts the term of its lease from the time before it sent its write, and stops acting
//! a margin before the term ends. Another process takes the lease over only after it has observed
//! one version of the lease object for a whole term of its own clock, which starts after that write
//! took effect. The margin covers clocks that run at different speeds.
//!
//! A holder may be suspended between its check of the lease and its write to another object. The
//! fencing token protects that object: [`may_replace`] is false for a token that is older than the
//! token of the current value.

mod call;
mod lease;
mod write;

pub use call::{Call, Event, ObjectState};
pub use lease::{Lease, LeaseStep, LeaseTiming, TimingError, may_replace};
pub use write::{ConditionalWrite, WriteOutcome, WriteStep};
