//! Freshness of a host's copy of one kind of store object.
//!
//! The leader watches the store and relays changes. A follower needs no watch of its own while the
//! relayed data is fresh and without gaps. `docs/platform-path.md`, "Store calls", has the bounds
//! that these times follow from.

use std::time::Duration;

use super::store_revision::StoreRevision;
use crate::time::Time;

/// Maximum time since the store last answered the leader; beyond it, a host queries the store
/// itself.
///
/// A drain must be in effect 2.5 s after its acknowledgement; the remainder is for one store call.
const MAX_RELAY_AGE: Duration = Duration::from_millis(1_700);
/// Time after a read in which a host without a leader does not watch the store: a leader may be
/// found meanwhile.
const MAX_READ_AGE: Duration = Duration::from_millis(1_000);
/// Longest time for which a change may be in transit from the leader, with a margin for its send
/// queue.
const MAX_TRANSIT_TIME: Duration = Duration::from_millis(400);

/// How relayed changes relate to what is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RelayStatus {
    /// They follow what is known and must be applied.
    Next,
    /// All of them are known already.
    Known,
    /// Changes before them are missing.
    Gap,
}

/// The revision up to which one kind of store object is known, and the last one that the leader
/// has announced.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    complete: StoreRevision,
    change: StoreRevision,
    last_answer: Time,
    /// When this host last read anything from the store, be it stale.
    read_at: Time,
    announced: StoreRevision,
    announced_at: Time,
    confirmed_at: Option<Time>,
    /// The latest time at which nothing was missing.
    complete_at: Time,
}

impl Freshness {
    /// Records an answer of the store that is complete up to the revision `complete`.
    ///
    /// `change` is the revision of the last change in the answer, if there was one.
    pub fn record_read(
        &mut self,
        now: Time,
        complete: StoreRevision,
        change: Option<StoreRevision>,
    ) {
        self.complete = self.complete.max(complete);
        self.change = self.change.max(change.unwrap_or_default());
        self.last_answer = now;
        self.read_at = now;
        self.complete_at = now;
    }

    /// Records a read that may be some seconds old: it is complete up to its revision, but says
    /// nothing about what has changed since.
    pub fn record_stale_read(&mut self, now: Time, complete: StoreRevision) {
        self.read_at = now;
        self.complete = self.complete.max(complete);
        self.change = self.change.max(complete);
    }

    /// Records that the store does not have the history since the known revision, so that everything
    /// has to be read again. The era stays the same.
    pub fn record_history_lost(&mut self) {
        self.complete = StoreRevision::new(self.complete.era(), 0);
    }

    /// Records that all objects as of a revision were relayed.
    pub fn record_relayed_list(&mut self, to: StoreRevision) -> RelayStatus {
        self.record_relay(self.complete, to)
    }

    /// Records that the changes between two revisions were relayed.
    ///
    /// Changes of another era than that of what is known do not follow it.
    pub fn record_relay(&mut self, from: StoreRevision, to: StoreRevision) -> RelayStatus {
        if to <= self.complete {
            return RelayStatus::Known;
        }
        if from > self.complete {
            return RelayStatus::Gap;
        }
        self.complete = to;
        self.change = to;
        RelayStatus::Next
    }

    /// Records the last change that the leader has seen; `age` is the time since the store last
    /// answered the leader, including what the leader's message was delayed on its way.
    pub fn record_announcement(&mut self, now: Time, change: StoreRevision, age: Duration) {
        if change > self.announced {
            // While an earlier change is missing, the time counts from that one: under a steady stream
            // of changes, a host would otherwise never count as behind for long enough to read them.
            if self.announced <= self.complete {
                self.announced_at = now;
            }
            self.announced = change;
        }
        let confirmed_at =
            Time::from_micros(now.as_micros().saturating_sub(age.as_micros() as u64));
        self.confirmed_at = Some(confirmed_at);
        if self.announced <= self.complete {
            self.complete_at = self.complete_at.max(confirmed_at);
        }
    }

    /// Records a change that the leader announces without relaying its full content, so that it has
    /// to be read from the store at once.
    pub fn require_read(&mut self, now: Time, change: StoreRevision) {
        self.announced = self.announced.max(change);
        let backdated = now
            .as_micros()
            .saturating_sub(MAX_TRANSIT_TIME.as_micros() as u64);
        self.announced_at = Time::from_micros(backdated);
    }

    /// Whether an answer of the store up to `revision` is older than what is known, since the leader
    /// has relayed changes while it was on its way.
    pub fn is_outdated(&self, revision: StoreRevision) -> bool {
        revision < self.complete
    }

    /// The revision up to which no change is missing.
    pub fn complete_revision(&self) -> StoreRevision {
        self.complete
    }

    /// The revision of the last known change.
    pub fn change_revision(&self) -> StoreRevision {
        self.change
    }

    /// Time since the store last answered this host.
    pub fn age(&self, now: Time) -> Duration {
        now.since(self.last_answer)
    }

    /// Age of this host's copy: the time since nothing was missing from it, as far as this host or
    /// the leader knows.
    pub fn copy_age(&self, now: Time) -> Duration {
        now.since(self.complete_at)
    }

    /// Whether this host has never read from the store.
    pub fn is_unread(&self) -> bool {
        self.read_at == Time::ZERO
    }

    /// Whether this host has read from the store so lately that it need not do so again yet.
    pub fn was_read_lately(&self, now: Time) -> bool {
        !self.is_unread() && now.since(self.read_at) < MAX_READ_AGE
    }

    /// Whether a change that the leader has seen has been missing for too long.
    pub fn is_behind(&self, now: Time) -> bool {
        self.announced > self.complete && now.since(self.announced_at) >= MAX_TRANSIT_TIME
    }

    /// Whether the relayed data is fresh enough to replace a watch.
    pub fn is_current(&self, now: Time) -> bool {
        let fresh = self
            .confirmed_at
            .is_some_and(|confirmed_at| now.since(confirmed_at) < MAX_RELAY_AGE);
        fresh && !self.is_behind(now)
    }
}
