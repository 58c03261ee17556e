//! Virtual time. State machines get the present time as an argument and never read a clock, so that
//! tests and simulations control it.

use std::ops::{Add, AddAssign, Sub};

use serde::{Deserialize, Serialize};

/// Span of time with a resolution of one microsecond.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Duration(u64);

impl Duration {
    /// Empty span.
    pub const ZERO: Self = Self(0);

    /// Span of `micros` microseconds.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Span of `millis` milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1_000))
    }

    /// Span of `secs` seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs.saturating_mul(1_000_000))
    }

    /// Length in microseconds.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Length in milliseconds, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Length in seconds, including the fraction.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// Span multiplied by `factor`, rounded down; zero if `factor` is negative.
    #[must_use]
    pub fn mul_f64(self, factor: f64) -> Self {
        Self((self.0 as f64 * factor) as u64)
    }

    /// Difference, or zero if `other` is longer.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl Add for Duration {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl From<Duration> for std::time::Duration {
    fn from(span: Duration) -> Self {
        Self::from_micros(span.0)
    }
}

impl From<std::time::Duration> for Duration {
    fn from(span: std::time::Duration) -> Self {
        Self(u64::try_from(span.as_micros()).unwrap_or(u64::MAX))
    }
}

/// Point in time on the monotonic clock of the process, in microseconds since an arbitrary start.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Instant(u64);

impl Instant {
    /// Start of the clock.
    pub const ZERO: Self = Self(0);

    /// Point `micros` microseconds after the start.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Point `millis` milliseconds after the start.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1_000))
    }

    /// Point `secs` seconds after the start.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs.saturating_mul(1_000_000))
    }

    /// Microseconds since the start.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Time elapsed since `earlier`, or zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}

impl AddAssign<Duration> for Instant {
    fn add_assign(&mut self, span: Duration) {
        *self = *self + span;
    }
}

impl Sub for Instant {
    type Output = Duration;

    fn sub(self, earlier: Self) -> Duration {
        self.since(earlier)
    }
}
