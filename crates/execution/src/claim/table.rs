//! Claims recorded by one member.

use std::collections::{BTreeMap, VecDeque};

use monsoon_model::Instant;

use super::{Answer, CLAIM_WINDOW, ClaimId, KeyHash, RECENT_JOIN_WINDOW, Verdict};

/// Most claims of one member. At the bound new claims are refused: evicting a live claim would
/// permit a second run.
pub const CLAIMS_MAX: usize = 65_536;

#[derive(Clone, Copy, Debug)]
struct Entry {
    claim: ClaimId,
    status: Option<u16>,
}

/// A claim that a leaving member passes to another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct TransferredClaim {
    /// Key.
    pub key: KeyHash,
    /// Attempt that holds the key.
    pub claim: ClaimId,
    /// Response status, if there is one.
    pub status: Option<u16>,
}

/// Bounded table of claims.
#[derive(Clone, Debug)]
pub struct ClaimTable {
    entries: BTreeMap<KeyHash, Entry>,
    /// Claims in the order of their expiry. Released ones stay until then.
    order: VecDeque<(Instant, KeyHash, ClaimId)>,
    joined: Instant,
    leaving: bool,
    bound: usize,
}

impl ClaimTable {
    /// Empty table of a member that joined at `joined`.
    pub fn new(joined: Instant) -> Self {
        Self::with_bound(joined, CLAIMS_MAX)
    }

    /// Empty table with another bound than [`CLAIMS_MAX`].
    pub fn with_bound(joined: Instant, bound: usize) -> Self {
        Self {
            entries: BTreeMap::new(),
            order: VecDeque::new(),
            joined,
            leaving: false,
            bound,
        }
    }

    /// Records a claim unless the key is claimed by another attempt.
    pub fn claim(&mut self, now: Instant, key: KeyHash, claim: ClaimId) -> Answer {
        self.expire(now);
        let verdict = match self.entries.get(&key) {
            Some(entry) if entry.claim == claim => Verdict::Recorded,
            Some(entry) => Verdict::Conflict(entry.status),
            None if self.leaving => Verdict::Leaving,
            None if self.order.len() >= self.bound => Verdict::Full,
            None => {
                self.insert(now, key, claim, None);
                Verdict::Recorded
            }
        };
        Answer {
            verdict,
            joined_recently: now.since(self.joined) < RECENT_JOIN_WINDOW,
        }
    }

    /// Stores the response status of the attempt that holds the key.
    pub fn store_status(&mut self, key: KeyHash, claim: ClaimId, status: u16) {
        if let Some(entry) = self.entries.get_mut(&key).filter(|e| e.claim == claim) {
            entry.status = Some(status);
        }
    }

    /// Releases the claim of an attempt that did not run.
    pub fn release(&mut self, key: KeyHash, claim: ClaimId) {
        if self.entries.get(&key).is_some_and(|e| e.claim == claim) {
            self.entries.remove(&key);
        }
    }

    /// Makes the member count as joined now. Called when it learns that it was declared dead:
    /// claims may have been made without it.
    pub fn rejoin(&mut self, now: Instant) {
        self.joined = now;
    }

    /// Stops recording and returns all live claims, to be passed to every other member.
    ///
    /// When at most one of them did not adopt all claims (it is absent, refused one or did not
    /// confirm), this member may be forgotten at once: any two positions then include a member that
    /// adopted. Otherwise it counts as departed for the claim window.
    pub fn leave(&mut self, now: Instant) -> Vec<TransferredClaim> {
        self.expire(now);
        self.leaving = true;
        let handed = |(key, e): (&KeyHash, &Entry)| TransferredClaim {
            key: *key,
            claim: e.claim,
            status: e.status,
        };
        self.entries.iter().map(handed).collect()
    }

    /// Records a claim passed on by a leaving member; false when there is no room or the key is
    /// claimed by another attempt.
    pub fn accept_transfer(&mut self, now: Instant, handed: TransferredClaim) -> bool {
        self.expire(now);
        if let Some(entry) = self.entries.get(&handed.key) {
            // Another attempt may still release its claim, and the handed one would be lost.
            return entry.claim == handed.claim;
        }
        if self.leaving || self.order.len() >= self.bound {
            return false;
        }
        // The claim is kept for a full window from now, because the order of expiry is that of
        // arrival.
        self.insert(now, handed.key, handed.claim, handed.status);
        true
    }

    /// Number of live claims.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is no live claim.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn insert(&mut self, now: Instant, key: KeyHash, claim: ClaimId, status: Option<u16>) {
        let entry = Entry { claim, status };
        let previous = self.entries.insert(key, entry);
        assert!(previous.is_none(), "live claim of {claim} replaced another");
        self.order.push_back((now, key, claim));
        debug_assert!(self.order.len() <= self.bound, "claims exceed their bound");
    }

    fn expire(&mut self, now: Instant) {
        while let Some(&(at, key, claim)) = self.order.front() {
            if now.since(at) < CLAIM_WINDOW {
                return;
            }
            self.order.pop_front();
            self.release(key, claim);
        }
    }
}
