//! An upstream that holds keys, as the users' pages describe it.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

use crate::http::{Connection, Head};
use crate::record::Record;
use crate::store::Store;

/// Keys that were granted together.
#[derive(Clone, Debug)]
struct Grant {
    from: u16,
    to: u16,
    fence: u64,
    /// When the hold that was granted runs out, whether or not the keys are released before.
    until: Instant,
    released: bool,
}

impl Grant {
    fn has(&self, key: u16) -> bool {
        self.from <= key && key <= self.to
    }
}

#[derive(Default)]
struct Keys {
    grants: Vec<Grant>,
    /// The key of each request that is running.
    running: BTreeMap<u64, u16>,
}

struct Shared {
    streams: Mutex<Vec<TcpStream>>,
    keys: Mutex<Keys>,
    changed: Condvar,
    up: AtomicBool,
    running_count: AtomicU64,
    next: AtomicU64,
}

#[derive(Clone)]
pub struct Upstream {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    zone: String,
    slots: u64,
    born: u64,
    /// Work of a request in milliseconds, by its number.
    work_ms: fn(u64) -> u64,
    shared: Arc<Shared>,
    store: Store,
    record: Record,
}

pub struct Options<'a> {
    pub id: &'a str,
    pub service: &'a str,
    pub zone: &'a str,
    pub slots: u64,
    pub work_ms: fn(u64) -> u64,
}

