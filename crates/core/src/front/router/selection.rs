//! Selects the server of a request, or the reason for refusing it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::Router;
use super::types::{
    Credentials, MAX_RETRY_AFTER, MIN_RETRY_AFTER, RefusalCause, RoutePlan, RouteRefusal, Target,
};
use crate::front::config::Service;
use crate::front::load::INITIAL_LATENCY;
use crate::front::rate_share::RateBound;
use crate::front::servers::ServerState;
use crate::ids::ServerKey;
use crate::time::Time;

/// Minimum extra latency that is assumed for a server in another failure domain of the same region.
const DOMAIN_PENALTY: Duration = Duration::from_millis(30);
/// Minimum extra latency that is assumed for a server in another region.
const REGION_PENALTY: Duration = Duration::from_millis(110);
/// The same as divisors of the route's target latency: bytes between domains and regions have a
/// price, and a caller gains nothing from an answer well before its target.
const DOMAIN_PENALTY_DIVISOR: u32 = 20;
const REGION_PENALTY_DIVISOR: u32 = 6;
/// Fraction of the baseline latency by which a host favours some servers over others, so that hosts
/// without load information do not all select the same one.
const TIE_BREAK_WEIGHT: f64 = 0.3;
/// Maximum number of requests beyond its slots that a server is sent at the most urgent priority.
const MAX_QUEUE_DEPTH: f64 = 3.0;
/// Reduction of [`MAX_QUEUE_DEPTH`] for each step of lower priority.
const PRIORITY_STEP: f64 = 1.0;
/// Minimum number of requests beyond its slots that a server is sent, whatever the priority.
const MIN_QUEUE_DEPTH: f64 = 1.0;
/// Time after which keys in transit between two servers are likely to be served again; also the
/// retry time of callers that are refused because of cold servers.
const KEY_MOVE_TIME: Duration = Duration::from_millis(250);

/// Window of the rate limit of a cold server (1 s), with a margin for requests that arrive closer
/// together than they were sent.
const COLD_WINDOW: Duration = Duration::from_millis(1_150);
/// Multiple of its equal share of a server's slots and queue that one host uses: requests for a key
/// may come to few of the hosts.
const OWN_SHARE_FACTOR: f64 = 8.0;
/// Requests that a host may have in flight at one server however many hosts there are.
const MIN_OWN_REQUESTS: f64 = 2.0;
/// Maximum mean time after which callers refused because of an overloaded server return.
const MAX_OVERLOAD_DELAY: Duration = Duration::from_millis(1_000);
/// Earliest return of such callers, as a fraction of the mean time; the latest is one more.
const MIN_RETURN_SPREAD: f64 = 0.5;
/// Multiples of it, modulo 1, are spread evenly.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;

impl Router {
    /// Finds the route and service of a request.
    ///
    /// # Errors
    ///
    /// Refuses the request if no configuration is known, no route matches or its key is not valid.
    pub fn plan(
        &mut self,
        now: Time,
        host: &str,
        target: &str,
        credentials: Credentials<'_>,
    ) -> Result<RoutePlan, RouteRefusal> {
        let plan = self.plan_relayed(host, target, credentials)?;
        self.retry_budget.record_request(now, &plan.service);
        Ok(plan)
    }

    /// Finds the route and service of a request that another host has received and counted.
    ///
    /// # Errors
    ///
    /// Refuses the request if no configuration is known, no route matches or its key is not valid.
    pub fn plan_relayed(
        &mut self,
        host: &str,
        target: &str,
        credentials: Credentials<'_>,
    ) -> Result<RoutePlan, RouteRefusal> {
        let Some(config) = self.config.clone() else {
            return Err(RouteRefusal::new(RefusalCause::NoConfig, MAX_RETRY_AFTER));
        };
        let Some(route) = config.route(host, target) else {
            return Err(RouteRefusal {
                cause: RefusalCause::NoRoute,
                retry_after: None,
            });
        };
        let tenants = config.tenants.as_ref();
        let tenant = tenants.and_then(|tenants| credentials.tenant(tenants));
        if tenants.is_some() && tenant.is_none() && !route.public {
            return Err(RouteRefusal {
                cause: RefusalCause::UnknownKey,
                retry_after: None,
            });
        }
        let Some(service) = self.splitter.next_service(route) else {
            return Err(RouteRefusal::new(RefusalCause::NoServer, MAX_RETRY_AFTER));
        };
        let keyed = config
            .services
            .get(&service)
            .is_some_and(|service| service.keyed);
        Ok(RoutePlan {
            route: route.clone(),
            service,
            keyed,
            version: config.version,
            has_tenants: tenants.is_some(),
            tenant,
        })
    }

