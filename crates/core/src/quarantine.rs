//! Requests that were running when backend servers crashed.

use std::collections::HashMap;
use std::time::Duration;

use crate::time::Time;

/// Crashes after which a request is refused.
const CRASH_LIMIT: u32 = 2;

/// Crash counts by request fingerprint.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<u64, Suspect>,
}

#[derive(Clone, Copy, Debug)]
struct Suspect {
    crashes: u32,
    last: Time,
}

impl Quarantine {
    /// Counts a crash with the request in flight; returns the count.
    pub fn crashed(&mut self, fingerprint: u64, now: Time) -> u32 {
        let known = self.crashes(fingerprint);
        self.learn(fingerprint, known + 1, now);
        known + 1
    }

    /// Takes in a count from another host.
    pub fn learn(&mut self, fingerprint: u64, crashes: u32, now: Time) {
        let suspect = self.suspects.entry(fingerprint).or_insert(Suspect {
            crashes: 0,
            last: now,
        });
        suspect.crashes = suspect.crashes.max(crashes);
        suspect.last = now;
    }

    /// Clears a request that ran to its end.
    pub fn cleared(&mut self, fingerprint: u64) {
        if self.crashes(fingerprint) < CRASH_LIMIT {
            self.suspects.remove(&fingerprint);
        }
    }

    /// Whether the request is refused.
    pub fn refuses(&self, fingerprint: u64) -> bool {
        self.crashes(fingerprint) >= CRASH_LIMIT
    }

    /// Whether the request took a server down already, so that it must not run twice at once.
    pub fn is_suspect(&self, fingerprint: u64) -> bool {
        self.suspects.contains_key(&fingerprint)
    }

    /// Forgets crashes that are older than the span.
    pub fn expire(&mut self, now: Time, span: Duration) {
        self.suspects
            .retain(|_, suspect| now.since(suspect.last) < span);
    }

    fn crashes(&self, fingerprint: u64) -> u32 {
        self.suspects
            .get(&fingerprint)
            .map_or(0, |suspect| suspect.crashes)
    }
}
