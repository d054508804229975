//! Shards that change their owner.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::storage::{PlacementWrite, Purpose};
use super::{AVOIDANCE, Host};
use crate::balance::{self, Holding, Plan};
use crate::control::{Move, MoveStep, Phase};
use crate::ids::{EntryKey, Epoch, HostId, RegionKey, Revision, ServerKey, ShardKey};
use crate::invariant::{Invariant, ensure};
use crate::log::Code;
use crate::message::Message;
use crate::object::ObjectKey;
use crate::record::{Assignment, PlacementRecord};
use crate::time::Time;
use crate::view::Owner;

/// Time within which the hosts of the targets have to take a move.
const ANSWER: Duration = Duration::from_millis(200);
/// One of this many servers may be slow at the same time and be treated as slow.
const SLOW_PART: usize = 3;
/// Time between two tellings of a provisional assignment.
const REPEAT: Duration = Duration::from_millis(100);

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

    /// Moves everything off a lost server.
    pub(super) fn evacuate(&mut self, server: ServerKey) {
        self.abandon_running(server);
        self.bounce_waiting(server, |_| true);
        let plan = self.plan_for(server);
        self.begin_move(server, plan, MoveStep::Handing);
    }

    pub(super) fn advance_moves(&mut self) {
        let servers: Vec<ServerKey> = self.controls.keys().copied().collect();
        for server in servers {
            let step = self.moving(server).map(|moving| moving.step);
            match step {
                Some(MoveStep::Draining) => self.drain(server),
                Some(MoveStep::Releasing) => self.release(server),
                Some(MoveStep::Handing) => self.hand(server),
                Some(MoveStep::Writing) => self.write_move(server),
                None => {}
            }
        }
        self.write_provisional();
    }

    /// Makes first placements for entries that have none.
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

    /// Raises the touch counter of a server's placement, so that writes which the last
    /// controller has under way no longer apply.
    pub(super) fn touch_placement(&mut self, server: ServerKey) {
        if self.touched.contains(&server) {
            return;
        }
        if let Some(info) = self.view.servers.get(server) {
            let (entry, region) = (info.entry, info.region);
            self.write_placement(entry, region);
        }
    }

    /// Takes note that a read of the region's record was answered.
    pub(super) fn pass_guards(&mut self, sent: Time) {
        let servers: Vec<ServerKey> = self.controls.keys().copied().collect();
        let mut written = BTreeSet::new();
        for server in servers {
            let Some(info) = self.view.servers.get(server) else {
                continue;
            };
            let place = (info.entry, info.region);
            let moving = self
                .controls
                .get_mut(&server)
                .and_then(|c| c.moving.as_mut());
            if let Some(guard) = moving.and_then(|moving| moving.guard.as_mut())
                && guard.asked <= sent
            {
                guard.passed = true;
                written.insert(place);
            }
        }
        for (entry, region) in written {
            self.write_placement(entry, region);
        }
    }

    /// Takes note that a read of the region's record was not answered.
    pub(super) fn fail_guards(&mut self) {
        let mut failed = Vec::new();
        for (server, control) in &mut self.controls {
            if let Some(moving) = control.moving.as_mut()
                && moving.step == MoveStep::Writing
            {
                moving.guard = None;
                failed.push((*server, moving.id));
            }
        }
        self.go_provisional(&failed);
    }

    pub(super) fn complete_placement_write(&mut self, write: &PlacementWrite) {
        for (server, id) in &write.moves {
            let current = self.moving(*server).map(|moving| moving.id);
            if current == Some(*id) {
                self.finish_move(*server, Code::ShardsMoved);
            }
        }
        for (server, token) in &write.touched {
            let current = self.controls.get(server).map(|control| control.token);
            if current != Some(*token) {
                continue;
            }
            self.touched.insert(*server);
            if let Some((host, term)) = self.heirs.remove(server) {
                self.inherit_ledger(*server, host, term);
            }
        }
    }

    /// Ends moves that the store turns out to know, although no write was confirmed.
    pub(super) fn settle_moves(&mut self) {
        let done: Vec<ServerKey> = self
            .controls
            .iter()
            .filter(|(server, control)| {
                let moving = control.moving.as_ref();
                moving.is_some_and(|moving| self.is_stored(**server, moving))
            })
            .map(|(server, _)| *server)
            .collect();
        for server in done {
            self.finish_move(server, Code::ShardsMoved);
        }
    }

    /// Whether the stored placement has come as far as a move that is being written.
    fn is_stored(&self, server: ServerKey, moving: &Move) -> bool {
        let Some(info) = self.view.servers.get(server) else {
            return false;
        };
        let Some(placement) = self.view.placement(info.entry, info.region) else {
            return false;
        };
        let known = |index: &u32, epoch: Epoch| {
            let owner = placement.owners.get(*index as usize);
            owner.is_some_and(|owner| owner.epoch >= epoch)
        };
        moving.step == MoveStep::Writing
            && moving
                .shards
                .iter()
                .all(|(index, (_, epoch))| known(index, *epoch))
    }

    pub(super) fn give_up_placement_write(&mut self, write: &PlacementWrite) {
        for (server, _) in &write.moves {
            if let Some(moving) = self.moving_mut(*server) {
                moving.guard = None;
            }
        }
    }

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
        if id != 0 && !self.is_open_ward(from) {
            return;
        }
        let entry = self.view.entries.intern(entry);
        let region = self.view.regions.intern(region);
        for (index, name, epoch) in owners {
            let owner = Owner {
                server: self.view.servers.intern(name),
                epoch: *epoch,
            };
            self.view.assign(self.shard(entry, region, *index), owner);
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

    /// Takes an answer to one of the hand-overs of a move.
    pub(super) fn take_move_answer(&mut self, id: u64, taken: bool) {
        let awaited = |moving: &Move| moving.awaited.contains_key(&id);
        let server = self
            .controls
            .iter()
            .find(|(_, control)| control.moving.as_ref().is_some_and(awaited))
            .map(|(server, _)| *server);
        let Some(server) = server else {
            return;
        };
        if taken {
            if let Some(moving) = self.moving_mut(server) {
                moving.awaited.remove(&id);
            }
            self.hand(server);
        } else {
            self.abort_move(server, id);
        }
    }

    /// Writes an entry's placement where it is not what it should be.
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
            touched: Vec::new(),
        };
        let (revision, mut record) = self.stored_placement(entry, region, &key);
        let old = record.clone();
        if revision == Revision(0) {
            record.shards = self.first_owners(entry, region);
        }
        self.merge_provisional(entry, region, &mut record);
        self.merge_moves(revision, &mut record, &mut write);
        self.merge_touches(&mut record, &mut write);
        if record != old {
            self.write(key, revision, &record, Purpose::Placement(write));
        }
    }

    fn moving(&self, server: ServerKey) -> Option<&Move> {
        self.controls.get(&server)?.moving.as_ref()
    }

    fn moving_mut(&mut self, server: ServerKey) -> Option<&mut Move> {
        self.controls.get_mut(&server)?.moving.as_mut()
    }

    fn holdings(&self, entry: EntryKey, region: RegionKey) -> BTreeMap<ServerKey, Holding> {
        let mut holdings = BTreeMap::new();
        let slow = self.slow_servers(entry, region);
        for (server, _) in self.view.members(entry, region) {
            let control = self.controls.get(&server);
            let lost = control.is_some_and(|control| control.phase == Phase::Lost);
            let usable = self.view.is_eligible(server)
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
    fn slow_servers(&self, entry: EntryKey, region: RegionKey) -> BTreeSet<ServerKey> {
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

    fn plan_for(&self, server: ServerKey) -> Plan {
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

    fn begin_move(&mut self, server: ServerKey, plan: Plan, step: MoveStep) {
        let Some(info) = self.view.servers.get(server) else {
            return;
        };
        if plan.is_empty() {
            return;
        }
        let (entry, region) = (info.entry, info.region);
        let mut shards = BTreeMap::new();
        for (index, target) in plan {
            let next = self.next_owner(self.shard(entry, region, index), target);
            shards.insert(index, (target, next.epoch));
        }
        let moving = Move {
            id: self.draw_id(),
            step,
            shards,
            awaited: BTreeMap::new(),
            offered: false,
            told: Time::ZERO,
            guard: None,
            since: self.now,
        };
        if let Some(control) = self.controls.get_mut(&server) {
            control.moving = Some(moving);
        }
        self.hurry();
        self.advance_moves();
    }

    fn drain(&mut self, server: ServerKey) {
        let now = self.now;
        let Some(control) = self.controls.get(&server) else {
            return;
        };
        let Some(moving) = &control.moving else {
            return;
        };
        let shards: BTreeSet<u32> = moving.shards.keys().copied().collect();
        let busy = shards.iter().any(|index| control.is_busy_with(*index));
        let ghosts = control.ghosts.iter().any(|end| *end > now);
        let lost = control.phase == Phase::Lost;
        self.bounce_waiting(server, |index| shards.contains(&index));
        if lost {
            self.set_move_step(server, MoveStep::Handing);
        } else if !busy && !ghosts {
            self.set_move_step(server, MoveStep::Releasing);
            self.call_register(server);
        }
    }

    fn release(&mut self, server: ServerKey) {
        let drift = self.timing().drift();
        let now = self.now;
        let Some(control) = self.controls.get(&server) else {
            return;
        };
        let Some(moving) = &control.moving else {
            return;
        };
        let holds = |index: &u32| {
            let confirmed = control.granted.contains_key(index);
            let open = control.offered.contains_key(index);
            let possible = control
                .unconfirmed
                .iter()
                .any(|(end, shards)| *end + drift > now && shards.contains(index));
            confirmed || open || possible
        };
        let told = control.confirmed_at >= moving.since;
        let released = told && !moving.shards.keys().any(holds);
        if released || control.phase == Phase::Lost {
            self.set_move_step(server, MoveStep::Handing);
            self.hand(server);
        } else if !told {
            self.call_register(server);
        }
    }

    fn hand(&mut self, server: ServerKey) {
        let Some(moving) = self.moving(server) else {
            return;
        };
        if moving.step != MoveStep::Handing {
            return;
        }
        if !moving.offered {
            self.offer_move(server);
            return;
        }
        if moving.awaited.is_empty() {
            self.set_move_step(server, MoveStep::Writing);
            self.write_move(server);
        } else if self.now.since(moving.since) > ANSWER {
            let late = moving.awaited.keys().next().copied();
            if let Some(id) = late {
                self.abort_move(server, id);
            }
        }
    }

    /// Sends each target's host the records of the shards that it is to get.
    fn offer_move(&mut self, server: ServerKey) {
        let Some(info) = self.view.servers.get(server) else {
            return;
        };
        let (entry, region) = (info.entry, info.region);
        let Some(control) = self.controls.get(&server) else {
            return;
        };
        let source = control.token;
        let Some(moving) = &control.moving else {
            return;
        };
        let mut by_target: BTreeMap<ServerKey, Vec<(u32, Epoch)>> = BTreeMap::new();
        for (index, (target, epoch)) in &moving.shards {
            by_target.entry(*target).or_default().push((*index, *epoch));
        }
        let mut awaited = BTreeMap::new();
        for (target, shards) in by_target {
            let Some(host) = self.view.controller(target) else {
                self.forget_move(server, target);
                return;
            };
            if host == self.settings.id {
                let active = self.controls.get(&target).map(|control| control.phase);
                if active != Some(Phase::Active) {
                    self.forget_move(server, target);
                    return;
                }
                continue;
            }
            let keys: Vec<ShardKey> = shards
                .iter()
                .map(|(index, _)| self.shard(entry, region, *index))
                .collect();
            let id = self.draw_id();
            let message = Message::Handover {
                id,
                source,
                server: self.server_name(target),
                control: None,
                shards,
                ledger: self.ledger_part(&keys),
            };
            awaited.insert(id, target);
            self.send(host, message);
        }
        let now = self.now;
        if let Some(moving) = self.moving_mut(server) {
            moving.awaited = awaited;
            moving.offered = true;
            moving.since = now;
        }
        self.hand(server);
    }

    /// Asks whether this host still controls the server, and writes the move after that.
    ///
    /// The placement's revision is taken before the question, so a successor that takes over
    /// later touches a revision that the write no longer fits.
    fn write_move(&mut self, server: ServerKey) {
        let Some(info) = self.view.servers.get(server) else {
            return;
        };
        let (entry, region) = (info.entry, info.region);
        let placement = self.view.placement(entry, region);
        let base = placement.map_or(Revision(0), |placement| placement.revision);
        let now = self.now;
        let Some(moving) = self.moving_mut(server) else {
            return;
        };
        if moving.guard.as_ref().is_none_or(|guard| guard.base != base) {
            moving.guard = Some(crate::control::Guard {
                base,
                asked: now,
                passed: false,
            });
        }
        let passed = moving.guard.as_ref().is_some_and(|guard| guard.passed);
        if passed {
            self.write_placement(entry, region);
        } else {
            self.read(self.region_key());
        }
    }

    fn set_move_step(&mut self, server: ServerKey, step: MoveStep) {
        let now = self.now;
        if let Some(moving) = self.moving_mut(server) {
            moving.step = step;
            moving.since = now;
        }
    }

    fn finish_move(&mut self, server: ServerKey, code: Code) {
        let Some(control) = self.controls.get_mut(&server) else {
            return;
        };
        let Some(moving) = control.moving.take() else {
            return;
        };
        let kept = moving
            .shards
            .keys()
            .any(|index| control.granted.contains_key(index));
        ensure(
            Invariant::ReleasedFirst,
            control.phase == Phase::Lost || !kept,
        );
        let name = self.server_name(server);
        let detail = format!("{} shards", moving.shards.len());
        self.log(code, name.clone(), detail.clone());
        self.audit("move", &name, &detail);
        self.close_shards();
        self.refresh_grants();
    }

    fn finish_provisionally(&mut self, server: ServerKey) {
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
            self.view.assign(self.shard(entry, region, *index), owner);
        }
        self.finish_move(server, Code::ShardsProvisional);
        if let Some(message) = self.provision(0, server, &shards) {
            for peer in self.region_peers() {
                self.send(peer, message.clone());
            }
        }
    }

    fn provision(
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
            entry: self.view.entries.name(info.entry).to_owned(),
            region: self.view.regions.name(info.region).to_owned(),
            owners,
        })
    }

    /// Tells the store of owners that it does not know yet.
    fn write_provisional(&mut self) {
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

    /// Gives up a move because one of its hand-overs was not taken.
    fn abort_move(&mut self, server: ServerKey, id: u64) {
        let Some(moving) = self.moving(server) else {
            return;
        };
        let target = moving.awaited.get(&id).copied();
        if moving.step != MoveStep::Handing {
            return;
        }
        if let Some(target) = target {
            self.forget_move(server, target);
        }
    }

    fn forget_move(&mut self, server: ServerKey, target: ServerKey) {
        self.avoided.insert(target, self.now + AVOIDANCE);
        if let Some(control) = self.controls.get_mut(&server) {
            control.moving = None;
        }
    }

    fn stored_placement(
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
            touched: placement.touched,
        };
        (placement.revision, record)
    }

    fn first_owners(&self, entry: EntryKey, region: RegionKey) -> Vec<Assignment> {
        let count = self.view.entries.get(entry).map_or(0, |entry| entry.shards);
        let mut holdings = self.holdings(entry, region);
        for (server, held) in &mut holdings {
            held.weight = if self.view.is_eligible(*server) {
                1.0
            } else {
                0.0
            };
        }
        balance::spread(count, &holdings)
            .into_iter()
            .map(|server| Assignment {
                server: self.server_name(server),
                epoch: Epoch(1),
            })
            .collect()
    }

    fn merge_provisional(&self, entry: EntryKey, region: RegionKey, record: &mut PlacementRecord) {
        for (shard, owner) in self.view.provisional() {
            if shard.entry != entry || shard.region != region {
                continue;
            }
            let Some(kept) = record.shards.get_mut(shard.index as usize) else {
                continue;
            };
            if owner.epoch > kept.epoch {
                kept.server = self.server_name(owner.server);
                kept.epoch = owner.epoch;
            }
        }
    }

    fn merge_moves(
        &self,
        revision: Revision,
        record: &mut PlacementRecord,
        write: &mut PlacementWrite,
    ) {
        for (server, control) in &self.controls {
            let Some(moving) = &control.moving else {
                continue;
            };
            let guard = moving.guard.as_ref();
            let passed = guard.is_some_and(|guard| guard.passed && guard.base == revision);
            let here = self
                .view
                .servers
                .get(*server)
                .is_some_and(|info| info.entry == write.entry && info.region == write.region);
            if moving.step != MoveStep::Writing || !passed || !here || !self.is_valid() {
                continue;
            }
            for (index, (target, epoch)) in &moving.shards {
                let Some(kept) = record.shards.get_mut(*index as usize) else {
                    continue;
                };
                if kept.epoch < *epoch {
                    kept.server = self.server_name(*target);
                    kept.epoch = *epoch;
                }
            }
            write.moves.push((*server, moving.id));
        }
    }

    fn merge_touches(&self, record: &mut PlacementRecord, write: &mut PlacementWrite) {
        for (server, control) in &self.controls {
            let here = self
                .view
                .servers
                .get(*server)
                .is_some_and(|info| info.entry == write.entry && info.region == write.region);
            if here && !self.touched.contains(server) {
                write.touched.push((*server, control.token));
            }
        }
        if !write.touched.is_empty() {
            record.touched += 1;
        }
    }
}
