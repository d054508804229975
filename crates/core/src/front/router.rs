//! Where a request goes, and what its caller may be told.

mod choice;
mod types;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::config::Config;
use super::load::LoadReport;
use super::placement::{Table, TableSpan};
use super::retries::RetryShare;
use super::servers::{ServerChanges, ServerEntry, Servers};
use super::splits::Splits;
use crate::ids::ServerKey;
use crate::log::{Code, Record};
use crate::time::Time;

pub use types::{Ending, Plan, RefusalCause, Refused, RouterSettings, Target};

/// Time for which a server that was seen to be gone in a store outage may yet be back.
const RETURN_GRACE: Duration = Duration::from_millis(1_900);
/// Weight of the newest answer in the usual time of work of its service.
const USUAL_WEIGHT: f64 = 0.03;
/// Hosts that are taken to share a bound before any is known.
const UNKNOWN_HOSTS: usize = 12;

/// Routes requests by what one host knows.
#[derive(Clone, Debug)]
pub struct Router {
    settings: RouterSettings,
    started: bool,
    config: Option<Arc<Config>>,
    servers: Servers,
    leaving: BTreeMap<Arc<str>, Time>,
    evacuated: BTreeSet<String>,
    table: Table,
    hosts: usize,
    /// Until when an entry that is gone from the store may yet be back.
    returns_until: Time,
    splits: Splits,
    retries: RetryShare,
    heat: BTreeMap<Arc<str>, BTreeMap<u16, u32>>,
    usual: BTreeMap<Arc<str>, Duration>,
    log: Vec<Record>,
}

impl Router {
    /// Makes a router that knows nothing yet.
    pub fn new(settings: RouterSettings) -> Self {
        let retries = RetryShare::new(settings.retry_ratio, settings.retry_slack, UNKNOWN_HOSTS);
        Self {
            settings,
            started: false,
            config: None,
            servers: Servers::default(),
            leaving: BTreeMap::new(),
            evacuated: BTreeSet::new(),
            table: Table::default(),
            hosts: UNKNOWN_HOSTS,
            returns_until: Time::ZERO,
            splits: Splits::default(),
            retries,
            heat: BTreeMap::new(),
            usual: BTreeMap::new(),
            log: Vec::new(),
        }
    }

