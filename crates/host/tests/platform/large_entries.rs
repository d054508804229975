//! Large entries that another program keeps in the store.

use std::net::SocketAddr;
use std::time::Duration;

use amaranthshunt_support::free_address;
use amaranthshunt_support::platform::{FaultProxy, LinkFault};
use async_std::task;
use http_types::Method;
use serde_json::{Value, json};
use yare::parameterized;

use crate::endless::peak_memory_mb;
use crate::site::{
    MEMORY_MB, Site, ask, config, run_count, settings, spawn, start_site_without_host, status,
    wait_until,
};

/// Text that the store's view replaces by the large part.
const PLACEHOLDER: &str = "@large@";
/// Entries of the other program.
const ENTRIES: usize = 24;
/// Length of an entry in bytes, just below that of the longest object which the store takes.
const ENTRY_LENGTH: usize = 1_040_000;
/// About 5 Mbit/s, half of a link of 10 Mbit/s: the proxy passes on 4 KiB at a time.
const SLOW_LINK: LinkFault = LinkFault::Delay(6);
/// Time within which hosts are current again after they could not follow the store.
const CATCH_UP_LIMIT: Duration = Duration::from_secs(4);
/// Time within which hosts apply what the store says.
const PROPAGATION_LIMIT: Duration = Duration::from_millis(2_500);

/// An array of the same text over and over, of about [`ENTRY_LENGTH`] bytes.
fn array_of(element: &str) -> String {
    let count = ENTRY_LENGTH / (element.len() + 1);
    format!("[{}]", vec![element; count].join(","))
}

/// A site without a host, and the address of a view of its store that has the large part in place of
/// [`PLACEHOLDER`]. A page of the store has room for one large entry.
async fn start_store(name: &str, large: &str) -> (Site, SocketAddr) {
    let site = start_site_without_host(name).await;
    site.store.set_page_objects(1);
    let view = free_address();
    let translation = (format!("\"{PLACEHOLDER}\""), large.to_owned());
    let served = site.store.serve_translated(view, vec![translation]).await;
    served.unwrap();
    (site, view)
}

/// Starts a host that reads the store at an address, and waits until it serves.
async fn start_host(site: &mut Site, store: SocketAddr) {
    let text = settings(store, site.callers, site.ready);
    site.child = Some(spawn(&site.folder, &text));
    wait_until("the host serves", async || {
        let paid = ask(site, Method::Post, "/pay/x", "paid").await;
        let read = ask(site, Method::Get, "/read/x", "read").await;
        [status(&paid), status(&read)] == [200, 200]
    })
    .await;
}

fn put_large_entries(site: &Site, kind: &str, changes: usize) {
    for number in (0..changes).map(|change| change % ENTRIES) {
        let spec = json!({ "Manifest": PLACEHOLDER });
        site.store
            .put(kind, &format!("large-{number:02}"), spec, Value::Null);
    }
}

// Guards against Fault: entries of another program took hosts over their memory at each start, since all
// pages of a list were kept as parsed values.
#[parameterized(
    numbers_among_servers = { "servers", "0" },
    objects_among_servers = { "servers", r#"{"a":1}"# },
    numbers_among_configurations = { "config", "0" },
    numbers_among_evacuations = { "evacuations", "0" },
    numbers_among_hosts = { "hosts", "0" },
)]
fn host_starts_within_its_memory_beside_large_entries(kind: &str, element: &str) {
    task::block_on(async {
        let name = format!("large-start-{kind}-{}", element.len());
        let (mut site, view) = start_store(&name, &array_of(element)).await;
        put_large_entries(&site, kind, ENTRIES);

        start_host(&mut site, view).await;

        let peak = peak_memory_mb(site.process_id());
        assert!(peak < MEMORY_MB, "{peak} MB");
    });
}

// Guards against RECOVER: a host whose link its callers and servers share read a page for longer than a response
// might take, and began again with the first one.
#[test]
fn host_starts_on_a_slow_link_beside_large_entries() {
    task::block_on(async {
        let (mut site, view) = start_store("large-slow", &array_of("0")).await;
        put_large_entries(&site, "servers", 4);
        let link = FaultProxy::start(free_address(), view).await.unwrap();
        link.set_fault(SLOW_LINK);

        start_host(&mut site, link.address()).await;
    });
}

// Guards against Fault: the changes since the last one that a host knew took it over its memory. Above 64 MiB
// against CONFIG and requests to servers that leave: it did not read them, and asked for them again and again.
#[parameterized(
    below_64_mib = { 56 },
    above_64_mib = { 72 },
)]
fn host_follows_the_store_when_large_entries_change_often(changes: usize) {
    task::block_on(async {
        let name = format!("large-changes-{changes}");
        let (mut site, view) = start_store(&name, &array_of("0")).await;
        start_host(&mut site, view).await;

        for kind in ["servers", "config", "evacuations"] {
            put_large_entries(&site, kind, changes);
        }
        task::sleep(CATCH_UP_LIMIT).await;
        site.store
            .put("config", "main", config(5, "/new/"), Value::Null);
        site.servers[1].set_draining(true);
        task::sleep(PROPAGATION_LIMIT).await;
        let new = ask(&site, Method::Post, "/new/x", "new").await;
        let read = ask(&site, Method::Get, "/read/x", "again").await;

        let peak = peak_memory_mb(site.process_id());
        assert_eq!(
            [status(&new), status(&read)],
            [503, 200],
            "the server drains"
        );
        assert_eq!(run_count(&site, "new"), 0);
        assert!(peak < MEMORY_MB, "{peak} MB");
    });
}
