//! Lease that a process holds through conditional writes of one object.

use derive_more::{Display, Error};
use monsoon_model::{AgentId, Duration, Instant, Version};

use crate::call::{Call, Event, ObjectState};
use crate::write::{ConditionalWrite, WriteOutcome, WriteStep};

/// Term of a lease, for which it is held without renewal, and safety margin. Checked by
/// [`LeaseTiming::new`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTiming {
    term: Duration,
    margin: Duration,
}

/// The margin of a lease does not fit its term.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display(
    "the margin of a lease must be above 0 and at most a third of its term; change the margin or lengthen the term"
)]
pub struct TimingError;

impl LeaseTiming {
    /// Timing with this term and margin. The margin has to cover the difference between two clocks
    /// over one term.
    ///
    /// # Errors
    /// Returns an error unless the margin is above 0 and at most a third of the term. Renewal
    /// starts after a third of the term and needs time before the holder has to stop acting.
    pub fn new(term: Duration, margin: Duration) -> Result<Self, TimingError> {
        let is_valid = margin > Duration::ZERO && margin + margin + margin <= term;
        if is_valid {
            Ok(Self { term, margin })
        } else {
            Err(TimingError)
        }
    }
}

/// Whether a holder with this fencing token may replace a value written under the token `fence`.
///
/// The writer reads the value, makes this check, and writes under the condition that the value is
/// unchanged, so that a holder with an older token cannot overwrite the value of a later holder.
pub fn may_replace(token: Version, fence: Version) -> bool {
    token >= fence
}

/// Next step of a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseStep {
    /// Make this call and pass its result to [`Lease::handle`].
    Call(Call),
    /// Pass [`Event::Tick`] to [`Lease::handle`] at this time.
    Wait(Instant),
}

#[derive(Clone, Copy, Debug)]
struct HeldLease {
    version: Version,
    /// Time at which the holder stops acting: the term less the margin after the write was sent.
    valid_until: Instant,
}

/// Version of the lease object, `None` if it does not exist, and the time of the first read that
/// showed it.
#[derive(Clone, Copy, Debug)]
struct Observed {
    version: Option<Version>,
    unchanged_since: Instant,
}

#[derive(Clone, Debug)]
enum State {
    Idle {
        wake_at: Instant,
    },
    Reading,
    Writing {
        write: ConditionalWrite,
        sent_at: Instant,
    },
}

/// State of a lease in one process.
#[derive(Clone, Debug)]
pub struct Lease {
    /// Prefix of the change ids of this process.
    prefix: String,
    /// Number of writes so far, which makes change ids unique.
    write_count: u64,
    timing: LeaseTiming,
    held: Option<HeldLease>,
    observed: Option<Observed>,
    /// Largest version read. A smaller one comes from a store that lost writes, perhaps those of a
    /// later holder.
    newest_version: Version,
    state: State,
}

impl Lease {
    /// Lease that this process does not hold yet. `id` must be unique for each start of a process.
    pub fn new(now: Instant, id: AgentId, timing: LeaseTiming) -> Self {
        Self {
            prefix: format!("lease-{:016x}-", id.0),
            write_count: 0,
            timing,
            held: None,
            observed: None,
            newest_version: Version::NONE,
            state: State::Idle { wake_at: now },
        }
    }

    /// Fencing token, `None` when this process may not act. It has to be read right before each
    /// action, because the lease may have expired while the process was suspended.
    pub fn fencing_token(&self, now: Instant) -> Option<Version> {
        self.held
            .filter(|held| now < held.valid_until)
            .map(|held| held.version)
    }

    /// Handles the result of the outstanding step and returns the next step.
    pub fn handle(&mut self, now: Instant, event: Event) -> LeaseStep {
        self.held = self.held.filter(|held| now < held.valid_until);
        match std::mem::replace(&mut self.state, State::Idle { wake_at: now }) {
            State::Idle { wake_at } => self.proceed(now, wake_at),
            State::Reading => self.on_read(now, event),
            State::Writing { write, sent_at } => self.advance_write(now, write, sent_at, event),
        }
    }

