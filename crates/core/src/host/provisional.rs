//! Provisional owners: assignments that hosts have agreed on but that are not in the store yet.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::Host;
use crate::control::{ControlPhase, MoveStep};
use crate::ids::{EntryKey, Epoch, HostId, RegionKey, ServerKey, ShardKey};
use crate::log::EventCode;
use crate::message::Message;
use crate::view::Owner;

/// Minimum interval between proposals of the same owners to the successor.
const PROPOSAL_INTERVAL: Duration = Duration::from_millis(100);

impl Host {
    /// Sends the new owners of lost servers' shards to the successor while the store is
    /// unavailable.
    pub(super) fn propose_provisional_owners(&mut self, moves: &[(ServerKey, u64)]) {
        let Some(successor) = self.successor() else {
            return;
        };
        let now = self.now;
        for (server, id) in moves {
            let Some(control) = self.controlled_servers.get_mut(server) else {
                continue;
            };
            if control.phase != ControlPhase::Lost {
                continue;
            }
            let Some(shard_move) = control.shard_move.as_mut() else {
                continue;
            };
            if shard_move.id != *id || now.since(shard_move.proposed_at) < PROPOSAL_INTERVAL {
                continue;
            }
            shard_move.proposed_at = now;
            let shards = shard_move.shards.clone();
            if let Some(message) = self.provision_message(*id, *server, &shards) {
                self.send(successor, message);
            }
        }
    }

    pub(super) fn handle_provision(
        &mut self,
        from: HostId,
        id: u64,
        entry: &str,
        region: &str,
        owners: &[(u32, String, Epoch)],
    ) {
        let entry = self.view.entries.intern(entry);
        let region = self.view.regions.intern(region);
        for (index, name, epoch) in owners {
            let owner = Owner {
                server: self.view.servers.intern(name),
                epoch: *epoch,
            };
            self.view
                .set_provisional_owner(ShardKey::new(entry, region, *index), owner);
        }
        if id != 0 {
            self.send(from, Message::Provisioned { id });
        }
        self.close_ledger_shards();
        self.refresh_grants();
        self.route_parked();
    }

    pub(super) fn handle_provisioned(&mut self, from: HostId, id: u64) {
        if self.successor() != Some(from) || !self.is_valid() {
            return;
        }
        let server = self
            .controlled_servers
            .iter()
            .find(|(_, control)| {
                let shard_move = control.shard_move.as_ref();
                control.phase == ControlPhase::Lost
                    && shard_move.is_some_and(|shard_move| shard_move.id == id)
            })
            .map(|(server, _)| *server);
        if let Some(server) = server {
            self.complete_provisional_move(server);
        }
    }

    pub(super) fn complete_provisional_move(&mut self, server: ServerKey) {
        let Some(info) = self.view.servers.get(server) else {
            return;
        };
        let (entry, region) = (info.entry, info.region);
        let Some(shard_move) = self.shard_move(server) else {
            return;
        };
        if shard_move.step != MoveStep::Writing {
            return;
        }
        let shards = shard_move.shards.clone();
        for (index, (target, epoch)) in &shards {
            let owner = Owner {
                server: *target,
                epoch: *epoch,
            };
            self.view
                .set_provisional_owner(ShardKey::new(entry, region, *index), owner);
        }
        self.finish_move(server, EventCode::ShardsProvisional);
        if let Some(message) = self.provision_message(0, server, &shards) {
            for peer in self.region_peers() {
                self.send(peer, message.clone());
            }
        }
    }

    pub(super) fn provision_message(
        &self,
        id: u64,
        server: ServerKey,
        shards: &BTreeMap<u32, (ServerKey, Epoch)>,
    ) -> Option<Message> {
        let info = self.view.servers.get(server)?;
        let owners = shards
            .iter()
            .map(|(index, (target, epoch))| (*index, self.server_name(*target), *epoch))
            .collect();
        Some(Message::Provision {
            id,
            term: self.own_term().unwrap_or_default(),
            entry: self.view.entries.name(info.entry).to_owned(),
            region: self.view.regions.name(info.region).to_owned(),
            owners,
        })
    }

    /// Writes provisional owners to the store.
    pub(super) fn write_provisional_owners(&mut self) {
        let placements: BTreeSet<(EntryKey, RegionKey)> = self
            .view
            .provisional_owners()
            .filter(|(_, owner)| self.controlled_servers.contains_key(&owner.server))
            .map(|(shard, _)| (shard.entry, shard.region))
            .collect();
        for (entry, region) in placements {
            self.write_placement(entry, region);
        }
    }
}
