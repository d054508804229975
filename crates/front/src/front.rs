//! What the parts of one entry host share.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use amaranthshunt_core::Time;
use amaranthshunt_core::front::{FrontSettings, Router};
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
/// Time for which a watch may miss a change that the granting host has seen: both read the store
/// a moment apart.
const BEHIND: Duration = Duration::from_millis(700);

/// How far a kind is known.
#[derive(Clone, Copy, Debug, Default)]
struct Known {
    /// The store's revision up to which nothing is missing.
    complete: u64,
    /// The revision of the last change.
    change: u64,
}

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
    changes: Mutex<BTreeMap<Kind, Known>>,
    /// The same, as the granting host tells it, and since when this host is behind.
    told_changes: Mutex<BTreeMap<Kind, (u64, Time)>>,
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
            changes: Mutex::default(),
            told_changes: Mutex::default(),
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

    /// Notes how far a kind is known, and the last change that was seen of it.
    pub(crate) fn note_change(&self, kind: Kind, complete: u64, change: Option<u64>) {
        let mut changes = lock(&self.changes);
        let known = changes.entry(kind).or_default();
        known.complete = known.complete.max(complete);
        known.change = known.change.max(change.unwrap_or_default());
    }

    /// The last change that was seen of a kind; zero where none was.
    pub(crate) fn last_change(&self, kind: Kind) -> u64 {
        lock(&self.changes)
            .get(kind)
            .map_or(0, |known| known.change)
    }

    /// Takes in which change of a kind the granting host has seen last.
    pub(crate) fn tell_change(&self, kind: Kind, revision: u64) {
        let mut told = lock(&self.told_changes);
        let known = told.entry(kind).or_insert((0, Time::ZERO));
        if revision > known.0 {
            *known = (revision, clock::now());
        }
    }

    /// Whether the granting host has long seen a change of a kind that this host has not.
    pub(crate) fn is_behind(&self, kind: Kind) -> bool {
        let told = lock(&self.told_changes).get(kind).copied();
        told.is_some_and(|(revision, at)| {
            let complete = lock(&self.changes)
                .get(kind)
                .map_or(0, |known| known.complete);
            revision > complete && clock::now().since(at) >= BEHIND
        })
    }

    /// Whether the granting host has been heard just now, by this host as its follower.
    pub(crate) fn is_following(&self) -> bool {
        self.leading().is_none() && clock::now().since(self.granter_heard()) < SILENCE
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
