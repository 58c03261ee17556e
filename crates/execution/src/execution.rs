//! State machine of one request at one agent.
//!
//! A request may be sent again only after a truthful "not run" for the previous attempt. Each
//! attempt has a number. Events of earlier attempts are discarded. After the reply, late events
//! still settle the claim of a non-idempotent request: a late response is stored for a caller that
//! sends the request again, and a late "not run" releases the claim.

mod attempt;

use monsoon_model::{Duration, Instant};

use crate::budget::RetryBudget;
use crate::destination::Destination;
use crate::request::{Action, Event, Reply, Request};

/// Most attempts of one request.
pub const ATTEMPTS_MAX: u32 = 3;

/// Time within which a non-idempotent request ends. It is half of the claim window, so that the
/// claim outlives the run whatever the clocks of the agents do.
pub const RUN_TIMEOUT: Duration = Duration::from_secs(60);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    New,
    Claiming,
    Picking,
    /// The attempt is queued at the local target and was not sent.
    Queued,
    /// The attempt may have been sent and its outcome is open.
    Sent,
    /// The caller has its answer, or does not want one, while a claim round is still open.
    DoneClaiming,
    /// Likewise, while a sent attempt is still open.
    DoneSent,
    Done,
}

/// One request. See the [crate](crate) documentation.
#[derive(Clone, Debug)]
pub struct Execution {
    request: Request,
    phase: Phase,
    attempt: u32,
    /// Destination of the present attempt, or of the previous one while a destination is chosen.
    destination: Option<Destination>,
    claimed: bool,
    replied: bool,
}

impl Execution {
    /// A request that arrives now.
    pub fn new(now: Instant, mut request: Request) -> Self {
        if !request.idempotent {
            let latest = now + RUN_TIMEOUT;
            request.deadline = Some(request.deadline.map_or(latest, |d| d.min(latest)));
        }
        Self {
            request,
            phase: Phase::New,
            attempt: 0,
            destination: None,
            claimed: false,
            replied: false,
        }
    }

    /// Point at which the driver sends [`Event::Tick`], also the deadline to pass on.
    pub fn deadline(&self) -> Option<Instant> {
        self.request.deadline
    }

    /// Whether the request needs no further events.
    pub fn is_done(&self) -> bool {
        self.phase == Phase::Done
    }

    /// Number of the present attempt; the first is 1.
    pub fn attempt(&self) -> u32 {
        self.attempt
    }

    /// Advances the request.
    pub fn handle(&mut self, now: Instant, event: Event, budget: &mut RetryBudget) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.is_open() && self.request.deadline.is_some_and(|d| now >= d) {
            let answer = self.end_early(&mut actions);
            self.reply(answer, &mut actions);
        }
        match event {
            Event::Arrived => self.begin(budget, &mut actions),
            Event::Claimed(result) => self.on_claimed(result, &mut actions),
            Event::Picked(destination) => self.on_picked(destination, &mut actions),
            Event::Started(attempt) => self.on_started(attempt, &mut actions),
            Event::NotRun(attempt) => self.on_not_run(attempt, budget, &mut actions),
            Event::Response(attempt, status) => self.on_response(attempt, status, &mut actions),
            Event::ConnectionLost(attempt) => self.on_lost(attempt, &mut actions),
            Event::Cancelled if self.is_open() => {
                // The caller is gone: nobody reads a reply.
                self.end_early(&mut actions);
            }
            Event::Cancelled | Event::Tick => {}
        }
        actions
    }

    fn is_open(&self) -> bool {
        !matches!(
            self.phase,
            Phase::DoneClaiming | Phase::DoneSent | Phase::Done
        )
    }

    fn begin(&mut self, budget: &mut RetryBudget, actions: &mut Vec<Action>) {
        if self.phase != Phase::New {
            return;
        }
        if self.request.from_peer {
            // The sender claimed the key and counted the request.
            self.enqueue(actions);
            return;
        }
        budget.deposit();
        if self.request.idempotent {
            self.phase = Phase::Picking;
            actions.push(Action::Pick(None));
        } else {
            self.phase = Phase::Claiming;
            actions.push(Action::Claim);
        }
    }

    /// Ends the request before its outcome is known, at its deadline or because the caller
    /// cancelled it, and returns what can truthfully be answered.
    fn end_early(&mut self, actions: &mut Vec<Action>) -> Reply {
        let (next, answer) = match self.phase {
            // Before the claim it is not known whether an earlier request with this key ran.
            Phase::Claiming => (Phase::DoneClaiming, Reply::Unknown),
            Phase::New if !self.request.idempotent => (Phase::Done, Reply::Unknown),
            Phase::Sent => (Phase::DoneSent, Reply::Unknown),
            _ => (Phase::Done, Reply::NotRun),
        };
        if matches!(self.phase, Phase::Queued | Phase::Sent) {
            actions.push(Action::Cancel(self.attempt));
        }
        if next == Phase::Done {
            self.release(actions);
        }
        self.phase = next;
        answer
    }

    fn finish_not_run(&mut self, actions: &mut Vec<Action>) {
        self.release(actions);
        self.finish(Reply::NotRun, actions);
    }

    fn finish(&mut self, reply: Reply, actions: &mut Vec<Action>) {
        self.phase = Phase::Done;
        self.reply(reply, actions);
    }

    fn reply(&mut self, reply: Reply, actions: &mut Vec<Action>) {
        assert!(!self.replied, "caller answered twice");
        self.replied = true;
        actions.push(Action::Reply(reply));
    }

    fn release(&mut self, actions: &mut Vec<Action>) {
        if self.claimed {
            self.claimed = false;
            actions.push(Action::ReleaseClaim);
        }
    }

    fn store(&self, status: u16, actions: &mut Vec<Action>) {
        if self.claimed {
            actions.push(Action::StoreStatus(status));
        }
    }
}
