//! A fake of the platform's store: objects by kind and name, conditional writes, watches.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_std::task;
use serde_json::{Value, json};
use tide::{Request, Response};

use crate::lock::lock;
use crate::serve::{Tasks, serve};

/// Interval at which a waiting watch checks for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Number of changes kept for watches; a watch from an older revision gets 410.
const MAX_HISTORY_CHANGES: usize = 4_000;

/// A fault of the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StoreFault {
    /// No fault.
    #[default]
    None,
    /// Every call is answered with 503.
    Unavailable,
    /// No call is answered.
    Silent,
    /// Writes take effect but are not answered.
    DropsWriteResponses,
    /// Answers are delayed by this many milliseconds.
    Slow(u64),
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Value>,
    /// Changes: revision, kind, object, and whether the object was deleted.
    history: Vec<(u64, String, Value, bool)>,
    /// Revision of the newest change that `history` no longer has.
    dropped_revision: u64,
    fault: StoreFault,
    calls: u64,
}

impl State {
    fn append_history(&mut self, kind: &str, object: Value, deleted: bool) {
        self.history
            .push((self.revision, kind.to_owned(), object, deleted));
        if self.history.len() > MAX_HISTORY_CHANGES {
            let dropped = self.history.remove(0);
            self.dropped_revision = dropped.0;
        }
    }

    fn put(&mut self, kind: &str, name: &str, spec: Value, status: Value) -> Value {
        self.revision += 1;
        let metadata = json!({ "Name": name, "Revision": self.revision });
        let object = json!({ "Metadata": metadata, "Spec": spec, "Status": status });
        let key = (kind.to_owned(), name.to_owned());
        self.objects.insert(key, object.clone());
        self.append_history(kind, object.clone(), false);
        object
    }

    fn remove(&mut self, kind: &str, name: &str) {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(object) = self.objects.remove(&key) {
            self.revision += 1;
            self.append_history(kind, object, true);
        }
    }
}

/// A fake store that runs in this process.
#[derive(Clone, Debug)]
pub struct FakeObjectStore {
    state: Arc<Mutex<State>>,
    address: SocketAddr,
}

impl FakeObjectStore {
    /// Starts a store on an address.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(address: SocketAddr) -> std::io::Result<Self> {
        let store = Self {
            state: Arc::default(),
            address,
        };
        let mut app = tide::with_state(store.clone());
        app.at("/objects/:kind").get(list_or_watch).post(create);
        app.at("/objects/:kind/:name").get(read).put(replace);
        // The server is never stopped; its tasks end with the process.
        serve(address, app, &Tasks::default()).await?;
        Ok(store)
    }

    /// The address that the store listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault.
    pub fn set_fault(&self, fault: StoreFault) {
        lock(&self.state).fault = fault;
    }

    /// The current fault.
    pub fn fault(&self) -> StoreFault {
        lock(&self.state).fault
    }

    /// Drops the change history, so that watches from earlier revisions get 410.
    pub fn drop_history(&self) {
        let mut state = lock(&self.state);
        state.history.clear();
        state.dropped_revision = state.revision;
    }

    /// Writes an object directly, unaffected by faults.
    pub fn put(&self, kind: &str, name: &str, spec: Value, status: Value) {
        lock(&self.state).put(kind, name, spec, status);
    }

    /// Removes an object directly, unaffected by faults.
    pub fn remove(&self, kind: &str, name: &str) {
        lock(&self.state).remove(kind, name);
    }

    /// Number of calls received.
    pub fn calls(&self) -> u64 {
        lock(&self.state).calls
    }

    /// Applies the current fault to a call; returns a response if the fault ends the call.
    async fn apply_fault(&self) -> Option<Response> {
        let fault = {
            let mut state = lock(&self.state);
            state.calls += 1;
            state.fault
        };
        match fault {
            StoreFault::Unavailable => Some(Response::new(503)),
            StoreFault::Silent => futures::future::pending().await,
            StoreFault::Slow(millis) => {
                task::sleep(Duration::from_millis(millis)).await;
                None
            }
            StoreFault::None | StoreFault::DropsWriteResponses => None,
        }
    }

    async fn write_response(&self, status: u16, body: &Value) -> Response {
        if self.fault() == StoreFault::DropsWriteResponses {
            futures::future::pending::<()>().await;
        }
        json_response(status, body)
    }
}

