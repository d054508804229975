//! Owners that hosts know and the store does not yet.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::Host;
use crate::control::{MoveStep, Phase};
use crate::ids::{EntryKey, Epoch, HostId, RegionKey, ServerKey, ShardKey};
use crate::log::Code;
use crate::message::Message;
use crate::view::Owner;

/// Time between two tellings of a provisional assignment.
const REPEAT: Duration = Duration::from_millis(100);

impl Host {
    /// Asks the successor to keep the new owners of lost servers' shards, while the store is
    /// silent.
    pub(super) fn go_provisional(&mut self, moves: &[(ServerKey, u64)]) {
        let Some(successor) = self.successor() else {
            return;
        };
        let now = self.now;
        for (server, id) in moves {
            let Some(control) = self.controls.get_mut(server) else {
                continue;
            };
            if control.phase != Phase::Lost {
                continue;
            }
            let Some(moving) = control.moving.as_mut() else {
                continue;
            };
            if moving.id != *id || now.since(moving.told) < REPEAT {
                continue;
            }
            moving.told = now;
            let shards = moving.shards.clone();
            if let Some(message) = self.provision(*id, *server, &shards) {
                self.send(successor, message);
            }
        }
    }

    pub(super) fn take_provision(
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
                .assign(ShardKey::new(entry, region, *index), owner);
        }
        if id != 0 {
            self.send(from, Message::Provisioned { id });
        }
        self.close_shards();
        self.refresh_grants();
        self.route_parked();
    }

    pub(super) fn take_provisioned(&mut self, from: HostId, id: u64) {
        if self.successor() != Some(from) || !self.is_valid() {
            return;
        }
        let server = self
            .controls
            .iter()
            .find(|(_, control)| {
                let moving = control.moving.as_ref();
                control.phase == Phase::Lost && moving.is_some_and(|moving| moving.id == id)
            })
            .map(|(server, _)| *server);
        if let Some(server) = server {
            self.finish_provisionally(server);
        }
    }

    pub(super) fn finish_provisionally(&mut self, server: ServerKey) {
        let Some(info) = self.view.servers.get(server) else {
            return;
        };
        let (entry, region) = (info.entry, info.region);
        let Some(moving) = self.moving(server) else {
            return;
        };
        if moving.step != MoveStep::Writing {
            return;
        }
        let shards = moving.shards.clone();
        for (index, (target, epoch)) in &shards {
            let owner = Owner {
                server: *target,
                epoch: *epoch,
            };
            self.view
                .assign(ShardKey::new(entry, region, *index), owner);
        }
        self.finish_move(server, Code::ShardsProvisional);
        if let Some(message) = self.provision(0, server, &shards) {
            for peer in self.region_peers() {
                self.send(peer, message.clone());
            }
        }
    }

    pub(super) fn provision(
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

    /// Tells the store of owners that it does not know yet.
    pub(super) fn write_provisional(&mut self) {
        let places: BTreeSet<(EntryKey, RegionKey)> = self
            .view
            .provisional()
            .filter(|(_, owner)| self.controls.contains_key(&owner.server))
            .map(|(shard, _)| (shard.entry, shard.region))
            .collect();
        for (entry, region) in places {
            self.write_placement(entry, region);
        }
    }
}
