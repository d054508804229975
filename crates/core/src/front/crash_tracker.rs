//! Requests that crash the servers that run them, as one host and those it hears know of them.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::quarantine::{Crash, CrashId, Quarantine, QuarantinePolicy};
use crate::time::Time;

/// Time in which the end of a server's process has to show after it has broken off connections.
const OBSERVATION_SPAN: Duration = Duration::from_secs(8);
/// Maximum number of requests that are remembered for one server that has broken off connections.
const MAX_LOST: usize = 256;
/// When a request is refused, and for how long at first. Reports between regions are up to some 60 ms late.
const POLICY: QuarantinePolicy = QuarantinePolicy {
    crash_limit: 3,
    gap: Duration::from_millis(100),
    span: Duration::from_secs(600),
};

/// A crash of a server while a request was running, as hosts tell each other.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CrashNotice {
    /// The fingerprint of the request.
    pub fingerprint: u64,
    /// The crash.
    pub crash: Crash,
}

/// A success of a request that was running when a server crashed, as hosts tell each other.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClearanceNotice {
    /// The fingerprint of the request.
    pub fingerprint: u64,
    /// When it succeeded.
    pub at: Time,
}

/// What hosts tell each other of requests that may crash servers.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CrashNotices {
    /// Crashes of servers.
    pub crashes: Vec<CrashNotice>,
    /// Successes of requests that were running during crashes.
    pub clearances: Vec<ClearanceNotice>,
}

/// What is known of a request before it is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashVerdict {
    /// It was running during no crash.
    Unknown,
    /// It was running during a crash, so it should not run twice at the same time.
    Suspect,
    /// It is refused after this many crashes.
    Quarantined(usize),
}

/// Requests whose connections a server has broken off, until it is known whether its process has ended.
#[derive(Clone, Debug)]
struct LostRequests {
    since: Time,
    /// When each was sent and lost, by fingerprint.
    requests: BTreeMap<u64, (Time, Time)>,
}

/// Counts the lives of servers that end while a request is running there.
///
/// A connection that breaks off is not a crash: its requests count once the life of the server has
/// ended, and no longer when it answers again. See `docs/platform-path.md`, "Requests that crash
/// servers".
#[derive(Clone, Debug)]
pub struct CrashTracker {
    quarantine: Quarantine,
    lost: BTreeMap<CrashId, LostRequests>,
    /// Observed by this host and not told the leader yet.
    unreported: CrashNotices,
}

impl Default for CrashTracker {
    fn default() -> Self {
        Self {
            quarantine: Quarantine::new(POLICY),
            lost: BTreeMap::new(),
            unreported: CrashNotices::default(),
        }
    }
}

impl CrashTracker {
    /// Whether there is nothing to know of any request or server.
    pub fn is_idle(&self) -> bool {
        self.quarantine.is_empty() && self.lost.is_empty()
    }

    /// What is known of a request.
    pub fn verdict(&self, now: Time, fingerprint: u64) -> CrashVerdict {
        if self.quarantine.is_quarantined(fingerprint, now) {
            CrashVerdict::Quarantined(self.quarantine.crash_count(fingerprint))
        } else if self.quarantine.is_suspect(fingerprint) {
            CrashVerdict::Suspect
        } else {
            CrashVerdict::Unknown
        }
    }

    /// Records a request whose connection a life of a server has broken off; returns whether it is the
    /// first one.
    pub fn record_loss(&mut self, now: Time, life: CrashId, fingerprint: u64, began: Time) -> bool {
        let is_first = !self.lost.contains_key(&life);
        let lost = self.lost.entry(life).or_insert_with(|| LostRequests {
            since: now,
            requests: BTreeMap::new(),
        });
        if lost.requests.len() < MAX_LOST {
            lost.requests.insert(fingerprint, (began, now));
        }
        is_first
    }

    /// The lives of servers that have broken off connections.
    pub fn observed_lives(&self) -> Vec<CrashId> {
        self.lost.keys().copied().collect()
    }

    /// Counts the end of a life against the requests that it has broken off; returns these with the
    /// number of crashes that count against each.
    pub fn confirm_end(&mut self, now: Time, life: CrashId) -> Vec<(u64, usize)> {
        let Some(lost) = self.lost.remove(&life) else {
            return Vec::new();
        };
        let mut counts = Vec::new();
        for (fingerprint, (began, ended)) in lost.requests {
            let id = life;
            let crash = Crash { id, began, ended };
            if self.quarantine.record_crash(fingerprint, crash, now) {
                let notice = CrashNotice { fingerprint, crash };
                self.unreported.crashes.push(notice);
                counts.push((fingerprint, self.quarantine.crash_count(fingerprint)));
            }
        }
        counts
    }

    /// Records a complete response of a life of a server to a request: neither has the life ended, nor
    /// does the request crash every server.
    pub fn record_answer(&mut self, now: Time, life: CrashId, fingerprint: u64) {
        self.lost.remove(&life);
        if self.quarantine.counts(life) {
            self.quarantine.retract(life);
        }
        if self.quarantine.record_success(fingerprint, now, now) {
            let clearance = ClearanceNotice {
                fingerprint,
                at: now,
            };
            self.unreported.clearances.push(clearance);
        }
    }

    /// Takes in what another host has told.
    pub fn apply(&mut self, now: Time, notices: &CrashNotices) {
        for notice in &notices.crashes {
            self.quarantine
                .record_crash(notice.fingerprint, notice.crash, now);
        }
        for clearance in &notices.clearances {
            self.quarantine
                .record_success(clearance.fingerprint, clearance.at, now);
        }
    }

    /// Takes what this host has observed since the last call.
    pub fn take_unreported(&mut self) -> CrashNotices {
        std::mem::take(&mut self.unreported)
    }

    /// Everything that this host has learnt since a time.
    pub fn learnt_since(&self, since: Time) -> CrashNotices {
        let crashes = self.quarantine.crashes();
        let clearances = self.quarantine.cleared();
        CrashNotices {
            crashes: crashes
                .filter(|(_, _, learnt)| *learnt >= since)
                .map(|(fingerprint, crash, _)| CrashNotice { fingerprint, crash })
                .collect(),
            clearances: clearances
                .filter(|(_, _, learnt)| *learnt >= since)
                .map(|(fingerprint, at, _)| ClearanceNotice { fingerprint, at })
                .collect(),
        }
    }

    /// Forgets requests of servers that go on, and suspects that have not crashed a server for long.
    pub fn expire(&mut self, now: Time) {
        self.lost
            .retain(|_, lost| now.since(lost.since) < OBSERVATION_SPAN);
        self.quarantine.expire(now);
    }
}
