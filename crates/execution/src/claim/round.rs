//! The round in which a claimer sends its claim to one member after the other.

use monsoon_model::{AgentId, Duration, Instant};

use super::{Answer, ClaimId, KeyHash, Member, Verdict, rank};

/// Time after which an unanswered claim is sent again: several round trips within a region.
pub const CLAIM_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Number of times that a claim is sent to a member before the member counts as absent.
pub const CLAIM_SENDS_MAX: u32 = 3;

/// Number of positions of which a majority must be fresh.
const POSITIONS: u32 = 3;

/// Number of fresh positions that grant the claim.
const MAJORITY: u32 = 2;

/// Result of a round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimResult {
    /// The key is claimed; run the request.
    Granted,
    /// The request ran earlier, with this response status.
    Replay(u16),
    /// The request may have run or may be running.
    Unknown,
    /// The request did not run, and a member's claim table is full.
    NotRun,
}

/// Instruction to the driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoundAction {
    /// Send the claim to this member.
    Claim(AgentId),
    /// Send a release to this member. If it is lost, the claim ends with its window.
    Release(AgentId),
    /// The round has ended with this result.
    Done(ClaimResult),
}

/// One round of a claimer for a key.
#[derive(Clone, Debug)]
pub struct ClaimRound {
    key: KeyHash,
    claim: ClaimId,
    ranked: Vec<Member>,
    /// Index in `ranked` of the member whose answer is awaited.
    index: usize,
    sends: u32,
    resend_at: Instant,
    fresh: u32,
    absent: u32,
    recent: u32,
    any_full: bool,
    contacted: Vec<AgentId>,
    result: Option<ClaimResult>,
}

impl ClaimRound {
    /// Round over `members`, including those that departed within the claim window.
    pub fn new(key: KeyHash, claim: ClaimId, members: impl IntoIterator<Item = Member>) -> Self {
        Self {
            key,
            claim,
            ranked: rank(key, members),
            index: 0,
            sends: 0,
            resend_at: Instant::ZERO,
            fresh: 0,
            absent: 0,
            recent: 0,
            any_full: false,
            contacted: Vec::new(),
            result: None,
        }
    }

    /// Key and identity of the round, to be sent with each claim, release and status.
    pub fn identity(&self) -> (KeyHash, ClaimId) {
        (self.key, self.claim)
    }

    /// Result, once the round has ended.
    pub fn result(&self) -> Option<ClaimResult> {
        self.result
    }

    /// Members that may have recorded the claim. They get the response status or the release.
    pub fn contacted(&self) -> &[AgentId] {
        &self.contacted
    }

    /// Sends the claim to the first member.
    pub fn start(&mut self, now: Instant) -> Vec<RoundAction> {
        let mut actions = Vec::new();
        self.advance(now, &mut actions);
        actions
    }

    /// Handles a member's answer. Answers of earlier members are repetitions and are ignored.
    pub fn handle_answer(
        &mut self,
        now: Instant,
        from: AgentId,
        answer: Answer,
    ) -> Vec<RoundAction> {
        let mut actions = Vec::new();
        if self.current() != Some(from) {
            return actions;
        }
        match (answer.verdict, answer.joined_recently) {
            (Verdict::Conflict(status), _) => {
                let result = status.map_or(ClaimResult::Unknown, ClaimResult::Replay);
                self.finish(result, &mut actions);
                return actions;
            }
            (Verdict::Leaving, _) => self.absent += 1,
            (Verdict::Recorded, true) => self.recent += 1,
            (Verdict::Recorded, false) => self.fresh += 1,
            (Verdict::Full, joined_recently) => {
                self.any_full = true;
                self.fresh += u32::from(!joined_recently);
            }
        }
        self.next_member(now, &mut actions);
        actions
    }

    /// Handles a failed connection to a member, which then counts as absent.
    pub fn handle_unreachable(&mut self, now: Instant, from: AgentId) -> Vec<RoundAction> {
        let mut actions = Vec::new();
        if self.current() == Some(from) {
            self.absent += 1;
            self.next_member(now, &mut actions);
        }
        actions
    }

    /// Sends an overdue claim again, or counts the member as absent after the last send.
    pub fn tick(&mut self, now: Instant) -> Vec<RoundAction> {
        let mut actions = Vec::new();
        let Some(member) = self.current().filter(|_| now >= self.resend_at) else {
            return actions;
        };
        if self.sends >= CLAIM_SENDS_MAX {
            self.absent += 1;
            self.next_member(now, &mut actions);
        } else {
            self.send_claim(now, member, &mut actions);
        }
        actions
    }

    /// Time of the next [`tick`](Self::tick), `None` once the round has ended.
    pub fn next_tick(&self) -> Option<Instant> {
        self.current().map(|_| self.resend_at)
    }

    /// Ends an open round because the caller cancelled the request or its deadline passed.
    pub fn abandon(&mut self) -> Vec<RoundAction> {
        let mut actions = Vec::new();
        if self.result.is_none() {
            self.finish(ClaimResult::Unknown, &mut actions);
        }
        actions
    }

    /// Releases the claim of a round that ended with [`ClaimResult::Granted`] when the request
    /// did not run and will not.
    pub fn release(&self) -> Vec<RoundAction> {
        self.contacted
            .iter()
            .copied()
            .map(RoundAction::Release)
            .collect()
    }

    fn current(&self) -> Option<AgentId> {
        let is_open = self.result.is_none() && self.sends > 0;
        let member = self.ranked.get(self.index).filter(|_| is_open)?;
        Some(member.id)
    }

    fn next_member(&mut self, now: Instant, actions: &mut Vec<RoundAction>) {
        self.index += 1;
        self.advance(now, actions);
    }

    /// Ends the round if its result is determined, else sends the claim to the next member that did
    /// not depart.
    fn advance(&mut self, now: Instant, actions: &mut Vec<RoundAction>) {
        loop {
            if let Some(result) = self.decide() {
                self.finish(result, actions);
                return;
            }
            let member = self.ranked[self.index];
            if !member.departed {
                self.sends = 0;
                self.contacted.push(member.id);
                self.send_claim(now, member.id, actions);
                return;
            }
            self.absent += 1;
            self.index += 1;
        }
    }

    /// Result, if the members so far determine it.
    fn decide(&self) -> Option<ClaimResult> {
        let result = if self.any_full {
            ClaimResult::NotRun
        } else {
            ClaimResult::Granted
        };
        if self.fresh >= MAJORITY {
            return Some(result);
        }
        if self.absent > POSITIONS - MAJORITY {
            return Some(ClaimResult::Unknown);
        }
        if self.index < self.ranked.len() {
            return None;
        }
        let is_complete = self.absent == 0 && self.fresh + self.recent > 0;
        Some(if is_complete {
            result
        } else {
            ClaimResult::Unknown
        })
    }

    fn send_claim(&mut self, now: Instant, member: AgentId, actions: &mut Vec<RoundAction>) {
        self.sends += 1;
        self.resend_at = now + CLAIM_RETRY_DELAY;
        actions.push(RoundAction::Claim(member));
    }

    fn finish(&mut self, result: ClaimResult, actions: &mut Vec<RoundAction>) {
        debug_assert!(
            result != ClaimResult::Granted || self.absent < MAJORITY,
            "claim granted although two positions are absent"
        );
        self.result = Some(result);
        if result != ClaimResult::Granted {
            actions.extend(self.release());
        }
        actions.push(RoundAction::Done(result));
    }
}
