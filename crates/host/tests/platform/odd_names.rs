//! Entries of another program under names that have a meaning of their own in a request to the store.

use std::time::Duration;

use amaranthshunt_support::free_address;
use amaranthshunt_support::platform::{ScriptedResponse, ScriptedUpstream, StoreFault};
use async_std::task;
use futures::future::join;
use http_types::Method;
use serde_json::{Value, json};
use yare::parameterized;

use crate::faulty_responses::success;
use crate::site::{
    SecondHost, Site, add_host_at, config, run_count, send, settings, spawn,
    start_site_without_host, status, wait_until,
};

/// Names that no server has. They sort before those of the servers of a site.
const ODD_NAMES: [&str; 19] = [
    "b\0",
    "b\r\nX-Odd: y",
    "b ",
    "b\"",
    "b#",
    "b%",
    "b%41",
    "b%zz",
    "b&",
    "b&Watch=5",
    "b+",
    "b/../c",
    "b;c",
    "b=c",
    "b?c",
    "b\\c",
    "b\u{7f}",
    "bü",
    "b\u{fffd}😀",
];
/// Time within which hosts apply what the store says.
const PROPAGATION_LIMIT: Duration = Duration::from_millis(2_500);
/// Length of a name that fits in no request line, in bytes.
const LONG_NAME: usize = 300_000;

/// A server that answers whatever reaches it, at the address that odd entries name.
async fn start_odd_server(site: &Site) -> ScriptedUpstream {
    let script = |request: &str| ScriptedResponse {
        pieces: vec![(Duration::ZERO, success(request))],
        closes: false,
    };
    let address = free_address();
    let server = ScriptedUpstream::start(address, "orders", "east-a", &site.store, script).await;
    site.store.remove("servers", "scripted");
    server.unwrap()
}

/// Puts an entry that is valid but for its name, of a service with or without keys.
fn put_server(site: &Site, server: &ScriptedUpstream, name: &str, service: &str) {
    let address = server.address();
    site.store.put_server(name, address, service, "east-a", 100);
}

/// Puts entries of all kinds under the odd names.
fn put_odd_entries(site: &Site, server: &ScriptedUpstream) {
    for (number, name) in ODD_NAMES.iter().enumerate() {
        let service = ["orders", "catalogue"][number % 2];
        put_server(site, server, name, service);
        for kind in ["evacuations", "config", "hosts"] {
            site.store.put(kind, name, json!({}), Value::Null);
        }
    }
}

/// Starts all hosts of a site at the same time.
async fn start_hosts(site: &Site, name: &str) -> [SecondHost; 2] {
    let names = ["host-1", "host-2"].map(|node| format!("{name}-{node}"));
    let store = site.store.address();
    let (first, second) = join(
        add_host_at(&names[0], store, "host-1"),
        add_host_at(&names[1], store, "host-2"),
    )
    .await;
    [first, second]
}

/// Sends 20 requests of each kind to each host; returns how many were answered by their server.
async fn count_served(hosts: &[SecondHost], site: &Site, round: &str) -> usize {
    let mut served = 0;
    for (host, number) in hosts
        .iter()
        .flat_map(|host| (0..20).map(move |n| (host, n)))
    {
        let id = format!("{round}-{}-{number}", host.callers.port());
        let read = send(host.callers, Method::Get, "/read/x", &format!("r{id}")).await;
        let paid = send(host.callers, Method::Post, "/pay/x", &format!("p{id}")).await;
        let is_served =
            |response: &Option<_>, id: String| status(response) == 200 && run_count(site, &id) == 1;
        served += usize::from(is_served(&read, format!("r{id}")));
        served += usize::from(is_served(&paid, format!("p{id}")));
    }
    served
}

// Guards against RECOVER: hosts that had just started got no list of servers, since the name of the last
// entry of a page stood in the request for the next one as it was, and against requests to such entries.
#[parameterized(
    each_entry_is_the_last = { "odd-last", 1 },
    two_a_page = { "odd-two", 2 },
    three_a_page = { "odd-three", 3 },
    seven_a_page = { "odd-seven", 7 },
)]
fn all_hosts_start_beside_odd_names(name: &str, page_objects: usize) {
    task::block_on(async {
        let site = start_site_without_host(name).await;
        let odd = start_odd_server(&site).await;
        put_odd_entries(&site, &odd);
        site.store.set_page_objects(page_objects);

        let hosts = start_hosts(&site, name).await;
        let served = count_served(&hosts, &site, "start").await;

        assert_eq!(served, 80);
        assert_eq!(odd.received(), Vec::<String>::new());
    });
}

