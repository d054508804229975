//! Backend servers in trouble that send bytes without end.

use std::time::{Duration, Instant};

use amaranthshunt_support::free_address;
use amaranthshunt_support::platform::{
    EndlessPart, EndlessUpstream, ScriptedResponse, ScriptedUpstream,
};
use async_std::io::WriteExt;
use async_std::net::TcpStream;
use async_std::task;
use http_types::Method;
use yare::parameterized;

use crate::site::{MEMORY_MB, Site, ask, config, start_site, status, wait_until};

/// Requests that are sent at the same time.
const CALLERS: usize = 40;
/// Requests that are sent at the same time to show that the memory is bounded whatever their number.
const MANY_CALLERS: usize = 600;
/// Length of an answer that callers do not read, in bytes, and the number of these callers.
const LONG_ANSWER: usize = 4 << 20;
const SLOW_CALLERS: usize = 80;
/// Time in which a response must arrive: the route's timeout and a margin for a busy machine.
const RESPONSE_LIMIT: Duration = Duration::from_millis(2_500);

/// A site whose service without keys has only a server that sends bytes without end.
async fn start_endless_site(name: &str, part: EndlessPart) -> (Site, EndlessUpstream) {
    let site = start_site(name).await;
    site.servers[1].crash();
    let upstream = EndlessUpstream::start(free_address(), "orders", "east-a", part, &site.store)
        .await
        .unwrap();
    site.store.put(
        "config",
        "main",
        config(2, "/pay/"),
        serde_json::Value::Null,
    );
    wait_until("requests reach the endless server", async || {
        ask(&site, Method::Post, "/pay/x", "probe").await;
        upstream.bytes_sent() > 0
    })
    .await;
    (site, upstream)
}

/// Largest memory that a process has occupied, in MB.
pub(crate) fn peak_memory_mb(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = text.lines().find(|line| line.starts_with("VmHWM")).unwrap();
    let kilobytes: u64 = line.split_whitespace().nth(1).unwrap().parse().unwrap();
    kilobytes * 1_024 / 1_000_000
}

#[parameterized(
    headers = { "headers", EndlessPart::Headers, 502 },
    header_line = { "header-line", EndlessPart::HeaderLine, 502 },
    interim_responses = { "interim", EndlessPart::InterimResponses, 502 },
    chunk_size = { "chunk-size", EndlessPart::ChunkSize, 502 },
    chunks = { "chunks", EndlessPart::Chunks, 502 },
    trailers = { "trailers", EndlessPart::Trailers, 502 },
    body_without_length = { "no-length", EndlessPart::BodyWithoutLength, 502 },
    surplus = { "surplus", EndlessPart::Surplus, 200 },
)]
fn endless_bytes_are_cut_within_bounded_memory(name: &str, part: EndlessPart, expected: u16) {
    task::block_on(async {
        let (site, upstream) = start_endless_site(name, part).await;
        // The failures of the probes end the use of the server for a moment.
        task::sleep(Duration::from_millis(600)).await;
        let started = Instant::now();
        let requests = (0..CALLERS).map(|number| {
            let (site, id) = (&site, format!("e{number}"));
            async move { status(&ask(site, Method::Post, "/pay/x", &id).await) }
        });
        let statuses = futures::future::join_all(requests).await;

        let elapsed = started.elapsed();
        task::sleep(Duration::from_millis(300)).await;
        let sent = upstream.bytes_sent();
        task::sleep(Duration::from_millis(300)).await;
        let peak = peak_memory_mb(site.process_id());
        assert!(statuses.contains(&expected), "{statuses:?}");
        assert!(
            statuses
                .iter()
                .all(|status| [expected, 503].contains(status)),
            "{statuses:?}"
        );
        assert!(elapsed < RESPONSE_LIMIT, "{elapsed:?}");
        assert_eq!(upstream.bytes_sent(), sent, "the server is still sending");
        assert!(peak < MEMORY_MB, "{peak} MB");
    });
}

