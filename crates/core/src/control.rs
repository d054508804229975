//! Per-server state of the backend servers that this host controls.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{CallId, Epoch, ExchangeId, FenceToken, HostId, Revision, ServerKey, ShardKey};
use crate::limiter::Limiter;
use crate::queue::Queue;
use crate::request::Request;
use crate::time::Time;

/// Where the outcome of a request is returned.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Origin {
    /// A caller of this host.
    Caller(crate::ids::RequestId),
    /// Another host, with the request ID that it assigned.
    Peer(HostId, crate::ids::RequestId),
}

/// A request held by the host that controls its shard's owner.
#[derive(Clone, Debug)]
pub struct Job {
    /// Where its outcome is returned.
    pub origin: Origin,
    /// The request that the shard's owner is to run.
    pub request: Request,
    /// The shard of its key.
    pub shard: ShardKey,
}

/// An order that was sent to a server and has not ended.
#[derive(Clone, Debug)]
pub struct RunningOrder {
    /// The request that the order was sent for.
    pub job: Job,
    /// The server's boot number when the order was sent.
    pub boot: u64,
    /// When the order was sent.
    pub started: Time,
    /// When the server aborts the order.
    pub deadline: Time,
}

/// The state of this host's control over a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ControlPhase {
    /// The previous controller may still be valid until this time.
    Waiting(Time),
    /// Orders may be sent.
    Active,
    /// The server does not respond and its last lease has expired.
    Lost,
    /// Control is being handed over to another host.
    HandingOver,
}

/// A call to the server's fence register that is still pending.
#[derive(Clone, Copy, Debug)]
pub struct RegisterCall {
    /// The ID under which its result is returned.
    pub call: CallId,
    /// When it was made.
    pub sent: Time,
    /// The grant's sequence number and lease expiry; `None` for a query.
    pub grant: Option<(u64, Time)>,
}

/// A move of shards from one server to others.
#[derive(Clone, Debug)]
pub struct ShardMove {
    /// Number of the move, unique on this host; the result of a proposal or a placement write that
    /// names another move is ignored.
    pub id: u64,
    /// The current step.
    pub step: MoveStep,
    /// Target server and new epoch of each shard.
    pub shards: BTreeMap<u32, (ServerKey, Epoch)>,
    /// Handovers that are not acknowledged yet, by number, with their target servers.
    pub pending_handovers: BTreeMap<u64, ServerKey>,
    /// Whether the handover messages were sent to the hosts that control the targets.
    pub handovers_sent: bool,
    /// When the new owners were last sent to the successor.
    pub proposed_at: Time,
    /// The check that precedes the placement write.
    pub control_check: Option<ControlCheck>,
    /// When the current step began.
    pub step_started: Time,
}

/// A check that this host still controls a server, made before a move is written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ControlCheck {
    /// The placement's revision before the check.
    pub base_revision: Revision,
    /// When the check was sent.
    pub sent_at: Time,
    /// Whether control was confirmed.
    pub confirmed: bool,
}

/// The steps of a move, in order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MoveStep {
    /// Waits for running orders of the shards to end.
    Draining,
    /// Waits for the server to release the shards.
    Releasing,
    /// Transfers the shards' ledger records to the hosts that control the targets.
    Transferring,
    /// Writes the new owners to the object store.
    Writing,
}

/// The state of one backend server under this host's control.
#[derive(Debug)]
pub struct ControlledServer {
    /// The server's key in [`crate::view::View::servers`].
    pub server: ServerKey,
    /// The fence token of this control.
    pub token: FenceToken,
    /// The state of this control.
    pub phase: ControlPhase,
    /// The server's boot number; `None` until the register first answers.
    pub boot: Option<u64>,
    /// The latest expiry of any lease that the server may hold.
    pub lease_until: Time,
    /// The expiry of the newest lease that the server confirmed.
    pub confirmed_until: Time,
    /// When the newest grant that the server confirmed was sent.
    pub confirmed_at: Time,
    /// Shards in the newest grant that the server confirmed.
    pub granted: BTreeMap<u32, Epoch>,
    /// Shards of grants that may have arrived without a confirmation, with their lease expiry.
    pub unconfirmed: Vec<(Time, BTreeSet<u32>)>,
    /// The sequence number of the newest grant.
    pub sequence: u64,
    /// The pending call to the fence register.
    pub register_call: Option<RegisterCall>,
    /// Shards of the grant in the pending call.
    pub pending_shards: BTreeMap<u32, Epoch>,
    /// When control began.
    pub gained_at: Time,
    /// When the register last answered.
    pub answered_at: Time,
    /// The adaptive limit on concurrent orders.
    pub limiter: Limiter,
    /// Until when the server gets no more shards because it was slow.
    pub slow_until: Time,
    /// Requests that wait for a free slot.
    pub queue: Queue<Job>,
    /// Orders that were sent to the server and have not ended.
    pub running: BTreeMap<ExchangeId, RunningOrder>,
    /// Deadlines of orders whose exchange broke off and that may still run.
    pub orphaned_until: Vec<Time>,
    /// How many orders of the previous controller may still run, and until when.
    pub inherited_orders: (u32, Time),
    /// The move of shards off this server that is in progress.
    pub shard_move: Option<ShardMove>,
    /// Since when the server has been draining.
    pub draining: Option<Time>,
    /// Whether the register has to be queried before the next grant.
    pub needs_query: bool,
}

impl ControlledServer {
    /// Whether orders for a shard may be sent to the server now.
    pub fn can_serve(&self, index: u32, now: Time) -> bool {
        let moving_out = self
            .shard_move
            .as_ref()
            .is_some_and(|shard_move| shard_move.shards.contains_key(&index));
        self.phase == ControlPhase::Active
            && !moving_out
            && self.granted.contains_key(&index)
            && self.confirmed_until > now
    }

    /// Orders that count against the limit: running ones and those that may still run.
    pub fn load(&self, now: Time) -> usize {
        let (inherited, until) = self.inherited_orders;
        let inherited = if until > now { inherited as usize } else { 0 };
        let orphaned = self
            .orphaned_until
            .iter()
            .filter(|deadline| **deadline > now)
            .count();
        self.running.len() + orphaned + inherited
    }

    /// Whether an order for the shard is running.
    pub fn has_running_order(&self, index: u32) -> bool {
        self.running
            .values()
            .any(|running| running.job.shard.index == index)
    }
}
