//! Host membership in the region's record, choice of successors, and takeover from silent hosts.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Host;
use super::store::{RegionWrite, WritePurpose};
use crate::catalogue::Server;
use crate::ids::{FenceToken, HostId, Revision, ServerKey};
use crate::log::EventCode;
use crate::message::Message;
use crate::record::{ControlRecord, HostRecord, RegionRecord, Subject};
use crate::time::Time;
use crate::timer::TimerKind;
use crate::validity::Predecessor;

/// Heartbeat periods without a promise after which the host confirms its validity by the store.
const MISSED_PROMISE_PERIODS: u32 = 2;
/// Validity periods without a promise after which another successor is chosen.
const SUCCESSOR_TIMEOUT_PERIODS: u32 = 2;
/// How long before the end of the suspicion period the store is read for a takeover.
const TAKEOVER_READ_LEAD: Duration = Duration::from_millis(90);

impl Host {
    pub(super) fn run_heartbeat(&mut self) {
        let period = self.timing().heartbeat;
        self.timers
            .subscribe(self.now + period, TimerKind::Heartbeat);
        self.send_heartbeat();
        self.confirm_validity_by_store();
        self.check_predecessors();
        self.sync_membership();
    }

    pub(super) fn handle_heartbeat(
        &mut self,
        from: HostId,
        sent: Time,
        term: u64,
        revision: Revision,
    ) {
        let now = self.now;
        let may_promise = self.is_member && self.may_promise(from);
        if let Some(predecessor) = self.predecessors.get_mut(&from) {
            predecessor.last_heard = now;
            if may_promise && predecessor.try_promise(term, now) {
                let revision = self.view.revision();
                let message = Message::Promise {
                    sent,
                    term,
                    revision,
                };
                self.send(from, message);
            }
        }
        self.compare_revision(from, revision);
    }

    pub(super) fn handle_promise(
        &mut self,
        from: HostId,
        sent: Time,
        term: u64,
        revision: Revision,
    ) {
        let current = self.own_term();
        let accepted = self.successor() == Some(from)
            && current == Some(term)
            && sent >= self.promise_floor
            && !self.is_changing_successor();
        if accepted {
            self.validity.confirm_by_promise(sent);
        }
        self.compare_revision(from, revision);
    }

    /// Updates this host's membership state from the region's record, then writes the record if it
    /// has to change.
    pub(super) fn sync_membership(&mut self) {
        self.update_own_membership();
        self.sync_predecessors();
        self.share_crashes();
        if self.view.is_loaded() {
            self.reconcile_region();
        }
    }

    pub(super) fn complete_region_write(&mut self, write: &RegionWrite, sent: Time) {
        if self.is_member {
            self.validity.confirm_by_store(sent);
        }
        if write.changes_successor {
            self.promise_floor = self.now;
        }
        for (host, _) in &write.taken_over {
            self.predecessors.remove(host);
            self.log(EventCode::TakeoverRecorded, host.to_string(), "");
            self.write_audit_line("takeover", &host.to_string(), "");
        }
        self.sync_membership();
    }

    pub(super) fn discard_region_write(&mut self, write: &RegionWrite) {
        for (host, _) in &write.taken_over {
            if let Some(predecessor) = self.predecessors.get_mut(host) {
                predecessor.cancel_takeover();
            }
        }
        if write.changes_successor {
            self.promise_floor = self.now;
        }
    }

    pub(super) fn own_term(&self) -> Option<u64> {
        let record = self.region_record()?;
        Some(record.hosts.get(&self.settings.id)?.term)
    }

    /// Whether a promise of this host rules out every takeover from `host`.
    ///
    /// While this host is valid, no other has replaced it as the successor of `host`. If `host` is
    /// in turn its successor, only `host` could replace it, and `host` knows whether it did.
    fn may_promise(&self, host: HostId) -> bool {
        self.is_valid() || self.successor() == Some(host)
    }

    fn send_heartbeat(&mut self) {
        let (Some(successor), Some(term)) = (self.successor(), self.own_term()) else {
            return;
        };
        let message = Message::Heartbeat {
            sent: self.now,
            term,
            revision: self.view.revision(),
        };
        self.send(successor, message);
    }

