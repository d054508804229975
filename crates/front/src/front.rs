//! What the parts of one entry host share.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use amaranthshunt_core::Time;
use amaranthshunt_core::front::{Freshness, FrontSettings, Router};
use amaranthshunt_core::log::{Code, Record};

use amaranthshunt_platform::Kind;
use async_std::task::JoinHandle;

use crate::clock;
use crate::counters::Counters;
use crate::granting::Leading;
use crate::lock::lock;
use crate::logs::write_log;
use crate::messages::Missing;
use crate::peers::SILENCE;
use crate::pool::Pool;
use crate::store::StoreClient;

/// Time after a request to stop in which requests are still sent on: what is sent later could be
/// at work when the process ends.
const LAST_REQUESTS: Duration = Duration::from_millis(2_700);
/// Time before the end of the grace at which what is under way is answered: the last sixth of
/// the shortest grace, in which a server at work excuses no answer.
const LAST_ANSWERS: Duration = Duration::from_millis(900);

/// One entry host.
pub(crate) struct Front {
    pub(crate) settings: FrontSettings,
    pub(crate) store: StoreClient,
    pub(crate) pool: Pool,
    pub(crate) counters: Counters,
    router: Mutex<Router>,
    missing: Mutex<Vec<Missing>>,
    leaving: AtomicBool,
    leaving_since: AtomicU64,
    /// How far each kind is known.
    freshness: Mutex<BTreeMap<Kind, Freshness>>,
    /// The kind that finds out for all of them whether the store answers again.
    probe: Mutex<Option<Kind>>,
    servers_read: AtomicBool,
    evacuations_read: AtomicBool,
    under_way: AtomicUsize,
    closing_idle: AtomicBool,
    granter_heard: AtomicU64,
    leading: Mutex<Option<Arc<Leading>>>,
    accepting: Mutex<Option<JoinHandle<()>>>,
}

impl Front {
    /// Makes a host that knows nothing yet.
    pub(crate) fn new(settings: FrontSettings) -> Self {
        Self {
            store: StoreClient::new(settings.store),
            pool: Pool::default(),
            counters: Counters::default(),
            router: Mutex::new(Router::new(settings.router())),
            missing: Mutex::default(),
            leaving: AtomicBool::new(false),
            leaving_since: AtomicU64::new(0),
            freshness: Mutex::default(),
            probe: Mutex::default(),
            servers_read: AtomicBool::new(false),
            evacuations_read: AtomicBool::new(false),
            under_way: AtomicUsize::new(0),
            closing_idle: AtomicBool::new(false),
            granter_heard: AtomicU64::new(0),
            leading: Mutex::default(),
            accepting: Mutex::default(),
            settings,
        }
    }

    /// Uses the router, and writes what it has to say.
    pub(crate) fn route<T>(&self, act: impl FnOnce(&mut Router, Time) -> T) -> T {
        let mut router = lock(&self.router);
        let result = act(&mut router, clock::now());
        let records = router.take_log();
        drop(router);
        for record in &records {
            write_log(&self.settings.name, record);
        }
        result
    }

    /// Writes one line of the event catalogue.
    pub(crate) fn log(&self, code: Code, subject: impl Into<String>, detail: impl Into<String>) {
        write_log(&self.settings.name, &Record::new(code, subject, detail));
    }

    /// Notes that the servers were read from the store.
    pub(crate) fn set_servers_read(&self) {
        self.servers_read.store(true, Ordering::Relaxed);
    }

    /// Notes that the evacuations were read from the store.
    pub(crate) fn set_evacuations_read(&self) {
        self.evacuations_read.store(true, Ordering::Relaxed);
    }

