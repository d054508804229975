//! Random faults; looks for TWICE, REFUSED, MIXED and OWNER. `SEED` sets the seed.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::process::Command;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::Site;
use crate::link::Link;
use crate::upstream::{Upstream, lock};

/// A generator of random numbers.
pub struct Dice(u64);

impl Dice {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    /// A number below `sides`.
    pub fn roll(&mut self, sides: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % sides
    }
}

pub fn run(site: &Site) -> Result<bool, String> {
    let seed: u64 = std::env::var("SEED").map_or(1, |text| text.parse().unwrap_or(1));
    let mut dice = Dice::new(seed);
    let processes = Arc::new(Mutex::new(Vec::new()));
    let links = RefCell::new(Vec::new());
    let zones = ["mvd-a", "lit-a", "est-a"];
    let start = |service: &str, id: &str, zone: &str| -> Upstream {
        site.upstream_behind(service, id, zone, |address| {
            let link = Link::start(address, &processes);
            let registered = link.address;
            links.borrow_mut().push(link);
            registered
        })
    };
    let mut upstreams: Vec<Upstream> = Vec::new();
    for number in 0..4 {
        upstreams.push(start("orders", &format!("o{number}"), zones[number % 3]));
        upstreams.push(start("catalogue", &format!("c{number}"), zones[number % 3]));
    }
    let mut hosts: Vec<_> = (0..4)
        .map(|number| site.host(&format!("front-{number}"), number % 3))
        .collect();
    for host in &mut hosts {
        let mut processes = lock(&processes);
        host.start(true);
        processes.push(host.process());
    }
    let fronts: Vec<_> = hosts.iter().map(|host| host.front).collect();
    for host in &hosts {
        if !host.wait_until_serving(&site.read(9, 20), Duration::from_secs(20)) {
            return Err("not serving".to_owned());
        }
    }
    let outcomes = Mutex::new(BTreeMap::new());
    let end = Instant::now() + Duration::from_secs(80);
    thread::scope(|scope| {
        for client in 0..16_usize {
            let (fronts, outcomes) = (&fronts, &outcomes);
            scope.spawn(move || {
                let mut dice = Dice::new(seed.wrapping_mul(31).wrapping_add(client as u64 * 77));
                while Instant::now() < end {
                    let work = 20 + dice.roll(200);
                    let mut call = match dice.roll(3) {
                        0 => site.order("x", work),
                        1 => {
                            let mut call = site.order("x", work);
                            call.path = format!("/pay/x?work={work}");
                            call
                        }
                        _ => site.read(0, work),
                    };
                    call.key = Some(dice.roll(65_536) as u16);
                    call.deadline = Duration::from_millis(2_500);
                    let host = dice.roll(fronts.len() as u64) as usize;
                    let outcome = call.send(fronts[host]);
                    site.note(
                        &format!("c{client}"),
                        &format!("front-{host}"),
                        &call,
                        &outcome,
                    );
                    lock(outcomes).insert(call.id.clone(), (call, outcome));
                    thread::sleep(Duration::from_millis(dice.roll(60)));
                }
            });
        }
        let signal = |process: u32, name: &str| {
            let _ = Command::new("kill")
                .args([name, &process.to_string()])
                .status();
        };
        let mut next_id = 10;
        while Instant::now() + Duration::from_secs(8) < end {
            thread::sleep(Duration::from_millis(300 + dice.roll(2_000)));
            let host = dice.roll(hosts.len() as u64) as usize;
            let process = hosts[host].process();
            let number = dice.roll(upstreams.len() as u64) as usize;
            let time = Duration::from_millis(500 + dice.roll(3_500));
            match dice.roll(11) {
                0 | 1 => {
                    site.record
                        .line(format!("CHAOS front-{host} is cut from all upstreams"));
                    let links = links.borrow().clone();
                    links.iter().for_each(|link| link.cut(process));
                    thread::sleep(time);
                    links.iter().for_each(|link| link.heal(process));
                }
                2 => {
                    site.record.line(format!("CHAOS front-{host} is frozen"));
                    signal(process, "-STOP");
                    thread::sleep(time);
                    signal(process, "-CONT");
                }
                3 => {
                    site.record.line(format!("CHAOS front-{host} is killed"));
                    hosts[host].kill();
                    thread::sleep(Duration::from_millis(400));
                    let mut processes = lock(&processes);
                    hosts[host].start(false);
                    processes.push(hosts[host].process());
                }
                4 => {
                    site.record.line(format!("CHAOS front-{host} is stopped"));
                    signal(process, "-TERM");
                    thread::sleep(Duration::from_millis(6_000));
                    hosts[host].kill();
                    let mut processes = lock(&processes);
                    hosts[host].start(false);
                    processes.push(hosts[host].process());
                }
                5 | 6 => {
                    let upstream = &upstreams[number];
                    site.record
                        .line(format!("CHAOS {} loses answers", upstream.id()));
                    upstream.lost_percent.store(40, Ordering::Relaxed);
                    thread::sleep(time);
                    upstream.lost_percent.store(0, Ordering::Relaxed);
                }
                7 => {
                    site.record.line("CHAOS extra answers");
                    for upstream in &upstreams {
                        upstream.extra_percent.store(30, Ordering::Relaxed);
                    }
                    thread::sleep(time);
                    for upstream in &upstreams {
                        upstream.extra_percent.store(0, Ordering::Relaxed);
                    }
                }
                8 => {
                    site.record.line("CHAOS store down");
                    site.store.set_down(true);
                    thread::sleep(time);
                    site.store.set_down(false);
                }
                9 => {
                    upstreams[number].crash_now(Duration::from_millis(1_500), false);
                    thread::sleep(time);
                }
                _ => {
                    next_id += 1;
                    let service = upstreams[number].options.service.clone();
                    let new = start(&service, &format!("n{next_id}"), "mvd-a");
                    upstreams[number].drain();
                    upstreams.push(new);
                    thread::sleep(time);
                    let old = upstreams.remove(number);
                    thread::spawn(move || {
                        thread::sleep(Duration::from_secs(4));
                        old.leave();
                    });
                }
            }
        }
    });
    thread::sleep(Duration::from_secs(1));
    let ledger = lock(&site.ledger);
    let outcomes = lock(&outcomes);
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for run in &ledger.runs {
        *counts.entry(&run.request).or_default() += 1;
    }
    let mut broken = Vec::new();
    let mut by_status: BTreeMap<u16, usize> = BTreeMap::new();
    for (id, (call, outcome)) in outcomes.iter() {
        let runs = counts.get(id.as_str()).copied().unwrap_or(0);
        *by_status.entry(outcome.status).or_default() += 1;
        let is_unsafe = call.method != "GET";
        if is_unsafe && runs > 1 {
            broken.push(format!("TWICE {id}"));
        }
        if is_unsafe && matches!(outcome.status, 429 | 503 | 408 | 421) && runs > 0 {
            broken.push(format!("REFUSED {id}"));
        }
        let text = String::from_utf8_lossy(&outcome.body).into_owned();
        if outcome.status == 200 && !(outcome.is_signed && text.ends_with(id.as_str())) {
            broken.push(format!("MIXED {id}: {text}"));
        }
    }
    for grant in &ledger.grants {
        for (request, server, key) in &grant.at_work_elsewhere {
            let held = ledger.holds(server, *key);
            if held
                .iter()
                .any(|(since, until)| *since <= grant.arrived && grant.arrived < *until)
            {
                broken.push(format!(
                    "OWNER {} gets {key} while {server} works on {request} at {:.3}",
                    grant.server,
                    site.record.seconds(grant.arrived)
                ));
            }
        }
    }
    site.record
        .tell(format!("{} requests: {by_status:?}", outcomes.len()));
    broken
        .iter()
        .take(20)
        .for_each(|text| site.record.tell(text));
    Ok(broken.is_empty())
}
