//! Object store calls, and exchange of configuration between hosts.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use rand::RngCore;
use serde::Serialize;

use super::{GOSSIP_INTERVAL, Host, ISOLATION_TIMEOUT};
use crate::event::{Effect, StoreCall, StoreResult};
use crate::ids::{CallId, EntryKey, FenceToken, HostId, RegionKey, Revision, ServerKey};
use crate::log::EventCode;
use crate::message::Message;
use crate::object::{Object, ObjectKey};
use crate::time::Time;
use crate::timer::TimerKind;

/// Delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Minimum interval between reads of the platform's host list.
const HOST_LIST_INTERVAL: Duration = Duration::from_secs(5);

/// Pending store calls, and writes whose effect is not known yet.
#[derive(Debug, Default)]
pub(super) struct StoreCalls {
    calls: HashMap<CallId, PendingCall>,
    writes: BTreeMap<ObjectKey, PendingWrite>,
    watch_call: Option<CallId>,
    watch_retry: Time,
    /// The pending read of the platform's host list.
    hosts_call: Option<CallId>,
    hosts_due: Time,
    /// Addresses of the hosts on that list, as last read.
    listed_hosts: Vec<SocketAddr>,
    pub(super) unavailable: bool,
    /// When each pending read was sent.
    pub(super) pending_reads: BTreeMap<ObjectKey, Time>,
    /// When the latest successful read of each object was sent.
    pub(super) last_reads: BTreeMap<ObjectKey, Time>,
}

#[derive(Clone, Debug)]
enum PendingCall {
    Watch,
    Hosts,
    Read { key: ObjectKey, sent: Time },
    Write { key: ObjectKey },
    Audit,
}

/// A conditional write that is retried until its effect is known.
#[derive(Clone, Debug)]
struct PendingWrite {
    expected: Revision,
    value: Bytes,
    purpose: WritePurpose,
    sent: Time,
    retry_at: Option<Time>,
}

#[derive(Clone, Debug)]
pub(super) enum WritePurpose {
    Region(RegionWrite),
    Placement(PlacementWrite),
}

/// What a write of the region's record changes.
#[derive(Clone, Debug)]
pub(super) struct RegionWrite {
    /// Hosts that this host takes over from, with the terms of their records.
    pub(super) taken_over: Vec<(HostId, u64)>,
    /// Whether this host's successor changes.
    pub(super) changes_successor: bool,
}

/// What a write of a placement changes.
#[derive(Clone, Debug)]
pub(super) struct PlacementWrite {
    pub(super) entry: EntryKey,
    pub(super) region: RegionKey,
    /// Moves that the write completes, as server and move identifier.
    pub(super) moves: Vec<(ServerKey, u64)>,
    /// Servers whose takeover counter is raised after a change of control, with the new tokens.
    pub(super) takeovers: Vec<(ServerKey, FenceToken)>,
}

/// A line of the audit trail for changes that hosts make without an operator.
#[derive(Serialize)]
struct AuditLine<'a> {
    actor: &'a str,
    action: &'a str,
    subject: &'a str,
    detail: &'a str,
    at_millis: u64,
}

impl Host {
    /// Whether a write of the object is pending, with unknown effect.
    pub(super) fn is_writing(&self, key: &ObjectKey) -> bool {
        self.store.writes.contains_key(key)
    }

    /// Whether a change of this host's successor is pending, with unknown effect.
    pub(super) fn is_changing_successor(&self) -> bool {
        self.store
            .writes
            .values()
            .any(|write| matches!(&write.purpose, WritePurpose::Region(region) if region.changes_successor))
    }

    pub(super) fn read_object(&mut self, key: ObjectKey) {
        if self.store.pending_reads.contains_key(&key) {
            return;
        }
        let call = CallId(self.allocate_id());
        let pending_call = PendingCall::Read {
            key: key.clone(),
            sent: self.now,
        };
        self.store.pending_reads.insert(key.clone(), self.now);
        self.store.calls.insert(call, pending_call);
        self.effects.push(Effect::Store {
            call,
            call_kind: StoreCall::Get { key },
        });
    }

    pub(super) fn write_object<T: Serialize>(
        &mut self,
        key: ObjectKey,
        expected: Revision,
        record: &T,
        purpose: WritePurpose,
    ) {
        let value = match serde_json::to_vec(record) {
            Ok(value) => Bytes::from(value),
            Err(_) => return,
        };
        let write = PendingWrite {
            expected,
            value,
            purpose,
            sent: self.now,
            retry_at: None,
        };
        self.store.writes.insert(key.clone(), write);
        self.send_write(key);
    }

