//! Conditional write whose lost answer is settled by re-reading.
//!
//! After a lost answer the object is read. When it carries the change id, the write took effect.
//! When it is as before, the request may still be on its way, so the same write is sent again: the
//! condition lets at most one of the two take effect. Any other state means that another writer
//! came first.

use monsoon_model::{Duration, Instant, Version};

use crate::call::{Call, Event, ObjectState};

/// First pause before a call is repeated; doubled each time.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause, so that a store that returns is noticed soon.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// Next step of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteStep {
    /// Make this call and hand in its result.
    Call(Call),
    /// Hand in [`Event::Tick`] at this time.
    Wait(Instant),
    /// Write has ended.
    Done(WriteOutcome),
}

/// Outcome of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// Write took effect with this version.
    Written(Version),
    /// Another change came first; the write did not take effect. Holds the present object, `None`
    /// when it does not exist or could not be read.
    Conflict(Option<ObjectState>),
    /// An answer was lost and another change is present: the write is not in force, but may have
    /// been for a time. Holds the present object, `None` when it does not exist.
    Replaced(Option<ObjectState>),
    /// Store could not be reached in time; the write did not take effect.
    NotSent,
    /// Store refused the write; it did not take effect.
    Refused,
    /// Outcome could not be learned in time; the write may still take effect.
    Unknown,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Waits to send the write.
    Ready,
    Sent,
    /// Waits to read.
    Asking,
    Reading,
}

/// Conditional write with a unique change id.
#[derive(Clone, Debug)]
pub struct ConditionalWrite {
    change: String,
    condition: Option<Version>,
    /// End of all attempts.
    end: Instant,
    /// End of the present wait.
    wake: Instant,
    pause: Duration,
    /// Whether an answer was lost.
    doubt: bool,
    /// Whether the store reported a conflict.
    conflict: bool,
    state: State,
}

impl ConditionalWrite {
    /// Write that gives up after `patience`. The first step follows from [`Event::Tick`].
    ///
    /// `condition` is the version that the object must have, `None` when it must not exist.
    pub fn new(
        now: Instant,
        change: impl Into<String>,
        condition: Option<Version>,
        patience: Duration,
    ) -> Self {
        Self {
            change: change.into(),
            condition,
            end: now + patience,
            wake: now,
            pause: FIRST_PAUSE,
            doubt: false,
            conflict: false,
            state: State::Ready,
        }
    }

    /// Takes the result of the outstanding step and returns the next one.
    pub fn handle(&mut self, now: Instant, event: Event) -> WriteStep {
        match (self.state, event) {
            (State::Ready | State::Asking, _) => self.resume(now),
            (State::Sent, Event::Written(version)) => {
                WriteStep::Done(WriteOutcome::Written(version))
            }
            (State::Sent, Event::ConditionFailed) => {
                self.conflict = true;
                self.read()
            }
            (State::Sent, Event::AnswerLost) => {
                self.doubt = true;
                self.read()
            }
            (State::Sent, Event::NotSent) => self.retry(now, State::Ready),
            (State::Sent, Event::Refused) if self.doubt => WriteStep::Done(WriteOutcome::Unknown),
            (State::Sent, Event::Refused) => WriteStep::Done(WriteOutcome::Refused),
            (State::Reading, Event::Read(present)) => self.compare(now, present),
            (State::Reading, Event::ReadFailed) => self.retry(now, State::Asking),
            (state, event) => {
                debug_assert!(
                    false,
                    "event {event:?} does not answer the call of state {state:?}"
                );
                self.again()
            }
        }
    }

    fn resume(&mut self, now: Instant) -> WriteStep {
        if now < self.wake {
            return WriteStep::Wait(self.wake);
        }
        if self.state == State::Asking {
            return self.read();
        }
        self.state = State::Sent;
        self.conflict = false;
        self.again()
    }

    fn read(&mut self) -> WriteStep {
        self.state = State::Reading;
        self.again()
    }

    /// Outstanding call.
    fn again(&self) -> WriteStep {
        WriteStep::Call(match self.state {
            State::Reading | State::Asking => Call::Read,
            State::Sent | State::Ready => Call::Put {
                condition: self.condition,
                change: self.change.clone(),
            },
        })
    }

    fn compare(&mut self, now: Instant, present: Option<ObjectState>) -> WriteStep {
        match present {
            Some(present) if present.change == self.change => {
                WriteStep::Done(WriteOutcome::Written(present.version))
            }
            present if present.as_ref().map(|object| object.version) == self.condition => {
                self.retry(now, State::Ready)
            }
            present if self.doubt => WriteStep::Done(WriteOutcome::Replaced(present)),
            present => WriteStep::Done(WriteOutcome::Conflict(present)),
        }
    }

    /// Pauses before the next call, or ends when the pause would exceed the patience.
    fn retry(&mut self, now: Instant, state: State) -> WriteStep {
        self.state = state;
        self.wake = now + self.pause;
        self.pause = (self.pause + self.pause).min(LONGEST_PAUSE);
        if self.wake < self.end {
            return WriteStep::Wait(self.wake);
        }
        WriteStep::Done(match (self.doubt, self.conflict) {
            (true, _) => WriteOutcome::Unknown,
            (false, true) => WriteOutcome::Conflict(None),
            (false, false) => WriteOutcome::NotSent,
        })
    }
}
