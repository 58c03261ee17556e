//! Number of requests that a target may have in flight after it has started or recovered.
//!
//! The pace begins with one request. Each answer at good latency allows one more, which doubles the
//! limit per round of answers. A late answer lowers the limit by a fifth and a failure halves it,
//! both at most once per round; requests that were delivered before do not raise it again. The
//! pace ends after a round at good latency with all slots in use.
//!
//! The limit rises only while it is used: the mean concurrency of a round follows from the sum of
//! the times in flight over the duration of the round (Little's law), without a list of requests.
//!
//! After a failure the limit stays below the level that failed. That level is tried again after a
//! pause, which doubles with each failure. Restarts in quick succession hold the limit at one
//! request for a time that doubles as well.
//!
//! Without a failure the pace ends some seconds after the first answer, because a target that is
//! lastingly slow is not a matter of its start. A target that has ended its pace is not limited
//! again before its next restart.

mod clock;
mod memory;

use monsoon_model::{Duration, Instant};

use crate::estimate::{Estimate, LearnMode};
use crate::limit::{DECREASE_FACTOR, GOOD_RATIO, HIGH_RATIO, SAMPLE_RATIO_MAX};
use crate::round::Round;
use clock::Clock;
use memory::Memory;

/// Goal until one is configured. It is the goal of the services with the shortest requests.
const GOAL_DEFAULT: Duration = Duration::from_millis(200);

/// Share of the goal that is the reference latency of a target whose warm latency is unknown. An
/// answer is then late from five eighths of the goal, which a cold and slow target stays below.
const REFERENCE_SHARE: f64 = 0.25;

/// Flows in flight that keep a slot busy. During the caller's round trips between the delivery of
/// the opening packet and the request (6 ms, with requests of 10 to 25 ms) a flow uses no slot.
const FLOWS_PER_SLOT: f64 = 1.5;

/// Rise of the limit with each answer at good latency, in requests.
const RISE: f64 = 1.0;

/// Minimum share of the limit that was in use in a round, for the limit to rise after it.
const USED_SHARE: f64 = 0.5;

/// Time from the first answer to the end of the pace of a target that is lastingly slow. Twice the
/// usual time for which a target is cold.
const SLOW_TIME_MAX: Duration = Duration::from_secs(4);

/// Time after a restart in which latencies do not change the reference, because the target may be
/// cold. Cold targets warm up in 2 s.
const WARM_AFTER: Duration = Duration::from_secs(3);

/// Minimum time between two answers beyond [`GOOD_RATIO`] that raise the reference, so that some
/// seconds of overload raise it by less than a fifth.
const RAISE_GAP: Duration = Duration::from_millis(500);

/// Pace of a target.
#[derive(Clone, Debug)]
pub struct Pace {
    slots: f64,
    goal: Duration,
    is_limited: bool,
    limit: f64,
    clock: Clock,
    memory: Memory,
    /// Until when the limit stays at one request.
    hold_until: Instant,
    /// Last decrease or restart. Results of requests that were delivered before do not count.
    cut_at: Instant,
    /// Times in flight of the answers since the last round, in seconds.
    round: Round,
    /// Limit at the start of the round.
    round_limit: f64,
    /// Whether the last round used enough of its limit.
    was_used: bool,
    /// When the pace ends although the target is slow.
    ends_at: Option<Instant>,
    reference: Estimate,
    learns_from: Instant,
    raised_at: Instant,
    /// Moving mean of the ratios of latency to reference, with weight 1/8.
    mean_ratio: f64,
}

impl Pace {
    /// Names of all phases.
    pub const PHASES: [&str; 4] = ["full", "held", "capped", "rising"];

    /// Pace of a target that is known to run at full concurrency.
    pub fn full(slots: u16) -> Self {
        Self {
            slots: f64::from(slots.max(1)),
            goal: GOAL_DEFAULT,
            is_limited: false,
            limit: 1.0,
            clock: Clock::default(),
            memory: Memory::default(),
            hold_until: Instant::ZERO,
            cut_at: Instant::ZERO,
            round: Round::default(),
            round_limit: 1.0,
            was_used: true,
            ends_at: None,
            reference: Estimate::default(),
            learns_from: Instant::ZERO,
            raised_at: Instant::ZERO,
            mean_ratio: 1.0,
        }
    }

    /// Sets the slots and the goal of the target. A goal of zero means that there is none.
    pub fn configure(&mut self, slots: u16, goal: Duration) {
        self.slots = f64::from(slots.max(1));
        self.goal = if goal == Duration::ZERO {
            GOAL_DEFAULT
        } else {
            goal
        };
        self.limit = self.limit.min(self.full_limit());
        self.round_limit = self.round_limit.min(self.limit);
    }

    /// Begins anew, because the target has started or recovered.
    pub fn restart(&mut self, now: Instant) {
        let now = self.clock.advance(now);
        self.hold_until = now + self.memory.record_restart(now);
        self.learns_from = now + WARM_AFTER;
        self.ends_at = None;
        self.mean_ratio = 1.0;
        self.is_limited = true;
        self.cut(now, 1.0);
    }

