//! Servers that say in their responses that they leave.

use std::time::{Duration, Instant};

use async_std::task;
use http_types::Method;
use yare::parameterized;

use crate::site::{Site, ask, send, start_site, status, wait_until};

/// Time after its first response that says so from which a leaving server gets no request.
const DRAIN_TIME: Duration = Duration::from_millis(2_500);
/// Interval between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// Requests sent to the first host, by identifier, with the time at which each was sent and its
/// status.
async fn send_for(
    site: &Site,
    method: Method,
    path: &str,
    name: &str,
    time: Duration,
) -> Vec<(String, Instant, u16)> {
    let start = Instant::now();
    let mut requests = Vec::new();
    while start.elapsed() < time {
        let (id, host) = (format!("{name}-{}", requests.len()), site.callers);
        let path = path.to_owned();
        requests.push(task::spawn(async move {
            let sent = Instant::now();
            let response = send(host, method, &path, &id).await;
            (id, sent, status(&response))
        }));
        task::sleep(REQUEST_INTERVAL).await;
    }
    futures::future::join_all(requests).await
}

/// Requests that reached a server though they were sent later than the drain time after its first
/// response that said that it leaves.
fn late_arrivals(site: &Site, server: &str, requests: &[(String, Instant, u16)]) -> Vec<String> {
    let arrivals = site.recorder.arrivals();
    let of_server = || arrivals.iter().filter(|at| at.server.starts_with(server));
    let told = of_server().find_map(|arrival| {
        let answer = arrival.answer.filter(|answer| answer.says_leaving);
        answer.map(|answer| answer.at)
    });
    let told = told.expect("the server has said that it leaves");
    let late = of_server().filter(|arrival| {
        let is_run = arrival.answer.is_none_or(|answer| answer.status != 421);
        let request = requests.iter().find(|(id, ..)| *id == arrival.request);
        is_run && request.is_some_and(|(_, sent, _)| *sent > told + DRAIN_TIME)
    });
    late.map(|arrival| arrival.request.clone()).collect()
}

fn served(requests: &[(String, Instant, u16)]) -> usize {
    requests
        .iter()
        .filter(|(.., status)| *status == 200)
        .count()
}

// Guards against DRAIN: servers got requests long after their responses had said that they leave,
// since hosts passed the header on unread and the store's entry still said `ready`.
#[parameterized(
    without_keys = { "orders", "/pay/x", Method::Post },
    with_keys = { "catalogue", "/read/x", Method::Get },
)]
fn server_that_says_it_leaves_gets_no_request_after_the_drain_time(
    service: &str,
    path: &str,
    method: Method,
) {
    task::block_on(async {
        let mut site = start_site(&format!("leaving-{service}")).await;
        site.add_server(service, &format!("{service}-1")).await;
        task::sleep(DRAIN_TIME).await;
        let leaving = format!("{service}-0");

        site.server(&leaving).set_leaving(Some("1"));
        let requests = send_for(&site, method, path, "x", DRAIN_TIME * 3).await;

        let late = late_arrivals(&site, &leaving, &requests);
        assert_eq!(late, Vec::<String>::new());
        let (all, served) = (requests.len(), served(&requests));
        assert!(served * 10 >= all * 9, "{served} of {all} served");
    });
}

// Guards against DRAIN: a leaving server whose entry the store lost and showed again as `ready`, as
// after an outage or a restore, got requests again.
#[test]
fn leaving_server_whose_entry_returns_gets_no_request() {
    task::block_on(async {
        let mut site = start_site("leaving-returns").await;
        site.add_server("orders", "orders-1").await;
        task::sleep(DRAIN_TIME).await;
        site.server("orders-0").set_leaving(Some("1"));
        let first = send_for(&site, Method::Post, "/pay/x", "first", DRAIN_TIME).await;

        site.store.remove("servers", "orders-0");
        task::sleep(DRAIN_TIME).await;
        site.server("orders-0").set_draining(false);
        task::sleep(DRAIN_TIME).await;
        let second = send_for(&site, Method::Post, "/pay/x", "second", DRAIN_TIME).await;

        assert!(served(&first) > 0);
        assert_eq!(
            late_arrivals(&site, "orders-0", &second),
            Vec::<String>::new()
        );
        assert_eq!(served(&second), second.len());
    });
}

// Guards against a server that is taken out for ever: only a `1` says that it leaves, and only the
// life that has said so.
#[test]
fn restarted_server_gets_requests_again_and_other_values_are_no_leave() {
    task::block_on(async {
        let site = start_site("leaving-life").await;
        site.server("orders-0").set_leaving(Some("0"));
        let odd = send_for(&site, Method::Post, "/pay/x", "odd", DRAIN_TIME * 2).await;
        site.server("orders-0").set_leaving(Some("1"));
        send_for(&site, Method::Post, "/pay/x", "left", DRAIN_TIME * 2).await;
        let refused = ask(&site, Method::Post, "/pay/x", "refused").await;

        site.server("orders-0").crash();
        site.server("orders-0").restart().await.unwrap();

        assert_eq!(served(&odd), odd.len());
        assert_eq!(status(&refused), 503);
        wait_until("the new life serves requests", async || {
            status(&ask(&site, Method::Post, "/pay/x", "again").await) == 200
        })
        .await;
    });
}
