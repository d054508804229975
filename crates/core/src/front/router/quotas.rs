//! This host's part in the quotas of tenants.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use super::types::{MIN_RETRY_AFTER, RefusalCause, RoutePlan, RouteRefusal};
use super::{Router, tie_break};
use crate::front::quota::{ALLOWANCE_VALIDITY, SHARE_LEASE, own_part};
use crate::front::rate_share::RateShareLimiter;
use crate::front::tenant::Quota;
use crate::time::Time;

/// Minimum time between two batches that a host asks for, for one tenant.
const ASK_INTERVAL: Duration = Duration::from_millis(100);
/// Largest batch, in requests: those that come to a busy host within the interval.
const MAX_BATCH: u32 = 32;
/// Time after an ask in which the allowances used since then tell how many are needed.
const RECENT_ASK: Duration = Duration::from_millis(500);
/// Longest time for which a host does not ask again after it was told that nothing is left.
const MAX_EXHAUSTION: Duration = Duration::from_millis(500);
/// Time without word from the leader after which it is not asked.
const LEADER_VALIDITY: Duration = Duration::from_millis(1_600);
/// Number of hosts that are assumed to divide quotas before the leader has told it: all hosts of a
/// deployment may start at the same time.
const ASSUMED_HOSTS: usize = 100;
/// Tenants of which the use of the quota is told to operators.
const BUSIEST_TENANTS: usize = 10;

/// What a host reports of a tenant with a quota.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantUsage {
    /// Name of the tenant.
    pub tenant: Arc<str>,
    /// Requests of the tenant that came to the host since its last report.
    pub requests: u32,
    /// The share of the quota that the host holds, from 0 to 1.
    pub share: f64,
}

/// What to do about a request for which this host's part of a quota has no room.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AllowanceNeed {
    /// Ask the leader for so many requests.
    Ask(u32),
    /// Wait for so long: the leader was asked a moment ago.
    Wait(Duration),
    /// Refuse the request: the leader cannot be asked, or has nothing left.
    Refuse,
}

/// The quotas that this host has a part in.
#[derive(Clone, Debug, Default)]
pub(super) struct Quotas {
    /// When this host first heard a leader.
    started: Option<Time>,
    /// When a leader that counts out quotas was last heard.
    leader_heard: Option<Time>,
    tenants: BTreeMap<Arc<str>, TenantUse>,
}

/// The use of one tenant's quota.
#[derive(Clone, Debug, Default)]
struct TenantUse {
    limiter: RateShareLimiter,
    /// When requests were sent, within the last window.
    sent: VecDeque<Time>,
    /// The share that the leader has told, and until when it is valid.
    share: (f64, Time),
    /// Whether it was told since the last report.
    was_told: bool,
    /// Requests that the leader has counted out, and until when they may be sent.
    allowance: (u32, Time),
    /// Until when the leader is not asked, since it has nothing left.
    exhausted_until: Time,
    /// When the leader expects to have a request left.
    free_at: Time,
    /// When the leader was last asked.
    asked_at: Time,
    /// Requests since the last report.
    requests: u32,
    /// Allowances used since the leader was last asked.
    since_asked: u32,
    /// Requests that wait for the next batch.
    waiting: u32,
    /// The latest time to return that a refused caller was told.
    promised: Time,
}

impl TenantUse {
    fn share(&self, now: Time) -> f64 {
        let (share, until) = self.share;
        if now < until { share } else { 0.0 }
    }

    fn allowance_left(&self, now: Time) -> u32 {
        let (count, until) = self.allowance;
        if now < until { count } else { 0 }
    }

    fn drop_old_sends(&mut self, now: Time, window: Duration) {
        while self.sent.front().is_some_and(|at| now.since(*at) >= window) {
            self.sent.pop_front();
        }
    }
}

impl Quotas {
    /// Counts a request that is sent to a server.
    pub(super) fn record_send(&mut self, now: Time, plan: &RoutePlan) {
        let Some((tenant, _)) = plan.quota() else {
            return;
        };
        let usage = self.tenants.entry(tenant.clone()).or_default();
        usage.sent.push_back(now);
        match usage.allowance_left(now) {
            0 => usage.limiter.record_send(now),
            left => {
                usage.allowance.0 = left - 1;
                usage.since_asked += 1;
            }
        }
    }