    /// Adds a line to the audit trail; a failed write is not retried.
    pub(super) fn write_audit_line(&mut self, action: &str, subject: &str, detail: &str) {
        let line = AuditLine {
            actor: &self.settings.name,
            action,
            subject,
            detail,
            at_millis: self.now.as_millis(),
        };
        let Ok(value) = serde_json::to_vec(&line) else {
            return;
        };
        let mut random = [0; 10];
        self.rng.fill_bytes(&mut random);
        let id = uuid::Builder::from_unix_timestamp_millis(self.now.as_millis(), &random);
        let call = CallId(self.allocate_id());
        self.store.calls.insert(call, PendingCall::Audit);
        self.effects.push(Effect::Store {
            call,
            call_kind: StoreCall::Put {
                key: ObjectKey::audit(id.into_uuid()),
                expected: Revision(0),
                value: value.into(),
            },
        });
    }

    /// Retries writes of unknown effect with the same condition and value.
    ///
    /// An unanswered write may still take effect, so nothing else may be written to the object
    /// until a retry has been answered.
    pub(super) fn retry_store_writes(&mut self) {
        let now = self.now;
        let due: Vec<ObjectKey> = self
            .store
            .writes
            .iter()
            .filter(|(_, write)| write.retry_at.is_some_and(|at| at <= now))
            .map(|(key, _)| key.clone())
            .collect();
        for key in due {
            self.send_write(key);
        }
        self.ensure_watch();
    }

    pub(super) fn handle_store_result(&mut self, call: CallId, result: StoreResult) {
        let Some(pending_call) = self.store.calls.remove(&call) else {
            return;
        };
        if let PendingCall::Hosts = pending_call {
            self.handle_host_list(result);
            return;
        }
        self.update_store_health(&result);
        match pending_call {
            PendingCall::Audit | PendingCall::Hosts => {}
            PendingCall::Watch => self.handle_watch_result(result),
            PendingCall::Read { key, sent } => self.handle_read_result(key, sent, result),
            PendingCall::Write { key } => self.handle_write_result(key, result),
        }
    }

    /// Applies configuration objects from the store or another host.
    pub(super) fn apply_objects(&mut self, objects: &[Object], complete: Option<Revision>) {
        let was_unloaded = !self.view.is_loaded();
        let changed = self.view.apply(objects, complete);
        for key in self.view.take_unreadable() {
            self.log(EventCode::ObjectUnreadable, key.to_string(), "");
        }
        if changed.is_empty() {
            if was_unloaded && self.view.is_loaded() {
                self.sync_membership();
            }
            return;
        }
        self.track_unusable_servers();
        self.sync_membership();
        self.sync_controls();
        self.complete_stored_moves();
        self.route_parked();
        self.reroute_from_removed_hosts();
    }

    pub(super) fn run_gossip(&mut self) {
        self.timers
            .subscribe(self.now + GOSSIP_INTERVAL, TimerKind::Gossip);
        let after = self.view.revision();
        let peers: Vec<HostId> = self
            .view
            .records()
            .flat_map(|record| record.hosts.keys().copied())
            .filter(|host| *host != self.settings.id)
            .collect();
        let isolated = self.now.since(self.last_message) > ISOLATION_TIMEOUT;
        if !peers.is_empty() {
            let peer = peers[self.random_index(peers.len())];
            self.send(peer, Message::Pull { after });
            let watcher = self
                .domain_watcher()
                .filter(|host| *host != self.settings.id);
            if let Some(watcher) = watcher.filter(|host| *host != peer) {
                self.send(watcher, Message::Pull { after });
            }
        }
        if isolated {
            self.list_hosts();
        }
        if isolated || peers.is_empty() || after == Revision(0) {
            self.probe(self.settings.seeds.clone());
            self.probe(self.store.listed_hosts.clone());
        }
    }

    /// Requests the configuration from hosts of which only the address is known.
    fn probe(&mut self, addresses: Vec<SocketAddr>) {
        let after = self.view.revision();
        for address in addresses {
            let message = Message::Pull { after };
            self.effects.push(Effect::Probe { address, message });
        }
    }

    /// Reads the platform's host list, which may be available while the store is not.
    fn list_hosts(&mut self) {
        if self.store.hosts_call.is_some() || self.now < self.store.hosts_due {
            return;
        }
        self.store.hosts_due = self.now + HOST_LIST_INTERVAL;
        let call = CallId(self.allocate_id());
        self.store.hosts_call = Some(call);
        self.store.calls.insert(call, PendingCall::Hosts);
        let call_kind = StoreCall::Hosts;
        self.effects.push(Effect::Store { call, call_kind });
    }

    fn handle_host_list(&mut self, result: StoreResult) {
        self.store.hosts_call = None;
        if let StoreResult::Hosts(addresses) = result {
            let own_address = self.settings.address;
            self.store.listed_hosts = addresses
                .into_iter()
                .filter(|address| *address != own_address)
                .collect();
        }
    }

    pub(super) fn answer_pull(&mut self, from: HostId, after: Revision) {
        let complete = self.view.revision();
        if complete <= after {
            return;
        }
        let objects = self.view.objects_after(after);
        self.send(from, Message::Delta { objects, complete });
    }

    /// Compares a host's revision with this one's, and sends or requests the newer objects.
    pub(super) fn compare_revision(&mut self, from: HostId, theirs: Revision) {
        let ours = self.view.revision();
        if theirs < ours {
            self.answer_pull(from, theirs);
        } else if theirs > ours {
            self.send(from, Message::Pull { after: ours });
        }
    }

