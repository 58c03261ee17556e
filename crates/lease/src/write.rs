//! Conditional write that finds out its outcome by reading when the answer is lost.
//!
//! After a lost answer the object is read. If it carries the change id, the write took effect. If
//! it is unchanged, the write may still be on its way, so the same write is sent again: its
//! condition lets at most one of the two take effect. Any other state means that another writer
//! came first.

use monsoon_model::{Duration, Instant, Version};

use crate::call::{Call, Event, ObjectState};

/// Delay before the first retry of a call. It doubles with each retry.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Longest delay before a retry, so that the write continues soon after the store recovers.
const LONGEST_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Next step of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteStep {
    /// Make this call and pass its result to [`ConditionalWrite::handle`].
    Call(Call),
    /// Pass [`Event::Tick`] to [`ConditionalWrite::handle`] at this time.
    Wait(Instant),
    /// The write has ended.
    Done(WriteOutcome),
}

/// Outcome of a conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect with this version.
    Written(Version),
    /// Another change came first; the write did not take effect. Contains the current object,
    /// `None` if it does not exist or could not be read.
    Conflict(Option<ObjectState>),
    /// An answer was lost and the object now has another change: the write is not in force, but may
    /// have been for a time. Contains the current object, `None` if it does not exist.
    Replaced(Option<ObjectState>),
    /// The store could not be reached in time; the write did not take effect.
    NotSent,
    /// The store refused the write; it did not take effect.
    Refused,
    /// The outcome could not be found out in time; the write may still take effect.
    Unknown,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Waits until `wake_at` to send the write.
    WriteDue,
    Sent,
    /// Waits until `wake_at` to read the object.
    ReadDue,
    Reading,
}

/// Conditional write with a unique change id.
#[derive(Clone, Debug)]
pub struct ConditionalWrite {
    change: String,
    condition: Option<Version>,
    /// Time after which no call is retried.
    deadline: Instant,
    /// End of the current wait.
    wake_at: Instant,
    retry_delay: Duration,
    /// Whether the answer to a write was lost.
    answer_lost: bool,
    /// Whether the condition of the last write did not hold.
    condition_failed: bool,
    state: State,
}

impl ConditionalWrite {
    /// Write that retries its calls for at most `timeout`. [`Event::Tick`] starts it.
    ///
    /// `condition` is the version that the object must have, `None` if it must not exist.
    pub fn new(
        now: Instant,
        change: impl Into<String>,
        condition: Option<Version>,
        timeout: Duration,
    ) -> Self {
        Self {
            change: change.into(),
            condition,
            deadline: now + timeout,
            wake_at: now,
            retry_delay: FIRST_RETRY_DELAY,
            answer_lost: false,
            condition_failed: false,
            state: State::WriteDue,
        }
    }

    /// Handles the result of the outstanding step and returns the next step.
    pub fn handle(&mut self, now: Instant, event: Event) -> WriteStep {
        match (self.state, event) {
            (State::WriteDue | State::ReadDue, _) => self.proceed(now),
            (State::Sent, Event::Written(version)) => {
                WriteStep::Done(WriteOutcome::Written(version))
            }
            (State::Sent, Event::ConditionFailed) => {
                self.condition_failed = true;
                self.read()
            }
            (State::Sent, Event::AnswerLost) => {
                self.answer_lost = true;
                self.read()
            }
            (State::Sent, Event::NotSent) => self.retry_later(now, State::WriteDue),
            (State::Sent, Event::Refused) if self.answer_lost => {
                WriteStep::Done(WriteOutcome::Unknown)
            }
            (State::Sent, Event::Refused) => WriteStep::Done(WriteOutcome::Refused),
            (State::Reading, Event::Read(current)) => self.on_read(now, current),
            (State::Reading, Event::ReadFailed) => self.retry_later(now, State::ReadDue),
            (state, event) => {
                debug_assert!(
                    false,
                    "event {event:?} is no result of the call in state {state:?}"
                );
                self.outstanding_call()
            }
        }
    }

    fn proceed(&mut self, now: Instant) -> WriteStep {
        if now < self.wake_at {
            return WriteStep::Wait(self.wake_at);
        }
        if self.state == State::ReadDue {
            return self.read();
        }
        self.state = State::Sent;
        self.condition_failed = false;
        self.outstanding_call()
    }

    fn read(&mut self) -> WriteStep {
        self.state = State::Reading;
        self.outstanding_call()
    }

    /// Step that makes the call of the current state.
    fn outstanding_call(&self) -> WriteStep {
        WriteStep::Call(match self.state {
            State::Reading | State::ReadDue => Call::Read,
            State::Sent | State::WriteDue => Call::Put {
                condition: self.condition,
                change: self.change.clone(),
            },
        })
    }

    fn on_read(&mut self, now: Instant, current: Option<ObjectState>) -> WriteStep {
        match current {
            Some(current) if current.change == self.change => {
                WriteStep::Done(WriteOutcome::Written(current.version))
            }
            current if current.as_ref().map(|object| object.version) == self.condition => {
                self.retry_later(now, State::WriteDue)
            }
            current if self.answer_lost => WriteStep::Done(WriteOutcome::Replaced(current)),
            current => WriteStep::Done(WriteOutcome::Conflict(current)),
        }
    }

    /// Waits before the next call, or ends the write when the wait would exceed the deadline.
    fn retry_later(&mut self, now: Instant, state: State) -> WriteStep {
        self.state = state;
        self.wake_at = now + self.retry_delay;
        self.retry_delay = (self.retry_delay + self.retry_delay).min(LONGEST_RETRY_DELAY);
        if self.wake_at < self.deadline {
            return WriteStep::Wait(self.wake_at);
        }
        WriteStep::Done(match (self.answer_lost, self.condition_failed) {
            (true, _) => WriteOutcome::Unknown,
            (false, true) => WriteOutcome::Conflict(None),
            (false, false) => WriteOutcome::NotSent,
        })
    }
}
