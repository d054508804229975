//! Shards that change their owner.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{AVOIDANCE, Host};
use crate::balance::Plan;
use crate::control::{Move, MoveStep, Phase};
use crate::ids::{Epoch, ServerKey, ShardKey};
use crate::invariant::{Invariant, ensure};
use crate::log::Code;
use crate::message::Message;
use crate::time::Time;

/// Time within which the hosts of the targets have to take a move.
const ANSWER: Duration = Duration::from_millis(200);

impl Host {
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

    pub(super) fn moving(&self, server: ServerKey) -> Option<&Move> {
        self.controls.get(&server)?.moving.as_ref()
    }

    pub(super) fn moving_mut(&mut self, server: ServerKey) -> Option<&mut Move> {
        self.controls.get_mut(&server)?.moving.as_mut()
    }

    /// Whether a move off the server has come so far that the store may know it.
    pub(super) fn is_written(&self, server: ServerKey) -> bool {
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
        ensure(Invariant::WrittenMoveStands, !self.is_written(server));
        let (entry, region) = (info.entry, info.region);
        let mut shards = BTreeMap::new();
        for (index, target) in plan {
            let next = self.next_owner(ShardKey::new(entry, region, index), target);
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

    pub(super) fn drain(&mut self, server: ServerKey) {
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

    pub(super) fn release(&mut self, server: ServerKey) {
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

    pub(super) fn hand(&mut self, server: ServerKey) {
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
                .map(|(index, _)| ShardKey::new(entry, region, *index))
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

    /// Gives up a move because one of its hand-overs was not taken.
    pub(super) fn abort_move(&mut self, server: ServerKey, id: u64) {
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

    pub(super) fn forget_move(&mut self, server: ServerKey, target: ServerKey) {
        self.avoided.insert(target, self.now + AVOIDANCE);
        if let Some(control) = self.controls.get_mut(&server) {
            control.moving = None;
        }
    }
}
