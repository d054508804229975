//! The servers' entries in the store: what is listed, removed, restored or cannot be read.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use super::{Router, tie_break};
use crate::front::servers::{ServerChanges, ServerEntry, ServerState};
use crate::ids::ServerKey;
use crate::log::EventCode;
use crate::time::Time;

/// How long a server whose entry expired during a store outage has to register again.
pub(super) const REREGISTRATION_GRACE: Duration = Duration::from_millis(1_900);
/// How long a server whose entry cannot be read keeps its requests and keys: it writes its entry anew
/// with each heartbeat, which takes about a second.
const UNREADABLE_GRACE: Duration = Duration::from_millis(2_000);

impl Router {
    /// Applies the current store entry of a server.
    pub fn upsert_server(&mut self, now: Time, entry: ServerEntry) {
        if self.hold_back(now, &entry) {
            return;
        }
        self.settling.record_arrival(&entry.id);
        self.pending_removals.remove(&entry.id);
        self.unreadable.remove(&entry.id);
        let service = self
            .config
            .as_ref()
            .and_then(|config| config.services.get(&entry.service));
        let warm_up = service
            .map(|service| service.warm_up)
            .filter(|_| self.initialized);
        let (id, draining) = (entry.id.clone(), entry.draining);
        let previous = self.servers.life(&id, entry.start_id);
        let was_leaving = previous.is_some_and(ServerState::is_leaving);
        let tie_break = tie_break(&self.settings.name, &id);
        if self.servers.upsert(now, entry, warm_up, tie_break) && self.initialized {
            self.log_event(EventCode::ServerBack, &*id, "");
        }
        if draining && !was_leaving {
            self.log_event(EventCode::ServerDraining, &*id, "");
        }
    }

    /// Handles the removal of a server's entry from the store.
    ///
    /// Entries expire while the store is down, and servers register again within two seconds of its
    /// return, so a removal right after an outage takes effect only after that time.
    pub fn remove_server(&mut self, now: Time, id: &str) {
        self.settling.record_removal(id);
        self.unreadable.remove(id);
        let Some(key) = self.servers.find(id) else {
            return;
        };
        if self.reregistration_until > now {
            let id = Arc::from(id);
            self.pending_removals
                .entry(id)
                .or_insert(self.reregistration_until);
            return;
        }
        self.drop_server(now, key, "entry removed from the store");
    }

    pub(super) fn drop_server(&mut self, now: Time, key: ServerKey, reason: &str) {
        let Some(state) = self.servers.get(key) else {
            return;
        };
        let (id, start_id) = (state.entry.id.clone(), state.entry.start_id);
        self.settling.record_departure(now, &id, start_id);
        self.servers.remove(now, key);
        self.log_event(EventCode::ServerGone, &*id, reason);
    }

    /// Whether a server with an identifier is known.
    pub fn is_known_server(&self, id: &str) -> bool {
        self.servers.find(id).is_some()
    }

    /// Handles an entry that cannot be read. A server that is known by an earlier one goes on for a
    /// moment, in which its next heartbeat mends the entry.
    pub fn keep_unreadable_server(&mut self, now: Time, id: &str) {
        if self.is_known_server(id) {
            let deadline = now + UNREADABLE_GRACE;
            self.unreadable.entry(Arc::from(id)).or_insert(deadline);
        }
    }

    /// Replaces the complete list of servers, of which some entries cannot be read; returns the
    /// differences to the previous list.
    pub fn replace_servers(
        &mut self,
        now: Time,
        entries: Vec<ServerEntry>,
        unreadable: &[Arc<str>],
    ) -> ServerChanges {
        let mut listed: BTreeSet<Arc<str>> = entries.iter().map(|entry| entry.id.clone()).collect();
        listed.extend(unreadable.iter().cloned());
        let new = |id: &&Arc<str>| !self.unreadable.contains_key(*id);
        let newly_unreadable = unreadable.iter().filter(new).cloned().collect();
        let known = |id: &str| {
            let key = self.servers.find(id)?;
            self.servers.get(key).map(|state| &state.entry)
        };
        let is_changed = |entry: &ServerEntry| known(&entry.id) != Some(entry);
        let changed = entries.iter().filter(|entry| is_changed(entry)).cloned();
        let changed = changed.collect();
        let servers = self.servers.iter();
        let removed = servers
            .map(|(_, state)| state.entry.id.clone())
            .filter(|id| !listed.contains(id));
        let changes = ServerChanges {
            entries: changed,
            removed: removed.collect(),
            unreadable: newly_unreadable,
        };
        for entry in entries {
            self.upsert_server(now, entry);
        }
        self.handle_missing(now, &changes.removed);
        for id in unreadable {
            self.keep_unreadable_server(now, id);
        }
        self.initialized = true;
        changes
    }

    /// Applies changes to the list of servers.
    pub fn apply_server_changes(&mut self, now: Time, changes: ServerChanges) {
        for entry in changes.entries {
            self.upsert_server(now, entry);
        }
        for id in &changes.removed {
            self.remove_server(now, id);
        }
        for id in &changes.unreadable {
            self.keep_unreadable_server(now, id);
        }
    }

    /// Called after a failed store call, once the outage is so long that entries may have expired.
    /// For `REREGISTRATION_GRACE` from now, servers that disappear from the store's list are kept, so
    /// that they can register again.
    pub fn extend_reregistration(&mut self, now: Time) {
        self.allow_reregistration(now, REREGISTRATION_GRACE);
    }

    /// Allows missing entries to be registered again for the given time.
    pub fn allow_reregistration(&mut self, now: Time, duration: Duration) {
        self.reregistration_until = self.reregistration_until.max(now + duration);
    }

    /// Time for which missing entries may still be registered again.
    pub fn reregistration_time(&self, now: Time) -> Duration {
        self.reregistration_until.since(now)
    }

    /// Removes servers whose time to register again has passed, and applies what was held back after
    /// a restore of the store.
    pub fn tick(&mut self, now: Time) {
        let due = self.pending_removals.iter().filter(|(_, at)| **at <= now);
        let due: Vec<Arc<str>> = due.map(|(id, _)| id.clone()).collect();
        for id in due {
            self.pending_removals.remove(&id);
            if let Some(key) = self.servers.find(&id) {
                let reason = "entry not registered again after a store outage";
                self.drop_server(now, key, reason);
            }
        }
        self.remove_unreadable(now);
        self.servers.forget_retired(now);
        self.end_settling(now);
    }

    fn remove_unreadable(&mut self, now: Time) {
        let unreadable = std::mem::take(&mut self.unreadable);
        let (due, rest) = unreadable.into_iter().partition(|(_, at)| *at <= now);
        self.unreadable = rest;
        let due: BTreeMap<Arc<str>, Time> = due;
        for id in due.into_keys() {
            if let Some(key) = self.servers.find(&id) {
                self.drop_server(now, key, "entry cannot be read");
            }
        }
    }
}
