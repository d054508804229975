//! The platform's store: objects by kind and name, conditional writes, watches.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_std::task;
use serde_json::{Value, json};
use tide::{Request, Response};

use crate::lock::lock;
use crate::serve::{Tasks, serve};

/// Time between two looks for changes that a watch waits for.
const POLL: Duration = Duration::from_millis(10);
/// Changes that are remembered.
const HISTORY: usize = 4_000;

/// What is wrong with the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StoreFault {
    /// Nothing.
    #[default]
    None,
    /// It turns every call away.
    Busy,
    /// It answers nothing.
    Silent,
    /// It does what it is told and loses its answers to writes.
    LosesAnswers,
    /// Its answers take so many milliseconds.
    Slow(u64),
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Value>,
    history: Vec<(u64, String, Value, bool)>,
    forgotten: u64,
    fault: StoreFault,
    calls: u64,
}

impl State {
    fn note(&mut self, kind: &str, object: Value, deleted: bool) {
        self.history
            .push((self.revision, kind.to_owned(), object, deleted));
        if self.history.len() > HISTORY {
            let dropped = self.history.remove(0);
            self.forgotten = dropped.0;
        }
    }

    fn put(&mut self, kind: &str, name: &str, spec: Value, status: Value) -> Value {
        self.revision += 1;
        let metadata = json!({ "Name": name, "Revision": self.revision });
        let object = json!({ "Metadata": metadata, "Spec": spec, "Status": status });
        let key = (kind.to_owned(), name.to_owned());
        self.objects.insert(key, object.clone());
        self.note(kind, object.clone(), false);
        object
    }

    fn remove(&mut self, kind: &str, name: &str) {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(object) = self.objects.remove(&key) {
            self.revision += 1;
            self.note(kind, object, true);
        }
    }
}

/// A store in this process.
#[derive(Clone, Debug)]
pub struct ObjectStore {
    state: Arc<Mutex<State>>,
    address: SocketAddr,
}

impl ObjectStore {
    /// Starts a store.
    ///
    /// # Errors
    ///
    /// Fails where the address cannot be listened at.
    pub async fn start(address: SocketAddr) -> std::io::Result<Self> {
        let store = Self {
            state: Arc::default(),
            address,
        };
        let mut app = tide::with_state(store.clone());
        app.at("/objects/:kind").get(list_or_watch).post(create);
        app.at("/objects/:kind/:name").get(read).put(replace);
        // The tasks end with the process.
        serve(address, app, &Tasks::default()).await?;
        Ok(store)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets what is wrong with it.
    pub fn set_fault(&self, fault: StoreFault) {
        lock(&self.state).fault = fault;
    }

    /// What is wrong with it.
    pub fn fault(&self) -> StoreFault {
        lock(&self.state).fault
    }

    /// Drops its history.
    pub fn forget(&self) {
        let mut state = lock(&self.state);
        state.history.clear();
        state.forgotten = state.revision;
    }

    /// Writes an object as its owner does, outside of any fault.
    pub fn put(&self, kind: &str, name: &str, spec: Value, status: Value) {
        lock(&self.state).put(kind, name, spec, status);
    }

    /// Removes an object as its owner does, outside of any fault.
    pub fn remove(&self, kind: &str, name: &str) {
        lock(&self.state).remove(kind, name);
    }

    /// Calls that it was asked.
    pub fn calls(&self) -> u64 {
        lock(&self.state).calls
    }

    /// Ends the call as the fault says, or lets it go on.
    async fn admit(&self) -> Option<Response> {
        let fault = {
            let mut state = lock(&self.state);
            state.calls += 1;
            state.fault
        };
        match fault {
            StoreFault::Busy => Some(Response::new(503)),
            StoreFault::Silent => futures::future::pending().await,
            StoreFault::Slow(millis) => {
                task::sleep(Duration::from_millis(millis)).await;
                None
            }
            StoreFault::None | StoreFault::LosesAnswers => None,
        }
    }

    async fn answer_write(&self, status: u16, body: &Value) -> Response {
        if self.fault() == StoreFault::LosesAnswers {
            futures::future::pending::<()>().await;
        }
        answer(status, body)
    }
}

fn answer(status: u16, body: &Value) -> Response {
    let mut response = Response::new(status);
    response.set_body(body.to_string());
    response.set_content_type("application/json");
    response
}

fn query(request: &Request<ObjectStore>, name: &str) -> Option<String> {
    let mut pairs = request.url().query_pairs();
    pairs
        .find(|(key, _)| key == name)
        .map(|(_, value)| value.into_owned())
}

async fn list_or_watch(request: Request<ObjectStore>) -> tide::Result {
    let store = request.state().clone();
    if let Some(response) = store.admit().await {
        return Ok(response);
    }
    let kind = request.param("kind")?.to_owned();
    let Some(from) = query(&request, "Watch").and_then(|text| text.parse::<u64>().ok()) else {
        let state = lock(&store.state);
        let items = state
            .objects
            .iter()
            .filter(|((known, _), _)| *known == kind);
        let items: Vec<&Value> = items.map(|(_, object)| object).collect();
        return Ok(answer(
            200,
            &json!({ "items": items, "More": false, "CurrentRev": state.revision }),
        ));
    };
    let wait = query(&request, "WaitMs")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let end = Instant::now() + Duration::from_millis(wait);
    loop {
        {
            let state = lock(&store.state);
            if from < state.forgotten {
                return Ok(Response::new(410));
            }
            let events = state
                .history
                .iter()
                .filter(|(revision, known, _, _)| *revision > from && *known == kind);
            let events: Vec<Value> = events
                .map(|(_, _, object, deleted)| json!({ "Object": object, "Deleted": deleted }))
                .collect();
            if !events.is_empty() || Instant::now() >= end {
                return Ok(answer(
                    200,
                    &json!({ "events": events, "CurrentRev": state.revision }),
                ));
            }
        }
        if store.fault() == StoreFault::Silent {
            futures::future::pending::<()>().await;
        }
        task::sleep(POLL).await;
    }
}

async fn read(request: Request<ObjectStore>) -> tide::Result {
    let store = request.state().clone();
    if let Some(response) = store.admit().await {
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
        .map_or_else(|| Response::new(404), |object| answer(200, object)))
}

async fn create(mut request: Request<ObjectStore>) -> tide::Result {
    let store = request.state().clone();
    if let Some(response) = store.admit().await {
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
    Ok(store.answer_write(status, &object).await)
}

async fn replace(mut request: Request<ObjectStore>) -> tide::Result {
    let store = request.state().clone();
    if let Some(response) = store.admit().await {
        return Ok(response);
    }
    let body: Value = request.body_json().await?;
    let (kind, name) = (
        request.param("kind")?.to_owned(),
        request.param("name")?.to_owned(),
    );
    let (status, object) = {
        let mut state = lock(&store.state);
        let Some(known) = state.objects.get(&(kind.clone(), name.clone())).cloned() else {
            return Ok(Response::new(404));
        };
        let wanted = body["Metadata"]["Revision"].as_u64();
        if wanted.is_some_and(|wanted| Some(wanted) != known["Metadata"]["Revision"].as_u64()) {
            (409, known)
        } else {
            (
                200,
                state.put(&kind, &name, body["Spec"].clone(), known["Status"].clone()),
            )
        }
    };
    Ok(store.answer_write(status, &object).await)
}