fn json_response(status: u16, body: &Value) -> Response {
    let mut response = Response::new(status);
    response.set_body(body.to_string());
    response.set_content_type("application/json");
    response
}

fn query_parameter(request: &Request<FakeObjectStore>, name: &str) -> Option<String> {
    let mut pairs = request.url().query_pairs();
    pairs
        .find(|(key, _)| key == name)
        .map(|(_, value)| value.into_owned())
}

async fn list_or_watch(request: Request<FakeObjectStore>) -> tide::Result {
    let store = request.state().clone();
    if let Some(response) = store.apply_fault().await {
        return Ok(response);
    }
    let kind = request.param("kind")?.to_owned();
    let Some(from) = query_parameter(&request, "Watch").and_then(|text| text.parse::<u64>().ok())
    else {
        let state = lock(&store.state);
        let items = state
            .objects
            .iter()
            .filter(|((stored_kind, _), _)| *stored_kind == kind);
        let items: Vec<&Value> = items.map(|(_, object)| object).collect();
        return Ok(json_response(
            200,
            &json!({ "items": items, "More": false, "CurrentRev": state.revision }),
        ));
    };
    let wait = query_parameter(&request, "WaitMs")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let deadline = Instant::now() + Duration::from_millis(wait);
    loop {
        {
            let state = lock(&store.state);
            if from < state.dropped_revision {
                return Ok(Response::new(410));
            }
            let events = state
                .history
                .iter()
                .filter(|(revision, stored_kind, _, _)| *revision > from && *stored_kind == kind);
            let events: Vec<Value> = events
                .map(|(_, _, object, deleted)| json!({ "Object": object, "Deleted": deleted }))
                .collect();
            if !events.is_empty() || Instant::now() >= deadline {
                return Ok(json_response(
                    200,
                    &json!({ "events": events, "CurrentRev": state.revision }),
                ));
            }
        }
        if store.fault() == StoreFault::Silent {
            futures::future::pending::<()>().await;
        }
        task::sleep(POLL_INTERVAL).await;
    }
}

async fn read(request: Request<FakeObjectStore>) -> tide::Result {
    let store = request.state().clone();
    if let Some(response) = store.apply_fault().await {
        return Ok(response);
    }
    let key = (
        request.param("kind")?.to_owned(),
        request.param("name")?.to_owned(),
    );
    let state = lock(&store.state);
    Ok(state
        .objects
        .get(&key)
        .map_or_else(|| Response::new(404), |object| json_response(200, object)))
}

async fn create(mut request: Request<FakeObjectStore>) -> tide::Result {
    let store = request.state().clone();
    if let Some(response) = store.apply_fault().await {
        return Ok(response);
    }
    let body: Value = request.body_json().await?;
    let kind = request.param("kind")?.to_owned();
    let name = body["Metadata"]["Name"]
        .as_str()
        .unwrap_or_default()
        .to_owned();
    let (status, object) = {
        let mut state = lock(&store.state);
        match state.objects.get(&(kind.clone(), name.clone())) {
            Some(object) => (409, object.clone()),
            None => (
                201,
                state.put(&kind, &name, body["Spec"].clone(), Value::Null),
            ),
        }
    };
    Ok(store.write_response(status, &object).await)
}

async fn replace(mut request: Request<FakeObjectStore>) -> tide::Result {
    let store = request.state().clone();
    if let Some(response) = store.apply_fault().await {
        return Ok(response);
    }
    let body: Value = request.body_json().await?;
    let (kind, name) = (
        request.param("kind")?.to_owned(),
        request.param("name")?.to_owned(),
    );
    let (status, object) = {
        let mut state = lock(&store.state);
        let Some(current) = state.objects.get(&(kind.clone(), name.clone())).cloned() else {
            return Ok(Response::new(404));
        };
        let expected = body["Metadata"]["Revision"].as_u64();
        if expected
            .is_some_and(|expected| Some(expected) != current["Metadata"]["Revision"].as_u64())
        {
            (409, current)
        } else {
            (
                200,
                state.put(
                    &kind,
                    &name,
                    body["Spec"].clone(),
                    current["Status"].clone(),
                ),
            )
        }
    };
    Ok(store.write_response(status, &object).await)
}
