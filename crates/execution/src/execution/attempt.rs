//! Handlers for the events of claim rounds and attempts.

use super::{ATTEMPTS_MAX, Execution, Phase};
use crate::budget::RetryBudget;
use crate::claim::ClaimResult;
use crate::destination::Destination;
use crate::request::{Action, Reply};

impl Execution {
    pub(super) fn on_claimed(&mut self, result: ClaimResult, actions: &mut Vec<Action>) {
        match (self.phase, result) {
            (Phase::Claiming, ClaimResult::Granted) => {
                self.has_claim = true;
                self.phase = Phase::Picking;
                actions.push(Action::Pick(None));
            }
            (Phase::Claiming, ClaimResult::Replay(status)) => {
                self.finish(Reply::Replay(status), actions);
            }
            (Phase::Claiming, ClaimResult::Unknown) => self.finish(Reply::Unknown, actions),
            (Phase::Claiming, ClaimResult::NotRun) => self.finish(Reply::NotRun, actions),
            (Phase::ClosedClaiming, ClaimResult::Granted) => {
                self.phase = Phase::Done;
                actions.push(Action::ReleaseClaim);
            }
            (Phase::ClosedClaiming, _) => self.phase = Phase::Done,
            _ => {}
        }
    }

    pub(super) fn on_picked(
        &mut self,
        destination: Option<Destination>,
        actions: &mut Vec<Action>,
    ) {
        if self.phase != Phase::Picking {
            return;
        }
        // The destination that rejected the previous attempt would reject this one too.
        let destination = destination.filter(|d| self.destination != Some(*d));
        self.destination = destination;
        match destination {
            Some(Destination::Local) => self.enqueue(actions),
            Some(Destination::Peer(index)) => {
                self.attempt += 1;
                self.mark_sent();
                actions.push(Action::Forward(self.attempt, index));
            }
            None => self.finish_not_run(actions),
        }
    }

    pub(super) fn enqueue(&mut self, actions: &mut Vec<Action>) {
        self.attempt += 1;
        self.phase = Phase::Queued;
        actions.push(Action::Enqueue(self.attempt));
    }

    pub(super) fn on_started(&mut self, attempt: u32, actions: &mut Vec<Action>) {
        if attempt == self.attempt && self.phase == Phase::Queued {
            self.mark_sent();
            actions.push(Action::Send(attempt));
        } else if attempt != self.attempt || !self.is_open() {
            // The attempt is over for this request, and admission has to get its slot back.
            actions.push(Action::Cancel(attempt));
        }
    }

    fn mark_sent(&mut self) {
        assert!(
            matches!(self.phase, Phase::Picking | Phase::Queued),
            "attempt {} was sent although an earlier one may have run",
            self.attempt
        );
        assert!(
            self.request.idempotent || self.request.from_peer || self.has_claim,
            "a non-idempotent request was sent without a claim"
        );
        assert!(
            self.attempt <= ATTEMPTS_MAX,
            "a request has more than {ATTEMPTS_MAX} attempts"
        );
        self.phase = Phase::Sent;
    }

    pub(super) fn on_not_run(
        &mut self,
        attempt: u32,
        budget: &mut RetryBudget,
        actions: &mut Vec<Action>,
    ) {
        if attempt != self.attempt {
            return;
        }
        match self.phase {
            Phase::Queued | Phase::Sent => {
                let may_retry = !self.request.from_peer && self.attempt < ATTEMPTS_MAX;
                if may_retry && budget.withdraw() {
                    self.phase = Phase::Picking;
                    actions.push(Action::Pick(self.destination));
                } else {
                    self.finish_not_run(actions);
                }
            }
            Phase::ClosedSent => {
                self.phase = Phase::Done;
                self.release_claim(actions);
            }
            _ => {}
        }
    }

    pub(super) fn on_response(&mut self, attempt: u32, status: u16, actions: &mut Vec<Action>) {
        if attempt != self.attempt {
            return;
        }
        match self.phase {
            Phase::Sent => {
                self.store_status(status, actions);
                self.finish(Reply::Response(attempt), actions);
            }
            Phase::ClosedSent => {
                self.phase = Phase::Done;
                self.store_status(status, actions);
            }
            _ => {}
        }
    }

    pub(super) fn on_connection_lost(&mut self, attempt: u32, actions: &mut Vec<Action>) {
        if attempt != self.attempt {
            return;
        }
        match self.phase {
            Phase::Sent => self.finish(Reply::Unknown, actions),
            Phase::ClosedSent => self.phase = Phase::Done,
            _ => {}
        }
    }
}
