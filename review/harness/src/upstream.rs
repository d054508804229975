//! Upstreams: they register in the store, hold keys, run requests, and can crash, drain or turn cold.

use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

use crate::http::{Message, Wire};
use crate::record::Record;
use crate::store::Store;

/// Interval of the writes of an upstream's entry.
pub const HEARTBEAT: Duration = Duration::from_millis(870);
/// Interval at which the threads of an upstream look whether its process has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
const KEYS: usize = 65_536;

/// What an upstream is.
#[derive(Clone, Debug)]
pub struct Options {
    pub service: String,
    pub zone: String,
    pub keyed: bool,
    pub slots: usize,
    pub queue: usize,
}

/// A request that an upstream has begun to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub request: String,
    pub server: String,
    pub key: Option<u16>,
    pub began: Instant,
    pub ended: Option<Instant>,
}

/// A grant that an upstream has accepted.
#[derive(Clone, Debug)]
pub struct Grant {
    pub server: String,
    pub from: u16,
    pub to: u16,
    pub fence: u64,
    pub arrived: Instant,
    pub hold: Duration,
    /// Running requests at other upstreams for keys of the grant: identifier, upstream and key.
    pub at_work_elsewhere: Vec<(String, String, u16)>,
}

/// What all upstreams together have seen.
#[derive(Default)]
pub struct Ledger {
    pub runs: Vec<Run>,
    pub grants: Vec<Grant>,
    /// Releases: upstream, first and last key, time.
    pub releases: Vec<(String, u16, u16, Instant)>,
    /// Arrivals of requests, whatever became of them: identifier, upstream, time.
    pub arrivals: Vec<(String, String, Instant)>,
    /// Times at which upstreams have crashed.
    pub crashes: Vec<(String, Instant)>,
}

impl Ledger {
    /// The times in which an upstream has held a key.
    pub fn holds(&self, server: &str, key: u16) -> Vec<(Instant, Instant)> {
        let covers = |from: u16, to: u16| (from..=to).contains(&key);
        let grants = self.grants.iter();
        let grants = grants.filter(|grant| grant.server == server && covers(grant.from, grant.to));
        let mut times: Vec<(Instant, Instant)> = Vec::new();
        for grant in grants {
            let expiry = grant.arrived + grant.hold;
            let releases = self.releases.iter().filter(|(other, from, to, at)| {
                other == server && covers(*from, *to) && *at >= grant.arrived
            });
            let crashes = self.crashes.iter().filter(|(other, _)| other == server);
            let ends = releases
                .map(|(.., at)| *at)
                .chain(crashes.map(|(_, at)| *at));
            let until = ends.fold(expiry, Instant::min);
            match times.last_mut() {
                Some((_, last)) if *last >= grant.arrived => *last = (*last).max(until),
                _ => times.push((grant.arrived, until)),
            }
        }
        times
    }

    /// The times in which two upstreams have both held a key.
    pub fn double_holds(&self, servers: [&str; 2], key: u16) -> Vec<(Instant, Instant)> {
        let [first, second] = servers.map(|server| self.holds(server, key));
        let pairs = first
            .iter()
            .flat_map(|one| second.iter().map(move |other| (one, other)));
        let both = pairs.map(|(one, other)| (one.0.max(other.0), one.1.min(other.1)));
        both.filter(|(since, until)| since < until).collect()
    }

    /// The requests on a key that an upstream has begun to run in a time.
    pub fn runs_within(&self, server: &str, key: u16, time: (Instant, Instant)) -> Vec<&Run> {
        let runs = self.runs.iter();
        runs.filter(|run| {
            run.server == server
                && run.key == Some(key)
                && time.0 <= run.began
                && run.began <= time.1
        })
        .collect()
    }
}

/// The ledger, shared by all upstreams.
pub type SharedLedger = Arc<Mutex<Ledger>>;

/// Locks a mutex, whatever has become of its other holders.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|error| error.into_inner())
}

struct Life {
    number: u64,
    id: String,
    born: u64,
    sequence: u64,
    draining: bool,
    cold_until: Option<Instant>,
    running: Vec<(u64, Option<u16>)>,
    waiting: usize,
    last_run: u64,
    /// By key: the highest fencing token, and until when the key is held.
    fences: Vec<u64>,
    held_until: Vec<Option<Instant>>,
    streams: Vec<TcpStream>,
}

impl Life {
    fn holds(&self, key: u16) -> bool {
        self.held_until[usize::from(key)].is_some_and(|until| until > Instant::now())
    }
}