    /// The share of a tenant's quota that this host uses. Its process may be the successor of one that
    /// has used the same share up to its end, so it is not used in the first window.
    fn usable_share(&self, now: Time, tenant: &str, window: Duration) -> f64 {
        let is_usable = self.started.is_some_and(|at| now.since(at) >= window);
        let usage = self.tenants.get(tenant).filter(|_| is_usable);
        usage.map_or(0.0, |usage| usage.share(now))
    }
}

impl Router {
    /// The quota of a tenant in the configuration in force.
    pub fn quota(&self, tenant: &str) -> Option<Quota> {
        let tenants = self.config.as_ref()?.tenants.as_ref()?;
        tenants.named(tenant)?.quota
    }

    /// Counts a request towards the demand of its tenant, whether or not it can be sent.
    pub fn record_tenant_demand(&mut self, plan: &RoutePlan) {
        if let Some((tenant, _)) = plan.quota() {
            let usage = self.quotas.tenants.entry(tenant.clone()).or_default();
            usage.requests += 1;
        }
    }

    /// Checks that the tenant of a request may send one more.
    pub(super) fn check_quota(&mut self, now: Time, plan: &RoutePlan) -> Result<(), RouteRefusal> {
        let Some((tenant, quota)) = plan.quota() else {
            return Ok(());
        };
        let bound = self.settings.quota.divided_bound(quota);
        let hosts = match self.quotas.started {
            Some(_) => self.hosts,
            None => self.hosts.max(ASSUMED_HOSTS),
        };
        let share = self.quotas.usable_share(now, tenant, bound.window);
        let part = own_part(share, hosts);
        let phase = 1.0 - tie_break(&self.settings.name, tenant);
        let usage = self.quotas.tenants.entry(tenant.clone()).or_default();
        usage.drop_old_sends(now, bound.window);
        if usage.limiter.allows(now, bound, part, phase) || usage.allowance_left(now) > 0 {
            return Ok(());
        }
        Err(RouteRefusal {
            cause: RefusalCause::Quota,
            retry_after: Some(MIN_RETRY_AFTER),
        })
    }

    /// The refusal of a request for which there is no allowance either, with the time at which this host
    /// can expect to send one more.
    pub fn quota_refusal(&mut self, now: Time, plan: &RoutePlan) -> RouteRefusal {
        let window = self.settings.quota.counted_time();
        let tenant = plan.quota().map(|(tenant, _)| tenant);
        let usage = tenant.and_then(|tenant| self.quotas.tenants.get_mut(tenant));
        let after = usage.map_or(MIN_RETRY_AFTER, |usage| {
            let own = usage.limiter.oldest().map(|at| at + window);
            let told = Some(usage.free_at).filter(|at| *at > now);
            let earliest = own.into_iter().chain(told).min().unwrap_or(now);
            // Callers that are refused one after the other return one after the other, as fast as this
            // host could send lately.
            let step = window.div_f64(usage.sent.len().max(1) as f64);
            let next = earliest.max(usage.promised + step);
            usage.promised = next.min(now + window);
            usage.promised.since(now).max(MIN_RETRY_AFTER)
        });
        RouteRefusal {
            cause: RefusalCause::Quota,
            retry_after: Some(after),
        }
    }

    /// Takes back a request that a server has certainly not executed, so that it may be sent again.
    pub fn return_quota(&mut self, now: Time, plan: &RoutePlan, sent: Time) {
        let Some((tenant, _)) = plan.quota() else {
            return;
        };
        let Some(usage) = self.quotas.tenants.get_mut(tenant) else {
            return;
        };
        let index = usage.sent.iter().rposition(|at| *at == sent);
        if index.and_then(|index| usage.sent.remove(index)).is_some()
            && !usage.limiter.take_back(sent)
            && now < usage.allowance.1
        {
            usage.allowance.0 += 1;
        }
    }