    /// Records an answer to a request that was delivered at `sent_at`.
    pub fn answered(&mut self, now: Instant, sent_at: Instant, latency: Duration) {
        let now = self.clock.advance(now);
        let sent_at = self.clock.at(sent_at);
        if !self.is_current(now, sent_at) {
            return;
        }
        if !self.is_limited || self.has_ended(now) {
            self.end();
            return self.learn(now, latency);
        }
        self.ends_at.get_or_insert(now + SLOW_TIME_MAX);
        let reference = self.reference().as_micros().max(1);
        let ratio = (latency.as_micros() as f64 / reference as f64).min(SAMPLE_RATIO_MAX);
        self.mean_ratio += (ratio - self.mean_ratio) / 8.0;
        if sent_at < self.cut_at {
            return;
        }
        if ratio > HIGH_RATIO {
            self.cut(now, self.limit * DECREASE_FACTOR);
        } else {
            self.rise(now, sent_at);
        }
    }

    /// Records a failure of a request that was delivered at `sent_at`.
    pub fn failed(&mut self, now: Instant, sent_at: Instant) {
        let now = self.clock.advance(now);
        let sent_at = self.clock.at(sent_at);
        if !self.is_current(now, sent_at) || sent_at < self.cut_at {
            return;
        }
        if self.has_ended(now) {
            self.end();
        }
        let limit = self.is_limited.then_some(self.limit);
        self.memory.record_failure(now, limit);
        self.cut(now, self.limit / 2.0);
    }

    /// Number of requests that may be in flight; `None` when the pace does not limit the target.
    pub fn limit(&self, now: Instant) -> Option<f64> {
        let now = self.clock.now(now);
        (self.is_limited && !self.has_ended(now)).then_some(self.limit)
    }

    /// Whether the target has failed or restarted repeatedly, so that the limit must be kept even if
    /// no other target has room.
    pub fn is_strict(&self, now: Instant) -> bool {
        matches!(self.phase(now), "held" | "capped")
    }

    /// Name of the phase, for metrics: `full`, `held` after restarts in quick succession, `capped`
    /// below a level that failed, or `rising`.
    pub fn phase(&self, now: Instant) -> &'static str {
        if self.limit(now).is_none() {
            return "full";
        }
        let now = self.clock.now(now);
        if now < self.hold_until {
            "held"
        } else if self.memory.cap(now).is_some() {
            "capped"
        } else {
            "rising"
        }
    }

    /// Latency to which answers are compared: that of the warm target, or a share of the goal.
    pub fn reference(&self) -> Duration {
        let unknown = self.goal.mul_f64(REFERENCE_SHARE);
        self.reference.baseline().unwrap_or(unknown)
    }

    /// Raises the limit after an answer at good latency, and ends the round and the pace if it is
    /// complete.
    fn rise(&mut self, now: Instant, sent_at: Instant) {
        if self.round.count == 0 {
            // Time before the first request of a round is not counted: the target had no demand.
            self.round.started_at = self.round.started_at.max(sent_at);
        }
        self.round.add(now.since(sent_at).as_secs_f64());
        if self.was_used && now >= self.hold_until {
            self.limit = (self.limit + RISE).min(self.cap(now)).max(self.limit);
        }
        if f64::from(self.round.count) < self.round_limit.floor() {
            return;
        }
        let elapsed = now.since(self.round.started_at).as_secs_f64();
        self.was_used = self.round.sum >= elapsed * self.round_limit * USED_SHARE;
        if self.was_used {
            self.memory.record_round(self.round_limit);
            let is_capped = self.memory.cap(now).is_some();
            self.is_limited = is_capped || self.round_limit < self.full_limit();
        }
        self.start_round(now);
    }

    /// Sets the limit to `limit`, at least one request.
    fn cut(&mut self, now: Instant, limit: f64) {
        self.limit = limit.max(1.0);
        self.cut_at = now;
        self.was_used = true;
        self.start_round(now);
    }

    fn start_round(&mut self, now: Instant) {
        self.round = Round::new(now);
        self.round_limit = self.limit;
    }

    /// Limit that keeps all slots busy.
    fn full_limit(&self) -> f64 {
        (self.slots * FLOWS_PER_SLOT).max(self.slots + 1.0)
    }

    /// Level up to which the limit may rise now.
    fn cap(&self, now: Instant) -> f64 {
        let cap = self.memory.cap(now).unwrap_or(f64::INFINITY);
        cap.min(self.full_limit())
    }

    /// Ends the pace. Makes the present latency the reference of a target that stayed slow.
    fn end(&mut self) {
        if self.is_limited && self.mean_ratio > GOOD_RATIO {
            self.reference.rescale(self.mean_ratio);
        }
        self.is_limited = false;
    }

    fn has_ended(&self, now: Instant) -> bool {
        let is_over = self.ends_at.is_some_and(|at| now >= at);
        is_over && !self.memory.remembers_failure(now)
    }

    /// Learns the latency of the warm target.
    fn learn(&mut self, now: Instant, latency: Duration) {
        if now < self.learns_from {
            return;
        }
        let ratio = self.reference.ratio(latency).unwrap_or(1.0);
        if ratio > GOOD_RATIO {
            if now.since(self.raised_at) < RAISE_GAP {
                return;
            }
            self.raised_at = now;
        }
        self.reference.record(latency, LearnMode::Warm);
    }

    /// Whether a request was delivered in the present lifetime. One that seems to be delivered in
    /// the future was delivered before the time jumped backwards.
    fn is_current(&self, now: Instant, sent_at: Instant) -> bool {
        sent_at <= now && self.memory.is_current(sent_at)
    }
}
