//! Limit on the retries of one agent.

/// Retries per request. More would multiply the load of an overloaded service.
pub const RETRY_RATIO: f64 = 0.1;

/// Most tokens that accumulate while few requests are retried.
pub const RETRY_BURST: f64 = 10.0;

/// Token bucket that requests fill and retries empty.
///
/// It starts empty, so the retries never exceed [`RETRY_RATIO`] of the requests since the agent
/// started.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RetryBudget {
    tokens: f64,
    requests: u64,
    retries: u64,
}

impl RetryBudget {
    /// Counts one request, which adds [`RETRY_RATIO`] to the tokens.
    pub fn deposit(&mut self) {
        self.requests += 1;
        self.tokens = (self.tokens + RETRY_RATIO).min(RETRY_BURST);
    }

    /// Withdraws one retry; false when the budget does not cover it.
    pub fn withdraw(&mut self) -> bool {
        // Ten deposits of 0.1 add up to slightly less than 1 in floating point.
        if self.tokens < 1.0 - 1e-9 {
            return false;
        }
        self.tokens = (self.tokens - 1.0).max(0.0);
        self.retries += 1;
        debug_assert!(
            self.retries as f64 <= self.requests as f64 * RETRY_RATIO + 1e-6,
            "retries exceed their share of the requests"
        );
        true
    }

    /// Retries withdrawn since the agent started.
    pub fn retries(&self) -> u64 {
        self.retries
    }
}
