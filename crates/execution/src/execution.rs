//! State machine of one request at one agent.
//!
//! A request is retried only after its previous attempt is known not to have run. Attempts are
//! numbered, and events of earlier attempts are discarded. Events that arrive after the reply still
//! settle the claim of a non-idempotent request: a late response is stored for a caller that sends
//! the request again, and a late "not run" releases the claim.

mod attempt;

use monsoon_model::{Duration, Instant};

use crate::budget::RetryBudget;
use crate::destination::Destination;
use crate::request::{Action, Event, Reply, Request};

/// Most attempts of one request.
pub const ATTEMPTS_MAX: u32 = 3;

/// Longest deadline of a non-idempotent request. It is half of the claim window, so that the claim
/// outlives the run even if the clocks of the agents differ.
pub const RUN_TIMEOUT: Duration = Duration::from_secs(60);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    New,
    Claiming,
    /// Waits for the destination of the next attempt.
    Picking,
    /// The attempt is queued at the local target and has not been sent.
    Queued,
    /// The attempt may have been sent and its outcome is not known yet.
    Sent,
    /// The caller has its reply or cancelled the request, and a claim round is still open.
    ClosedClaiming,
    /// The caller has its reply or cancelled the request, and a sent attempt is still open.
    ClosedSent,
    Done,
}

/// State machine of one request, driven by [`Event`]s.
#[derive(Clone, Debug)]
pub struct Execution {
    request: Request,
    phase: Phase,
    attempt: u32,
    /// Destination of the current attempt, or of the previous one while the next is chosen.
    destination: Option<Destination>,
    /// Whether the claim round was granted and its claim has not been released.
    has_claim: bool,
    has_replied: bool,
}

impl Execution {
    /// Execution of a request that arrives at `now`. The deadline of a non-idempotent request is
    /// limited to [`RUN_TIMEOUT`].
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
            has_claim: false,
            has_replied: false,
        }
    }

    /// Time at which the driver sends [`Event::Tick`]; also the deadline for the destination.
    pub fn deadline(&self) -> Option<Instant> {
        self.request.deadline
    }

    /// Whether the request needs no further events.
    pub fn is_done(&self) -> bool {
        self.phase == Phase::Done
    }

    /// Number of the current attempt; the first is 1, and 0 means that there was none.
    pub fn attempt(&self) -> u32 {
        self.attempt
    }

    /// Handles an event and returns the actions to carry out.
    pub fn handle(&mut self, now: Instant, event: Event, budget: &mut RetryBudget) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.is_open() && self.request.deadline.is_some_and(|d| now >= d) {
            let reply = self.end_early(&mut actions);
            self.reply(reply, &mut actions);
        }
        match event {
            Event::Arrived => self.on_arrived(budget, &mut actions),
            Event::Claimed(result) => self.on_claimed(result, &mut actions),
            Event::Picked(destination) => self.on_picked(destination, &mut actions),
            Event::Started(attempt) => self.on_started(attempt, &mut actions),
            Event::NotRun(attempt) => self.on_not_run(attempt, budget, &mut actions),
            Event::Response(attempt, status) => self.on_response(attempt, status, &mut actions),
            Event::ConnectionLost(attempt) => self.on_connection_lost(attempt, &mut actions),
            Event::Cancelled if self.is_open() => {
                // The caller reads no reply any more.
                self.end_early(&mut actions);
            }
            Event::Cancelled | Event::Tick => {}
        }
        actions
    }

    /// Whether the caller still waits for a reply.
    fn is_open(&self) -> bool {
        !matches!(
            self.phase,
            Phase::ClosedClaiming | Phase::ClosedSent | Phase::Done
        )
    }

    fn on_arrived(&mut self, budget: &mut RetryBudget, actions: &mut Vec<Action>) {
        if self.phase != Phase::New {
            return;
        }
        if self.request.from_peer {
            // The peer claimed the key and counted the request in its retry budget.
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

    /// Ends the request at its deadline or because the caller cancelled it, and returns the reply
    /// that is certain to be true.
    fn end_early(&mut self, actions: &mut Vec<Action>) -> Reply {
        let (next, reply) = match self.phase {
            // Without a claim, an earlier request with this key may have run.
            Phase::Claiming => (Phase::ClosedClaiming, Reply::Unknown),
            Phase::New if !self.request.idempotent => (Phase::Done, Reply::Unknown),
            Phase::Sent => (Phase::ClosedSent, Reply::Unknown),
            _ => (Phase::Done, Reply::NotRun),
        };
        if matches!(self.phase, Phase::Queued | Phase::Sent) {
            actions.push(Action::Cancel(self.attempt));
        }
        if next == Phase::Done {
            self.release_claim(actions);
        }
        self.phase = next;
        reply
    }

    fn finish_not_run(&mut self, actions: &mut Vec<Action>) {
        self.release_claim(actions);
        self.finish(Reply::NotRun, actions);
    }

    fn finish(&mut self, reply: Reply, actions: &mut Vec<Action>) {
        self.phase = Phase::Done;
        self.reply(reply, actions);
    }

    fn reply(&mut self, reply: Reply, actions: &mut Vec<Action>) {
        assert!(!self.has_replied, "caller answered twice");
        self.has_replied = true;
        actions.push(Action::Reply(reply));
    }

    fn release_claim(&mut self, actions: &mut Vec<Action>) {
        if self.has_claim {
            self.has_claim = false;
            actions.push(Action::ReleaseClaim);
        }
    }

    fn store_status(&self, status: u16, actions: &mut Vec<Action>) {
        if self.has_claim {
            actions.push(Action::StoreStatus(status));
        }
    }
}
