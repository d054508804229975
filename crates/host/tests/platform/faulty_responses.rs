//! Responses of faulty servers that could be taken for something else.

use std::sync::Mutex;
use std::time::Duration;

use amaranthshunt_support::free_address;
use amaranthshunt_support::platform::{ScriptedResponse, ScriptedUpstream};
use async_std::task;
use http_types::Method;
use serde_json::Value;
use yare::parameterized;

use crate::site::{Site, ask, config, start_site, status, wait_until};

/// A site whose service without keys has only a server that follows a script.
async fn scripted_site(
    name: &str,
    script: impl Fn(&str) -> ScriptedResponse + Send + Sync + 'static,
) -> (Site, ScriptedUpstream) {
    scripted_site_with(name, config(2, "/pay/"), script).await
}

/// A site with a configuration whose service without keys has only a server that follows a script.
pub(crate) async fn scripted_site_with(
    name: &str,
    next: Value,
    script: impl Fn(&str) -> ScriptedResponse + Send + Sync + 'static,
) -> (Site, ScriptedUpstream) {
    let site = start_site(name).await;
    site.servers[1].crash();
    let server =
        ScriptedUpstream::start(free_address(), "orders", "east-a", &site.store, script).await;
    let server = server.unwrap();
    site.store.put("config", "main", next, Value::Null);
    wait_until("requests reach the scripted server", async || {
        ask(&site, Method::Post, "/pay/x", "probe").await;
        !server.received().is_empty()
    })
    .await;
    task::sleep(Duration::from_millis(600)).await;
    (site, server)
}

/// Sends a request until the scripted server gets it; returns the status of the response to that one.
///
/// A failure ends the use of a server for a moment, in which requests are refused as not run or go elsewhere.
pub(crate) async fn ask_until_received(site: &Site, server: &ScriptedUpstream, id: &str) -> u16 {
    let result = Mutex::new(0);
    wait_until("the scripted server gets the request", async || {
        let response = ask(site, Method::Post, "/pay/x", id).await;
        *result.lock().unwrap() = status(&response);
        server.received().iter().any(|received| received == id)
    })
    .await;
    result.into_inner().unwrap()
}

pub(crate) fn success(id: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nUpstream-Signature: sig\r\nContent-Length: 2\r\n\r\nok"
    )
}

fn refusal(status_line: &str, id: Option<&str>) -> String {
    let id = id.map_or_else(String::new, |id| format!("Request-Id: {id}\r\n"));
    format!("HTTP/1.1 {status_line}\r\n{id}Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
}

fn written(text: String) -> (Duration, String) {
    (Duration::ZERO, text)
}

// Guards against REFUSED and TWICE: a refusal that a server wrote once more, for an earlier request
// on the connection, passed for the refusal of one that ran.
#[parameterized(
    of_the_earlier_request = { "repeated-id", "503 Service Unavailable", Some("first") },
    without_identifier = { "repeated-none", "503 Service Unavailable", None },
    misdirected_without_identifier = { "repeated-421", "421 Misdirected Request", None },
)]
fn repeated_refusal_is_not_taken_for_that_of_the_next_request(
    name: &str,
    status_line: &'static str,
    id: Option<&'static str>,
) {
    task::block_on(async {
        let script = move |request: &str| {
            let pieces = match request {
                "first" => vec![written(refusal(status_line, Some("first")))],
                "second" => vec![
                    written(refusal(status_line, id)),
                    (Duration::from_millis(100), success("second")),
                ],
                other => vec![written(success(other))],
            };
            ScriptedResponse {
                pieces,
                closes: false,
            }
        };
        let (site, server) = scripted_site(name, script).await;

        let first = ask(&site, Method::Post, "/pay/x", "first").await;
        task::sleep(Duration::from_millis(600)).await;
        let second = ask(&site, Method::Post, "/pay/x", "second").await;

        let runs = server.received();
        let runs = runs.iter().filter(|id| *id == "second").count();
        assert_eq!(status(&first), 503);
        assert!([200, 502].contains(&status(&second)), "{second:?}");
        assert_eq!(runs, 1);
    });
}

