//! Fault: long bodies within the configuration's limit take more memory than a host has.

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use super::Site;
use crate::host::MEMORY_MB;
use crate::upstream::lock;

/// Length of a long body; the configuration allows 64 MiB.
const BODY_BYTES: usize = 64 << 20;
/// Clients that send a long body to a host at the same time.
const UPLOADS: usize = 4;
/// Times that this is done.
const ROUNDS: usize = 3;

pub fn run(site: &Site) -> Result<bool, String> {
    let _upstreams = [
        site.upstream("orders", "i-0", "mvd-a"),
        site.upstream("orders", "i-1", "mvd-a"),
    ];
    let hosts = [site.host("front-1", 0), site.host("front-2", 0)];
    let fronts = hosts.each_ref().map(|host| (host.name.clone(), host.front));
    let hosts = hosts.map(Mutex::new);
    for host in &hosts {
        lock(host).start(true);
    }
    let wait_for_all = || -> Result<(), String> {
        for (name, front) in &fronts {
            let end = Instant::now() + Duration::from_secs(20);
            while site.order("first", 20).send(*front).status != 200 {
                if Instant::now() > end {
                    return Err(format!("{name} does not serve"));
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
        Ok(())
    };
    wait_for_all()?;
    let done = AtomicBool::new(false);
    let kills = Mutex::new([0; 2]);
    let peaks = Mutex::new([0; 2]);
    let cut = Mutex::new(0);
    let result = thread::scope(|scope| {
        // The platform: a process that exceeds its memory is killed, and started again.
        for (index, host) in hosts.iter().enumerate() {
            let (done, kills, peaks) = (&done, &kills, &peaks);
            scope.spawn(move || {
                while !done.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(2));
                    let mut host = lock(host);
                    let kib = host.memory_kib().unwrap_or(0);
                    let peak = &mut lock(peaks)[index];
                    *peak = kib.max(*peak);
                    if kib > MEMORY_MB * 1_024 {
                        site.record
                            .tell(format!("{} has {kib} KiB and is killed", host.name));
                        host.kill();
                        lock(kills)[index] += 1;
                        thread::sleep(Duration::from_millis(300));
                        host.start(false);
                    }
                }
            });
        }
        let result = (0..ROUNDS).try_for_each(|round| -> Result<(), String> {
            wait_for_all()?;
            site.record.tell(format!("round {}", round + 1));
            let body = vec![b'x'; BODY_BYTES];
            thread::scope(|scope| {
                for (name, front) in fronts.clone() {
                    for client in 0..UPLOADS {
                        let (name, body) = (name.clone(), &body);
                        scope.spawn(move || {
                            let mut call = site.order("long", 100);
                            call.deadline = Duration::from_millis(4_000);
                            if site.with_trouble {
                                call.body = body.clone();
                            }
                            let outcome = call.send(front);
                            site.note(&format!("client-{client}"), &name, &call, &outcome);
                        });
                    }
                    let cut = &cut;
                    scope.spawn(move || {
                        let end = Instant::now() + Duration::from_secs(3);
                        while Instant::now() < end {
                            let call = site.order("short", 100);
                            let outcome = call.send(front);
                            site.note("client-short", &name, &call, &outcome);
                            if outcome.status != 200 {
                                thread::sleep(Duration::from_millis(50));
                            }
                            let ran = lock(&site.ledger);
                            let ran = ran.runs.iter().any(|run| run.request == call.id);
                            if outcome.status == 0 && ran {
                                *lock(cut) += 1;
                            }
                        }
                    });
                }
            });
            Ok(())
        });
        done.store(true, Ordering::SeqCst);
        result
    });
    result?;
    let kills = *lock(&kills);
    site.record.tell(format!(
        "processes killed: {kills:?}; peak memory {:?} KiB of {} KiB; short requests that ran and got no \
         answer: {}",
        *lock(&peaks),
        MEMORY_MB * 1_024,
        *lock(&cut)
    ));
    Ok(kills.iter().any(|count| *count < 3))
}
