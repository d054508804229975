//! Who is on record, who succeeds whom, and takeovers from silent hosts.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Host;
use super::storage::{Purpose, RegionWrite};
use crate::catalogue::Server;
use crate::ids::{HostId, Revision, ServerKey, Token};
use crate::log::Code;
use crate::message::Message;
use crate::record::{ControlRecord, HostRecord, RegionRecord, Subject};
use crate::time::Time;
use crate::timer::Wake;
use crate::validity::Ward;

/// Heartbeats without a promise after which the store is asked instead.
const MISSED: u32 = 2;
/// Validity spans without a promise after which another successor is named.
const REPLACE: u32 = 2;
/// Time by which the check of the store precedes a takeover.
const EARLY_READ: Duration = Duration::from_millis(90);

impl Host {
    pub(super) fn beat(&mut self) {
        let period = self.timing().heartbeat;
        self.timers.subscribe(self.now + period, Wake::Heartbeat);
        self.send_heartbeat();
        self.ask_store_for_validity();
        self.watch_wards();
        self.sync_membership();
    }

    pub(super) fn take_heartbeat(
        &mut self,
        from: HostId,
        sent: Time,
        term: u64,
        revision: Revision,
    ) {
        let now = self.now;
        let mine = self.on_record && self.may_promise(from);
        if let Some(ward) = self.wards.get_mut(&from) {
            ward.heard = now;
            if mine && ward.promise(term, now) {
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

    pub(super) fn take_promise(&mut self, from: HostId, sent: Time, term: u64, revision: Revision) {
        let current = self.own_term();
        let counts = self.successor() == Some(from)
            && current == Some(term)
            && sent >= self.promise_floor
            && !self.is_changing_successor();
        if counts {
            self.validity.confirm_by_promise(sent);
        }
        self.compare_revision(from, revision);
    }

    /// Brings the region's record and this host's part in it up to date.
    pub(super) fn sync_membership(&mut self) {
        self.note_own_record();
        self.sync_wards();
        self.tell_suspects();
        if self.view.is_read() {
            self.reconcile_region();
        }
    }

    pub(super) fn complete_region_write(&mut self, write: &RegionWrite, sent: Time) {
        if self.on_record {
            self.validity.confirm_by_store(sent);
        }
        if write.succession {
            self.promise_floor = self.now;
        }
        for (host, _) in &write.taken {
            self.wards.remove(host);
            self.log(Code::TakeoverRecorded, host.to_string(), "");
            self.audit("takeover", &host.to_string(), "");
        }
        self.sync_membership();
    }

    pub(super) fn give_up_region_write(&mut self, write: &RegionWrite) {
        for (host, _) in &write.taken {
            if let Some(ward) = self.wards.get_mut(host) {
                ward.reopen();
            }
        }
        if write.succession {
            self.promise_floor = self.now;
        }
    }

    pub(super) fn own_term(&self) -> Option<u64> {
        let record = self.own_record()?;
        Some(record.hosts.get(&self.settings.id)?.term)
    }

    /// Whether a promise to a host binds whoever could take over from it.
    ///
    /// While this host is valid nobody has replaced it as the successor. A host that is this
    /// one's own successor is the only one that could replace it, and it would know.
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

    /// Reads the own record while no promise arrives.
    fn ask_store_for_validity(&mut self) {
        let quiet = self.now.since(self.validity.promised());
        if self.on_record && quiet > self.timing().heartbeat * MISSED {
            self.read(self.region_key());
        }
    }

    fn note_own_record(&mut self) {
        let id = self.settings.id;
        let on_record = self
            .own_record()
            .is_some_and(|record| record.hosts.contains_key(&id));
        let name = self.settings.name.clone();
        if on_record != self.on_record {
            self.on_record = on_record;
            if !on_record {
                self.validity.revoke();
            }
            let code = if on_record {
                Code::Joined
            } else {
                Code::Removed
            };
            self.log(code, name.clone(), id.to_string());
        }
        let successor = self.successor();
        if successor != self.known_successor {
            self.known_successor = successor;
            self.validity.forget_promises();
            self.promise_floor = self.now;
            let detail = successor.map_or_else(String::new, |host| host.to_string());
            self.log(Code::SuccessorChanged, name, detail);
            self.restart_copying();
        }
    }

    fn sync_wards(&mut self) {
        let id = self.settings.id;
        let now = self.now;
        let validity = self.timing().validity;
        let mut named = Vec::new();
        let hosts = self
            .own_record()
            .into_iter()
            .flat_map(|record| &record.hosts);
        for (host, kept) in hosts {
            if kept.successor == Some(id) {
                named.push((*host, kept.term));
            }
        }
        self.wards
            .retain(|host, ward| ward.is_closed() || named.iter().any(|(named, _)| named == host));
        for (host, term) in named {
            let current = self.wards.get(&host).map(|ward| ward.term);
            if current != Some(term) {
                self.wards
                    .insert(host, Ward::new(host, term, now, validity));
            }
        }
    }

    /// Begins a takeover from each silent host that named this one.
    ///
    /// A takeover needs the store, so it begins only after the store has just answered;
    /// otherwise an outage would make this host withhold promises for nothing.
    fn watch_wards(&mut self) {
        let suspicion = self.timing().suspicion;
        let mut silent = Vec::new();
        for ward in self.wards.values().filter(|ward| !ward.is_closed()) {
            let quiet = self.now.since(ward.heard);
            if quiet + EARLY_READ >= suspicion {
                silent.push((ward.host, ward.heard, quiet > suspicion));
            }
        }
        for (host, heard, overdue) in silent {
            let key = self.region_key();
            let checked = self.storage.read_at.get(&key).copied();
            let fresh = checked.is_some_and(|read| read > heard);
            if overdue && fresh && self.is_valid() && !self.is_writing(&key) {
                self.begin_takeover(host);
            } else {
                self.read(key);
            }
        }
    }

    fn begin_takeover(&mut self, host: HostId) {
        if let Some(ward) = self.wards.get_mut(&host) {
            ward.close();
        }
        let name = self
            .view
            .host(host)
            .map_or_else(String::new, |record| record.name.clone());
        self.log(Code::TakeoverBegun, name, host.to_string());
    }

    /// Writes the region's record where it is not what it should be.
    fn reconcile_region(&mut self) {
        let key = self.region_key();
        if self.is_writing(&key) {
            return;
        }
        let revision = self.view.revision_of(&key);
        let old = self.own_record().cloned().unwrap_or_default();
        let mut record = old.clone();
        let mut write = RegionWrite {
            taken: Vec::new(),
            succession: false,
        };
        self.plan_takeovers(&mut record, &mut write);
        self.plan_handovers(&mut record);
        self.plan_own_host(&mut record, &mut write);
        self.plan_claims(&mut record);
        self.plan_tokens(&mut record);
        if record != old {
            self.write(key, revision, &record, Purpose::Region(write));
        }
    }

    fn plan_takeovers(&self, record: &mut RegionRecord, write: &mut RegionWrite) {
        if !self.on_record {
            return;
        }
        let silent = self.wards.values().filter(|ward| ward.is_closed());
        let mut taken: Vec<(HostId, u64)> = silent
            .filter(|ward| {
                let host = record.hosts.get(&ward.host);
                host.is_some_and(|host| host.successor == Some(self.settings.id))
            })
            .map(|ward| (ward.host, ward.term))
            .collect();
        for (id, host) in &record.hosts {
            let lost = self.view.is_out(&Subject::Lost(*id)) && self.is_heir_of(*id, record);
            if lost && !taken.iter().any(|(known, _)| known == id) {
                taken.push((*id, host.term));
            }
        }
        for (host, _) in &taken {
            self.take_over(*host, record);
        }
        write.taken = taken;
    }

    /// Whether this host is to act for a host that operators called lost.
    ///
    /// Its successor keeps what the store does not know, so the others act only once that one
    /// has left the record or was called lost as well.
    fn is_heir_of(&self, lost: HostId, record: &RegionRecord) -> bool {
        let id = self.settings.id;
        let successor = record.hosts.get(&lost).and_then(|host| host.successor);
        let present = successor.filter(|heir| {
            record.hosts.contains_key(heir) && !self.view.is_out(&Subject::Lost(*heir))
        });
        lost != id && present.is_none_or(|heir| heir == id)
    }

    /// Puts this host in the place of another one, as controller and as successor.
    fn take_over(&self, lost: HostId, record: &mut RegionRecord) {
        record.hosts.remove(&lost);
        for control in record.control.values_mut() {
            if control.host == lost {
                control.host = self.settings.id;
                control.token = Token(control.token.0 + 1);
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
            let controls = record.control.values().any(|control| control.host == id);
            if !controls && self.controls.is_empty() && record.hosts.remove(&id).is_some() {
                write.succession = true;
            }
            return;
        }
        if let std::collections::btree_map::Entry::Vacant(e) = record.hosts.entry(id) {
            let host = HostRecord {
                name: self.settings.name.clone(),
                domain: self.settings.domain.clone(),
                address: self.settings.address,
                successor: None,
                term: 0,
            };
            e.insert(host);
        }
        let chosen = self.choose_successor(record);
        let current = record.hosts.get(&id).and_then(|host| host.successor);
        if current.is_some() && self.has_unwritten_owners() {
            return;
        }
        let now = self.now;
        let Some(host) = record.hosts.get_mut(&id) else {
            return;
        };
        if host.successor != chosen {
            self.failed_successor = host.successor;
            host.successor = chosen;
            host.term = now.as_micros().max(host.term + 1);
            write.succession = true;
        }
    }

    /// The host that should succeed this one.
    ///
    /// A host of the same failure domain is chosen before one of the same region, so that a
    /// failure domain that is cut off keeps itself valid.
    fn choose_successor(&self, record: &RegionRecord) -> Option<HostId> {
        let id = self.settings.id;
        let current = record.hosts.get(&id).and_then(|host| host.successor);
        let others = || record.hosts.iter().filter(|(host, _)| **host != id);
        let near: Vec<HostId> = others()
            .filter(|(_, host)| host.domain == self.settings.domain)
            .map(|(host, _)| *host)
            .collect();
        let pool = if near.is_empty() {
            others().map(|(host, _)| *host).collect()
        } else {
            near
        };
        if let Some(current) = current
            && pool.contains(&current)
            && !self.is_successor_silent()
        {
            return Some(current);
        }
        let without = |hosts: &[HostId], left_out: Option<HostId>| -> Vec<HostId> {
            let kept: Vec<HostId> = hosts
                .iter()
                .copied()
                .filter(|host| Some(*host) != left_out)
                .collect();
            if kept.is_empty() {
                hosts.to_vec()
            } else {
                kept
            }
        };
        let others = without(&pool, current);
        let usable = without(&others, self.failed_successor);
        let next = usable.iter().find(|host| **host > id);
        next.or(usable.first()).copied()
    }

    fn is_successor_silent(&self) -> bool {
        let since = self.validity.promised().max(self.promise_floor);
        self.now.since(since) > self.timing().validity * REPLACE
    }

    fn plan_claims(&self, record: &mut RegionRecord) {
        if self.leaving || !record.hosts.contains_key(&self.settings.id) {
            return;
        }
        record.control.retain(|name, control| {
            let known = self.view.servers.find(name);
            let listed = known.is_some_and(|server| self.view.servers.get(server).is_some());
            listed || control.host != self.settings.id
        });
        for (_, info) in self.view.servers.iter() {
            let here = info.spec.domain.region() == self.region();
            if !here || record.control.contains_key(&info.spec.name) {
                continue;
            }
            if preferred_host(record, &info.spec) != Some(self.settings.id) {
                continue;
            }
            let control = ControlRecord {
                host: self.settings.id,
                token: Token::FIRST,
                released: false,
            };
            record.control.insert(info.spec.name.clone(), control);
        }
    }

    /// Raises tokens that a register holds against this host.
    fn plan_tokens(&self, record: &mut RegionRecord) {
        for (server, control) in &self.controls {
            let name = self.view.servers.name(*server);
            let Some(kept) = record.control.get_mut(name) else {
                continue;
            };
            let ours = kept.host == self.settings.id;
            if ours && kept.token < control.token {
                kept.token = control.token;
            }
        }
    }

    pub(super) fn note_heirs(&mut self, write: &RegionWrite) {
        for (server, _) in self.view.servers.iter() {
            let Some(host) = self.view.controller(server) else {
                continue;
            };
            let taken = write.taken.iter().find(|(taken, _)| *taken == host);
            if let Some((host, term)) = taken {
                self.heirs.insert(server, (*host, *term));
            }
        }
    }

    /// When this host may act for servers that it took over just now.
    pub(super) fn takeover_wait(&self, host: Option<HostId>) -> Time {
        let timing = self.timing();
        let ward = host.and_then(|host| self.wards.get(&host));
        let promised = ward.map_or(self.now, Ward::promised);
        self.now.max(promised) + timing.validity + timing.drift()
    }

    /// Whether operators took this host out of service.
    pub(super) fn is_host_out(&self) -> bool {
        self.view.is_out(&Subject::Host(self.settings.name.clone()))
    }

    /// Servers in this host's failure domain for which it is the preferred host.
    pub(super) fn preferred_for(&self, server: ServerKey) -> Option<HostId> {
        let info = self.view.servers.get(server)?;
        let mut usable = self.own_record()?.clone();
        usable.hosts.retain(|id, host| {
            let leaving = *id == self.settings.id && self.leaving;
            !leaving && !self.view.is_out(&Subject::Host(host.name.clone()))
        });
        preferred_host(&usable, &info.spec)
    }
}

/// Picks the host for a server by highest random weight, so that few servers change their host
/// when one joins or leaves.
///
/// Hosts of other failure domains are picked only where the server's own has none.
fn preferred_host(record: &RegionRecord, server: &Server) -> Option<HostId> {
    let weight = |host: &HostId| xxh3_64_with_seed(server.name.as_bytes(), host.0);
    let near = record
        .hosts
        .iter()
        .filter(|(_, host)| host.domain == server.domain)
        .map(|(id, _)| *id)
        .max_by_key(weight);
    near.or_else(|| record.hosts.keys().copied().max_by_key(weight))
}
