//! Case: all hosts are replaced, one after the other; then the zone of the upstreams loses power once.

use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::http::Connection;
use crate::record::Record;
use crate::site::{Host, ask, configure, ip, request_head, route, service, wait_until};
use crate::store::Store;
use crate::upstream::{Options, Upstream};

const HOSTS: usize = 3;
const UPSTREAMS: usize = 4;
const CALLERS: u64 = 6;
/// Time for which a new host runs before the one that it replaces is stopped.
const OVERLAP: Duration = Duration::from_millis(6_000);
/// `GraceS`.
const GRACE: Duration = Duration::from_secs(6);
/// Time for which a zone that has lost power is dark.
const DARK: Duration = Duration::from_millis(1_500);
/// `RecoveryS`.
const RECOVERY: Duration = Duration::from_secs(15);
/// Time in which requests are counted, before the loss and after the recovery.
const COUNTED: Duration = Duration::from_secs(10);

/// 60 to 100 ms.
fn work_ms(number: u64) -> u64 {
    60 + number.wrapping_mul(17) % 41
}

/// Requests, by the time at which they were sent.
#[derive(Default)]
struct Counts {
    asked: AtomicU64,
    served: AtomicU64,
}

pub fn run(record: &Record, folder: &Path, trouble: bool) -> Result<(), String> {
    // For comparison: the loss without the replacement before it.
    let replaces = std::env::var("REPLACE").as_deref() != Ok("0");
    let listener = std::net::TcpListener::bind((ip(1), 0)).map_err(|error| error.to_string())?;
    let store = Store::start(listener);
    let routes = || json!({ "read": route("/read/", "safe", "quotes", 2_000) });
    let services = || json!({ "quotes": service(true) });
    configure(&store, 1, routes(), services());
    let start_upstreams = |first: usize| -> Vec<Upstream> {
        let start = |number: usize| {
            let options = Options {
                id: &format!("i-{number:04x}"),
                service: "quotes",
                zone: "zone-a",
                slots: 6,
                work_ms,
            };
            Upstream::start(&options, &store, record)
        };
        (first..first + UPSTREAMS).map(start).collect()
    };
    let mut upstreams = start_upstreams(0);
    // Host `n` stands in the zone `n % 3`; hosts 3 to 5 replace hosts 0 to 2.
    let mut hosts: Vec<Host> = (0..HOSTS * 2)
        .map(|index| Host::new(folder, index, store.address, 260))
        .collect();
    for host in &mut hosts[..HOSTS] {
        host.start(record);
    }
    wait_until(Duration::from_secs(20), "all hosts are ready", || {
        hosts[..HOSTS].iter().all(Host::is_ready)
    })?;

    let fronts: Arc<Mutex<Vec<std::net::SocketAddr>>> = Arc::new(Mutex::new(
        hosts[..HOSTS].iter().map(|host| host.front).collect(),
    ));
    let stop = Arc::new(AtomicBool::new(false));
    // Which of the counts requests go to that are sent now: none, before the loss, after the recovery.
    let phase = Arc::new(AtomicUsize::new(0));
    let counts: Arc<[Counts; 3]> = Arc::default();
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (fronts, stop, phase, counts) =
                (fronts.clone(), stop.clone(), phase.clone(), counts.clone());
            thread::spawn(move || call(caller, &fronts, &stop, &phase, &counts))
        })
        .collect();
    wait_until(Duration::from_secs(20), "keys are served", || {
        counts[0].served.load(Ordering::Relaxed) > 100
    })?;
    let leader = || {
        let record = store.get("placements", "main").unwrap_or_default();
        record["Spec"]["holder"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    };
    thread::sleep(Duration::from_secs(5));

    if replaces {
        // The leader is replaced last.
        let first_leader = leader();
        let mut order: Vec<usize> = (0..HOSTS).collect();
        order.sort_by_key(|index| hosts[*index].name == first_leader);
        record.add(format!("{first_leader} leads"));
        for index in order {
            let (old, new) = (index, index + HOSTS);
            record.add(format!(
                "{} starts, to replace {}",
                hosts[new].name, hosts[old].name
            ));
            hosts[new].set_first_start(false);
            hosts[new].start(record);
            wait_until(Duration::from_secs(20), "the new host is ready", || {
                hosts[new].is_ready()
            })?;
            fronts.lock().unwrap().push(hosts[new].front);
            thread::sleep(OVERLAP);
            let front = hosts[old].front;
            fronts.lock().unwrap().retain(|known| *known != front);
            record.add(format!("{} gets SIGTERM", hosts[old].name));
            hosts[old].stop(GRACE);
        }
        thread::sleep(Duration::from_secs(4));
    }
    let in_use = if replaces { HOSTS..HOSTS * 2 } else { 0..HOSTS };
    record.add(format!("{} leads", leader()));
    let voters = store.get("placements", "main").unwrap_or_default()["Spec"]["voters"].clone();
    record.add(format!("the record lists {voters}"));

    phase.store(1, Ordering::SeqCst);
    thread::sleep(COUNTED);
    phase.store(0, Ordering::SeqCst);
    configure(&store, 2, routes(), services());
    record.add("a configuration is acknowledged");
    if trouble {
        record.add("zone-a loses power: a host and the upstreams");
        let host = in_use.start;
        hosts[host].kill();
        for upstream in &upstreams {
            upstream.crash();
        }
        thread::sleep(DARK);
        hosts[host].start(record);
        let lost = std::mem::replace(&mut upstreams, start_upstreams(UPSTREAMS));
        record.add("zone-a is back");
        // The entries of the former incarnations go after three heartbeats without a word.
        thread::sleep(Duration::from_millis(3 * 870).saturating_sub(DARK));
        for upstream in &lost {
            store.remove("servers", &upstream.id);
        }
    }
    let back = Instant::now();
    thread::sleep(RECOVERY.saturating_sub(back.elapsed()));
    phase.store(2, Ordering::SeqCst);
    thread::sleep(COUNTED);
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    record.add(format!("{} leads", leader()));
    for host in &mut hosts[in_use] {
        if let Some(status) = host.has_ended() {
            return Err(format!("{} has ended: {status}", host.name));
        }
    }
    for upstream in &upstreams {
        upstream.stop();
    }
    let share = |counts: &Counts| {
        let (asked, served) = (
            counts.asked.load(Ordering::Relaxed),
            counts.served.load(Ordering::Relaxed),
        );
        (served, asked, served as f64 / asked.max(1) as f64)
    };
    let (before, after) = (share(&counts[1]), share(&counts[2]));
    record.add(format!(
        "before: {} of {} requests were served",
        before.0, before.1
    ));
    record.add(format!(
        "later than RecoveryS: {} of {} requests were served",
        after.0, after.1
    ));
    if before.2 < 0.25 {
        return Err("less than a quarter was served before the loss".to_owned());
    }
    if after.2 < 0.25 {
        record.broken(format!(
            "RECOVER: {} of {} requests are served that were sent later than RecoveryS after zone-a was back; {} of {} were before the loss",
            after.0, after.1, before.0, before.1
        ));
    }
    Ok(())
}

fn call(
    caller: u64,
    fronts: &Mutex<Vec<std::net::SocketAddr>>,
    stop: &AtomicBool,
    phase: &AtomicUsize,
    counts: &[Counts; 3],
) {
    let mut number = 0_u64;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let mixed = (caller * 1_000_003 + number).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let key = (mixed >> 48) as u16;
        let address = {
            let fronts = fronts.lock().unwrap();
            fronts[number as usize % fronts.len()]
        };
        let counts = &counts[phase.load(Ordering::SeqCst)];
        let head = request_head(
            "GET",
            "/read/a",
            &format!("{caller:02}-{number}"),
            2_500,
            Some(key),
            0,
        );
        let answer = Connection::open(address, Duration::from_secs(3))
            .and_then(|mut connection| ask(&mut connection, &head, &[]));
        counts.asked.fetch_add(1, Ordering::Relaxed);
        let served = answer.is_ok_and(|answer| answer.head.status() == 200);
        counts
            .served
            .fetch_add(u64::from(served), Ordering::Relaxed);
        thread::sleep(Duration::from_millis(50));
    }
}
