//! The part of a limit over all hosts that the leader counts out to hosts.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use super::demand_shares::LEARNING_TIME;
use super::rate_share::RateBound;
use crate::time::Time;

/// Counts out the requests that a limit allows beyond what is divided among the hosts.
///
/// Limits are keyed by the server that names them, or by the tenant whose quota they are.
///
/// Hosts that divide a limit in advance leave a part of it unused, the more so the more hosts there
/// are: few callers meet one that has something left. Asking for a request costs a round trip, so
/// hosts use their divided part first.
#[derive(Clone, Debug)]
pub struct RatePool {
    /// When an earlier leader counts out no more; `None` if there was none.
    opens_at: Option<Time>,
    taken: BTreeMap<Arc<str>, VecDeque<Time>>,
}

impl RatePool {
    /// Creates the pool of a leader that has taken over at `now`.
    pub fn new(now: Time) -> Self {
        Self {
            opens_at: Some(now + LEARNING_TIME),
            taken: BTreeMap::new(),
        }
    }

    /// Creates the pool of a leader that has no predecessor.
    pub fn first() -> Self {
        Self {
            opens_at: None,
            taken: BTreeMap::new(),
        }
    }

    /// Takes one request under a limit; `divided` is the number that hosts may send of their own in
    /// the same window.
    ///
    /// # Errors
    ///
    /// Fails with the time until a request is free if there is none.
    pub fn take(
        &mut self,
        now: Time,
        limited: &Arc<str>,
        bound: impl Into<RateBound>,
        divided: u32,
    ) -> Result<(), Duration> {
        let taken = self.take_batch(now, limited, bound.into(), divided, 1);
        taken.map(|_| ())
    }

    /// Takes up to `wanted` requests under a limit, at most half of those that are left, so that one
    /// host does not take all; returns how many it has taken.
    ///
    /// # Errors
    ///
    /// Fails with the time until a request is free if there is none.
    pub fn take_batch(
        &mut self,
        now: Time,
        limited: &Arc<str>,
        bound: RateBound,
        divided: u32,
        wanted: u32,
    ) -> Result<u32, Duration> {
        // Until then, an earlier leader may have counted out all of it, and hosts may have used other
        // shares than those that `divided` adds up.
        let opens_at = self.opens_at.map(|at| at + bound.window);
        if let Some(opens_at) = opens_at.filter(|at| now < *at) {
            return Err(opens_at.since(now));
        }
        let taken = self.taken.entry(limited.clone()).or_default();
        while taken
            .front()
            .is_some_and(|at| now.since(*at) >= bound.window)
        {
            taken.pop_front();
        }
        let count = (bound.requests - f64::from(divided)).max(0.0) as usize;
        if taken.len() < count {
            let left = count - taken.len();
            let granted = left.div_ceil(2).min(wanted.max(1) as usize);
            taken.extend(std::iter::repeat_n(now, granted));
            return Ok(granted as u32);
        }
        let oldest = taken.front().map(|at| now.since(*at)).unwrap_or_default();
        Err(bound.window.saturating_sub(oldest))
    }

    /// Number of requests counted out under a limit within the window that ends now.
    pub fn taken(&self, now: Time, limited: &str, window: Duration) -> usize {
        let taken = self.taken.get(limited);
        let times = taken.into_iter().flatten().rev();
        times.take_while(|at| now.since(**at) < window).count()
    }

    /// Forgets limits that are no longer known.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.taken.retain(|limited, _| is_known(limited));
    }
}
