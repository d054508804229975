//! Tracking of requests that were running when backend servers crashed.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::time::Time;

/// Factor by which a refusal lasts longer than the one before it.
const SPAN_FACTOR: u32 = 6;
/// Number of refusals after which a request gets no further chance.
const LAST_REFUSAL: usize = 3;
/// Time without a crash after which a request is forgotten.
const MEMORY_SPAN: Duration = Duration::from_secs(24 * 3_600);
/// Time for which crashes that other hosts report late are ignored after a success.
const CLEARANCE_SPAN: Duration = Duration::from_secs(60);
/// Maximum number of requests that are remembered.
const MAX_SUSPECTS: usize = 1_024;
/// Maximum number of crashes that are remembered for a request.
const MAX_CRASHES: usize = 8;

/// Identifies one crash of a backend server by the server's name and boot number.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CrashId(pub u64);

impl CrashId {
    /// Creates the ID from both, since boot numbers need not differ between servers.
    pub fn new(server: &str, boot: u64) -> Self {
        Self(xxh3_64_with_seed(server.as_bytes(), boot))
    }
}

/// A crash of a server while a request was running there.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Crash {
    /// Identifies the crash.
    pub id: CrashId,
    /// When the request was sent.
    pub began: Time,
    /// When its connection broke off.
    pub ended: Time,
}

impl Crash {
    /// A crash that was observed or reported at a time, without a record of when the request was sent.
    pub fn at(id: CrashId, now: Time) -> Self {
        Self {
            id,
            began: now,
            ended: now,
        }
    }
}

/// When requests are refused.
#[derive(Clone, Copy, Debug)]
pub struct QuarantinePolicy {
    /// Number of crashes, one after the other, from which on a request is refused.
    pub crash_limit: usize,
    /// Time after a crash from which a request must have been sent for the next crash to count as another
    /// one. Servers that go down together do so within it, as hosts tell each other of them.
    pub gap: Duration,
    /// Time for which it is then refused. Each crash after a refusal brings a longer one at once, and
    /// the third refusal lasts until the request is forgotten.
    pub span: Duration,
}

/// The crashes during which requests were running, by request fingerprint.
///
/// A crash takes along every request that is running at the server, so one crash makes a request a
/// suspect only. It is refused after several crashes one after the other: requests that ran at the same
/// time, at servers that went down together, count once. A success of the request clears it.
///
/// Hosts exchange the crashes that they observed; a crash that is reported twice counts once.
#[derive(Clone, Debug)]
pub struct Quarantine {
    policy: QuarantinePolicy,
    suspects: BTreeMap<u64, Suspect>,
}

#[derive(Clone, Debug, Default)]
struct Suspect {
    /// Sorted by their ends, each with the time at which this host learnt of it.
    crashes: Vec<(Crash, Time)>,
    /// When the request last succeeded, and when this host learnt of it.
    cleared: Option<(Time, Time)>,
}

impl Suspect {
    fn last_crash(&self) -> Option<Time> {
        self.crashes.last().map(|(crash, _)| crash.ended)
    }

    /// The largest number of crashes whose requests did not run at the same time.
    fn crash_count(&self, gap: Duration) -> usize {
        self.overlaps(gap).filter(|overlaps| !overlaps).count()
    }

    /// For each crash, whether its request ran at the same time as that of a counted one before.
    fn overlaps(&self, gap: Duration) -> impl Iterator<Item = bool> {
        let crashes = self.crashes.iter().map(|(crash, _)| crash);
        crashes.scan(Time::ZERO, move |next_begin, crash| {
            let overlaps = crash.began < *next_begin;
            if !overlaps {
                *next_begin = crash.ended + gap;
            }
            Some(overlaps)
        })
    }

    /// Makes room for one more crash, if there is one that does not count.
    fn drop_uncounted(&mut self, gap: Duration) {
        if self.crashes.len() < MAX_CRASHES {
            return;
        }
        let uncounted = self.overlaps(gap).position(|overlaps| overlaps);
        if let Some(index) = uncounted {
            self.crashes.remove(index);
        }
    }

    fn is_remembered(&self, now: Time) -> bool {
        let is_cleared_lately = self
            .cleared
            .is_some_and(|(_, learnt)| now.since(learnt) < CLEARANCE_SPAN);
        let has_crashed = self
            .last_crash()
            .is_some_and(|at| now.since(at) < MEMORY_SPAN);
        is_cleared_lately || has_crashed
    }
}

impl Quarantine {
    /// Creates a quarantine without any requests.
    pub fn new(policy: QuarantinePolicy) -> Self {
        Self {
            policy,
            suspects: BTreeMap::new(),
        }
    }

