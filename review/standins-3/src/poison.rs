//! A request that crashes each upstream that runs it comes again; with the disruption, its client repeats it three
//! more times at once (`retry_abuse`).

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::site::{Record, Site, config, send};
use crate::upstream::Upstream;

const UPSTREAMS: usize = 8;
const ROUNDS: usize = 6;
/// Time between two returns of the request.
const PAUSE: Duration = Duration::from_secs(6);
/// `ContactMs` of the site.
const CONTACT: Duration = Duration::from_millis(4_000);
/// Repeats at once of an abusive client; the site's largest dose.
const REPEATS: usize = 3;
/// Retries later than `CONTACT` after the third crash that the rule allows.
const ALLOWED: usize = 3;

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let configuration = config(1, 2_000, &[("orders", "unsafe", "/pay/", false)]);
    let mut site = Site::new(record, 3, &configuration);
    let zones = ["mvd-a", "lit-a", "est-a"];
    let upstreams: Vec<Arc<Upstream>> = (0..UPSTREAMS)
        .map(|index| {
            let id = format!("pay-{index}");
            let zone = zones[index % 3];
            Upstream::start(&id, "orders", zone, false, 4, &site.store, record)
        })
        .collect();
    site.start_hosts();
    if !site.wait_ready() {
        return Outcome::NotRun("the hosts did not become ready".to_owned());
    }
    let callers: Vec<_> = site.hosts.iter().map(|host| host.callers).collect();
    let pay = |host: usize, target: &str, id: &str| {
        let headers = [("Request-Id", id), ("Request-Deadline-Ms", "4000")];
        let limit = Duration::from_secs(5);
        let answer = send(
            callers[host % 3],
            "POST",
            target,
            &headers,
            b"an order",
            limit,
        );
        let text = match &answer {
            Ok(answer) => answer.status.to_string(),
            Err(error) => error.clone(),
        };
        record.add(format!("client: {id} at host {}: {text}", host % 3));
        answer.map_or(0, |answer| answer.status)
    };
    let end = Instant::now() + Duration::from_secs(20);
    while (0..3).any(|host| pay(host, "/pay/sound", &format!("s0-{host}")) != 200) {
        if Instant::now() > end {
            return Outcome::NotRun("the service was not served".to_owned());
        }
        thread::sleep(Duration::from_millis(200));
    }
    // Each host has met the leader by now.
    thread::sleep(Duration::from_secs(5));
    for round in 0..ROUNDS {
        let began = Instant::now();
        let attempts = if trouble { 1 + REPEATS } else { 1 };
        thread::scope(|scope| {
            for attempt in 0..attempts {
                let pay = &pay;
                scope.spawn(move || {
                    pay(
                        round + attempt,
                        "/pay/poison",
                        &format!("p{round}-{attempt}"),
                    )
                });
            }
        });
        for number in 0..6 {
            pay(number, "/pay/sound", &format!("s{}-{number}", round + 1));
        }
        thread::sleep(PAUSE.saturating_sub(began.elapsed()));
    }
    judge(record, &upstreams)
}

fn judge(record: &Record, upstreams: &[Arc<Upstream>]) -> Outcome {
    let mut runs: Vec<(Instant, String, String)> = Vec::new();
    for upstream in upstreams {
        for work in upstream.work() {
            if work.request.starts_with('p') {
                runs.push((work.began, work.request.clone(), upstream.id.clone()));
            }
        }
    }
    runs.sort();
    for (at, request, upstream) in &runs {
        record.add(format!(
            "run of {request} at {upstream} at {} ms",
            record.ms(*at)
        ));
    }
    let mut crashes: Vec<Instant> = upstreams
        .iter()
        .flat_map(|upstream| upstream.crashes())
        .collect();
    crashes.sort();
    let Some(third) = crashes.get(2) else {
        return Outcome::NotRun("fewer than three upstreams crashed".to_owned());
    };
    let mut late = Vec::new();
    for upstream in upstreams {
        for (at, request) in upstream.arrivals() {
            if request.starts_with('p') && at > *third + CONTACT {
                late.push((at, request));
            }
        }
    }
    record.add(format!(
        "{} upstreams were crashed; third crash at {} ms; {} retries reached upstreams over {} ms later, {ALLOWED} are allowed",
        crashes.len(),
        record.ms(*third),
        late.len(),
        CONTACT.as_millis()
    ));
    if late.len() > ALLOWED {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}
