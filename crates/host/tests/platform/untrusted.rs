//! Callers outside the operators' control that hold what a host has little of: memory and descriptors.
//!
//! The numbers of callers and the bounds were fixed before the host had limits for them.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_std::io::WriteExt;
use async_std::net::TcpStream;
use async_std::task;
use http_types::Method;
use serde_json::{Value, json};
use yare::parameterized;

use crate::endless::peak_memory_mb;
use crate::site::{
    MEMORY_MB, Site, ask, config, settings, spawn, start_site_without_host, status, wait_until,
};

/// Memory of the host according to its settings, in MB.
const SMALL_MEMORY_MB: u64 = 64;
/// Descriptors that the host may use according to its settings.
const MAX_FDS: usize = 320;
/// Descriptors among them that are reserved for files.
const FILE_FDS: usize = 200;
/// Callers that send bodies in chunks, and those of them that send the end.
const BODY_CALLERS: usize = 120;
const COMPLETE_BODIES: usize = 10;
/// Callers that send long heads.
const HEAD_CALLERS: usize = 900;
/// Length of a long head, in bytes.
const LONG_HEAD: usize = 60 << 10;
/// Callers that hold a connection each.
const CONNECTION_CALLERS: usize = 200;
/// Time in which the host reads what it has been sent.
const READ_TIME: Duration = Duration::from_secs(2);

/// Only one of these tests runs at a time, since each one starts hundreds of callers.
static TURN: Mutex<()> = Mutex::new(());

fn take_turn() -> MutexGuard<'static, ()> {
    TURN.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A site whose host has little memory, the given further limits, and takes long heads and bodies.
async fn start_small_site(name: &str, limits: &str) -> Site {
    let mut site = start_site_without_host(name).await;
    let mut long = config(2, "/pay/");
    long["Limits"]["MaxBodyBytes"] = json!(1 << 20);
    long["Limits"]["MaxHeaderBytes"] = json!(64 << 10);
    site.store.put("config", "main", long, Value::Null);
    let text = settings(site.store.address(), site.callers, site.ready).replace(
        &format!("MemoryMb = {MEMORY_MB}"),
        &format!("MemoryMb = {SMALL_MEMORY_MB}\n{limits}"),
    );
    site.child = Some(spawn(&site.folder, &text));
    wait_until("the host serves keys", async || is_served(&site).await).await;
    site
}

/// Whether the host answers an ordinary request.
async fn is_served(site: &Site) -> bool {
    status(&ask(site, Method::Get, "/read/x", "ordinary").await) == 200
}

/// Opens a connection for each number and writes the bytes made for it, all at the same time. The
/// connections stay open on this side, whatever the host does with them.
async fn open_callers(
    site: &Site,
    count: usize,
    bytes: impl Fn(usize) -> Vec<u8>,
) -> Vec<TcpStream> {
    let callers = (0..count).map(|number| {
        let (address, bytes) = (site.callers, bytes(number));
        task::spawn(async move {
            let mut caller = TcpStream::connect(address).await.ok()?;
            // A host that has had enough may close the connection before all is written.
            let _ = caller.write_all(&bytes).await;
            Some(caller)
        })
    });
    let callers = futures::future::join_all(callers.collect::<Vec<_>>()).await;
    callers.into_iter().flatten().collect()
}

