//! Bound on retries.

/// Retries per request. More would multiply the load of a service that is overloaded already.
pub const RETRY_RATIO: f64 = 0.1;

/// Most retries that a quiet time can save up.
pub const RETRY_BURST: f64 = 10.0;

/// Token bucket filled by requests and emptied by retries.
///
/// It starts empty, so that the retries never exceed [`RETRY_RATIO`] of the requests counted from
/// the start of the agent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RetryBudget {
    tokens: f64,
    requests: u64,
    retries: u64,
}

impl RetryBudget {
    /// Counts one request.
    pub fn deposit(&mut self) {
        self.requests += 1;
        self.tokens = (self.tokens + RETRY_RATIO).min(RETRY_BURST);
    }

    /// Takes one retry from the budget; false when it is empty.
    pub fn withdraw(&mut self) -> bool {
        // Ten deposits of 0.1 add up to slightly less than one.
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

    /// Retries taken so far.
    pub fn retries(&self) -> u64 {
        self.retries
    }
}
