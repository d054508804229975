//! Placement records, which assign each shard to its owner.

use super::Host;
use super::store::{PlacementWrite, WritePurpose};
use crate::balance;
use crate::control::MoveStep;
use crate::ids::{EntryKey, Epoch, RegionKey, Revision, ServerKey};
use crate::log::EventCode;
use crate::object::ObjectKey;
use crate::record::{Assignment, PlacementRecord};

impl Host {
    /// Writes initial placements for entries that have none.
    pub(super) fn create_placements(&mut self) {
        if !self.is_valid() {
            return;
        }
        let region_name = self.region().to_owned();
        let region = self.view.regions.intern(&region_name);
        let entries: Vec<EntryKey> = self
            .view
            .entries
            .iter()
            .filter(|(_, entry)| entry.regions.contains(&region_name))
            .map(|(key, _)| key)
            .collect();
        for entry in entries {
            if self.view.placement(entry, region).is_none() {
                self.write_placement(entry, region);
            }
        }
    }

    /// Raises the takeover counter of a server's placement, so that pending writes of the previous
    /// controller conflict.
    pub(super) fn count_takeover(&mut self, server: ServerKey) {
        if self.counted_takeovers.contains(&server) {
            return;
        }
        if let Some(info) = self.view.servers.get(server) {
            let (entry, region) = (info.entry, info.region);
            self.write_placement(entry, region);
        }
    }

    /// Writes an entry's placement if it differs from the desired state.
    pub(super) fn write_placement(&mut self, entry: EntryKey, region: RegionKey) {
        let entry_name = self.view.entries.name(entry).to_owned();
        let key = ObjectKey::placement(&entry_name, self.view.regions.name(region));
        if self.is_writing(&key) {
            return;
        }
        let mut write = PlacementWrite {
            entry,
            region,
            moves: Vec::new(),
            takeovers: Vec::new(),
        };
        let (revision, mut record) = self.stored_placement(entry, region, &key);
        let old = record.clone();
        if revision == Revision(0) {
            record.shards = self.initial_owners(entry, region);
        }
        self.merge_provisional(entry, region, &mut record);
        self.merge_moves(revision, &mut record, &mut write);
        self.merge_takeovers(&mut record, &mut write);
        if record != old {
            self.write_object(key, revision, &record, WritePurpose::Placement(write));
        }
    }

    pub(super) fn complete_placement_write(&mut self, write: &PlacementWrite) {
        for (server, id) in &write.moves {
            let current = self.shard_move(*server).map(|shard_move| shard_move.id);
            if current == Some(*id) {
                self.finish_move(*server, EventCode::ShardsMoved);
            }
        }
        for (server, token) in &write.takeovers {
            let current = self
                .controlled_servers
                .get(server)
                .map(|control| control.token);
            if current != Some(*token) {
                continue;
            }
            self.counted_takeovers.insert(*server);
            if let Some((host, term)) = self.previous_controllers.remove(server) {
                self.inherit_ledger(*server, host, term);
            }
        }
    }

    pub(super) fn discard_placement_write(&mut self, write: &PlacementWrite) {
        for (server, _) in &write.moves {
            if let Some(shard_move) = self.shard_move_mut(*server) {
                shard_move.control_check = None;
            }
        }
    }

    pub(super) fn stored_placement(
        &self,
        entry: EntryKey,
        region: RegionKey,
        key: &ObjectKey,
    ) -> (Revision, PlacementRecord) {
        let Some(placement) = self.view.placement(entry, region) else {
            return (self.view.revision_of(key), PlacementRecord::default());
        };
        let shards = placement
            .owners
            .iter()
            .map(|owner| Assignment {
                server: self.server_name(owner.server),
                epoch: owner.epoch,
            })
            .collect();
        let record = PlacementRecord {
            shards,
            takeover_count: placement.takeover_count,
        };
        (placement.revision, record)
    }

    pub(super) fn initial_owners(&self, entry: EntryKey, region: RegionKey) -> Vec<Assignment> {
        let count = self.view.entries.get(entry).map_or(0, |entry| entry.shards);
        let mut holdings = self.holdings(entry, region);
        for (server, holding) in &mut holdings {
            holding.weight = if self.is_usable(*server) { 1.0 } else { 0.0 };
        }
        balance::distribute_shards(count, &holdings)
            .into_iter()
            .map(|server| Assignment {
                server: self.server_name(server),
                epoch: Epoch(1),
            })
            .collect()
    }

    pub(super) fn merge_provisional(
        &self,
        entry: EntryKey,
        region: RegionKey,
        record: &mut PlacementRecord,
    ) {
        for (shard, owner) in self.view.provisional_owners() {
            if shard.entry != entry || shard.region != region {
                continue;
            }
            let Some(assignment) = record.shards.get_mut(shard.index as usize) else {
                continue;
            };
            if owner.epoch > assignment.epoch {
                assignment.server = self.server_name(owner.server);
                assignment.epoch = owner.epoch;
            }
        }
    }

    pub(super) fn merge_moves(
        &self,
        revision: Revision,
        record: &mut PlacementRecord,
        write: &mut PlacementWrite,
    ) {
        for (server, control) in &self.controlled_servers {
            let Some(shard_move) = &control.shard_move else {
                continue;
            };
            let check = shard_move.control_check.as_ref();
            let is_checked =
                check.is_some_and(|check| check.confirmed && check.base_revision == revision);
            let same_placement = self
                .view
                .servers
                .get(*server)
                .is_some_and(|info| info.entry == write.entry && info.region == write.region);
            if shard_move.step != MoveStep::Writing
                || !is_checked
                || !same_placement
                || !self.is_valid()
            {
                continue;
            }
            for (index, (target, epoch)) in &shard_move.shards {
                let Some(assignment) = record.shards.get_mut(*index as usize) else {
                    continue;
                };
                if assignment.epoch < *epoch {
                    assignment.server = self.server_name(*target);
                    assignment.epoch = *epoch;
                }
            }
            write.moves.push((*server, shard_move.id));
        }
    }

    pub(super) fn merge_takeovers(&self, record: &mut PlacementRecord, write: &mut PlacementWrite) {
        for (server, control) in &self.controlled_servers {
            let same_placement = self
                .view
                .servers
                .get(*server)
                .is_some_and(|info| info.entry == write.entry && info.region == write.region);
            if same_placement && !self.counted_takeovers.contains(server) {
                write.takeovers.push((*server, control.token));
            }
        }
        if !write.takeovers.is_empty() {
            record.takeover_count += 1;
        }
    }
}
