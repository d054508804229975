//! A retry budget, which limits retries to a fraction of the requests.

/// Tokens added by each request; a retry costs one token.
const TOKENS_PER_REQUEST: f64 = 0.1;
/// Capacity of the bucket, and its initial level.
const MAX_TOKENS: f64 = 20.0;

/// A token bucket that requests fill and retries drain.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tokens: MAX_TOKENS }
    }
}

impl RetryBudget {
    /// Adds tokens for a first attempt of a request.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(MAX_TOKENS);
    }

    /// Takes a token for a retry; returns whether there was one.
    pub fn withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