/// An upstream.
#[derive(Clone)]
pub struct Upstream {
    pub options: Options,
    pub address: SocketAddr,
    /// The address that it registers, such as that of a link.
    registered: SocketAddr,
    store: Store,
    ledger: SharedLedger,
    record: Arc<Record>,
    life: Arc<(Mutex<Life>, Condvar)>,
    alive: Arc<AtomicBool>,
    number: Arc<AtomicU64>,
    /// Whether a second copy of the answer to the latest grant is due on its connection, at the point
    /// where the answer to the next call is expected.
    extra_answer: Arc<AtomicBool>,
    /// Percentages of answers that are lost after the run, and that are sent a second time, late.
    pub lost_percent: Arc<AtomicU64>,
    pub extra_percent: Arc<AtomicU64>,
    /// Percentage of orders that get no answer and are carried out 2 to 6 s later.
    pub late_percent: Arc<AtomicU64>,
    dice: Arc<AtomicU64>,
}

impl Upstream {
    /// Starts an upstream and registers it.
    pub fn start(
        options: Options,
        id: &str,
        store: &Store,
        ledger: &SharedLedger,
        record: &Arc<Record>,
        through: impl Fn(SocketAddr) -> SocketAddr,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let upstream = Self {
            options,
            address,
            registered: through(address),
            store: store.clone(),
            ledger: ledger.clone(),
            record: record.clone(),
            life: Arc::new((Mutex::new(new_life(1, id.to_owned())), Condvar::new())),
            alive: Arc::new(AtomicBool::new(true)),
            number: Arc::new(AtomicU64::new(1)),
            extra_answer: Arc::default(),
            lost_percent: Arc::default(),
            extra_percent: Arc::default(),
            late_percent: Arc::default(),
            dice: Arc::new(AtomicU64::new(u64::from(address.port()))),
        };
        upstream.run_life(listener, 1);
        upstream
    }

    /// The identifier of the present life.
    pub fn id(&self) -> String {
        lock(&self.life.0).id.clone()
    }

    /// Reports that it is draining; it goes on serving.
    pub fn drain(&self) {
        lock(&self.life.0).draining = true;
        self.record.line(format!("{} reports draining", self.id()));
        self.publish();
    }

    /// Becomes cold for a time, as it is.
    pub fn turn_cold(&self, time: Duration) {
        lock(&self.life.0).cold_until = Some(Instant::now() + time);
        let id = self.id();
        self.record
            .line(format!("{id} is cold for {} ms", time.as_millis()));
        self.publish();
    }

    /// Repeats the answer to the latest grant, late: where the answer to the next call is expected.
    pub fn answer_again(&self) {
        self.extra_answer.store(true, Ordering::SeqCst);
    }

    /// Crashes now and starts again after `down`.
    pub fn crash_now(&self, down: Duration, keeps_id: bool) {
        let number = self.number.load(Ordering::SeqCst);
        self.crash(number, down, Duration::from_secs(3), keeps_id);
    }

    /// Ends for good.
    pub fn leave(&self) {
        self.alive.store(false, Ordering::SeqCst);
        let mut life = lock(&self.life.0);
        for stream in life.streams.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let id = life.id.clone();
        drop(life);
        self.store.remove("servers", &id);
        self.record.line(format!("{id} has left"));
    }

    /// The keys that it holds now, as ranges.
    pub fn held_ranges(&self) -> Vec<(u16, u16)> {
        let life = lock(&self.life.0);
        let mut ranges: Vec<(u16, u16)> = Vec::new();
        for key in 0..KEYS {
            if life.holds(key as u16) {
                match ranges.last_mut() {
                    Some((_, to)) if usize::from(*to) + 1 == key => *to = key as u16,
                    _ => ranges.push((key as u16, key as u16)),
                }
            }
        }
        ranges
    }

    fn roll(&self, percent: &AtomicU64) -> bool {
        let number = self
            .dice
            .fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
        let mixed = (number ^ (number >> 31)).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 33;
        mixed % 100 < percent.load(Ordering::Relaxed)
    }

    fn is_life(&self, number: u64) -> bool {
        self.alive.load(Ordering::SeqCst) && self.number.load(Ordering::SeqCst) == number
    }

