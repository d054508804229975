//! A stand-in for the platform's object store and host list.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use amaranthshunt_clients::{Change, Changes, HostEntry};
use async_std::task;
use http_types::StatusCode;
use serde::Deserialize;
use serde_json::value::RawValue;
use tide::{Request, Response};

use crate::serve::{Tasks, serve};

/// Time between two looks of a waiting watch.
const WATCH_POLL: Duration = Duration::from_millis(3);
/// Time for which a store that is down keeps a call waiting.
const DOWN_WAIT: Duration = Duration::from_secs(10);

/// An object store in memory, with faults that can be switched on.
#[derive(Clone, Debug)]
pub struct StoreStandIn {
    address: SocketAddr,
    tasks: Tasks,
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    down: AtomicBool,
    lossy: AtomicBool,
    delay_millis: AtomicU64,
    reads: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    objects: BTreeMap<String, Stored>,
    hosts: Vec<HostEntry>,
}

#[derive(Debug)]
struct Stored {
    revision: u64,
    value: Option<Vec<u8>>,
}

#[derive(Deserialize)]
struct ChangesQuery {
    prefix: String,
    after: u64,
    wait_ms: u64,
}

impl StoreStandIn {
    /// Starts a store on an address.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be listened on.
    pub async fn start(address: SocketAddr) -> std::io::Result<Self> {
        let store = Self {
            address,
            tasks: Tasks::default(),
            shared: Arc::default(),
        };
        let mut app = tide::with_state(store.shared.clone());
        app.at("/objects/*key").get(get).put(put).delete(delete);
        app.at("/changes").get(changes);
        app.at("/hosts").get(hosts);
        serve(address, app, &store.tasks).await?;
        Ok(store)
    }

    /// Where the store listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Lets every call but that for the host list wait without an answer, or ends that.
    pub fn set_down(&self, down: bool) {
        self.shared.down.store(down, Ordering::Relaxed);
    }

    /// Loses the reply of every second write after it took effect, or ends that.
    pub fn set_lossy(&self, lossy: bool) {
        self.shared.lossy.store(lossy, Ordering::Relaxed);
    }

    /// Delays every call.
    pub fn set_delay(&self, delay: Duration) {
        let millis = delay.as_millis() as u64;
        self.shared.delay_millis.store(millis, Ordering::Relaxed);
    }

    /// Sets the platform's list of hosts.
    pub fn set_hosts(&self, hosts: Vec<HostEntry>) {
        self.shared.lock().hosts = hosts;
    }

    /// Reads, writes and watches so far.
    pub fn calls(&self) -> (u64, u64, u64) {
        let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let shared = &self.shared;
        (
            count(&shared.reads),
            count(&shared.writes),
            count(&shared.watches),
        )
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Delays a call, and does not return while the store is down.
    async fn enter(&self) {
        let until = Instant::now() + DOWN_WAIT;
        while self.down.load(Ordering::Relaxed) && Instant::now() < until {
            task::sleep(WATCH_POLL).await;
        }
        let delay = self.delay_millis.load(Ordering::Relaxed);
        if delay > 0 {
            task::sleep(Duration::from_millis(delay)).await;
        }
    }

    /// Loses the reply to a write now and then.
    async fn leave_write(&self) {
        let writes = self.writes.fetch_add(1, Ordering::Relaxed);
        if self.lossy.load(Ordering::Relaxed) && writes.is_multiple_of(2) {
            task::sleep(DOWN_WAIT).await;
        }
    }
}

type Call = Request<Arc<Shared>>;

async fn get(request: Call) -> tide::Result {
    let shared = request.state().clone();
    shared.enter().await;
    shared.reads.fetch_add(1, Ordering::Relaxed);
    let key = request.param("key").unwrap_or_default();
    let state = shared.lock();
    let found = state.objects.get(key);
    let revision = found.map_or(0, |stored| stored.revision);
    let value = found.and_then(|stored| stored.value.clone());
    let status = if value.is_some() {
        StatusCode::Ok
    } else {
        StatusCode::NotFound
    };
    let mut response = tagged(status, revision);
    response.set_body(value.unwrap_or_default());
    Ok(response)
}

async fn put(mut request: Call) -> tide::Result {
    let value = request.body_bytes().await?;
    write(request, Some(value)).await
}

async fn delete(request: Call) -> tide::Result {
    write(request, None).await
}

async fn write(request: Call, value: Option<Vec<u8>>) -> tide::Result {
    let shared = request.state().clone();
    shared.enter().await;
    let key = request.param("key").unwrap_or_default().to_owned();
    let expected = request
        .header("if-match")
        .and_then(|values| values.last().as_str().parse().ok());
    let response = shared.lock().write(&key, expected, value);
    shared.leave_write().await;
    Ok(response)
}

impl State {
    fn write(&mut self, key: &str, expected: Option<u64>, value: Option<Vec<u8>>) -> Response {
        let current = self.objects.get(key).map_or(0, |stored| stored.revision);
        if expected != Some(current) {
            return tagged(StatusCode::PreconditionFailed, current);
        }
        self.revision += 1;
        let revision = self.revision;
        self.objects
            .insert(key.to_owned(), Stored { revision, value });
        tagged(StatusCode::Ok, revision)
    }

    fn changes(&self, prefix: &str, after: u64) -> Changes {
        let objects = self
            .objects
            .iter()
            .filter(|(key, stored)| key.starts_with(prefix) && stored.revision > after)
            .map(|(key, stored)| Change {
                key: key.clone(),
                revision: stored.revision,
                value: stored.value.as_deref().and_then(raw),
            });
        Changes {
            revision: self.revision,
            objects: objects.collect(),
        }
    }
}

async fn changes(request: Call) -> tide::Result {
    let shared = request.state().clone();
    let query: ChangesQuery = request.query()?;
    shared.watches.fetch_add(1, Ordering::Relaxed);
    let until = Instant::now() + Duration::from_millis(query.wait_ms);
    loop {
        shared.enter().await;
        let found = shared.lock().changes(&query.prefix, query.after);
        if !found.objects.is_empty() || Instant::now() >= until {
            return Ok(Response::builder(StatusCode::Ok)
                .body(tide::Body::from_json(&found)?)
                .build());
        }
        task::sleep(WATCH_POLL).await;
    }
}

async fn hosts(request: Call) -> tide::Result {
    let listed = request.state().lock().hosts.clone();
    Ok(tide::Body::from_json(&listed)?.into())
}

fn raw(value: &[u8]) -> Option<Box<RawValue>> {
    let text = String::from_utf8(value.to_vec()).ok()?;
    RawValue::from_string(text).ok()
}

fn tagged(status: StatusCode, revision: u64) -> Response {
    Response::builder(status)
        .header("etag", format!("\"{revision}\""))
        .build()
}
