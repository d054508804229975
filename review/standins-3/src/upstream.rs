//! An upstream as the users' pages describe it: it registers in the store, holds keys that it was granted, and
//! serves one request at a time on a connection.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use amaranthshunt_support::free_address;
use amaranthshunt_support::platform::FakeObjectStore;
use serde_json::{Value, json};

use crate::site::{Record, header};

const KEYS: usize = 65_536;

/// Requests in one second at which a cold upstream crashes: three times the `WarmupPerS` of the site.
const COLD_CRASH: usize = 30;

/// Work on a request.
#[derive(Clone, Debug)]
pub struct Work {
    pub request: String,
    pub key: Option<u16>,
    pub began: Instant,
    pub ended: Option<Instant>,
}

struct State {
    life: u64,
    born: u64,
    running: u32,
    sequence: u64,
    /// For each key the fence and the end of the lease.
    held: Vec<Option<(u64, Instant)>>,
    seen: Vec<u64>,
    work: Vec<Work>,
    arrivals: Vec<(Instant, String)>,
    crashes: Vec<Instant>,
    connections: Vec<TcpStream>,
    is_up: bool,
    /// Since when and until when it is cold.
    cold: Option<(Instant, Instant)>,
    state: &'static str,
}

/// An upstream.
pub struct Upstream {
    pub id: String,
    pub service: String,
    zone: String,
    address: SocketAddr,
    keyed: bool,
    slots: u32,
    /// How long it is down after a crash.
    down: Duration,
    store: FakeObjectStore,
    record: Record,
    state: Mutex<State>,
}

