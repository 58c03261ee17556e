//! Identifiers and versions.

use derive_more::Display;
use serde::{Deserialize, Serialize};

macro_rules! id {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
            Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);
    };
}

id! {
    /// Number of a service, fixed by the document.
    ServiceId(u16)
}
id! {
    /// Number of a data centre, fixed by the document.
    DataCentreId(u8)
}
id! {
    /// Position of a class within its service.
    ClassKey(u8)
}
id! {
    /// Arena key of a target known to this process.
    TargetKey(u32)
}
id! {
    /// Identity of an agent or balancer process, unique per start.
    AgentId(u64)
}
id! {
    /// Order of a store object; a larger version is newer.
    Version(u64)
}

impl AgentId {
    /// Short tag of the process, carried in its connection IDs. It tells apart processes that used
    /// one address after the other; two of them share a tag once in 256 times.
    pub const fn epoch(self) -> u8 {
        self.0 as u8
    }
}

/// Versions of the two configuration objects that a process has in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Versions {
    /// Version of the document.
    pub document: Version,
    /// Version of the set of data centres taken out.
    #[serde(rename = "places")]
    pub evacuations: Version,
}

impl Versions {
    /// Whether either object is newer than in `other`.
    pub fn is_ahead_of(self, other: Self) -> bool {
        self.document > other.document || self.evacuations > other.evacuations
    }
}
