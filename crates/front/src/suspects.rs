//! Keeps requests that crash servers from being sent to one server after the other.
//!
//! `docs/platform-path.md`, "Requests that crash servers", says what counts as a crash.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use amaranthshunt_core::Time;
use amaranthshunt_core::front::{
    CrashNotices, CrashTracker, CrashVerdict, RefusalCause, RouteRefusal, ServerEntry,
};
use amaranthshunt_core::log::EventCode;
use amaranthshunt_core::quarantine::CrashId;
use amaranthshunt_platform as platform;
use async_std::future::timeout;
use async_std::sync::MutexGuardArc;
use async_std::task;
use xxhash_rust::xxh3::Xxh3;

use crate::clock;
use crate::entry_host::EntryHost;
use crate::http::{Body, Connection, HttpError, RequestHead};
use crate::lock::lock;
use crate::proxy::Request;

/// Pauses before each attempt to connect to a server that has broken off a connection.
const PROBE_PAUSES: [Duration; 5] = [
    Duration::from_millis(50),
    Duration::from_millis(200),
    Duration::from_millis(300),
    Duration::from_millis(400),
    Duration::from_millis(600),
];
/// Timeout of such an attempt.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Refused connections in a row that show that no process listens any more.
const REFUSALS_OF_ENDED: usize = 2;
/// Headers that tell requests with the same target and body apart.
const IDENTIFYING_HEADERS: [&str; 3] = ["host", "authorization", platform::SHARD_KEY];
/// `Retry-After` of a request that has waited in vain for another attempt of it.
const RETRY_AFTER: Duration = Duration::from_millis(300);

type Turn = Arc<async_std::sync::Mutex<()>>;

/// The requests that have been running when servers crashed.
#[derive(Debug, Default)]
pub(crate) struct Suspects {
    tracker: Mutex<CrashTracker>,
    /// Servers that have broken off connections, by their lives.
    observed: Mutex<BTreeMap<CrashId, ServerEntry>>,
    /// Suspects are sent one at a time.
    turns: Mutex<HashMap<u64, Turn>>,
}

/// The right to send a suspect, or any request that is none.
pub(crate) type SendPermit = Option<MutexGuardArc<()>>;

/// Why a request is not sent.
#[derive(Clone, Debug)]
pub(crate) struct SuspectRefusal {
    pub(crate) refusal: RouteRefusal,
    /// The fingerprint and the number of crashes, for the log.
    pub(crate) detail: String,
}

/// Identifies a request that is sent again, whatever its identifier is.
pub(crate) fn fingerprint(head: &RequestHead, body: &Body) -> u64 {
    let headers = IDENTIFYING_HEADERS.map(|name| head.headers.get(name).unwrap_or_default());
    let mut hash = Xxh3::new();
    for part in [head.method.as_str(), head.target.as_str()]
        .into_iter()
        .chain(headers)
    {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part.as_bytes());
    }
    for part in body.parts() {
        hash.update(part);
    }
    hash.digest()
}

/// The life of a server's process.
pub(crate) fn life(server: &str, start: Option<u64>) -> CrashId {
    CrashId::new(server, start.unwrap_or_default())
}

impl Suspects {
    /// Whether nothing is known of any request, so that no fingerprint is needed.
    pub(crate) fn is_idle(&self) -> bool {
        lock(&self.tracker).is_idle()
    }

    /// Takes in what another host has told.
    pub(crate) fn apply(&self, notices: &CrashNotices) {
        lock(&self.tracker).apply(clock::now(), notices);
    }

    /// Takes what this host has observed and not reported yet.
    pub(crate) fn take_unreported(&self) -> CrashNotices {
        lock(&self.tracker).take_unreported()
    }

    /// Everything that this host has learnt since a time.
    pub(crate) fn learnt_since(&self, since: Time) -> CrashNotices {
        lock(&self.tracker).learnt_since(since)
    }

    /// Whether a request was running during a crash.
    pub(crate) fn is_suspect(&self, fingerprint: u64) -> bool {
        lock(&self.tracker).verdict(clock::now(), fingerprint) != CrashVerdict::Unknown
    }

    /// Waits until a request may be sent: at once, unless another attempt of a suspect is running.
    ///
    /// # Errors
    ///
    /// Fails if the request has crashed too many servers, or its turn does not come within `limit`.
    pub(crate) async fn admit(
        &self,
        fingerprint: u64,
        limit: Duration,
    ) -> Result<SendPermit, SuspectRefusal> {
        let verdict = || lock(&self.tracker).verdict(clock::now(), fingerprint);
        match verdict() {
            CrashVerdict::Unknown => return Ok(None),
            CrashVerdict::Quarantined(crashes) => return Err(quarantined(fingerprint, crashes)),
            CrashVerdict::Suspect => {}
        }
        let turn = lock(&self.turns).entry(fingerprint).or_default().clone();
        let Ok(permit) = timeout(limit, turn.lock_arc()).await else {
            let cause = RefusalCause::Suspect;
            let retry_after = Some(RETRY_AFTER);
            return Err(SuspectRefusal {
                refusal: RouteRefusal { cause, retry_after },
                detail: format!("request {fingerprint:016x} is running elsewhere"),
            });
        };
        match verdict() {
            CrashVerdict::Unknown => Ok(None),
            CrashVerdict::Quarantined(crashes) => Err(quarantined(fingerprint, crashes)),
            CrashVerdict::Suspect => Ok(Some(permit)),
        }
    }

