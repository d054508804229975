//! A fake of the object store and host list that `amaranthshunt-clients` calls.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use amaranthshunt_clients::{Change, Changes, HostEntry};
use async_std::task;
use http_types::StatusCode;
use serde_json::value::RawValue;
use tide::{Request, Response};

use crate::serve::{Tasks, serve};
use crate::targets::{Parameters, decode_path};

/// Interval at which waiting calls check for changes or for the end of an outage.
const POLL_INTERVAL: Duration = Duration::from_millis(3);
/// Time for which a call goes unanswered while the store is down or its reply is lost.
const UNANSWERED_CALL_TIME: Duration = Duration::from_secs(10);

/// An in-memory object store with switchable faults.
#[derive(Clone, Debug)]
pub struct FakeStore {
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
    objects: BTreeMap<String, StoredObject>,
    hosts: Vec<HostEntry>,
}

#[derive(Debug)]
struct StoredObject {
    revision: u64,
    value: Option<Vec<u8>>,
}

struct ChangesQuery {
    prefix: String,
    after: u64,
    wait_ms: u64,
}

impl ChangesQuery {
    fn read(parameters: &Parameters) -> Option<Self> {
        Some(Self {
            prefix: String::from_utf8(parameters.value("prefix")?.to_vec()).ok()?,
            after: parameters.number("after")?,
            wait_ms: parameters.number("wait_ms")?,
        })
    }
}

impl FakeStore {
    /// Starts a store on an address.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
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

    /// The address that the store listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets whether every call except the one for the host list goes unanswered.
    pub fn set_down(&self, down: bool) {
        self.shared.down.store(down, Ordering::Relaxed);
    }

    /// Sets whether the reply to every second write is lost after the write took effect.
    pub fn set_lossy(&self, lossy: bool) {
        self.shared.lossy.store(lossy, Ordering::Relaxed);
    }

    /// Sets a delay for every call except the one for the host list.
    pub fn set_delay(&self, delay: Duration) {
        let millis = delay.as_millis() as u64;
        self.shared.delay_millis.store(millis, Ordering::Relaxed);
    }

    /// Sets the list of hosts that `/hosts` returns.
    pub fn set_hosts(&self, hosts: Vec<HostEntry>) {
        self.shared.lock().hosts = hosts;
    }

    /// The numbers of reads, writes and watches so far.
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

    /// Delays a call, and blocks it for up to `UNANSWERED_CALL_TIME` while the store is down.
    async fn begin_call(&self) {
        let deadline = Instant::now() + UNANSWERED_CALL_TIME;
        while self.down.load(Ordering::Relaxed) && Instant::now() < deadline {
            task::sleep(POLL_INTERVAL).await;
        }
        let delay = self.delay_millis.load(Ordering::Relaxed);
        if delay > 0 {
            task::sleep(Duration::from_millis(delay)).await;
        }
    }

    /// Counts a write, and withholds the reply to every second one if the store is lossy.
    async fn finish_write(&self) {
        let writes = self.writes.fetch_add(1, Ordering::Relaxed);
        if self.lossy.load(Ordering::Relaxed) && writes.is_multiple_of(2) {
            task::sleep(UNANSWERED_CALL_TIME).await;
        }
    }
}

type StoreRequest = Request<Arc<Shared>>;

async fn get(request: StoreRequest) -> tide::Result {
    let shared = request.state().clone();
    shared.begin_call().await;
    shared.reads.fetch_add(1, Ordering::Relaxed);
    let Some(key) = decode_path(request.param("key").unwrap_or_default()) else {
        return Ok(Response::new(StatusCode::BadRequest));
    };
    let state = shared.lock();
    let stored = state.objects.get(&key);
    let revision = stored.map_or(0, |stored| stored.revision);
    let value = stored.and_then(|stored| stored.value.clone());
    let status = if value.is_some() {
        StatusCode::Ok
    } else {
        StatusCode::NotFound
    };
    let mut response = response_with_etag(status, revision);
    response.set_body(value.unwrap_or_default());
    Ok(response)
}

async fn put(mut request: StoreRequest) -> tide::Result {
    let value = request.body_bytes().await?;
    write(request, Some(value)).await
}

async fn delete(request: StoreRequest) -> tide::Result {
    write(request, None).await
}

async fn write(request: StoreRequest, value: Option<Vec<u8>>) -> tide::Result {
    let shared = request.state().clone();
    shared.begin_call().await;
    let Some(key) = decode_path(request.param("key").unwrap_or_default()) else {
        return Ok(Response::new(StatusCode::BadRequest));
    };
    let expected = request
        .header("if-match")
        .and_then(|values| values.last().as_str().parse().ok());
    let response = shared.lock().write(&key, expected, value);
    shared.finish_write().await;
    Ok(response)
}

impl State {
    fn write(&mut self, key: &str, expected: Option<u64>, value: Option<Vec<u8>>) -> Response {
        let current = self.objects.get(key).map_or(0, |stored| stored.revision);
        if expected != Some(current) {
            return response_with_etag(StatusCode::PreconditionFailed, current);
        }
        self.revision += 1;
        let revision = self.revision;
        self.objects
            .insert(key.to_owned(), StoredObject { revision, value });
        response_with_etag(StatusCode::Ok, revision)
    }

    fn changes(&self, prefix: &str, after: u64) -> Changes {
        let objects = self
            .objects
            .iter()
            .filter(|(key, stored)| key.starts_with(prefix) && stored.revision > after)
            .map(|(key, stored)| Change {
                key: key.clone(),
                revision: stored.revision,
                value: stored.value.as_deref().and_then(raw_json),
            });
        Changes {
            revision: self.revision,
            objects: objects.collect(),
        }
    }
}

async fn changes(request: StoreRequest) -> tide::Result {
    let shared = request.state().clone();
    let query = Parameters::parse(request.url().query().unwrap_or_default());
    let Some(query) = query.as_ref().and_then(ChangesQuery::read) else {
        return Ok(Response::new(StatusCode::BadRequest));
    };
    shared.watches.fetch_add(1, Ordering::Relaxed);
    let deadline = Instant::now() + Duration::from_millis(query.wait_ms);
    loop {
        shared.begin_call().await;
        let changes = shared.lock().changes(&query.prefix, query.after);
        if !changes.objects.is_empty() || Instant::now() >= deadline {
            return Ok(Response::builder(StatusCode::Ok)
                .body(tide::Body::from_json(&changes)?)
                .build());
        }
        task::sleep(POLL_INTERVAL).await;
    }
}

async fn hosts(request: StoreRequest) -> tide::Result {
    let hosts = request.state().lock().hosts.clone();
    Ok(tide::Body::from_json(&hosts)?.into())
}

fn raw_json(value: &[u8]) -> Option<Box<RawValue>> {
    let text = String::from_utf8(value.to_vec()).ok()?;
    RawValue::from_string(text).ok()
}

fn response_with_etag(status: StatusCode, revision: u64) -> Response {
    Response::builder(status)
        .header("etag", format!("\"{revision}\""))
        .build()
}
