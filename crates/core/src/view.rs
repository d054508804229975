//! A host's replica of the configuration, in which revisions only increase.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

use serde::de::DeserializeOwned;

use crate::arena::Arena;
use crate::catalogue::{Entry, Server};
use crate::ids::{EntryKey, Epoch, HostId, RegionKey, Revision, ServerKey, ShardKey};
use crate::invariant::{Invariant, ensure};
use crate::object::{Object, ObjectKey, ObjectKind};
use crate::record::{ControlRecord, HostRecord, PlacementRecord, RegionRecord, Subject};

/// A record and its revision.
#[derive(Clone, Debug)]
pub struct Versioned<T> {
    /// The revision of the write that made this value.
    pub revision: Revision,
    /// The record that was parsed from the object's value.
    pub record: T,
}

/// A backend server with its entry and region.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerInfo {
    /// The entry that the server serves.
    pub entry: EntryKey,
    /// The region of the server's failure domain.
    pub region: RegionKey,
    /// The server's definition in the catalogue.
    pub spec: Server,
}

/// The owner of a shard.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Owner {
    /// The backend server.
    pub server: ServerKey,
    /// The number of changes of the shard's owner.
    pub epoch: Epoch,
}

/// The owners of an entry's shards in one region.
#[derive(Clone, Debug, Default)]
pub struct Placement {
    /// The revision of the record; zero if there is none.
    pub revision: Revision,
    /// The record's takeover counter, [`PlacementRecord::takeover_count`].
    pub takeover_count: u64,
    /// Owners by shard number.
    pub owners: Vec<Owner>,
}

/// The replicated part of the object store, with indexes.
///
/// The revision of a key only increases, however a change arrives, so a delayed message cannot
/// restore an older version.
#[derive(Debug, Default)]
pub struct View {
    objects: BTreeMap<ObjectKey, Object>,
    complete_revision: Revision,
    /// Catalogue entries by name.
    pub entries: Arena<EntryKey, Entry>,
    /// Backend servers by name.
    pub servers: Arena<ServerKey, ServerInfo>,
    /// Region names.
    pub regions: Arena<RegionKey, ()>,
    region_records: BTreeMap<RegionKey, Versioned<RegionRecord>>,
    placements: HashMap<(EntryKey, RegionKey), Placement>,
    provisional_owners: BTreeMap<ShardKey, Owner>,
    server_shards: BTreeMap<ServerKey, BTreeMap<u32, Epoch>>,
    loaded: bool,
    out_subjects: BTreeSet<Subject>,
    unreadable: Vec<ObjectKey>,
}

impl View {
    /// The revision up to which the view is complete.
    pub fn revision(&self) -> Revision {
        self.complete_revision
    }

    /// Applies objects, and the revision up to which they make the view complete, if any.
    ///
    /// Returns the keys of the objects that were newer than the view.
    pub fn apply(&mut self, objects: &[Object], complete: Option<Revision>) -> Vec<ObjectKey> {
        self.loaded |= complete.is_some();
        let mut changed = Vec::new();
        for object in objects {
            if self.apply_object(object) {
                changed.push(object.key.clone());
            }
        }
        if let Some(revision) = complete {
            self.complete_revision = self.complete_revision.max(revision);
        }
        changed
    }

    /// Whether a complete configuration was ever applied, even an empty one.
    pub fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// The objects that were written after a revision.
    pub fn objects_after(&self, revision: Revision) -> Vec<Object> {
        self.objects
            .values()
            .filter(|object| object.revision > revision)
            .cloned()
            .collect()
    }

    /// The revision of an object's last write; zero if the object is unknown.
    pub fn revision_of(&self, key: &ObjectKey) -> Revision {
        self.objects
            .get(key)
            .map_or(Revision(0), |object| object.revision)
    }

    /// Takes the keys of objects that this version could not parse since the last call.
    pub fn take_unreadable(&mut self) -> Vec<ObjectKey> {
        std::mem::take(&mut self.unreadable)
    }

    /// A region's record.
    pub fn record(&self, region: RegionKey) -> Option<&Versioned<RegionRecord>> {
        self.region_records.get(&region)
    }

    /// Every region's record.
    pub fn records(&self) -> impl Iterator<Item = &RegionRecord> {
        self.region_records
            .values()
            .map(|versioned| &versioned.record)
    }

