//! The leader's account of the hosts' shares in the quotas of tenants.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::demand_shares::{DecayClock, FORGOTTEN_REQUESTS, LEARNING_TIME, TOLERATED_CHANGE};
use super::quota::{LEASE_MARGIN, QuotaTolerance, SHARE_LEASE};
use super::rate_pool::RatePool;
use super::router::TenantUsage;
use super::tenant::Quota;
use crate::time::Time;

/// Decayed number of requests of a tenant from which its quota is divided by demand; the leader
/// counts out the quotas of others.
const MIN_REQUESTS: f64 = 10.0;
/// Half-life of the counts: a tenant sends some requests a second to a host, and shares that follow the
/// spread of so few leave a part of the quota unused.
const HALF_LIFE: Duration = Duration::from_secs(6);
/// Multiple of the spread of a host's count by which its share may be wrong.
const TOLERATED_SPREAD: f64 = 1.5;

/// The shares in tenants' quotas that hosts hold, and the pool of what is not divided.
///
/// The shares that hosts may be using add up to one at most, whichever hosts are lost and however
/// often the leader changes. A share is freed only one window after its host has confirmed that it
/// uses less, or after its lease has ended. A new leader divides what the hosts that follow it say
/// that they hold; the rest may be held by hosts that it does not hear, until their leases end.
#[derive(Clone, Debug)]
pub struct QuotaLedger {
    tolerance: QuotaTolerance,
    /// When what an earlier leader has counted out no longer counts.
    opens_at: Time,
    /// When all shares that an earlier leader has told have ended.
    leases_end: Time,
    /// Whether no host holds a share that is unknown here.
    is_complete: bool,
    decay: DecayClock,
    hosts: BTreeMap<String, BTreeMap<Arc<str>, Allotment>>,
    tenants: BTreeMap<Arc<str>, TenantTotals>,
    pool: RatePool,
}

/// Sums of a tenant over all hosts.
#[derive(Clone, Copy, Debug, Default)]
struct TenantTotals {
    requests: f64,
    /// Shares that hosts may be using.
    reserved: f64,
    /// Shares that this leader may divide.
    owned: f64,
    quota: Option<Quota>,
}

/// One host's part of one tenant's quota.
#[derive(Clone, Copy, Debug, Default)]
struct Allotment {
    /// Decaying count of the requests that came to the host.
    requests: f64,
    /// The share that the host was told last, and when.
    told: f64,
    told_at: Time,
    lowered: Option<LoweredShare>,
}

/// A larger share that a host was told before.
#[derive(Clone, Copy, Debug)]
struct LoweredShare {
    share: f64,
    /// When the host was first told the smaller one.
    since: Time,
    /// When requests sent under it no longer count; `None` until the host has confirmed the smaller
    /// one.
    until: Option<Time>,
}

impl QuotaLedger {
    /// Creates the ledger of a leader that has taken over at `now`; `is_first` is whether there cannot
    /// have been a leader before.
    pub fn new(now: Time, tolerance: QuotaTolerance, is_first: bool) -> Self {
        let opens_at = now + LEARNING_TIME + tolerance.pool_window();
        Self {
            tolerance,
            opens_at,
            leases_end: opens_at + SHARE_LEASE + LEASE_MARGIN,
            is_complete: is_first,
            decay: DecayClock::new(now, HALF_LIFE),
            hosts: BTreeMap::new(),
            tenants: BTreeMap::new(),
            pool: if is_first {
                RatePool::first()
            } else {
                RatePool::new(now)
            },
        }
    }

    /// Takes in the report of a host that replies to the heartbeat of the time `echo`: the requests of
    /// tenants that came to it, and the shares that it holds.
    pub fn record(&mut self, now: Time, echo: Time, host: &str, usages: &[TenantUsage]) {
        let is_new = !self.hosts.contains_key(host);
        let allotments = self.hosts.entry(host.to_owned()).or_default();
        for usage in usages {
            let allotment = allotments.entry(usage.tenant.clone()).or_default();
            allotment.requests += f64::from(usage.requests);
            if is_new {
                allotment.told = usage.share;
                allotment.told_at = now;
                let totals = self.tenants.entry(usage.tenant.clone()).or_default();
                totals.owned += usage.share;
                totals.reserved += usage.share;
            }
        }
        let until = now + self.tolerance.counted_time();
        for allotment in allotments.values_mut() {
            if let Some(lowered) = allotment.lowered.as_mut().filter(|it| it.since <= echo) {
                lowered.until.get_or_insert(until);
            }
        }
    }

