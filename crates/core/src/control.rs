//! One backend server under this host's control.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{CallId, Epoch, ExchangeId, HostId, Revision, ServerKey, ShardKey, Token};
use crate::limiter::Limiter;
use crate::queue::Queue;
use crate::request::Request;
use crate::time::Time;

/// Whom a request's outcome goes back to.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Origin {
    /// A caller of this host.
    Caller(crate::ids::RequestId),
    /// Another host, under its own number of the request.
    Peer(HostId, crate::ids::RequestId),
}

/// A request in the hands of its host in charge.
#[derive(Clone, Debug)]
pub struct Job {
    /// Who waits for it.
    pub origin: Origin,
    /// The request.
    pub request: Request,
    /// The shard of its key.
    pub shard: ShardKey,
}

/// An order that a server has.
#[derive(Clone, Debug)]
pub struct Running {
    /// The request.
    pub job: Job,
    /// The boot number of the server's run that has it.
    pub boot: u64,
    /// When the order was given.
    pub started: Time,
    /// When the server stops working on it.
    pub deadline: Time,
}

/// How far this host is in controlling a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// The last controller may still be valid until this time.
    Waiting(Time),
    /// Orders may be given.
    Active,
    /// The server does not answer and its last lease has ended.
    Lost,
    /// Control is going to another host.
    Leaving,
}

/// A call to the server's register that has no answer yet.
#[derive(Clone, Copy, Debug)]
pub struct RegisterCall {
    /// The call.
    pub call: CallId,
    /// When it was made.
    pub sent: Time,
    /// The number of the grant and the end of its lease; `None` for a question.
    pub grant: Option<(u64, Time)>,
}

/// Shards on their way to other servers.
#[derive(Clone, Debug)]
pub struct Move {
    /// The hand-over or assignment number.
    pub id: u64,
    /// The step it has reached.
    pub step: MoveStep,
    /// Target and new epoch of each shard.
    pub shards: BTreeMap<u32, (ServerKey, Epoch)>,
    /// Hand-overs that have not been taken yet, by number, with their targets.
    pub awaited: BTreeMap<u64, ServerKey>,
    /// Whether the hosts of the targets have been sent their part.
    pub offered: bool,
    /// When the successor was last told of the new owners.
    pub told: Time,
    /// The check that goes before the write.
    pub guard: Option<Guard>,
    /// When the step began.
    pub since: Time,
}

/// The question whether this host still controls a server, asked before a move is written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Guard {
    /// The placement's revision before the question.
    pub base: Revision,
    /// When the question was asked.
    pub asked: Time,
    /// Whether the answer was yes.
    pub passed: bool,
}

/// The steps of a move, in order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MoveStep {
    /// Orders for the shards run to their end.
    Draining,
    /// The server is told to release the shards.
    Releasing,
    /// The hosts of the targets take the shards' records.
    Handing,
    /// The store is told the new owners.
    Writing,
}

/// What this host knows and does about one backend server.
#[derive(Debug)]
pub struct Control {
    /// The server.
    pub server: ServerKey,
    /// The fence token.
    pub token: Token,
    /// How far control has come.
    pub phase: Phase,
    /// The server's boot number, once known.
    pub boot: Option<u64>,
    /// The latest end of any lease that the server may hold.
    pub lease_until: Time,
    /// The end of the newest lease that the server confirmed.
    pub confirmed_until: Time,
    /// When the newest grant that the server confirmed was sent.
    pub confirmed_at: Time,
    /// Shards in the newest grant that the server confirmed.
    pub granted: BTreeMap<u32, Epoch>,
    /// Shards in grants that may have arrived unconfirmed, with the end of their lease.
    pub unconfirmed: Vec<(Time, BTreeSet<u32>)>,
    /// The number of the newest grant.
    pub sequence: u64,
    /// The open call to the register.
    pub call: Option<RegisterCall>,
    /// Shards in the open call.
    pub offered: BTreeMap<u32, Epoch>,
    /// When control began.
    pub gained: Time,
    /// When the register answered last.
    pub answered: Time,
    /// The admission limit.
    pub limiter: Limiter,
    /// Until when the server is given no shards because it was slow.
    pub slow_until: Time,
    /// Work that waits for a slot.
    pub queue: Queue<Job>,
    /// Orders that the server has.
    pub running: BTreeMap<ExchangeId, Running>,
    /// Ends of orders that broke off and may still run.
    pub ghosts: Vec<Time>,
    /// Orders of the last controller that may still run, and until when.
    pub inherited: (u32, Time),
    /// Shards on their way out.
    pub moving: Option<Move>,
    /// Since when the server has been about to leave.
    pub draining: Option<Time>,
    /// Whether the register has to be asked before the next grant.
    pub unsure: bool,
}

impl Control {
    /// Whether the server may be ordered work for a shard now.
    pub fn serves(&self, index: u32, now: Time) -> bool {
        let leaving = self
            .moving
            .as_ref()
            .is_some_and(|moving| moving.shards.contains_key(&index));
        self.phase == Phase::Active
            && !leaving
            && self.granted.contains_key(&index)
            && self.confirmed_until > now
    }

    /// Orders that count against the limit.
    pub fn load(&self, now: Time) -> usize {
        let (inherited, until) = self.inherited;
        let inherited = if until > now { inherited as usize } else { 0 };
        let ghosts = self.ghosts.iter().filter(|end| **end > now).count();
        self.running.len() + ghosts + inherited
    }

    /// Whether an order for the shard runs or may still run.
    pub fn is_busy_with(&self, index: u32) -> bool {
        self.running
            .values()
            .any(|running| running.job.shard.index == index)
    }
}
