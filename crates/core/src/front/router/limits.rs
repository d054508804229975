//! Limits on requests per second that servers name.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::Router;
use super::types::RoutePlan;
use crate::front::rate_limit::RateLimit;
use crate::front::rate_share::RateBound;
use crate::front::servers::{ServerEntry, ServerState};
use crate::ids::ServerKey;
use crate::log::EventCode;
use crate::time::Time;

/// Time for which a host may use what the leader has counted out: the rest of the window belongs to
/// other hosts.
const ALLOWANCE_VALIDITY: Duration = Duration::from_millis(100);
/// Longest time for which a host does not ask again after it was told that nothing is left.
const MAX_EXHAUSTION: Duration = Duration::from_millis(500);
/// Requests per window below which a share is used at random times.
const LOW_SHARE: f64 = 0.99;
/// Time without word from the leader after which a host keeps to the share that holds without it.
const SHARES_VALIDITY: Duration = Duration::from_millis(1_600);

/// What the responses of a server have said about its limit since the last report.
#[derive(Clone, Debug, PartialEq)]
pub struct RateLimitReport {
    /// Identifier of the server.
    pub server: Arc<str>,
    /// Start of the server's process; a limit ends with it.
    pub start_id: Option<u64>,
    /// The limit; `None` if it has ended.
    pub limit: Option<RateLimit>,
    /// Time since the response.
    pub age: Duration,
}

impl Router {
    /// Records the limit that a response of a server named; `None` if it named none.
    pub(super) fn record_rate_limit(
        &mut self,
        now: Time,
        entry: &ServerEntry,
        limit: Option<RateLimit>,
    ) {
        let Some(state) = self.servers.life_mut(&entry.id, entry.start_id) else {
            return;
        };
        state.limit_observed |= limit.is_some() || state.rate_limit.is_some();
        state.limit_seen = now;
        self.set_rate_limit(&entry.id, entry.start_id, limit);
    }

    /// Applies what another host has observed, unless something later is known: a limit that has ended
    /// would come back otherwise, and a limit of zero for good.
    pub fn apply_rate_limit(&mut self, now: Time, report: &RateLimitReport) {
        let seen = now - report.age;
        let state = self.servers.life_mut(&report.server, report.start_id);
        let Some(state) = state.filter(|state| state.limit_seen <= seen) else {
            return;
        };
        state.limit_seen = seen;
        self.set_rate_limit(&report.server, report.start_id, report.limit);
    }

    fn set_rate_limit(&mut self, id: &str, start_id: Option<u64>, limit: Option<RateLimit>) {
        let Some(state) = self.servers.life_mut(id, start_id) else {
            return;
        };
        let previous = std::mem::replace(&mut state.rate_limit, limit);
        match (previous, limit) {
            (None, Some(limit)) => {
                let detail = format!("{:.1} requests per second", limit.per_second());
                self.log_event(EventCode::LimitNamed, id, detail);
            }
            (Some(_), None) => {
                state.rate_limiter.reset();
                self.log_event(EventCode::LimitEnded, id, "");
            }
            _ => {}
        }
    }

    /// Returns what this host has observed since the last call.
    pub fn take_rate_limit_reports(&mut self, now: Time) -> Vec<RateLimitReport> {
        let keys: Vec<ServerKey> = self.servers.iter().map(|(key, _)| key).collect();
        let mut reports = Vec::new();
        for key in keys {
            if let Some(state) = self.servers.get_mut(key)
                && std::mem::take(&mut state.limit_observed)
            {
                reports.push(state.limit_report(now));
            }
        }
        reports
    }

    /// Number of servers that name a limit.
    pub fn rate_limit_count(&self) -> usize {
        let servers = self.servers.iter();
        servers
            .filter(|(_, state)| state.rate_limit.is_some())
            .count()
    }

    /// Updates this host's share of the requests for each service, from 0 to 1, as told by the leader,
    /// which also counts out what is not divided.
    ///
    /// A new leader knows no shares at first; those that the one before it has told stay in force.
    pub fn update_demand_shares(&mut self, now: Time, shares: BTreeMap<Arc<str>, f64>) {
        self.demand_shares.extend(shares);
        self.shares_told = now;
    }

