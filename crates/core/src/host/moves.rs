//! Moves of shards from one server to others.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{HANDOVER_BACKOFF, Host};
use crate::balance::MovePlan;
use crate::control::{ControlPhase, MoveStep, ShardMove};
use crate::ids::{Epoch, ServerKey, ShardKey};
use crate::invariant::{Invariant, ensure};
use crate::log::EventCode;
use crate::message::Message;
use crate::time::Time;

/// Time within which the hosts of the target servers have to accept a handover of shards.
const SHARD_HANDOVER_TIMEOUT: Duration = Duration::from_millis(200);

impl Host {
    pub(super) fn advance_moves(&mut self) {
        let servers: Vec<ServerKey> = self.controlled_servers.keys().copied().collect();
        for server in servers {
            let step = self.shard_move(server).map(|shard_move| shard_move.step);
            match step {
                Some(MoveStep::Draining) => self.drain_move(server),
                Some(MoveStep::Releasing) => self.release_shards(server),
                Some(MoveStep::Transferring) => self.hand_over_shards(server),
                Some(MoveStep::Writing) => self.write_move(server),
                None => {}
            }
        }
        self.write_provisional_owners();
    }

    /// Handles the reply to one of the handovers of a move.
    pub(super) fn handle_move_reply(&mut self, id: u64, accepted: bool) {
        let awaits = |shard_move: &ShardMove| shard_move.pending_handovers.contains_key(&id);
        let server = self
            .controlled_servers
            .iter()
            .find(|(_, control)| control.shard_move.as_ref().is_some_and(awaits))
            .map(|(server, _)| *server);
        let Some(server) = server else {
            return;
        };
        if accepted {
            if let Some(shard_move) = self.shard_move_mut(server) {
                shard_move.pending_handovers.remove(&id);
            }
            self.hand_over_shards(server);
        } else {
            self.handle_failed_handover(server, id);
        }
    }

    pub(super) fn shard_move(&self, server: ServerKey) -> Option<&ShardMove> {
        self.controlled_servers.get(&server)?.shard_move.as_ref()
    }

    pub(super) fn shard_move_mut(&mut self, server: ServerKey) -> Option<&mut ShardMove> {
        self.controlled_servers
            .get_mut(&server)?
            .shard_move
            .as_mut()
    }

    /// Whether a move off the server has reached the step in which it may be in the store already.
    pub(super) fn is_move_being_written(&self, server: ServerKey) -> bool {
        self.shard_move(server)
            .is_some_and(|shard_move| shard_move.step == MoveStep::Writing)
    }

    pub(super) fn begin_move(&mut self, server: ServerKey, plan: MovePlan, step: MoveStep) {
        let Some(info) = self.view.servers.get(server) else {
            return;
        };
        if plan.is_empty() {
            return;
        }
        ensure(
            Invariant::WrittenMoveStands,
            !self.is_move_being_written(server),
        );
        let (entry, region) = (info.entry, info.region);
        let mut shards = BTreeMap::new();
        for (index, target) in plan {
            let next = self.next_owner(ShardKey::new(entry, region, index), target);
            shards.insert(index, (target, next.epoch));
        }
        let shard_move = ShardMove {
            id: self.allocate_id(),
            step,
            shards,
            pending_handovers: BTreeMap::new(),
            handovers_sent: false,
            proposed_at: Time::ZERO,
            control_check: None,
            step_started: self.now,
        };
        if let Some(control) = self.controlled_servers.get_mut(&server) {
            control.shard_move = Some(shard_move);
        }
        self.expedite_housekeeping();
        self.advance_moves();
    }

    pub(super) fn drain_move(&mut self, server: ServerKey) {
        let now = self.now;
        let Some(control) = self.controlled_servers.get(&server) else {
            return;
        };
        let Some(shard_move) = &control.shard_move else {
            return;
        };
        let shards: BTreeSet<u32> = shard_move.shards.keys().copied().collect();
        let busy = shards.iter().any(|index| control.has_running_order(*index));
        let may_still_run = control.orphaned_until.iter().any(|end| *end > now);
        let lost = control.phase == ControlPhase::Lost;
        self.reroute_waiting(server, |index| shards.contains(&index));
        if lost {
            self.set_move_step(server, MoveStep::Transferring);
        } else if !busy && !may_still_run {
            self.set_move_step(server, MoveStep::Releasing);
            self.call_register(server);
        }
    }

