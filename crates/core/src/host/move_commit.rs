//! The control check before a move is written, and the completion of a move.

use std::collections::BTreeSet;

use super::Host;
use crate::control::{Guard, Move, MoveStep};
use crate::ids::{Epoch, Revision, ServerKey};
use crate::log::Code;
use crate::time::Time;

impl Host {
    /// Passes the control checks that are covered by an answered read of the region's record.
    pub(super) fn pass_control_checks(&mut self, sent: Time) {
        let servers: Vec<ServerKey> = self.controls.keys().copied().collect();
        let mut passed = BTreeSet::new();
        for server in servers {
            let Some(info) = self.view.servers.get(server) else {
                continue;
            };
            let placement = (info.entry, info.region);
            let moving = self
                .controls
                .get_mut(&server)
                .and_then(|c| c.moving.as_mut());
            if let Some(guard) = moving.and_then(|moving| moving.guard.as_mut())
                && guard.asked <= sent
            {
                guard.passed = true;
                passed.insert(placement);
            }
        }
        for (entry, region) in passed {
            self.write_placement(entry, region);
        }
    }

    /// Resets the control checks after a read of the region's record failed.
    pub(super) fn reset_control_checks(&mut self) {
        let mut failed = Vec::new();
        for (server, control) in &mut self.controls {
            if let Some(moving) = control.moving.as_mut()
                && moving.step == MoveStep::Writing
            {
                moving.guard = None;
                failed.push((*server, moving.id));
            }
        }
        self.propose_provisional_owners(&failed);
    }

    /// Checks that this host still controls the server, then writes the move.
    ///
    /// The placement's revision is read before the check. A successor that takes over later
    /// touches the placement, so this host's conditional write then fails.
    pub(super) fn write_move(&mut self, server: ServerKey) {
        let Some(info) = self.view.servers.get(server) else {
            return;
        };
        let (entry, region) = (info.entry, info.region);
        let placement = self.view.placement(entry, region);
        let revision = placement.map_or(Revision(0), |placement| placement.revision);
        let now = self.now;
        let Some(moving) = self.moving_mut(server) else {
            return;
        };
        if moving
            .guard
            .as_ref()
            .is_none_or(|guard| guard.base != revision)
        {
            moving.guard = Some(Guard {
                base: revision,
                asked: now,
                passed: false,
            });
        }
        let passed = moving.guard.as_ref().is_some_and(|guard| guard.passed);
        if passed {
            self.write_placement(entry, region);
        } else {
            self.read_object(self.region_key());
        }
    }

    /// Whether the stored placement already includes a move that is being written.
    pub(super) fn is_move_stored(&self, server: ServerKey, moving: &Move) -> bool {
        let Some(info) = self.view.servers.get(server) else {
            return false;
        };
        let Some(placement) = self.view.placement(info.entry, info.region) else {
            return false;
        };
        let is_reached = |index: &u32, epoch: Epoch| {
            let owner = placement.owners.get(*index as usize);
            owner.is_some_and(|owner| owner.epoch >= epoch)
        };
        moving.step == MoveStep::Writing
            && moving
                .shards
                .iter()
                .all(|(index, (_, epoch))| is_reached(index, *epoch))
    }

    /// Completes moves that are in the store although their write was not confirmed.
    pub(super) fn complete_stored_moves(&mut self) {
        let stored: Vec<ServerKey> = self
            .controls
            .iter()
            .filter(|(server, control)| {
                let moving = control.moving.as_ref();
                moving.is_some_and(|moving| self.is_move_stored(**server, moving))
            })
            .map(|(server, _)| *server)
            .collect();
        for server in stored {
            self.finish_move(server, Code::ShardsMoved);
        }
    }
}
