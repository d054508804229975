//! The state that the tasks of an entry host share.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use amaranthshunt_core::Time;
use amaranthshunt_core::front::{Freshness, FrontSettings, HostDelay, Router};
use amaranthshunt_core::log::{EventCode, LogRecord};

use amaranthshunt_platform::Kind;
use async_std::net::TcpStream;
use async_std::task::JoinHandle;

use crate::allowances::Allowances;
use crate::clock;
use crate::counters::Counters;
use crate::gauges::Gauges;
use crate::helpers::Helpers;
use crate::http::{Admission, BufferBudget, CallerSlot, CallerSlots};
use crate::leadership::LeaderState;
use crate::lock::lock;
use crate::logs::write_log;
use crate::messages::MissingKey;
use crate::peers::LEADER_TIMEOUT;
use crate::pool::Pool;
use crate::store::{self, StoreClient, StoreResponse};
use crate::suspects::Suspects;
use crate::watch::KINDS;

/// Time after a stop signal in which requests are still forwarded: a later one could still be
/// running when the process exits.
const FORWARDING_PERIOD: Duration = Duration::from_millis(2_700);
/// Time before the end of the grace period at which requests in flight are answered: in the last
/// sixth of the shortest grace period, callers must get a response even if the server is still
/// working.
const FINAL_RESPONSE_MARGIN: Duration = Duration::from_millis(900);

/// An entry host.
pub(crate) struct EntryHost {
    pub(crate) settings: FrontSettings,
    pub(crate) store: StoreClient,
    pub(crate) pool: Pool,
    pub(crate) counters: Counters,
    /// Hosts that serve requests while this one reaches no server.
    pub(crate) helpers: Helpers,
    /// Requests that may crash servers.
    pub(crate) suspects: Suspects,
    /// What this host asks the leader for beyond its share of servers' limits.
    pub(crate) allowances: Allowances,
    /// Memory of the messages in hand.
    pub(crate) buffers: BufferBudget,
    /// Connections of callers.
    slots: CallerSlots,
    router: Mutex<Router>,
    /// The latest era of the store that has been logged.
    logged_era: AtomicU64,
    missing_keys: Mutex<Vec<MissingKey>>,
    delay: Mutex<HostDelay>,
    leaving: AtomicBool,
    leaving_since: AtomicU64,
    /// How current the view of each kind of store object is.
    freshness: Mutex<BTreeMap<Kind, Freshness>>,
    /// The kind whose task probes the store for all kinds during an outage.
    probe: Mutex<Option<Kind>>,
    servers_read: AtomicBool,
    evacuations_read: AtomicBool,
    in_flight: AtomicUsize,
    closing_idle: AtomicBool,
    leader_heard: AtomicU64,
    /// Whether this host has an open connection to a leader that it hears.
    hears_leader: AtomicBool,
    /// The leader of the latest term that this host knows of.
    known_leader: Mutex<Option<KnownLeader>>,
    leader_state: Mutex<Option<Arc<LeaderState>>>,
    accept_task: Mutex<Option<JoinHandle<()>>>,
}

impl EntryHost {
    /// Creates a host without a view of the store.
    pub(crate) fn new(settings: FrontSettings) -> Self {
        Self {
            store: StoreClient::new(settings.store_address),
            pool: Pool::new(settings.max_pooled()),
            counters: Counters::default(),
            helpers: Helpers::default(),
            suspects: Suspects::default(),
            allowances: Allowances::default(),
            buffers: BufferBudget::new(settings.buffer_memory()),
            slots: CallerSlots::new(settings.max_connections()),
            router: Mutex::new(Router::new(settings.router())),
            logged_era: AtomicU64::new(0),
            missing_keys: Mutex::default(),
            delay: Mutex::default(),
            leaving: AtomicBool::new(false),
            leaving_since: AtomicU64::new(0),
            freshness: Mutex::default(),
            probe: Mutex::default(),
            servers_read: AtomicBool::new(false),
            evacuations_read: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
            closing_idle: AtomicBool::new(false),
            leader_heard: AtomicU64::new(0),
            hears_leader: AtomicBool::new(false),
            known_leader: Mutex::default(),
            leader_state: Mutex::default(),
            accept_task: Mutex::default(),
            settings,
        }
    }

