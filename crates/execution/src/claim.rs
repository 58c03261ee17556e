//! Claims of idempotency keys: a non-idempotent request runs at most once although its caller may
//! send it again, to any agent, within the claim window ([`CLAIM_WINDOW`]).
//!
//! Before an agent runs such a request, it claims the request's key at agents of the service, the
//! *members*, of which it is one. One attempt to claim a key is a *round*, and the agent that makes
//! it is the *claimer*.
//!
//! # Rule
//!
//! The claimer ranks all members for the key by rendezvous hashing. Members that departed within
//! the claim window keep their rank. The claimer sends its claim to one member after the other,
//! highest rank first:
//! - A member that joined recently records the claim but takes no *position*.
//! - Any other member takes a position. It is *fresh* when it records the claim, and *absent* when
//!   it departed, is leaving or cannot be reached.
//! - The first member that knows a claim of another round ends this round.
//!
//! The request runs when two of the first three positions are fresh. When there are fewer than
//! three positions, all of them must be fresh. When there is none, because the service has just
//! been started, all members must have recorded the claim. A member whose table is full counts as
//! if it had recorded the claim, but the request then does not run.
//!
//! # Why at most one round is granted
//!
//! Two granted rounds would each have recorded their claim at two of the same three positions, so
//! they would share a member. A member records the first claim and answers the second with a
//! conflict. This holds whether or not an absent member is really gone, so false suspicions and
//! different views of who is absent do no harm.
//!
//! The positions of a key change in two cases:
//! - A member joins. It takes a position only after [`RECENT_JOIN_WINDOW`], which is longer than
//!   the claim window plus the time until all claimers know of it. Every claim that is still live
//!   then was sent to it, because it ranks above the second fresh member. It recorded the claim, or
//!   it could not be reached and took a position as absent.
//! - A departed member is forgotten, at least one claim window after it departed. The claims that
//!   it recorded have expired by then. A member that transferred its claims when it left may be
//!   forgotten at once, see [`ClaimTable::leave`].
//!
//! A restarted member has a new identity and so has joined recently; its empty table does no harm.
//! A member that was declared dead and returns calls [`ClaimTable::rejoin`].
//!
//! Claims are sent to one member at a time, in rank order. Of two concurrent rounds the one that
//! comes first at their first common member goes on, and the other releases its claims. If claims
//! were sent in parallel, each round could win one member, and neither could run the request for
//! the rest of the window.
//!
//! A claim message may be lost, repeated or late. It carries the identity of its round, so a
//! repeated message gets the same answer. A release removes only the claim of its own round, and a
//! round that released never claims again. A claim that is repeated after its release is recorded
//! anew: the key is then rejected until the window ends, but nothing runs twice.
//!
//! # Limits
//!
//! A request can run twice in these cases:
//! - The claimer's list lacks a member that others rank. An agent therefore makes no claims before
//!   its list of members is complete.
//! - A partition lasts longer than the window and callers reach both sides. Each side has then
//!   forgotten the members of the other.
//! - All members that recorded a claim crash, and no member remembers them as departed.
//! - A caller sends the request again later than one window after its claim.

mod round;
mod table;

use derive_more::Display;
use monsoon_model::hash::mix;
use monsoon_model::{AgentId, Duration};
use serde::{Deserialize, Serialize};

pub use round::{CLAIM_RETRY_DELAY, CLAIM_SENDS_MAX, ClaimResult, ClaimRound, RoundAction};
pub use table::{CLAIMS_MAX, ClaimTable, TransferredClaim};

/// Time for which a member keeps a claim.
pub const CLAIM_WINDOW: Duration = Duration::from_secs(120);

/// Time after its join for which a member counts as recent. It covers the claim window, the time
/// until every claimer knows of the member, and the drift of clocks.
pub const RECENT_JOIN_WINDOW: Duration = Duration::from_secs(130);

/// Hash of service and idempotency key.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct KeyHash(pub u128);

/// Identity of one round, never used again.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{agent}.{serial}")]
pub struct ClaimId {
    /// Claimer.
    pub agent: AgentId,
    /// Number of the round at that agent.
    pub serial: u64,
}

/// Answer of a member to a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// What the member did with the claim.
    pub verdict: Verdict,
    /// Whether the member joined within [`RECENT_JOIN_WINDOW`].
    pub joined_recently: bool,
}

/// What a member did with a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// It recorded the claim and knows no other for the key.
    Recorded,
    /// It knows the claim of another round, with the response status if there is one.
    Conflict(Option<u16>),
    /// It knows no other claim but its table is full.
    Full,
    /// It is leaving and records no new claims.
    Leaving,
}

/// Member of a service, as the claimer knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// Agent that is the member.
    pub id: AgentId,
    /// Whether the member departed within the claim window.
    pub departed: bool,
}

/// Members in rank order for `key`, highest first, each once.
pub fn rank(key: KeyHash, members: impl IntoIterator<Item = Member>) -> Vec<Member> {
    let key_hash = mix(key.0 as u64, (key.0 >> 64) as u64);
    let mut ranked: Vec<_> = members.into_iter().collect();
    ranked.sort_unstable_by_key(|m| std::cmp::Reverse((mix(key_hash, m.id.0), m.id)));
    ranked.dedup_by_key(|m| m.id);
    ranked
}
