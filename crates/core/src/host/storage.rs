//! Calls to the object store, and what they teach.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use rand::RngCore;
use serde::Serialize;

use super::{GOSSIP, Host, ISOLATION};
use crate::event::{Effect, StoreCall, StoreResult};
use crate::ids::{CallId, EntryKey, HostId, RegionKey, Revision, ServerKey, Token};
use crate::log::Code;
use crate::message::Message;
use crate::object::{Object, ObjectKey};
use crate::time::Time;
use crate::timer::Wake;

/// Time between a failed call and its repetition.
const RETRY: Duration = Duration::from_millis(100);

/// Time between two reads of the host list.
const LISTING: Duration = Duration::from_secs(5);

/// Open calls and writes whose effect is not known.
#[derive(Debug, Default)]
pub(super) struct Storage {
    calls: HashMap<CallId, Open>,
    writes: BTreeMap<ObjectKey, Write>,
    watch: Option<CallId>,
    watch_after: Time,
    /// The read of the platform's host list that is under way.
    listing: Option<CallId>,
    listing_after: Time,
    /// Hosts on that list, as last read.
    listed: Vec<SocketAddr>,
    pub(super) silent: bool,
    /// Sending time of each read under way.
    pub(super) reading: BTreeMap<ObjectKey, Time>,
    /// Sending time of the newest answered read of each record.
    pub(super) read_at: BTreeMap<ObjectKey, Time>,
}

#[derive(Clone, Debug)]
enum Open {
    Watch,
    Hosts,
    Read { key: ObjectKey, sent: Time },
    Write { key: ObjectKey },
    Audit,
}

/// A conditional write that is repeated until its effect is known.
#[derive(Clone, Debug)]
struct Write {
    expected: Revision,
    value: Bytes,
    purpose: Purpose,
    sent: Time,
    retry: Option<Time>,
}

/// What a write is for.
#[derive(Clone, Debug)]
pub(super) enum Purpose {
    /// The region's record.
    Region(RegionWrite),
    /// A placement.
    Placement(PlacementWrite),
}

/// What a write of the region's record brings about.
#[derive(Clone, Debug)]
pub(super) struct RegionWrite {
    /// Hosts that are taken over, with the terms of their records.
    pub(super) taken: Vec<(HostId, u64)>,
    /// Whether this host's successor changes.
    pub(super) succession: bool,
}

/// What a write of a placement brings about.
#[derive(Clone, Debug)]
pub(super) struct PlacementWrite {
    /// The entry.
    pub(super) entry: EntryKey,
    /// The region.
    pub(super) region: RegionKey,
    /// Moves that the write completes, by server and number.
    pub(super) moves: Vec<(ServerKey, u64)>,
    /// Servers whose placement is touched after a change of control, with the new tokens.
    pub(super) touched: Vec<(ServerKey, Token)>,
}

/// A line of the audit trail for changes that hosts make by themselves.
#[derive(Serialize)]
struct AuditLine<'a> {
    actor: &'a str,
    action: &'a str,
    subject: &'a str,
    detail: &'a str,
    at_millis: u64,
}

impl Host {
    /// Whether a write of the object has no known effect yet.
    pub(super) fn is_writing(&self, key: &ObjectKey) -> bool {
        self.storage.writes.contains_key(key)
    }

    /// Whether a change of this host's successor has no known effect yet.
    pub(super) fn is_changing_successor(&self) -> bool {
        self.storage
            .writes
            .values()
            .any(|write| matches!(&write.purpose, Purpose::Region(region) if region.succession))
    }

    pub(super) fn read(&mut self, key: ObjectKey) {
        if self.storage.reading.contains_key(&key) {
            return;
        }
        let call = CallId(self.draw_id());
        let open = Open::Read {
            key: key.clone(),
            sent: self.now,
        };
        self.storage.reading.insert(key.clone(), self.now);
        self.storage.calls.insert(call, open);
        self.effects.push(Effect::Store {
            call,
            call_kind: StoreCall::Get { key },
        });
    }

    pub(super) fn write<T: Serialize>(
        &mut self,
        key: ObjectKey,
        expected: Revision,
        record: &T,
        purpose: Purpose,
    ) {
        let value = match serde_json::to_vec(record) {
            Ok(value) => Bytes::from(value),
            Err(_) => return,
        };
        let write = Write {
            expected,
            value,
            purpose,
            sent: self.now,
            retry: None,
        };
        self.storage.writes.insert(key.clone(), write);
        self.put(key);
    }

