//! The limit on requests per second that a server in need names.

use std::time::Duration;

use super::rate_share::RateBound;

/// Window within which the requests of all hosts are compared with a limit.
const WINDOW: Duration = Duration::from_millis(4_000);
/// Addition to the window for requests that arrive closer together than they were sent.
const ARRIVAL_MARGIN: Duration = Duration::from_millis(200);
/// Factor by which a limit may be exceeded within the window.
const TOLERANCE_FACTOR: f64 = 1.5;
/// Number of requests by which a limit may be exceeded in addition.
const TOLERANCE_REQUESTS: f64 = 5.0;
/// Part of the tolerated requests that hosts plan for.
const USED_FRACTION: f64 = 0.95;
/// Part of these that is divided among the hosts in advance; the leader counts out the rest.
const DIVIDED_FRACTION: f64 = 0.5;
/// Smallest number of requests that is divided: shares change, and what one host may send no more
/// and another may send already is counted twice.
const MIN_DIVIDED_REQUESTS: f64 = 2.0;
/// Part of the planned requests that callers can be expected to use up.
const EXPECTED_USAGE: f64 = 0.9;

impl From<RateLimit> for RateBound {
    fn from(limit: RateLimit) -> Self {
        limit.bound()
    }
}

/// A limit on the requests per second that a server takes from all hosts together.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct RateLimit(f64);

impl RateLimit {
    /// Creates a limit; `None` unless it is finite and not negative.
    #[must_use]
    pub fn new(per_second: f64) -> Option<Self> {
        (per_second.is_finite() && per_second >= 0.0).then_some(Self(per_second))
    }

    /// Requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }

    /// What all hosts together may send.
    pub fn bound(self) -> RateBound {
        let tolerated = self.0 * TOLERANCE_FACTOR * WINDOW.as_secs_f64() + TOLERANCE_REQUESTS;
        RateBound {
            requests: tolerated * USED_FRACTION,
            window: WINDOW + ARRIVAL_MARGIN,
        }
    }

    /// The part of [`RateLimit::bound`] that is divided among the hosts.
    pub fn divided_bound(self) -> RateBound {
        let RateBound { requests, window } = self.bound();
        RateBound {
            requests: requests * DIVIDED_FRACTION,
            window,
        }
    }

    /// Number of requests that a host with the part `share`, from 0 to 1, of the demand sends within
    /// the window without asking the leader.
    pub fn divided_requests(self, share: f64) -> u32 {
        let requests = self.divided_bound().requests * share;
        if requests < MIN_DIVIDED_REQUESTS {
            return 0;
        }
        requests as u32
    }

    /// Requests per second that the server can be expected to serve.
    pub fn usable_rate(self) -> f64 {
        let RateBound { requests, window } = self.bound();
        requests * EXPECTED_USAGE / window.as_secs_f64()
    }
}