    /// Reads the region's record while no promise arrives.
    fn confirm_validity_by_store(&mut self) {
        let silence = self.now.since(self.validity.promise_requested());
        if self.is_member && silence > self.timing().heartbeat * MISSED_PROMISE_PERIODS {
            self.read_object(self.region_key());
        }
    }

    fn update_own_membership(&mut self) {
        let id = self.settings.id;
        let is_member = self
            .region_record()
            .is_some_and(|record| record.hosts.contains_key(&id));
        let name = self.settings.name.clone();
        if is_member != self.is_member {
            self.is_member = is_member;
            if !is_member {
                self.validity.revoke();
            }
            let code = if is_member {
                EventCode::Joined
            } else {
                EventCode::Removed
            };
            self.log(code, name.clone(), id.to_string());
        }
        let successor = self.successor();
        if successor != self.known_successor {
            self.known_successor = successor;
            self.validity.forget_promises();
            self.promise_floor = self.now;
            let detail = successor.map_or_else(String::new, |host| host.to_string());
            self.log(EventCode::SuccessorChanged, name, detail);
            self.restart_replication();
        }
    }

    fn sync_predecessors(&mut self) {
        let id = self.settings.id;
        let now = self.now;
        let validity = self.timing().validity;
        let mut listed = Vec::new();
        let hosts = self
            .region_record()
            .into_iter()
            .flat_map(|record| &record.hosts);
        for (host, record) in hosts {
            if record.successor == Some(id) {
                listed.push((*host, record.term));
            }
        }
        self.predecessors.retain(|host, predecessor| {
            predecessor.is_being_taken_over() || listed.iter().any(|(listed, _)| listed == host)
        });
        for (host, term) in listed {
            let known_term = self
                .predecessors
                .get(&host)
                .map(|predecessor| predecessor.term);
            if known_term != Some(term) {
                self.predecessors
                    .insert(host, Predecessor::new(host, term, now, validity));
            }
        }
    }

    /// Begins a takeover from each silent host that named this one as its successor.
    ///
    /// A takeover needs the store, so it begins only after a read sent since the last heartbeat was
    /// answered; otherwise a store outage would make this host withhold promises for nothing.
    fn check_predecessors(&mut self) {
        let suspicion = self.timing().suspicion;
        let mut silent = Vec::new();
        for predecessor in self
            .predecessors
            .values()
            .filter(|predecessor| !predecessor.is_being_taken_over())
        {
            let silence = self.now.since(predecessor.last_heard);
            if silence + TAKEOVER_READ_LEAD >= suspicion {
                silent.push((
                    predecessor.host,
                    predecessor.last_heard,
                    silence > suspicion,
                ));
            }
        }
        for (host, heard, overdue) in silent {
            let key = self.region_key();
            let last_read = self.store.last_reads.get(&key).copied();
            let fresh = last_read.is_some_and(|read| read > heard);
            if overdue && fresh && self.is_valid() && !self.is_writing(&key) {
                self.begin_takeover(host);
            } else {
                self.read_object(key);
            }
        }
    }

    fn begin_takeover(&mut self, host: HostId) {
        if let Some(predecessor) = self.predecessors.get_mut(&host) {
            predecessor.start_takeover();
        }
        let name = self
            .view
            .host(host)
            .map_or_else(String::new, |record| record.name.clone());
        self.log(EventCode::TakeoverBegun, name, host.to_string());
    }

    /// Writes the region's record if it differs from the desired state.
    fn reconcile_region(&mut self) {
        let key = self.region_key();
        if self.is_writing(&key) {
            return;
        }
        let revision = self.view.revision_of(&key);
        let old = self.region_record().cloned().unwrap_or_default();
        let mut record = old.clone();
        let mut write = RegionWrite {
            taken_over: Vec::new(),
            changes_successor: false,
        };
        self.plan_takeovers(&mut record, &mut write);
        self.plan_handovers(&mut record);
        self.plan_own_host(&mut record, &mut write);
        self.plan_claims(&mut record);
        self.plan_raised_tokens(&mut record);
        if record != old {
            self.write_object(key, revision, &record, WritePurpose::Region(write));
        }
    }