    /// Calls a function with the router and the time, then logs the router's events.
    pub(crate) fn with_router<T>(&self, action: impl FnOnce(&mut Router, Time) -> T) -> T {
        let mut router = lock(&self.router);
        let result = action(&mut router, clock::now());
        let records = router.take_log();
        drop(router);
        for record in &records {
            write_log(&self.settings.name, record);
        }
        result
    }

    /// Logs an event of the catalogue.
    pub(crate) fn log(
        &self,
        code: EventCode,
        subject: impl Into<String>,
        detail: impl Into<String>,
    ) {
        write_log(&self.settings.name, &LogRecord::new(code, subject, detail));
    }

    /// Makes a call to the store; `wait` is how long the store may delay its response.
    ///
    /// # Errors
    ///
    /// Fails if the store does not respond, rejects the call or fails internally.
    pub(crate) async fn call_store(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
        wait: Duration,
    ) -> store::Result<StoreResponse> {
        self.counters.store_calls.add();
        let result = self.store.call(method, path, body, wait).await;
        self.log_store_era();
        result
    }

    /// Takes note of an era of the store that another host knows of.
    pub(crate) fn learn_store_era(&self, era: u64) {
        self.store.learn_era(era);
        self.log_store_era();
    }

    /// Logs a change of the store's era.
    fn log_store_era(&self) {
        let era = self.store.era();
        let known = self.logged_era.fetch_max(era, Ordering::Relaxed);
        if 0 < known && known < era {
            let revisions = KINDS.map(|kind| self.freshness(kind).complete_revision().to_string());
            let detail = format!("known up to revisions {}", revisions.join(", "));
            self.log(EventCode::StoreEraChanged, format!("era {era}"), detail);
        }
    }

    /// Whether this host reaches servers, as far as it knows.
    pub(crate) fn reaches_servers(&self) -> bool {
        self.with_router(|router, _| router.reaches_servers())
    }

    /// How late the tasks of this host run.
    pub(crate) fn delay(&self) -> HostDelay {
        *lock(&self.delay)
    }

    /// Records by how much a timer was late.
    pub(crate) fn record_lateness(&self, lateness: Duration) {
        lock(&self.delay).record(lateness);
    }

    /// Records that the servers have been read from the store.
    pub(crate) fn set_servers_read(&self) {
        self.servers_read.store(true, Ordering::Relaxed);
    }

    /// Records that the evacuated failure domains have been read from the store.
    pub(crate) fn set_evacuations_read(&self) {
        self.evacuations_read.store(true, Ordering::Relaxed);
    }

