//! Case: upstreams repeat some of their answers, and keys move off those that leave.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use crate::http::Connection;
use crate::record::Record;
use crate::site::{Host, ZONES, ask, configure, ip, request_head, route, service, wait_until};
use crate::store::Store;
use crate::upstream::{Group, Options, Upstream};

const HOSTS: usize = 3;
const UPSTREAMS: usize = 6;
/// The deployment is started anew for each evacuation.
const ROUNDS: usize = 8;
/// The largest share of its answers that an upstream repeats.
const REPEAT_SHARE: f64 = 0.03;
/// Time from the first served requests to the moment from which upstreams repeat answers.
const QUIET: Duration = Duration::from_millis(3_000);
/// How long upstreams repeat answers.
const WINDOW: Duration = Duration::from_millis(5_000);
/// When in this time a zone is evacuated.
const EVACUATE_AT: Duration = Duration::from_millis(2_400);
const CALLERS: u64 = 20;

/// 100 to 140 ms.
fn work_ms(number: u64) -> u64 {
    100 + number.wrapping_mul(17) % 41
}

pub fn run(record: &Record, folder: &std::path::Path, trouble: bool) -> Result<(), String> {
    let mut served = 0;
    for round in 0..ROUNDS {
        record.add(format!("round {round}"));
        served += play(record, folder, trouble)?;
    }
    record.add(format!("{served} requests were served"));
    Ok(())
}

/// Starts the deployment, evacuates a zone while upstreams repeat answers, and ends it; returns the
/// number of requests that were served.
fn play(record: &Record, folder: &std::path::Path, trouble: bool) -> Result<u64, String> {
    let store =
        Store::start(std::net::TcpListener::bind((ip(1), 0)).map_err(|error| error.to_string())?);
    configure(
        &store,
        1,
        serde_json::json!({ "read": route("/read/", "safe", "quotes", 2_000) }),
        serde_json::json!({ "quotes": service(true) }),
    );
    let group = Group::default();
    let start = |number: usize| {
        let options = Options {
            id: &format!("i-{number:04x}"),
            service: "quotes",
            zone: ZONES[number % ZONES.len()],
            slots: 8,
            work_ms,
            repeat_share: REPEAT_SHARE,
        };
        Upstream::start(&options, &group, &store, record)
    };
    let upstreams: Vec<Upstream> = (0..UPSTREAMS).map(start).collect();
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
    let served = Arc::new(AtomicU64::new(0));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (stop, served, record) = (stop.clone(), served.clone(), record.clone());
            let address = hosts[caller as usize % HOSTS].front;
            thread::spawn(move || call(caller, address, &stop, &served, &record))
        })
        .collect();
    let result = wait_until(Duration::from_secs(20), "keys are served", || {
        served.load(Ordering::Relaxed) > 100
    });
    if result.is_ok() {
        thread::sleep(QUIET);
        // Half of the upstreams repeat answers for five seconds: both of zone-b, and one of zone-a.
        let faulty: Vec<&Upstream> = [0, 1, 4].iter().map(|index| &upstreams[*index]).collect();
        for upstream in faulty.iter().filter(|_| trouble) {
            record.add(format!("{} begins to repeat answers", upstream.id));
            upstream.set_repeats(true);
        }
        thread::sleep(EVACUATE_AT);
        record.add(format!("{} is evacuated", ZONES[1]));
        store.put(
            "evacuations",
            ZONES[1],
            serde_json::json!({}),
            serde_json::Value::Null,
        );
        thread::sleep(WINDOW - EVACUATE_AT);
        for upstream in &faulty {
            upstream.set_repeats(false);
        }
    }
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    for host in &mut hosts {
        if let Some(status) = host.has_ended() {
            return Err(format!("{} has ended: {status}", host.name));
        }
    }
    for upstream in &upstreams {
        upstream.stop();
    }
    result.map(|()| served.load(Ordering::Relaxed))
}

fn call(
    caller: u64,
    address: std::net::SocketAddr,
    stop: &AtomicBool,
    served: &AtomicU64,
    record: &Record,
) {
    let mut connection = None;
    let mut number = 0_u64;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let mixed = (caller * 1_000_003 + number).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let key = (mixed >> 48) as u16;
        let id = format!("{caller:02}-{number}");
        let mut open = match connection.take() {
            Some(open) => open,
            None => match Connection::open(address, Duration::from_secs(4)) {
                Ok(open) => open,
                Err(_) => {
                    thread::sleep(Duration::from_millis(200));
                    continue;
                }
            },
        };
        let head = request_head("GET", "/read/a", &id, 3_000, Some(key), 0);
        match ask(&mut open, &head, &[]) {
            Ok(answer) => {
                let status = answer.head.status();
                if status == 200 {
                    served.fetch_add(1, Ordering::Relaxed);
                } else {
                    record.add(format!("caller {id} key {key} is answered {status}"));
                    thread::sleep(Duration::from_millis(100));
                }
                if !answer.head.closes() {
                    connection = Some(open);
                }
            }
            Err(error) => record.add(format!("caller {id} gets no answer: {error}")),
        }
        thread::sleep(Duration::from_millis(10));
    }
}