    /// Whether the host should get new connections.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_leaving()
            && self.servers_read.load(Ordering::Relaxed)
            && self.evacuations_read.load(Ordering::Relaxed)
            && self.route(|router, _| router.config().is_some())
    }

    /// Whether an orderly stop has begun.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Whether an orderly stop has gone so far that a new request might not end before it does.
    pub(crate) fn refuses(&self) -> bool {
        let since = Time::from_micros(self.leaving_since.load(Ordering::Relaxed));
        self.is_leaving() && clock::now().since(since) >= LAST_REQUESTS
    }

    /// Whether the process is about to end, so that whatever is under way has to be answered.
    pub(crate) fn ends(&self) -> bool {
        let since = Time::from_micros(self.leaving_since.load(Ordering::Relaxed));
        let span = self.settings.grace.saturating_sub(LAST_ANSWERS);
        self.is_leaving() && clock::now().since(since) >= span
    }

    /// How fresh a kind is.
    pub(crate) fn freshness(&self, kind: Kind) -> Freshness {
        lock(&self.freshness).get(kind).copied().unwrap_or_default()
    }

    /// Changes what is known of how fresh a kind is.
    pub(crate) fn refresh<T>(&self, kind: Kind, act: impl FnOnce(&mut Freshness, Time) -> T) -> T {
        act(lock(&self.freshness).entry(kind).or_default(), clock::now())
    }

    /// Whether a kind is the one that finds out if the store answers again.
    pub(crate) fn begin_probe(&self, kind: Kind) -> bool {
        *lock(&self.probe).get_or_insert(kind) == kind
    }

    /// Leaves it to another kind to find out if the store answers again.
    pub(crate) fn end_probe(&self, kind: Kind) {
        lock(&self.probe).take_if(|probing| *probing == kind);
    }

    /// Whether the granting host tells this one of changes, so that it need not watch a kind.
    pub(crate) fn is_told(&self, kind: Kind) -> bool {
        let now = clock::now();
        let following = self.leading().is_none() && now.since(self.granter_heard()) < SILENCE;
        following && self.freshness(kind).is_told(now)
    }

    /// Begins an orderly stop.
    pub(crate) fn leave(&self) {
        let now = clock::now().as_micros();
        self.leaving_since.store(now, Ordering::Relaxed);
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Whether connections without a request are to be closed.
    pub(crate) fn closes_idle(&self) -> bool {
        self.closing_idle.load(Ordering::Relaxed)
    }

    /// Accepts no more callers, and closes connections without a request.
    pub(crate) fn close_idle(&self) {
        self.closing_idle.store(true, Ordering::Relaxed);
        // Dropping the task's handle would leave it running; cancelling closes the listener.
        if let Some(accepting) = lock(&self.accepting).take() {
            async_std::task::spawn(accepting.cancel());
        }
    }

    /// Keeps the task that accepts callers.
    pub(crate) fn set_accepting(&self, accepting: JoinHandle<()>) {
        *lock(&self.accepting) = Some(accepting);
    }

    /// What this host keeps as the granting one, while it is.
    pub(crate) fn leading(&self) -> Option<Arc<Leading>> {
        lock(&self.leading).clone()
    }

    /// Begins or ends being the granting host.
    pub(crate) fn set_leading(&self, leading: Option<Arc<Leading>>) {
        *lock(&self.leading) = leading;
    }

    /// When the granting host was last heard; now, on the granting host itself.
    pub(crate) fn granter_heard(&self) -> Time {
        if self.leading().is_some() {
            return clock::now();
        }
        Time::from_micros(self.granter_heard.load(Ordering::Relaxed))
    }

    /// Notes that the granting host was heard.
    pub(crate) fn hear_granter(&self) {
        self.granter_heard
            .store(clock::now().as_micros(), Ordering::Relaxed);
    }

    /// Requests under way.
    pub(crate) fn under_way(&self) -> usize {
        self.under_way.load(Ordering::Relaxed)
    }

    /// Counts a request as under way until the guard is dropped.
    pub(crate) fn begin(&self) -> UnderWay<'_> {
        self.under_way.fetch_add(1, Ordering::Relaxed);
        UnderWay {
            count: &self.under_way,
        }
    }

    /// Notes that a server does not hold a key that it should.
    pub(crate) fn note_missing(&self, missing: Missing) {
        lock(&self.missing).push(missing);
    }

    /// Takes what was noted of servers that do not hold their keys.
    pub(crate) fn take_missing(&self) -> Vec<Missing> {
        std::mem::take(&mut lock(&self.missing))
    }
}

/// Counts one request as under way.
pub(crate) struct UnderWay<'a> {
    count: &'a AtomicUsize,
}

impl Drop for UnderWay<'_> {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::Relaxed);
    }
}
