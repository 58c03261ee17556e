//! Versions of the configuration. The store counts up its era with each restore from an older copy,
//! after which it assigns revisions again. A version therefore orders by era first.
//!
//! Messages carry a version packed into an integer of 64 bits, as all releases read it. One that
//! does not fit is rounded down there, and the messages that need it carry its text as well.

use std::fmt;
use std::str::FromStr;

use derive_more::{Display, Error, From};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

use crate::{Number, NumberError};

/// Bits of the number in a packed version; the era has the remaining 20.
const NUMBER_BITS: u32 = 44;
/// Largest era of a packed version.
const MAX_PACKED_ERA: u64 = u64::MAX >> NUMBER_BITS;
/// Largest number of a packed version. It also stands for all larger ones.
const MAX_PACKED_NUMBER: u64 = (1 << NUMBER_BITS) - 1;

/// Text of [`Version::NONE`].
const NONE_TEXT: &str = "none";

/// Version of a store object; a larger one is newer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version {
    era: u64,
    number: Number,
}

/// A text is not a version.
#[derive(Clone, Copy, Debug, Display, Error, From, PartialEq, Eq)]
pub enum VersionError {
    /// The era is not an integer.
    #[display("the era is not an integer of 64 bits; write the version as era.number")]
    Era,
    /// The number cannot be read.
    #[display("{_0}")]
    Number(NumberError),
}

impl Version {
    /// Version before the first one. Its text is `none`, and 0 when packed.
    pub const NONE: Self = Self::new(0, Number::LOWEST);

    /// Version of an era.
    pub const fn new(era: u64, number: Number) -> Self {
        Self { era, number }
    }

    /// Version of era 0.
    pub const fn of(number: u64) -> Self {
        Self::new(0, Number::of(number))
    }

    /// Version of an integer with the era in the upper 20 bits and the number in the lower 44.
    pub const fn from_packed(packed: u64) -> Self {
        if packed == 0 {
            return Self::NONE;
        }
        let number = Number::of(packed & MAX_PACKED_NUMBER);
        Self::new(packed >> NUMBER_BITS, number)
    }

    /// Integer with the era in the upper 20 bits and the number in the lower 44. A version that
    /// does not fit is rounded down, so that packed versions are ordered like versions.
    pub fn packed(self) -> u64 {
        if self.era > MAX_PACKED_ERA {
            return u64::MAX;
        }
        let number = self.number.saturating_u64().min(MAX_PACKED_NUMBER);
        (self.era << NUMBER_BITS) | number
    }

    /// Whether no other version is packed into the same integer.
    pub fn is_packable(self) -> bool {
        let packed = self.packed();
        packed & MAX_PACKED_NUMBER != MAX_PACKED_NUMBER && Self::from_packed(packed) == self
    }

    /// Era of the store.
    pub const fn era(self) -> u64 {
        self.era
    }

    /// Number within the era.
    pub const fn number(self) -> Number {
        self.number
    }

    /// The same number in another era.
    #[must_use]
    pub const fn in_era(self, era: u64) -> Self {
        Self::new(era, self.number)
    }
}

impl Default for Version {
    fn default() -> Self {
        Self::NONE
    }
}

/// Writes the era, a point and the number. The era is left out if it is 0 and the number is an
/// integer.
impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if *self == Self::NONE || self.era == 0 && self.number.is_plain() {
            write!(f, "{}", self.number)
        } else {
            write!(f, "{}.{}", self.era, self.number)
        }
    }
}

impl FromStr for Version {
    type Err = VersionError;

    fn from_str(text: &str) -> Result<Self, VersionError> {
        if text == NONE_TEXT {
            return Ok(Self::NONE);
        }
        let Some((era, number)) = text.split_once('.') else {
            return Ok(Self::new(0, text.parse()?));
        };
        let era = era.parse().ok().ok_or(VersionError::Era)?;
        Ok(Self::new(era, number.parse()?))
    }
}

/// Binary formats hold the packed version. Formats for people hold the number if the era is 0 and
/// the number is an integer of 64 bits, and the text otherwise.
impl Serialize for Version {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if !serializer.is_human_readable() {
            return serializer.serialize_u64(self.packed());
        }
        let integer = self.number.saturating_u64();
        if *self == Self::of(integer) || *self == Self::NONE {
            serializer.serialize_u64(integer)
        } else {
            serializer.collect_str(self)
        }
    }
}

impl<'de> Deserialize<'de> for Version {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            deserializer.deserialize_any(VersionVisitor)
        } else {
            u64::deserialize(deserializer).map(Self::from_packed)
        }
    }
}

struct VersionVisitor;

impl de::Visitor<'_> for VersionVisitor {
    type Value = Version;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a version as an integer or as text")
    }

    fn visit_u64<E: de::Error>(self, value: u64) -> Result<Version, E> {
        Ok(Version::of(value))
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<Version, E> {
        text.parse().map_err(E::custom)
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

    /// Whether both are exact when packed. A set of evacuations of revision 0 is the empty one of
    /// the start, for which it does not matter.
    pub fn are_packable(self) -> bool {
        let is_empty = self.evacuations == Version::of(0);
        self.document.is_packable() && (is_empty || self.evacuations.is_packable())
    }
}

/// Packed versions, for lists of many processes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PackedVersions {
    /// Version of the document.
    pub document: u64,
    /// Version of the set of evacuated data centres.
    pub evacuations: u64,
}

impl From<Versions> for PackedVersions {
    fn from(versions: Versions) -> Self {
        Self {
            document: versions.document.packed(),
            evacuations: versions.evacuations.packed(),
        }
    }
}

impl From<PackedVersions> for Versions {
    fn from(packed: PackedVersions) -> Self {
        Self {
            document: Version::from_packed(packed.document),
            evacuations: Version::from_packed(packed.evacuations),
        }
    }
}

/// Versions that binary formats hold as text, for messages whose packed versions are rounded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "Texts", into = "Texts")]
pub struct ExactVersions(pub Versions);

#[derive(Serialize, Deserialize)]
struct Texts {
    document: String,
    evacuations: String,
}

impl From<ExactVersions> for Texts {
    fn from(ExactVersions(versions): ExactVersions) -> Self {
        Self {
            document: versions.document.to_string(),
            evacuations: versions.evacuations.to_string(),
        }
    }
}

impl TryFrom<Texts> for ExactVersions {
    type Error = VersionError;

    fn try_from(texts: Texts) -> Result<Self, VersionError> {
        Ok(Self(Versions {
            document: texts.document.parse()?,
            evacuations: texts.evacuations.parse()?,
        }))
    }
}
