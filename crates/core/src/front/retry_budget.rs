//! This host's share of the retry budget.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use crate::time::Time;

/// Fraction of the budget that is used; the rest covers requests that are counted late or
/// elsewhere.
const USED_FRACTION: f64 = 0.7;
/// Number of parts into which the window is divided; counts expire a part at a time.
const WINDOW_PARTS: u32 = 20;

/// Limits the retries of each service within a sliding window.
///
/// In any window, all hosts together may retry `ratio` of the requests, plus `slack`. Each host
/// earns the ratio on its own requests and an equal part of the slack, so that the sum stays within
/// the budget without coordination between hosts. Retries that calm seconds have not used are left
/// for a burst of failures within the same window.
#[derive(Clone, Debug)]
pub struct RetryBudgetShare {
    ratio: f64,
    slack: f64,
    window: Duration,
    hosts: f64,
    counts: BTreeMap<Arc<str>, VecDeque<WindowPart>>,
}

/// Counts of one part of the window.
#[derive(Clone, Copy, Debug)]
struct WindowPart {
    started: Time,
    requests: u32,
    retries: u32,
}

impl RetryBudgetShare {
    /// Creates a share of a budget of `ratio` retries per request plus `slack` retries in each
    /// `window`, over all hosts.
    pub fn new(ratio: f64, slack: f64, window: Duration, hosts: usize) -> Self {
        Self {
            ratio: ratio * USED_FRACTION,
            slack: slack * USED_FRACTION,
            window,
            hosts: hosts.max(1) as f64,
            counts: BTreeMap::new(),
        }
    }

    /// Sets the number of hosts that share the budget.
    pub fn set_hosts(&mut self, hosts: usize) {
        self.hosts = hosts.max(1) as f64;
    }

    /// Counts the first attempt of a request.
    pub fn record_request(&mut self, now: Time, service: &Arc<str>) {
        self.current_part(now, service).requests += 1;
    }

    /// Counts a retry; returns `false` if none is left.
    pub fn withdraw(&mut self, now: Time, service: &Arc<str>) -> bool {
        let is_available = self.available(now, service) >= 1.0;
        if is_available {
            self.current_part(now, service).retries += 1;
        }
        is_available
    }

    /// Retries of a service that are left.
    pub fn available(&mut self, now: Time, service: &Arc<str>) -> f64 {
        self.current_part(now, service);
        let parts = self.counts.get(service).into_iter().flatten();
        let (requests, retries) = parts.fold((0, 0), |(requests, retries), part| {
            (requests + part.requests, retries + part.retries)
        });
        self.slack / self.hosts + self.ratio * f64::from(requests) - f64::from(retries)
    }

    /// Removes the counts that the window has left behind, and returns the current ones.
    fn current_part(&mut self, now: Time, service: &Arc<str>) -> &mut WindowPart {
        let window = self.window;
        let parts = self.counts.entry(service.clone()).or_default();
        while parts
            .front()
            .is_some_and(|part| now.since(part.started) >= window)
        {
            parts.pop_front();
        }
        let is_over = |part: &WindowPart| now.since(part.started) >= window / WINDOW_PARTS;
        if parts.back().is_none_or(is_over) {
            parts.push_back(WindowPart {
                started: now,
                requests: 0,
                retries: 0,
            });
        }
        let last = parts.len() - 1;
        &mut parts[last]
    }
}
