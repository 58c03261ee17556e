//! Claims that one member has recorded.

use std::collections::{BTreeMap, VecDeque};

use monsoon_model::Instant;

use super::{Answer, CLAIM_WINDOW, ClaimId, KeyHash, RECENT_JOIN_WINDOW, Verdict};

/// Most claims of one member. A full table rejects new claims, because evicting a live claim would
/// permit a second run.
pub const CLAIMS_MAX: usize = 65_536;

#[derive(Clone, Copy, Debug)]
struct Entry {
    claim: ClaimId,
    status: Option<u16>,
}

/// Claim that a leaving member transfers to another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct TransferredClaim {
    /// Claimed key.
    pub key: KeyHash,
    /// Round that claimed the key.
    pub claim: ClaimId,
    /// Response status, if the request has been answered.
    pub status: Option<u16>,
}

/// Bounded table of the claims that one member has recorded.
#[derive(Clone, Debug)]
pub struct ClaimTable {
    entries: BTreeMap<KeyHash, Entry>,
    /// Claims with the time of their record, in order of expiry. Released claims stay until they
    /// expire.
    expiry_queue: VecDeque<(Instant, KeyHash, ClaimId)>,
    joined_at: Instant,
    is_leaving: bool,
    bound: usize,
}

impl ClaimTable {
    /// Empty table of a member that joined at `joined_at`, for at most [`CLAIMS_MAX`] claims.
    pub fn new(joined_at: Instant) -> Self {
        Self::with_bound(joined_at, CLAIMS_MAX)
    }

    /// Empty table for at most `bound` claims.
    pub fn with_bound(joined_at: Instant, bound: usize) -> Self {
        Self {
            entries: BTreeMap::new(),
            expiry_queue: VecDeque::new(),
            joined_at,
            is_leaving: false,
            bound,
        }
    }

    /// Records a claim unless another round has claimed the key. A repeated claim gets the same
    /// answer.
    pub fn claim(&mut self, now: Instant, key: KeyHash, claim: ClaimId) -> Answer {
        self.expire(now);
        let verdict = match self.entries.get(&key) {
            Some(entry) if entry.claim == claim => Verdict::Recorded,
            Some(entry) => Verdict::Conflict(entry.status),
            None if self.is_leaving => Verdict::Leaving,
            None if self.expiry_queue.len() >= self.bound => Verdict::Full,
            None => {
                self.insert(now, key, claim, None);
                Verdict::Recorded
            }
        };
        Answer {
            verdict,
            joined_recently: now.since(self.joined_at) < RECENT_JOIN_WINDOW,
        }
    }

    /// Stores the response status if the round `claim` has claimed the key.
    pub fn store_status(&mut self, key: KeyHash, claim: ClaimId, status: u16) {
        if let Some(entry) = self.entries.get_mut(&key).filter(|e| e.claim == claim) {
            entry.status = Some(status);
        }
    }

    /// Releases the claim of the round `claim`, whose request did not run. Claims of other rounds
    /// stay.
    pub fn release(&mut self, key: KeyHash, claim: ClaimId) {
        if self.entries.get(&key).is_some_and(|e| e.claim == claim) {
            self.entries.remove(&key);
        }
    }

    /// Makes the member count as joined now. It is called when the member learns that it was
    /// declared dead, because claims may have been made without it in the meantime.
    pub fn rejoin(&mut self, now: Instant) {
        self.joined_at = now;
    }

    /// Stops recording new claims and returns all live ones, to be transferred to every other
    /// member.
    ///
    /// This member may be forgotten at once when at most one other member did not accept all claims
    /// (it is absent, rejected one or did not confirm), because any two positions then include a
    /// member that accepted them. Otherwise this member counts as departed for the claim window.
    pub fn leave(&mut self, now: Instant) -> Vec<TransferredClaim> {
        self.expire(now);
        self.is_leaving = true;
        let transferred = |(key, e): (&KeyHash, &Entry)| TransferredClaim {
            key: *key,
            claim: e.claim,
            status: e.status,
        };
        self.entries.iter().map(transferred).collect()
    }

    /// Records a claim that a leaving member transfers. Returns false when the table is full, this
    /// member is leaving too, or another round has claimed the key.
    pub fn accept_transfer(&mut self, now: Instant, transferred: TransferredClaim) -> bool {
        self.expire(now);
        if let Some(entry) = self.entries.get(&transferred.key) {
            // The other round may still release its claim, and the transferred one would be lost.
            return entry.claim == transferred.claim;
        }
        if self.is_leaving || self.expiry_queue.len() >= self.bound {
            return false;
        }
        // The claim is kept for a full window from now, because claims expire in the order in which
        // they were recorded.
        self.insert(now, transferred.key, transferred.claim, transferred.status);
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
        assert!(
            previous.is_none(),
            "the claim of round {claim} replaced a live claim"
        );
        self.expiry_queue.push_back((now, key, claim));
        debug_assert!(
            self.expiry_queue.len() <= self.bound,
            "the table holds more claims than its bound"
        );
    }

    fn expire(&mut self, now: Instant) {
        while let Some(&(recorded_at, key, claim)) = self.expiry_queue.front() {
            if now.since(recorded_at) < CLAIM_WINDOW {
                return;
            }
            self.expiry_queue.pop_front();
            self.release(key, claim);
        }
    }
}
