//! A budget that keeps retries a small part of the work.

/// Retries earned by each request.
const EARNED: f64 = 0.1;
/// The most retries that can be saved up.
const SAVED: f64 = 20.0;

/// A token bucket that requests fill and retries empty.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tokens: SAVED }
    }
}

impl RetryBudget {
    /// Takes in a first try.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + EARNED).min(SAVED);
    }

    /// Whether a retry may be made; spends it if so.
    pub fn spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
