//! A fake of the platform's store: objects by kind and name, lists in pages, conditional writes,
//! watches, and restores from a copy.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_std::task;
use serde_json::{Value, json};
use tide::utils::After;
use tide::{Request, Response};

use crate::lock::lock;
use crate::serve::{Tasks, serve};
use crate::targets::{Parameters, decode_path};

/// Interval at which a waiting watch checks for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Number of changes kept for watches; a watch from an older revision gets 410.
const MAX_HISTORY_CHANGES: usize = 4_000;

/// Objects on a page of a list, at most.
const PAGE_OBJECTS: usize = 500;
/// Bytes of the objects on a page of a list, at most, unless a single one is longer.
const PAGE_BYTES: usize = 1 << 20;

/// Longest pause between two objects that are written again after a restore.
const REWRITE_PAUSE: Duration = Duration::from_millis(60);

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
    /// Each page of a list is the first one.
    RepeatsPages,
}

/// The kind and the name of an object.
type ObjectKey = (String, String);

/// An object as it was before a change.
#[derive(Debug)]
struct Undo {
    changed_at: Instant,
    key: ObjectKey,
    before: Option<Value>,
    /// The store's revision before the change.
    revision: u64,
    /// Whether an operator or a server made the change, not amaranthshunt.
    is_external: bool,
}

#[derive(Debug)]
struct State {
    era: u64,
    undo: Vec<Undo>,
    revision: u64,
    objects: BTreeMap<ObjectKey, Value>,
    /// Changes: revision, kind, object, and whether the object was deleted.
    history: Vec<(u64, String, Value, bool)>,
    /// Revision of the newest change that `history` no longer has.
    dropped_revision: u64,
    fault: StoreFault,
    calls: u64,
    /// Objects on a page of a list, at most.
    page_objects: usize,
}

impl Default for State {
    fn default() -> Self {
        Self {
            era: 1,
            undo: Vec::new(),
            revision: 0,
            objects: BTreeMap::new(),
            history: Vec::new(),
            dropped_revision: 0,
            fault: StoreFault::default(),
            calls: 0,
            page_objects: PAGE_OBJECTS,
        }
    }
}

impl State {
    fn record_undo(&mut self, key: &ObjectKey, is_external: bool) {
        self.undo.push(Undo {
            changed_at: Instant::now(),
            key: key.clone(),
            before: self.objects.get(key).cloned(),
            revision: self.revision,
            is_external,
        });
    }

    /// Undoes the changes since a time; returns the last state of the objects among them that
    /// operators or servers had changed.
    fn restore(&mut self, copied_at: Instant) -> BTreeMap<ObjectKey, Option<Value>> {
        let kept = self
            .undo
            .partition_point(|undo| undo.changed_at <= copied_at);
        let undone = self.undo.split_off(kept);
        let external = undone.iter().filter(|undo| undo.is_external);
        let lost = external
            .map(|undo| (undo.key.clone(), self.objects.get(&undo.key).cloned()))
            .collect();
        for undo in undone.into_iter().rev() {
            self.revision = undo.revision;
            match undo.before {
                Some(object) => self.objects.insert(undo.key, object),
                None => self.objects.remove(&undo.key),
            };
        }
        let revision = self.revision;
        self.history.retain(|(change, ..)| *change <= revision);
        self.dropped_revision = self.dropped_revision.min(revision);
        self.era += 1;
        lost
    }

    /// The objects of a kind whose names come after `after`, up to the end of a page; the flag tells
    /// whether there are more.
    fn page(&self, kind: &str, after: &[u8]) -> (Vec<&Value>, bool) {
        let listed = self.objects.iter().filter(|((stored_kind, name), _)| {
            stored_kind == kind && (after.is_empty() || name.as_bytes() > after)
        });
        let mut items = Vec::new();
        let mut bytes = 0;
        for (_, object) in listed {
            bytes += object.to_string().len();
            if items.len() == self.page_objects || (bytes > PAGE_BYTES && !items.is_empty()) {
                return (items, true);
            }
            items.push(object);
        }
        (items, false)
    }

    fn append_history(&mut self, kind: &str, object: Value, deleted: bool) {
        self.history
            .push((self.revision, kind.to_owned(), object, deleted));
        if self.history.len() > MAX_HISTORY_CHANGES {
            let dropped = self.history.remove(0);
            self.dropped_revision = dropped.0;
        }
    }

    fn put(
        &mut self,
        kind: &str,
        name: &str,
        spec: Value,
        status: Value,
        is_external: bool,
    ) -> Value {
        let key = (kind.to_owned(), name.to_owned());
        self.record_undo(&key, is_external);
        self.revision += 1;
        let metadata = json!({ "Name": name, "Revision": self.revision });
        let object = json!({ "Metadata": metadata, "Spec": spec, "Status": status });
        self.objects.insert(key, object.clone());
        self.append_history(kind, object.clone(), false);
        object
    }

    fn remove(&mut self, kind: &str, name: &str) {
        let key = (kind.to_owned(), name.to_owned());
        if self.objects.contains_key(&key) {
            self.record_undo(&key, true);
        }
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
        store.serve_translated(address, Vec::new()).await?;
        Ok(store)
    }

