//! OWNER: a second answer to a grant passes for the answer to a release.

use std::thread;
use std::time::{Duration, Instant};

use super::Site;
use crate::upstream::lock;

/// Work of a request, in milliseconds; below the largest of the site file.
const WORK_MS: u64 = 700;
/// Duration of a hold, as granted.
const HOLD: Duration = Duration::from_millis(4_000);
/// Clients that send one request after the other.
const CLIENTS: usize = 6;

pub fn run(site: &Site) -> Result<bool, String> {
    let leaving = site.upstream("catalogue", "i-leaving", "mvd-a");
    let staying = site.upstream("catalogue", "i-staying", "mvd-a");
    let mut first = site.host("front-1", 0);
    let mut second = site.host("front-2", 0);
    first.start(true);
    second.start(true);
    for host in [&first, &second] {
        for key in [1, 65_000] {
            if !host.wait_until_serving(&site.read(key, 20), Duration::from_secs(20)) {
                return Err(format!("{} does not serve key {key}", host.name));
            }
        }
    }
    // Many answers, of which one is sent twice.
    let warm_until = Instant::now() + Duration::from_secs(6);
    for step in 0_u16.. {
        if Instant::now() >= warm_until {
            break;
        }
        thread::sleep(Duration::from_millis(20));
        // Other keys each time, so that none is hot.
        let call = site.read(step.wrapping_mul(40_503), 20);
        site.note("client", "front-1", &call, &call.send(first.front));
    }
    let ranges = leaving.held_ranges();
    let [(from, to)] = ranges.as_slice() else {
        return Err(format!("the leaving upstream holds {ranges:?}"));
    };
    let (from, to) = (*from, *to);
    site.record.tell(format!("i-leaving holds {from}-{to}"));
    let grants_to = |id: &str| {
        let ledger = lock(&site.ledger);
        ledger
            .grants
            .iter()
            .filter(|grant| grant.server == id)
            .count()
    };

    // Requests that run all the while, on keys of each sixth of all keys: both upstreams are as busy,
    // so that no keys move before one of them leaves.
    let end = Instant::now() + Duration::from_secs(12);
    thread::scope(|scope| {
        for client in 0..CLIENTS {
            let key = (65_536 * (2 * client + 1) / (2 * CLIENTS)) as u16;
            let (host, name) = (first.front, format!("client-{client}"));
            scope.spawn(move || {
                thread::sleep(Duration::from_millis(120 * client as u64));
                while Instant::now() < end {
                    let call = site.read(key, WORK_MS);
                    let outcome = call.send(host);
                    site.note(&name, "front-1", &call, &outcome);
                    if outcome.status != 200 {
                        thread::sleep(Duration::from_millis(100));
                    }
                }
            });
        }
        thread::sleep(Duration::from_secs(4));
        // The upstream drains soon after a renewal, so that the release is the next call.
        let before = grants_to("i-leaving");
        while grants_to("i-leaving") == before {
            thread::sleep(Duration::from_millis(2));
        }
        thread::sleep(Duration::from_millis(100));
        if site.with_trouble {
            leaving.answer_again();
        }
        leaving.drain();
    });

    let answers = {
        let ledger = lock(&site.ledger);
        let runs = ledger
            .runs
            .iter()
            .filter(|run| run.server == "i-leaving")
            .count();
        runs + ledger
            .grants
            .iter()
            .filter(|grant| grant.server == "i-leaving")
            .count()
    };
    site.record.tell(format!(
        "i-leaving gave {answers} answers, at most one of them twice"
    ));
    let mut broken = 0;
    let ledger = lock(&site.ledger);
    for grant in &ledger.grants {
        for (request, server, key) in &grant.at_work_elsewhere {
            // The former hold would not have run out yet.
            let is_held = ledger.grants.iter().any(|former| {
                former.server == *server
                    && (former.from..=former.to).contains(key)
                    && former.arrived <= grant.arrived
                    && grant.arrived.duration_since(former.arrived) < HOLD
            });
            if !is_held {
                continue;
            }
            broken += 1;
            site.record.tell(format!(
                "OWNER broken at {:.3} s: {} is given {}-{} with fence {} while {server} is at work on \
                 {request}, key {key}",
                site.record.seconds(grant.arrived),
                grant.server,
                grant.from,
                grant.to,
                grant.fence
            ));
        }
    }
    let moved = ledger
        .grants
        .iter()
        .any(|grant| grant.server == "i-staying" && grant.from >= from && grant.to <= to);
    if !moved {
        return Err("no keys of i-leaving were moved".to_owned());
    }
    drop(staying);
    Ok(broken == 0)
}
