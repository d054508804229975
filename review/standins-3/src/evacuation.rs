//! The store turns two of six hosts away, the one that grants keys among them, while a zone is emptied and taken
//! back. The zone's upstreams are cold when it is taken back.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use amaranthshunt_support::platform::LinkFault;
use serde_json::{Value, json};

use crate::Outcome;
use crate::site::{Record, Site, config, send};
use crate::upstream::Upstream;

const HOSTS: usize = 6;
/// How long the store turns the hosts away; the site's longest time.
const OUTAGE: Duration = Duration::from_millis(9_000);
/// When the zone is emptied and taken back, after the outage has begun.
const EMPTIED: Duration = Duration::from_millis(500);
const TAKEN_BACK: Duration = Duration::from_millis(5_500);
/// `WarmupS`, and `WarmupPerS` x `WarmupOvershoot` + `WarmupSlack`.
const WARM_UP: Duration = Duration::from_millis(3_000);
const ALLOWED: f64 = 9.9 * 1.5 + 5.0;
const WINDOW: Duration = Duration::from_millis(1_000);
const ZONE: &str = "mvd-a";

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let configuration = config(1, 2_000, &[("orders", "unsafe", "/pay/", false)]);
    let mut site = Site::new(record, HOSTS, &configuration);
    let zones = [ZONE, ZONE, "lit-a", "lit-a", "est-a", "est-a"];
    let upstreams: Vec<Arc<Upstream>> = (0..zones.len())
        .map(|index| {
            let id = format!("pay-{index}");
            Upstream::start(&id, "orders", zones[index], false, 16, &site.store, record)
        })
        .collect();
    site.start_hosts();
    if !site.wait_ready() {
        return Outcome::NotRun("the hosts did not become ready".to_owned());
    }
    let callers: Vec<_> = site.hosts.iter().map(|host| host.callers).collect();
    let pay = |host: usize, id: &str| {
        let headers = [("Request-Id", id), ("Request-Deadline-Ms", "4000")];
        let limit = Duration::from_secs(5);
        let answer = send(
            callers[host],
            "POST",
            "/pay/x",
            &headers,
            b"an order",
            limit,
        );
        let text = match &answer {
            Ok(answer) => answer.status.to_string(),
            Err(error) => error.clone(),
        };
        record.add(format!("client: {id} at host {host}: {text}"));
        answer.map_or(0, |answer| answer.status)
    };
    let end = Instant::now() + Duration::from_secs(20);
    while (0..HOSTS).any(|host| pay(host, &format!("s0-{host}")) != 200) {
        if Instant::now() > end {
            return Outcome::NotRun("the service was not served".to_owned());
        }
        thread::sleep(Duration::from_millis(200));
    }
    // Long enough for the list of hosts that confirm a leader to be in the record.
    thread::sleep(Duration::from_secs(8));
    let leader = site.store.spec("placements", "main")["holder"].clone();
    let names: Vec<&str> = site.hosts.iter().map(|host| host.name.as_str()).collect();
    let Some(leader) = names.iter().position(|name| leader == *name) else {
        return Outcome::NotRun("the store names no host that grants keys".to_owned());
    };
    // Another host, of the zone that is emptied.
    let Some(other) = (0..HOSTS).find(|host| *host != leader && names[*host].contains(ZONE)) else {
        return Outcome::NotRun("no other host in the zone".to_owned());
    };
    let began = Instant::now();
    if trouble {
        for host in [leader, other] {
            site.hosts[host].store.set_fault(LinkFault::Reset);
            record.add(format!("the store turns host {host} away by resets"));
        }
    }
    let mut returned = None;
    let mut is_emptied = false;
    let mut number = 0;
    thread::scope(|scope| {
        // The usual traffic of a busy zone, at the host that clients of the zone reach.
        while began.elapsed() < TAKEN_BACK + WARM_UP + Duration::from_millis(300) {
            if !is_emptied && began.elapsed() >= EMPTIED {
                is_emptied = true;
                site.store.put("evacuations", ZONE, json!({}), Value::Null);
                record.add(format!("evacuations/{ZONE} is put, the store accepts it"));
            }
            if returned.is_none() && began.elapsed() >= TAKEN_BACK {
                for upstream in upstreams.iter().filter(|it| it.zone() == ZONE) {
                    upstream.turn_cold(WARM_UP);
                }
                site.store.remove("evacuations", ZONE);
                record.add(format!("evacuations/{ZONE} is removed"));
                returned = Some(Instant::now());
            }
            for host in [other] {
                number += 1;
                let pay = &pay;
                scope.spawn(move || pay(host, &format!("b{number}")));
            }
            thread::sleep(Duration::from_millis(20));
        }
    });
    let Some(returned) = returned else {
        return Outcome::NotRun("the zone was not taken back".to_owned());
    };
    if trouble {
        thread::sleep(OUTAGE.saturating_sub(began.elapsed()));
        for host in [leader, other] {
            site.hosts[host].store.set_fault(LinkFault::None);
        }
        record.add("the store serves all hosts again");
    }
    judge(record, &upstreams, returned)
}

/// FAILBACK: a cold upstream gets more requests in one second than the bound.
fn judge(record: &Record, upstreams: &[Arc<Upstream>], returned: Instant) -> Outcome {
    let mut broken = false;
    for upstream in upstreams.iter().filter(|it| it.zone() == ZONE) {
        let arrivals = upstream.arrivals();
        let cold = arrivals.iter().map(|(at, _)| *at);
        let mut cold: Vec<Instant> = cold
            .filter(|at| *at >= returned && *at <= returned + WARM_UP)
            .collect();
        cold.sort();
        let most = (0..cold.len())
            .map(|first| {
                let end = cold[first] + WINDOW;
                cold[first..].iter().filter(|at| **at < end).count()
            })
            .max()
            .unwrap_or(0);
        let is_over = most as f64 > ALLOWED;
        broken |= is_over;
        record.add(format!(
            "{}{} got {} requests while it was cold, {most} of them in one second; {ALLOWED:.2} are allowed",
            if is_over { "BROKEN: " } else { "" },
            upstream.id,
            cold.len(),
        ));
    }
    let crashes: usize = upstreams.iter().map(|it| it.crashes().len()).sum();
    record.add(format!("{crashes} crashes of upstreams"));
    if broken {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}
