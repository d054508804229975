//! The last question before a move is written, and the end of a move.

use std::collections::BTreeSet;

use super::Host;
use crate::control::{Guard, Move, MoveStep};
use crate::ids::{Epoch, Revision, ServerKey};
use crate::log::Code;
use crate::time::Time;

impl Host {
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

    /// Asks whether this host still controls the server, and writes the move after that.
    ///
    /// The placement's revision is taken before the question, so a successor that takes over
    /// later touches a revision that the write no longer fits.
    pub(super) fn write_move(&mut self, server: ServerKey) {
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
            moving.guard = Some(Guard {
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

    /// Whether the stored placement has come as far as a move that is being written.
    pub(super) fn is_stored(&self, server: ServerKey, moving: &Move) -> bool {
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
}
