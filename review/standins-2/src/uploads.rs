//! Case: answers without a length, some of which are reset on the way while the request is being sent.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::json;

use crate::http::Connection;
use crate::record::Record;
use crate::site::{Host, ZONES, ask, configure, ip, request_head, route, service, wait_until};
use crate::store::Store;

const HOSTS: usize = 2;
/// Bytes of a request. On loopback, segments have 64 KB and socket buffers hold some megabytes.
const REQUEST_BYTES: usize = 8 << 20;
/// Bytes of a whole answer.
const ANSWER_BYTES: usize = 20_000;
/// Bytes of an answer that is reset on the way.
const PART_BYTES: usize = 7_000;
/// The largest share of its answers that an upstream breaks off.
const BREAK_SHARE: f64 = 0.05;
/// How long an upstream breaks off answers at a time, and the time between.
const WINDOW: Duration = Duration::from_millis(5_000);
const PAUSE: Duration = Duration::from_millis(1_000);
const WINDOWS: usize = 4;
const CALLERS: u64 = 4;

struct Docs {
    id: String,
    address: SocketAddr,
    breaks: AtomicBool,
    answers: AtomicU64,
    broken: AtomicU64,
}

impl Docs {
    fn start(number: usize, store: &Store, record: &Record) -> Arc<Self> {
        let listener = TcpListener::bind((ip(1), 0)).expect("a free port");
        let docs = Arc::new(Self {
            id: format!("i-{number:04x}"),
            address: listener.local_addr().unwrap(),
            breaks: AtomicBool::new(false),
            answers: AtomicU64::new(0),
            broken: AtomicU64::new(0),
        });
        let (this, record) = (docs.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (docs, record) = (this.clone(), record.clone());
                thread::spawn(move || docs.serve(stream, &record));
            }
        });
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_millis() as u64;
        let spec = json!({
            "Address": docs.address.to_string(), "born": born,
            "Info": { "Service": "docs", "Version": "v1", "Zone": ZONES[number % ZONES.len()], "Slots": 8 },
        });
        store.put(
            "servers",
            &docs.id,
            spec,
            json!({ "State": "ready", "Sequence": 1, "WarmupLeftMs": 0 }),
        );
        docs
    }

    /// Whether the answer that is about to be given is broken off.
    fn takes_break(&self) -> bool {
        let answers = self.answers.fetch_add(1, Ordering::SeqCst) + 1;
        let broken = self.broken.load(Ordering::SeqCst);
        let may = self.breaks.load(Ordering::SeqCst)
            && (broken + 1) as f64 <= BREAK_SHARE * answers as f64;
        if may {
            self.broken.fetch_add(1, Ordering::SeqCst);
        }
        may
    }

    /// Answers one request before its body is in, without a length, and ends the connection.
    fn serve(&self, stream: TcpStream, record: &Record) -> Option<()> {
        let mut connection = Connection::new(stream);
        let head = connection.read_head().ok()??;
        let id = head.get("request-id").unwrap_or_default().to_owned();
        if head
            .get("target-instance")
            .is_some_and(|target| target != self.id)
        {
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\nRequest-Id: {id}\r\nContent-Length: 0\r\n\r\n"
            );
            return connection.write(text.as_bytes()).ok();
        }
        record.add(format!("{} runs {id}", self.id));
        thread::sleep(Duration::from_millis(60));
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nUpstream-Signature: sig.{id}\r\nUpstream-Load: 1,0,8\r\nConnection: close\r\n\r\n"
        );
        let mut bytes = head.into_bytes();
        if self.takes_break() {
            bytes.extend(answer_to(&id)[..PART_BYTES].iter());
            record.add(format!("{} answers {id} with {PART_BYTES} of {ANSWER_BYTES} bytes and resets the connection", self.id));
            // Its input is unread, so the system resets the connection.
            return connection.stream.write_all(&bytes).ok();
        }
        bytes.extend(answer_to(&id));
        connection.stream.write_all(&bytes).ok()?;
        connection.stream.shutdown(Shutdown::Write).ok()?;
        record.add(format!(
            "{} has answered {id} with {ANSWER_BYTES} bytes",
            self.id
        ));
        let mut piece = vec![0; 64 << 10];
        let _ = connection
            .stream
            .set_read_timeout(Some(Duration::from_secs(5)));
        while let Ok(1..) = connection.stream.read(&mut piece) {}
        Some(())
    }
}

