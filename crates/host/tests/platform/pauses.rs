//! Servers that turn requests away and ask to be sent nothing for some time.

use std::time::{Duration, Instant};

use async_std::task;
use http_types::Method;
use yare::parameterized;

use crate::site::{Site, send, start_site, status};

/// Time for which the server asks, in seconds.
const PAUSE_SECONDS: u64 = 4;
/// Time after the answer that asks for a pause in which requests may still arrive.
const TRANSIT_TIME: Duration = Duration::from_millis(500);
/// Requests of one host that may reach the server within a pause.
const ALLOWED_ARRIVALS: usize = 2;
/// Interval between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
/// Time within which a refusal that cannot be avoided is given.
const PROMPT: Duration = Duration::from_millis(200);

/// Most arrivals at a server within any of the pauses that it has asked for.
fn most_in_a_pause(site: &Site, server: &str) -> usize {
    let arrivals = site.recorder.arrivals();
    let of_server = || arrivals.iter().filter(|at| at.server.starts_with(server));
    let pauses = of_server().filter_map(|arrival| {
        let answer = arrival.answer?;
        Some((answer.at, answer.pause?))
    });
    let counts = pauses.map(|(asked, pause)| {
        let within = |at: Instant| at > asked + TRANSIT_TIME && at < asked + pause;
        of_server().filter(|arrival| within(arrival.at)).count()
    });
    counts.max().expect("the server has asked for a pause")
}

// Guards against BUDGET: a server that had asked a host for some seconds of rest got several requests
// from it in each second of that time, since hosts did not read the header.
#[parameterized(
    without_keys = { "orders", "/pay/x", Method::Post },
    with_keys = { "catalogue", "/read/x", Method::Get },
)]
fn server_that_asks_for_a_pause_gets_at_most_two_requests_in_it(
    service: &str,
    path: &str,
    method: Method,
) {
    task::block_on(async {
        let site = start_site(&format!("pause-{service}")).await;
        let server = format!("{service}-0");
        let pause = PAUSE_SECONDS.to_string();

        site.server(&server).set_retry_after(Some(&pause));
        let start = Instant::now();
        let mut requests = Vec::new();
        while start.elapsed() < Duration::from_secs(PAUSE_SECONDS) * 2 {
            let (host, id) = (site.callers, format!("p{}", requests.len()));
            let path = path.to_owned();
            requests.push(task::spawn(async move {
                let sent = Instant::now();
                let response = send(host, method, &path, &id).await;
                let after = response.as_ref().and_then(|r| r.header("Retry-After"));
                let after = after.and_then(|values| values.last().as_str().parse::<f64>().ok());
                (status(&response), sent.elapsed(), after)
            }));
            task::sleep(REQUEST_INTERVAL).await;
        }
        let results = futures::future::join_all(requests).await;

        let most = most_in_a_pause(&site, &server);
        assert!(most <= ALLOWED_ARRIVALS, "{most} requests within a pause");
        for (status, time, after) in &results {
            assert_eq!(*status, 503);
            assert!(*time <= PROMPT, "refused after {time:?}");
            let after = after.expect("the refusal says when to return");
            assert!(
                after > 0.0 && after <= 2.0 * PAUSE_SECONDS as f64,
                "{after}"
            );
        }
        let longest = results
            .iter()
            .filter_map(|(.., after)| *after)
            .fold(0.0, f64::max);
        assert!(
            longest > 1.0,
            "callers are told to return within {longest} s"
        );
    });
}

#[parameterized(
    a_date = { "Wed, 21 Oct 2026 07:28:00 GMT" },
    negative = { "-5" },
    empty = { "" },
    not_a_number = { "NaN" },
    infinite = { "inf" },
)]
fn retry_time_that_is_no_number_of_seconds_asks_for_no_pause(text: &str) {
    task::block_on(async {
        let site = start_site(&format!("pause-odd-{}", text.len())).await;
        site.server("orders-0").set_retry_after(Some(text));
        send(site.callers, Method::Post, "/pay/x", "turned-away").await;

        site.server("orders-0").set_retry_after(None);
        task::sleep(Duration::from_millis(1_500)).await;
        let paid = send(site.callers, Method::Post, "/pay/x", "paid").await;

        assert_eq!(status(&paid), 200);
    });
}