    /// The configuration in force, if any is known.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.config.as_ref()
    }

    /// The servers.
    pub fn servers(&self) -> &Servers {
        &self.servers
    }

    /// Failure domains that operators have taken out.
    pub fn evacuated(&self) -> &BTreeSet<String> {
        &self.evacuated
    }

    /// Where requests with keys go.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Log records since the last call.
    pub fn take_log(&mut self) -> Vec<Record> {
        std::mem::take(&mut self.log)
    }

    /// Requests by service and key since the last call.
    pub fn take_heat(&mut self) -> BTreeMap<Arc<str>, BTreeMap<u16, u32>> {
        std::mem::take(&mut self.heat)
    }

    /// Takes in a configuration, unless a later one is known; returns whether it is in force now.
    pub fn set_config(&mut self, config: Arc<Config>) -> bool {
        let newer = self
            .config
            .as_ref()
            .is_none_or(|known| known.version < config.version);
        if newer {
            let detail = format!("{} routes", config.routes().count());
            self.note(Code::ConfigInForce, format!("r{}", config.version), detail);
            self.config = Some(config);
        }
        newer
    }

    /// Takes in a table, unless a later one is known.
    pub fn set_table(&mut self, table: Table) {
        if self.table.is_older_than(&table) {
            self.table = table;
        }
    }

    /// Takes in what changed in a table since the version before; `false` where this host has
    /// another one and needs the whole table.
    pub fn change_table(
        &mut self,
        term: u64,
        version: u64,
        changes: &BTreeMap<Arc<str>, Vec<TableSpan>>,
    ) -> bool {
        let follows = self.table.term == term && self.table.version + 1 == version;
        if follows {
            self.table.apply(version, changes);
        }
        follows
    }

    /// Takes in how many hosts share bounds.
    pub fn set_hosts(&mut self, hosts: usize) {
        self.hosts = hosts.max(1);
        self.retries.set_hosts(self.hosts);
    }

    /// How many hosts share bounds.
    pub fn hosts(&self) -> usize {
        self.hosts
    }

    /// Takes in the failure domains that operators have taken out.
    pub fn set_evacuated(&mut self, now: Time, domains: BTreeSet<String>) {
        for domain in domains.difference(&self.evacuated) {
            self.log.push(Record::new(Code::DomainOut, domain, ""));
        }
        let back: Vec<String> = self.evacuated.difference(&domains).cloned().collect();
        for domain in back {
            self.log.push(Record::new(Code::DomainBack, &domain, ""));
            self.doubt_domain(now, &domain);
        }
        self.evacuated = domains;
    }

    /// Treats the servers of a domain that is taken back as cold until they say otherwise.
    fn doubt_domain(&mut self, now: Time, domain: &str) {
        let Some(config) = self.config.clone() else {
            return;
        };
        let keys: Vec<ServerKey> = self.servers.iter().map(|(key, _)| key).collect();
        for key in keys {
            let Some(standing) = self.servers.get_mut(key) else {
                continue;
            };
            if standing.entry.domain == domain {
                let service = config.services.get(&standing.entry.service);
                let warm_up = service.map_or(Duration::ZERO, |service| service.warm_up);
                standing.cold_until = standing.cold_until.max(now + warm_up);
            }
        }
    }

    /// Takes in a server's entry as it is in the store now.
    pub fn learn_server(&mut self, now: Time, entry: ServerEntry) {
        self.leaving.remove(&entry.id);
        let service = self
            .config
            .as_ref()
            .and_then(|config| config.services.get(&entry.service));
        let warm_up = service
            .map(|service| service.warm_up)
            .filter(|_| self.started);
        let (id, draining) = (entry.id.clone(), entry.draining);
        let before = self.servers.find(&id).and_then(|key| self.servers.get(key));
        let drained = before.is_some_and(|standing| standing.entry.draining);
        let preference = preference(&self.settings.name, &id);
        if self.servers.learn(now, entry, warm_up, preference) && self.started {
            self.note(Code::ServerBack, &*id, "");
        }
        if draining && !drained {
            self.note(Code::ServerDraining, &*id, "");
        }
    }

    /// Takes in that the store no longer has a server's entry.
    ///
    /// Entries lapse while the store is down and are back within two seconds of its return, so a
    /// removal that comes with a return counts after that time.
    pub fn lose_server(&mut self, now: Time, id: &str) {
        let Some(key) = self.servers.find(id) else {
            return;
        };
        if self.returns_until > now {
            let id = Arc::from(id);
            self.leaving.entry(id).or_insert(self.returns_until);
            return;
        }
        self.servers.remove(key);
        self.note(Code::ServerGone, id, "its entry was removed");
    }

    /// Takes in the whole list of servers; returns how it differs from what was known.
    pub fn replace_servers(&mut self, now: Time, entries: Vec<ServerEntry>) -> ServerChanges {
        let listed: BTreeSet<Arc<str>> = entries.iter().map(|entry| entry.id.clone()).collect();
        let known = |id: &str| {
            let key = self.servers.find(id)?;
            self.servers.get(key).map(|standing| &standing.entry)
        };
        let differs = |entry: &ServerEntry| known(&entry.id) != Some(entry);
        let changed = entries.iter().filter(|entry| differs(entry)).cloned();
        let changed = changed.collect();
        let servers = self.servers.iter();
        let removed = servers
            .map(|(_, standing)| standing.entry.id.clone())
            .filter(|id| !listed.contains(id));
        let changes = ServerChanges {
            entries: changed,
            removed: removed.collect(),
        };
        let removed = changes.removed.clone();
        self.change_servers(now, ServerChanges { entries, removed });
        self.started = true;
        changes
    }

    /// Takes in what changed among the servers.
    pub fn change_servers(&mut self, now: Time, changes: ServerChanges) {
        for entry in changes.entries {
            self.learn_server(now, entry);
        }
        for id in &changes.removed {
            self.lose_server(now, id);
        }
    }

    /// Takes in that the store answers again after an outage.
    pub fn store_is_back(&mut self, now: Time) {
        self.allow_returns(now, RETURN_GRACE);
    }

    /// Takes in for how long entries that are gone may yet be back.
    pub fn allow_returns(&mut self, now: Time, left: Duration) {
        self.returns_until = self.returns_until.max(now + left);
    }

    /// For how long entries that are gone may yet be back.
    pub fn return_time(&self, now: Time) -> Duration {
        self.returns_until.since(now)
    }

    /// Ends what only waited for time.
    pub fn tick(&mut self, now: Time) {
        let due = self.leaving.iter().filter(|(_, at)| **at <= now);
        let due: Vec<Arc<str>> = due.map(|(id, _)| id.clone()).collect();
        for id in due {
            self.leaving.remove(&id);
            if let Some(key) = self.servers.find(&id) {
                self.servers.remove(key);
                self.note(
                    Code::ServerGone,
                    &*id,
                    "its entry is not back after an outage",
                );
            }
        }
    }

    /// Takes in how a send ended, and what the server told of its load.
    pub fn ended(
        &mut self,
        now: Time,
        target: &Target,
        ending: Ending,
        report: Option<LoadReport>,
    ) {
        let usual = self.usual(&target.entry.service);
        let Some(standing) = self.servers.get_mut(target.server) else {
            return;
        };
        if standing.entry.born != target.entry.born {
            return;
        }
        standing.load.ended(target.sent);
        if let Some(report) = report {
            standing.load.reported(now, report);
        }
        let took = now.since(target.sent);
        let id = standing.entry.id.clone();
        let services = self.config.as_ref().map(|config| &config.services);
        let service = services.and_then(|services| services.get(&target.entry.service));
        let keyed = service.is_some_and(|service| service.keyed);
        match ending {
            Ending::Answered { success } => {
                standing.load.answered(now, took, usual);
                let mean = usual.mul_f64(1.0 - USUAL_WEIGHT) + took.mul_f64(USUAL_WEIGHT);
                self.usual.insert(target.entry.service.clone(), mean);
                if success {
                    standing.succeeded();
                } else if standing.failed(now) {
                    self.note(Code::ServerShunned, &*id, "its answers are failures");
                }
            }
            Ending::Unreachable => {
                if standing.unreachable(now) {
                    self.note(Code::ServerShunned, &*id, "it cannot be reached");
                }
            }
            Ending::Lost => {
                if standing.failed(now) {
                    self.note(Code::ServerShunned, &*id, "its answers are lost");
                }
            }
            Ending::Misdirected if !keyed => {
                if standing.unreachable(now) {
                    self.note(Code::ServerShunned, &*id, "another server has its address");
                }
            }
            Ending::NotRun => {
                let slots = standing.entry.slots;
                standing.load.rejected(now, slots);
            }
            Ending::Misdirected | Ending::Abandoned => {}
        }
    }

    fn note(&mut self, code: Code, subject: impl Into<String>, detail: impl Into<String>) {
        self.log.push(Record::new(code, subject, detail));
    }
}

/// How little a host prefers a server, from 0 to 1; the same at every call, and other at every host.
fn preference(host: &str, server: &str) -> f64 {
    let hash = xxh3_64_with_seed(server.as_bytes(), xxh3_64(host.as_bytes()));
    hash as f64 / u64::MAX as f64
}