/// Sends reads of a key, one after the other, until `end`; returns the statuses.
pub(crate) async fn read_until(site: &Site, end: Instant) -> Vec<u16> {
    let mut statuses = Vec::new();
    while Instant::now() < end {
        let id = format!("o{}", statuses.len());
        statuses.push(status(&ask(site, Method::Get, "/read/x", &id).await));
        task::sleep(Duration::from_millis(20)).await;
    }
    statuses
}

pub(crate) fn assert_served(statuses: &[u16]) {
    let served = statuses.iter().filter(|status| **status == 200).count();
    assert!(served * 100 >= statuses.len() * 95, "{statuses:?}");
}

// Guards against Fault and LOST: what bounded all incomplete responses together left 64 KiB of each out, and
// twice as much of one that grew, so several hundred took a host over its memory.
#[parameterized(
    headers = { "many-headers", EndlessPart::Headers },
    header_line = { "many-header-line", EndlessPart::HeaderLine },
    interim_responses = { "many-interim", EndlessPart::InterimResponses },
    chunk_size = { "many-chunk-size", EndlessPart::ChunkSize },
    chunks = { "many-chunks", EndlessPart::Chunks },
    trailers = { "many-trailers", EndlessPart::Trailers },
    body_without_length = { "many-no-length", EndlessPart::BodyWithoutLength },
    surplus = { "many-surplus", EndlessPart::Surplus },
)]
fn many_endless_responses_leave_memory_and_time_to_other_callers(name: &str, part: EndlessPart) {
    task::block_on(async {
        let (site, upstream) = start_endless_site(name, part).await;
        task::sleep(Duration::from_millis(600)).await;
        let end = Instant::now() + Duration::from_secs(3);
        let requests = (0..MANY_CALLERS).map(|number| {
            let (site, id) = (&site, format!("e{number}"));
            async move { status(&ask(site, Method::Post, "/pay/x", &id).await) }
        });

        let others = read_until(&site, end);
        let (statuses, others) =
            futures::future::join(futures::future::join_all(requests), others).await;

        task::sleep(Duration::from_millis(300)).await;
        let sent = upstream.bytes_sent();
        task::sleep(Duration::from_millis(300)).await;
        let peak = peak_memory_mb(site.process_id());
        assert!(peak < MEMORY_MB, "{peak} MB");
        assert_served(&others);
        assert!(!statuses.contains(&0), "connections without an answer");
        assert_eq!(upstream.bytes_sent(), sent, "the server is still sending");
    });
}

// Guards against Fault and LOST: answers that were complete counted no longer, though they waited for callers
// that did not read.
#[test]
fn long_answers_to_callers_that_do_not_read_leave_memory_to_other_callers() {
    task::block_on(async {
        let site = start_site("slow-callers").await;
        site.servers[1].crash();
        let script = |id: &str| ScriptedResponse {
            pieces: vec![(
                Duration::ZERO,
                format!(
                    "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nUpstream-Signature: s\r\n\
                     Content-Length: {LONG_ANSWER}\r\n\r\n{}",
                    "x".repeat(LONG_ANSWER)
                ),
            )],
            closes: false,
        };
        let address = free_address();
        let server =
            ScriptedUpstream::start(address, "orders", "east-a", &site.store, script).await;
        let server = server.unwrap();
        wait_until("requests reach the scripted server", async || {
            ask(&site, Method::Post, "/pay/x", "probe").await;
            !server.received().is_empty()
        })
        .await;

        let mut callers = Vec::new();
        for number in 0..SLOW_CALLERS {
            let mut caller = TcpStream::connect(site.callers).await.unwrap();
            let request = format!(
                "POST /pay/x HTTP/1.1\r\nHost: shop\r\nRequest-Id: s{number}\r\n\
                 Request-Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n"
            );
            caller.write_all(request.as_bytes()).await.unwrap();
            callers.push(caller);
            // The answer is complete before the next request.
            task::sleep(Duration::from_millis(40)).await;
        }
        let others = read_until(&site, Instant::now() + Duration::from_secs(3)).await;

        let peak = peak_memory_mb(site.process_id());
        assert!(peak < MEMORY_MB, "{peak} MB");
        assert_served(&others);
        drop(callers);
    });
}