    /// Adds a line to the audit trail; a line that the store does not take is given up.
    pub(super) fn audit(&mut self, action: &str, subject: &str, detail: &str) {
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
        let call = CallId(self.draw_id());
        self.storage.calls.insert(call, Open::Audit);
        self.effects.push(Effect::Store {
            call,
            call_kind: StoreCall::Put {
                key: ObjectKey::audit(id.into_uuid()),
                expected: Revision(0),
                value: value.into(),
            },
        });
    }

    /// Repeats writes of unknown effect with the same condition and value.
    ///
    /// A write that got no answer may still take effect, so nothing else may be written to the
    /// object until a repetition has been answered.
    pub(super) fn retry_store_writes(&mut self) {
        let now = self.now;
        let due: Vec<ObjectKey> = self
            .storage
            .writes
            .iter()
            .filter(|(_, write)| write.retry.is_some_and(|retry| retry <= now))
            .map(|(key, _)| key.clone())
            .collect();
        for key in due {
            self.put(key);
        }
        self.keep_watching();
    }

    pub(super) fn take_store_result(&mut self, call: CallId, result: StoreResult) {
        let Some(open) = self.storage.calls.remove(&call) else {
            return;
        };
        if let Open::Hosts = open {
            self.take_listed(result);
            return;
        }
        self.note_store_health(&result);
        match open {
            Open::Audit | Open::Hosts => {}
            Open::Watch => self.take_watch(result),
            Open::Read { key, sent } => self.take_read(key, sent, result),
            Open::Write { key } => self.take_written(key, result),
        }
    }

    /// Takes in configuration from the store or another host.
    pub(super) fn learn(&mut self, objects: &[Object], complete: Option<Revision>) {
        let first = !self.view.is_read();
        let changed = self.view.apply(objects, complete);
        for key in self.view.take_unreadable() {
            self.log(Code::ObjectUnreadable, key.to_string(), "");
        }
        if changed.is_empty() {
            if first && self.view.is_read() {
                self.sync_membership();
            }
            return;
        }
        self.note_orders();
        self.sync_membership();
        self.sync_controls();
        self.settle_moves();
        self.route_parked();
        self.reroute_moved();
    }

    pub(super) fn gossip(&mut self) {
        self.timers.subscribe(self.now + GOSSIP, Wake::Gossip);
        let after = self.view.revision();
        let peers: Vec<HostId> = self
            .view
            .records()
            .flat_map(|record| record.hosts.keys().copied())
            .filter(|host| *host != self.settings.id)
            .collect();
        let silent = self.now.since(self.peer_heard) > ISOLATION;
        if !peers.is_empty() {
            let peer = peers[self.random(peers.len())];
            self.send(peer, Message::Pull { after });
            let watcher = self.watcher().filter(|host| *host != self.settings.id);
            if let Some(watcher) = watcher.filter(|host| *host != peer) {
                self.send(watcher, Message::Pull { after });
            }
        }
        if silent {
            self.list_hosts();
        }
        if silent || peers.is_empty() || after == Revision(0) {
            self.probe(self.settings.seeds.clone());
            self.probe(self.storage.listed.clone());
        }
    }

    /// Asks hosts known by their address only for the configuration.
    fn probe(&mut self, addresses: Vec<SocketAddr>) {
        let after = self.view.revision();
        for address in addresses {
            let message = Message::Pull { after };
            self.effects.push(Effect::Probe { address, message });
        }
    }

    /// Reads the platform's host list, which may answer while the store does not.
    fn list_hosts(&mut self) {
        if self.storage.listing.is_some() || self.now < self.storage.listing_after {
            return;
        }
        self.storage.listing_after = self.now + LISTING;
        let call = CallId(self.draw_id());
        self.storage.listing = Some(call);
        self.storage.calls.insert(call, Open::Hosts);
        let call_kind = StoreCall::Hosts;
        self.effects.push(Effect::Store { call, call_kind });
    }

    fn take_listed(&mut self, result: StoreResult) {
        self.storage.listing = None;
        if let StoreResult::Hosts(listed) = result {
            let own = self.settings.address;
            self.storage.listed = listed.into_iter().filter(|one| *one != own).collect();
        }
    }

    pub(super) fn answer_pull(&mut self, from: HostId, after: Revision) {
        let complete = self.view.revision();
        if complete <= after {
            return;
        }
        let objects = self.view.newer_than(after);
        self.send(from, Message::Delta { objects, complete });
    }

