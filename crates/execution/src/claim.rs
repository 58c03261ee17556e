//! Claims of idempotency keys: a non-idempotent request runs at most once although its caller may
//! send it again, to any agent, within the claim window.
//!
//! # Rule
//!
//! All agents of a service are ranked per key by rendezvous hashing. Members that departed within
//! the window keep their place. The claimer walks the ranking from the top, one member at a time:
//! - a member that joined recently records the claim but takes no *position*;
//! - any other member takes a position: it records the claim ("fresh"), or is *absent* because it
//!   departed, is leaving or cannot be reached;
//! - the first member that knows a claim of another attempt ends the round.
//!
//! The request runs when two of the first three positions are fresh. Where the ranking ends with
//! fewer positions, all of them must be fresh; where it ends without any (a service that has just
//! been started), all members must have recorded the claim.
//!
//! # Why at most one attempt runs
//!
//! Two attempts that run each recorded their claim at two of the same three positions, so they
//! share a member. A member records the first claim and answers the second attempt with it. The
//! argument does not depend on whether an absent member is really gone, so false suspicions and
//! views that differ in who is absent do no harm.
//!
//! The positions of a key change in two ways:
//! - A member joins. It takes a position only after [`RECENT_JOIN_WINDOW`], which is longer than the window
//!   plus the time in which all claimers learn of it. Claims that are still alive then were
//!   recorded by it too, because it ranked above the second fresh member and was asked, or it was
//!   asked in vain and took a position as absent.
//! - A departed member is forgotten, at least one window after it departed. Claims that it
//!   recorded have expired by then. A member that hands its claims over when it leaves may be
//!   forgotten at once, see [`ClaimTable::leave`].
//!
//! A restarted member has a new identity and so joined recently; its empty table misleads nobody.
//! A member that was declared dead and returns calls [`ClaimTable::rejoin`].
//!
//! Members are asked one after the other in rank order. Of two concurrent attempts the one that is
//! first at their first common member goes on, and the other releases what it holds. Asking in
//! parallel would let each win one member, and neither could run for the rest of the window.
//!
//! A claim message may be lost, repeated or late. It carries the identity of the attempt, so a
//! repetition gets the same answer. A release removes only the claim of its own attempt, and an
//! attempt that released never claims again. A repetition that arrives after the release records
//! the claim anew: this refuses the key until the window ends, and runs nothing twice.
//!
//! # Where it does not hold
//!
//! - A claimer whose list lacks a member that others rank. An agent makes no claims before its
//!   list of members is complete.
//! - A partition that lasts longer than the window, with callers that reach both sides: each side has then
//!   forgotten the other's members.
//! - All members that recorded a claim crash, and nobody remembers them as departed.
//! - A caller that sends the request again later than the window after its claim.

mod round;
mod table;

use derive_more::Display;
use monsoon_model::hash::mix;
use monsoon_model::{AgentId, Duration};
use serde::{Deserialize, Serialize};

pub use round::{CLAIM_RETRY_DELAY, CLAIM_SENDS_MAX, ClaimResult, ClaimRound, RoundAction};
pub use table::{CLAIMS_MAX, ClaimTable, TransferredClaim};

/// Time for which a claim is kept.
pub const CLAIM_WINDOW: Duration = Duration::from_secs(120);

/// Age up to which a member joined recently: the window, the time in which every claimer learns
/// of a member, and the drift of clocks.
pub const RECENT_JOIN_WINDOW: Duration = Duration::from_secs(130);

/// Hash of service and idempotency key.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct KeyHash(pub u128);

/// Identity of one attempt to claim, never used again.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{agent}.{serial}")]
pub struct ClaimId {
    /// Agent that claims.
    pub agent: AgentId,
    /// Number of the attempt at that agent.
    pub serial: u64,
}

/// Answer of a member to a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// What the member did.
    pub verdict: Verdict,
    /// Whether it joined recently.
    pub joined_recently: bool,
}

/// What a member did with a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// It recorded the claim and knew no other.
    Recorded,
    /// It knows the claim of another attempt, with the response status if there is one.
    Conflict(Option<u16>),
    /// It knows no other claim but has no room to record this one.
    Full,
    /// It is leaving and records no more claims.
    Leaving,
}

/// Member of a service in a claimer's view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// Identity.
    pub id: AgentId,
    /// Whether it departed within the claim window.
    pub departed: bool,
}

/// Members in rank order for `key`, highest first.
pub fn rank(key: KeyHash, members: impl IntoIterator<Item = Member>) -> Vec<Member> {
    let folded = mix(key.0 as u64, (key.0 >> 64) as u64);
    let mut ranked: Vec<_> = members.into_iter().collect();
    ranked.sort_unstable_by_key(|m| std::cmp::Reverse((mix(folded, m.id.0), m.id)));
    ranked.dedup_by_key(|m| m.id);
    ranked
}
