//! What hosts may send for a tenant with a quota.

use std::time::Duration;

use super::rate_share::RateBound;
use super::tenant::Quota;

/// Addition to the window for requests that arrive closer together than they were sent.
const ARRIVAL_MARGIN: Duration = Duration::from_millis(200);
/// Part of the tolerated requests that hosts plan for: parts below one request are used at random
/// times, so that they may exceed their sum.
const USED_FRACTION: f64 = 0.98;
/// Part of these that is divided among the hosts in advance, and remains usable while there is no
/// leader; the leader counts out the rest.
const DIVIDED_FRACTION: f64 = 0.55;
/// Part of the divided requests that is divided equally, for hosts that were told no share or have
/// lost the leader for long.
const EQUAL_FRACTION: f64 = 0.1;
/// Part of the shares that no host has which the leader counts out instead: callers that move leave
/// shares behind. The rest stays free, so that hosts are told shares during a flood, too.
const LENT_FRACTION: f64 = 0.5;

/// Time for which a host may use a batch of requests, from the moment on at which it asked: long
/// enough for the reply of a leader in another region, short since the rest of the quota belongs to
/// other hosts.
pub(super) const ALLOWANCE_VALIDITY: Duration = Duration::from_millis(500);
/// Time for which a host uses its share after it has heard the leader last. Callers without a leader
/// need it to be long; the shares of lost hosts stay unused for as long.
pub(super) const SHARE_LEASE: Duration = Duration::from_secs(60);
/// Time by which a leader counts leases longer than hosts do, since a heartbeat may arrive late.
pub(super) const LEASE_MARGIN: Duration = Duration::from_secs(4);

/// How the quotas of tenants are compared with their requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaTolerance {
    /// Length of the window in which requests are counted.
    pub window: Duration,
    /// Fraction by which a quota may be exceeded within the window.
    pub overshoot: f64,
    /// Number of requests by which a quota may be exceeded in addition.
    pub slack: f64,
}

impl QuotaTolerance {
    /// Time after which a request no longer counts.
    pub(super) fn counted_time(self) -> Duration {
        self.window + ARRIVAL_MARGIN
    }

    /// What all hosts together may send under a quota.
    pub fn bound(self, quota: Quota) -> RateBound {
        let planned = quota.per_second * self.window.as_secs_f64() + quota.burst;
        RateBound {
            requests: (planned * (1.0 + self.overshoot) + self.slack) * USED_FRACTION,
            window: self.counted_time(),
        }
    }

    /// The part of [`QuotaTolerance::bound`] that is divided among the hosts.
    pub(super) fn divided_bound(self, quota: Quota) -> RateBound {
        let RateBound { requests, window } = self.bound(quota);
        RateBound {
            requests: requests * DIVIDED_FRACTION,
            window,
        }
    }

    /// The bound of what the leader counts out, which hosts use somewhat later.
    pub(super) fn pool_bound(self, quota: Quota) -> RateBound {
        let RateBound { requests, window } = self.bound(quota);
        RateBound {
            requests,
            window: window + ALLOWANCE_VALIDITY,
        }
    }

    /// Time after which the leader's pool may count out a request again.
    pub(super) fn pool_window(self) -> Duration {
        self.counted_time() + ALLOWANCE_VALIDITY
    }

    /// Number of requests that are kept for the hosts while they may be using the part `reserved`, from
    /// 0 to 1, of the shares: the leader counts out a part of what no host has a share of.
    pub(super) fn kept_requests(self, quota: Quota, reserved: f64) -> u32 {
        let free = (1.0 - reserved).max(0.0);
        let kept = reserved + free * (1.0 - LENT_FRACTION);
        let divided = self.divided_bound(quota).requests;
        (divided * (EQUAL_FRACTION + (1.0 - EQUAL_FRACTION) * kept)).ceil() as u32
    }

    /// The sum of shares that hosts may have after the leader has counted out `taken` requests.
    pub(super) fn share_limit(self, quota: Quota, taken: usize) -> f64 {
        let divided = self.divided_bound(quota).requests;
        let left = self.bound(quota).requests - divided * EQUAL_FRACTION - taken as f64;
        (left / (divided * (1.0 - EQUAL_FRACTION))).clamp(0.0, 1.0)
    }
}

/// The part of [`QuotaTolerance::divided_bound`] that one of `hosts` hosts may use, which the leader
/// has told the share `told`.
pub(super) fn own_part(told: f64, hosts: usize) -> f64 {
    EQUAL_FRACTION / hosts.max(1) as f64 + (1.0 - EQUAL_FRACTION) * told
}
