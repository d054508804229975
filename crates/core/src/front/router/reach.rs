//! Whether this host reaches any server.
//!
//! Failed connections and silence are a suspicion only; the host then opens connections to some
//! servers of different failure domains to find out. See `docs/platform-path.md`, "A host that
//! reaches no server".

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use super::Router;
use crate::front::servers::{ServerEntry, ServerState};
use crate::ids::ServerKey;
use crate::log::EventCode;
use crate::time::Time;

/// Servers that cannot be connected to, one after the other, from which a host checks its reach.
const SUSPICIOUS_SERVERS: usize = 2;
/// Failed connections in a row, be it to one server, from which it does so.
const SUSPICIOUS_FAILURES: usize = 3;
/// Time for which a failed connection counts.
const FAILURE_MEMORY: Duration = Duration::from_secs(2);
/// Servers that must all be silent for a host to check its reach.
const SUSPICIOUS_SILENT_SERVERS: usize = 3;
/// Time without any answer of a server that counts as silence.
const MAX_SILENCE: Duration = Duration::from_millis(500);
/// Minimum time between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Minimum time between a check that found a server and the next one.
const QUIET_TIME: Duration = Duration::from_millis(1_000);
/// Servers that are tried to find out whether any can be reached.
const CHECKED_SERVERS: usize = 5;
/// Servers that are tried to find out whether one can be reached again.
const RECHECKED_SERVERS: usize = 2;

/// What speaks for and against this host reaching servers.
#[derive(Clone, Debug, Default)]
pub(super) struct Reach {
    /// Failed connections since one was opened, by server, and when the last one failed.
    failures: BTreeMap<Arc<str>, (usize, Time)>,
    /// When a server last answered or accepted a connection.
    last_answer: Time,
    next_check: Time,
    /// Number of checks, from which the choice of servers follows.
    checks: usize,
    is_lost: bool,
}

impl Reach {
    pub(super) fn record_answer(&mut self, now: Time) {
        self.last_answer = now;
    }

    pub(super) fn record_failure(&mut self, now: Time, server: &Arc<str>) {
        let (count, last) = self.failures.entry(server.clone()).or_insert((0, now));
        *count += 1;
        *last = now;
    }

    fn has_failures(&self, now: Time) -> bool {
        let failures = self.failures.values();
        let recent = failures.filter(|(_, last)| now.since(*last) < FAILURE_MEMORY);
        let counts: Vec<usize> = recent.map(|(count, _)| *count).collect();
        counts.len() >= SUSPICIOUS_SERVERS || counts.iter().sum::<usize>() >= SUSPICIOUS_FAILURES
    }
}

impl Router {
    /// Whether this host reaches servers, as far as it knows.
    pub fn reaches_servers(&self) -> bool {
        !self.reach.is_lost
    }

    /// Whether no connection could be opened lately, so that this host may reach no server.
    pub fn may_lack_servers(&self, now: Time) -> bool {
        self.reach.is_lost || self.reach.has_failures(now)
    }

    /// Records that a connection to a server was opened.
    pub fn record_connection(&mut self, now: Time) {
        self.reach.failures.clear();
        self.reach.record_answer(now);
    }

    /// Records that a server could not be connected to for an order.
    pub fn record_failed_order(&mut self, now: Time, server: &Arc<str>) {
        self.reach.record_failure(now, server);
    }

    /// The servers to which connections must be opened now to find out whether any can be reached;
    /// empty if there is no need.
    pub fn servers_to_check(&mut self, now: Time) -> Vec<ServerEntry> {
        if now < self.reach.next_check {
            return Vec::new();
        }
        let limit = if self.reach.is_lost {
            RECHECKED_SERVERS
        } else if self.reach.has_failures(now) || self.are_servers_silent(now) {
            CHECKED_SERVERS
        } else {
            return Vec::new();
        };
        self.reach.next_check = now + CHECK_INTERVAL;
        self.reach.checks += 1;
        self.sample_servers(limit)
    }

    fn are_servers_silent(&self, now: Time) -> bool {
        let waits_long = |state: &ServerState| state.load.oldest_age(now) >= MAX_SILENCE;
        let silent = self.servers.iter().filter(|(_, state)| waits_long(state));
        now.since(self.reach.last_answer) >= MAX_SILENCE
            && silent.count() >= SUSPICIOUS_SILENT_SERVERS
    }

    /// Selects servers of as many failure domains as possible, other ones each time.
    fn sample_servers(&self, limit: usize) -> Vec<ServerEntry> {
        let mut entries: Vec<&ServerEntry> =
            self.servers.iter().map(|(_, state)| &state.entry).collect();
        if entries.is_empty() {
            return Vec::new();
        }
        let offset = self.reach.checks * CHECKED_SERVERS % entries.len();
        entries.rotate_left(offset);
        let mut domains = BTreeSet::new();
        // Servers of a domain that is selected already come last.
        entries.sort_by_key(|entry| !domains.insert(entry.domain.as_str()));
        entries.into_iter().take(limit).cloned().collect()
    }

    /// Records whether any of the checked servers could be connected to.
    pub fn record_check(&mut self, now: Time, is_reached: bool) {
        if is_reached {
            self.record_connection(now);
            self.reach.next_check = now + QUIET_TIME;
        }
        if is_reached == self.reach.is_lost {
            self.reach.is_lost = !is_reached;
            let name = self.settings.name.clone();
            if is_reached {
                self.forget_failures();
                self.log_event(EventCode::ReachRegained, name, "");
            } else {
                let detail = format!("{} connections failed", self.reach.failures.len());
                self.log_event(EventCode::ReachLost, name, detail);
            }
        }
    }

    /// Forgets what this host took for failures of servers while it reached none.
    fn forget_failures(&mut self) {
        let keys: Vec<ServerKey> = self.servers.iter().map(|(key, _)| key).collect();
        for key in keys {
            if let Some(state) = self.servers.get_mut(key) {
                state.forget_failures();
            }
        }
    }
}
