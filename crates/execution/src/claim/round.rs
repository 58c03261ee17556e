//! The claimer's walk along the ranking.

use monsoon_model::{AgentId, Duration, Instant};

use super::{Answer, ClaimId, KeyHash, Member, Verdict, rank};

/// Time to wait for an answer before the member is asked again: several round trips within a
/// region.
pub const CLAIM_RETRY_DELAY: Duration = Duration::from_millis(50);

/// How often a member is asked before it counts as absent.
pub const CLAIM_SENDS_MAX: u32 = 3;

/// Positions of which a majority must be fresh.
const POSITIONS: u32 = 3;

/// Fresh positions that permit the run.
const MAJORITY: u32 = 2;

/// End of a claim round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimResult {
    /// The key is claimed: run the request.
    Granted,
    /// The request ran earlier with this response status.
    Replay(u16),
    /// It cannot be told whether the request ran or runs.
    Unknown,
    /// The request did not run, and has no room among the claims.
    NotRun,
}

/// Instruction to the driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoundAction {
    /// Send the claim to this member.
    Claim(AgentId),
    /// Send a release to this member. It may be lost; the claim then ends with its window.
    Release(AgentId),
    /// The round ended.
    Done(ClaimResult),
}

/// One attempt to claim a key.
#[derive(Clone, Debug)]
pub struct ClaimRound {
    key: KeyHash,
    claim: ClaimId,
    ranked: Vec<Member>,
    /// Index of the member that is asked at present.
    index: usize,
    tries: u32,
    resend: Instant,
    fresh: u32,
    absent: u32,
    recent: u32,
    full: bool,
    contacted: Vec<AgentId>,
    result: Option<ClaimResult>,
}

impl ClaimRound {
    /// A round over `members`, which includes those that departed within the claim window.
    pub fn new(key: KeyHash, claim: ClaimId, members: impl IntoIterator<Item = Member>) -> Self {
        Self {
            key,
            claim,
            ranked: rank(key, members),
            index: 0,
            tries: 0,
            resend: Instant::ZERO,
            fresh: 0,
            absent: 0,
            recent: 0,
            full: false,
            contacted: Vec::new(),
            result: None,
        }
    }

    /// Key and attempt, to be sent with each claim, release and status.
    pub fn identity(&self) -> (KeyHash, ClaimId) {
        (self.key, self.claim)
    }

    /// Result, once the round ended.
    pub fn result(&self) -> Option<ClaimResult> {
        self.result
    }

    /// Members that may hold the claim: they get the response status or the release.
    pub fn contacted(&self) -> &[AgentId] {
        &self.contacted
    }

    /// Asks the first member.
    pub fn start(&mut self, now: Instant) -> Vec<RoundAction> {
        let mut actions = Vec::new();
        self.advance(now, &mut actions);
        actions
    }

    /// Takes the answer of a member. Answers of members asked earlier are repetitions.
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
                self.end(result, &mut actions);
                return actions;
            }
            (Verdict::Leaving, _) => self.absent += 1,
            (Verdict::Recorded, true) => self.recent += 1,
            (Verdict::Recorded, false) => self.fresh += 1,
            (Verdict::Full, recent) => {
                self.full = true;
                self.fresh += u32::from(!recent);
            }
        }
        self.next(now, &mut actions);
        actions
    }

    /// Takes the failure of the connection to a member.
    pub fn handle_unreachable(&mut self, now: Instant, from: AgentId) -> Vec<RoundAction> {
        let mut actions = Vec::new();
        if self.current() == Some(from) {
            self.absent += 1;
            self.next(now, &mut actions);
        }
        actions
    }

    /// Asks again, or gives the member up, when its answer is overdue.
    pub fn tick(&mut self, now: Instant) -> Vec<RoundAction> {
        let mut actions = Vec::new();
        let Some(member) = self.current().filter(|_| now >= self.resend) else {
            return actions;
        };
        if self.tries >= CLAIM_SENDS_MAX {
            self.absent += 1;
            self.next(now, &mut actions);
        } else {
            self.ask(now, member, &mut actions);
        }
        actions
    }

    /// Time of the next [`tick`](Self::tick), while the round is open.
    pub fn next_tick(&self) -> Option<Instant> {
        self.current().map(|_| self.resend)
    }

    /// Gives up an open round, because the caller cancelled or the deadline passed.
    pub fn abandon(&mut self) -> Vec<RoundAction> {
        let mut actions = Vec::new();
        if self.result.is_none() {
            self.end(ClaimResult::Unknown, &mut actions);
        }
        actions
    }

    /// Releases the claim of a round that ended with [`ClaimResult::Granted`], when the request was
    /// truthfully not run.
    pub fn release(&self) -> Vec<RoundAction> {
        self.contacted
            .iter()
            .copied()
            .map(RoundAction::Release)
            .collect()
    }

    fn current(&self) -> Option<AgentId> {
        let open = self.result.is_none() && self.tries > 0;
        let member = self.ranked.get(self.index).filter(|_| open)?;
        Some(member.id)
    }

    fn next(&mut self, now: Instant, actions: &mut Vec<RoundAction>) {
        self.index += 1;
        self.advance(now, actions);
    }

    /// Decides, or asks the next member that is present.
    fn advance(&mut self, now: Instant, actions: &mut Vec<RoundAction>) {
        loop {
            if let Some(result) = self.decide() {
                self.end(result, actions);
                return;
            }
            let member = self.ranked[self.index];
            if !member.departed {
                self.tries = 0;
                self.contacted.push(member.id);
                self.ask(now, member.id, actions);
                return;
            }
            self.absent += 1;
            self.index += 1;
        }
    }

    /// Result after the members walked so far, if they determine it.
    fn decide(&self) -> Option<ClaimResult> {
        let claimed = if self.full {
            ClaimResult::NotRun
        } else {
            ClaimResult::Granted
        };
        if self.fresh >= MAJORITY {
            return Some(claimed);
        }
        if self.absent > POSITIONS - MAJORITY {
            return Some(ClaimResult::Unknown);
        }
        if self.index < self.ranked.len() {
            return None;
        }
        let complete = self.absent == 0 && self.fresh + self.recent > 0;
        Some(if complete {
            claimed
        } else {
            ClaimResult::Unknown
        })
    }

    fn ask(&mut self, now: Instant, member: AgentId, actions: &mut Vec<RoundAction>) {
        self.tries += 1;
        self.resend = now + CLAIM_RETRY_DELAY;
        actions.push(RoundAction::Claim(member));
    }

    fn end(&mut self, result: ClaimResult, actions: &mut Vec<RoundAction>) {
        debug_assert!(
            result != ClaimResult::Granted || self.absent < MAJORITY,
            "claim granted with two absent positions"
        );
        self.result = Some(result);
        if result != ClaimResult::Granted {
            actions.extend(self.release());
        }
        actions.push(RoundAction::Done(result));
    }
}