    /// Counts a request towards the demand for its key, whether or not it can be sent.
    pub fn record_demand(&mut self, plan: &RoutePlan, key: Option<u16>) {
        if let Some(key) = key.filter(|_| plan.keyed) {
            let counts = self.key_counts.entry(plan.service.clone()).or_default();
            *counts.entry(key).or_default() += 1;
        }
    }

    /// Selects a server for a request and counts the request as in flight there.
    ///
    /// `excluded` lists servers that failed to serve it; `sends` is the number of times that it has
    /// been sent to a server already.
    ///
    /// # Errors
    ///
    /// Refuses the request if no server may or can serve it now.
    pub fn select_server(
        &mut self,
        now: Time,
        plan: &RoutePlan,
        key: Option<u16>,
        excluded: &[ServerKey],
        sends: usize,
        time_left: Duration,
    ) -> Result<Target, RouteRefusal> {
        self.check_quota(now, plan)?;
        let chosen = match key {
            Some(key) if plan.keyed => self.key_owner(now, plan, key)?,
            _ if plan.keyed => return Err(RouteRefusal::new(RefusalCause::NoOwner, KEY_MOVE_TIME)),
            _ => self.lowest_cost(now, plan, excluded)?,
        };
        let baseline = self.baseline_latency(&plan.service);
        let typical = self.assumed_load(now, &plan.service);
        let no_server = RouteRefusal::new(RefusalCause::NoServer, MAX_RETRY_AFTER);
        let state = self.servers.get(chosen).ok_or(no_server)?;
        let expected = state
            .load
            .expected_latency(now, state.entry.slots, baseline, typical);
        let must_queue = state.load.total_in_flight(now, typical) >= f64::from(state.entry.slots);
        if must_queue && expected > time_left {
            return Err(RouteRefusal {
                cause: RefusalCause::Deadline,
                retry_after: None,
            });
        }
        if sends > 0 {
            self.check_retry(now, plan, sends)?;
        }
        let state = self.servers.get_mut(chosen).ok_or(no_server)?;
        if state.is_cold(now) {
            state.cold_limiter.record_send(now);
        } else {
            state.cold_limiter.reset();
        }
        if state.rate_limit.is_some() {
            state.record_limited_send(now);
        }
        state.load.request_sent(now);
        self.quotas.record_send(now, plan);
        let may_be_saturated = state.may_be_saturated(now);
        let entry = state.entry.clone();
        let is_remote = self.region_of(&entry.domain) != self.region_of(&self.settings.domain);
        Ok(Target {
            server: chosen,
            entry,
            sent: now,
            probes_connection: may_be_saturated || !is_remote || !plan.route.idempotent,
        })
    }

    /// The region of a failure domain.
    pub fn region_of(&self, domain: &str) -> Option<&String> {
        self.settings.regions.get(domain)
    }

    fn check_retry(
        &mut self,
        now: Time,
        plan: &RoutePlan,
        sends: usize,
    ) -> Result<(), RouteRefusal> {
        let allowed = sends < plan.route.max_attempts.max(1) as usize;
        if allowed && self.retry_budget.withdraw(now, &plan.service) {
            return Ok(());
        }
        Err(RouteRefusal::new(
            RefusalCause::Repeats,
            MIN_RETRY_AFTER * 2,
        ))
    }

