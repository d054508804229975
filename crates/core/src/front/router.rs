//! Routes requests to servers.

mod entries;
mod limits;
mod quotas;
mod reach;
mod selection;
mod settling;
mod signals;
mod spreading;
mod types;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::admission::{Admission, Overload};
use super::config::Config;
use super::load::LoadReport;
use super::placement::{RoutingSpan, RoutingTable};
use super::retry_budget::RetryBudgetShare;
use super::server_speeds::{ServiceTime, ServiceTimes};
use super::servers::Servers;
use super::weighted_split::WeightedSplitter;
use crate::ids::ServerKey;
use crate::log::{EventCode, LogRecord};
use crate::time::Time;

pub use limits::RateLimitReport;
use quotas::Quotas;
pub use quotas::{AllowanceNeed, TenantUsage};
use reach::Reach;
use settling::Settling;
use spreading::Spreading;
pub use types::{
    AttemptOutcome, Credentials, RefusalCause, RoutePlan, RouteRefusal, RouterSettings, Target,
};

/// Weight of the latest answer in the baseline latency of its service.
const BASELINE_WEIGHT: f64 = 0.03;
/// Number of hosts from which a given server answers one of them so rarely that its last report says
/// little about it.
const MANY_HOSTS: usize = 24;
/// Weight of the latest report in the estimate of other hosts' requests at a server.
const REPORT_WEIGHT: f64 = 0.4;
/// The same with many hosts, whose reports are too rare to be averaged.
const SPARSE_REPORT_WEIGHT: f64 = 0.8;
/// Weight of the latest report in the typical load of a service's servers.
const TYPICAL_LOAD_WEIGHT: f64 = 0.05;
/// Number of hosts that are assumed to share limits before it is known.
const ASSUMED_HOSTS: usize = 12;

/// Routes requests, based on what one host knows.
#[derive(Clone, Debug)]
pub struct Router {
    settings: RouterSettings,
    /// Whether a complete list of servers has been received.
    initialized: bool,
    config: Option<Arc<Config>>,
    /// Whether a route of the configuration has large bodies.
    has_uploads: bool,
    servers: Servers,
    /// Servers that are removed at the given time unless they register again.
    pending_removals: BTreeMap<Arc<str>, Time>,
    /// Servers whose entries cannot be read, and when they are removed.
    unreadable: BTreeMap<Arc<str>, Time>,
    evacuated: BTreeSet<String>,
    table: RoutingTable,
    hosts: usize,
    /// Until when an entry that is missing from the store may be registered again.
    reregistration_until: Time,
    settling: Settling,
    reach: Reach,
    splitter: WeightedSplitter,
    retry_budget: RetryBudgetShare,
    key_counts: BTreeMap<Arc<str>, BTreeMap<u16, u32>>,
    quotas: Quotas,
    admission: Admission,
    /// This host's share of the requests for a service, as the leader has told it last.
    demand_shares: BTreeMap<Arc<str>, f64>,
    /// When the leader last told the shares.
    shares_told: Time,
    /// Number of refusals so far, from which the spread of retry times follows.
    refusal_count: u32,
    baseline_latencies: BTreeMap<Arc<str>, Duration>,
    /// Mean of other hosts' requests at a server, for services without keys.
    typical_loads: BTreeMap<Arc<str>, f64>,
    spreading: Spreading,
    service_times: ServiceTimes,
    log: Vec<LogRecord>,
}

impl Router {
    /// Creates a router without any configuration or servers.
    pub fn new(settings: RouterSettings) -> Self {
        let retry_budget = RetryBudgetShare::new(
            settings.retry_ratio,
            settings.retry_slack,
            settings.retry_window,
            ASSUMED_HOSTS,
        );
        Self {
            settings,
            initialized: false,
            config: None,
            has_uploads: false,
            servers: Servers::default(),
            pending_removals: BTreeMap::new(),
            unreadable: BTreeMap::new(),
            evacuated: BTreeSet::new(),
            table: RoutingTable::default(),
            hosts: ASSUMED_HOSTS,
            reregistration_until: Time::ZERO,
            settling: Settling::default(),
            reach: Reach::default(),
            splitter: WeightedSplitter::default(),
            retry_budget,
            key_counts: BTreeMap::new(),
            quotas: Quotas::default(),
            admission: Admission::default(),
            demand_shares: BTreeMap::new(),
            shares_told: Time::ZERO,
            refusal_count: 0,
            baseline_latencies: BTreeMap::new(),
            typical_loads: BTreeMap::new(),
            spreading: Spreading::default(),
            service_times: ServiceTimes::default(),
            log: Vec::new(),
        }
    }

