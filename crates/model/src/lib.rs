//! Types that all crates share: identifiers, numbers, versions, virtual time, candidate chains and
//! the hash of all rendezvous rankings.
//!
//! Nothing here does I/O or keeps state. Identifiers are small `Copy` values, so that state
//! machines refer to arena entries by key instead of by reference.

mod chain;
pub mod hash;
mod id;
mod number;
mod time;
mod version;

pub use chain::{Chain, ChainFull, Hop, MAX_HOPS};
pub use id::{AgentId, ClassKey, DataCentreId, ServiceId, TargetKey};
pub use number::{Number, NumberError};
pub use time::{Duration, Instant};
pub use version::{ExactVersions, PackedVersions, Version, VersionError, Versions};