impl Upstream {
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        keyed: bool,
        slots: u32,
        store: &FakeObjectStore,
        record: &Record,
    ) -> Arc<Self> {
        let upstream = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: free_address(),
            keyed,
            slots,
            down: Duration::from_millis(2_500),
            store: store.clone(),
            record: record.clone(),
            state: Mutex::new(State {
                life: 0,
                born: 0,
                running: 0,
                sequence: 0,
                held: vec![None; KEYS],
                seen: vec![0; KEYS],
                work: Vec::new(),
                arrivals: Vec::new(),
                crashes: Vec::new(),
                connections: Vec::new(),
                is_up: false,
                cold: None,
                state: "ready",
            }),
        });
        upstream.clone().begin_life(unix_ms());
        upstream
    }

    /// Starts the process: it holds and knows nothing of before.
    pub fn begin_life(self: Arc<Self>, born: u64) {
        let listener = TcpListener::bind(self.address).expect("cannot bind an upstream");
        listener.set_nonblocking(true).expect("nonblocking");
        let life = {
            let mut state = self.state.lock().unwrap();
            state.life += 1;
            state.born = born;
            state.running = 0;
            state.sequence = 0;
            state.held = vec![None; KEYS];
            state.seen = vec![0; KEYS];
            state.is_up = true;
            state.state = "ready";
            state.life
        };
        self.record.add(format!(
            "upstream {} starts at {}, born {born}",
            self.id, self.address
        ));
        self.publish();
        let this = self.clone();
        thread::spawn(move || {
            while this.is_life(life) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        if let Ok(copy) = stream.try_clone() {
                            this.state.lock().unwrap().connections.push(copy);
                        }
                        let this = this.clone();
                        thread::spawn(move || this.serve(stream, life));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
    }

    fn is_life(&self, life: u64) -> bool {
        let state = self.state.lock().unwrap();
        state.is_up && state.life == life
    }

    /// Ends the process at once; `false` if it had ended. Its entry stays in the store until it expires or the next
    /// life replaces it.
    pub fn crash(&self) -> bool {
        let mut state = self.state.lock().unwrap();
        if !state.is_up {
            return false;
        }
        state.is_up = false;
        let now = Instant::now();
        state.crashes.push(now);
        for work in state.work.iter_mut().filter(|work| work.ended.is_none()) {
            work.ended = Some(now);
        }
        for connection in state.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        drop(state);
        self.record.add(format!("upstream {} crashes", self.id));
        true
    }

    /// Crashes, and is back after some seconds.
    fn crash_for_a_while(self: &Arc<Self>) {
        if self.crash() {
            let this = self.clone();
            thread::spawn(move || {
                thread::sleep(this.down);
                this.begin_life(unix_ms());
            });
        }
    }

    /// When it crashed.
    pub fn crashes(&self) -> Vec<Instant> {
        self.state.lock().unwrap().crashes.clone()
    }

    /// Writes its entry with a state.
    pub fn set_state(&self, name: &'static str) {
        self.state.lock().unwrap().state = name;
        self.record.add(format!(
            "upstream {} reports {name}, the store accepts it",
            self.id
        ));
        self.publish();
    }

    /// Becomes cold, and says so in its entry.
    pub fn turn_cold(&self, time: Duration) {
        let now = Instant::now();
        self.state.lock().unwrap().cold = Some((now, now + time));
        self.record.add(format!(
            "upstream {} is cold for {} ms",
            self.id,
            time.as_millis()
        ));
        self.publish();
    }

    /// Its zone.
    pub fn zone(&self) -> &str {
        &self.zone
    }

    fn publish(&self) {
        let mut state = self.state.lock().unwrap();
        state.sequence += 1;
        let spec = json!({
            "Address": self.address.to_string(),
            "born": state.born,
            "Info": { "Service": self.service, "Version": "v1", "Zone": self.zone, "Slots": self.slots },
        });
        let cold = state
            .cold
            .map(|(_, until)| until.saturating_duration_since(Instant::now()));
        let cold_ms = cold.map_or(0, |left| left.as_millis() as u64);
        let status =
            json!({ "State": state.state, "Sequence": state.sequence, "WarmupLeftMs": cold_ms });
        drop(state);
        self.store.put("servers", &self.id, spec, status);
    }

    pub fn remove_entry(&self) {
        self.store.remove("servers", &self.id);
        self.record
            .add(format!("the entry of {} is removed", self.id));
    }

    pub fn work(&self) -> Vec<Work> {
        self.state.lock().unwrap().work.clone()
    }

    /// When each request arrived, run or not.
    pub fn arrivals(&self) -> Vec<(Instant, String)> {
        self.state.lock().unwrap().arrivals.clone()
    }

    fn serve(self: Arc<Self>, mut stream: TcpStream, life: u64) -> Option<()> {
        let mut buffer = Vec::new();
        loop {
            let (head, body) = read_request(&mut stream, &mut buffer)?;
            if !self.is_life(life) {
                return None;
            }
            let path = head.split(' ').nth(1).unwrap_or_default().to_owned();
            let id = header(&head, "request-id").unwrap_or_default();
            let target = header(&head, "target-instance");
            if target.is_some_and(|target| target != self.id) {
                let extra = format!("Instance-Id: {}\r\n", self.id);
                self.write(&mut stream, 421, &id, &extra, "")?;
                continue;
            }
            match path.as_str() {
                "/grant" => {
                    let status = self.grant(&body);
                    self.write(&mut stream, status, &id, "", "")?;
                }
                "/release" => {
                    self.release(&body);
                    let extra = "Handover: 5c0e7a21d94b36f8\r\n";
                    self.write(&mut stream, 200, &id, extra, "")?;
                }
                "/health" => {
                    let extra = format!("Instance-Id: {}\r\n", self.id);
                    self.write(&mut stream, 200, &id, &extra, "")?;
                }
                _ => {
                    self.run(&mut stream, &head, &path, &id, life)?;
                }
            }
        }
    }

    fn write(
        &self,
        stream: &mut TcpStream,
        status: u16,
        id: &str,
        headers: &str,
        body: &str,
    ) -> Option<String> {
        let reason = match status {
            200 => "OK",
            409 => "Conflict",
            421 => "Misdirected Request",
            503 => "Service Unavailable",
            _ => "Error",
        };
        let rejected = if matches!(status, 421 | 503) {
            "Not-Executed: 1\r\n"
        } else {
            ""
        };
        let id = if id.is_empty() {
            String::new()
        } else {
            format!("Request-Id: {id}\r\n")
        };
        let text = format!(
            "HTTP/1.1 {status} {reason}\r\n{id}{rejected}{headers}Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(text.as_bytes()).ok()?;
        Some(text)
    }

    fn grant(&self, body: &[u8]) -> u16 {
        let now = Instant::now();
        let body: Value = serde_json::from_slice(body).unwrap_or_default();
        let number = |name: &str| body[name].as_u64().unwrap_or_default();
        let (from, to, fence) = (number("From"), number("To"), number("fence"));
        let range = from as usize..=(to as usize).min(KEYS - 1);
        let until = now + Duration::from_millis(number("HoldMs"));
        let mut state = self.state.lock().unwrap();
        if state.seen[range.clone()].iter().any(|seen| *seen > fence) {
            drop(state);
            self.record.at(
                now,
                format!("{} grant {from}-{to} fence {fence}: 409", self.id),
            );
            return 409;
        }
        let is_new = state.held[*range.start()].is_none_or(|(held, _)| held != fence);
        for key in range {
            state.seen[key] = fence;
            state.held[key] = Some((fence, until));
        }
        drop(state);
        let word = if is_new { "grant" } else { "renewal" };
        self.record.at(
            now,
            format!("{} {word} {from}-{to} fence {fence}: 200", self.id),
        );
        200
    }

    /// Stops new work on keys at once, and waits until the work that is running on them has ended.
    fn release(&self, body: &[u8]) {
        let now = Instant::now();
        let body: Value = serde_json::from_slice(body).unwrap_or_default();
        let number = |name: &str| body[name].as_u64().unwrap_or_default();
        let (from, to, fence) = (number("From"), number("To"), number("fence"));
        let range = from as usize..=(to as usize).min(KEYS - 1);
        {
            let mut state = self.state.lock().unwrap();
            for key in range.clone() {
                state.held[key] = None;
            }
        }
        self.record.at(
            now,
            format!("{} release {from}-{to} fence {fence} arrives", self.id),
        );
        loop {
            let state = self.state.lock().unwrap();
            let is_running = |work: &Work| {
                let key = work.key.map(usize::from);
                work.ended.is_none() && key.is_some_and(|key| range.contains(&key))
            };
            if !state.is_up || !state.work.iter().any(is_running) {
                break;
            }
            drop(state);
            thread::sleep(Duration::from_millis(2));
        }
        self.record.add(format!(
            "{} release {from}-{to} fence {fence}: work ended, 200",
            self.id
        ));
    }

    fn run(
        self: &Arc<Self>,
        stream: &mut TcpStream,
        head: &str,
        path: &str,
        id: &str,
        life: u64,
    ) -> Option<()> {
        let now = Instant::now();
        let key: Option<u16> = header(head, "shard-key").and_then(|text| text.parse().ok());
        let index = {
            let mut state = self.state.lock().unwrap();
            state.arrivals.push((now, id.to_owned()));
            if is_overrun(&state, now) {
                drop(state);
                self.record
                    .at(now, format!("{} is cold, and gets far too much", self.id));
                self.crash_for_a_while();
                return None;
            }
            let holds = !self.keyed || key.is_some_and(|key| holds(&state, key, now));
            let status = if !holds {
                421
            } else if state.running >= self.slots {
                503
            } else {
                200
            };
            if status != 200 {
                drop(state);
                self.record
                    .at(now, format!("{} rejects {id}: {status}", self.id));
                return self.write(stream, status, id, "", "").map(|_| ());
            }
            state.running += 1;
            state.work.push(Work {
                request: id.to_owned(),
                key,
                began: now,
                ended: None,
            });
            state.work.len() - 1
        };
        self.record
            .at(now, format!("{} begins to run {id}", self.id));
        if path.contains("/poison") {
            // The request crashes the upstream, which is back after some seconds.
            thread::sleep(Duration::from_millis(20));
            self.crash_for_a_while();
            return None;
        }
        let work_ms = path
            .split('/')
            .find_map(|part| part.strip_prefix('w')?.parse().ok());
        thread::sleep(Duration::from_millis(work_ms.unwrap_or(20)));
        {
            let mut state = self.state.lock().unwrap();
            if state.life != life || !state.is_up {
                return None;
            }
            state.work[index].ended = Some(Instant::now());
            state.running -= 1;
        }
        let load = self.state.lock().unwrap().running;
        let headers = format!(
            "Upstream-Signature: sig.{}.{id}\r\nUpstream-Load: {load},0,{}\r\n",
            self.id, self.slots
        );
        self.record.add(format!("{} has run {id}: 200", self.id));
        self.write(stream, 200, id, &headers, "done").map(|_| ())
    }
}

/// Whether a cold upstream has got far too many requests in the last second.
fn is_overrun(state: &State, now: Instant) -> bool {
    let Some((since, until)) = state.cold else {
        return false;
    };
    let second = Duration::from_secs(1);
    let is_recent = |at: Instant| at >= since && now.saturating_duration_since(at) < second;
    let recent = state.arrivals.iter().rev();
    let recent = recent.take_while(|(at, _)| is_recent(*at)).count();
    now < until && recent > COLD_CRASH
}

fn holds(state: &State, key: u16, now: Instant) -> bool {
    state.held[usize::from(key)].is_some_and(|(_, until)| until > now)
}

/// Unix milliseconds.
pub fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<(String, Vec<u8>)> {
    let mut piece = [0; 4096];
    loop {
        if let Some(end) = buffer.windows(4).position(|part| part == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let length: usize = header(&head, "content-length")
                .and_then(|text| text.parse().ok())
                .unwrap_or(0);
            if buffer.len() >= end + 4 + length {
                let body = buffer[end + 4..end + 4 + length].to_vec();
                buffer.drain(..end + 4 + length);
                return Some((head, body));
            }
        }
        let count = stream.read(&mut piece).ok()?;
        if count == 0 {
            return None;
        }
        buffer.extend_from_slice(&piece[..count]);
    }
}
