//! What a router keeps from before a restore of the store until the store has settled.
//!
//! A restored store lacks what was written in its last seconds and shows what was removed in them,
//! until servers and operators have written it again. See `docs/platform-path.md`, "A restored
//! store".

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use super::Router;
use super::entries::REREGISTRATION_GRACE;
use crate::front::servers::ServerEntry;
use crate::time::Time;

/// Time after a restore in which the store may show what had changed before it: a server's entry
/// expires after three of its heartbeats, which take about a second each.
const SETTLING_TIME: Duration = Duration::from_millis(4_000);
/// Time for which departures are remembered: longer than the age of a copy.
const DEPARTURE_MEMORY: Duration = Duration::from_secs(40);

/// Departures, and what the store shows in contradiction to them.
#[derive(Clone, Debug, Default)]
pub(super) struct Settling {
    until: Time,
    /// Servers that the store has lost, and until when they may register again.
    absent: BTreeMap<Arc<str>, Time>,
    /// Entries of servers that had left or were about to.
    held_entries: BTreeMap<Arc<str>, ServerEntry>,
    /// Incarnations of servers whose entries were removed, and when.
    departed: BTreeMap<Arc<str>, (Option<u64>, Time)>,
    /// Failure domains that operators have taken back into service, and when.
    returned_domains: BTreeMap<String, Time>,
    /// The failure domains that the store lists as taken out of service.
    listed_domains: BTreeSet<String>,
}

impl Settling {
    fn is_active(&self, now: Time) -> bool {
        now < self.until
    }

    pub(super) fn record_departure(&mut self, now: Time, id: &Arc<str>, start_id: Option<u64>) {
        self.departed.insert(id.clone(), (start_id, now));
    }

    pub(super) fn record_arrival(&mut self, id: &str) {
        self.departed.remove(id);
        self.absent.remove(id);
    }

    pub(super) fn record_return(&mut self, now: Time, domain: &str) {
        self.returned_domains.insert(domain.to_owned(), now);
    }

    pub(super) fn record_removal(&mut self, id: &str) {
        self.held_entries.remove(id);
        self.absent.remove(id);
    }
}

impl Router {
    /// Called with the first data of a new era of the store. For some seconds, what is missing
    /// counts as not yet written again, and what had left before does not come back.
    pub fn begin_settling(&mut self, now: Time) {
        self.settling.until = now + SETTLING_TIME;
        self.allow_reregistration(now, REREGISTRATION_GRACE);
    }

    /// The failure domains that the store lists as taken out of service.
    pub fn listed_evacuations(&self) -> &BTreeSet<String> {
        &self.settling.listed_domains
    }

    /// Holds back an entry that shows a departed or leaving server as it was before; returns whether
    /// it did.
    pub(super) fn hold_back(&mut self, now: Time, entry: &ServerEntry) -> bool {
        if !self.settling.is_active(now) {
            return false;
        }
        let departed = self.settling.departed.get(&entry.id);
        let has_left = departed.is_some_and(|(start_id, _)| *start_id == entry.start_id);
        let known = self.servers.find(&entry.id);
        let known = known.and_then(|key| self.servers.get(key));
        let is_leaving =
            known.is_some_and(|state| state.is_leaving() && state.entry.start_id == entry.start_id);
        let is_held = has_left || is_leaving && !entry.draining;
        if is_held {
            let id = entry.id.clone();
            self.settling.held_entries.insert(id, entry.clone());
        }
        is_held
    }

    /// Handles servers that are missing from the store's list. While the store settles, they keep
    /// their keys and get requests until their time to register again has passed.
    pub(super) fn handle_missing(&mut self, now: Time, ids: &[Arc<str>]) {
        let deadline = self.reregistration_until;
        for id in ids {
            if self.settling.is_active(now) && deadline > now {
                self.settling.absent.entry(id.clone()).or_insert(deadline);
            } else {
                self.remove_server(now, id);
            }
        }
    }

    /// Takes the domains that the store lists; returns those that count as taken out of service.
    pub(super) fn settle_domains(
        &mut self,
        now: Time,
        listed: BTreeSet<String>,
    ) -> BTreeSet<String> {
        self.settling.listed_domains.clone_from(&listed);
        if !self.settling.is_active(now) {
            return listed;
        }
        let had_returned = |domain: &String| self.settling.returned_domains.contains_key(domain);
        let new = listed.into_iter().filter(|domain| !had_returned(domain));
        new.chain(self.evacuated.iter().cloned()).collect()
    }

    /// Applies what was held back once the store has settled, and forgets old departures.
    pub(super) fn end_settling(&mut self, now: Time) {
        let absent = self.settling.absent.iter();
        let due = absent.filter(|(_, deadline)| **deadline <= now);
        let due: Vec<Arc<str>> = due.map(|(id, _)| id.clone()).collect();
        for id in due {
            self.settling.absent.remove(&id);
            if let Some(key) = self.servers.find(&id) {
                self.drop_server(now, key, "entry not registered again after a restore");
            }
        }
        if self.settling.is_active(now) {
            return;
        }
        for entry in std::mem::take(&mut self.settling.held_entries).into_values() {
            self.upsert_server(now, entry);
        }
        if self.settling.listed_domains != self.evacuated {
            let listed = self.settling.listed_domains.clone();
            self.set_evacuated(now, listed);
        }
        let is_recent = |at: Time| now.since(at) < DEPARTURE_MEMORY;
        self.settling.departed.retain(|_, (_, at)| is_recent(*at));
        self.settling
            .returned_domains
            .retain(|_, at| is_recent(*at));
    }
}
