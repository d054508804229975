//! An upstream goes down and up by turns under its identifier while its machine's time of day jumps back. Later it
//! drains.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::site::{Record, Site, config, send};
use crate::upstream::{Upstream, unix_ms};

/// `DrainMs` of the site.
const DRAIN: Duration = Duration::from_millis(2_500);
/// Jump of the time of day; the site's largest dose.
const JUMP_MS: u64 = 2_400;
/// Time for which the upstream is down and up by turns.
const GAP: Duration = Duration::from_millis(1_100);
/// How often it goes down and up; the site's disruption lasts up to 6.9 s.
const TURNS: usize = 3;

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let configuration = config(1, 2_000, &[("orders", "unsafe", "/pay/", false)]);
    let mut site = Site::new(record, 3, &configuration);
    let zones = ["mvd-a", "lit-a", "est-a"];
    let upstreams: Vec<Arc<Upstream>> = (0..3)
        .map(|index| {
            let id = format!("pay-{index}");
            Upstream::start(&id, "orders", zones[index], false, 4, &site.store, record)
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
            callers[host % 3],
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
        record.add(format!("client: {id} at host {}: {text}", host % 3));
        answer.map_or(0, |answer| answer.status)
    };
    let end = Instant::now() + Duration::from_secs(20);
    while (0..3).any(|host| pay(host, &format!("s0-{host}")) != 200) {
        if Instant::now() > end {
            return Outcome::NotRun("the service was not served".to_owned());
        }
        thread::sleep(Duration::from_millis(200));
    }
    thread::sleep(Duration::from_secs(5));
    // The upstream goes down and up by turns; its machine's time of day is ahead at first, and jumps back before the
    // last start.
    let upstream = &upstreams[0];
    for turn in 0..TURNS {
        upstream.crash();
        thread::sleep(GAP);
        let jump = if trouble && turn + 1 < TURNS {
            JUMP_MS
        } else {
            0
        };
        upstream.clone().begin_life(unix_ms() + jump);
        thread::sleep(GAP);
    }
    // Calm traffic, until everything is long known.
    let traffic = |seconds: u64, name: &str| {
        let end = Instant::now() + Duration::from_secs(seconds);
        let mut number = 0;
        while Instant::now() < end {
            number += 1;
            pay(number, &format!("{name}{number}"));
            thread::sleep(Duration::from_millis(40));
        }
    };
    traffic(12, "a");
    let drained = Instant::now();
    upstream.set_state("draining");
    traffic(6, "b");
    // It goes on serving for the drain time and a little longer, and then exits.
    upstream.crash();
    let lost = upstream.work();
    let exit = Instant::now();
    traffic(1, "c");
    let lost = lost.iter().filter(|work| {
        let ended = work.ended;
        work.began > drained + DRAIN
            && ended.is_some_and(|ended| ended + Duration::from_millis(20) > exit)
    });
    record.add(format!("{} orders were running at the exit", lost.count()));
    let late: Vec<_> = upstream
        .arrivals()
        .into_iter()
        .filter(|(at, _)| *at > drained + DRAIN)
        .collect();
    record.add(format!(
        "{} requests reached {} later than {} ms after the store had accepted that it drains",
        late.len(),
        upstream.id,
        DRAIN.as_millis()
    ));
    upstream.remove_entry();
    if late.is_empty() {
        Outcome::Held
    } else {
        Outcome::Broken
    }
}
