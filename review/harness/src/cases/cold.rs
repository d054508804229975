//! FAILBACK: an upstream turns cold while the store is down.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use super::Site;
use crate::upstream::lock;

/// Time for which the store is down.
const OUTAGE: Duration = Duration::from_millis(4_500);
/// Time for which the upstream is cold: `WarmupS`.
const COLD: Duration = Duration::from_millis(3_000);
/// Pause between two requests of a client.
const PAUSE: Duration = Duration::from_millis(50);
/// `WarmupPerS` x `WarmupOvershoot` + `WarmupSlack`.
const BOUND: f64 = 9.9 * 1.5 + 5.0;

pub fn run(site: &Site) -> Result<bool, String> {
    let upstreams = [
        site.upstream("orders", "i-0", "mvd-a"),
        site.upstream("orders", "i-1", "mvd-a"),
    ];
    let mut hosts = [site.host("front-1", 0), site.host("front-2", 0)];
    for host in &mut hosts {
        host.start(true);
    }
    for host in &hosts {
        if !host.wait_until_serving(&site.order("first", 20), Duration::from_secs(20)) {
            return Err(format!("{} does not serve", host.name));
        }
    }
    thread::sleep(Duration::from_secs(4));
    let store_stays = std::env::var("STORE_STAYS").is_ok();

    let sent = Mutex::new(BTreeMap::new());
    let end = Instant::now() + Duration::from_secs(10);
    let mut cold_since = None;
    thread::scope(|scope| {
        for client in 0..6 {
            let (host, sent) = (&hosts[client % 2], &sent);
            scope.spawn(move || {
                while Instant::now() < end {
                    let call = site.order("sound", 40);
                    lock(sent).insert(call.id.clone(), Instant::now());
                    let outcome = call.send(host.front);
                    site.note(&format!("client-{client}"), &host.name, &call, &outcome);
                    thread::sleep(PAUSE);
                }
            });
        }
        thread::sleep(Duration::from_secs(2));
        if site.with_trouble {
            if !store_stays {
                site.record.tell("the store is down");
                site.store.set_down(true);
            }
            thread::sleep(Duration::from_millis(300));
            cold_since = Some(Instant::now());
            upstreams[0].turn_cold(COLD);
            thread::sleep(OUTAGE - Duration::from_millis(300));
            site.store.set_down(false);
            site.record.tell("the store is back");
        }
    });

    let Some(cold_since) = cold_since else {
        return Ok(true);
    };
    let sent = lock(&sent);
    let ledger = lock(&site.ledger);
    let cold = (cold_since, cold_since + COLD);
    let arrivals: Vec<(Instant, Instant)> = ledger
        .arrivals
        .iter()
        .filter(|(_, server, at)| server == "i-0" && cold.0 <= *at && *at <= cold.1)
        .filter_map(|(id, _, at)| Some((*sent.get(id)?, *at)))
        .collect();
    let window = Duration::from_secs(1);
    let count_from = |since: Instant| {
        let inside = arrivals.iter();
        let inside = inside.filter(|(sent, at)| *sent >= since && *at <= since + window);
        inside.count()
    };
    let counts = arrivals.iter().map(|(sent, _)| (count_from(*sent), *sent));
    let (most, since) = counts.max().ok_or("no request reached the cold upstream")?;
    site.record.tell(format!(
        "i-0 got {} requests while it was cold, and at most {most} that were sent and arrived inside one \
         second, from {:.3} s on; the bound is {BOUND}",
        arrivals.len(),
        site.record.seconds(since)
    ));
    Ok(most as f64 <= BOUND)
}
