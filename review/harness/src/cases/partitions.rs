//! Regions lose each other for random times under load; looks for OWNER. `SEED` sets the seed.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::Site;
use super::chaos::Dice;
use crate::host::ZONES;
use crate::link::Link;
use crate::upstream::{Upstream, lock};

/// Regions by the index of their zone; the store stands in the first one.
const STORE_REGION: usize = 0;

pub fn run(site: &Site) -> Result<bool, String> {
    let seed: u64 = std::env::var("SEED").map_or(1, |text| text.parse().unwrap_or(1));
    let mut dice = Dice::new(seed);
    let processes = Arc::new(Mutex::new(Vec::new()));
    let links = RefCell::new(Vec::new());
    let mut upstreams: Vec<(usize, Upstream)> = Vec::new();
    for number in 0..6 {
        let region = number % 3;
        let upstream = site.upstream_behind(
            "catalogue",
            &format!("c{number}"),
            ZONES[region].0,
            |address| {
                let link = Link::start(address, &processes);
                let registered = link.address;
                links.borrow_mut().push((region, link));
                registered
            },
        );
        upstreams.push((region, upstream));
    }
    let mut hosts: Vec<_> = (0..6)
        .map(|number| site.host(&format!("front-{number}"), number % 3))
        .collect();
    let host_links: Vec<Link> = hosts
        .iter()
        .map(|host| Link::start(host.peers, &processes))
        .collect();
    let store_cuts: Vec<Arc<AtomicBool>> = hosts.iter().map(|_| Arc::default()).collect();
    for index in 0..hosts.len() {
        let others = (0..hosts.len()).filter(|other| *other != index);
        let view = others
            .map(|other| {
                (
                    hosts[other].peers.to_string(),
                    host_links[other].address.to_string(),
                )
            })
            .collect();
        let address = site.store.serve_until_cut(view, store_cuts[index].clone());
        hosts[index].set_store(address);
    }
    for (index, host) in hosts.iter_mut().enumerate() {
        if seed.is_multiple_of(2) && index > 2 {
            thread::sleep(Duration::from_millis(1_500));
        }
        let mut processes = lock(&processes);
        host.start(true);
        processes.push(host.process());
    }
    for host in &hosts {
        if !host.wait_until_serving(&site.read(9, 20), Duration::from_secs(20)) {
            return Err("not serving".to_owned());
        }
    }
    thread::sleep(Duration::from_secs(3));
    let fronts: Vec<_> = hosts.iter().map(|host| host.front).collect();
    let keys: Vec<u16> = (0..48_u32)
        .map(|number| (number * 1_365 + 600) as u16)
        .collect();
    let end = Instant::now() + Duration::from_secs(85);
    thread::scope(|scope| {
        for client in 0..12_usize {
            let (fronts, keys) = (&fronts, &keys);
            scope.spawn(move || {
                let mut dice = Dice::new(seed * 31 + client as u64 + 5);
                while Instant::now() < end {
                    let key = keys[dice.roll(keys.len() as u64) as usize];
                    let call = site.read(key, 10 + dice.roll(40));
                    let host = dice.roll(fronts.len() as u64) as usize;
                    let outcome = call.send(fronts[host]);
                    site.note(
                        &format!("c{client}"),
                        &format!("front-{host}"),
                        &call,
                        &outcome,
                    );
                    thread::sleep(Duration::from_millis(100 + dice.roll(200)));
                }
            });
        }
        while Instant::now() + Duration::from_secs(3) < end {
            thread::sleep(Duration::from_millis(500 + dice.roll(1_500)));
            let first = dice.roll(3) as usize;
            let second = (first + 1 + dice.roll(2) as usize) % 3;
            let time = Duration::from_secs(3 + dice.roll(40));
            let time = time.min(end.saturating_duration_since(Instant::now()));
            site.record.line(format!(
                "CUT {} and {} for {} ms",
                ZONES[first].1,
                ZONES[second].1,
                time.as_millis()
            ));
            let set = |cut: bool| {
                for (region, other) in [(first, second), (second, first)] {
                    for (index, host) in hosts.iter().enumerate() {
                        if index % 3 != region {
                            continue;
                        }
                        let set_link = |link: &Link| {
                            if cut {
                                link.cut(host.process());
                            } else {
                                link.heal(host.process());
                            }
                        };
                        for (place, link) in links.borrow().iter() {
                            if *place == other {
                                set_link(link);
                            }
                        }
                        for (place, link) in host_links.iter().enumerate() {
                            if place % 3 == other {
                                set_link(link);
                            }
                        }
                        if other == STORE_REGION {
                            store_cuts[index].store(cut, Ordering::SeqCst);
                        }
                    }
                }
            };
            set(true);
            thread::sleep(time);
            set(false);
        }
    });
    for host in &hosts {
        for line in host.log_lines(&["E1301", "E160"]) {
            site.record.line(format!("log of {}: {line}", host.name));
        }
    }
    let ledger = lock(&site.ledger);
    let servers: BTreeSet<String> = ledger
        .grants
        .iter()
        .map(|grant| grant.server.clone())
        .collect();
    let servers: Vec<&str> = servers.iter().map(String::as_str).collect();
    let mut broken = 0;
    for key in &keys {
        for (index, one) in servers.iter().enumerate() {
            for other in &servers[index + 1..] {
                for time in ledger.double_holds([one, other], *key) {
                    let length = time.1.duration_since(time.0);
                    let runs =
                        [one, other].map(|server| ledger.runs_within(server, *key, time).len());
                    if length > Duration::from_millis(500) || runs.iter().all(|count| *count > 0) {
                        broken += 1;
                        site.record.tell(format!(
                            "OWNER key {key}: {one} and {other} from {:.3} for {} ms, runs {runs:?}",
                            site.record.seconds(time.0),
                            length.as_millis()
                        ));
                    }
                }
            }
        }
    }
    Ok(broken == 0)
}