fn answer_to(id: &str) -> Vec<u8> {
    format!("{id};")
        .into_bytes()
        .into_iter()
        .cycle()
        .take(ANSWER_BYTES)
        .collect()
}

pub fn run(record: &Record, folder: &std::path::Path, trouble: bool) -> Result<(), String> {
    let store = Store::start(TcpListener::bind((ip(1), 0)).map_err(|error| error.to_string())?);
    configure(
        &store,
        1,
        json!({ "upload": route("/docs/", "upload", "docs", 4_000) }),
        json!({ "docs": service(false) }),
    );
    let upstreams = [
        Docs::start(0, &store, record),
        Docs::start(1, &store, record),
    ];
    let mut hosts: Vec<Host> = (0..HOSTS)
        .map(|index| Host::new(folder, index, store.address, 260))
        .collect();
    for host in &mut hosts {
        host.start(record);
    }
    wait_until(Duration::from_secs(20), "all hosts are ready", || {
        hosts.iter().all(Host::is_ready)
    })?;
    let stop = Arc::new(AtomicBool::new(false));
    let whole = Arc::new(AtomicU64::new(0));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (stop, whole, record) = (stop.clone(), whole.clone(), record.clone());
            let address = hosts[caller as usize % HOSTS].front;
            thread::spawn(move || upload(caller, address, &stop, &whole, &record))
        })
        .collect();
    thread::sleep(Duration::from_secs(4));
    for number in 0..WINDOWS {
        let faulty = &upstreams[number % upstreams.len()];
        faulty.answers.store(0, Ordering::SeqCst);
        faulty.broken.store(0, Ordering::SeqCst);
        faulty.breaks.store(trouble, Ordering::SeqCst);
        thread::sleep(WINDOW);
        faulty.breaks.store(false, Ordering::SeqCst);
        let (answers, broken) = (
            faulty.answers.load(Ordering::SeqCst),
            faulty.broken.load(Ordering::SeqCst),
        );
        record.add(format!(
            "{} has broken off {broken} of {answers} answers",
            faulty.id
        ));
        thread::sleep(PAUSE);
    }
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    let whole = whole.load(Ordering::Relaxed);
    record.add(format!("{whole} uploads were answered with a whole body"));
    for host in &mut hosts {
        if let Some(status) = host.has_ended() {
            return Err(format!("{} has ended: {status}", host.name));
        }
    }
    if whole < 50 {
        Err(format!("only {whole} uploads were answered"))
    } else {
        Ok(())
    }
}

fn upload(caller: u64, address: SocketAddr, stop: &AtomicBool, whole: &AtomicU64, record: &Record) {
    let body = vec![b'u'; REQUEST_BYTES];
    let mut number = 0_u64;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let id = format!("{caller:02}-{number}");
        let Ok(mut connection) = Connection::open(address, Duration::from_secs(5)) else {
            thread::sleep(Duration::from_millis(200));
            continue;
        };
        let head = request_head("PUT", "/docs/photo", &id, 4_500, None, body.len());
        match ask(&mut connection, &head, &body) {
            Ok(answer) => {
                let (status, signed) = (
                    answer.head.status(),
                    answer.head.get("upstream-signature").is_some(),
                );
                if status != 200 {
                    record.add(format!("caller {id} is answered {status}"));
                } else if answer.body == answer_to(&id) {
                    whole.fetch_add(1, Ordering::Relaxed);
                } else {
                    record.broken(format!(
                        "MIXED: caller {id} gets a complete 200 (signature: {signed}, Content-Length: {}) with {} of the upstream's {ANSWER_BYTES} bytes",
                        answer.head.get("content-length").unwrap_or("none"),
                        answer.body.len()
                    ));
                }
            }
            Err(error) => record.add(format!("caller {id} gets no complete answer: {error}")),
        }
        thread::sleep(Duration::from_millis(50));
    }
}