    fn key_owner(
        &mut self,
        now: Time,
        plan: &RoutePlan,
        key: u16,
    ) -> Result<ServerKey, RouteRefusal> {
        let no_owner = RouteRefusal::new(RefusalCause::NoOwner, KEY_MOVE_TIME);
        let id = self.table.owner(&plan.service, key).ok_or(no_owner)?;
        let server = self.servers.find(id).ok_or(no_owner)?;
        let service = self.service(&plan.service);
        if !self.is_eligible(now, server, plan) {
            return Err(no_owner);
        }
        if let Some(left) = self.pause_left(now, server) {
            return Err(self.pause_refusal(left));
        }
        let priority = if self.controls_overload() {
            plan.priority()
        } else {
            0
        };
        if !self.admission.admits(now, id, priority) {
            return Err(self.overload_refusal(plan, RefusalCause::Busy));
        }
        self.check_capacity(now, server, plan, service.as_ref())
            .map(|()| server)
    }

    /// Refuses a request for an overloaded server. Its keys are on the move to other servers, which
    /// takes about as long as the work that is running; callers return spread around that time.
    fn overload_refusal(&mut self, plan: &RoutePlan, cause: RefusalCause) -> RouteRefusal {
        let spread = self.next_spread();
        let after = self
            .baseline_latency(&plan.service)
            .clamp(KEY_MOVE_TIME, MAX_OVERLOAD_DELAY)
            .mul_f64(MIN_RETURN_SPREAD + spread);
        RouteRefusal {
            cause,
            retry_after: Some(after),
        }
    }

    /// A number from 0 to 1, other for each refusal, by which callers are told to return at different
    /// times.
    pub(super) fn next_spread(&mut self) -> f64 {
        self.refusal_count = self.refusal_count.wrapping_add(1);
        (f64::from(self.refusal_count) * GOLDEN_RATIO).fract()
    }

    /// Whether requests of a route may be sent to a server, regardless of its load.
    fn is_eligible(&self, now: Time, server: ServerKey, plan: &RoutePlan) -> bool {
        let Some(state) = self.servers.get(server) else {
            return false;
        };
        let entry = &state.entry;
        let in_home_region = self.is_home_region(plan, &entry.domain);
        entry.service == plan.service
            && in_home_region
            && !state.is_drained(now, self.settings.drain)
            && !self.pending_removals.contains_key(&entry.id)
            && !self.evacuated.contains(&entry.domain)
            && state.ejected_until <= now
    }

    /// Whether a request may go to servers and hosts of a failure domain.
    pub fn is_home_region(&self, plan: &RoutePlan, domain: &str) -> bool {
        plan.allows_region(self.settings.regions.get(domain))
    }

    /// Checks that a server can accept one more request of the plan's priority.
    fn check_capacity(
        &mut self,
        now: Time,
        server: ServerKey,
        plan: &RoutePlan,
        service: Option<&Service>,
    ) -> Result<(), RouteRefusal> {
        let cold_bound = RateBound {
            requests: service.map_or(1.0, |service| {
                service.cold_rate * self.settings.warm_factor + self.settings.warm_slack - 1.0
            }),
            window: COLD_WINDOW,
        };
        let hosts = self.hosts;
        let baseline = self.baseline_latency(&plan.service);
        let typical = self.assumed_load(now, &plan.service);
        let Some(state) = self.servers.get_mut(server) else {
            return Err(RouteRefusal::new(RefusalCause::NoServer, MAX_RETRY_AFTER));
        };
        if state.is_cold(now)
            && !state.cold_limiter.allows(
                now,
                cold_bound,
                1.0 / hosts as f64,
                1.0 - state.tie_break,
            )
        {
            return Err(RouteRefusal::new(RefusalCause::Cold, KEY_MOVE_TIME));
        }
        let slots = f64::from(state.entry.slots);
        let queue = MAX_QUEUE_DEPTH - PRIORITY_STEP * f64::from(plan.priority());
        let depth = slots + queue.max(MIN_QUEUE_DEPTH);
        let own_limit = (depth * OWN_SHARE_FACTOR / hosts as f64).max(MIN_OWN_REQUESTS);
        let is_probe_under_way = state.is_probed() && state.load.own_in_flight() > 0;
        let is_own_share_used = plan.keyed && state.load.own_in_flight() as f64 + 1.0 > own_limit;
        if is_probe_under_way
            || is_own_share_used
            || state.load.total_in_flight(now, typical) + 1.0 > depth
        {
            let expected = state
                .load
                .expected_latency(now, state.entry.slots, baseline, typical);
            return Err(RouteRefusal::new(RefusalCause::Busy, expected / 2));
        }
        if !self.is_within_rate_limit(now, server, plan) {
            return Err(self.overload_refusal(plan, RefusalCause::Limited));
        }
        Ok(())
    }

