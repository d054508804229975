//! Backend servers known to this host.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::load::ServerLoad;
use super::rate_limit::RateLimit;
use super::rate_share::RateShareLimiter;
use crate::arena::Arena;
use crate::ids::ServerKey;
use crate::time::Time;

/// Initial time for which a server is ejected, so that it gets no requests; doubles each further
/// time that it is unreachable.
const MIN_EJECTION: Duration = Duration::from_millis(300);
/// Maximum time for which an unreachable server is ejected.
const MAX_EJECTION: Duration = Duration::from_secs(2);
/// How long a server counts as cold after it was unreachable, since it may have restarted.
const COLD_AFTER_UNREACHABLE: Duration = Duration::from_secs(3);
/// How long a server that has ended a new connection at once is expected to do so again.
const SATURATION_MEMORY: Duration = Duration::from_secs(5);
/// Consecutive failed or lost answers after which a server is ejected.
const EJECTION_FAILURES: u32 = 3;

/// Store entry of a server, as published by the server itself.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    /// Identifier; a request can name it so that no other server executes it.
    pub id: Arc<str>,
    /// Service that the server belongs to.
    pub service: Arc<str>,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether it is shutting down and must get no more requests.
    pub draining: bool,
    /// Time for which it is still cold when the entry arrives.
    pub warmup_left: Duration,
    /// Start of the process; distinguishes incarnations with the same identifier.
    pub start_id: Option<u64>,
}

/// Changes to the servers' entries between two revisions of the store.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerChanges {
    /// New or changed entries, in their current version.
    pub entries: Vec<ServerEntry>,
    /// Identifiers of removed entries.
    pub removed: Vec<Arc<str>>,
}

impl ServerChanges {
    /// Whether there are no changes.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty() && self.removed.is_empty()
    }
}

/// A server's entry, with what this host has observed of it.
#[derive(Clone, Debug)]
pub struct ServerState {
    /// Current entry in the store.
    pub entry: ServerEntry,
    /// Estimated load.
    pub load: ServerLoad,
    /// Until when it is cold.
    pub cold_until: Time,
    /// Until when it counts as cold because it could not be reached: it may have restarted.
    presumed_cold_until: Time,
    /// Limit on requests while it is cold.
    pub cold_limiter: RateShareLimiter,
    /// The limit that it has named in its last response, if that named one.
    pub rate_limit: Option<RateLimit>,
    /// Limit on requests while it names one.
    pub rate_limiter: RateShareLimiter,
    /// Requests beyond this host's own share that the leader has counted out, and until when they
    /// may be sent.
    pub(super) allowance: (u32, Time),
    /// Until when the leader has nothing more to count out.
    pub(super) exhausted_until: Time,
    /// Whether a response has confirmed, changed or ended the limit since the last report.
    pub(super) limit_observed: bool,
    /// Whether it has named a limit that is not a number.
    pub(super) names_invalid_limit: bool,
    /// Tie-breaker of this host between equal servers, from 0 to 1; lower is preferred.
    pub tie_break: f64,
    /// When it last ended a new connection at once.
    pub saturated_at: Option<Time>,
    /// Until when it gets no requests because of failures.
    pub ejected_until: Time,
    next_ejection: Duration,
    consecutive_failures: u32,
}

impl ServerState {
    fn new(entry: ServerEntry, now: Time, warmup_left: Duration, tie_break: f64) -> Self {
        Self {
            entry,
            load: ServerLoad::default(),
            cold_until: now + warmup_left,
            presumed_cold_until: Time::ZERO,
            cold_limiter: RateShareLimiter::default(),
            rate_limit: None,
            rate_limiter: RateShareLimiter::default(),
            allowance: (0, Time::ZERO),
            exhausted_until: Time::ZERO,
            limit_observed: false,
            names_invalid_limit: false,
            tie_break,
            saturated_at: None,
            ejected_until: Time::ZERO,
            next_ejection: MIN_EJECTION,
            consecutive_failures: 0,
        }
    }

    /// Whether it is cold.
    pub fn is_cold(&self, now: Time) -> bool {
        self.cold_until.max(self.presumed_cold_until) > now
    }

