//! Limits on requests per second that servers name in their responses.

use std::time::{Duration, Instant};

use async_std::task;
use http_types::Method;

use crate::site::{SecondHost, Site, add_host, ask, send, start_site, status};

/// Interval between two requests, which go to the two hosts in turn.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
/// Time after which the limit binds.
const CONTACT_TIME: Duration = Duration::from_millis(4_000);
/// Any time of this length counts.
const WINDOW: Duration = Duration::from_secs(4);
/// Limit that the server names, in requests per second.
const LIMIT: f64 = 5.0;

/// Most requests that a server with a limit may get within [`WINDOW`].
fn allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW.as_secs_f64() + 5.0) as usize
}

/// Sends requests for the service without keys to both hosts for the given time; returns how many
/// were served, and how many were refused with a time to come back.
async fn send_for(site: &Site, second: &SecondHost, name: &str, time: Duration) -> [usize; 2] {
    let start = Instant::now();
    let mut requests = Vec::new();
    while start.elapsed() < time {
        let number = requests.len();
        let host = [site.callers, second.callers][number % 2];
        let id = format!("{name}-{number}");
        requests.push(task::spawn(async move {
            send(host, Method::Post, "/pay/x", &id).await
        }));
        task::sleep(REQUEST_INTERVAL).await;
    }
    let mut counts = [0, 0];
    for request in requests {
        let response = request.await;
        let returns = response
            .as_ref()
            .is_some_and(|response| response.header("Retry-After").is_some());
        counts[0] += usize::from(status(&response) == 200);
        counts[1] += usize::from(status(&response) == 503 && returns);
    }
    counts
}

/// Most requests that a server has begun within any [`WINDOW`] after `start`.
fn most_in_window(site: &Site, server: &str, start: Instant) -> usize {
    let executions = site.recorder.executions();
    let of_server = executions
        .iter()
        .filter(|run| run.began >= start && run.server.starts_with(server));
    let times: Vec<Instant> = of_server.map(|run| run.began).collect();
    let counts = times.iter().map(|from| {
        let within = |at: &&Instant| *at >= from && at.duration_since(*from) < WINDOW;
        times.iter().filter(within).count()
    });
    counts.max().unwrap_or_default()
}

// Guards against LIMIT: servers got more than twice what the limit that they had named allows, since
// hosts passed the header on unread.
#[test]
fn all_hosts_together_keep_the_limit_that_a_server_names() {
    task::block_on(async {
        let site = start_site("limit").await;
        let second = add_host(&site, "limit-second").await;
        site.servers[1].set_limit(Some("5"));

        let named = Instant::now();
        let run = CONTACT_TIME + 2 * WINDOW;
        let [served, refused] = send_for(&site, &second, "limited", run).await;
        let most = most_in_window(&site, "orders-0", named + CONTACT_TIME);

        assert!(most <= allowed(LIMIT), "{most} of {}", allowed(LIMIT));
        assert!(most as f64 >= LIMIT, "the limit is not used: {most}");
        assert!(refused > served, "{served} served, {refused} refused");
    });
}

#[test]
fn limit_ends_with_a_response_that_names_none() {
    task::block_on(async {
        let site = start_site("limit-end").await;
        site.servers[1].set_limit(Some("0.5"));
        let second = add_host(&site, "limit-end-second").await;
        send_for(&site, &second, "limited", Duration::from_secs(3)).await;

        site.servers[1].set_limit(None);
        let ended = send_for(&site, &second, "ending", WINDOW).await;
        let free = send_for(&site, &second, "free", Duration::from_secs(2)).await;

        assert!(ended[0] > 0, "no response tells of the end");
        assert_eq!(free[1], 0, "{free:?}");
    });
}

#[test]
fn limit_that_is_not_a_number_changes_nothing() {
    task::block_on(async {
        let site = start_site("limit-malformed").await;
        site.servers[1].set_limit(Some("many"));

        for number in 0..40 {
            let paid = ask(&site, Method::Post, "/pay/x", &format!("m{number}")).await;
            assert_eq!(status(&paid), 200);
        }
    });
}
