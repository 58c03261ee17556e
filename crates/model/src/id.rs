//! Identifiers of services, data centres, targets and processes.

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
    /// Identifier of a service, assigned by the document.
    ServiceId(u16)
}
id! {
    /// Identifier of a data centre, assigned by the document.
    DataCentreId(u8)
}
id! {
    /// Index of a class within its service.
    ClassKey(u8)
}
id! {
    /// Arena key of a target known to this process.
    TargetKey(u32)
}
id! {
    /// Identity of an agent or balancer process, a new one with each start.
    AgentId(u64)
}
impl AgentId {
    /// Short tag of the process, carried in its connection IDs. It distinguishes processes that
    /// used the same address one after the other; two of them have the same tag with a probability
    /// of 1 in 256.
    pub const fn epoch(self) -> u8 {
        self.0 as u8
    }
}
