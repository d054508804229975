//! BUDGET: a request that crashes each upstream that runs it goes on to reach upstreams.

use std::collections::BTreeSet;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use super::Site;
use crate::upstream::lock;

/// Time for which clients send.
const LENGTH: Duration = Duration::from_secs(45);
/// Pause of the client whose request crashes upstreams.
const PAUSE: Duration = Duration::from_millis(1_500);
/// `ContactMs`.
const CONTACT: Duration = Duration::from_millis(4_000);
/// Retries that may reach upstreams later.
const ALLOWED: usize = 3;

pub fn run(site: &Site) -> Result<bool, String> {
    let zones = ["mvd-a", "lit-a", "est-a"];
    let upstreams: Vec<_> = (0..6)
        .map(|number| site.upstream("orders", &format!("i-{number}"), zones[number % 3]))
        .collect();
    let mut hosts = [site.host("front-1", 0), site.host("front-2", 1)];
    for host in &mut hosts {
        host.start(true);
    }
    for host in &hosts {
        if !host.wait_until_serving(&site.order("first", 20), Duration::from_secs(20)) {
            return Err(format!("{} does not serve", host.name));
        }
    }
    // From here on the hosts have run for longer than `ContactMs`.
    thread::sleep(CONTACT);

    let sent = Mutex::new(Vec::new());
    let lost = Mutex::new(Vec::new());
    let end = Instant::now() + LENGTH;
    thread::scope(|scope| {
        for client in 0..4 {
            let (host, lost) = (&hosts[client % 2], &lost);
            scope.spawn(move || {
                while Instant::now() < end {
                    let call = site.order("sound", 300);
                    let outcome = call.send(host.front);
                    site.note(&format!("client-{client}"), &host.name, &call, &outcome);
                    if !matches!(outcome.status, 200 | 503) {
                        lock(lost).push(call.id.clone());
                    }
                    thread::sleep(Duration::from_millis(50));
                }
            });
        }
        for turn in 0.. {
            if Instant::now() >= end {
                break;
            }
            let host = &hosts[turn % 2];
            let path = if site.with_trouble {
                "poison"
            } else {
                "harmless"
            };
            let call = site.order(path, 20);
            let outcome = call.send(host.front);
            site.note("client-x", &host.name, &call, &outcome);
            lock(&sent).push((call.id.clone(), outcome.sent));
            thread::sleep(PAUSE);
        }
    });

    let ledger = lock(&site.ledger);
    let lost = lock(&lost);
    let run_and_lost = lost
        .iter()
        .filter(|id| ledger.runs.iter().any(|run| run.request == **id))
        .count();
    site.record.tell(format!(
        "{} crashes; {} requests of other clients ended with 502, 504 or a closed connection, {} of them \
         had begun to run",
        ledger.crashes.len(),
        lost.len(),
        run_and_lost
    ));
    let Some((server, third)) = ledger.crashes.get(2) else {
        let held = !site.with_trouble;
        return held
            .then_some(true)
            .ok_or_else(|| "too few crashes".to_owned());
    };
    site.record.tell(format!(
        "third crash, of {server}, at {:.3} s",
        site.record.seconds(*third)
    ));
    let arrived: BTreeSet<&str> = ledger.arrivals.iter().map(|(id, ..)| id.as_str()).collect();
    let late: Vec<String> = lock(&sent)
        .iter()
        .filter(|(id, at)| *at > *third + CONTACT && arrived.contains(id.as_str()))
        .map(|(id, at)| format!("{id} at {:.3} s", site.record.seconds(*at)))
        .collect();
    site.record.tell(format!(
        "{} retries that were sent more than {} ms later reached upstreams, {ALLOWED} may: {}",
        late.len(),
        CONTACT.as_millis(),
        late.join(", ")
    ));
    drop(upstreams);
    Ok(late.len() <= ALLOWED)
}