    /// The record of a host, in any region.
    pub fn host(&self, id: HostId) -> Option<&HostRecord> {
        self.records().find_map(|record| record.hosts.get(&id))
    }

    /// The address of a host that has a record.
    pub fn host_address(&self, id: HostId) -> Option<SocketAddr> {
        self.host(id).map(|record| record.address)
    }

    /// The host that controls a backend server.
    pub fn controller(&self, server: ServerKey) -> Option<HostId> {
        self.control_record(server).map(|control| control.host)
    }

    /// The control record of a backend server.
    pub fn control_record(&self, server: ServerKey) -> Option<&ControlRecord> {
        let info = self.servers.get(server)?;
        let versioned = self.region_records.get(&info.region)?;
        versioned.record.control.get(&info.spec.name)
    }

    /// Whether operators took the subject out of service.
    pub fn is_out(&self, subject: &Subject) -> bool {
        self.out_subjects.contains(subject)
    }

    /// Whether neither a backend server nor its failure domain is out of service.
    pub fn is_eligible(&self, server: ServerKey) -> bool {
        self.servers.get(server).is_some_and(|info| {
            let domain_out = self.is_out(&Subject::Domain(info.spec.domain.clone()));
            !domain_out && !self.is_out(&Subject::Server(info.spec.name.clone()))
        })
    }

    /// The backend servers of an entry in a region.
    pub fn servers_of(
        &self,
        entry: EntryKey,
        region: RegionKey,
    ) -> impl Iterator<Item = (ServerKey, &ServerInfo)> {
        self.servers
            .iter()
            .filter(move |(_, info)| info.entry == entry && info.region == region)
    }

    /// The placement of an entry in a region, without provisional owners.
    pub fn placement(&self, entry: EntryKey, region: RegionKey) -> Option<&Placement> {
        self.placements.get(&(entry, region))
    }

    /// Every placement.
    pub fn placements(&self) -> impl Iterator<Item = (EntryKey, RegionKey, &Placement)> {
        self.placements
            .iter()
            .map(|((entry, region), placement)| (*entry, *region, placement))
    }

    /// The owner of a shard; a provisional owner takes precedence.
    pub fn owner(&self, shard: ShardKey) -> Option<Owner> {
        if let Some(owner) = self.provisional_owners.get(&shard) {
            return Some(*owner);
        }
        let placement = self.placements.get(&(shard.entry, shard.region))?;
        placement.owners.get(shard.index as usize).copied()
    }

    /// The shards that a backend server owns, with their epochs.
    pub fn owned_by(&self, server: ServerKey) -> BTreeMap<u32, Epoch> {
        self.server_shards.get(&server).cloned().unwrap_or_default()
    }

    /// The number of shards that a backend server owns.
    pub fn owned_count(&self, server: ServerKey) -> usize {
        self.server_shards.get(&server).map_or(0, BTreeMap::len)
    }

    /// Sets a provisional owner, which is not in the store yet.
    ///
    /// Ignored unless its epoch is higher than the current owner's.
    pub fn set_provisional_owner(&mut self, shard: ShardKey, owner: Owner) {
        let current_epoch = self.owner(shard).map_or(Epoch(0), |current| current.epoch);
        if owner.epoch > current_epoch {
            self.provisional_owners.insert(shard, owner);
            self.index_owners(shard.entry, shard.region);
        }
    }

    /// The owners that are not in the store yet.
    pub fn provisional_owners(&self) -> impl Iterator<Item = (ShardKey, Owner)> {
        self.provisional_owners
            .iter()
            .map(|(shard, owner)| (*shard, *owner))
    }

    fn apply_object(&mut self, object: &Object) -> bool {
        let current_revision = self.revision_of(&object.key);
        if object.revision <= current_revision {
            return false;
        }
        self.index(object);
        self.objects.insert(object.key.clone(), object.clone());
        true
    }

    fn index(&mut self, object: &Object) {
        let parsed_ok = match object.key.kind() {
            Some(ObjectKind::Entry(name)) => self.index_entry(name, object),
            Some(ObjectKind::Region(name)) => self.index_region(name, object),
            Some(ObjectKind::Placement { entry, region }) => {
                self.index_placement(entry, region, object)
            }
            Some(ObjectKind::Order(subject)) => self.index_order(subject, object),
            None => false,
        };
        if !parsed_ok {
            self.unreadable.push(object.key.clone());
        }
    }

