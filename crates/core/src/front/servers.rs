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
/// Time for which a server is remembered after its entry was removed, in case the entry returns.
const RETIREMENT: Duration = Duration::from_secs(600);
/// Longest time for which a server counts as cold because of one entry.
const MAX_WARMUP: Duration = Duration::from_secs(600);
/// Time before the end of the drain time from which a leaving server gets no requests.
const DRAIN_MARGIN: Duration = Duration::from_millis(250);
/// Longest time over which hosts spread their return to a server after a pause.
const MAX_RETURN_SPREAD: Duration = Duration::from_millis(1_000);
/// The same as a divisor of the pause.
const RETURN_SPREAD_DIVISOR: u32 = 4;
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
    /// Identifiers of known servers whose entries cannot be read at present.
    pub unreadable: Vec<Arc<str>>,
}

impl ServerChanges {
    /// Whether there are no changes.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty() && self.removed.is_empty() && self.unreadable.is_empty()
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
    /// When the response was received that tells of the limit or its end.
    pub(super) limit_seen: Time,
    /// Limit on requests while it names one.
    pub rate_limiter: RateShareLimiter,
    /// Requests beyond this host's own share that the leader has counted out, and until when they
    /// may be sent.
    pub(super) allowance: (u32, Time),
    /// Until when the leader has nothing more to count out.
    pub(super) exhausted_until: Time,
    /// Whether a response has confirmed, changed or ended the limit since the last report.
    pub(super) limit_observed: bool,
    /// Since when it is known to be shutting down.
    leaving_since: Option<Time>,
    /// Whether a response has told of the shutdown since the last report.
    pub(super) departure_observed: bool,
    /// Until when it has asked this host to send it no requests.
    paused_until: Time,
    /// Whether it has executed no request since the last pause, so that it gets one at a time.
    is_probed: bool,
    /// Whether it has sent a header about itself that cannot be used, which is logged once.
    pub(super) sends_invalid_header: bool,
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
        let leaving_since = entry.draining.then_some(now);
        Self {
            entry,
            load: ServerLoad::default(),
            cold_until: now + warmup_left,
            presumed_cold_until: Time::ZERO,
            cold_limiter: RateShareLimiter::default(),
            rate_limit: None,
            limit_seen: Time::ZERO,
            rate_limiter: RateShareLimiter::default(),
            allowance: (0, Time::ZERO),
            exhausted_until: Time::ZERO,
            limit_observed: false,
            leaving_since,
            departure_observed: false,
            paused_until: Time::ZERO,
            is_probed: false,
            sends_invalid_header: false,
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

    /// Whether it is shutting down, by its entry, a response or another host.
    ///
    /// A shutdown is never called off: an entry that says otherwise is older.
    pub fn is_leaving(&self) -> bool {
        self.leaving_since.is_some()
    }

    /// Since when it is known to be shutting down.
    pub fn leaving_since(&self) -> Option<Time> {
        self.leaving_since
    }

    /// Records that it is shutting down; returns `false` if that is known.
    pub(super) fn record_departure(&mut self, now: Time) -> bool {
        let is_news = self.leaving_since.is_none();
        self.leaving_since.get_or_insert(now);
        is_news
    }

    /// Whether it has been shutting down for so long that it must get no more requests, if it may get
    /// some for the time `drain`.
    pub(super) fn is_drained(&self, now: Time, drain: Duration) -> bool {
        let drain = drain.saturating_sub(DRAIN_MARGIN);
        self.entry.draining || self.leaving_since.is_some_and(|since| now >= since + drain)
    }

    /// What is left of the pause that it has asked this host for.
    pub(super) fn pause_left(&self, now: Time) -> Option<Duration> {
        Some(self.paused_until.since(now)).filter(|left| !left.is_zero())
    }

    /// Records that it asks this host to send it no requests for some time; returns whether a new pause
    /// has begun.
    ///
    /// Hosts return at different times, so that they do not overload it again together.
    pub(super) fn record_pause(&mut self, now: Time, pause: Duration) -> bool {
        if pause.is_zero() {
            return false;
        }
        let is_new = self.pause_left(now).is_none();
        let spread = (pause / RETURN_SPREAD_DIVISOR).min(MAX_RETURN_SPREAD);
        let until = now + pause + spread.mul_f64(self.tie_break.clamp(0.0, 1.0));
        self.paused_until = self.paused_until.max(until);
        self.is_probed = true;
        is_new
    }

    /// Whether it gets one request at a time, since it has executed none after a pause.
    pub(super) fn is_probed(&self) -> bool {
        self.is_probed
    }

    /// Records that it executes requests again after a pause.
    pub(super) fn record_execution(&mut self) {
        self.is_probed = false;
    }

    /// Takes a new version of the entry of the same process.
    fn update_entry(&mut self, now: Time, entry: ServerEntry) {
        if !entry.warmup_left.is_zero() {
            self.cold_until = now + entry.warmup_left.min(MAX_WARMUP);
        }
        if entry.draining {
            self.record_departure(now);
        }
        self.entry = entry;
    }

    /// Whether an entry describes the same process as the present one.
    fn is_same_life(&self, entry: &ServerEntry) -> bool {
        entry.start_id == self.entry.start_id
            && entry.address == self.entry.address
            && entry.service == self.entry.service
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
    /// The last life of servers whose entries were removed, and when: what a server has said holds
    /// until its process ends, and its entry may return.
    retired: BTreeMap<ServerKey, (ServerState, Time)>,
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
        if let Some(known) = self.arena.get_mut(key) {
            if is_earlier_life(entry.start_id, known.entry.start_id) {
                return false;
            }
            if known.is_same_life(&entry) {
                known.update_entry(now, entry);
                return false;
            }
            self.remove(now, key);
        }
        let warmup_left = entry.warmup_left.max(warm_up.unwrap_or_default());
        let warmup_left = warmup_left.min(MAX_WARMUP);
        let service = entry.service.clone();
        let state = match self.retired.remove(&key) {
            Some((mut state, _)) if state.is_same_life(&entry) => {
                state.update_entry(now, entry);
                state.cold_until = state.cold_until.max(now + warmup_left);
                state
            }
            Some((moved, _)) if moved.entry.start_id == entry.start_id => ServerState {
                leaving_since: moved.leaving_since,
                paused_until: moved.paused_until,
                is_probed: moved.is_probed,
                ..ServerState::new(entry, now, warmup_left, tie_break)
            },
            _ => ServerState::new(entry, now, warmup_left, tie_break),
        };
        self.arena.set(key, Some(state));
        self.by_service.entry(service).or_default().push(key);
        true
    }

    /// Removes a server; it is remembered for some time.
    pub fn remove(&mut self, now: Time, key: ServerKey) {
        let Some(state) = self.arena.get(key).cloned() else {
            return;
        };
        if let Some(keys) = self.by_service.get_mut(&state.entry.service) {
            keys.retain(|known| *known != key);
        }
        self.retired.insert(key, (state, now));
        self.arena.set(key, None);
    }

    /// Forgets servers that were removed long ago.
    pub fn forget_retired(&mut self, now: Time) {
        self.retired
            .retain(|_, (_, removed)| now.since(*removed) < RETIREMENT);
    }

    /// Returns a life of a server, whether or not it is listed.
    pub fn life(&self, id: &str, start_id: Option<u64>) -> Option<&ServerState> {
        let key = self.arena.find(id)?;
        let retired = self.retired.get(&key).map(|(state, _)| state);
        let mut lives = self.arena.get(key).into_iter().chain(retired);
        lives.find(|state| state.entry.start_id == start_id)
    }

    /// Returns a life of a server for modification, whether or not it is listed.
    pub fn life_mut(&mut self, id: &str, start_id: Option<u64>) -> Option<&mut ServerState> {
        let key = self.arena.find(id)?;
        let retired = self.retired.get_mut(&key).map(|(state, _)| state);
        let mut lives = self.arena.get_mut(key).into_iter().chain(retired);
        lives.find(|state| state.entry.start_id == start_id)
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

/// Whether an entry is older than the known one. Every server states its start, so one without is not
/// the server's own.
fn is_earlier_life(new: Option<u64>, known: Option<u64>) -> bool {
    match (new, known) {
        (Some(new), Some(known)) => new < known,
        (new, known) => new.is_none() && known.is_some(),
    }
}
