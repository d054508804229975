//! A stand-in of the platform's metadata store.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::{Message, Wire};

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Value>,
    /// Changes: revision, kind, object, and whether it was removed.
    history: Vec<(u64, String, Value, bool)>,
}

impl State {
    fn put(&mut self, kind: &str, name: &str, spec: Value, status: Value) -> Value {
        self.revision += 1;
        let metadata = json!({
            "Name": name, "Revision": self.revision, "Finalizers": [], "Deleting": false,
        });
        let object = json!({ "Metadata": metadata, "Spec": spec, "Status": status });
        let key = (kind.to_owned(), name.to_owned());
        self.objects.insert(key, object.clone());
        self.history
            .push((self.revision, kind.to_owned(), object.clone(), false));
        object
    }
}

/// The store; it answers at once, and not at all while it is down.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    down: Arc<AtomicBool>,
}

impl Store {
    /// Serves the store on a new address, with other texts in place of some: a host that reads the
    /// store there reaches others through links of its own. The texts of a pair have the same length.
    pub fn serve(&self, translations: Vec<(String, String)>) -> SocketAddr {
        self.serve_until_cut(translations, Arc::default())
    }

    /// The same, for a host that can be cut off from the store.
    pub fn serve_until_cut(
        &self,
        translations: Vec<(String, String)>,
        cut: Arc<AtomicBool>,
    ) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, translations) = (store.clone(), translations.clone());
                let cut = cut.clone();
                thread::spawn(move || store.serve_connection(stream, &translations, &cut));
            }
        });
        address
    }

    /// Sets whether the store is down: it answers nothing.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::SeqCst);
    }

    /// Whether the store is down.
    pub fn is_down(&self) -> bool {
        self.down.load(Ordering::SeqCst)
    }

    /// Writes an object as the operator or an upstream does.
    pub fn put(&self, kind: &str, name: &str, spec: Value, status: Value) {
        self.lock().put(kind, name, spec, status);
        self.state.1.notify_all();
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.lock();
        if let Some(object) = state.objects.remove(&(kind.to_owned(), name.to_owned())) {
            state.revision += 1;
            let revision = state.revision;
            state
                .history
                .push((revision, kind.to_owned(), object, true));
        }
        drop(state);
        self.state.1.notify_all();
    }

    /// An object, if there is one.
    pub fn get(&self, kind: &str, name: &str) -> Option<Value> {
        let key = (kind.to_owned(), name.to_owned());
        self.lock().objects.get(&key).cloned()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state
            .0
            .lock()
            .unwrap_or_else(|error| error.into_inner())
    }

    fn serve_connection(
        &self,
        stream: TcpStream,
        translations: &[(String, String)],
        cut: &AtomicBool,
    ) {
        let is_down = || self.is_down() || cut.load(Ordering::SeqCst);
        let mut wire = Wire::new(stream);
        while let Ok(Some(request)) = wire.read() {
            if is_down() {
                // The response is lost, and the connection returns nothing further.
                while is_down() {
                    thread::sleep(Duration::from_millis(20));
                }
                return;
            }
            let (status, body) = self.answer(&request);
            if is_down() {
                continue;
            }
            let mut text = body.map(|body| body.to_string()).unwrap_or_default();
            for (from, to) in translations {
                text = text.replace(from, to);
            }
            let response = Message::response(status)
                .with("Content-Type", "application/json")
                .with_body(text);
            if wire.write(&response).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, Option<Value>) {
        let mut parts = request.path().trim_start_matches('/').split('/').skip(1);
        let kind = parts.next().unwrap_or_default().to_owned();
        let name = parts.next().map(str::to_owned);
        match (request.method(), name) {
            ("GET", None) => match request.query("Watch") {
                Some(from) => self.watch(request, &kind, from.parse().unwrap_or(0)),
                None => (200, Some(self.list(&kind))),
            },
            ("GET", Some(name)) => match self.get(&kind, &name) {
                Some(object) => (200, Some(object)),
                None => (404, None),
            },
            ("POST", None) => self.create(&kind, request),
            ("PUT", Some(name)) => self.replace(&kind, &name, request),
            _ => (400, None),
        }
    }

    fn list(&self, kind: &str) -> Value {
        let state = self.lock();
        let items = state.objects.iter().filter(|((other, _), _)| other == kind);
        let items: Vec<&Value> = items.map(|(_, object)| object).collect();
        json!({ "items": items, "More": false, "CurrentRev": state.revision })
    }

    fn watch(&self, request: &Message, kind: &str, from: u64) -> (u16, Option<Value>) {
        let wait = request.query("WaitMs").and_then(|text| text.parse().ok());
        let deadline = Instant::now() + Duration::from_millis(wait.unwrap_or(0));
        let mut state = self.lock();
        loop {
            let changes = state.history.iter();
            let changes = changes.filter(|(revision, other, ..)| *revision > from && other == kind);
            let events: Vec<Value> = changes
                .map(|(_, _, object, removed)| json!({ "Object": object, "Deleted": removed }))
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = json!({ "events": events, "CurrentRev": state.revision });
                return (200, Some(body));
            }
            let waited = self.state.1.wait_timeout(state, left);
            state = waited.unwrap_or_else(|error| error.into_inner()).0;
        }
    }

    fn create(&self, kind: &str, request: &Message) -> (u16, Option<Value>) {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let name = body["Metadata"]["Name"].as_str().unwrap_or_default();
        let mut state = self.lock();
        let key = (kind.to_owned(), name.to_owned());
        if let Some(object) = state.objects.get(&key) {
            return (409, Some(object.clone()));
        }
        let object = state.put(kind, name, body["Spec"].clone(), Value::Null);
        drop(state);
        self.state.1.notify_all();
        (201, Some(object))
    }

    fn replace(&self, kind: &str, name: &str, request: &Message) -> (u16, Option<Value>) {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let mut state = self.lock();
        let key = (kind.to_owned(), name.to_owned());
        let Some(current) = state.objects.get(&key).cloned() else {
            return (404, None);
        };
        let queried = request.query("Revision").and_then(|text| text.parse().ok());
        let expected = body["Metadata"]["Revision"].as_u64().or(queried);
        if expected.is_some() && expected != current["Metadata"]["Revision"].as_u64() {
            return (409, Some(current));
        }
        if body["Spec"] == current["Spec"] {
            return (200, Some(current));
        }
        let object = state.put(kind, name, body["Spec"].clone(), current["Status"].clone());
        drop(state);
        self.state.1.notify_all();
        (200, Some(object))
    }
}