// Guards against RECOVER on lists of the store's own page size, with the odd name around the end of a page.
#[parameterized(
    before_the_last = { "odd-498", 498, &["b&+#% x"] },
    last = { "odd-499", 499, &["b&+#% x"] },
    first_of_the_next = { "odd-500", 500, &["b&+#% x"] },
    several = { "odd-497", 497, &["b ", "b#", "b%", "b&", "b+"] },
)]
fn all_hosts_start_beside_odd_names_at_the_end_of_a_long_page(
    name: &str,
    fillers: usize,
    odd_names: &[&str],
) {
    task::block_on(async {
        let site = start_site_without_host(name).await;
        let odd = start_odd_server(&site).await;
        for number in 0..fillers {
            let filler = format!("a-{number:04}");
            site.store.put("servers", &filler, json!({}), Value::Null);
        }
        for name in odd_names {
            put_server(&site, &odd, name, "orders");
        }

        let hosts = start_hosts(&site, name).await;
        let served = count_served(&hosts, &site, "start").await;

        assert_eq!(served, 80);
        assert_eq!(odd.received(), Vec::<String>::new());
    });
}

// Guards against RECOVER where the size of the objects ends a page, and where a page has nothing else.
#[parameterized(
    cut_by_size = { "odd-size", 1, 1 << 20 },
    only_odd_names = { "odd-only", 1_100, 0 },
)]
fn all_hosts_start_beside_pages_that_end_with_odd_names(name: &str, count: usize, next: usize) {
    task::block_on(async {
        let site = start_site_without_host(name).await;
        let odd = start_odd_server(&site).await;
        for number in 0..count {
            put_server(&site, &odd, &format!("b #+%&{number:04}"), "orders");
        }
        let spec = json!({ "Filler": "x".repeat(next) });
        site.store.put("servers", "bz", spec, Value::Null);

        let hosts = start_hosts(&site, name).await;
        let served = count_served(&hosts, &site, "start").await;

        assert_eq!(served, 80);
        assert_eq!(odd.received(), Vec::<String>::new());
    });
}

// Guards against RECOVER: a name that is longer than a request line may be ended the list.
#[test]
fn all_hosts_start_beside_long_names() {
    task::block_on(async {
        let site = start_site_without_host("odd-long").await;
        let long = "x".repeat(LONG_NAME);
        for name in [format!("b{long}"), format!("b{long}&"), format!("b&{long}")] {
            site.store.put("servers", &name, json!({}), Value::Null);
        }
        site.store.set_page_objects(1);

        let hosts = start_hosts(&site, "odd-long").await;
        let served = count_served(&hosts, &site, "start").await;

        assert_eq!(served, 80);
    });
}

// Guards against requests to entries under odd names that appear, change and go while hosts run, and against
// hosts that do not follow the store beside them, by watches and by lists.
#[test]
fn hosts_follow_the_store_while_odd_names_come_and_go() {
    task::block_on(async {
        let site = start_site_without_host("odd-names").await;
        let odd = start_odd_server(&site).await;
        let hosts = start_hosts(&site, "odd-names").await;
        site.store.set_page_objects(1);

        put_odd_entries(&site, &odd);
        task::sleep(PROPAGATION_LIMIT).await;
        let appeared = count_served(&hosts, &site, "appeared").await;
        site.store.drop_history();
        put_odd_entries(&site, &odd);
        site.store
            .put("config", "main", config(5, "/pay/"), Value::Null);
        task::sleep(PROPAGATION_LIMIT).await;
        let changed = count_served(&hosts, &site, "changed").await;
        for name in ODD_NAMES {
            site.store.remove("servers", name);
        }
        site.store.drop_history();
        site.store
            .put("config", "main", config(6, "/new/"), Value::Null);
        task::sleep(PROPAGATION_LIMIT).await;
        let mut moved = Vec::new();
        for host in &hosts {
            let new = send(host.callers, Method::Post, "/new/x", "new").await;
            moved.push(status(&new));
        }

        assert_eq!((appeared, changed), (80, 80));
        assert_eq!(moved, [200, 200]);
        assert_eq!(odd.received(), Vec::<String>::new());
    });
}

// Guards against a list without end: a store whose pages bring nothing new was asked again at once, and what
// it answered was kept, until the host had no memory left.
#[test]
fn list_that_makes_no_progress_ends() {
    task::block_on(async {
        let mut site = start_site_without_host("odd-repeats").await;
        site.store.set_page_objects(1);
        site.store.set_fault(StoreFault::RepeatsPages);
        let text = settings(site.store.address(), site.callers, site.ready);
        site.child = Some(spawn(&site.folder, &text));
        task::sleep(PROPAGATION_LIMIT).await;
        let before = site.store.calls();

        task::sleep(PROPAGATION_LIMIT).await;
        let calls = site.store.calls() - before;
        site.store.set_fault(StoreFault::None);
        wait_until("the host serves", async || {
            status(&send(site.callers, Method::Get, "/read/x", "after").await) == 200
        })
        .await;

        assert!(calls <= 80, "{calls} calls");
    });
}
