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

/// A request that is running.
#[derive(Clone, Debug)]
struct Running {
    id: String,
    key: u16,
}

#[derive(Default)]
struct Keys {
    grants: Vec<Grant>,
    running: BTreeMap<u64, Running>,
}

/// All upstreams of a service, which the checks of the rule look at together.
#[derive(Clone, Default)]
pub struct Group {
    members: Arc<Mutex<Vec<Upstream>>>,
}

impl Group {
    pub fn add(&self, upstream: &Upstream) {
        self.members.lock().unwrap().push(upstream.clone());
    }

    fn others(&self, id: &str) -> Vec<Upstream> {
        let members = self.members.lock().unwrap();
        members
            .iter()
            .filter(|member| member.id != id && member.is_up())
            .cloned()
            .collect()
    }
}

/// How an upstream repeats answers: at most `share` of those that it has given since `begin`.
struct Repeats {
    share: f64,
    answers: AtomicU64,
    repeated: AtomicU64,
    is_on: AtomicBool,
}

struct Shared {
    keys: Mutex<Keys>,
    changed: Condvar,
    draining: AtomicBool,
    up: AtomicBool,
    running_count: AtomicU64,
    next: AtomicU64,
    repeats: Repeats,
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
    group: Group,
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
    /// The largest share of its answers that a faulty upstream repeats.
    pub repeat_share: f64,
}

impl Upstream {
    pub fn start(options: &Options<'_>, group: &Group, store: &Store, record: &Record) -> Self {
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
            group: group.clone(),
            shared: Arc::new(Shared {
                keys: Mutex::default(),
                changed: Condvar::new(),
                draining: AtomicBool::new(false),
                up: AtomicBool::new(true),
                running_count: AtomicU64::new(0),
                next: AtomicU64::new(0),
                repeats: Repeats {
                    share: options.repeat_share,
                    answers: AtomicU64::new(0),
                    repeated: AtomicU64::new(0),
                    is_on: AtomicBool::new(false),
                },
            }),
            store: store.clone(),
            record: record.clone(),
        };
        group.add(&upstream);
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
        let state = if self.shared.draining.load(Ordering::SeqCst) {
            "draining"
        } else {
            "ready"
        };
        let spec = json!({
            "Address": self.address.to_string(), "born": self.born,
            "Info": { "Service": self.service, "Version": "v1", "Zone": self.zone, "Slots": self.slots },
        });
        let status = json!({ "State": state, "Sequence": 1, "WarmupLeftMs": 0 });
        self.record.add(format!("{} reports {state}", self.id));
        self.store.put("servers", &self.id, spec, status);
    }

    /// Ends, without another word to the store.
    pub fn stop(&self) {
        self.shared.up.store(false, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
    }

    /// Sets whether it repeats answers, and begins to count them anew.
    pub fn set_repeats(&self, on: bool) {
        let repeats = &self.shared.repeats;
        let (answers, repeated) = (
            repeats.answers.swap(0, Ordering::SeqCst),
            repeats.repeated.swap(0, Ordering::SeqCst),
        );
        if repeats.is_on.swap(on, Ordering::SeqCst) {
            self.record.add(format!(
                "{} has repeated {repeated} of {answers} answers",
                self.id
            ));
        }
    }

    /// Whether the answer to an order, which is about to be given, is repeated later.
    fn takes_repeat(&self) -> bool {
        let repeats = &self.shared.repeats;
        let answers = repeats.answers.load(Ordering::SeqCst) as f64;
        let repeated = repeats.repeated.load(Ordering::SeqCst) as f64;
        let may = repeats.is_on.load(Ordering::SeqCst) && repeated + 1.0 <= repeats.share * answers;
        if may {
            repeats.repeated.fetch_add(1, Ordering::SeqCst);
        }
        may
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let mut connection = Connection::new(stream);
        // An answer that is given once more when the next one is expected.
        let mut repeated: Option<Vec<u8>> = None;
        loop {
            let head = connection.read_head().ok()??;
            let body = connection.read_body(head.length().unwrap_or(0)).ok()?;
            if !self.is_up() {
                return None;
            }
            let has_repeated = repeated.is_some();
            if let Some(bytes) = repeated.take() {
                self.record.add(format!(
                    "{} repeats its last answer on the connection",
                    self.id
                ));
                connection.write(&bytes).ok()?;
            }
            let path = head.first.get(1).map(String::as_str).unwrap_or_default();
            let (is_order, answer) = match path {
                "/grant" => (true, self.grant(&head, &body)),
                "/release" => (true, self.release(&head, &body)),
                "/health" => (false, self.health()),
                _ => (false, self.run(&head)),
            };
            self.shared.repeats.answers.fetch_add(1, Ordering::SeqCst);
            connection.write(answer.as_bytes()).ok()?;
            if is_order && !has_repeated && self.takes_repeat() {
                repeated = Some(answer.into_bytes());
            }
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
        let status = if self.shared.draining.load(Ordering::SeqCst) {
            503
        } else {
            200
        };
        let running = self.shared.running_count.load(Ordering::SeqCst);
        format!(
            "HTTP/1.1 {status} X\r\nInstance-Id: {}\r\nUpstream-Load: {running},0,{}\r\nContent-Length: 0\r\n\r\n",
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
            keys.running.insert(
                number,
                Running {
                    id: id.clone(),
                    key,
                },
            );
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
            self.check_grant(&grant);
        }
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".to_owned()
    }

    /// OWNER: an upstream is given a key on which another is still at work, before that one's hold would
    /// have run out.
    fn check_grant(&self, grant: &Grant) {
        let now = Instant::now();
        for other in self.group.others(&self.id) {
            let keys = other.shared.keys.lock().unwrap();
            for running in keys
                .running
                .values()
                .filter(|running| grant.has(running.key))
            {
                let holds = keys.grants.iter().filter(|known| known.has(running.key));
                let left = holds
                    .map(|known| known.until.saturating_duration_since(now))
                    .max();
                let Some(left) = left.filter(|left| !left.is_zero()) else {
                    continue;
                };
                let is_held = keys
                    .grants
                    .iter()
                    .any(|known| known.has(running.key) && !known.released);
                self.record.broken(format!(
                    "OWNER: {} is given {}-{} fence {}, while {} is still at work on {} of key {}; its hold would run for another {} ms{}",
                    self.id, grant.from, grant.to, grant.fence, other.id, running.id, running.key, left.as_millis(),
                    if is_held { ", and it has not got the release yet" } else { "" },
                ));
            }
        }
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
        while keys
            .running
            .values()
            .any(|running| from <= running.key && running.key <= to)
        {
            keys = self.shared.changed.wait(keys).unwrap();
        }
        drop(keys);
        self.record
            .add(format!("{} answers the release of {from}-{to}", self.id));
        "HTTP/1.1 200 OK\r\nHandover: 5c0e7a21d94b36f8\r\nContent-Length: 0\r\n\r\n".to_owned()
    }
}
