//! The part of servers' limits that the leader counts out to hosts.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use super::demand_shares::LEARNING_TIME;
use super::rate_limit::RateLimit;
use crate::time::Time;

/// Counts out the requests that a server may get beyond what is divided among the hosts.
///
/// Hosts that divide a limit in advance leave a part of it unused, the more so the more hosts there
/// are: few callers meet one that has something left. Asking for a request costs a round trip, so
/// hosts use their divided part first.
#[derive(Clone, Debug)]
pub struct RatePool {
    opens_at: Time,
    taken: BTreeMap<Arc<str>, VecDeque<Time>>,
}

impl RatePool {
    /// Creates the pool of a leader that has taken over at `now`.
    pub fn new(now: Time) -> Self {
        Self {
            opens_at: now + LEARNING_TIME,
            taken: BTreeMap::new(),
        }
    }

    /// Takes one request to a server; `divided` is the number that hosts may send of their own in
    /// the same window.
    ///
    /// # Errors
    ///
    /// Fails with the time until a request is free if there is none.
    pub fn take(
        &mut self,
        now: Time,
        server: &Arc<str>,
        limit: RateLimit,
        divided: u32,
    ) -> Result<(), Duration> {
        let bound = limit.bound();
        // Until then, an earlier leader may have counted out all of it, and hosts may have used other
        // shares than those that `divided` adds up.
        let opens_at = self.opens_at + bound.window;
        if now < opens_at {
            return Err(opens_at.since(now));
        }
        let taken = self.taken.entry(server.clone()).or_default();
        while taken
            .front()
            .is_some_and(|at| now.since(*at) >= bound.window)
        {
            taken.pop_front();
        }
        let count = (bound.requests - f64::from(divided)).max(0.0) as usize;
        if taken.len() < count {
            taken.push_back(now);
            return Ok(());
        }
        let oldest = taken.front().map(|at| now.since(*at)).unwrap_or_default();
        Err(bound.window.saturating_sub(oldest))
    }

    /// Forgets servers that are no longer known.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.taken.retain(|server, _| is_known(server));
    }
}
