//! Cases: a request that crashes each upstream that begins to run it comes again, after all hosts were killed
//! (`killed`), or while other callers send requests with the same path (`cookie`).

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::json;

use crate::http::{Connection, Head};
use crate::record::Record;
use crate::site::{Host, ZONES, ask, configure, ip, request_head, route, service, wait_until};
use crate::store::Store;

const HOSTS: usize = 3;
const UPSTREAMS: usize = 12;
/// Time after a crash until the store removes the entry: three heartbeats of 870 ms.
const EXPIRY: Duration = Duration::from_millis(2_610);
/// Time after a crash until the upstream is back.
const DOWN: Duration = Duration::from_millis(3_000);
/// `WarmupS`.
const WARM_UP: Duration = Duration::from_millis(3_000);
/// `ContactMs`.
const CONTACT: Duration = Duration::from_millis(4_000);
/// Time between two arrivals of the request that crashes upstreams.
const INTERVAL: Duration = Duration::from_millis(150);
/// How long it comes before the hosts are killed, and after they are in touch again.
const PHASE: Duration = Duration::from_secs(12);
/// Time for which all hosts are down.
const HOSTS_DOWN: Duration = Duration::from_millis(1_400);
const POISON_BODY: &[u8] = b"an order that crashes its upstream";
const CALLERS: u64 = 6;

struct Arrival {
    at: Instant,
    upstream: String,
    id: String,
}

/// What all upstreams share.
#[derive(Clone)]
struct Service {
    store: Store,
    record: Record,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    starts: Arc<AtomicU64>,
    ended: Arc<AtomicBool>,
    /// Whether a request crashes the upstream that begins to run it.
    is_poison: fn(&Head, &[u8]) -> bool,
}

impl Service {
    /// Starts an upstream, cold unless it is one of the first.
    fn start(&self, zone: usize, is_cold: bool) {
        let number = self.starts.fetch_add(1, Ordering::SeqCst);
        let listener = TcpListener::bind((ip(1), 0)).expect("a free port");
        listener
            .set_nonblocking(true)
            .expect("a listener that does not block");
        let upstream = Arc::new(Upstream {
            id: format!("i-{number:04x}"),
            address: listener.local_addr().unwrap(),
            zone: ZONES[zone % ZONES.len()],
            born: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap()
                .as_millis() as u64,
            up: AtomicBool::new(true),
            streams: Mutex::default(),
            service: self.clone(),
        });
        upstream.publish(if is_cold { WARM_UP } else { Duration::ZERO });
        self.record.add(format!("{} starts", upstream.id));
        if is_cold {
            let upstream = upstream.clone();
            thread::spawn(move || {
                thread::sleep(WARM_UP);
                if upstream.up.load(Ordering::SeqCst) {
                    upstream.publish(Duration::ZERO);
                }
            });
        }
        let service = self.clone();
        thread::spawn(move || {
            while upstream.up.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let upstream = upstream.clone();
                        thread::spawn(move || upstream.serve(stream));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
            // Nothing listens there any more.
            drop(listener);
            for stream in upstream.streams.lock().unwrap().drain(..) {
                let _ = stream.shutdown(std::net::Shutdown::Both);
            }
            thread::sleep(EXPIRY);
            service.store.remove("servers", &upstream.id);
            thread::sleep(DOWN - EXPIRY);
            if !service.ended.load(Ordering::SeqCst) {
                service.start(zone, true);
            }
        });
    }
}

struct Upstream {
    id: String,
    address: SocketAddr,
    zone: &'static str,
    born: u64,
    up: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
    service: Service,
}

impl Upstream {
    fn publish(&self, warmup_left: Duration) {
        let spec = json!({
            "Address": self.address.to_string(), "born": self.born,
            "Info": { "Service": "orders", "Version": "v1", "Zone": self.zone, "Slots": 4 },
        });
        let status = json!({ "State": "ready", "Sequence": 1, "WarmupLeftMs": warmup_left.as_millis() as u64 });
        self.service.store.put("servers", &self.id, spec, status);
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        stream.set_nonblocking(false).ok()?;
        self.streams.lock().unwrap().push(stream.try_clone().ok()?);
        let mut connection = Connection::new(stream);
        loop {
            let head = connection.read_head().ok()??;
            let body = connection.read_body(head.length().unwrap_or(0)).ok()?;
            if !self.up.load(Ordering::SeqCst) {
                return None;
            }
            let id = head.get("request-id").unwrap_or_default().to_owned();
            let record = &self.service.record;
            if head
                .get("target-instance")
                .is_some_and(|target| target != self.id)
            {
                let text = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\nRequest-Id: {id}\r\nContent-Length: 0\r\n\r\n"
                );
                connection.write(text.as_bytes()).ok()?;
                continue;
            }
            if (self.service.is_poison)(&head, &body) {
                record.add(format!("{} begins to run {id} and crashes", self.id));
                let arrival = Arrival {
                    at: Instant::now(),
                    upstream: self.id.clone(),
                    id,
                };
                self.service.arrivals.lock().unwrap().push(arrival);
                thread::sleep(Duration::from_millis(5));
                self.up.store(false, Ordering::SeqCst);
                return None;
            }
            thread::sleep(Duration::from_millis(60));
            let text = format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nUpstream-Signature: sig.{id}\r\nUpstream-Load: 1,0,4\r\nContent-Length: 2\r\n\r\nok"
            );
            connection.write(text.as_bytes()).ok()?;
        }
    }
}

