//! Which shards should leave a server.

use std::collections::{BTreeMap, BTreeSet};

use super::Host;
use crate::balance::{self, Holding, Plan};
use crate::control::{MoveStep, Phase};
use crate::ids::{EntryKey, RegionKey, ServerKey};

/// One of this many servers may be slow at the same time and be treated as slow.
const SLOW_PART: usize = 3;

impl Host {
    /// Plans moves off servers that hold more than their share.
    pub(super) fn plan_moves(&mut self) {
        if !self.is_valid() {
            return;
        }
        let servers: Vec<ServerKey> = self.controls.keys().copied().collect();
        for server in servers {
            let Some(control) = self.controls.get(&server) else {
                continue;
            };
            let free = control.moving.is_none() && !self.outgoing.contains_key(&server);
            match control.phase {
                Phase::Active if free => {
                    let plan = self.plan_for(server);
                    self.begin_move(server, plan, MoveStep::Draining);
                }
                Phase::Lost if free => self.evacuate(server),
                _ => {}
            }
        }
    }

    pub(super) fn holdings(
        &self,
        entry: EntryKey,
        region: RegionKey,
    ) -> BTreeMap<ServerKey, Holding> {
        let mut holdings = BTreeMap::new();
        let slow = self.slow_servers(entry, region);
        for (server, _) in self.view.members(entry, region) {
            let control = self.controls.get(&server);
            let lost = control.is_some_and(|control| control.phase == Phase::Lost);
            let usable = self.is_usable(server)
                && !lost
                && !slow.contains(&server)
                && !self.avoided.contains_key(&server)
                && self.view.controller(server).is_some();
            let holding = Holding {
                shards: self.view.owned_count(server),
                weight: if usable { 1.0 } else { 0.0 },
            };
            holdings.insert(server, holding);
        }
        holdings
    }

    /// Servers that turned slow, unless so many did that the cause cannot be their own.
    pub(super) fn slow_servers(&self, entry: EntryKey, region: RegionKey) -> BTreeSet<ServerKey> {
        let mut members = 0;
        let mut slow = BTreeSet::new();
        for (server, _) in self.view.members(entry, region) {
            members += 1;
            let control = self.controls.get(&server);
            if control.is_some_and(|control| control.slow_until > self.now) {
                slow.insert(server);
            }
        }
        if slow.len() * SLOW_PART > members {
            slow.clear();
        }
        slow
    }

    pub(super) fn plan_for(&self, server: ServerKey) -> Plan {
        let Some(info) = self.view.servers.get(server) else {
            return Vec::new();
        };
        let holdings = self.holdings(info.entry, info.region);
        let unwritten: BTreeSet<u32> = self
            .view
            .provisional()
            .filter(|(shard, _)| shard.entry == info.entry && shard.region == info.region)
            .map(|(shard, _)| shard.index)
            .collect();
        let owned = self.view.owned_by(server).into_keys();
        let movable = owned.filter(|index| !unwritten.contains(index));
        balance::plan(server, movable, &holdings)
    }

    /// Moves everything off a lost server.
    ///
    /// A move that may be in the store already goes on; the rest follows it.
    pub(super) fn evacuate(&mut self, server: ServerKey) {
        self.abandon_running(server);
        self.bounce_waiting(server, |_| true);
        if self.is_written(server) {
            return;
        }
        let plan = self.plan_for(server);
        self.begin_move(server, plan, MoveStep::Handing);
    }
}