    fn plan_takeovers(&self, record: &mut RegionRecord, write: &mut RegionWrite) {
        if !self.is_member {
            return;
        }
        let silent = self
            .predecessors
            .values()
            .filter(|predecessor| predecessor.is_being_taken_over());
        let mut taken_over: Vec<(HostId, u64)> = silent
            .filter(|predecessor| {
                let host = record.hosts.get(&predecessor.host);
                host.is_some_and(|host| host.successor == Some(self.settings.id))
            })
            .map(|predecessor| (predecessor.host, predecessor.term))
            .collect();
        for (id, host) in &record.hosts {
            let lost = self.view.is_out(&Subject::Lost(*id)) && self.should_take_over(*id, record);
            if lost && !taken_over.iter().any(|(other, _)| other == id) {
                taken_over.push((*id, host.term));
            }
        }
        for (host, _) in &taken_over {
            self.take_over(*host, record);
        }
        write.taken_over = taken_over;
    }

    /// Whether this host takes over from a host that operators declared lost.
    ///
    /// The lost host's successor has data that is not in the store, so other hosts act only once
    /// that successor has left the record or was declared lost as well.
    fn should_take_over(&self, lost: HostId, record: &RegionRecord) -> bool {
        let id = self.settings.id;
        let successor = record.hosts.get(&lost).and_then(|host| host.successor);
        let remaining_successor = successor.filter(|host| {
            record.hosts.contains_key(host) && !self.view.is_out(&Subject::Lost(*host))
        });
        lost != id && remaining_successor.is_none_or(|host| host == id)
    }

    /// Replaces a lost host by this one, as controller and as successor.
    fn take_over(&self, lost: HostId, record: &mut RegionRecord) {
        record.hosts.remove(&lost);
        for control in record.control.values_mut() {
            if control.host == lost {
                control.host = self.settings.id;
                control.token = FenceToken(control.token.0 + 1);
                control.released = false;
            }
        }
        for (id, host) in &mut record.hosts {
            if host.successor == Some(lost) && *id != self.settings.id {
                host.successor = Some(self.settings.id);
                host.term = self.now.as_micros().max(host.term + 1);
            }
        }
    }

    fn plan_own_host(&mut self, record: &mut RegionRecord, write: &mut RegionWrite) {
        let id = self.settings.id;
        if self.leaving {
            let has_controls = record.control.values().any(|control| control.host == id);
            if !has_controls
                && self.controlled_servers.is_empty()
                && record.hosts.remove(&id).is_some()
            {
                write.changes_successor = true;
            }
            return;
        }
        if let std::collections::btree_map::Entry::Vacant(entry) = record.hosts.entry(id) {
            let host = HostRecord {
                name: self.settings.name.clone(),
                domain: self.settings.domain.clone(),
                address: self.settings.address,
                successor: None,
                term: 0,
            };
            entry.insert(host);
        }
        let chosen = self.choose_successor(record);
        let current = record.hosts.get(&id).and_then(|host| host.successor);
        // A new successor might not know the provisional owners.
        if current.is_some() && self.has_provisional_owners() {
            return;
        }
        let now = self.now;
        let Some(host) = record.hosts.get_mut(&id) else {
            return;
        };
        if host.successor != chosen {
            self.previous_successor = host.successor;
            host.successor = chosen;
            host.term = now.as_micros().max(host.term + 1);
            write.changes_successor = true;
        }
    }

    /// The host that should succeed this one.
    ///
    /// Hosts of the same failure domain are preferred to others of the region, so that the hosts of
    /// a partitioned failure domain can keep each other valid. A silent successor is replaced, and
    /// it and the one before it are avoided if possible.
    fn choose_successor(&self, record: &RegionRecord) -> Option<HostId> {
        let id = self.settings.id;
        let current = record.hosts.get(&id).and_then(|host| host.successor);
        let others = || record.hosts.iter().filter(|(host, _)| **host != id);
        let same_domain: Vec<HostId> = others()
            .filter(|(_, host)| host.domain == self.settings.domain)
            .map(|(host, _)| *host)
            .collect();
        let candidates = if same_domain.is_empty() {
            others().map(|(host, _)| *host).collect()
        } else {
            same_domain
        };
        if let Some(current) = current
            && candidates.contains(&current)
            && !self.is_successor_silent()
        {
            return Some(current);
        }
        let excluding = |hosts: &[HostId], excluded: Option<HostId>| -> Vec<HostId> {
            let remaining: Vec<HostId> = hosts
                .iter()
                .copied()
                .filter(|host| Some(*host) != excluded)
                .collect();
            if remaining.is_empty() {
                hosts.to_vec()
            } else {
                remaining
            }
        };
        let others = excluding(&candidates, current);
        let preferred = excluding(&others, self.previous_successor);
        let next = preferred.iter().find(|host| **host > id);
        next.or(preferred.first()).copied()
    }

