//! Planning of shard moves between servers.

use std::collections::{BTreeMap, BTreeSet};

use super::Host;
use crate::balance::{self, MovePlan, ServerHolding};
use crate::control::{ControlPhase, MoveStep};
use crate::ids::{EntryKey, RegionKey, ServerKey};

/// Servers per slow server: if more than one in this many is slow, none is treated as slow.
const MIN_SERVERS_PER_SLOW: usize = 3;

impl Host {
    /// Plans moves off servers that hold more than their share.
    pub(super) fn plan_moves(&mut self) {
        if !self.is_valid() {
            return;
        }
        let servers: Vec<ServerKey> = self.controlled_servers.keys().copied().collect();
        for server in servers {
            let Some(control) = self.controlled_servers.get(&server) else {
                continue;
            };
            let is_movable =
                control.shard_move.is_none() && !self.outgoing_handovers.contains_key(&server);
            match control.phase {
                ControlPhase::Active if is_movable => {
                    let plan = self.plan_for_server(server);
                    self.begin_move(server, plan, MoveStep::Draining);
                }
                ControlPhase::Lost if is_movable => self.evacuate(server),
                _ => {}
            }
        }
    }

    /// The shard counts of an entry's servers, with weight zero for those that must receive none.
    pub(super) fn holdings(
        &self,
        entry: EntryKey,
        region: RegionKey,
    ) -> BTreeMap<ServerKey, ServerHolding> {
        let mut holdings = BTreeMap::new();
        let slow = self.slow_servers(entry, region);
        for (server, _) in self.view.servers_of(entry, region) {
            let control = self.controlled_servers.get(&server);
            let lost = control.is_some_and(|control| control.phase == ControlPhase::Lost);
            let can_receive = self.is_usable(server)
                && !lost
                && !slow.contains(&server)
                && !self.backoff_until.contains_key(&server)
                && self.view.controller(server).is_some();
            let holding = ServerHolding {
                shards: self.view.owned_count(server),
                weight: if can_receive { 1.0 } else { 0.0 },
            };
            holdings.insert(server, holding);
        }
        holdings
    }

    /// Servers that have become slow, or none if so many have that the cause must lie elsewhere.
    pub(super) fn slow_servers(&self, entry: EntryKey, region: RegionKey) -> BTreeSet<ServerKey> {
        let mut members = 0;
        let mut slow = BTreeSet::new();
        for (server, _) in self.view.servers_of(entry, region) {
            members += 1;
            let control = self.controlled_servers.get(&server);
            if control.is_some_and(|control| control.slow_until > self.now) {
                slow.insert(server);
            }
        }
        if slow.len() * MIN_SERVERS_PER_SLOW > members {
            slow.clear();
        }
        slow
    }

    pub(super) fn plan_for_server(&self, server: ServerKey) -> MovePlan {
        let Some(info) = self.view.servers.get(server) else {
            return Vec::new();
        };
        let holdings = self.holdings(info.entry, info.region);
        let provisional: BTreeSet<u32> = self
            .view
            .provisional_owners()
            .filter(|(shard, _)| shard.entry == info.entry && shard.region == info.region)
            .map(|(shard, _)| shard.index)
            .collect();
        let owned = self.view.owned_by(server).into_keys();
        let movable = owned.filter(|index| !provisional.contains(index));
        balance::plan_moves(server, movable, &holdings)
    }

    /// Moves all shards off a lost server.
    ///
    /// A move that may be in the store already is completed first; the rest follows.
    pub(super) fn evacuate(&mut self, server: ServerKey) {
        self.abandon_running(server);
        self.reroute_waiting(server, |_| true);
        if self.is_move_being_written(server) {
            return;
        }
        let plan = self.plan_for_server(server);
        self.begin_move(server, plan, MoveStep::Transferring);
    }
}
