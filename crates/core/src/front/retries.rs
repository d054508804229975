//! One host's share of the budget for sending requests once more.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Part of the budget that is used; the rest covers requests that count late or elsewhere.
const CAUTION: f64 = 0.7;

/// A token bucket for each service, filled by requests and emptied by repeats.
///
/// All hosts together may repeat `ratio` of the requests plus a fixed slack in a window. Each
/// host earns the ratio on its own requests and has its part of the slack as the bucket's size,
/// so the sum keeps the bound without a word between hosts.
#[derive(Clone, Debug)]
pub struct RetryShare {
    ratio: f64,
    slack: f64,
    hosts: f64,
    tokens: BTreeMap<Arc<str>, f64>,
}

impl RetryShare {
    /// Makes a share: `ratio` repeats for each request and `slack` repeats a window, over all hosts.
    pub fn new(ratio: f64, slack: f64, hosts: usize) -> Self {
        Self {
            ratio: ratio * CAUTION,
            slack: slack * CAUTION,
            hosts: hosts.max(1) as f64,
            tokens: BTreeMap::new(),
        }
    }

    /// Takes in how many hosts share the budget.
    pub fn set_hosts(&mut self, hosts: usize) {
        self.hosts = hosts.max(1) as f64;
    }

    /// Takes in the first send of a request.
    pub fn earn(&mut self, service: &Arc<str>) {
        let size = self.size();
        let tokens = self.tokens.entry(service.clone()).or_insert(size);
        *tokens = (*tokens + self.ratio).min(size);
    }

    /// Whether a request may be sent once more; spends a token if so.
    pub fn spend(&mut self, service: &Arc<str>) -> bool {
        let size = self.size();
        let tokens = self.tokens.entry(service.clone()).or_insert(size);
        *tokens = tokens.min(size);
        if *tokens < 1.0 {
            return false;
        }
        *tokens -= 1.0;
        true
    }

    /// Repeats of a service that are left.
    pub fn left(&self, service: &Arc<str>) -> f64 {
        self.tokens.get(service).copied().unwrap_or(self.size())
    }

    fn size(&self) -> f64 {
        (self.slack / self.hosts).max(1.0)
    }
}
