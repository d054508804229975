//! Whether a host may give orders, and what it has promised to others.

use std::time::Duration;

use crate::ids::HostId;
use crate::invariant::{Invariant, ensure};
use crate::time::Time;

/// Evidence that nobody has taken over from this host.
///
/// Each kind of evidence counts from when the question was sent, never from when the answer
/// came; see `docs/design.md`, "Validity".
#[derive(Clone, Copy, Debug, Default)]
pub struct Validity {
    store: Time,
    promise: Time,
}

impl Validity {
    /// The store had this host on record for a read sent at this time.
    pub fn confirm_by_store(&mut self, sent: Time) {
        self.store = self.store.max(sent);
    }

    /// The successor promised, for a heartbeat sent at this time.
    pub fn confirm_by_promise(&mut self, sent: Time) {
        self.promise = self.promise.max(sent);
    }

    /// Forgets everything, because the host is no longer on record.
    pub fn revoke(&mut self) {
        *self = Self::default();
    }

    /// Forgets promises, because the successor changed.
    pub fn forget_promises(&mut self) {
        self.promise = Time::ZERO;
    }

    /// When the newest promise was asked for.
    pub fn promised(&self) -> Time {
        self.promise
    }

    /// When the host stops being valid.
    pub fn until(&self, span: Duration) -> Time {
        let newest = self.store.max(self.promise);
        if newest == Time::ZERO {
            return Time::ZERO;
        }
        newest + span
    }
}

/// What this host owes a host that named it as its successor.
#[derive(Clone, Copy, Debug)]
pub struct Ward {
    /// The other host.
    pub host: HostId,
    /// The term of the record that names this host.
    pub term: u64,
    /// When the other host was heard last.
    pub heard: Time,
    promised: Time,
    closed: bool,
}

impl Ward {
    /// Starts to watch a host.
    ///
    /// Its last successor may promise for as long as it is valid itself, so the watch begins as
    /// if a promise had been given at the end of that span.
    pub fn new(host: HostId, term: u64, now: Time, validity: Duration) -> Self {
        Self {
            host,
            term,
            heard: now,
            promised: now + validity,
            closed: false,
        }
    }

    /// Whether a promise may be given; gives it if so.
    pub fn promise(&mut self, term: u64, now: Time) -> bool {
        if self.closed || term != self.term {
            return false;
        }
        ensure(Invariant::PromiseKept, !self.closed);
        self.promised = self.promised.max(now);
        true
    }

    /// Stops promising, because a takeover begins.
    pub fn close(&mut self) {
        self.closed = true;
    }

    /// Promises again, because the takeover did not take effect.
    pub fn reopen(&mut self) {
        self.closed = false;
    }

    /// Whether a takeover is under way.
    pub fn is_closed(&self) -> bool {
        self.closed
    }

    /// When the last promise was given.
    pub fn promised(&self) -> Time {
        self.promised
    }
}