    /// Selects the server with the lowest cost among those with capacity.
    fn lowest_cost(
        &mut self,
        now: Time,
        plan: &RoutePlan,
        excluded: &[ServerKey],
    ) -> Result<ServerKey, RouteRefusal> {
        let service = self.service(&plan.service);
        // Servers that leave come last, whatever they cost.
        let mut candidates: Vec<(bool, Duration, ServerKey)> = Vec::new();
        let mut shortest_pause: Option<Duration> = None;
        for server in self.servers.of_service(&plan.service) {
            let eligible = self.is_eligible(now, *server, plan) && !excluded.contains(server);
            if let Some(left) = self.pause_left(now, *server).filter(|_| eligible) {
                let shortest = shortest_pause.map_or(left, |shortest| shortest.min(left));
                shortest_pause = Some(shortest);
                continue;
            }
            if let Some(state) = self.servers.get(*server).filter(|_| eligible) {
                let cost = self.cost(now, plan, state);
                candidates.push((state.is_leaving(), cost, *server));
            }
        }
        candidates.sort();
        self.order_for_spreading(now, plan, &mut candidates);
        let mut refusal = match shortest_pause {
            Some(left) => self.pause_refusal(left),
            None => RouteRefusal::new(RefusalCause::NoServer, MAX_RETRY_AFTER / 2),
        };
        for (.., server) in candidates {
            match self.check_capacity(now, server, plan, service.as_ref()) {
                Ok(()) => return Ok(server),
                Err(reason) => refusal = reason,
            }
        }
        Err(refusal)
    }

    /// The expected latency, plus the penalty for distance and the tie-breaker.
    fn cost(&self, now: Time, plan: &RoutePlan, state: &ServerState) -> Duration {
        let baseline = self.baseline_latency(&state.entry.service);
        let tie_break = baseline.mul_f64(TIE_BREAK_WEIGHT * state.tie_break);
        let penalty = self.distance_penalty(plan, &state.entry.domain);
        self.latency_cost(now, state) + penalty + tie_break
    }

    /// Extra latency that is assumed for servers of a domain.
    pub(super) fn distance_penalty(&self, plan: &RoutePlan, domain: &str) -> Duration {
        let target_latency = plan.route.target_latency;
        let regions = &self.settings.regions;
        if domain == self.settings.domain {
            Duration::ZERO
        } else if regions.get(domain) == regions.get(&self.settings.domain) {
            DOMAIN_PENALTY.max(target_latency / DOMAIN_PENALTY_DIVISOR)
        } else {
            REGION_PENALTY.max(target_latency / REGION_PENALTY_DIVISOR)
        }
    }

    /// Expected latency, or half the age of the oldest request in flight if that is longer.
    pub(super) fn latency_cost(&self, now: Time, state: &ServerState) -> Duration {
        let entry = &state.entry;
        let baseline = self.baseline_latency(&entry.service);
        let typical = self.assumed_load(now, &entry.service);
        let expected = state
            .load
            .expected_latency(now, entry.slots, baseline, typical);
        expected.max(state.load.oldest_age(now) / 2)
    }

    /// The baseline latency of each service, as measured by this host.
    pub fn baseline_latencies(&self) -> &BTreeMap<Arc<str>, Duration> {
        &self.baseline_latencies
    }

    pub(super) fn baseline_latency(&self, service: &str) -> Duration {
        self.baseline_latencies
            .get(service)
            .copied()
            .unwrap_or(INITIAL_LATENCY)
    }

    /// Requests of other hosts that a server is assumed to have while nothing newer is known. The
    /// servers of keys differ too much for that: what is in demand decides their load.
    pub(super) fn typical_load(&self, service: &str) -> f64 {
        self.typical_loads.get(service).copied().unwrap_or_default()
    }

    fn service(&self, name: &str) -> Option<Service> {
        self.config.as_ref()?.services.get(name).cloned()
    }
}