    /// The limit of the server with a key of a service, if the leader can be asked for more
    /// requests to it.
    pub fn negotiable_limit(
        &self,
        now: Time,
        plan: &RoutePlan,
        key: Option<u16>,
    ) -> Option<RateLimitReport> {
        let id = self.table.owner(&plan.service, key?)?;
        let state = self.servers.get(self.servers.find(id)?)?;
        let may_ask = plan.keyed && self.hears_shares(now) && state.exhausted_until <= now;
        (may_ask && state.rate_limit.is_some()).then(|| state.limit_report(now))
    }

    /// The limit of a server and its service.
    pub fn rate_limit(&self, server: &str) -> Option<(RateLimit, Arc<str>)> {
        let state = self.servers.get(self.servers.find(server)?)?;
        Some((state.rate_limit?, state.entry.service.clone()))
    }

    /// Records the leader's reply to a request for one more request to a server: granted, or the
    /// time for which there is none.
    pub fn record_allowance(&mut self, now: Time, server: &str, reply: Result<(), Duration>) {
        let key = self.servers.find(server);
        let Some(state) = key.and_then(|key| self.servers.get_mut(key)) else {
            return;
        };
        match reply {
            Ok(()) => {
                let left = state.allowance_left(now);
                state.allowance = (left + 1, now + ALLOWANCE_VALIDITY);
            }
            Err(wait) => state.exhausted_until = now + wait.min(MAX_EXHAUSTION),
        }
    }

    /// Whether the leader tells this host its shares, so that it can be asked for more.
    fn hears_shares(&self, now: Time) -> bool {
        self.shares_told != Time::ZERO && now.since(self.shares_told) < SHARES_VALIDITY
    }

    /// Whether one more request may be sent to a server under the limit that it names.
    pub(super) fn is_within_rate_limit(
        &mut self,
        now: Time,
        server: ServerKey,
        plan: &RoutePlan,
    ) -> bool {
        let Some(limit) = self.servers.get(server).and_then(|state| state.rate_limit) else {
            return true;
        };
        let Some((bound, share)) = self.own_part(now, limit, plan) else {
            let state = self.servers.get(server);
            return state.is_some_and(|state| state.allowance_left(now) > 0);
        };
        let Some(state) = self.servers.get_mut(server) else {
            return false;
        };
        let (phase, priority) = (1.0 - state.tie_break, plan.priority());
        state.allowance_left(now) > 0
            || state
                .rate_limiter
                .allows_priority(now, bound, share, phase, priority)
    }

    /// The bound of which this host has a part, and its share of it; `None` if the part is too small
    /// to be divided in advance, so that the leader counts out all of it.
    ///
    /// Requests without keys go to the nearest servers first, whatever the shares of demand are, and
    /// are not asked for.
    fn own_part(&self, now: Time, limit: RateLimit, plan: &RoutePlan) -> Option<(RateBound, f64)> {
        let equal_share = 1.0 / self.hosts as f64;
        if !plan.keyed {
            return Some((limit.bound(), equal_share));
        }
        let bound = limit.divided_bound();
        let share = self.demand_shares.get(&plan.service).copied();
        let share = share.unwrap_or(equal_share);
        if limit.divided_requests(share) > 0 {
            return Some((bound, share));
        }
        // Without the leader, such a part is used at random times.
        let is_alone = !self.hears_shares(now);
        is_alone.then(|| (bound, share.min(LOW_SHARE / bound.requests)))
    }
}

impl ServerState {
    fn limit_report(&self, now: Time) -> RateLimitReport {
        RateLimitReport {
            server: self.entry.id.clone(),
            start_id: self.entry.start_id,
            limit: self.rate_limit,
            age: now.since(self.limit_seen),
        }
    }

    fn allowance_left(&self, now: Time) -> u32 {
        let (count, until) = self.allowance;
        if now < until { count } else { 0 }
    }

    /// Counts a request that is sent under a limit.
    pub(super) fn record_limited_send(&mut self, now: Time) {
        match self.allowance_left(now) {
            0 => self.rate_limiter.record_send(now),
            left => self.allowance.0 = left - 1,
        }
    }
}
