//! How fresh a host's knowledge of one kind of store object is.
//!
//! The granting host watches the store and passes changes on; a host that follows it needs no
//! watch of its own while what it is told is fresh and has no gap. `docs/platform-path.md`,
//! "Store calls", has the bounds that these times come from.

use std::time::Duration;

use crate::time::Time;

/// Age of the granting host's last word from the store above which a host asks the store itself.
///
/// A drain is in force 2.5 s after its acknowledgement; the rest of that is for one call.
const TOLD_AGE: Duration = Duration::from_millis(1_700);
/// Time for which a change may be on its way from the granting host, and a little for its queue.
const BEHIND: Duration = Duration::from_millis(400);

/// What becomes of changes that the granting host passes on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Passed {
    /// They follow what is known, and are to be taken in.
    Next,
    /// All of them are known.
    Known,
    /// Changes before them are missing.
    Gap,
}

/// How far one kind of store object is known, and how far the granting host says it goes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    complete: u64,
    change: u64,
    answered: Time,
    told: u64,
    told_since: Time,
    confirmed: Option<Time>,
}

impl Freshness {
    /// Takes in an answer of the store that is complete up to a revision.
    ///
    /// `change` is the revision of the last change in it, where there was one.
    pub fn read(&mut self, now: Time, complete: u64, change: Option<u64>) {
        self.complete = self.complete.max(complete);
        self.change = self.change.max(change.unwrap_or_default());
        self.answered = now;
    }

    /// Takes in that changes between two revisions were passed on.
    pub fn pass(&mut self, from: u64, to: u64) -> Passed {
        if to <= self.complete {
            return Passed::Known;
        }
        if from > self.complete {
            return Passed::Gap;
        }
        self.complete = to;
        self.change = to;
        Passed::Next
    }

    /// Takes in the last change that the granting host has seen, and for how long the store has
    /// told it nothing newer.
    pub fn tell(&mut self, now: Time, change: u64, age: Duration) {
        if change > self.told {
            self.told = change;
            self.told_since = now;
        }
        let confirmed = Time::from_micros(now.as_micros().saturating_sub(age.as_micros() as u64));
        self.confirmed = Some(confirmed);
    }

    /// Takes in that there is a change which the granting host does not pass on whole.
    pub fn tell_now(&mut self, now: Time, change: u64) {
        self.told = self.told.max(change);
        let due = now.as_micros().saturating_sub(BEHIND.as_micros() as u64);
        self.told_since = Time::from_micros(due);
    }

    /// The revision up to which nothing is missing.
    pub fn complete(&self) -> u64 {
        self.complete
    }

    /// The revision of the last change that is known.
    pub fn change(&self) -> u64 {
        self.change
    }

    /// For how long the store has told this host nothing.
    pub fn age(&self, now: Time) -> Duration {
        now.since(self.answered)
    }

    /// Whether a change that the granting host has seen is missing for too long.
    pub fn is_behind(&self, now: Time) -> bool {
        self.told > self.complete && now.since(self.told_since) >= BEHIND
    }

    /// Whether what the granting host tells takes the place of a watch.
    pub fn is_told(&self, now: Time) -> bool {
        let fresh = self
            .confirmed
            .is_some_and(|confirmed| now.since(confirmed) < TOLD_AGE);
        fresh && !self.is_behind(now)
    }
}