pub fn killed(record: &Record, folder: &std::path::Path, trouble: bool) -> Result<(), String> {
    let store = Store::start(TcpListener::bind((ip(1), 0)).map_err(|error| error.to_string())?);
    configure(
        &store,
        1,
        json!({ "pay": route("/pay/", "unsafe", "orders", 2_000) }),
        json!({ "orders": service(false) }),
    );
    let upstreams = Service {
        store: store.clone(),
        record: record.clone(),
        arrivals: Arc::default(),
        starts: Arc::default(),
        ended: Arc::default(),
        is_poison: |_, body| body == POISON_BODY,
    };
    for number in 0..UPSTREAMS {
        upstreams.start(number, false);
    }
    let mut hosts: Vec<Host> = (0..HOSTS)
        .map(|index| Host::new(folder, index, store.address, 260))
        .collect();
    for host in &mut hosts {
        host.start(record);
    }
    wait_until(Duration::from_secs(20), "all hosts are ready", || {
        hosts.iter().all(Host::is_ready)
    })?;
    thread::sleep(CONTACT);
    let fronts: Vec<SocketAddr> = hosts.iter().map(|host| host.front).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU64::new(0));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (stop, served) = (stop.clone(), served.clone());
            let address = fronts[caller as usize % HOSTS];
            thread::spawn(move || pay(caller, address, &stop, &served))
        })
        .collect();

    send_poison(record, "first", &fronts, PHASE);
    let third = upstreams
        .arrivals
        .lock()
        .unwrap()
        .get(2)
        .map(|arrival| arrival.at);
    if trouble {
        record.add("all hosts are killed");
        for host in &mut hosts {
            host.kill();
        }
        thread::sleep(HOSTS_DOWN);
        record.add("all hosts start");
        for host in &mut hosts {
            host.start(record);
        }
    }
    wait_until(Duration::from_secs(20), "all hosts are ready", || {
        hosts.iter().all(Host::is_ready)
    })?;
    // From now on the hosts are in touch.
    thread::sleep(CONTACT + Duration::from_millis(500));
    send_poison(record, "again", &fronts, PHASE);

    stop.store(true, Ordering::Relaxed);
    upstreams.ended.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    for host in &mut hosts {
        if let Some(status) = host.has_ended() {
            return Err(format!("{} has ended: {status}", host.name));
        }
    }
    let served = served.load(Ordering::Relaxed);
    record.add(format!("{served} other requests were served"));
    let Some(third) = third else {
        return Err("the request has not crashed three upstreams".to_owned());
    };
    // All of them were sent by hosts in touch: the others were sent within `CONTACT` of the third crash.
    let arrivals = upstreams.arrivals.lock().unwrap();
    let late: Vec<&Arrival> = arrivals
        .iter()
        .filter(|arrival| arrival.at > third + CONTACT)
        .collect();
    record.add(format!(
        "{} arrivals, {} of them later than ContactMs after the third crash",
        arrivals.len(),
        late.len()
    ));
    if late.len() > 3 {
        let list: Vec<String> = late
            .iter()
            .map(|arrival| format!("{} at {}", arrival.id, arrival.upstream))
            .collect();
        record.broken(format!(
            "BUDGET: the request reached upstreams {} times later than ContactMs after it had crashed the third one: {}",
            late.len(),
            list.join(", ")
        ));
    }
    Ok(())
}

/// Sends the request that crashes upstreams at one host after the other.
fn send_poison(record: &Record, name: &str, fronts: &[SocketAddr], time: Duration) {
    let end = Instant::now() + time;
    let mut number = 0;
    while Instant::now() < end {
        let id = format!("{name}-{number}");
        let host = number % fronts.len();
        let head = request_head("POST", "/pay/order", &id, 2_500, None, POISON_BODY.len());
        let sent = Instant::now();
        let answer = Connection::open(fronts[host], Duration::from_secs(3))
            .and_then(|mut connection| ask(&mut connection, &head, POISON_BODY));
        match answer {
            Ok(answer) => record.add(format!(
                "{id} at host {host} is answered {}",
                answer.head.status()
            )),
            Err(error) => record.add(format!("{id} at host {host} gets no answer: {error}")),
        }
        number += 1;
        thread::sleep(INTERVAL.saturating_sub(sent.elapsed()));
    }
}

fn pay(caller: u64, address: SocketAddr, stop: &AtomicBool, served: &AtomicU64) {
    let mut connection = None;
    let mut number = 0_u64;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let id = format!("{caller:02}-{number}");
        let body = format!("order {id}");
        let open = connection
            .take()
            .map_or_else(|| Connection::open(address, Duration::from_secs(3)), Ok);
        let head = request_head("POST", "/pay/order", &id, 2_500, None, body.len());
        if let Ok(mut open) = open
            && let Ok(answer) = ask(&mut open, &head, body.as_bytes())
        {
            served.fetch_add(u64::from(answer.head.status() == 200), Ordering::Relaxed);
            connection = Some(open).filter(|_| !answer.head.closes());
        }
        thread::sleep(Duration::from_millis(100));
    }
}

