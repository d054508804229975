//! The timer service that parts of a host subscribe to.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::ids::{RequestId, ServerKey};
use crate::time::Time;

/// What a subscriber is woken for.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Wake {
    /// Send a heartbeat and check the successor and the hosts that named this one.
    Heartbeat,
    /// Compare configuration revisions with another host.
    Gossip,
    /// Renew or end a backend server's lease.
    Renew(ServerKey),
    /// Look for work that waits: parked requests, moves, records.
    Housekeeping,
    /// A request's deadline.
    Deadline(RequestId),
    /// A request in charge of this host has reached its deadline in the queue of a server.
    Queue(ServerKey),
}

/// Subscriptions by due time.
#[derive(Debug, Default)]
pub struct Timers {
    heap: BinaryHeap<Reverse<(Time, Wake)>>,
}

impl Timers {
    /// Subscribes to a time.
    pub fn subscribe(&mut self, due: Time, wake: Wake) {
        self.heap.push(Reverse((due, wake)));
    }

    /// The earliest subscribed time.
    pub fn next_due(&self) -> Option<Time> {
        self.heap.peek().map(|Reverse((due, _))| *due)
    }

    /// Takes out one subscription whose time has come.
    pub fn pop_due(&mut self, now: Time) -> Option<Wake> {
        let Reverse((due, wake)) = self.heap.peek().copied()?;
        if due > now {
            return None;
        }
        self.heap.pop();
        Some(wake)
    }
}
