//! The platform's metadata store, as far as the hosts use it.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::{Connection, Head};

/// Objects and bytes in one page of a list.
const PAGE: usize = 500;
const PAGE_BYTES: usize = 1 << 20;

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Value>,
    /// Revision, kind, object, whether it was deleted.
    history: Vec<(u64, String, Value, bool)>,
}

impl State {
    fn put(&mut self, kind: &str, name: &str, spec: Option<Value>, status: Option<Value>) -> Value {
        let key = (kind.to_owned(), name.to_owned());
        let old = self.objects.get(&key).cloned().unwrap_or(Value::Null);
        let spec = spec.unwrap_or_else(|| old["Spec"].clone());
        let status = status.unwrap_or_else(|| old["Status"].clone());
        if !old.is_null() && old["Spec"] == spec && old["Status"] == status {
            return old;
        }
        self.revision += 1;
        let created = old["Metadata"]["Created"].as_u64().unwrap_or(self.revision);
        let object = json!({
            "Metadata": { "Name": name, "Revision": self.revision, "Created": created, "Finalizers": [], "Deleting": false },
            "Spec": spec, "Status": status,
        });
        self.objects.insert(key, object.clone());
        self.history
            .push((self.revision, kind.to_owned(), object.clone(), false));
        object
    }

    fn remove(&mut self, kind: &str, name: &str) {
        if let Some(object) = self.objects.remove(&(kind.to_owned(), name.to_owned())) {
            self.revision += 1;
            self.history
                .push((self.revision, kind.to_owned(), object, true));
        }
    }
}

/// The store; clones share it.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(listener: TcpListener) -> Self {
        let state = State {
            revision: 100,
            ..State::default()
        };
        let store = Self {
            shared: Arc::new((Mutex::new(state), Condvar::new())),
            address: listener.local_addr().unwrap(),
        };
        let this = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = this.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    pub fn put(&self, kind: &str, name: &str, spec: Value, status: Value) {
        self.shared
            .0
            .lock()
            .unwrap()
            .put(kind, name, Some(spec), Some(status));
        self.shared.1.notify_all();
    }

    pub fn remove(&self, kind: &str, name: &str) {
        self.shared.0.lock().unwrap().remove(kind, name);
        self.shared.1.notify_all();
    }

    pub fn get(&self, kind: &str, name: &str) -> Option<Value> {
        let key = (kind.to_owned(), name.to_owned());
        self.shared.0.lock().unwrap().objects.get(&key).cloned()
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let mut connection = Connection::new(stream);
        loop {
            let head = connection.read_head().ok()??;
            let body = connection.read_body(head.length().unwrap_or(0)).ok()?;
            let (status, body) = self.answer(&head, &body);
            let text = if body.is_null() {
                String::new()
            } else {
                body.to_string()
            };
            let bytes = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
                text.len()
            );
            connection.write(bytes.as_bytes()).ok()?;
        }
    }

    fn answer(&self, head: &Head, body: &[u8]) -> (u16, Value) {
        let target = head.first.get(1).cloned().unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let query: BTreeMap<&str, &str> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .collect();
        let parts: Vec<&str> = path.trim_start_matches("/objects/").split('/').collect();
        let body: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        match (head.first[0].as_str(), parts.as_slice()) {
            ("GET", [kind]) => match query.get("Watch") {
                Some(from) => self.watch(kind, from.parse().unwrap_or(0), &query),
                None => self.list(kind, query.get("after").copied()),
            },
            ("GET", [kind, name]) => self
                .get(kind, name)
                .map_or((404, Value::Null), |object| (200, object)),
            ("POST", [kind]) => self.write(
                kind,
                body["Metadata"]["Name"].as_str().unwrap_or_default(),
                &body,
                "POST",
            ),
            ("PUT", [kind, name]) => self.write(kind, name, &body, "PUT"),
            ("PUT", [kind, name, "status"]) => self.write(kind, name, &body, "STATUS"),
            _ => (400, Value::Null),
        }
    }

    fn list(&self, kind: &str, after: Option<&str>) -> (u16, Value) {
        let state = self.shared.0.lock().unwrap();
        let objects = state.objects.iter().filter(|((stored, name), _)| {
            stored == kind && after.is_none_or(|after| name.as_str() > after)
        });
        let mut items = Vec::new();
        let mut bytes = 0;
        let mut more = false;
        for (_, object) in objects {
            bytes += object.to_string().len();
            more = items.len() == PAGE || !items.is_empty() && bytes > PAGE_BYTES;
            if more {
                break;
            }
            items.push(object);
        }
        (
            200,
            json!({ "items": items, "More": more, "CurrentRev": state.revision }),
        )
    }

    fn watch(&self, kind: &str, from: u64, query: &BTreeMap<&str, &str>) -> (u16, Value) {
        let wait = query
            .get("WaitMs")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait);
        let mut state = self.shared.0.lock().unwrap();
        loop {
            let events = state
                .history
                .iter()
                .filter(|(revision, stored, ..)| *revision > from && stored == kind);
            let events: Vec<Value> = events
                .map(|(_, _, object, deleted)| json!({ "Object": object, "Deleted": deleted }))
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return (
                    200,
                    json!({ "events": events, "CurrentRev": state.revision }),
                );
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn write(&self, kind: &str, name: &str, body: &Value, call: &str) -> (u16, Value) {
        let mut state = self.shared.0.lock().unwrap();
        let stored = state
            .objects
            .get(&(kind.to_owned(), name.to_owned()))
            .cloned();
        let expected = body["Metadata"]["Revision"].as_u64();
        let answer = match (call, stored) {
            ("POST", Some(object)) => return (409, object),
            ("POST", None) => (
                201,
                state.put(kind, name, Some(body["Spec"].clone()), Some(Value::Null)),
            ),
            (_, None) => return (404, Value::Null),
            (_, Some(object))
                if expected.is_some_and(|it| object["Metadata"]["Revision"] != json!(it)) =>
            {
                return (409, object);
            }
            ("STATUS", _) => (
                200,
                state.put(kind, name, None, Some(body["Status"].clone())),
            ),
            _ => (200, state.put(kind, name, Some(body["Spec"].clone()), None)),
        };
        drop(state);
        self.shared.1.notify_all();
        answer
    }
}