    /// The configuration in force, if any is known.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.config.as_ref()
    }

    /// The known backend servers.
    pub fn servers(&self) -> &Servers {
        &self.servers
    }

    /// Failure domains that operators have taken out of service.
    pub fn evacuated(&self) -> &BTreeSet<String> {
        &self.evacuated
    }

    /// The routing table for requests with keys.
    pub fn table(&self) -> &RoutingTable {
        &self.table
    }

    /// Returns the log records since the last call.
    pub fn take_log(&mut self) -> Vec<LogRecord> {
        std::mem::take(&mut self.log)
    }

    /// Returns the number of requests per service and key since the last call.
    pub fn take_key_counts(&mut self) -> BTreeMap<Arc<str>, BTreeMap<u16, u32>> {
        std::mem::take(&mut self.key_counts)
    }

    /// Returns the service times of servers with keys since the last call.
    pub fn take_service_times(&mut self) -> Vec<ServiceTime> {
        self.service_times.take()
    }

    /// Applies a configuration unless a later one is known; returns whether it was applied.
    pub fn update_config(&mut self, config: Arc<Config>) -> bool {
        let newer = self
            .config
            .as_ref()
            .is_none_or(|known| known.version < config.version);
        if newer {
            self.has_uploads = config.has_uploads();
            self.config = Some(config);
        }
        newer
    }

    /// Applies a table unless a later one is known.
    pub fn update_table(&mut self, table: RoutingTable) {
        if self.table.is_older_than(&table) {
            self.table = table;
        }
    }

    /// Applies the changes from the previous version of a table; returns `false` if this host has
    /// another version and needs the whole table.
    pub fn apply_table_changes(
        &mut self,
        term: u64,
        version: u64,
        changes: &BTreeMap<Arc<str>, Vec<RoutingSpan>>,
    ) -> bool {
        let is_next = self.table.term == term && self.table.version + 1 == version;
        if is_next {
            self.table.apply(version, changes);
        }
        is_next
    }

    /// Sets the number of hosts that share limits.
    pub fn set_hosts(&mut self, hosts: usize) {
        self.hosts = hosts.max(1);
        self.retry_budget.set_hosts(self.hosts);
    }

    /// Number of hosts that share limits.
    pub fn hosts(&self) -> usize {
        self.hosts
    }

    /// Replaces the servers with more requests for their keys than they can serve.
    pub fn set_overloads(&mut self, now: Time, overloads: &[Overload]) {
        let host = &self.settings.name;
        self.admission
            .update(now, overloads, |server| tie_break(host, server));
    }

    /// Sets the failure domains that operators have taken out of service.
    pub fn set_evacuated(&mut self, now: Time, domains: BTreeSet<String>) {
        let domains = self.settle_domains(now, domains);
        for domain in domains.difference(&self.evacuated) {
            self.log
                .push(LogRecord::new(EventCode::DomainOut, domain, ""));
        }
        let restored: Vec<String> = self.evacuated.difference(&domains).cloned().collect();
        for domain in restored {
            self.log
                .push(LogRecord::new(EventCode::DomainBack, &domain, ""));
            self.settling.record_return(now, &domain);
            self.mark_domain_cold(now, &domain);
        }
        self.evacuated = domains;
    }

    /// Marks the servers of a restored domain as cold for the warm-up time of their service.
    fn mark_domain_cold(&mut self, now: Time, domain: &str) {
        let Some(config) = self.config.clone() else {
            return;
        };
        let keys: Vec<ServerKey> = self.servers.iter().map(|(key, _)| key).collect();
        for key in keys {
            let Some(state) = self.servers.get_mut(key) else {
                continue;
            };
            if state.entry.domain == domain {
                let service = config.services.get(&state.entry.service);
                let warm_up = service.map_or(Duration::ZERO, |service| service.warm_up);
                state.cold_until = state.cold_until.max(now + warm_up);
            }
        }
    }

    /// Records how an attempt ended, and the load that the server reported.
    pub fn record_outcome(
        &mut self,
        now: Time,
        target: &Target,
        outcome: AttemptOutcome,
        report: Option<LoadReport>,
    ) {
        match outcome {
            AttemptOutcome::Unreachable => self.reach.record_failure(now, &target.entry.id),
            AttemptOutcome::Lost | AttemptOutcome::Abandoned => {}
            _ => self.reach.record_answer(now),
        }
        let baseline = self.baseline_latency(&target.entry.service);
        let typical = self.assumed_load(now, &target.entry.service);
        let has_many_hosts = self.hosts >= MANY_HOSTS;
        let services = self.config.as_ref().map(|config| &config.services);
        let service = services.and_then(|services| services.get(&target.entry.service));
        let keyed = service.is_some_and(|service| service.keyed);
        let entry = &target.entry;
        // The way to another region would count as work.
        let is_measured = keyed
            && self.controls_overload()
            && self.region_of(&entry.domain) == self.region_of(&self.settings.domain);
        let Some(state) = self.servers.life_mut(&entry.id, entry.start_id) else {
            return;
        };
        state.load.request_ended(target.sent);
        if let Some(report) = report {
            let weight = if has_many_hosts {
                SPARSE_REPORT_WEIGHT
            } else {
                REPORT_WEIGHT
            };
            state.load.record_report(now, report, typical, weight);
            if !keyed && has_many_hosts {
                let total = f64::from(report.running) + f64::from(report.waiting);
                let others = (total - state.load.own_in_flight() as f64).max(0.0);
                let mean = self
                    .typical_loads
                    .get(&entry.service)
                    .copied()
                    .unwrap_or_default();
                let mean = mean + (others - mean) * TYPICAL_LOAD_WEIGHT;
                self.typical_loads
                    .insert(target.entry.service.clone(), mean);
                self.spreading.record_report(now, &entry.service);
            }
        }
        let latency = now.since(target.sent);
        let id = state.entry.id.clone();
        match outcome {
            AttemptOutcome::Answered { success } => {
                state.load.record_latency(now, latency, baseline);
                let new_baseline =
                    baseline.mul_f64(1.0 - BASELINE_WEIGHT) + latency.mul_f64(BASELINE_WEIGHT);
                self.baseline_latencies
                    .insert(target.entry.service.clone(), new_baseline);
                if let Some(report) = report.filter(|_| success && is_measured) {
                    self.service_times.record(&id, latency, report);
                }
                if success {
                    state.record_execution();
                    state.record_success();
                } else if state.record_failure(now) {
                    self.log_event(
                        EventCode::ServerEjected,
                        &*id,
                        "consecutive failed responses",
                    );
                }
            }
            AttemptOutcome::Unreachable => {
                if state.record_unreachable(now) {
                    self.log_event(EventCode::ServerEjected, &*id, "unreachable");
                }
            }
            AttemptOutcome::Lost => {
                if state.record_failure(now) {
                    self.log_event(EventCode::ServerEjected, &*id, "consecutive lost responses");
                }
            }
            AttemptOutcome::Misdirected if !keyed => {
                if state.record_unreachable(now) {
                    self.log_event(
                        EventCode::ServerEjected,
                        &*id,
                        "another server answers at its address",
                    );
                }
            }
            AttemptOutcome::Saturated => {
                let slots = state.entry.slots;
                state.load.record_rejection(now, slots, typical);
                state.saturated_at = Some(now);
            }
            AttemptOutcome::NotRun => {
                let slots = state.entry.slots;
                state.load.record_rejection(now, slots, typical);
            }
            AttemptOutcome::Misdirected | AttemptOutcome::Abandoned => {}
        }
    }

    fn log_event(
        &mut self,
        code: EventCode,
        subject: impl Into<String>,
        detail: impl Into<String>,
    ) {
        self.log.push(LogRecord::new(code, subject, detail));
    }
}

/// Tie-breaker between equal servers, from 0 to 1 (lower is preferred): constant for a pair of host
/// and server, and different on every host.
fn tie_break(host: &str, server: &str) -> f64 {
    let hash = xxh3_64_with_seed(server.as_bytes(), xxh3_64(host.as_bytes()));
    hash as f64 / u64::MAX as f64
}