    /// Whether it may end a new connection at once, since it has done so lately.
    pub fn may_be_saturated(&self, now: Time) -> bool {
        self.saturated_at
            .is_some_and(|at| now.since(at) < SATURATION_MEMORY)
    }

    /// Records that the server could not be reached; returns `false` if it was ejected already.
    pub fn record_unreachable(&mut self, now: Time) -> bool {
        let newly_ejected = self.ejected_until <= now;
        self.ejected_until = now + self.next_ejection;
        self.next_ejection = (self.next_ejection * 2).min(MAX_EJECTION);
        self.presumed_cold_until = self.ejected_until + COLD_AFTER_UNREACHABLE;
        newly_ejected
    }

    /// Forgets that the server could not be reached: the fault was this host's.
    pub(super) fn forget_failures(&mut self) {
        self.ejected_until = Time::ZERO;
        self.presumed_cold_until = Time::ZERO;
        self.record_success();
    }

    /// Records a failed or lost answer; returns whether the server is now ejected because of it.
    pub fn record_failure(&mut self, now: Time) -> bool {
        self.consecutive_failures += 1;
        if self.consecutive_failures < EJECTION_FAILURES {
            return false;
        }
        self.consecutive_failures = 0;
        self.ejected_until = self.ejected_until.max(now + MIN_EJECTION);
        true
    }

    /// Records a successful answer.
    pub fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.next_ejection = MIN_EJECTION;
    }
}

/// All servers, by key, identifier and service.
#[derive(Clone, Debug, Default)]
pub struct Servers {
    arena: Arena<ServerKey, ServerState>,
    by_service: BTreeMap<Arc<str>, Vec<ServerKey>>,
}

impl Servers {
    /// Inserts or updates an entry; returns whether it is a new incarnation.
    ///
    /// `warm_up` is how long a server of the service is cold after its start, set if the
    /// incarnation began while this host was running; `tie_break` makes hosts differ in their
    /// choice among equal servers.
    pub fn upsert(
        &mut self,
        now: Time,
        entry: ServerEntry,
        warm_up: Option<Duration>,
        tie_break: f64,
    ) -> bool {
        let key = self.arena.intern(&entry.id);
        if let Some(known) = self.arena.get(key) {
            if is_earlier_incarnation(entry.start_id, known.entry.start_id) {
                return false;
            }
            let same_incarnation = entry.start_id == known.entry.start_id
                && entry.address == known.entry.address
                && entry.service == known.entry.service;
            if same_incarnation {
                let mut state = known.clone();
                let cold_until = now + entry.warmup_left;
                if !entry.warmup_left.is_zero() {
                    state.cold_until = cold_until;
                }
                state.entry = entry;
                self.arena.set(key, Some(state));
                return false;
            }
            self.remove(key);
        }
        let warmup_left = entry.warmup_left.max(warm_up.unwrap_or_default());
        let service = entry.service.clone();
        self.arena.set(
            key,
            Some(ServerState::new(entry, now, warmup_left, tie_break)),
        );
        self.by_service.entry(service).or_default().push(key);
        true
    }

    /// Removes a server.
    pub fn remove(&mut self, key: ServerKey) {
        if let Some(state) = self.arena.get(key)
            && let Some(keys) = self.by_service.get_mut(&state.entry.service)
        {
            keys.retain(|known| *known != key);
        }
        self.arena.set(key, None);
    }

    /// Returns the key of an identifier.
    pub fn find(&self, id: &str) -> Option<ServerKey> {
        self.arena.find(id).filter(|key| self.get(*key).is_some())
    }

    /// Returns a server.
    pub fn get(&self, key: ServerKey) -> Option<&ServerState> {
        self.arena.get(key)
    }

    /// Returns a server for modification.
    pub fn get_mut(&mut self, key: ServerKey) -> Option<&mut ServerState> {
        self.arena.get_mut(key)
    }

    /// The servers of a service.
    pub fn of_service(&self, service: &str) -> &[ServerKey] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Iterates over all servers.
    pub fn iter(&self) -> impl Iterator<Item = (ServerKey, &ServerState)> {
        self.arena.iter()
    }
}

fn is_earlier_incarnation(new: Option<u64>, known: Option<u64>) -> bool {
    matches!((new, known), (Some(new), Some(known)) if new < known)
}