    /// Whether nothing is known of any request.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Records a crash while the request was running, observed by this host or reported by another;
    /// returns whether it is news.
    pub fn record_crash(&mut self, fingerprint: u64, crash: Crash, now: Time) -> bool {
        if !self.suspects.contains_key(&fingerprint) && self.suspects.len() >= MAX_SUSPECTS {
            self.forget_least_suspicious();
        }
        let suspect = self.suspects.entry(fingerprint).or_default();
        let is_known = suspect
            .crashes
            .iter()
            .any(|(known, _)| known.id == crash.id);
        let is_cleared = suspect.cleared.is_some_and(|(at, _)| crash.ended <= at);
        if is_known || is_cleared {
            return false;
        }
        suspect.drop_uncounted(self.policy.gap);
        if suspect.crashes.len() >= MAX_CRASHES {
            return false;
        }
        let index = suspect
            .crashes
            .partition_point(|(known, _)| known.ended <= crash.ended);
        suspect.crashes.insert(index, (crash, now));
        true
    }

    fn forget_least_suspicious(&mut self) {
        let gap = self.policy.gap;
        let suspicion = |suspect: &Suspect| (suspect.crash_count(gap), suspect.last_crash());
        let least = self
            .suspects
            .iter()
            .min_by_key(|(_, suspect)| suspicion(suspect));
        if let Some(fingerprint) = least.map(|(fingerprint, _)| *fingerprint) {
            self.suspects.remove(&fingerprint);
        }
    }

    /// Clears a request that completed at a time of the crashes up to then; returns whether there were
    /// any.
    pub fn record_success(&mut self, fingerprint: u64, at: Time, now: Time) -> bool {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return false;
        };
        let count = suspect.crashes.len();
        suspect.crashes.retain(|(crash, _)| crash.ended > at);
        let is_news = suspect.crashes.len() < count;
        if is_news {
            suspect.cleared = Some((at, now));
        }
        is_news
    }

    /// Drops a crash that was none, since the server has answered without a restart.
    pub fn retract(&mut self, id: CrashId) {
        for suspect in self.suspects.values_mut() {
            suspect.crashes.retain(|(crash, _)| crash.id != id);
        }
        self.suspects
            .retain(|_, suspect| !suspect.crashes.is_empty() || suspect.cleared.is_some());
    }

    /// Whether a crash counts against any request.
    pub fn counts(&self, id: CrashId) -> bool {
        let mut crashes = self.crashes();
        crashes.any(|(_, crash, _)| crash.id == id)
    }

    /// Number of crashes, one after the other, while the request was running.
    pub fn crash_count(&self, fingerprint: u64) -> usize {
        let suspect = self.suspects.get(&fingerprint);
        suspect.map_or(0, |suspect| suspect.crash_count(self.policy.gap))
    }

    /// Whether the request is refused.
    pub fn is_quarantined(&self, fingerprint: u64, now: Time) -> bool {
        let Some(suspect) = self.suspects.get(&fingerprint) else {
            return false;
        };
        let Some(refusal) =
            (suspect.crash_count(self.policy.gap) + 1).checked_sub(self.policy.crash_limit)
        else {
            return false;
        };
        let span = match refusal {
            0 => return false,
            LAST_REFUSAL.. => MEMORY_SPAN,
            refusal => self.policy.span * SPAN_FACTOR.pow(refusal as u32 - 1),
        };
        let last_crash = suspect.last_crash().unwrap_or_default();
        now.since(last_crash) < span
    }

    /// Whether the request was running during a crash; a suspect must not run twice concurrently.
    pub fn is_suspect(&self, fingerprint: u64) -> bool {
        let suspect = self.suspects.get(&fingerprint);
        suspect.is_some_and(|suspect| !suspect.crashes.is_empty())
    }

    /// Every crash with the fingerprint of the request that was running, and when this host learnt of
    /// it.
    pub fn crashes(&self) -> impl Iterator<Item = (u64, Crash, Time)> {
        self.suspects.iter().flat_map(|(fingerprint, suspect)| {
            let crashes = suspect.crashes.iter();
            crashes.map(move |(crash, learnt)| (*fingerprint, *crash, *learnt))
        })
    }

    /// Every request that was cleared lately, with the time of its success and when this host learnt
    /// of that.
    pub fn cleared(&self) -> impl Iterator<Item = (u64, Time, Time)> {
        self.suspects.iter().filter_map(|(fingerprint, suspect)| {
            let (at, learnt) = suspect.cleared?;
            Some((*fingerprint, at, learnt))
        })
    }

    /// The requests that were running during crashes.
    pub fn suspects(&self) -> BTreeSet<u64> {
        let fingerprints = self.suspects.keys();
        fingerprints
            .copied()
            .filter(|fingerprint| self.is_suspect(*fingerprint))
            .collect()
    }

    /// Forgets requests that have not crashed a server for a day.
    pub fn expire(&mut self, now: Time) {
        self.suspects
            .retain(|_, suspect| suspect.is_remembered(now));
    }
}