    /// What to do about a request that [`Router::select_server`] has refused because of its quota.
    pub fn allowance_need(&mut self, now: Time, plan: &RoutePlan) -> AllowanceNeed {
        let heard = self.quotas.leader_heard;
        let is_heard = heard.is_some_and(|at| now.since(at) < LEADER_VALIDITY);
        let tenant = plan.quota().filter(|_| is_heard);
        let usage = tenant.and_then(|(tenant, _)| self.quotas.tenants.get_mut(tenant));
        let Some(usage) = usage.filter(|usage| usage.exhausted_until <= now) else {
            return AllowanceNeed::Refuse;
        };
        usage.waiting += 1;
        let age = now.since(usage.asked_at);
        if age < ASK_INTERVAL {
            return AllowanceNeed::Wait(ASK_INTERVAL - age);
        }
        let recent = if age < RECENT_ASK {
            usage.since_asked
        } else {
            0
        };
        let wanted = usage.waiting.max(recent).min(MAX_BATCH);
        (usage.asked_at, usage.waiting, usage.since_asked) = (now, 0, 0);
        AllowanceNeed::Ask(wanted)
    }

    /// Records the leader's reply to what was asked at `asked`: the number of requests, or the time for
    /// which there is none.
    pub fn record_tenant_allowance(
        &mut self,
        now: Time,
        asked: Time,
        plan: &RoutePlan,
        reply: Result<u32, Duration>,
    ) {
        let tenant = plan.quota().map(|(tenant, _)| tenant);
        let Some(usage) = tenant.and_then(|tenant| self.quotas.tenants.get_mut(tenant)) else {
            return;
        };
        match reply {
            Ok(granted) => {
                // An earlier batch may end sooner, so that its rest takes over no later end.
                let until = asked + ALLOWANCE_VALIDITY;
                usage.allowance = match usage.allowance_left(now) {
                    0 => (granted, until),
                    left => (left + granted, until.min(usage.allowance.1)),
                };
            }
            Err(wait) => {
                usage.free_at = now + wait;
                usage.exhausted_until = now + wait.min(MAX_EXHAUSTION);
            }
        }
    }

    /// Applies the shares of tenants' quotas in a heartbeat that was sent at `sent`; `counts_out` is
    /// whether the leader can be asked for more.
    pub fn update_quota_shares(
        &mut self,
        now: Time,
        sent: Time,
        counts_out: bool,
        shares: Vec<(Arc<str>, f64)>,
    ) {
        self.quotas.started.get_or_insert(now);
        self.quotas.leader_heard = counts_out.then_some(now);
        for (tenant, share) in shares {
            let usage = self.quotas.tenants.entry(tenant).or_default();
            usage.share = (share, sent + SHARE_LEASE);
            usage.was_told = true;
        }
    }

    /// Returns the requests of tenants with quotas since the last call, and the shares held.
    pub fn take_tenant_usage(&mut self, now: Time) -> Vec<TenantUsage> {
        let mut known = std::mem::take(&mut self.quotas.tenants);
        known.retain(|name, usage| self.quota(name).is_some() || usage.share(now) > 0.0);
        let mut usages = Vec::new();
        for (tenant, usage) in &mut known {
            let (requests, share) = (std::mem::take(&mut usage.requests), usage.share(now));
            if std::mem::take(&mut usage.was_told) || requests > 0 || share > 0.0 {
                usages.push(TenantUsage {
                    tenant: tenant.clone(),
                    requests,
                    share,
                });
            }
        }
        self.quotas.tenants = known;
        usages
    }

    /// The tenants of which this host has sent most of the quota within the last window, and the
    /// thousandths of what the quota allows to all hosts in that time.
    pub fn quota_use(&mut self, now: Time) -> Vec<(Arc<str>, u64)> {
        let Some(config) = self.config.clone() else {
            return Vec::new();
        };
        let mut used = Vec::new();
        for tenant in config.tenants.iter().flat_map(|tenants| tenants.iter()) {
            let usage = self.quotas.tenants.get_mut(&tenant.name);
            let (Some(quota), Some(usage)) = (tenant.quota, usage) else {
                continue;
            };
            let window = self.settings.quota.window;
            usage.drop_old_sends(now, self.settings.quota.counted_time());
            let allowed = quota.per_second * window.as_secs_f64() + quota.burst;
            let permille = usage.sent.len() as f64 * 1_000.0 / allowed.max(1.0);
            used.push((tenant.name.clone(), permille as u64));
        }
        used.sort_by_key(|(_, permille)| std::cmp::Reverse(*permille));
        used.truncate(BUSIEST_TENANTS);
        used
    }
}