/// Interval of the request of the case `cookie`, the time for which it comes, and its cookie.
const COOKIE_INTERVAL: Duration = Duration::from_millis(1_500);
const COOKIE_TIME: Duration = Duration::from_secs(50);
const POISON_COOKIE: &str = "session=7f3a91c2";

pub fn cookie(record: &Record, folder: &std::path::Path, trouble: bool) -> Result<(), String> {
    // For comparison: the other callers ask for other paths.
    let shares_path = std::env::var("OTHER_PATHS").as_deref() != Ok("1");
    let listener = TcpListener::bind((ip(1), 0)).map_err(|error| error.to_string())?;
    let store = Store::start(listener);
    configure(
        &store,
        1,
        json!({ "read": route("/read/", "safe", "orders", 2_000) }),
        json!({ "orders": service(false) }),
    );
    let upstreams = Service {
        store: store.clone(),
        record: record.clone(),
        arrivals: Arc::default(),
        starts: Arc::default(),
        ended: Arc::default(),
        is_poison: if trouble {
            |head, _| head.get("cookie") == Some(POISON_COOKIE)
        } else {
            |_, _| false
        },
    };
    for number in 0..UPSTREAMS {
        upstreams.start(number, false);
    }
    let mut hosts: Vec<Host> = (0..HOSTS)
        .map(|index| Host::new(folder, index, store.address, 260))
        .collect();
    for host in &mut hosts {
        host.start(record);
    }
    wait_until(Duration::from_secs(20), "all hosts are ready", || {
        hosts.iter().all(Host::is_ready)
    })?;
    thread::sleep(CONTACT);
    let fronts: Vec<SocketAddr> = hosts.iter().map(|host| host.front).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU64::new(0));
    let failed = Arc::new(AtomicU64::new(0));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (stop, served, failed) = (stop.clone(), served.clone(), failed.clone());
            let address = fronts[caller as usize % HOSTS];
            let path = if shares_path {
                "/read/front".to_owned()
            } else {
                format!("/read/{caller}")
            };
            thread::spawn(move || read(caller, &path, address, &stop, &served, &failed))
        })
        .collect();
    let end = Instant::now() + COOKIE_TIME;
    let mut number = 0;
    while Instant::now() < end {
        let id = format!("caller-{number}");
        let host = number % HOSTS;
        match get("/read/front", &id, POISON_COOKIE, fronts[host]) {
            Ok(status) => record.add(format!("{id} at host {host} is answered {status}")),
            Err(error) => record.add(format!("{id} at host {host} gets no answer: {error}")),
        }
        number += 1;
        thread::sleep(COOKIE_INTERVAL);
    }
    stop.store(true, Ordering::Relaxed);
    upstreams.ended.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    for host in &mut hosts {
        if let Some(status) = host.has_ended() {
            return Err(format!("{} has ended: {status}", host.name));
        }
    }
    record.add(format!(
        "{} requests of other callers were served, {} were not",
        served.load(Ordering::Relaxed),
        failed.load(Ordering::Relaxed)
    ));
    let arrivals = upstreams.arrivals.lock().unwrap();
    let third = arrivals.get(2).map(|arrival| arrival.at);
    let late = arrivals
        .iter()
        .filter(|arrival| third.is_some_and(|third| arrival.at > third + CONTACT));
    let late = late.count();
    record.add(format!(
        "{} arrivals, {late} of them later than ContactMs after the third crash",
        arrivals.len()
    ));
    if late > 3 {
        record.broken(format!(
            "BUDGET: the request reached upstreams {late} times later than ContactMs after it had crashed the third one, and crashed {} in all",
            arrivals.len()
        ));
    }
    Ok(())
}

/// Sends a request on a connection of its own; returns the status of its answer.
fn get(path: &str, id: &str, cookie: &str, address: SocketAddr) -> std::io::Result<u16> {
    let head = request_head("GET", path, id, 2_500, None, 0);
    let head = head.trim_end().to_owned() + "\r\nCookie: " + cookie + "\r\n\r\n";
    let mut connection = Connection::open(address, Duration::from_secs(3))?;
    Ok(ask(&mut connection, &head, &[])?.head.status())
}

fn read(
    caller: u64,
    path: &str,
    address: SocketAddr,
    stop: &AtomicBool,
    served: &AtomicU64,
    failed: &AtomicU64,
) {
    let mut number = 0_u64;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let status = get(
            path,
            &format!("{caller:02}-{number}"),
            &format!("session={caller}"),
            address,
        );
        let count = if status.is_ok_and(|status| status == 200) {
            served
        } else {
            failed
        };
        count.fetch_add(1, Ordering::Relaxed);
        thread::sleep(Duration::from_millis(60));
    }
}
