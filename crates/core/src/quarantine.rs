//! Requests that were running when backend servers crashed.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::time::Time;

/// Crashes after which a request is refused.
const CRASH_LIMIT: usize = 2;

/// One crash of a backend server, known by the server and the run that it ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CrashId(pub u64);

impl CrashId {
    /// Names the end of a server's run; boot numbers need not differ between servers.
    pub fn new(server: &str, boot: u64) -> Self {
        Self(xxh3_64_with_seed(server.as_bytes(), boot))
    }
}

/// The crashes that requests were running in, by request fingerprint.
///
/// Hosts that saw different crashes merge what they know, and a crash told twice counts once.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    suspects: BTreeMap<u64, Suspect>,
}

#[derive(Clone, Debug)]
struct Suspect {
    crashes: BTreeSet<CrashId>,
    last: Time,
}

impl Quarantine {
    /// Takes in a crash with the request in flight, seen by this host or told by another one.
    pub fn crashed(&mut self, fingerprint: u64, crash: CrashId, now: Time) {
        let suspect = self.suspects.entry(fingerprint).or_insert(Suspect {
            crashes: BTreeSet::new(),
            last: now,
        });
        if suspect.crashes.len() < CRASH_LIMIT {
            suspect.crashes.insert(crash);
        }
        suspect.last = now;
    }

    /// Clears a request that ran to its end.
    pub fn cleared(&mut self, fingerprint: u64) {
        if !self.refuses(fingerprint) {
            self.suspects.remove(&fingerprint);
        }
    }

    /// Whether the request is refused.
    pub fn refuses(&self, fingerprint: u64) -> bool {
        let suspect = self.suspects.get(&fingerprint);
        suspect.is_some_and(|suspect| suspect.crashes.len() >= CRASH_LIMIT)
    }

    /// Whether the request took a server down already, so that it must not run twice at once.
    pub fn is_suspect(&self, fingerprint: u64) -> bool {
        self.suspects.contains_key(&fingerprint)
    }

    /// Every crash with each request that was running in it.
    pub fn crashes(&self) -> impl Iterator<Item = (u64, CrashId)> {
        self.suspects.iter().flat_map(|(fingerprint, suspect)| {
            let crashes = suspect.crashes.iter();
            crashes.map(move |crash| (*fingerprint, *crash))
        })
    }

    /// Forgets crashes that are older than the span.
    pub fn expire(&mut self, now: Time, span: Duration) {
        self.suspects
            .retain(|_, suspect| now.since(suspect.last) < span);
    }
}
