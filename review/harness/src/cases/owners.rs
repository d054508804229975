//! Random faults of hosts, upstreams with keys, orders and the store; looks for OWNER. `SEED` sets the
//! seed.

use std::collections::BTreeMap;
use std::process::Command;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use super::Site;
use super::chaos::Dice;
use crate::upstream::{Upstream, lock};

pub fn run(site: &Site) -> Result<bool, String> {
    let seed: u64 = std::env::var("SEED").map_or(1, |text| text.parse().unwrap_or(1));
    let mut dice = Dice::new(seed);
    let start = |id: &str| site.upstream("catalogue", id, "mvd-a");
    let mut upstreams: Vec<Upstream> = (0..5).map(|number| start(&format!("c{number}"))).collect();
    let mut hosts: Vec<_> = (0..4)
        .map(|number| site.host(&format!("front-{number}"), 0))
        .collect();
    for host in &mut hosts {
        host.start(true);
    }
    for host in &hosts {
        if !host.wait_until_serving(&site.read(9, 20), Duration::from_secs(20)) {
            return Err("not serving".to_owned());
        }
    }
    let fronts: Vec<_> = hosts.iter().map(|host| host.front).collect();
    let keys: Vec<u16> = (0..48_u32)
        .map(|number| (number * 1_365 + 600) as u16)
        .collect();
    let end = Instant::now() + Duration::from_secs(95);
    thread::scope(|scope| {
        for client in 0..16_usize {
            let (fronts, keys) = (&fronts, &keys);
            scope.spawn(move || {
                let mut dice = Dice::new(seed * 31 + client as u64 + 5);
                while Instant::now() < end {
                    // Some keys are busier than others.
                    let count = if dice.roll(3) == 0 {
                        4
                    } else {
                        keys.len() as u64
                    };
                    let key = keys[dice.roll(count) as usize];
                    let call = site.read(key, 30 + dice.roll(500));
                    let host = dice.roll(fronts.len() as u64) as usize;
                    let _ = call.send(fronts[host]);
                    thread::sleep(Duration::from_millis(30 + dice.roll(60)));
                }
            });
        }
        let signal = |process: u32, name: &str| {
            let _ = Command::new("kill")
                .args([name, &process.to_string()])
                .status();
        };
        let mut next_id = 10;
        while Instant::now() + Duration::from_secs(5) < end {
            thread::sleep(Duration::from_millis(dice.roll(1_500)));
            let leader = site.store.get("placements", "main").unwrap_or_default();
            let leader = leader["Spec"]["holder"]
                .as_str()
                .unwrap_or_default()
                .to_owned();
            let leads = hosts
                .iter()
                .position(|host| host.name == leader)
                .unwrap_or(0);
            let host = if dice.roll(2) == 0 {
                leads
            } else {
                dice.roll(4) as usize
            };
            let number = dice.roll(upstreams.len() as u64) as usize;
            let time = Duration::from_millis(300 + dice.roll(3_000));
            match dice.roll(9) {
                0 => {
                    site.record
                        .line(format!("CHAOS front-{host} is frozen {time:?}"));
                    signal(hosts[host].process(), "-STOP");
                    thread::sleep(time);
                    signal(hosts[host].process(), "-CONT");
                }
                1 => {
                    site.record.line(format!("CHAOS front-{host} is killed"));
                    hosts[host].kill();
                    thread::sleep(Duration::from_millis(400));
                    hosts[host].start(false);
                }
                2 => {
                    site.record.line(format!("CHAOS store down {time:?}"));
                    site.store.set_down(true);
                    thread::sleep(time);
                    site.store.set_down(false);
                }
                3 => {
                    let keeps_id = dice.roll(2) == 0;
                    let down = Duration::from_millis(50 + dice.roll(1_500));
                    site.record
                        .line(format!("CHAOS crash, down {down:?}, keeps id {keeps_id}"));
                    upstreams[number].crash_now(down, keeps_id);
                }
                4 | 5 => {
                    site.record.line(format!(
                        "CHAOS orders of {} are late",
                        upstreams[number].id()
                    ));
                    upstreams[number].late_percent.store(50, Ordering::Relaxed);
                    thread::sleep(time);
                    upstreams[number].late_percent.store(0, Ordering::Relaxed);
                }
                6 => {
                    site.record.line("CHAOS all orders may be late");
                    for upstream in &upstreams {
                        upstream.late_percent.store(30, Ordering::Relaxed);
                    }
                    thread::sleep(time);
                    for upstream in &upstreams {
                        upstream.late_percent.store(0, Ordering::Relaxed);
                    }
                }
                _ => {
                    next_id += 1;
                    upstreams.push(start(&format!("n{next_id}")));
                    upstreams[number].drain();
                    let old = upstreams.remove(number);
                    thread::spawn(move || {
                        thread::sleep(Duration::from_secs(4));
                        old.leave();
                    });
                }
            }
        }
    });
    let ledger = lock(&site.ledger);
    let mut broken = Vec::new();
    for grant in &ledger.grants {
        for (request, server, key) in &grant.at_work_elsewhere {
            let held = ledger.holds(server, *key);
            if held
                .iter()
                .any(|(since, until)| *since <= grant.arrived && grant.arrived < *until)
            {
                broken.push(format!(
                    "at work: {} gets {key} while {server} works on {request} at {:.3}",
                    grant.server,
                    site.record.seconds(grant.arrived)
                ));
            }
        }
    }
    for key in &keys {
        let mut by_server: BTreeMap<&str, u64> = BTreeMap::new();
        for grant in ledger
            .grants
            .iter()
            .filter(|grant| (grant.from..=grant.to).contains(key))
        {
            let others = by_server
                .iter()
                .filter(|(server, _)| **server != grant.server);
            if let Some((server, fence)) = others.max_by_key(|(_, fence)| **fence)
                && *fence >= grant.fence
                && !by_server.contains_key(grant.server.as_str())
            {
                broken.push(format!(
                    "fence: {} takes {key} with {} after {server} with {fence} at {:.3}",
                    grant.server,
                    grant.fence,
                    site.record.seconds(grant.arrived)
                ));
            }
            let highest = by_server.entry(&grant.server).or_default();
            *highest = grant.fence.max(*highest);
        }
        let servers: Vec<&str> = by_server.keys().copied().collect();
        for (index, one) in servers.iter().enumerate() {
            for other in &servers[index + 1..] {
                for time in ledger.double_holds([one, other], *key) {
                    let length = time.1.duration_since(time.0);
                    let runs =
                        [one, other].map(|server| ledger.runs_within(server, *key, time).len());
                    if length > Duration::from_millis(500) || runs.iter().all(|count| *count > 0) {
                        broken.push(format!(
                            "both: key {key}: {one} and {other} from {:.3} for {} ms, runs {runs:?}",
                            site.record.seconds(time.0),
                            length.as_millis()
                        ));
                    }
                }
            }
        }
    }
    broken
        .iter()
        .take(30)
        .for_each(|text| site.record.tell(text));
    Ok(broken.is_empty())
}
