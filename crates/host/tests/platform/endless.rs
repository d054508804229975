//! Backend servers in trouble that send bytes without end.

use std::time::{Duration, Instant};

use amaranthshunt_support::free_address;
use amaranthshunt_support::platform::{EndlessPart, EndlessUpstream};
use async_std::task;
use http_types::Method;
use yare::parameterized;

use crate::site::{MEMORY_MB, Site, ask, config, start_site, status, wait_until};

/// Requests that are sent at the same time.
const CALLERS: usize = 40;
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
fn peak_memory_mb(pid: u32) -> u64 {
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