fn body_head(number: usize) -> String {
    format!(
        "POST /pay/x HTTP/1.1\r\nHost: shop\r\nRequest-Id: u{number}\r\n\
         Request-Deadline-Ms: 60000\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
}

fn open_descriptors(site: &Site) -> usize {
    let folder = format!("/proc/{}/fd", site.process_id());
    std::fs::read_dir(folder).unwrap().count()
}

fn assert_alive(site: &mut Site) {
    let child = site.child.as_mut().unwrap();
    let ended = child.try_wait().unwrap();
    assert!(ended.is_none(), "the host has ended: {ended:?}");
}

/// Waits until the host has read what it was sent and answers an ordinary request, then checks its
/// memory.
async fn assert_within_memory(site: &mut Site) {
    task::sleep(READ_TIME).await;
    assert_alive(site);
    let peak = peak_memory_mb(site.process_id());
    assert!(peak < SMALL_MEMORY_MB, "{peak} MB");
    wait_until("an ordinary request is answered", async || {
        is_served(site).await
    })
    .await;
    let peak = peak_memory_mb(site.process_id());
    println!("peak {peak} MB of {SMALL_MEMORY_MB}");
    assert!(peak < SMALL_MEMORY_MB, "{peak} MB");
    assert_alive(site);
}

// Guards against Fault: each chunk was kept in an allocation of its own, and only its payload counted,
// so callers that sent one byte in each chunk took a host over its memory.
#[parameterized(
    one_byte = { "chunks-of-one-byte", 1, 16_384 },
    large = { "large-chunks", 16 << 10, 20 },
)]
fn chunked_bodies_that_stop_short_of_the_end_stay_within_the_memory(
    name: &str,
    chunk: usize,
    count: usize,
) {
    let _turn = take_turn();
    task::block_on(async {
        let mut site = start_small_site(name, "").await;
        let chunk = format!("{chunk:x}\r\n{}\r\n", "x".repeat(chunk));
        let callers = open_callers(&site, BODY_CALLERS, |number| {
            let end = if number < COMPLETE_BODIES {
                "0\r\n\r\n"
            } else {
                ""
            };
            (body_head(number) + &chunk.repeat(count) + end).into_bytes()
        })
        .await;

        assert_within_memory(&mut site).await;
        drop(callers);
    });
}

// Guards against Fault: the read buffers of connections without a request counted nowhere, neither
// while a head arrived nor after a long one.
#[parameterized(
    unfinished = { "unfinished-heads", "" },
    answered = { "answered-heads", "\r\n\r\n" },
)]
fn long_heads_stay_within_the_memory(name: &str, end: &str) {
    let _turn = take_turn();
    task::block_on(async {
        let mut site = start_small_site(name, "").await;
        let head = "GET /other/x HTTP/1.1\r\nHost: shop\r\nX-Long: ";
        let callers = open_callers(&site, HEAD_CALLERS, |_| {
            let filler = "x".repeat(LONG_HEAD - head.len() - end.len());
            format!("{head}{filler}{end}").into_bytes()
        })
        .await;

        assert_within_memory(&mut site).await;
        drop(callers);
    });
}

// Guards against Fault: nothing bounded the number of callers' connections, so a host ran out of
// descriptors and could open no connection to servers and the store.
#[parameterized(
    idle = { "idle-callers", "" },
    half_a_head = { "half-heads", "POST /pay/x HTTP/1.1\r\nHost: shop\r\n" },
    half_a_body = {
        "half-bodies",
        "POST /pay/x HTTP/1.1\r\nHost: shop\r\nRequest-Id: h\r\nRequest-Deadline-Ms: 60000\r\n\
         Transfer-Encoding: chunked\r\n\r\n5\r\nabc"
    },
)]
fn open_connections_leave_descriptors_to_the_host(name: &str, start: &str) {
    let _turn = take_turn();
    task::block_on(async {
        let mut site = start_small_site(name, &format!("MaxFds = {MAX_FDS}")).await;
        let callers = open_callers(&site, CONNECTION_CALLERS, |_| start.as_bytes().to_vec()).await;
        task::sleep(READ_TIME).await;

        let open = open_descriptors(&site);
        assert!(open < MAX_FDS - FILE_FDS, "{open} descriptors");
        assert_alive(&mut site);
        wait_until("an ordinary request is answered", async || {
            is_served(&site).await
        })
        .await;
        let open = open_descriptors(&site);
        println!("{open} descriptors of {}", MAX_FDS - FILE_FDS);
        assert!(open < MAX_FDS - FILE_FDS, "{open} descriptors");
        drop(callers);
    });
}
