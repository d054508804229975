//! Responses whose heads or trailers have malformed lines.

use std::time::Duration;

use amaranthshunt_support::free_address;
use amaranthshunt_support::platform::{ScriptedResponse, ScriptedUpstream};
use async_std::task;
use http_types::Method;
use serde_json::Value;
use yare::parameterized;

use crate::faulty_responses::{ask_until_received, scripted_site_with, success};
use crate::site::{ask, config, start_site, status};

/// Malformed lines, by the beginning of the identifiers of requests that are answered with them.
const LINES: [(&str, &str); 8] = [
    ("space", "X Odd: 1"),
    ("space-at-end", "X-Odd : 1"),
    ("space-at-start", " X-Odd: 1"),
    ("nul", "X\0Odd: 1"),
    ("escape", "X-Odd\u{1b}: 1"),
    ("delete", "X-Odd\u{7f}: 1"),
    ("empty", ": 1"),
    ("bare-return", "X-Odd: 1\rX-Other: 2"),
];

/// Where a malformed line stands.
#[derive(Clone, Copy, Debug)]
enum Place {
    /// The first line of the head.
    First,
    /// The last line of the head.
    Last,
    /// The head of an interim response before the final one.
    Interim,
    /// After the last chunk of the body.
    Trailers,
}

/// A whole response in chunks, with trailers.
fn chunked(whole: &str, trailers: &str) -> String {
    whole
        .replace("Content-Length: 2", "Transfer-Encoding: chunked")
        .replace(
            "\r\n\r\nok",
            &format!("\r\n\r\n2\r\nok\r\n0\r\n{trailers}\r\n"),
        )
}

fn malformed_response(id: &str, line: &str, place: Place) -> String {
    let whole = success(id);
    match place {
        Place::First => whole.replace("Request-Id", &format!("{line}\r\nRequest-Id")),
        Place::Last => whole.replace("\r\n\r\nok", &format!("\r\n{line}\r\n\r\nok")),
        Place::Trailers => chunked(&whole, &format!("X-Sum: 1\r\n{line}\r\n")),
        Place::Interim => format!("HTTP/1.1 103 Early Hints\r\n{line}\r\n\r\n{whole}"),
    }
}

/// Answers requests that name a malformed line by a response that has it, others with success.
fn script(place: Place) -> impl Fn(&str) -> ScriptedResponse + Send + Sync + 'static {
    move |id| {
        let line = LINES
            .iter()
            .find(|(name, _)| id.strip_prefix(name) == Some("-once"));
        let text = line.map_or_else(
            || success(id),
            |(_, line)| malformed_response(id, line, place),
        );
        ScriptedResponse {
            pieces: vec![(Duration::ZERO, text)],
            closes: false,
        }
    }
}

// Guards against MIXED: a response with a malformed line in its head reached a caller.
#[parameterized(
    first = { "malformed-first", Place::First },
    last = { "malformed-last", Place::Last },
    interim = { "malformed-interim", Place::Interim },
    trailers = { "malformed-trailers", Place::Trailers },
)]
fn malformed_head_of_a_request_that_must_not_repeat_becomes_502(name: &str, place: Place) {
    task::block_on(async {
        let (site, server) = scripted_site_with(name, config(2, "/pay/"), script(place)).await;

        let mut results = Vec::new();
        for (line, _) in LINES {
            let id = format!("{line}-once");
            let status = ask_until_received(&site, &server, &id).await;
            let runs = server.received().iter().filter(|run| **run == id).count();
            results.push((line, status, runs));
        }

        assert_eq!(results, LINES.map(|(line, _)| (line, 502, 1)));
    });
}

// Guards against LOST: a request that may be repeated ended with a malformed response.
#[test]
fn malformed_head_of_a_request_that_may_repeat_leads_to_another_server() {
    task::block_on(async {
        let site = start_site("malformed-repeat").await;
        let address = free_address();
        let script = script(Place::First);
        let server = ScriptedUpstream::start(address, "orders", "east-a", &site.store, script);
        let server = server.await.unwrap();
        let mut next = config(2, "/pay/");
        next["Routes"]["pay"]["Kind"] = Value::from("safe");
        site.store.put("config", "main", next, Value::Null);

        for (line, _) in LINES {
            let id = format!("{line}-once");
            let status = ask_until_received(&site, &server, &id).await;
            assert_eq!(status, 200, "{id}");
        }
    });
}

#[test]
fn response_with_sound_trailers_is_returned() {
    task::block_on(async {
        let script = |id: &str| ScriptedResponse {
            pieces: vec![(
                Duration::ZERO,
                chunked(&success(id), "X-Sum: 1\r\nX-Empty:\r\n"),
            )],
            closes: false,
        };
        let (site, _server) =
            scripted_site_with("sound-trailers", config(2, "/pay/"), script).await;

        for number in 0..3 {
            let id = format!("sound-{number}");
            let response = ask(&site, Method::Post, "/pay/x", &id).await;
            assert_eq!(status(&response), 200, "{id}");
            assert_eq!(response.unwrap().body_string().await.unwrap(), "ok");
        }
    });
}