    fn is_successor_silent(&self) -> bool {
        let since = self.validity.promise_requested().max(self.promise_floor);
        self.now.since(since) > self.timing().validity * SUCCESSOR_TIMEOUT_PERIODS
    }

    /// Claims servers without a controller that prefer this host, and gives up unlisted servers.
    fn plan_claims(&self, record: &mut RegionRecord) {
        if self.leaving || !record.hosts.contains_key(&self.settings.id) {
            return;
        }
        record.control.retain(|name, control| {
            let key = self.view.servers.find(name);
            let listed = key.is_some_and(|server| self.view.servers.get(server).is_some());
            listed || control.host != self.settings.id
        });
        for (_, info) in self.view.servers.iter() {
            let in_region = info.spec.domain.region() == self.region();
            if !in_region || record.control.contains_key(&info.spec.name) {
                continue;
            }
            if preferred_host(record, &info.spec) != Some(self.settings.id) {
                continue;
            }
            let control = ControlRecord {
                host: self.settings.id,
                token: FenceToken::FIRST,
                released: false,
            };
            record.control.insert(info.spec.name.clone(), control);
        }
    }

    /// Raises recorded tokens above higher ones that were found in servers' fence registers.
    fn plan_raised_tokens(&self, record: &mut RegionRecord) {
        for (server, control) in &self.controlled_servers {
            let name = self.view.servers.name(*server);
            let Some(recorded) = record.control.get_mut(name) else {
                continue;
            };
            let is_own = recorded.host == self.settings.id;
            if is_own && recorded.token < control.token {
                recorded.token = control.token;
            }
        }
    }

    pub(super) fn record_previous_controllers(&mut self, write: &RegionWrite) {
        for (server, _) in self.view.servers.iter() {
            let Some(host) = self.view.controller(server) else {
                continue;
            };
            let taken = write.taken_over.iter().find(|(taken, _)| *taken == host);
            if let Some((host, term)) = taken {
                self.previous_controllers.insert(server, (*host, *term));
            }
        }
    }

    /// When this host may act for servers taken over now: once the previous controller cannot be
    /// valid.
    pub(super) fn takeover_ready_at(&self, host: Option<HostId>) -> Time {
        let timing = self.timing();
        let predecessor = host.and_then(|host| self.predecessors.get(&host));
        let promised = predecessor.map_or(self.now, Predecessor::promised_at);
        self.now.max(promised) + timing.validity + timing.clock_margin()
    }

    /// Whether operators have taken this host out of service.
    pub(super) fn is_host_out(&self) -> bool {
        self.view.is_out(&Subject::Host(self.settings.name.clone()))
    }

    /// The preferred host for a server among the hosts in service.
    pub(super) fn preferred_host_for(&self, server: ServerKey) -> Option<HostId> {
        let info = self.view.servers.get(server)?;
        let mut in_service = self.region_record()?.clone();
        in_service.hosts.retain(|id, host| {
            let leaving = *id == self.settings.id && self.leaving;
            !leaving && !self.view.is_out(&Subject::Host(host.name.clone()))
        });
        preferred_host(&in_service, &info.spec)
    }
}

/// Picks the host for a server by rendezvous hashing (highest random weight), so that few servers
/// change their host when one joins or leaves.
///
/// Hosts of other failure domains are picked only if the server's own domain has none.
fn preferred_host(record: &RegionRecord, server: &Server) -> Option<HostId> {
    let weight = |host: &HostId| xxh3_64_with_seed(server.name.as_bytes(), host.0);
    let same_domain = record
        .hosts
        .iter()
        .filter(|(_, host)| host.domain == server.domain)
        .map(|(id, _)| *id)
        .max_by_key(weight);
    same_domain.or_else(|| record.hosts.keys().copied().max_by_key(weight))
}