    /// Records a complete response of a server.
    pub(crate) fn record_answer(&self, entry: &ServerEntry, fingerprint: impl FnOnce() -> u64) {
        let mut tracker = lock(&self.tracker);
        if !tracker.is_idle() {
            tracker.record_answer(clock::now(), life(&entry.id, entry.start_id), fingerprint());
        }
    }

    /// Counts the lives of servers that the store no longer lists, and forgets what is old.
    pub(crate) fn sweep(&self, host: &EntryHost) {
        if self.is_idle() {
            return;
        }
        let observed = lock(&self.observed).clone();
        for (life, entry) in observed {
            let is_listed = host.with_router(|router, _| {
                let servers = router.servers();
                let listed = servers.find(&entry.id).and_then(|key| servers.get(key));
                listed.is_some_and(|state| state.entry.start_id == entry.start_id)
            });
            if !is_listed {
                self.confirm_end(host, life, &entry.id);
            }
        }
        let mut tracker = lock(&self.tracker);
        tracker.expire(clock::now());
        let lives = tracker.observed_lives();
        drop(tracker);
        lock(&self.observed).retain(|life, _| lives.contains(life));
        lock(&self.turns).retain(|_, turn| Arc::strong_count(turn) > 1);
    }

    fn confirm_end(&self, host: &EntryHost, life: CrashId, server: &str) {
        let now = clock::now();
        let counts = lock(&self.tracker).confirm_end(now, life);
        lock(&self.observed).remove(&life);
        for (fingerprint, crashes) in counts {
            let verdict = lock(&self.tracker).verdict(now, fingerprint);
            let code = match verdict {
                CrashVerdict::Quarantined(_) => EventCode::RequestQuarantined,
                _ => EventCode::RequestSuspect,
            };
            let detail = format!("request {fingerprint:016x}, {crashes} crashes");
            host.log(code, server, detail);
        }
    }
}

fn quarantined(fingerprint: u64, crashes: usize) -> SuspectRefusal {
    let cause = RefusalCause::Quarantined;
    SuspectRefusal {
        refusal: RouteRefusal {
            cause,
            retry_after: None,
        },
        detail: format!("request {fingerprint:016x}, {crashes} crashes"),
    }
}

/// Whether a connection has broken off, as it does when the process at its other end ends.
pub(crate) fn is_broken_off(error: &HttpError) -> bool {
    match error {
        HttpError::Closed => true,
        HttpError::Io(error) => matches!(
            error.kind(),
            io::ErrorKind::BrokenPipe
                | io::ErrorKind::ConnectionAborted
                | io::ErrorKind::ConnectionReset
                | io::ErrorKind::UnexpectedEof
        ),
        _ => false,
    }
}

/// Records that a server has broken off the connection of a request, and finds out whether its process
/// has ended. That of one that leaves ends as planned.
pub(crate) fn record_loss(
    host: &Arc<EntryHost>,
    request: &Request,
    entry: &ServerEntry,
    began: Time,
    probes: bool,
) {
    let is_leaving = host.with_router(|router, _| {
        let state = router.servers().life(&entry.id, entry.start_id);
        state.is_some_and(|state| state.is_leaving())
    });
    if is_leaving {
        return;
    }
    let life = life(&entry.id, entry.start_id);
    let suspects = &host.suspects;
    let fingerprint = request.fingerprint();
    let is_first = lock(&suspects.tracker).record_loss(clock::now(), life, fingerprint, began);
    lock(&suspects.observed).insert(life, entry.clone());
    if is_first && probes {
        task::spawn(probe(host.clone(), life, entry.clone()));
    }
}

/// Connects to a server that has broken off connections until it is shown that nothing listens there.
async fn probe(host: Arc<EntryHost>, life: CrashId, entry: ServerEntry) {
    let mut refusals = 0;
    for pause in PROBE_PAUSES {
        task::sleep(pause).await;
        match Connection::open(entry.address, PROBE_TIMEOUT).await {
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => refusals += 1,
            _ => refusals = 0,
        }
        if refusals >= REFUSALS_OF_ENDED {
            // A host that is cut from all servers learns nothing of this one.
            if host.reaches_servers() {
                host.suspects.confirm_end(&host, life, &entry.id);
            }
            return;
        }
    }
}