    /// Compares revisions with a host that told its own.
    pub(super) fn compare_revision(&mut self, from: HostId, theirs: Revision) {
        let ours = self.view.revision();
        if theirs < ours {
            self.answer_pull(from, theirs);
        } else if theirs > ours {
            self.send(from, Message::Pull { after: ours });
        }
    }

    /// Tells the hosts of this region of objects that this host wrote.
    pub(super) fn announce(&mut self, object: &Object) {
        for peer in self.region_peers() {
            let message = Message::Delta {
                objects: vec![object.clone()],
                complete: Revision(0),
            };
            self.send(peer, message);
        }
    }

    fn keep_watching(&mut self) {
        let idle = self.storage.watch.is_none() && self.storage.watch_after <= self.now;
        if !idle || !self.is_watcher() {
            return;
        }
        let call = CallId(self.draw_id());
        self.storage.watch = Some(call);
        self.storage.calls.insert(call, Open::Watch);
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
        let record = self.own_record();
        let on_record = record.is_some_and(|record| record.hosts.contains_key(&id));
        !on_record || self.watcher() == Some(id)
    }

    /// The host that watches the store for this host's failure domain.
    ///
    /// Hosts that cannot be reached are passed over, since one that nobody takes over from
    /// stays on record.
    fn watcher(&self) -> Option<HostId> {
        let record = self.own_record()?;
        let mut near = record
            .hosts
            .iter()
            .filter(|(_, host)| host.domain == self.settings.domain);
        near.find(|(id, _)| !self.unreachable.contains(id))
            .map(|(id, _)| *id)
    }

    fn take_watch(&mut self, result: StoreResult) {
        self.storage.watch = None;
        match result {
            StoreResult::Changes { objects, complete } => {
                self.learn(&objects, Some(complete));
            }
            _ => self.storage.watch_after = self.now + RETRY,
        }
    }

    fn take_read(&mut self, key: ObjectKey, sent: Time, result: StoreResult) {
        self.storage.reading.remove(&key);
        let StoreResult::Read(object) = result else {
            if key == self.region_key() {
                self.fail_guards();
            }
            return;
        };
        self.storage.read_at.insert(key.clone(), sent);
        self.learn(&[object], None);
        if key == self.region_key() {
            if self.on_record {
                self.validity.confirm_by_store(sent);
            }
            self.pass_guards(sent);
        }
        self.sync_membership();
    }

    fn take_written(&mut self, key: ObjectKey, result: StoreResult) {
        let Some(mut write) = self.storage.writes.remove(&key) else {
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
                self.give_up_write(write.purpose);
                self.read(key);
            }
            _ => {
                write.retry = Some(self.now + RETRY);
                let purpose = write.purpose.clone();
                self.storage.writes.insert(key, write);
                if let Purpose::Placement(placement) = purpose {
                    self.go_provisional(&placement.moves);
                }
            }
        }
    }

    fn complete_write(&mut self, purpose: Purpose, sent: Time, object: &Object) {
        match purpose {
            Purpose::Region(region) => {
                self.note_heirs(&region);
                self.learn(std::slice::from_ref(object), None);
                self.complete_region_write(&region, sent);
            }
            Purpose::Placement(placement) => {
                self.learn(std::slice::from_ref(object), None);
                self.complete_placement_write(&placement);
            }
        }
        self.announce(object);
    }

    fn give_up_write(&mut self, purpose: Purpose) {
        match purpose {
            Purpose::Region(region) => self.give_up_region_write(&region),
            Purpose::Placement(placement) => self.give_up_placement_write(&placement),
        }
    }

    fn put(&mut self, key: ObjectKey) {
        let call = CallId(self.draw_id());
        let Some(write) = self.storage.writes.get_mut(&key) else {
            return;
        };
        write.retry = None;
        let call_kind = StoreCall::Put {
            key: key.clone(),
            expected: write.expected,
            value: write.value.clone(),
        };
        self.storage.calls.insert(call, Open::Write { key });
        self.effects.push(Effect::Store { call, call_kind });
    }

    fn note_store_health(&mut self, result: &StoreResult) {
        let silent = matches!(result, StoreResult::Failed);
        if silent == self.storage.silent {
            return;
        }
        self.storage.silent = silent;
        let code = if silent {
            Code::StoreSilent
        } else {
            Code::StoreBack
        };
        self.log(code, "store", "");
    }
}