impl Upstream {
    pub fn start(options: &Options<'_>, store: &Store, record: &Record) -> Self {
        let listener = TcpListener::bind((crate::site::ip(1), 0)).expect("a free port");
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_millis() as u64;
        let upstream = Self {
            id: options.id.to_owned(),
            address: listener.local_addr().unwrap(),
            service: options.service.to_owned(),
            zone: options.zone.to_owned(),
            slots: options.slots,
            born,
            work_ms: options.work_ms,
            shared: Arc::new(Shared {
                streams: Mutex::default(),
                keys: Mutex::default(),
                changed: Condvar::new(),
                up: AtomicBool::new(true),
                running_count: AtomicU64::new(0),
                next: AtomicU64::new(0),
            }),
            store: store.clone(),
            record: record.clone(),
        };
        let this = upstream.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if !this.is_up() {
                    return;
                }
                let upstream = this.clone();
                thread::spawn(move || upstream.serve(stream));
            }
        });
        upstream.publish();
        upstream
    }

    pub fn is_up(&self) -> bool {
        self.shared.up.load(Ordering::SeqCst)
    }

    fn publish(&self) {
        let spec = json!({
            "Address": self.address.to_string(), "born": self.born,
            "Info": { "Service": self.service, "Version": "v1", "Zone": self.zone, "Slots": self.slots },
        });
        let status = json!({ "State": "ready", "Sequence": 1, "WarmupLeftMs": 0 });
        self.record.add(format!("{} reports ready", self.id));
        self.store.put("servers", &self.id, spec, status);
    }

    /// Ends, without another word to the store.
    pub fn stop(&self) {
        self.shared.up.store(false, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
    }

    /// Ends as a crash does: its connections break, and nothing listens any more.
    pub fn crash(&self) {
        self.stop();
        for stream in self.shared.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        self.record.add(format!("{} crashes", self.id));
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        self.shared
            .streams
            .lock()
            .unwrap()
            .push(stream.try_clone().ok()?);
        let mut connection = Connection::new(stream);
        loop {
            let head = connection.read_head().ok()??;
            let body = connection.read_body(head.length().unwrap_or(0)).ok()?;
            if !self.is_up() {
                return None;
            }
            let path = head.first.get(1).map(String::as_str).unwrap_or_default();
            let answer = match path {
                "/grant" => self.grant(&head, &body),
                "/release" => self.release(&head, &body),
                "/health" => self.health(),
                _ => self.run(&head),
            };
            connection.write(answer.as_bytes()).ok()?;
        }
    }

    fn misdirected(&self, head: &Head) -> bool {
        head.get("target-instance")
            .is_some_and(|target| target != self.id)
    }

    fn reject(&self, status: u16, id: &str) -> String {
        format!(
            "HTTP/1.1 {status} Not Executed\r\nNot-Executed: 1\r\nRequest-Id: {id}\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
            self.id
        )
    }

    fn health(&self) -> String {
        let running = self.shared.running_count.load(Ordering::SeqCst);
        format!(
            "HTTP/1.1 200 OK\r\nInstance-Id: {}\r\nUpstream-Load: {running},0,{}\r\nContent-Length: 0\r\n\r\n",
            self.id, self.slots
        )
    }

    fn run(&self, head: &Head) -> String {
        let id = head.get("request-id").unwrap_or_default().to_owned();
        let key: Option<u16> = head.get("shard-key").and_then(|text| text.parse().ok());
        let Some(key) = key.filter(|_| !self.misdirected(head)) else {
            return self.reject(421, &id);
        };
        let number = self.shared.next.fetch_add(1, Ordering::SeqCst);
        {
            let mut keys = self.shared.keys.lock().unwrap();
            let now = Instant::now();
            let holds = keys
                .grants
                .iter()
                .any(|grant| grant.has(key) && !grant.released && grant.until > now);
            if !holds {
                drop(keys);
                return self.reject(421, &id);
            }
            if keys.running.len() as u64 >= self.slots {
                drop(keys);
                return self.reject(503, &id);
            }
            keys.running.insert(number, key);
        }
        let running = self.shared.running_count.fetch_add(1, Ordering::SeqCst) + 1;
        self.record.add(format!("{} runs {id} key {key}", self.id));
        thread::sleep(Duration::from_millis((self.work_ms)(number)));
        self.shared.running_count.fetch_sub(1, Ordering::SeqCst);
        self.shared.keys.lock().unwrap().running.remove(&number);
        self.shared.changed.notify_all();
        self.record.add(format!("{} has run {id}", self.id));
        let body = format!("{id} at {}", self.id);
        format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nUpstream-Signature: sig.{number}\r\nUpstream-Load: {running},0,{}\r\nContent-Length: {}\r\n\r\n{body}",
            self.slots,
            body.len()
        )
    }

    fn grant(&self, head: &Head, body: &[u8]) -> String {
        let body: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        let number = |name: &str| body[name].as_u64();
        let (Some(from), Some(to), Some(fence), Some(hold)) = (
            number("From"),
            number("To"),
            number("fence"),
            number("HoldMs"),
        ) else {
            return "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n".to_owned();
        };
        if self.misdirected(head) {
            return self.reject(421, "");
        }
        let (from, to) = (from as u16, to as u16);
        let until = Instant::now() + Duration::from_millis(hold);
        let grant = Grant {
            from,
            to,
            fence,
            until,
            released: false,
        };
        let is_renewal = {
            let mut keys = self.shared.keys.lock().unwrap();
            let overlaps = |known: &&Grant| known.from <= to && from <= known.to;
            if keys
                .grants
                .iter()
                .filter(overlaps)
                .any(|known| known.fence > fence)
            {
                drop(keys);
                self.record.add(format!(
                    "{} rejects the grant of {from}-{to} fence {fence}",
                    self.id
                ));
                return "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n".to_owned();
            }
            let same = |known: &&mut Grant| {
                known.from == from && known.to == to && known.fence == fence && !known.released
            };
            match keys.grants.iter_mut().find(same) {
                Some(known) => {
                    known.until = known.until.max(until);
                    true
                }
                None => {
                    keys.grants.push(grant.clone());
                    false
                }
            }
        };
        if !is_renewal {
            self.record.add(format!(
                "{} is granted {from}-{to} fence {fence} for {hold} ms",
                self.id
            ));
        }
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".to_owned()
    }

    fn release(&self, head: &Head, body: &[u8]) -> String {
        let body: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        let number = |name: &str| body[name].as_u64().unwrap_or_default();
        let (from, to) = (number("From") as u16, number("To") as u16);
        if self.misdirected(head) {
            return self.reject(421, "");
        }
        self.record
            .add(format!("{} gets the release of {from}-{to}", self.id));
        let mut keys = self.shared.keys.lock().unwrap();
        let mut parts = Vec::new();
        for mut grant in std::mem::take(&mut keys.grants) {
            if grant.released || grant.to < from || to < grant.from {
                parts.push(grant);
                continue;
            }
            if grant.from < from {
                parts.push(Grant {
                    to: from - 1,
                    ..grant.clone()
                });
            }
            if to < grant.to {
                parts.push(Grant {
                    from: to + 1,
                    ..grant.clone()
                });
            }
            grant.from = grant.from.max(from);
            grant.to = grant.to.min(to);
            grant.released = true;
            parts.push(grant);
        }
        keys.grants = parts;
        while keys.running.values().any(|key| from <= *key && *key <= to) {
            keys = self.shared.changed.wait(keys).unwrap();
        }
        drop(keys);
        self.record
            .add(format!("{} answers the release of {from}-{to}", self.id));
        "HTTP/1.1 200 OK\r\nHandover: 5c0e7a21d94b36f8\r\nContent-Length: 0\r\n\r\n".to_owned()
    }
}
