//! Moves of shards from one server to others.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{HANDOVER_BACKOFF, Host};
use crate::balance::Plan;
use crate::control::{Move, MoveStep, Phase};
use crate::ids::{Epoch, ServerKey, ShardKey};
use crate::invariant::{Invariant, ensure};
use crate::log::Code;
use crate::message::Message;
use crate::time::Time;

/// Time within which the hosts of the target servers have to accept a move.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(200);

impl Host {
    pub(super) fn advance_moves(&mut self) {
        let servers: Vec<ServerKey> = self.controls.keys().copied().collect();
        for server in servers {
            let step = self.moving(server).map(|moving| moving.step);
            match step {
                Some(MoveStep::Draining) => self.drain_move(server),
                Some(MoveStep::Releasing) => self.release_shards(server),
                Some(MoveStep::Handing) => self.hand_over_shards(server),
                Some(MoveStep::Writing) => self.write_move(server),
                None => {}
            }
        }
        self.write_provisional_owners();
    }

    /// Handles the reply to one of the hand-overs of a move.
    pub(super) fn handle_move_reply(&mut self, id: u64, accepted: bool) {
        let awaits = |moving: &Move| moving.awaited.contains_key(&id);
        let server = self
            .controls
            .iter()
            .find(|(_, control)| control.moving.as_ref().is_some_and(awaits))
            .map(|(server, _)| *server);
        let Some(server) = server else {
            return;
        };
        if accepted {
            if let Some(moving) = self.moving_mut(server) {
                moving.awaited.remove(&id);
            }
            self.hand_over_shards(server);
        } else {
            self.abort_move(server, id);
        }
    }

    pub(super) fn moving(&self, server: ServerKey) -> Option<&Move> {
        self.controls.get(&server)?.moving.as_ref()
    }

    pub(super) fn moving_mut(&mut self, server: ServerKey) -> Option<&mut Move> {
        self.controls.get_mut(&server)?.moving.as_mut()
    }

    /// Whether a move off the server has reached the step in which it may be in the store already.
    pub(super) fn is_move_being_written(&self, server: ServerKey) -> bool {
        self.moving(server)
            .is_some_and(|moving| moving.step == MoveStep::Writing)
    }

    pub(super) fn begin_move(&mut self, server: ServerKey, plan: Plan, step: MoveStep) {
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
        let moving = Move {
            id: self.allocate_id(),
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
        self.expedite_housekeeping();
        self.advance_moves();
    }

    pub(super) fn drain_move(&mut self, server: ServerKey) {
        let now = self.now;
        let Some(control) = self.controls.get(&server) else {
            return;
        };
        let Some(moving) = &control.moving else {
            return;
        };
        let shards: BTreeSet<u32> = moving.shards.keys().copied().collect();
        let busy = shards.iter().any(|index| control.is_busy_with(*index));
        let may_still_run = control.ghosts.iter().any(|end| *end > now);
        let lost = control.phase == Phase::Lost;
        self.reroute_waiting(server, |index| shards.contains(&index));
        if lost {
            self.set_move_step(server, MoveStep::Handing);
        } else if !busy && !may_still_run {
            self.set_move_step(server, MoveStep::Releasing);
            self.call_register(server);
        }
    }

    pub(super) fn release_shards(&mut self, server: ServerKey) {
        let drift = self.timing().drift();
        let now = self.now;
        let Some(control) = self.controls.get(&server) else {
            return;
        };
        let Some(moving) = &control.moving else {
            return;
        };
        let may_hold = |index: &u32| {
            let confirmed = control.granted.contains_key(index);
            let offered = control.offered.contains_key(index);
            let unconfirmed = control
                .unconfirmed
                .iter()
                .any(|(end, shards)| *end + drift > now && shards.contains(index));
            confirmed || offered || unconfirmed
        };
        let confirmed_since = control.confirmed_at >= moving.since;
        let released = confirmed_since && !moving.shards.keys().any(may_hold);
        if released || control.phase == Phase::Lost {
            self.set_move_step(server, MoveStep::Handing);
            self.hand_over_shards(server);
        } else if !confirmed_since {
            self.call_register(server);
        }
    }

    pub(super) fn hand_over_shards(&mut self, server: ServerKey) {
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
        } else if self.now.since(moving.since) > HANDOVER_TIMEOUT {
            let overdue = moving.awaited.keys().next().copied();
            if let Some(id) = overdue {
                self.abort_move(server, id);
            }
        }
    }

    /// Sends each target's host the ledger records of the shards that the target receives.
    pub(super) fn offer_move(&mut self, server: ServerKey) {
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
                self.cancel_move(server, target);
                return;
            };
            if host == self.settings.id {
                let phase = self.controls.get(&target).map(|control| control.phase);
                if phase != Some(Phase::Active) {
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
        self.hand_over_shards(server);
    }

    pub(super) fn set_move_step(&mut self, server: ServerKey, step: MoveStep) {
        let now = self.now;
        if let Some(moving) = self.moving_mut(server) {
            moving.step = step;
            moving.since = now;
        }
    }

    pub(super) fn finish_move(&mut self, server: ServerKey, code: Code) {
        let Some(control) = self.controls.get_mut(&server) else {
            return;
        };
        let Some(moving) = control.moving.take() else {
            return;
        };
        let still_granted = moving
            .shards
            .keys()
            .any(|index| control.granted.contains_key(index));
        ensure(
            Invariant::ReleasedFirst,
            control.phase == Phase::Lost || !still_granted,
        );
        let name = self.server_name(server);
        let detail = format!("{} shards", moving.shards.len());
        self.log(code, name.clone(), detail.clone());
        self.write_audit_line("move", &name, &detail);
        self.close_ledger_shards();
        self.refresh_grants();
    }

    /// Cancels a move because one of its hand-overs was declined or timed out.
    pub(super) fn abort_move(&mut self, server: ServerKey, id: u64) {
        let Some(moving) = self.moving(server) else {
            return;
        };
        let target = moving.awaited.get(&id).copied();
        if moving.step != MoveStep::Handing {
            return;
        }
        if let Some(target) = target {
            self.cancel_move(server, target);
        }
    }

    pub(super) fn cancel_move(&mut self, server: ServerKey, target: ServerKey) {
        self.backoff_until
            .insert(target, self.now + HANDOVER_BACKOFF);
        if let Some(control) = self.controls.get_mut(&server) {
            control.moving = None;
        }
    }
}