// Guards against MIXED and ORDER: a response whose head ended in the middle passed for a complete one
// with an empty or short body.
#[parameterized(
    in_a_value = { "cut-value", "HTTP/1.1 200 OK\r\nRequest-Id: cut\r\nUpstream-Signature: si" },
    after_a_header = { "cut-line", "HTTP/1.1 200 OK\r\nRequest-Id: cut\r\nUpstream-Signature: sig\r\n" },
    in_the_last_line = { "cut-end", "HTTP/1.1 200 OK\r\nRequest-Id: cut\r\nUpstream-Signature: sig\r\n\r" },
    after_the_status_line = { "cut-status", "HTTP/1.1 200 OK\r\n" },
    in_a_body = {
        "cut-body",
        "HTTP/1.1 200 OK\r\nRequest-Id: cut\r\nUpstream-Signature: sig\r\nContent-Length: 9\r\n\r\nok"
    },
    in_chunks = {
        "cut-chunks",
        "HTTP/1.1 200 OK\r\nRequest-Id: cut\r\nUpstream-Signature: sig\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"
    },
)]
fn response_that_ends_early_is_not_returned_as_success(name: &str, part: &'static str) {
    task::block_on(async {
        let script = move |request: &str| ScriptedResponse {
            pieces: vec![written(if request == "cut" {
                part.to_owned()
            } else {
                success(request)
            })],
            closes: request == "cut",
        };
        let (site, server) = scripted_site(name, script).await;

        let cut = ask(&site, Method::Post, "/pay/x", "cut").await;

        let runs = server.received();
        assert_eq!(status(&cut), 502);
        assert_eq!(runs.iter().filter(|id| *id == "cut").count(), 1);
    });
}

/// Status lines that no final response may have.
const INVALID_STATUSES: [&str; 5] = ["000", "099", "101", "600", "999"];

/// What a server says if it is faulty: a response of an invalid status, otherwise complete.
fn invalid_status(status: &str, id: &str) -> String {
    success(id)
        .replace("200 OK", &format!("{status} Faulty"))
        .replace("Content-Length: 2\r\n\r\nok", "Content-Length: 0\r\n\r\n")
}

/// Answers requests whose identifier begins with an invalid status by it, others with success.
fn faulty_script(request: &str) -> ScriptedResponse {
    let status = request.split('-').next().unwrap_or_default();
    let text = if INVALID_STATUSES.contains(&status) {
        invalid_status(status, request)
    } else {
        success(request)
    };
    ScriptedResponse {
        pieces: vec![written(text)],
        closes: false,
    }
}

// Guards against ORDER: a caller got a status that does not exist, such as 000, as the answer to a request
// that may have run, or waited for the response after it until the route's timeout.
#[test]
fn invalid_status_of_a_request_that_must_not_repeat_becomes_502() {
    task::block_on(async {
        let (site, server) = scripted_site("invalid-status", faulty_script).await;

        let mut results = Vec::new();
        for invalid in INVALID_STATUSES {
            let id = format!("{invalid}-once");
            let status = ask_until_received(&site, &server, &id).await;
            let runs = server.received().iter().filter(|run| **run == id).count();
            results.push((invalid, status, runs));
        }

        let expected = INVALID_STATUSES.map(|invalid| (invalid, 502, 1));
        assert_eq!(results, expected);
    });
}

// Guards against LOST: a request that may be repeated ended with a status that does not exist, though
// another server would have answered it.
#[test]
fn invalid_status_of_a_request_that_may_repeat_leads_to_another_server() {
    task::block_on(async {
        let site = start_site("invalid-status-repeat").await;
        let script = faulty_script;
        let address = free_address();
        let server = ScriptedUpstream::start(address, "orders", "east-a", &site.store, script);
        let server = server.await.unwrap();
        let mut next = config(2, "/pay/");
        next["Routes"]["pay"]["Kind"] = Value::from("safe");
        site.store.put("config", "main", next, Value::Null);

        for invalid in INVALID_STATUSES {
            let id = format!("{invalid}-again");
            let status = ask_until_received(&site, &server, &id).await;
            assert_eq!(status, 200, "{id}");
        }
    });
}