    /// Whether readiness checks succeed, so that the platform sends new connections.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_leaving()
            && self.servers_read.load(Ordering::Relaxed)
            && self.evacuations_read.load(Ordering::Relaxed)
            && self.with_router(|router, _| router.config().is_some())
    }

    /// Version of the configuration in force; 0 if none is known.
    pub(crate) fn config_version(&self) -> u64 {
        self.with_router(|router, _| router.config().map_or(0, |config| config.version))
    }

    /// Counters and gauges in the Prometheus text format.
    pub(crate) fn metrics_text(&self) -> String {
        let gauges = Gauges {
            config_version: self.config_version(),
            config_age: self.copy_age(amaranthshunt_platform::CONFIG),
            store_era: self.store.era(),
            buffered_bytes: self.buffers.used() as u64,
            limited_servers: self.with_router(|router, _| router.rate_limit_count()) as u64,
            paused_servers: self.with_router(|router, now| router.paused_count(now)) as u64,
            quota_use: self.with_router(|router, now| router.quota_use(now)),
            leaving_servers: self.with_router(|router, _| router.leaving_count()) as u64,
        };
        self.counters.to_text() + &gauges.to_text()
    }

    /// Whether a graceful shutdown has begun.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Time since the graceful shutdown began, if it has.
    fn shutdown_age(&self) -> Option<Duration> {
        let since = Time::from_micros(self.leaving_since.load(Ordering::Relaxed));
        self.is_leaving().then(|| clock::now().since(since))
    }

    /// Whether the shutdown has progressed so far that a new request might not complete before it.
    pub(crate) fn refuses_requests(&self) -> bool {
        self.shutdown_age()
            .is_some_and(|age| age >= FORWARDING_PERIOD)
    }

    /// Time until all requests in flight have to be answered, if a shutdown has begun.
    pub(crate) fn time_to_answer(&self) -> Option<Duration> {
        let cutoff = self.settings.grace.saturating_sub(FINAL_RESPONSE_MARGIN);
        self.shutdown_age().map(|age| cutoff.saturating_sub(age))
    }

    /// Whether the process is about to exit, so that all requests in flight have to be answered.
    pub(crate) fn is_terminating(&self) -> bool {
        self.time_to_answer().is_some_and(|left| left.is_zero())
    }

    /// How current the view of a kind is.
    pub(crate) fn freshness(&self, kind: Kind) -> Freshness {
        lock(&self.freshness).get(kind).copied().unwrap_or_default()
    }

    /// Age of the copy of a kind: the time since nothing was known to be missing from it.
    pub(crate) fn copy_age(&self, kind: Kind) -> Duration {
        self.freshness(kind).copy_age(clock::now())
    }

    /// Updates the freshness of a kind.
    pub(crate) fn update_freshness<T>(
        &self,
        kind: Kind,
        action: impl FnOnce(&mut Freshness, Time) -> T,
    ) -> T {
        action(lock(&self.freshness).entry(kind).or_default(), clock::now())
    }

    /// Claims the probing of the store during an outage for a kind; `false` if another kind has it.
    pub(crate) fn claim_probe(&self, kind: Kind) -> bool {
        *lock(&self.probe).get_or_insert(kind) == kind
    }

    /// Gives up the probing of the store, if the kind has it.
    pub(crate) fn release_probe(&self, kind: Kind) {
        lock(&self.probe).take_if(|owner| *owner == kind);
    }

    /// Whether the leader relays changes of a kind in time, so that this host need not watch it.
    pub(crate) fn is_updated_by_leader(&self, kind: Kind) -> bool {
        let now = clock::now();
        let hears_leader =
            self.leader_state().is_none() && now.since(self.leader_heard()) < LEADER_TIMEOUT;
        hears_leader && self.freshness(kind).is_current(now)
    }

    /// Whether a change of a kind that the leader has seen has been missing for too long.
    pub(crate) fn is_behind(&self, kind: Kind) -> bool {
        self.freshness(kind).is_behind(clock::now())
    }

    /// Whether a watch of a kind can wait a moment longer, because it was read lately and this host
    /// is not the one that relays its changes.
    pub(crate) fn may_skip_watch(&self, kind: Kind) -> bool {
        let now = clock::now();
        let freshness = self.freshness(kind);
        self.leader_state().is_none() && freshness.was_read_lately(now) && !freshness.is_behind(now)
    }

    /// Begins a graceful shutdown.
    pub(crate) fn begin_shutdown(&self) {
        let now = clock::now().as_micros();
        self.leaving_since.store(now, Ordering::Relaxed);
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Whether connections without a request are to be closed.
    pub(crate) fn closes_idle_connections(&self) -> bool {
        self.closing_idle.load(Ordering::Relaxed)
    }

    /// Stops accepting callers, and closes connections without a request.
    pub(crate) fn stop_accepting(&self) {
        self.closing_idle.store(true, Ordering::Relaxed);
        // Dropping the handle would leave the task running; cancelling it closes the listener.
        if let Some(task) = lock(&self.accept_task).take() {
            async_std::task::spawn(task.cancel());
        }
    }

    /// Stores the task that accepts callers.
    pub(crate) fn set_accept_task(&self, task: JoinHandle<()>) {
        *lock(&self.accept_task) = Some(task);
    }

    /// The leader's state, while this host is the leader.
    pub(crate) fn leader_state(&self) -> Option<Arc<LeaderState>> {
        lock(&self.leader_state).clone()
    }

    /// Sets the leader's state when this host becomes the leader, and clears it afterwards.
    pub(crate) fn set_leader_state(&self, state: Option<Arc<LeaderState>>) {
        *lock(&self.leader_state) = state;
    }

    /// When this host last received a heartbeat; the current time on the leader.
    pub(crate) fn leader_heard(&self) -> Time {
        if self.leader_state().is_some() {
            return clock::now();
        }
        Time::from_micros(self.leader_heard.load(Ordering::Relaxed))
    }

    /// How long this host has not heard the leader, as it tells other hosts. One that has lost its
    /// connection to the leader hears it no longer, however little time has passed.
    pub(crate) fn leader_silence(&self) -> Duration {
        let silence = clock::now().since(self.leader_heard());
        let hears = self.leader_state().is_some() || self.hears_leader.load(Ordering::Relaxed);
        if hears {
            silence
        } else {
            silence.max(LEADER_TIMEOUT)
        }
    }

    /// Records whether this host has an open connection to a leader that it hears.
    pub(crate) fn set_hears_leader(&self, hears: bool) {
        self.hears_leader.store(hears, Ordering::Relaxed);
    }

    /// The leader of the latest term that this host knows of.
    pub(crate) fn known_leader(&self) -> Option<KnownLeader> {
        lock(&self.known_leader).clone()
    }

    /// The latest term that this host knows of, or 0.
    pub(crate) fn known_term(&self) -> u64 {
        let told = lock(&self.known_leader).as_ref().map_or(0, |it| it.term);
        told.max(self.with_router(|router, _| router.table().term))
    }

    /// Takes note of the leader of a term. From a later term on, this host follows no earlier leader,
    /// and is none.
    pub(crate) fn learn_leader(&self, term: u64, name: &str, address: SocketAddr) {
        let mut known = lock(&self.known_leader);
        if known.as_ref().is_some_and(|known| term <= known.term) {
            return;
        }
        *known = Some(KnownLeader {
            term,
            name: name.to_owned(),
            address,
        });
        drop(known);
        if let Some(leader) = self.leader_state() {
            leader.yield_to(term, name);
        }
    }

    /// Records that a heartbeat of the leader was received.
    pub(crate) fn note_leader_heard(&self) {
        self.set_hears_leader(true);
        self.leader_heard
            .store(clock::now().as_micros(), Ordering::Relaxed);
    }

    /// The number of requests in flight.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Gives a place to a new connection of a caller; `None` if it has to be closed, since there are as
    /// many already as the limits of this host allow.
    pub(crate) fn admit_connection(&self, stream: &TcpStream) -> Option<CallerSlot> {
        match self.slots.admit(stream) {
            Admission::Free(slot) => Some(slot),
            Admission::Replaces(slot) => {
                self.counters.callers_closed.add();
                Some(slot)
            }
            Admission::Refused => {
                self.counters.callers_refused.add();
                // The place of a body that makes no progress is free for the caller's next try.
                self.buffers.end_stalled_body();
                None
            }
        }
    }

    /// Ends request bodies that make no progress; `interval` is the time between two calls.
    pub(crate) fn sweep_bodies(&self, interval: Duration) {
        let ended = self.buffers.sweep(interval);
        self.counters.bodies_given_way.add_many(ended.given_way);
        self.counters.bodies_timed_out.add_many(ended.timed_out);
    }

    /// Counts a request as in flight until the guard is dropped; `None` if there are as many already as
    /// the limits of this host allow, and no body of another one gives way.
    pub(crate) fn admit_request(&self) -> Option<InFlightGuard<'_>> {
        let before = self.in_flight.fetch_add(1, Ordering::Relaxed);
        let guard = InFlightGuard {
            count: &self.in_flight,
        };
        let has_room = before < self.settings.max_requests() || self.buffers.end_stalled_body();
        has_room.then_some(guard)
    }

    /// Records that a server does not hold a key that it should.
    pub(crate) fn note_missing_key(&self, missing: MissingKey) {
        lock(&self.missing_keys).push(missing);
    }

    /// Takes the missing keys recorded since the last call.
    pub(crate) fn take_missing_keys(&self) -> Vec<MissingKey> {
        std::mem::take(&mut lock(&self.missing_keys))
    }
}

/// The leader of a term.
#[derive(Clone, Debug)]
pub(crate) struct KnownLeader {
    pub(crate) term: u64,
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
}

/// Counts one request as in flight until it is dropped.
pub(crate) struct InFlightGuard<'a> {
    count: &'a AtomicUsize,
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::Relaxed);
    }
}