    fn index_entry(&mut self, name: &str, object: &Object) -> bool {
        let parsed = parse::<Entry>(object);
        if object.value.is_some() && parsed.is_none() {
            return false;
        }
        let key = self.entries.intern(name);
        let old_servers: Vec<ServerKey> = self
            .servers
            .iter()
            .filter(|(_, info)| info.entry == key)
            .map(|(server, _)| server)
            .collect();
        for server in old_servers {
            self.servers.set(server, None);
        }
        let mut affected = BTreeSet::new();
        for spec in parsed.iter().flat_map(|entry| &entry.servers) {
            let region = self.regions.intern(spec.domain.region());
            let server = self.servers.intern(&spec.name);
            affected.insert((key, region));
            let info = ServerInfo {
                entry: key,
                region,
                spec: spec.clone(),
            };
            self.servers.set(server, Some(info));
        }
        self.entries.set(key, parsed);
        for (entry, region) in affected {
            self.index_owners(entry, region);
        }
        true
    }

    fn index_region(&mut self, name: &str, object: &Object) -> bool {
        let region = self.regions.intern(name);
        if object.value.is_none() {
            self.region_records.remove(&region);
            return true;
        }
        let Some(record) = parse::<RegionRecord>(object) else {
            return false;
        };
        let revision = object.revision;
        self.region_records
            .insert(region, Versioned { revision, record });
        true
    }

    fn index_placement(&mut self, entry: &str, region: &str, object: &Object) -> bool {
        let entry = self.entries.intern(entry);
        let region = self.regions.intern(region);
        if object.value.is_none() {
            self.placements.remove(&(entry, region));
            self.index_owners(entry, region);
            return true;
        }
        let Some(record) = parse::<PlacementRecord>(object) else {
            return false;
        };
        let owners: Vec<Owner> = record
            .shards
            .iter()
            .map(|assignment| Owner {
                server: self.servers.intern(&assignment.server),
                epoch: assignment.epoch,
            })
            .collect();
        self.check_epochs(entry, region, &owners);
        self.provisional_owners.retain(|shard, provisional| {
            let same_placement = shard.entry == entry && shard.region == region;
            let stored = owners.get(shard.index as usize);
            !(same_placement && stored.is_some_and(|owner| owner.epoch >= provisional.epoch))
        });
        let placement = Placement {
            revision: object.revision,
            takeover_count: record.takeover_count,
            owners,
        };
        self.placements.insert((entry, region), placement);
        self.index_owners(entry, region);
        true
    }

    /// Rebuilds the index of shards by server for one placement.
    fn index_owners(&mut self, entry: EntryKey, region: RegionKey) {
        let servers: Vec<ServerKey> = self.servers_of(entry, region).map(|(key, _)| key).collect();
        for server in servers {
            self.server_shards.remove(&server);
        }
        let count = self
            .placement(entry, region)
            .map_or(0, |placement| placement.owners.len() as u32);
        for index in 0..count {
            let shard = ShardKey {
                entry,
                region,
                index,
            };
            if let Some(owner) = self.owner(shard) {
                let shards = self.server_shards.entry(owner.server).or_default();
                shards.insert(index, owner.epoch);
            }
        }
    }

    fn check_epochs(&self, entry: EntryKey, region: RegionKey, owners: &[Owner]) {
        let Some(old) = self.placements.get(&(entry, region)) else {
            return;
        };
        for (before, after) in old.owners.iter().zip(owners) {
            ensure(Invariant::EpochRises, after.epoch >= before.epoch);
            let unchanged_or_raised = after.epoch > before.epoch || after.server == before.server;
            ensure(Invariant::EpochRises, unchanged_or_raised);
        }
    }

    fn index_order(&mut self, subject: Subject, object: &Object) -> bool {
        let out = match &object.value {
            None => false,
            Some(_) => match parse::<crate::record::OperatorOrder>(object) {
                Some(order) => order.out,
                None => return false,
            },
        };
        if out {
            self.out_subjects.insert(subject);
        } else {
            self.out_subjects.remove(&subject);
        }
        true
    }
}

fn parse<T: DeserializeOwned>(object: &Object) -> Option<T> {
    serde_json::from_slice(object.value.as_ref()?).ok()
}