    /// Adds up the shares in force; called before hosts are told theirs. `hosts` is the number of hosts
    /// that may exist, and `quota_of` tells the quota of a tenant.
    pub fn settle(&mut self, now: Time, hosts: usize, quota_of: impl Fn(&str) -> Option<Quota>) {
        let hears_all = self.hosts.len() >= hosts && now >= self.opens_at;
        self.is_complete |= hears_all || now >= self.leases_end;
        let factor = self.decay.take_factor(now).unwrap_or(1.0);
        for totals in self.tenants.values_mut() {
            (totals.requests, totals.reserved) = (0.0, 0.0);
        }
        for allotments in self.hosts.values_mut() {
            allotments.retain(|tenant, allotment| {
                allotment.requests *= factor;
                allotment.end_shares(now, self.tolerance.counted_time());
                let totals = self.tenants.entry(tenant.clone()).or_default();
                totals.requests += allotment.requests;
                totals.reserved += allotment.reserved();
                allotment.requests >= FORGOTTEN_REQUESTS || allotment.reserved() > 0.0
            });
        }
        for (tenant, totals) in &mut self.tenants {
            totals.quota = quota_of(tenant);
            if self.is_complete {
                totals.owned = 1.0;
            }
        }
        self.tenants.retain(|_, totals| {
            totals.owned < 1.0 || totals.reserved > 0.0 || totals.requests >= FORGOTTEN_REQUESTS
        });
        self.pool.retain(|tenant| quota_of(tenant).is_some());
    }

    /// Tells a host its shares by tenant, from 0 to 1, each of which renews the lease. Tenants that it
    /// holds no share of are left out.
    pub fn tell(&mut self, now: Time, host: &str) -> Vec<(Arc<str>, f64)> {
        // What such a host holds is not known yet, and its own lease goes on.
        let Some(allotments) = self.hosts.get_mut(host) else {
            return Vec::new();
        };
        let mut shares = Vec::new();
        for (tenant, allotment) in allotments {
            let Some(totals) = self.tenants.get_mut(tenant) else {
                continue;
            };
            let wanted = if totals.requests >= MIN_REQUESTS {
                allotment.requests / totals.requests
            } else {
                0.0
            };
            let Some(quota) = totals.quota else {
                continue;
            };
            let taken = self.pool.taken(now, tenant, self.tolerance.pool_window());
            let limit = self.tolerance.share_limit(quota, taken) - totals.unknown();
            let free = (limit.min(totals.owned) - totals.reserved).max(0.0);
            let before = allotment.reserved();
            let spread = allotment.requests.max(1.0).sqrt() / totals.requests.max(1.0);
            allotment.adjust(now, wanted, spread, free);
            totals.reserved += allotment.reserved() - before;
            if allotment.reserved() > 0.0 {
                allotment.told_at = now;
                shares.push((tenant.clone(), allotment.told));
            }
        }
        shares
    }

    /// Counts out up to `wanted` requests of a tenant beyond what is divided; returns how many.
    ///
    /// # Errors
    ///
    /// Fails with the time until there may be one if there is none.
    pub fn count_out(
        &mut self,
        now: Time,
        tenant: &Arc<str>,
        quota: Quota,
        wanted: u32,
    ) -> Result<u32, Duration> {
        let totals = self.tenants.get(tenant).copied().unwrap_or_default();
        let reserved = if self.is_complete {
            totals.reserved
        } else {
            totals.reserved + totals.unknown()
        };
        let divided = self.tolerance.kept_requests(quota, reserved);
        let bound = self.tolerance.pool_bound(quota);
        self.pool.take_batch(now, tenant, bound, divided, wanted)
    }
}

impl TenantTotals {
    /// Shares that hosts may hold which this leader does not hear.
    fn unknown(&self) -> f64 {
        (1.0 - self.owned).max(0.0)
    }
}

impl Allotment {
    /// The largest share that the host may use within the present window.
    fn reserved(&self) -> f64 {
        let lowered = self.lowered.map_or(0.0, |lowered| lowered.share);
        self.told.max(lowered)
    }

    /// Ends a lease that the host cannot use any more, and a larger share that no longer counts.
    fn end_shares(&mut self, now: Time, counted_time: Duration) {
        let is_over = |lowered: &mut LoweredShare| lowered.until.is_some_and(|until| until <= now);
        self.lowered.take_if(is_over);
        let lease_end = self.told_at + SHARE_LEASE + LEASE_MARGIN;
        let reserved = self.reserved();
        if reserved > 0.0 && lease_end <= now && self.told > 0.0 {
            self.told = 0.0;
            self.lowered = Some(LoweredShare {
                share: reserved,
                since: now,
                until: Some(now + counted_time),
            });
        } else if let Some(lowered) = self.lowered.as_mut().filter(|_| lease_end <= now) {
            lowered.until.get_or_insert(now + counted_time);
        }
    }

    /// Brings the share closer to the one wanted, with up to `free` beyond what is reserved.
    ///
    /// A share stays as it was told until it is clearly wrong: what one host may send no more is free
    /// for another one only after a window.
    fn adjust(&mut self, now: Time, wanted: f64, spread: f64, free: f64) {
        let tolerated = self.told * TOLERATED_CHANGE + spread * TOLERATED_SPREAD;
        if wanted < self.told - tolerated {
            self.lowered = Some(LoweredShare {
                share: self.reserved(),
                since: now,
                until: None,
            });
            self.told = wanted;
        } else if wanted > self.told + tolerated {
            self.told = wanted.min(self.reserved() + free);
        }
    }
}
