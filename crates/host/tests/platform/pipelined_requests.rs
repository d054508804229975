//! Callers that send requests before the earlier ones of their connection are answered.

use std::time::Duration;

use amaranthshunt_support::platform::{ScriptedResponse, ScriptedUpstream};
use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpStream;
use async_std::task;
use rustix::process::Signal;
use serde_json::{Value, json};
use yare::parameterized;

use crate::faulty_responses::{scripted_site_with, success};
use crate::site::{Site, config, signal};

/// Time that the server takes for a request whose identifier begins with `slow`.
const SLOW: Duration = Duration::from_millis(900);
/// Time that it takes for one that begins with `endless`, longer than any test waits.
const ENDLESS: Duration = Duration::from_secs(9);
/// Time within which requests that are not held back have reached the server.
const ARRIVAL: Duration = Duration::from_millis(400);

/// A site with a route for reads and one for payments, both of a service without keys.
async fn start(name: &str) -> (Site, ScriptedUpstream) {
    let mut next = config(2, "/pay/");
    next["Routes"]["pay"]["TimeoutMs"] = json!(10_000);
    let mut list: Value = next["Routes"]["pay"].clone();
    list["PathPrefix"] = json!("/list/");
    list["Kind"] = json!("safe");
    next["Routes"]["list"] = list;
    let site = scripted_site_with(name, next, |id| {
        let time = match id {
            id if id.starts_with("slow") => SLOW,
            id if id.starts_with("endless") => ENDLESS,
            _ => Duration::ZERO,
        };
        ScriptedResponse {
            pieces: vec![(time, success(id))],
            closes: false,
        }
    });
    let site = site.await;
    // The server has to be warm to get several requests at a time.
    task::sleep(Duration::from_millis(1_500)).await;
    site
}

fn read(id: &str) -> String {
    format!(
        "GET /list/x HTTP/1.1\r\nHost: shop\r\nRequest-Id: {id}\r\nRequest-Deadline-Ms: 9000\r\n\r\n"
    )
}

fn payment(id: &str) -> String {
    format!(
        "POST /pay/x HTTP/1.1\r\nHost: shop\r\nRequest-Id: {id}\r\n\
         Request-Deadline-Ms: 9000\r\nContent-Length: 2\r\n\r\nhi"
    )
}

/// Connects and sends requests in one piece.
async fn send_all(site: &Site, requests: &[String]) -> TcpStream {
    let mut caller = TcpStream::connect(site.callers).await.unwrap();
    caller
        .write_all(requests.concat().as_bytes())
        .await
        .unwrap();
    caller
}

/// The statuses and identifiers of the responses up to the `count`th, or to the end of the connection.
async fn responses(caller: &mut TcpStream, count: usize) -> Vec<(String, String)> {
    let mut text = String::new();
    let mut chunk = [0; 4 << 10];
    loop {
        let heads = text.split("HTTP/1.1 ").skip(1);
        let found: Vec<_> = heads
            .filter(|head| head.contains("\r\n\r\n"))
            .map(|head| {
                let mut lines = head.lines().filter_map(|line| line.split_once(": "));
                let id = lines.find(|(name, _)| name.eq_ignore_ascii_case("request-id"));
                let id = id.map_or("", |(_, id)| id);
                (head[..3].to_owned(), id.to_owned())
            })
            .collect();
        if found.len() >= count {
            return found;
        }
        match caller.read(&mut chunk).await {
            Ok(length @ 1..) => text.push_str(&String::from_utf8_lossy(&chunk[..length])),
            _ => return found,
        }
    }
}

fn expected(responses: &[(&str, &str)]) -> Vec<(String, String)> {
    let owned = responses
        .iter()
        .map(|(status, id)| ((*status).to_owned(), (*id).to_owned()));
    owned.collect()
}

/// The requests that the server has received, without those of the start.
fn received(server: &ScriptedUpstream) -> Vec<String> {
    let mut received = server.received();
    received.retain(|id| id != "probe");
    received
}

// Guards against LATE: requests behind a slow one reached a server only when it had been answered.
#[test]
fn reads_behind_a_slow_one_are_served_meanwhile_and_answered_in_order() {
    task::block_on(async {
        let (site, server) = start("pipelined-reads").await;
        let with_body = payment("c").replace("POST /pay/", "PUT /list/");
        let requests = [read("slow"), read("b"), with_body, read("d")];
        let mut caller = send_all(&site, &requests).await;

        task::sleep(ARRIVAL).await;
        let mut early = received(&server);
        let responses = responses(&mut caller, 4).await;

        early.sort();
        assert_eq!(early, ["b", "c", "d", "slow"]);
        let in_order = [("200", "slow"), ("200", "b"), ("200", "c"), ("200", "d")];
        assert_eq!(responses, expected(&in_order));
    });
}