    fn proceed(&mut self, now: Instant, wake_at: Instant) -> LeaseStep {
        if now < wake_at {
            return self.wait(wake_at);
        }
        if let Some(held) = self.held {
            return self.start_write(now, Some(held.version));
        }
        self.state = State::Reading;
        LeaseStep::Call(Call::Read)
    }

    fn wait(&mut self, wake_at: Instant) -> LeaseStep {
        self.state = State::Idle { wake_at };
        LeaseStep::Wait(wake_at)
    }

    /// Waits a tenth of the term after a failure.
    fn retry_later(&mut self, now: Instant) -> LeaseStep {
        self.wait(now + Duration::from_micros(self.timing.term.as_micros() / 10))
    }

    fn on_read(&mut self, now: Instant, event: Event) -> LeaseStep {
        match event {
            Event::Read(current) => self.decide(now, current.as_ref()),
            _ => self.retry_later(now),
        }
    }

    /// Writes the object if this process wrote it last and has read no newer version, or if it was
    /// unchanged for a term. Otherwise waits until it may have been unchanged for a term.
    ///
    /// An absent object has to be unchanged for a term too, because the holder's term goes on when
    /// the store has lost the object.
    fn decide(&mut self, now: Instant, current: Option<&ObjectState>) -> LeaseStep {
        let version = current.map(|object| object.version);
        let is_newest = version.is_some_and(|version| version >= self.newest_version);
        self.newest_version = self.newest_version.max(version.unwrap_or_default());
        if is_newest && current.is_some_and(|object| object.change.starts_with(&self.prefix)) {
            return self.start_write(now, version);
        }
        let unchanged_since = match self.observed {
            Some(observed) if observed.version == version => observed.unchanged_since,
            _ => now,
        };
        self.observed = Some(Observed {
            version,
            unchanged_since,
        });
        let free_at = unchanged_since + self.timing.term;
        if now >= free_at {
            self.start_write(now, version)
        } else {
            self.wait(free_at)
        }
    }

    fn start_write(&mut self, now: Instant, condition: Option<Version>) -> LeaseStep {
        self.write_count += 1;
        let change = format!("{}{}", self.prefix, self.write_count);
        let write = ConditionalWrite::new(now, change, condition, self.timing.term);
        self.advance_write(now, write, now, Event::Tick)
    }

    fn advance_write(
        &mut self,
        now: Instant,
        mut write: ConditionalWrite,
        sent_at: Instant,
        event: Event,
    ) -> LeaseStep {
        let step = write.handle(now, event);
        self.state = State::Writing { write, sent_at };
        match step {
            WriteStep::Call(call) => LeaseStep::Call(call),
            WriteStep::Wait(wake_at) => LeaseStep::Wait(wake_at),
            WriteStep::Done(WriteOutcome::Written(version)) => {
                self.on_written(now, version, sent_at)
            }
            WriteStep::Done(WriteOutcome::Conflict(current) | WriteOutcome::Replaced(current)) => {
                self.on_conflict(now, current.as_ref())
            }
            WriteStep::Done(
                WriteOutcome::NotSent | WriteOutcome::Refused | WriteOutcome::Unknown,
            ) => self.retry_later(now),
        }
    }

    fn on_written(&mut self, now: Instant, version: Version, sent_at: Instant) -> LeaseStep {
        debug_assert!(sent_at <= now, "a write was answered before it was sent");
        let valid_until = sent_at + self.timing.term.saturating_sub(self.timing.margin);
        debug_assert!(
            self.held.is_none_or(|held| held.valid_until <= valid_until),
            "a renewal shortened the lease"
        );
        self.held = Some(HeldLease {
            version,
            valid_until,
        })
        .filter(|held| now < held.valid_until);
        self.observed = None;
        self.newest_version = self.newest_version.max(version);
        let renewal_delay = Duration::from_micros(self.timing.term.as_micros() / 3);
        self.wait((sent_at + renewal_delay).max(now))
    }

    /// Stops acting unless the current object is an earlier write of this process whose outcome was
    /// unknown.
    fn on_conflict(&mut self, now: Instant, current: Option<&ObjectState>) -> LeaseStep {
        if !current.is_some_and(|object| object.change.starts_with(&self.prefix)) {
            self.held = None;
        }
        self.decide(now, current)
    }
}
