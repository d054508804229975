//! Requests that crash each server that begins to run them, and those that only run there.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use amaranthshunt_support::free_address;
use amaranthshunt_support::platform::{ScriptedResponse, ScriptedUpstream, StoreFault};
use async_std::task;
use http_types::Method;
use rustix::process::Signal;
use yare::parameterized;

use crate::site::{
    SecondHost, Site, add_host, add_host_at, send, signal, start_site, status, wait_until,
};

/// Time after the third crash from which on few requests may reach servers.
const CONTACT_TIME: Duration = Duration::from_millis(4_000);
/// Number of these.
const ALLOWED: usize = 3;
/// Time for which a crashed server is down.
const DOWN_TIME: Duration = Duration::from_millis(1_500);
/// Pause between two requests that crash servers.
const PAUSE: Duration = Duration::from_millis(700);

/// Two hosts and six servers without keys, which requests to `/pay/poison` crash.
async fn start_crashing_site(name: &str) -> (Site, SecondHost) {
    let mut site = start_site(name).await;
    for number in 1..6 {
        site.add_server("orders", &format!("orders-{number}")).await;
    }
    let servers = site.servers.iter();
    for server in servers.filter(|server| server.options().service == "orders") {
        server.set_poison("/poison", DOWN_TIME);
    }
    let host = add_host(&site, &format!("{name}-second")).await;
    task::sleep(Duration::from_secs(1)).await;
    (site, host)
}

async fn pay(host: SocketAddr, path: &str, id: &str) -> u16 {
    status(&send(host, Method::Post, path, id).await)
}

/// When each request with an identifier that begins so began to run.
fn runs(site: &Site, prefix: &str) -> Vec<(String, Instant)> {
    let runs = site.recorder.executions().into_iter();
    let runs = runs.filter(|run| run.request.starts_with(prefix));
    runs.map(|run| (run.request, run.began)).collect()
}

async fn quarantined_count(ready: SocketAddr) -> u64 {
    let mut response = send(ready, Method::Get, "/metrics", "m").await.unwrap();
    let text = response.body_string().await.unwrap();
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("amaranthshunt_requests_quarantined_total "));
    line.map_or(0, |count| count.parse().unwrap())
}

// Guards against BUDGET: a request that crashes servers was passed on to one after the other for as long as
// its caller sent it, at whatever host.
#[parameterized(
    store_up = { "crashing", StoreFault::None },
    store_down = { "crashing-outage", StoreFault::Unavailable },
)]
fn a_request_that_crashes_servers_is_refused_by_all_hosts(name: &str, fault: StoreFault) {
    task::block_on(async {
        let (site, host) = start_crashing_site(name).await;
        site.store.set_fault(fault);
        let mut sent = Vec::new();
        let mut last = (0, Duration::ZERO);

        for number in 0..18 {
            let id = format!("x{number}");
            let callers = if number % 2 == 0 {
                site.callers
            } else {
                host.callers
            };
            let began = Instant::now();
            last.0 = pay(callers, "/pay/poison", &id).await;
            last.1 = began.elapsed();
            sent.push((id, began));
            task::sleep(PAUSE).await;
        }
        let sound = pay(host.callers, "/pay/x", "sound").await;

        let runs = runs(&site, "x");
        let third = runs.get(2).expect("three crashes").1;
        let late = sent.iter().filter(|(id, began)| {
            let is_late = *began > third + CONTACT_TIME;
            is_late && runs.iter().any(|(request, _)| request == id)
        });
        assert!(late.count() <= ALLOWED, "{runs:?}");
        assert!(runs.len() <= 6, "{} servers crashed", runs.len());
        assert_eq!(last.0, 503);
        assert!(last.1 < Duration::from_millis(300), "{:?}", last.1);
        assert_eq!(sound, 200);
    });
}