// Guards against TWICE: a caller that gets no answer to the read repeats all that stands behind it.
#[test]
fn a_payment_behind_a_read_starts_when_that_is_answered_and_holds_back_the_next() {
    task::block_on(async {
        let (site, server) = start("pipelined-payment").await;
        let requests = [read("slow-read"), payment("slow-payment"), read("last")];
        let mut caller = send_all(&site, &requests).await;

        task::sleep(ARRIVAL).await;
        let before = received(&server);
        let first = responses(&mut caller, 1).await;
        task::sleep(ARRIVAL).await;
        let during = received(&server);
        let rest = responses(&mut caller, 2).await;

        assert_eq!(before, ["slow-read"]);
        assert_eq!(during, ["slow-read", "slow-payment"]);
        assert_eq!(first, expected(&[("200", "slow-read")]));
        assert_eq!(rest, expected(&[("200", "slow-payment"), ("200", "last")]));
    });
}

// Guards against work in vain: the time behind a slow payment did not count towards the deadline.
#[test]
fn time_behind_a_payment_counts_towards_the_deadline() {
    task::block_on(async {
        let (site, server) = start("pipelined-deadline").await;
        let late = read("late").replace("9000", "500");
        let mut caller = send_all(&site, &[payment("slow"), late]).await;

        let responses = responses(&mut caller, 2).await;

        assert_eq!(responses, expected(&[("200", "slow"), ("503", "late")]));
        assert_eq!(received(&server), ["slow"]);
    });
}

// Guards against TWICE: callers repeat what stands behind a closing response, whatever its kind.
#[test]
fn nothing_behind_a_request_that_closes_the_connection_is_sent() {
    task::block_on(async {
        let (site, server) = start("pipelined-close").await;
        let closing = read("slow").replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n");
        let requests = [closing, payment("payment"), read("read")];
        let mut caller = send_all(&site, &requests).await;

        let responses = responses(&mut caller, usize::MAX).await;
        task::sleep(ARRIVAL).await;

        assert_eq!(responses, expected(&[("200", "slow")]));
        assert_eq!(received(&server), ["slow"]);
    });
}

// Guards against work for callers that have left: the disconnect lay behind unread requests.
#[parameterized(
    few = { "pipelined-left", 4 },
    more_than_are_read_ahead = { "pipelined-left-many", 400 },
)]
fn a_caller_that_leaves_stops_the_work_on_its_reads(name: &str, count: usize) {
    task::block_on(async {
        let (site, server) = start(name).await;
        let requests: Vec<_> = (0..count)
            .map(|number| read(&format!("endless-{number}")))
            .collect();
        let caller = send_all(&site, &requests).await;
        task::sleep(ARRIVAL).await;
        let started = received(&server).len();

        drop(caller);
        // Half a second is allowed; the rest is for a busy machine.
        task::sleep(Duration::from_millis(1_000)).await;

        assert_eq!(started, count.min(8));
        assert_eq!(server.broken_off().len(), started);
        assert_eq!(received(&server).len(), started);
    });
}

// Guards against LOST: a payment whose caller left ran in part.
#[test]
fn a_payment_whose_caller_leaves_runs_on_and_nothing_behind_it_starts() {
    task::block_on(async {
        let (site, server) = start("pipelined-left-payment").await;
        let caller = send_all(&site, &[payment("slow"), read("read")]).await;
        task::sleep(ARRIVAL).await;

        drop(caller);
        task::sleep(SLOW).await;

        assert_eq!(received(&server), ["slow"]);
        assert_eq!(server.broken_off(), Vec::<String>::new());
    });
}

// Guards against ORDER: an error response that overtook those of the requests before it.
#[test]
fn a_malformed_request_is_answered_after_the_valid_ones_before_it() {
    task::block_on(async {
        let (site, _server) = start("pipelined-malformed").await;
        let requests = [
            read("slow"),
            read("b"),
            "no request\r\n\r\n".to_owned(),
            read("c"),
        ];
        let mut caller = send_all(&site, &requests).await;

        let responses = responses(&mut caller, usize::MAX).await;

        let in_order = [("200", "slow"), ("200", "b"), ("400", "")];
        assert_eq!(responses, expected(&in_order));
    });
}

// Guards against LOST: a stopping host closed a connection with requests in flight.
#[test]
fn a_stopping_host_answers_what_it_has_started_and_closes() {
    task::block_on(async {
        let (mut site, server) = start("pipelined-stop").await;
        let requests = [read("slow-1"), read("slow-2"), payment("payment")];
        let mut caller = send_all(&site, &requests).await;
        task::sleep(ARRIVAL).await;

        signal(&site, Signal::TERM);
        let responses = responses(&mut caller, usize::MAX).await;
        let exit_status = site.wait_for_exit();

        assert_eq!(responses, expected(&[("200", "slow-1"), ("200", "slow-2")]));
        let mut received = received(&server);
        received.sort();
        assert_eq!(received, ["slow-1", "slow-2"]);
        assert!(exit_status.success());
    });
}
