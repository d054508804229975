//! This host's share of the retry budget.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Fraction of the budget that is used; the rest covers requests that are counted late or
/// elsewhere.
const USED_FRACTION: f64 = 0.7;

/// A token bucket per service: requests add tokens and retries consume them.
///
/// In a window, all hosts together may retry `ratio` of the requests, plus `slack`. Each host earns
/// the ratio on its own requests, and its part of the slack is the size of its bucket, so that the
/// sum stays within the budget without coordination between hosts.
#[derive(Clone, Debug)]
pub struct RetryBudgetShare {
    ratio: f64,
    slack: f64,
    hosts: f64,
    tokens: BTreeMap<Arc<str>, f64>,
}

impl RetryBudgetShare {
    /// Creates a share of a budget of `ratio` retries per request plus `slack` retries per window,
    /// over all hosts.
    pub fn new(ratio: f64, slack: f64, hosts: usize) -> Self {
        Self {
            ratio: ratio * USED_FRACTION,
            slack: slack * USED_FRACTION,
            hosts: hosts.max(1) as f64,
            tokens: BTreeMap::new(),
        }
    }

    /// Sets the number of hosts that share the budget.
    pub fn set_hosts(&mut self, hosts: usize) {
        self.hosts = hosts.max(1) as f64;
    }

    /// Adds the tokens for the first attempt of a request.
    pub fn deposit(&mut self, service: &Arc<str>) {
        let bucket_size = self.bucket_size();
        let tokens = self.tokens.entry(service.clone()).or_insert(bucket_size);
        *tokens = (*tokens + self.ratio).min(bucket_size);
    }

    /// Consumes a token for a retry; returns `false` if none is left.
    pub fn withdraw(&mut self, service: &Arc<str>) -> bool {
        let bucket_size = self.bucket_size();
        let tokens = self.tokens.entry(service.clone()).or_insert(bucket_size);
        *tokens = tokens.min(bucket_size);
        if *tokens < 1.0 {
            return false;
        }
        *tokens -= 1.0;
        true
    }

    /// Retries of a service that are left.
    pub fn available(&self, service: &Arc<str>) -> f64 {
        self.tokens
            .get(service)
            .copied()
            .unwrap_or(self.bucket_size())
    }

    fn bucket_size(&self) -> f64 {
        (self.slack / self.hosts).max(1.0)
    }
}
