//! Requests that wait in the host's queue while their servers are full.

use std::time::Duration;

use amaranthshunt_support::platform::UpstreamFault;
use async_std::io::WriteExt;
use async_std::net::TcpStream;
use async_std::task;
use http_types::{Method, Response};
use rustix::process::Signal;
use serde_json::{Value, json};
use yare::parameterized;

use crate::site::{
    Site, ask, config, run_count, send, settings, signal, spawn, start_site_without_host, status,
    wait_until,
};

/// Extra time of each request while the servers are full.
const SLOW_MS: u64 = 1_500;
/// One request more than a server with four slots is sent at priority 1, by the host's own count; reports
/// of earlier requests may let it send one fewer.
const FILLING_REQUESTS: usize = 7;

/// Counter of the requests that have waited.
const QUEUED: &str = "amaranthshunt_requests_queued_total";
/// Gauge of the requests that wait, at the priority of this site's routes.
const WAITING: &str = "amaranthshunt_queue_requests_priority_1";

/// A site with overload control whose requests may wait until shortly before their deadline.
async fn start_queueing_site(name: &str) -> Site {
    let mut site = start_site_without_host(name).await;
    let mut config = config(2, "/pay/");
    for route in ["read", "pay"] {
        config["Routes"][route]["TimeoutMs"] = json!(20_000);
        config["Routes"][route]["TargetLatencyMs"] = json!(12_000);
    }
    site.store.put("config", "main", config, Value::Null);
    let text = settings(site.store.address(), site.callers, site.ready);
    let text = format!("Contracts = [\"pressure\"]\n{text}");
    site.child = Some(spawn(&site.folder, &text));
    wait_until("the host serves keys", async || {
        status(&ask(&site, Method::Get, "/read/x", "first").await) == 200
    })
    .await;
    // The host learns how long requests take.
    for number in 0..10 {
        for (method, path) in [(Method::Get, "/read/x"), (Method::Post, "/pay/x")] {
            let id = format!("early-{number}");
            assert_eq!(status(&ask(&site, method, path, &id).await), 200);
        }
    }
    site
}

/// Sends as many requests as fill a server.
async fn fill(site: &Site, method: Method, path: &str) -> Vec<task::JoinHandle<Option<Response>>> {
    for server in &site.servers {
        server.set_fault(UpstreamFault::Slow(SLOW_MS));
    }
    let requests = (0..FILLING_REQUESTS).map(|number| {
        let (host, path) = (site.callers, path.to_owned());
        task::spawn(async move { send(host, method, &path, &format!("fill-{number}")).await })
    });
    let requests: Vec<_> = requests.collect();
    task::sleep(Duration::from_millis(150)).await;
    requests
}

/// The value of a counter or gauge.
async fn metric(site: &Site, name: &str) -> u32 {
    let mut response = send(site.ready, Method::Get, "/metrics", "metrics").await;
    let text = response.as_mut().unwrap().body_string().await.unwrap();
    let mut lines = text.lines().filter_map(|line| line.split_once(' '));
    let line = lines.find(|(key, _)| *key == name);
    line.unwrap().1.parse().unwrap()
}

/// Checks that the requests that fill a server were served, or refused after they had waited.
async fn check_filling(requests: Vec<task::JoinHandle<Option<Response>>>) {
    let mut served = 0;
    for request in requests {
        let status = status(&request.await);
        assert!([200, 503].contains(&status), "{status}");
        served += usize::from(status == 200);
    }
    assert!(served >= FILLING_REQUESTS - 2, "only {served} were served");
}

// Guards against servers that work for callers who have left: a request that waits is never sent then,
// whether or not it may be repeated.
#[parameterized(
    repeatable = { Method::Get, "/read/x" },
    not_repeatable = { Method::Post, "/pay/x" },
)]
fn waiting_request_whose_caller_leaves_is_never_sent(method: Method, path: &str) {
    task::block_on(async {
        let site = start_queueing_site(&format!("queue-left-{method}")).await;
        let filling = fill(&site, method, path).await;
        let queued = metric(&site, QUEUED).await;

        let mut caller = TcpStream::connect(site.callers).await.unwrap();
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: shop\r\nRequest-Id: left\r\nShard-Key: 7\r\n\
             Request-Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n"
        );
        caller.write_all(head.as_bytes()).await.unwrap();
        wait_until("the request waits", async || {
            metric(&site, QUEUED).await > queued
        })
        .await;
        drop(caller);
        check_filling(filling).await;
        wait_until("the queue is empty", async || {
            metric(&site, WAITING).await == 0
        })
        .await;
        for server in &site.servers {
            server.set_fault(UpstreamFault::None);
        }
        let after = ask(&site, method, path, "after").await;

        assert_eq!(status(&after), 200);
        assert_eq!(run_count(&site, "left"), 0);
    });
}

// Guards against a stop that leaves callers without an answer, or with one that does not say that their
// requests have not run.
#[test]
fn waiting_requests_are_refused_as_not_run_when_the_host_stops() {
    task::block_on(async {
        let mut site = start_queueing_site("queue-stop").await;
        let filling = fill(&site, Method::Post, "/pay/x").await;
        let queued = metric(&site, QUEUED).await;
        let callers = site.callers;
        let waiting =
            task::spawn(async move { send(callers, Method::Post, "/pay/x", "waiting").await });
        wait_until("the request waits", async || {
            metric(&site, QUEUED).await > queued
        })
        .await;

        signal(&site, Signal::TERM);
        let refused = waiting.await;

        assert_eq!(status(&refused), 503);
        let retry_after = refused.as_ref().unwrap().header("Retry-After");
        assert_eq!(retry_after.unwrap().as_str(), "0.050", "not by the stop");
        check_filling(filling).await;
        assert!(site.wait_for_exit().success());
        assert_eq!(run_count(&site, "waiting"), 0);
    });
}
