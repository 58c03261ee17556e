//! Consistent shedding: under overload, the same accounts are rejected everywhere for some time.
//!
//! A caller whose request is rejected tries again elsewhere. If each process rejected at random, most
//! requests would be answered at a later attempt, and late: at 1.35 times the capacity, 38 of 74
//! answers would go to repeated attempts. With a draw that depends only on account and period, the
//! first attempt of most callers succeeds at once, and the attempts of the others cost little. The
//! draw changes with each period, so that no account is left out for long.
//!
//! How many accounts are admitted follows from the expected wait at the target, smoothed over time,
//! for each priority on its own. Without a wait everybody is admitted.
//!
//! Source: the admission by user priority of DAGOR (Zhou et al., "Overload Control for Scaling
//! `WeChat` Microservices", `SoCC` 2018). There, a level that is announced upstream separates the
//! users; here each target has its own, and nothing is announced.

use std::collections::BTreeMap;

use monsoon_model::hash::{self, mix};
use monsoon_model::{Duration, Instant};

use crate::AccountKey;

/// Share of the goal up to which a wait is no overload.
const LOW_WAIT: f64 = 0.1;
/// Share of the goal from which all accounts are rejected: what remains covers the time of the
/// request and its way, with their variation.
const HIGH_WAIT: f64 = 0.6;
/// Time constant of the smoothed share of admitted accounts. The wait at a single target varies
/// by several requests within tens of milliseconds.
const SMOOTHING_TIME: Duration = Duration::from_millis(100);
/// Salt that makes the draw independent of other hashes of an account.
const DRAW_SALT: u64 = hash::bytes(b"shedding-draw");

/// Length of a period. All processes have to use the same periods, by the time of day.
pub const PERIOD: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug)]
struct Level {
    /// Share of the accounts that are admitted.
    admitted: f64,
    updated_at: Instant,
}

/// Shedding at one target.
#[derive(Clone, Debug, Default)]
pub struct Shedding {
    period: u64,
    levels: BTreeMap<u8, Level>,
}

impl Shedding {
    /// Shedding that admits all accounts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the number of the present period.
    pub fn set_period(&mut self, period: u64) {
        self.period = period;
    }

    /// Whether to admit a request of this priority and account that would wait for `wait`.
    pub fn admits(
        &mut self,
        now: Instant,
        priority: u8,
        account: AccountKey,
        wait: Duration,
        goal: Duration,
    ) -> bool {
        let level = self.levels.entry(priority).or_insert(Level {
            admitted: 1.0,
            updated_at: now,
        });
        let age = now.since(level.updated_at).as_secs_f64() / SMOOTHING_TIME.as_secs_f64();
        level.updated_at = now.max(level.updated_at);
        level.admitted += (admitted_share(wait, goal) - level.admitted) * -(-age).exp_m1();
        draw(account, self.period) < level.admitted
    }

    /// Share of the accounts of this priority that are admitted.
    pub fn admitted(&self, priority: u8) -> f64 {
        self.levels.get(&priority).map_or(1.0, |l| l.admitted)
    }

    /// Shares of the accounts that would be admitted at `now` without a wait, by priority. A share
    /// rises to 1 after the last request that had to wait. Priorities without such a request are
    /// left out.
    pub fn levels(&self, now: Instant) -> impl Iterator<Item = (u8, f64)> {
        self.levels.iter().map(move |(&priority, level)| {
            let age = now.since(level.updated_at).as_secs_f64() / SMOOTHING_TIME.as_secs_f64();
            (priority, 1.0 - (1.0 - level.admitted) * (-age).exp())
        })
    }
}

/// Share of the accounts that are admitted at a lasting wait of this length.
fn admitted_share(wait: Duration, goal: Duration) -> f64 {
    let share = wait.as_secs_f64() / goal.as_secs_f64().max(1e-6);
    ((HIGH_WAIT - share) / (HIGH_WAIT - LOW_WAIT)).clamp(0.0, 1.0)
}

/// Uniform number from 0 to below 1, the same in all processes.
fn draw(account: AccountKey, period: u64) -> f64 {
    (mix(DRAW_SALT ^ account.0, period) >> 11) as f64 / (1_u64 << 53) as f64
}
