//! The control check before a move is written, and the completion of stored moves.

use std::collections::BTreeSet;

use super::Host;
use crate::control::{ControlCheck, MoveStep, ShardMove};
use crate::ids::{Epoch, Revision, ServerKey};
use crate::log::EventCode;
use crate::time::Time;

impl Host {
    /// Confirms the control checks that began before a read of the region's record was sent.
    ///
    /// The record has been applied already, so the remaining servers are still under this host's
    /// control.
    pub(super) fn confirm_control_checks(&mut self, sent: Time) {
        let servers: Vec<ServerKey> = self.controlled_servers.keys().copied().collect();
        let mut confirmed = BTreeSet::new();
        for server in servers {
            let Some(info) = self.view.servers.get(server) else {
                continue;
            };
            let placement = (info.entry, info.region);
            let shard_move = self
                .controlled_servers
                .get_mut(&server)
                .and_then(|c| c.shard_move.as_mut());
            if let Some(check) = shard_move.and_then(|shard_move| shard_move.control_check.as_mut())
                && check.sent_at <= sent
            {
                check.confirmed = true;
                confirmed.insert(placement);
            }
        }
        for (entry, region) in confirmed {
            self.write_placement(entry, region);
        }
    }

    /// Resets the control checks after a read of the region's record failed, and proposes the moves
    /// of lost servers as provisional owners instead.
    pub(super) fn reset_control_checks(&mut self) {
        let mut failed = Vec::new();
        for (server, control) in &mut self.controlled_servers {
            if let Some(shard_move) = control.shard_move.as_mut()
                && shard_move.step == MoveStep::Writing
            {
                shard_move.control_check = None;
                failed.push((*server, shard_move.id));
            }
        }
        self.propose_provisional_owners(&failed);
    }

    /// Checks that this host still controls the server, then writes the move.
    ///
    /// The placement's revision is read before the check. A successor that takes over later
    /// raises the placement's takeover counter, so this host's conditional write then fails.
    pub(super) fn write_move(&mut self, server: ServerKey) {
        let Some(info) = self.view.servers.get(server) else {
            return;
        };
        let (entry, region) = (info.entry, info.region);
        let placement = self.view.placement(entry, region);
        let revision = placement.map_or(Revision(0), |placement| placement.revision);
        let now = self.now;
        let Some(shard_move) = self.shard_move_mut(server) else {
            return;
        };
        if shard_move
            .control_check
            .as_ref()
            .is_none_or(|check| check.base_revision != revision)
        {
            shard_move.control_check = Some(ControlCheck {
                base_revision: revision,
                sent_at: now,
                confirmed: false,
            });
        }
        let confirmed = shard_move
            .control_check
            .as_ref()
            .is_some_and(|check| check.confirmed);
        if confirmed {
            self.write_placement(entry, region);
        } else {
            self.read_object(self.region_key());
        }
    }

    /// Whether the stored placement already includes a move that is being written.
    pub(super) fn is_move_stored(&self, server: ServerKey, shard_move: &ShardMove) -> bool {
        let Some(info) = self.view.servers.get(server) else {
            return false;
        };
        let Some(placement) = self.view.placement(info.entry, info.region) else {
            return false;
        };
        let is_stored = |index: &u32, epoch: Epoch| {
            let owner = placement.owners.get(*index as usize);
            owner.is_some_and(|owner| owner.epoch >= epoch)
        };
        shard_move.step == MoveStep::Writing
            && shard_move
                .shards
                .iter()
                .all(|(index, (_, epoch))| is_stored(index, *epoch))
    }

    /// Completes moves that are in the store although their write was not confirmed.
    pub(super) fn complete_stored_moves(&mut self) {
        let stored: Vec<ServerKey> = self
            .controlled_servers
            .iter()
            .filter(|(server, control)| {
                let shard_move = control.shard_move.as_ref();
                shard_move.is_some_and(|shard_move| self.is_move_stored(**server, shard_move))
            })
            .map(|(server, _)| *server)
            .collect();
        for server in stored {
            self.finish_move(server, EventCode::ShardsMoved);
        }
    }
}