    fn run_life(&self, listener: TcpListener, number: u64) {
        self.publish();
        let upstream = self.clone();
        thread::spawn(move || {
            while upstream.is_life(number) {
                thread::sleep(HEARTBEAT);
                if upstream.is_life(number) {
                    upstream.publish();
                }
            }
        });
        let upstream = self.clone();
        listener.set_nonblocking(true).expect("a listener");
        thread::spawn(move || {
            while upstream.is_life(number) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        if let Ok(copy) = stream.try_clone() {
                            lock(&upstream.life.0).streams.push(copy);
                        }
                        let upstream = upstream.clone();
                        thread::spawn(move || upstream.serve(stream, number));
                    }
                    Err(_) => thread::sleep(POLL_INTERVAL),
                }
            }
        });
    }

    fn publish(&self) {
        // While the store is down, nothing reaches it.
        if self.store.is_down() {
            return;
        }
        let mut life = lock(&self.life.0);
        life.sequence += 1;
        let spec = json!({
            "Address": self.registered.to_string(),
            "born": life.born,
            "Info": {
                "Service": self.options.service, "Version": "v1", "Zone": self.options.zone,
                "Slots": self.options.slots,
            },
        });
        let status = json!({
            "State": if life.draining { "draining" } else { "ready" },
            "Sequence": life.sequence,
            "WarmupLeftMs": warmup_left(&life),
        });
        let id = life.id.clone();
        drop(life);
        self.store.put("servers", &id, spec, status);
    }

    /// Ends the process; another one starts after `down` under another identifier, cold for
    /// `cold_for`. The entry of the former goes after three heartbeats.
    fn crash(&self, number: u64, down: Duration, cold_for: Duration, keeps_id: bool) {
        let old_id = {
            let mut life = lock(&self.life.0);
            if life.number != number || !self.alive.swap(false, Ordering::SeqCst) {
                return;
            }
            for stream in life.streams.drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
            life.id.clone()
        };
        self.life.1.notify_all();
        lock(&self.ledger)
            .crashes
            .push((old_id.clone(), Instant::now()));
        self.record.line(format!("{old_id} has crashed"));
        let upstream = self.clone();
        thread::spawn(move || {
            let crashed = Instant::now();
            let store = upstream.store.clone();
            let gone = old_id.clone();
            thread::spawn(move || {
                thread::sleep(HEARTBEAT * 3);
                if !keeps_id {
                    store.remove("servers", &gone);
                }
            });
            thread::sleep(down.saturating_sub(crashed.elapsed()));
            let next = number + 1;
            let base = old_id.split('.').next().unwrap_or_default().to_owned();
            let id = if keeps_id {
                old_id.clone()
            } else {
                format!("{base}.{next}")
            };
            let mut life = new_life(next, id);
            life.cold_until = Some(Instant::now() + cold_for);
            let id = life.id.clone();
            *lock(&upstream.life.0) = life;
            let listener = TcpListener::bind(upstream.address).expect("the address is free again");
            upstream.number.store(next, Ordering::SeqCst);
            upstream.alive.store(true, Ordering::SeqCst);
            upstream.record.line(format!("{id} has started"));
            upstream.run_life(listener, next);
        });
    }

    fn serve(&self, stream: TcpStream, number: u64) {
        let mut wire = Wire::new(stream);
        // The answer to the latest grant on this connection.
        let mut granted: Option<Message> = None;
        let mut answered: Option<Message> = None;
        while let Ok(Some(request)) = wire.read() {
            if !self.is_life(number) {
                return;
            }
            let is_order = matches!(request.path(), "/grant" | "/release");
            if is_order
                && let Some(answer) = granted.take()
                && self.extra_answer.swap(false, Ordering::SeqCst)
            {
                let id = self.id();
                self.record.line(format!(
                    "{id} sends its answer to a grant a second time, as {} arrives",
                    request.path()
                ));
                if wire.write(&answer).is_err() {
                    return;
                }
            }
            if is_order && self.roll(&self.late_percent) {
                let arrived = Instant::now();
                thread::sleep(Duration::from_millis(
                    2_000 + (self.dice.load(Ordering::Relaxed) >> 7) % 4_000,
                ));
                if self.is_life(number) {
                    let id = self.id();
                    self.record
                        .line(format!("{id} carries out {} late", request.path()));
                    if request.path() == "/grant" {
                        let _ = self.grant_at(&request, number, arrived);
                    } else {
                        let _ = self.release(&request, number);
                    }
                }
                // No answer is ever sent.
                while self.is_life(number) && matches!(wire.stream.peek(&mut [0]), Ok(1..)) {
                    thread::sleep(Duration::from_millis(100));
                }
                return;
            }
            let response = match request.path() {
                "/grant" => self.grant(&request, number),
                "/release" => self.release(&request, number),
                "/health" => self.health(),
                _ => self.run(&request, number),
            };
            let Some(response) = response else { return };
            if !is_order {
                if let Some(earlier) = answered.take()
                    && self.roll(&self.extra_percent)
                    && wire.write(&earlier).is_err()
                {
                    return;
                }
                if self.roll(&self.lost_percent) {
                    return;
                }
                answered = Some(response.clone());
            }
            let response = match request.header("Request-Id") {
                Some(id) if is_order => response.with("Request-Id", id),
                _ => response,
            };
            if request.path() == "/grant" {
                granted = Some(response.clone());
            }
            if wire.write(&response).is_err() {
                return;
            }
        }
    }

    fn health(&self) -> Option<Message> {
        let life = lock(&self.life.0);
        let status = if life.draining { 503 } else { 200 };
        Some(
            Message::response(status)
                .with("Instance-Id", life.id.clone())
                .with("Warmup-Remaining-Ms", warmup_left(&life).to_string())
                .with("Upstream-Load", self.load(&life)),
        )
    }

    fn load(&self, life: &Life) -> String {
        let slots = self.options.slots;
        format!("{},{},{slots},100", life.running.len(), life.waiting)
    }

    fn grant(&self, request: &Message, number: u64) -> Option<Message> {
        self.grant_at(request, number, Instant::now())
    }

    fn grant_at(&self, request: &Message, number: u64, arrived: Instant) -> Option<Message> {
        let body: Value = serde_json::from_slice(&request.body).ok()?;
        let (from, to) = key_range(&body);
        let fence = body["fence"].as_u64()?;
        let hold = Duration::from_millis(body["HoldMs"].as_u64()?);
        let mut ledger = lock(&self.ledger);
        let mut life = lock(&self.life.0);
        if life.number != number {
            return None;
        }
        let id = life.id.clone();
        if request
            .header("Target-Instance")
            .is_some_and(|target| target != id)
        {
            return Some(Message::response(421).with("Not-Executed", "1"));
        }
        let range = usize::from(from)..=usize::from(to);
        if life.fences[range.clone()].iter().any(|seen| *seen > fence) {
            self.record.line(format!(
                "{id} refuses a grant of {from}-{to} with fence {fence}"
            ));
            return Some(Message::response(409));
        }
        let until = arrived + hold;
        if until <= Instant::now() {
            return None;
        }
        let is_new = range.clone().any(|key| !life.holds(key as u16));
        for key in range {
            life.fences[key] = fence;
            life.held_until[key] = Some(until);
        }
        drop(life);
        let at_work = ledger.runs.iter().filter(|run| {
            let is_inside = run.key.is_some_and(|key| from <= key && key <= to);
            is_inside && run.ended.is_none() && run.server != id
        });
        let at_work_elsewhere = at_work
            .map(|run| {
                (
                    run.request.clone(),
                    run.server.clone(),
                    run.key.unwrap_or(0),
                )
            })
            .collect();
        if is_new {
            self.record
                .line(format!("{id} takes {from}-{to} with fence {fence}"));
        }
        ledger.grants.push(Grant {
            server: id,
            from,
            to,
            fence,
            arrived,
            hold,
            at_work_elsewhere,
        });
        Some(Message::response(200))
    }

    fn release(&self, request: &Message, number: u64) -> Option<Message> {
        let body: Value = serde_json::from_slice(&request.body).ok()?;
        let (from, to) = key_range(&body);
        let fence = body["fence"].as_u64()?;
        let mut ledger = lock(&self.ledger);
        let mut life = lock(&self.life.0);
        let id = life.id.clone();
        if request
            .header("Target-Instance")
            .is_some_and(|target| target != id)
        {
            return Some(Message::response(421).with("Not-Executed", "1"));
        }
        ledger.releases.push((id.clone(), from, to, Instant::now()));
        drop(ledger);
        self.record.line(format!(
            "{id} is asked to release {from}-{to}, fence {fence}"
        ));
        for key in usize::from(from)..=usize::from(to) {
            if life.fences[key] <= fence {
                life.held_until[key] = None;
            }
        }
        let is_busy = |life: &Life| {
            let mut keys = life.running.iter().filter_map(|(_, key)| *key);
            life.number == number && keys.any(|key| from <= key && key <= to)
        };
        while is_busy(&life) && self.is_life(number) {
            let waited = self.life.1.wait_timeout(life, Duration::from_millis(50));
            life = waited.unwrap_or_else(|error| error.into_inner()).0;
        }
        if !self.is_life(number) {
            return None;
        }
        self.record.line(format!(
            "{id} has released {from}-{to}: no work on it is left"
        ));
        Some(Message::response(200).with("Handover", format!("{fence:016x}")))
    }

    fn run(&self, request: &Message, number: u64) -> Option<Message> {
        let arrived = Instant::now();
        let request_id = request.header("Request-Id").unwrap_or_default().to_owned();
        let key = request
            .header("Shard-Key")
            .and_then(|text| text.parse().ok());
        let key = key.filter(|_| self.options.keyed);
        let millis = request.query("work").and_then(|text| text.parse().ok());
        let work = Duration::from_millis(millis.unwrap_or(50));
        let rejection = |status: u16, life: &Life| {
            Message::response(status)
                .with("Request-Id", request_id.clone())
                .with("Not-Executed", "1")
                .with("Instance-Id", life.id.clone())
                .with("Upstream-Load", self.load(life))
        };
        let mut life = lock(&self.life.0);
        let id = life.id.clone();
        let is_foreign = request
            .header("Target-Instance")
            .is_some_and(|target| target != id);
        if is_foreign {
            return Some(rejection(421, &life));
        }
        {
            // The ledger is locked first everywhere.
            drop(life);
            let mut ledger = lock(&self.ledger);
            ledger
                .arrivals
                .push((request_id.clone(), id.clone(), arrived));
            drop(ledger);
            life = lock(&self.life.0);
        }
        if self.options.keyed && !key.is_some_and(|key| life.holds(key)) {
            return Some(rejection(421, &life));
        }
        if life.running.len() >= self.options.slots {
            if life.waiting >= self.options.queue {
                return Some(rejection(503, &life));
            }
            life.waiting += 1;
            while life.running.len() >= self.options.slots && self.is_life(number) {
                let waited = self.life.1.wait_timeout(life, Duration::from_millis(50));
                life = waited.unwrap_or_else(|error| error.into_inner()).0;
            }
            life.waiting = life.waiting.saturating_sub(1);
            if self.options.keyed && !key.is_some_and(|key| life.holds(key)) {
                return Some(rejection(421, &life));
            }
        }
        if !self.is_life(number) {
            return None;
        }
        life.last_run += 1;
        let run_number = life.last_run;
        life.running.push((run_number, key));
        drop(life);
        let began = Instant::now();
        let index = {
            let mut ledger = lock(&self.ledger);
            ledger.runs.push(Run {
                request: request_id.clone(),
                server: id.clone(),
                key,
                began,
                ended: None,
            });
            ledger.runs.len() - 1
        };
        let on_key = key.map_or(String::new(), |key| format!(", key {key}"));
        self.record
            .line(format!("{id} begins to run {request_id}{on_key}"));
        if request.path().ends_with("/poison") {
            self.crash(
                number,
                Duration::from_secs(3),
                Duration::from_secs(3),
                false,
            );
            return None;
        }
        while began.elapsed() < work && self.is_life(number) {
            let left = work.saturating_sub(began.elapsed());
            thread::sleep(left.min(POLL_INTERVAL));
        }
        lock(&self.ledger).runs[index].ended = Some(Instant::now());
        if !self.is_life(number) {
            self.record
                .line(format!("{request_id} ends with the process of {id}"));
            return None;
        }
        let mut life = lock(&self.life.0);
        life.running.retain(|(other, _)| *other != run_number);
        let load = self.load(&life);
        drop(life);
        self.life.1.notify_all();
        self.record.line(format!("{id} has run {request_id}"));
        Some(
            Message::response(200)
                .with("Request-Id", request_id.clone())
                .with("Upstream-Signature", format!("signed.{id}.{request_id}"))
                .with("Upstream-Load", load)
                .with("Keep-Alive", "timeout=10")
                .with_body(format!("{id} has run {request_id}")),
        )
    }
}

fn new_life(number: u64, id: String) -> Life {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    Life {
        number,
        id,
        born: now.map_or(0, |now| now.as_millis() as u64),
        sequence: 0,
        draining: false,
        cold_until: None,
        running: Vec::new(),
        waiting: 0,
        last_run: 0,
        fences: vec![0; KEYS],
        held_until: vec![None; KEYS],
        streams: Vec::new(),
    }
}

fn warmup_left(life: &Life) -> u64 {
    let left = life
        .cold_until
        .map(|until| until.saturating_duration_since(Instant::now()));
    left.map_or(0, |left| left.as_millis() as u64)
}

fn key_range(body: &Value) -> (u16, u16) {
    let number = |name: &str| body[name].as_u64().unwrap_or_default() as u16;
    (number("From"), number("To"))
}
