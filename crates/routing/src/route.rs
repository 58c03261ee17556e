//! Results of routing decisions and their counters.

use std::net::SocketAddrV4;

use derive_more::Display;
use monsoon_model::Chain;

/// What to do with a packet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    /// Forward to the agent of an established flow.
    Established(SocketAddrV4),
    /// Forward to the first agent of the chain.
    New(Chain),
    /// Answer with a stateless reset, because the agent is dead or left, or its data centre is
    /// evacuated.
    Reset,
    /// Drop without an answer. The router has counted the reason.
    Drop(DropReason),
}

/// Reason for dropping a packet.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DropReason {
    /// Neither a first packet nor a verified connection ID.
    #[display("connection ID does not verify")]
    Unverified,
    /// The connection ID names a service other than that of the packet's address.
    #[display("connection ID belongs to another service")]
    OtherService,
    /// No table exists for the service.
    #[display("service is not configured")]
    UnknownService,
    /// The service has no target that may accept the flow.
    #[display("service has no ready target")]
    NoTarget,
}

/// Event counts of a router since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Drops as [`DropReason::Unverified`].
    pub unverified: u64,
    /// Drops as [`DropReason::OtherService`].
    pub other_service: u64,
    /// Drops as [`DropReason::UnknownService`].
    pub unknown_service: u64,
    /// Drops as [`DropReason::NoTarget`].
    pub no_target: u64,
    /// Packets answered with a stateless reset.
    pub resets: u64,
    /// Updates ignored because of [`crate::MAX_SERVICES`].
    pub refused_services: u64,
    /// Targets ignored because of [`crate::MAX_TARGETS`].
    pub refused_targets: u64,
    /// Dead agents evicted because of [`crate::MAX_DEAD_AGENTS`].
    pub evicted_dead: u64,
    /// Previous candidates evicted because of [`crate::MAX_HISTORY`].
    pub evicted_past: u64,
}

impl Counters {
    pub(crate) fn count(&mut self, route: &Route) {
        let counter = match route {
            Route::Established(_) | Route::New(_) => return,
            Route::Reset => &mut self.resets,
            Route::Drop(DropReason::Unverified) => &mut self.unverified,
            Route::Drop(DropReason::OtherService) => &mut self.other_service,
            Route::Drop(DropReason::UnknownService) => &mut self.unknown_service,
            Route::Drop(DropReason::NoTarget) => &mut self.no_target,
        };
        *counter += 1;
    }
}
