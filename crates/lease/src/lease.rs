//! Lease held by conditional writes of one object.

use derive_more::{Display, Error};
use monsoon_model::{AgentId, Duration, Instant, Version};

use crate::call::{Call, Event, ObjectState};
use crate::write::{ConditionalWrite, WriteOutcome, WriteStep};

/// Times of a lease, checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTiming {
    term: Duration,
    margin: Duration,
}

/// Term and margin do not fit.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("the margin must be above 0 and at most a third of the term; shorten it or renew later")]
pub struct TimingError;

impl LeaseTiming {
    /// Times with this term and margin. The margin covers the difference in speed of two clocks
    /// over a term.
    ///
    /// # Errors
    /// Returns an error unless the margin is above 0 and at most a third of the term: renewal
    /// starts after a third and needs time before the holder has to stop.
    pub fn new(term: Duration, margin: Duration) -> Result<Self, TimingError> {
        let valid = margin > Duration::ZERO && margin + margin + margin <= term;
        if valid {
            Ok(Self { term, margin })
        } else {
            Err(TimingError)
        }
    }
}

/// Whether a holder with this token may replace a value written under the token `fence`.
///
/// The writer reads the value, checks this, and writes under the condition that the value is
/// unchanged, so that no older token overwrites a newer one.
pub const fn may_replace(token: Version, fence: Version) -> bool {
    token.0 >= fence.0
}

/// Next step of a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseStep {
    /// Make this call and hand in its result.
    Call(Call),
    /// Hand in [`Event::Tick`] at this time.
    Wait(Instant),
}

#[derive(Clone, Copy, Debug)]
struct Held {
    version: Version,
    /// End of acting: term less margin, from before the write was sent.
    until: Instant,
}

/// State of the object as observed, `None` when it does not exist.
#[derive(Clone, Copy, Debug)]
struct Observed {
    version: Option<Version>,
    since: Instant,
}

#[derive(Clone, Debug)]
enum State {
    Idle {
        wake: Instant,
    },
    Reading,
    Writing {
        write: ConditionalWrite,
        sent: Instant,
    },
}

/// Lease as one process sees it.
#[derive(Clone, Debug)]
pub struct Lease {
    /// Prefix of this process's change ids.
    prefix: String,
    /// Number of writes, which makes change ids unique.
    writes: u64,
    terms: LeaseTiming,
    held: Option<Held>,
    observed: Option<Observed>,
    /// Largest version seen. A smaller one comes from a store that lost writes, perhaps those of
    /// a later holder.
    newest: Version,
    state: State,
}

impl Lease {
    /// Lease not yet held. `id` is unique per start of a process.
    pub fn new(now: Instant, id: AgentId, terms: LeaseTiming) -> Self {
        Self {
            prefix: format!("lease-{:016x}-", id.0),
            writes: 0,
            terms,
            held: None,
            observed: None,
            newest: Version(0),
            state: State::Idle { wake: now },
        }
    }

    /// Fencing token, as long as the holder may act. Ask right before each action: a process that
    /// was suspended learns here that its lease has lapsed.
    pub fn fencing_token(&self, now: Instant) -> Option<Version> {
        self.held
            .filter(|held| now < held.until)
            .map(|held| held.version)
    }

    /// Takes the result of the outstanding step and returns the next one.
    pub fn handle(&mut self, now: Instant, event: Event) -> LeaseStep {
        self.held = self.held.filter(|held| now < held.until);
        match std::mem::replace(&mut self.state, State::Idle { wake: now }) {
            State::Idle { wake } => self.resume(now, wake),
            State::Reading => self.observe(now, event),
            State::Writing { write, sent } => self.advance(now, write, sent, event),
        }
    }

    fn resume(&mut self, now: Instant, wake: Instant) -> LeaseStep {
        if now < wake {
            return self.wait(wake);
        }
        if let Some(held) = self.held {
            return self.write(now, Some(held.version));
        }
        self.state = State::Reading;
        LeaseStep::Call(Call::Read)
    }

    fn wait(&mut self, wake: Instant) -> LeaseStep {
        self.state = State::Idle { wake };
        LeaseStep::Wait(wake)
    }

    /// Pause after a failure, short against the term.
    fn pause(&mut self, now: Instant) -> LeaseStep {
        self.wait(now + Duration::from_micros(self.terms.term.as_micros() / 10))
    }

    fn observe(&mut self, now: Instant, event: Event) -> LeaseStep {
        match event {
            Event::Read(present) => self.judge(now, present.as_ref()),
            _ => self.pause(now),
        }
    }

    /// Writes when the object is ours or unchanged for a term, else observes it further.
    ///
    /// An absent object is observed for a term as well, because a store that lost the object does
    /// not end the present holder's term.
    fn judge(&mut self, now: Instant, present: Option<&ObjectState>) -> LeaseStep {
        let version = present.map(|object| object.version);
        let latest = version.is_some_and(|version| version >= self.newest);
        self.newest = self.newest.max(version.unwrap_or_default());
        if latest && present.is_some_and(|object| object.change.starts_with(&self.prefix)) {
            return self.write(now, version);
        }
        let since = match self.observed {
            Some(observed) if observed.version == version => observed.since,
            _ => now,
        };
        self.observed = Some(Observed { version, since });
        let free = since + self.terms.term;
        if now >= free {
            self.write(now, version)
        } else {
            self.wait(free)
        }
    }

    fn write(&mut self, now: Instant, condition: Option<Version>) -> LeaseStep {
        self.writes += 1;
        let change = format!("{}{}", self.prefix, self.writes);
        let write = ConditionalWrite::new(now, change, condition, self.terms.term);
        self.advance(now, write, now, Event::Tick)
    }

    fn advance(
        &mut self,
        now: Instant,
        mut write: ConditionalWrite,
        sent: Instant,
        event: Event,
    ) -> LeaseStep {
        let step = write.handle(now, event);
        self.state = State::Writing { write, sent };
        match step {
            WriteStep::Call(call) => LeaseStep::Call(call),
            WriteStep::Wait(wake) => LeaseStep::Wait(wake),
            WriteStep::Done(WriteOutcome::Written(version)) => self.hold(now, version, sent),
            WriteStep::Done(WriteOutcome::Conflict(present) | WriteOutcome::Replaced(present)) => {
                self.yield_to(now, present.as_ref())
            }
            WriteStep::Done(
                WriteOutcome::NotSent | WriteOutcome::Refused | WriteOutcome::Unknown,
            ) => self.pause(now),
        }
    }

    fn hold(&mut self, now: Instant, version: Version, sent: Instant) -> LeaseStep {
        debug_assert!(sent <= now, "a write was answered before it was sent");
        let until = sent + self.terms.term.saturating_sub(self.terms.margin);
        debug_assert!(
            self.held.is_none_or(|held| held.until <= until),
            "a renewal shortened"
        );
        self.held = Some(Held { version, until }).filter(|held| now < held.until);
        self.observed = None;
        self.newest = self.newest.max(version);
        let third = Duration::from_micros(self.terms.term.as_micros() / 3);
        self.wait((sent + third).max(now))
    }

    /// Stops acting unless the present object is an earlier write of this process whose outcome
    /// was unknown.
    fn yield_to(&mut self, now: Instant, present: Option<&ObjectState>) -> LeaseStep {
        if !present.is_some_and(|object| object.change.starts_with(&self.prefix)) {
            self.held = None;
        }
        self.judge(now, present)
    }
}
