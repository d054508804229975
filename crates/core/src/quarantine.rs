//! Tracking of requests that were running when backend servers crashed.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::time::Time;

/// The number of crashes after which a request is refused.
const CRASH_LIMIT: usize = 2;

/// Identifies one crash of a backend server by the server's name and boot number.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CrashId(pub u64);

impl CrashId {
    /// Creates the ID from both, since boot numbers need not differ between servers.
    pub fn new(server: &str, boot: u64) -> Self {
        Self(xxh3_64_with_seed(server.as_bytes(), boot))
    }
}

/// The crashes during which requests were running, by request fingerprint.
///
/// Hosts exchange the crashes that they observed; a crash that is reported twice counts once.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    suspects: BTreeMap<u64, Suspect>,
}

#[derive(Clone, Debug)]
struct Suspect {
    crashes: BTreeSet<CrashId>,
    last_crash: Time,
}

impl Quarantine {
    /// Records a crash while the request was running, observed by this host or reported by another.
    pub fn record_crash(&mut self, fingerprint: u64, crash: CrashId, now: Time) {
        let suspect = self.suspects.entry(fingerprint).or_insert(Suspect {
            crashes: BTreeSet::new(),
            last_crash: now,
        });
        if suspect.crashes.len() < CRASH_LIMIT {
            suspect.crashes.insert(crash);
        }
        suspect.last_crash = now;
    }

    /// Clears a request that completed, unless it is quarantined.
    pub fn record_success(&mut self, fingerprint: u64) {
        if !self.is_quarantined(fingerprint) {
            self.suspects.remove(&fingerprint);
        }
    }

    /// Whether the request is refused.
    pub fn is_quarantined(&self, fingerprint: u64) -> bool {
        let suspect = self.suspects.get(&fingerprint);
        suspect.is_some_and(|suspect| suspect.crashes.len() >= CRASH_LIMIT)
    }

    /// Whether the request was running during a crash; a suspect must not run twice concurrently.
    pub fn is_suspect(&self, fingerprint: u64) -> bool {
        self.suspects.contains_key(&fingerprint)
    }

    /// Every pair of a request fingerprint and a crash during which it was running.
    pub fn crashes(&self) -> impl Iterator<Item = (u64, CrashId)> {
        self.suspects.iter().flat_map(|(fingerprint, suspect)| {
            let crashes = suspect.crashes.iter();
            crashes.map(move |crash| (*fingerprint, *crash))
        })
    }

    /// Drops requests whose last crash is at least `span` ago.
    pub fn expire(&mut self, now: Time, span: Duration) {
        self.suspects
            .retain(|_, suspect| now.since(suspect.last_crash) < span);
    }
}