    /// Sends an object that this host wrote to the other hosts of the region.
    ///
    /// It says nothing about other objects, so it carries revision zero.
    pub(super) fn announce(&mut self, object: &Object) {
        for peer in self.region_peers() {
            let message = Message::Delta {
                objects: vec![object.clone()],
                complete: Revision(0),
            };
            self.send(peer, message);
        }
    }

    fn ensure_watch(&mut self) {
        let is_due = self.store.watch_call.is_none() && self.store.watch_retry <= self.now;
        if !is_due || !self.is_watcher() {
            return;
        }
        let call = CallId(self.allocate_id());
        self.store.watch_call = Some(call);
        self.store.calls.insert(call, PendingCall::Watch);
        self.effects.push(Effect::Store {
            call,
            call_kind: StoreCall::Watch {
                after: self.view.revision(),
            },
        });
    }

    /// Whether this host watches the store for its failure domain.
    fn is_watcher(&self) -> bool {
        let id = self.settings.id;
        let record = self.region_record();
        let is_member = record.is_some_and(|record| record.hosts.contains_key(&id));
        !is_member || self.domain_watcher() == Some(id)
    }

    /// The host that watches the store for this host's failure domain.
    ///
    /// Unreachable hosts are skipped, since a lost host stays in the record until a takeover.
    fn domain_watcher(&self) -> Option<HostId> {
        let record = self.region_record()?;
        let mut same_domain = record
            .hosts
            .iter()
            .filter(|(_, host)| host.domain == self.settings.domain);
        same_domain
            .find(|(id, _)| !self.unreachable_peers.contains(id))
            .map(|(id, _)| *id)
    }

    fn handle_watch_result(&mut self, result: StoreResult) {
        self.store.watch_call = None;
        match result {
            StoreResult::Changes { objects, complete } => {
                self.apply_objects(&objects, Some(complete));
            }
            _ => self.store.watch_retry = self.now + RETRY_DELAY,
        }
    }

    fn handle_read_result(&mut self, key: ObjectKey, sent: Time, result: StoreResult) {
        self.store.pending_reads.remove(&key);
        let StoreResult::Read(object) = result else {
            if key == self.region_key() {
                self.reset_control_checks();
            }
            return;
        };
        self.store.last_reads.insert(key.clone(), sent);
        self.apply_objects(&[object], None);
        if key == self.region_key() {
            if self.is_member {
                self.validity.confirm_by_store(sent);
            }
            self.confirm_control_checks(sent);
        }
        self.sync_membership();
    }

    fn handle_write_result(&mut self, key: ObjectKey, result: StoreResult) {
        let Some(mut write) = self.store.writes.remove(&key) else {
            return;
        };
        match result {
            StoreResult::Written(revision) => {
                let object = Object {
                    key,
                    revision,
                    value: Some(write.value),
                };
                self.complete_write(write.purpose, write.sent, &object);
            }
            StoreResult::Conflict => {
                self.discard_write(write.purpose);
                self.read_object(key);
            }
            _ => {
                write.retry_at = Some(self.now + RETRY_DELAY);
                let purpose = write.purpose.clone();
                self.store.writes.insert(key, write);
                if let WritePurpose::Placement(placement) = purpose {
                    self.propose_provisional_owners(&placement.moves);
                }
            }
        }
    }

    fn complete_write(&mut self, purpose: WritePurpose, sent: Time, object: &Object) {
        match purpose {
            WritePurpose::Region(region) => {
                self.record_previous_controllers(&region);
                self.apply_objects(std::slice::from_ref(object), None);
                self.complete_region_write(&region, sent);
            }
            WritePurpose::Placement(placement) => {
                self.apply_objects(std::slice::from_ref(object), None);
                self.complete_placement_write(&placement);
            }
        }
        self.announce(object);
    }

    fn discard_write(&mut self, purpose: WritePurpose) {
        match purpose {
            WritePurpose::Region(region) => self.discard_region_write(&region),
            WritePurpose::Placement(placement) => self.discard_placement_write(&placement),
        }
    }

    fn send_write(&mut self, key: ObjectKey) {
        let call = CallId(self.allocate_id());
        let Some(write) = self.store.writes.get_mut(&key) else {
            return;
        };
        write.retry_at = None;
        let call_kind = StoreCall::Put {
            key: key.clone(),
            expected: write.expected,
            value: write.value.clone(),
        };
        self.store.calls.insert(call, PendingCall::Write { key });
        self.effects.push(Effect::Store { call, call_kind });
    }

    fn update_store_health(&mut self, result: &StoreResult) {
        let unavailable = matches!(result, StoreResult::Failed);
        if unavailable == self.store.unavailable {
            return;
        }
        self.store.unavailable = unavailable;
        let code = if unavailable {
            EventCode::StoreUnavailable
        } else {
            EventCode::StoreBack
        };
        self.log(code, "store", "");
    }
}
