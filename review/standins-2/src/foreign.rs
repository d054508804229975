//! Case: entries of another writer lie in the store while hosts start.

use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::Connection;
use crate::record::Record;
use crate::site::{Host, ask, configure, ip, request_head, route, service};
use crate::store::Store;
use crate::upstream::{Options, Upstream};

const HOSTS: usize = 3;
const MEMORY_MB: u32 = 260;
/// Entries of another writer.
const FOREIGN: usize = 24;
/// Numbers in the list of such an entry: about 1,040,000 bytes, below `ValueBytes`.
const NUMBERS: usize = 520_000;
/// Time after the end of a process until the platform starts it again.
const RESTART: Duration = Duration::from_millis(1_000);
const LIMIT: Duration = Duration::from_secs(40);
/// Ends of a process that the rule asks for.
const ENDS: u64 = 3;

fn work_ms(_: u64) -> u64 {
    40
}

/// Memory of a process in bytes; `None` if it has ended.
fn memory(pid: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kilobytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kilobytes * 1024)
}

pub fn run(record: &Record, folder: &Path, trouble: bool) -> Result<(), String> {
    let listener = std::net::TcpListener::bind((ip(1), 0)).map_err(|error| error.to_string())?;
    let store = Store::start(listener);
    configure(
        &store,
        1,
        json!({ "read": route("/read/", "safe", "quotes", 2_000) }),
        json!({ "quotes": service(true) }),
    );
    let upstreams: Vec<Upstream> = (0..4)
        .map(|number| {
            let options = Options {
                id: &format!("i-{number:04x}"),
                service: "quotes",
                zone: crate::site::ZONES[number % 3],
                slots: 6,
                work_ms,
            };
            Upstream::start(&options, &store, record)
        })
        .collect();
    if trouble {
        let list = Value::from(vec![0; NUMBERS]);
        for number in 0..FOREIGN {
            let spec = json!({ "Manifest": list });
            let name = format!("manifest-{number:02}");
            record.add(format!(
                "another writer writes servers/{name}, {} bytes",
                spec.to_string().len()
            ));
            store.put("servers", &name, spec, Value::Null);
        }
    }
    let mut hosts: Vec<Host> = (0..HOSTS)
        .map(|index| Host::new(folder, index, store.address, MEMORY_MB))
        .collect();
    let fronts: Vec<_> = hosts.iter().map(|host| host.front).collect();
    for host in &mut hosts {
        host.start(record);
    }
    let stop = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU64::new(0));
    // The platform ends a process that exceeds its memory, and starts it again.
    let ends: Arc<Mutex<Vec<u64>>> = Arc::new(Mutex::new(vec![0; HOSTS]));
    let caller = {
        let (stop, served) = (stop.clone(), served.clone());
        thread::spawn(move || call(&fronts, &stop, &served))
    };
    let began = Instant::now();
    let mut peaks = vec![0; HOSTS];
    let mut restarts: Vec<Option<Instant>> = vec![None; HOSTS];
    let limit = u64::from(MEMORY_MB) << 20;
    let mut ready_since = None;
    while began.elapsed() < LIMIT {
        thread::sleep(Duration::from_millis(5));
        for (index, host) in hosts.iter_mut().enumerate() {
            if let Some(at) = restarts[index] {
                if Instant::now() >= at {
                    restarts[index] = None;
                    record.add(format!("{} starts again", host.name));
                    host.start(record);
                }
                continue;
            }
            let used = host.pid().and_then(memory).unwrap_or_default();
            peaks[index] = used.max(peaks[index]);
            if used > limit {
                record.add(format!(
                    "{} has {used} bytes of {limit} and is killed",
                    host.name
                ));
                host.kill();
                ends.lock().unwrap()[index] += 1;
                restarts[index] = Some(Instant::now() + RESTART);
            } else if let Some(status) = host.has_ended() {
                record.add(format!("{} has ended: {status}", host.name));
                host.kill();
                ends.lock().unwrap()[index] += 1;
                restarts[index] = Some(Instant::now() + RESTART);
            }
        }
        let often = ends
            .lock()
            .unwrap()
            .iter()
            .filter(|count| **count >= ENDS)
            .count();
        if often == HOSTS {
            break;
        }
        if ready_since.is_none() && served.load(Ordering::Relaxed) > 0 {
            ready_since = Some(Instant::now());
        }
        if ready_since.is_some_and(|at| at.elapsed() > Duration::from_secs(20)) {
            break;
        }
    }
    stop.store(true, Ordering::Relaxed);
    let _ = caller.join();
    for upstream in &upstreams {
        upstream.stop();
    }
    let ends = ends.lock().unwrap().clone();
    let served = served.load(Ordering::Relaxed);
    record.add(format!(
        "peaks of memory in bytes: {peaks:?}; ends: {ends:?}; {served} requests were served"
    ));
    let often = ends.iter().filter(|count| **count >= ENDS).count();
    if often >= 2 {
        record.broken(format!(
            "Fault: {often} of {HOSTS} processes have ended {ENDS} times or more by their own memory ({ends:?}); {served} requests were served"
        ));
    }
    Ok(())
}

fn call(fronts: &[std::net::SocketAddr], stop: &AtomicBool, served: &AtomicU64) {
    let mut number = 0_u64;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let key = (number.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 48) as u16;
        let address = fronts[number as usize % fronts.len()];
        let head = request_head(
            "GET",
            "/read/a",
            &format!("c-{number}"),
            2_500,
            Some(key),
            0,
        );
        let answer = Connection::open(address, Duration::from_secs(3))
            .and_then(|mut connection| ask(&mut connection, &head, &[]));
        let is_served = answer.is_ok_and(|answer| answer.head.status() == 200);
        served.fetch_add(u64::from(is_served), Ordering::Relaxed);
        thread::sleep(Duration::from_millis(50));
    }
}