    /// Serves the same objects on a further address, with other texts in place of some: a host that
    /// reads the store there reaches servers through proxies of its own.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn serve_translated(
        &self,
        address: SocketAddr,
        translations: Vec<(String, String)>,
    ) -> std::io::Result<()> {
        let mut app = tide::with_state(self.clone());
        let state = self.state.clone();
        app.with(After(move |mut response: Response| {
            let era = lock(&state).era;
            response.insert_header("Store-Era", era.to_string());
            let translations = translations.clone();
            async move {
                let mut text = response.take_body().into_string().await?;
                for (from, to) in translations {
                    text = text.replace(&from, &to);
                }
                response.set_body(text);
                Ok(response)
            }
        }));
        app.at("/objects/:kind").get(list_or_watch).post(create);
        app.at("/objects/:kind/:name").get(read).put(replace);
        // The server is never stopped; its tasks end with the process.
        serve(address, app, &Tasks::default()).await
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

    /// Limits the objects on a page of a list.
    pub fn set_page_objects(&self, count: usize) {
        lock(&self.state).page_objects = count;
    }

    /// Drops the change history, so that watches from earlier revisions get 410.
    pub fn drop_history(&self) {
        let mut state = lock(&self.state);
        state.history.clear();
        state.dropped_revision = state.revision;
    }

    /// The part of an object that its owner sets, unaffected by faults; null if there is none.
    pub fn spec(&self, kind: &str, name: &str) -> Value {
        let key = (kind.to_owned(), name.to_owned());
        let state = lock(&self.state);
        let object = state.objects.get(&key);
        object.map_or(Value::Null, |object| object["Spec"].clone())
    }

    /// Writes an object directly, unaffected by faults.
    pub fn put(&self, kind: &str, name: &str, spec: Value, status: Value) {
        lock(&self.state).put(kind, name, spec, status, true);
    }

    /// Writes the entry of a server that is ready.
    pub fn put_server(
        &self,
        id: &str,
        address: SocketAddr,
        service: &str,
        domain: &str,
        slots: u32,
    ) {
        let spec = json!({
            "Address": address.to_string(),
            "born": 1,
            "Info": { "Service": service, "Version": "v1", "Zone": domain, "Slots": slots },
        });
        let status = json!({ "State": "ready", "Sequence": 1, "WarmupLeftMs": 0 });
        self.put("servers", id, spec, status);
    }

    /// Restores the store from a copy of the given age. What operators and servers had written
    /// since is written again over a short time, in the opposite order.
    pub fn restore(&self, age: Duration) {
        let lost = {
            let mut state = lock(&self.state);
            let copied_at = Instant::now().checked_sub(age);
            copied_at.map(|copied_at| state.restore(copied_at))
        };
        let store = self.clone();
        task::spawn(async move {
            for ((kind, name), object) in lost.unwrap_or_default().into_iter().rev() {
                task::sleep(REWRITE_PAUSE).await;
                match object {
                    Some(object) => {
                        let (spec, status) = (object["Spec"].clone(), object["Status"].clone());
                        store.put(&kind, &name, spec, status);
                    }
                    None => store.remove(&kind, &name),
                }
            }
        });
    }

    /// Number of the store's revision.
    pub fn revision(&self) -> u64 {
        lock(&self.state).revision
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
            StoreFault::None | StoreFault::DropsWriteResponses | StoreFault::RepeatsPages => None,
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

async fn list_or_watch(request: Request<FakeObjectStore>) -> tide::Result {
    let store = request.state().clone();
    if let Some(response) = store.apply_fault().await {
        return Ok(response);
    }
    let kind = request.param("kind")?.to_owned();
    let Some(parameters) = Parameters::parse(request.url().query().unwrap_or_default()) else {
        return Ok(Response::new(400));
    };
    let Some(from) = parameters.number("Watch") else {
        let after = match store.fault() {
            StoreFault::RepeatsPages => &[],
            _ => parameters.value("after").unwrap_or_default(),
        };
        let state = lock(&store.state);
        let (items, more) = state.page(&kind, after);
        return Ok(json_response(
            200,
            &json!({ "items": items, "More": more, "CurrentRev": state.revision }),
        ));
    };
    let wait = parameters.number("WaitMs").unwrap_or(0);
    let deadline = Instant::now() + Duration::from_millis(wait);
    let era = lock(&store.state).era;
    loop {
        {
            let state = lock(&store.state);
            if from < state.dropped_revision || from > state.revision || era != state.era {
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
    let Some(name) = decode_path(request.param("name")?) else {
        return Ok(Response::new(400));
    };
    let key = (request.param("kind")?.to_owned(), name);
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
                state.put(&kind, &name, body["Spec"].clone(), Value::Null, false),
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
    let Some(name) = decode_path(request.param("name")?) else {
        return Ok(Response::new(400));
    };
    let kind = request.param("kind")?.to_owned();
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
                    false,
                ),
            )
        }
    };
    Ok(store.write_response(status, &object).await)
}
