//! Timers of a host.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::ids::{RequestId, ServerKey};
use crate::time::Time;

/// The action that a timer triggers.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum TimerKind {
    /// Send a heartbeat, and check the successor and the hosts whose successor this host is.
    Heartbeat,
    /// Compare configuration revisions with another host.
    Gossip,
    /// Renew a backend server's lease or let it expire.
    Renew(ServerKey),
    /// Run periodic work: parked requests, shard moves, records.
    Housekeeping,
    /// The deadline of a caller's request has passed.
    Deadline(RequestId),
    /// The deadline of a request in a server's queue has passed.
    Queue(ServerKey),
}

/// Pending timers, ordered by due time.
#[derive(Debug, Default)]
pub struct Timers {
    heap: BinaryHeap<Reverse<(Time, TimerKind)>>,
}

impl Timers {
    /// Adds a timer.
    pub fn subscribe(&mut self, due: Time, kind: TimerKind) {
        self.heap.push(Reverse((due, kind)));
    }

    /// The earliest due time.
    pub fn next_due(&self) -> Option<Time> {
        self.heap.peek().map(|Reverse((due, _))| *due)
    }

    /// Removes and returns the earliest timer if it is due.
    pub fn pop_due(&mut self, now: Time) -> Option<TimerKind> {
        let Reverse((due, kind)) = self.heap.peek().copied()?;
        if due > now {
            return None;
        }
        self.heap.pop();
        Some(kind)
    }
}