    pub(super) fn release_shards(&mut self, server: ServerKey) {
        let clock_margin = self.timing().clock_margin();
        let now = self.now;
        let Some(control) = self.controlled_servers.get(&server) else {
            return;
        };
        let Some(shard_move) = &control.shard_move else {
            return;
        };
        let may_hold = |index: &u32| {
            let confirmed = control.granted.contains_key(index);
            let offered = control.pending_shards.contains_key(index);
            let unconfirmed = control
                .unconfirmed
                .iter()
                .any(|(end, shards)| *end + clock_margin > now && shards.contains(index));
            confirmed || offered || unconfirmed
        };
        let confirmed_since = control.confirmed_at >= shard_move.step_started;
        let released = confirmed_since && !shard_move.shards.keys().any(may_hold);
        if released || control.phase == ControlPhase::Lost {
            self.set_move_step(server, MoveStep::Transferring);
            self.hand_over_shards(server);
        } else if !confirmed_since {
            self.call_register(server);
        }
    }

    pub(super) fn hand_over_shards(&mut self, server: ServerKey) {
        let Some(shard_move) = self.shard_move(server) else {
            return;
        };
        if shard_move.step != MoveStep::Transferring {
            return;
        }
        if !shard_move.handovers_sent {
            self.offer_move(server);
            return;
        }
        if shard_move.pending_handovers.is_empty() {
            self.set_move_step(server, MoveStep::Writing);
            self.write_move(server);
        } else if self.now.since(shard_move.step_started) > SHARD_HANDOVER_TIMEOUT {
            let overdue = shard_move.pending_handovers.keys().next().copied();
            if let Some(id) = overdue {
                self.handle_failed_handover(server, id);
            }
        }
    }

    /// Sends each target's host the ledger records of the shards that the target receives.
    pub(super) fn offer_move(&mut self, server: ServerKey) {
        let Some(info) = self.view.servers.get(server) else {
            return;
        };
        let (entry, region) = (info.entry, info.region);
        let Some(control) = self.controlled_servers.get(&server) else {
            return;
        };
        let source = control.token;
        let Some(shard_move) = &control.shard_move else {
            return;
        };
        let mut by_target: BTreeMap<ServerKey, Vec<(u32, Epoch)>> = BTreeMap::new();
        for (index, (target, epoch)) in &shard_move.shards {
            by_target.entry(*target).or_default().push((*index, *epoch));
        }
        let mut pending = BTreeMap::new();
        for (target, shards) in by_target {
            let Some(host) = self.view.controller(target) else {
                self.cancel_move(server, target);
                return;
            };
            if host == self.settings.id {
                let phase = self
                    .controlled_servers
                    .get(&target)
                    .map(|control| control.phase);
                if phase != Some(ControlPhase::Active) {
                    self.cancel_move(server, target);
                    return;
                }
                continue;
            }
            let keys: Vec<ShardKey> = shards
                .iter()
                .map(|(index, _)| ShardKey::new(entry, region, *index))
                .collect();
            let id = self.allocate_id();
            let message = Message::Handover {
                id,
                source,
                server: self.server_name(target),
                control: None,
                shards,
                ledger: self.ledger_batch(&keys),
            };
            pending.insert(id, target);
            self.send(host, message);
        }
        let now = self.now;
        if let Some(shard_move) = self.shard_move_mut(server) {
            shard_move.pending_handovers = pending;
            shard_move.handovers_sent = true;
            shard_move.step_started = now;
        }
        self.hand_over_shards(server);
    }

    pub(super) fn set_move_step(&mut self, server: ServerKey, step: MoveStep) {
        let now = self.now;
        if let Some(shard_move) = self.shard_move_mut(server) {
            shard_move.step = step;
            shard_move.step_started = now;
        }
    }

    pub(super) fn finish_move(&mut self, server: ServerKey, code: EventCode) {
        let Some(control) = self.controlled_servers.get_mut(&server) else {
            return;
        };
        let Some(shard_move) = control.shard_move.take() else {
            return;
        };
        let still_granted = shard_move
            .shards
            .keys()
            .any(|index| control.granted.contains_key(index));
        ensure(
            Invariant::ReleasedFirst,
            control.phase == ControlPhase::Lost || !still_granted,
        );
        let name = self.server_name(server);
        let detail = format!("{} shards", shard_move.shards.len());
        self.log(code, name.clone(), detail.clone());
        self.write_audit_line("move", &name, &detail);
        self.close_ledger_shards();
        self.refresh_grants();
    }

    /// Cancels a move in which a handover was rejected or timed out.
    pub(super) fn handle_failed_handover(&mut self, server: ServerKey, id: u64) {
        let Some(shard_move) = self.shard_move(server) else {
            return;
        };
        let target = shard_move.pending_handovers.get(&id).copied();
        if shard_move.step != MoveStep::Transferring {
            return;
        }
        if let Some(target) = target {
            self.cancel_move(server, target);
        }
    }

    /// Cancels a move, and excludes the target from plans for [`HANDOVER_BACKOFF`].
    pub(super) fn cancel_move(&mut self, server: ServerKey, target: ServerKey) {
        self.backoff_until
            .insert(target, self.now + HANDOVER_BACKOFF);
        if let Some(control) = self.controlled_servers.get_mut(&server) {
            control.shard_move = None;
        }
    }
}
