//! Versions of the configuration. The store counts up its era with each restore from an older copy,
//! after which it assigns revisions again. A version therefore orders by era first.

use std::fmt;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Bits of the number; the era has the remaining 20.
const NUMBER_BITS: u32 = 44;

/// Version of a store object; a larger one is newer. The era is in the upper 20 bits and the number
/// in the lower 44, so that a version of era 0 is encoded as its plain number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

/// An era or a number does not fit into a version.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum VersionError {
    /// The era is too large.
    #[display("the era {era} is out of range; check the store, which may count up to {limit}")]
    Era {
        /// Rejected era.
        era: u64,
        /// Largest era.
        limit: u64,
    },
    /// The number is too large.
    #[display("the version {number} is out of range; use a number of at most {limit}")]
    Number {
        /// Rejected number.
        number: u64,
        /// Largest number.
        limit: u64,
    },
}

impl Version {
    /// Largest era.
    pub const MAX_ERA: u64 = u64::MAX >> NUMBER_BITS;
    /// Largest number.
    pub const MAX_NUMBER: u64 = (1 << NUMBER_BITS) - 1;

    /// Version of an era.
    ///
    /// # Errors
    /// Returns an error when the era or the number is out of range.
    pub const fn new(era: u64, number: u64) -> Result<Self, VersionError> {
        if era > Self::MAX_ERA {
            return Err(VersionError::Era {
                era,
                limit: Self::MAX_ERA,
            });
        }
        if number > Self::MAX_NUMBER {
            return Err(VersionError::Number {
                number,
                limit: Self::MAX_NUMBER,
            });
        }
        Ok(Self((era << NUMBER_BITS) | number))
    }

    /// Era of the store.
    pub const fn era(self) -> u64 {
        self.0 >> NUMBER_BITS
    }

    /// Number within the era.
    pub const fn number(self) -> u64 {
        self.0 & Self::MAX_NUMBER
    }

    /// The same number in another era.
    ///
    /// # Errors
    /// Returns an error when the era is out of range.
    pub const fn in_era(self, era: u64) -> Result<Self, VersionError> {
        Self::new(era, self.number())
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era() {
            0 => write!(f, "{}", self.number()),
            era => write!(f, "{era}.{}", self.number()),
        }
    }
}

/// Versions of the two configuration objects that are in force in a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Versions {
    /// Version of the document.
    pub document: Version,
    /// Version of the set of evacuated data centres; its name in JSON is `places`.
    #[serde(rename = "places")]
    pub evacuations: Version,
}

impl Versions {
    /// Whether either object is newer than in `other`.
    pub fn is_ahead_of(self, other: Self) -> bool {
        self.document > other.document || self.evacuations > other.evacuations
    }
}
