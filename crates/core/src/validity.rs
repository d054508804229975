//! Whether a host may send orders, and the promises that it gave to other hosts.

use std::time::Duration;

use crate::ids::HostId;
use crate::invariant::{Invariant, ensure};
use crate::time::Time;

/// Evidence that no other host has taken over from this one.
///
/// Evidence counts from when the query was sent, never from when the answer arrived; see
/// `docs/design.md`, "Validity".
#[derive(Clone, Copy, Debug, Default)]
pub struct Validity {
    query_sent: Time,
    heartbeat_sent: Time,
}

impl Validity {
    /// Records that the store listed this host, for a call that was sent at this time.
    pub fn confirm_by_store(&mut self, sent: Time) {
        self.query_sent = self.query_sent.max(sent);
    }

    /// Records the successor's promise for a heartbeat sent at this time.
    pub fn confirm_by_promise(&mut self, sent: Time) {
        self.heartbeat_sent = self.heartbeat_sent.max(sent);
    }

    /// Drops all evidence, for a host that is no longer in its region's record.
    pub fn revoke(&mut self) {
        *self = Self::default();
    }

    /// Drops promises, for a host whose successor changed.
    pub fn forget_promises(&mut self) {
        self.heartbeat_sent = Time::ZERO;
    }

    /// When the heartbeat of the newest promise was sent.
    pub fn promise_requested(&self) -> Time {
        self.heartbeat_sent
    }

    /// When the validity ends, if evidence counts for `span`; [`Time::ZERO`] without evidence.
    pub fn until(&self, span: Duration) -> Time {
        let newest = self.query_sent.max(self.heartbeat_sent);
        if newest == Time::ZERO {
            return Time::ZERO;
        }
        newest + span
    }
}

/// A host whose successor is this host, and the promises given to it.
#[derive(Clone, Copy, Debug)]
pub struct Predecessor {
    /// The watched host.
    pub host: HostId,
    /// The term of the watched host's record that names this host as successor.
    pub term: u64,
    /// When a message from the watched host last arrived.
    pub last_heard: Time,
    last_promise: Time,
    taking_over: bool,
}

impl Predecessor {
    /// Starts to watch a host.
    ///
    /// The previous successor may give promises while it is valid itself, so the last promise is
    /// initialized to the end of that span.
    pub fn new(host: HostId, term: u64, now: Time, validity: Duration) -> Self {
        Self {
            host,
            term,
            last_heard: now,
            last_promise: now + validity,
            taking_over: false,
        }
    }

    /// Gives a promise if one may be given; returns whether it did.
    pub fn try_promise(&mut self, term: u64, now: Time) -> bool {
        if self.taking_over || term != self.term {
            return false;
        }
        ensure(Invariant::PromiseKept, !self.taking_over);
        self.last_promise = self.last_promise.max(now);
        true
    }

    /// Stops giving promises; called before a takeover.
    pub fn start_takeover(&mut self) {
        self.taking_over = true;
    }

    /// Allows promises again after a takeover that did not take effect.
    pub fn cancel_takeover(&mut self) {
        self.taking_over = false;
    }

    /// Whether a takeover is in progress, so that no promise is given.
    pub fn is_being_taken_over(&self) -> bool {
        self.taking_over
    }

    /// When the last promise was given, or may have been by the previous successor.
    pub fn promised_at(&self) -> Time {
        self.last_promise
    }
}