// Guards against BUDGET: what the leader knew of such requests went with it, and a host that had not heard
// of the crashes passed the request on once more.
#[test]
fn a_host_that_starts_under_the_next_leader_refuses_a_request_that_has_crashed_servers() {
    task::block_on(async {
        let (site, _host) = start_crashing_site("crashing-late").await;
        for number in 0..8 {
            pay(site.callers, "/pay/poison", &format!("x{number}")).await;
            task::sleep(PAUSE).await;
        }
        let before = runs(&site, "x").len();
        signal(&site, Signal::KILL);

        let store = site.store.address();
        let late_host = add_host_at("crashing-late-third", store, "host-2").await;
        task::sleep(Duration::from_secs(1)).await;
        let refused = pay(late_host.callers, "/pay/poison", "x9").await;

        assert_eq!(refused, 503);
        assert_eq!(runs(&site, "x").len(), before);
        assert_eq!(quarantined_count(late_host.ready).await, 1);
    });
}

// Guards against refusals of innocent requests: a popular one runs at every server that crashes.
#[test]
fn a_popular_request_is_served_while_servers_crash() {
    task::block_on(async {
        let (site, host) = start_crashing_site("crashing-popular").await;
        let end = Instant::now() + Duration::from_secs(12);
        let hosts = [site.callers, host.callers];
        let callers = (0..12).map(|caller| {
            let address = hosts[caller % 2];
            async move {
                let mut statuses = Vec::new();
                while Instant::now() < end {
                    let id = format!("p{caller}-{}", statuses.len());
                    statuses.push(pay(address, "/pay/popular", &id).await);
                    task::sleep(Duration::from_millis(10)).await;
                }
                statuses
            }
        });
        let servers: Vec<_> = site.servers[1..].to_vec();
        let crashes = task::spawn(async move {
            for round in 0..9 {
                task::sleep(Duration::from_millis(1_200)).await;
                let server = &servers[round % servers.len()];
                server.crash_unseen();
                task::sleep(Duration::from_millis(100)).await;
                server.restart().await.unwrap();
            }
        });

        let statuses: Vec<u16> = futures::future::join_all(callers).await.concat();
        crashes.await;

        let served = statuses.iter().filter(|status| **status == 200).count();
        let refused = statuses.iter().filter(|status| **status == 503).count();
        assert_eq!(quarantined_count(site.ready).await, 0);
        assert_eq!(quarantined_count(host.ready).await, 0);
        assert!(refused * 100 <= statuses.len(), "{refused} refused");
        assert!(served * 100 >= statuses.len() * 95, "{served} served");
    });
}

// Guards against refusals of innocent requests: a connection that breaks off passed for a crash, though its
// server goes on.
#[test]
fn a_request_whose_connections_break_off_at_a_server_that_goes_on_is_served() {
    task::block_on(async {
        let site = start_site("crashing-cut").await;
        site.servers[1].crash();
        let breaks = Arc::new(AtomicBool::new(true));
        let script = {
            let breaks = breaks.clone();
            move |id: &str| respond(id, breaks.load(Ordering::Relaxed))
        };
        let address = free_address();
        let server =
            ScriptedUpstream::start(address, "orders", "east-a", &site.store, script).await;
        let server = server.unwrap();
        wait_until("requests reach the scripted server", async || {
            pay(site.callers, "/pay/y", "probe").await;
            !server.received().is_empty()
        })
        .await;

        for number in 0..10 {
            pay(site.callers, "/pay/y", &format!("y{number}")).await;
            task::sleep(Duration::from_millis(500)).await;
        }
        let broken = server.received().len();
        breaks.store(false, Ordering::Relaxed);
        wait_until("the request is served", async || {
            pay(site.callers, "/pay/y", "y-last").await == 200
        })
        .await;

        assert!(broken > 4, "{broken} connections broke off");
        assert_eq!(quarantined_count(site.ready).await, 0);
    });
}

/// Closes the connection without a response, or responds.
fn respond(id: &str, breaks: bool) -> ScriptedResponse {
    let response = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nUpstream-Signature: s\r\nContent-Length: 0\r\n\r\n"
    );
    ScriptedResponse {
        pieces: vec![(
            Duration::from_millis(20),
            if breaks { String::new() } else { response },
        )],
        closes: breaks,
    }
}
