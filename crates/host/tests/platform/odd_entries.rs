//! Odd entries that another program leaves in the store.

use std::time::Duration;

use amaranthshunt_support::free_address;
use async_std::task;
use http_types::Method;
use serde_json::{Value, json};
use yare::parameterized;

use crate::site::{
    SecondHost, Site, add_host_at, config, run_count, send, start_site_without_host, status,
};

/// Text that the store's view replaces by the odd part.
const PLACEHOLDER: &str = "@odd@";
/// Time within which hosts apply a configuration.
const PROPAGATION_LIMIT: Duration = Duration::from_millis(2_500);
/// Calls to the store in [`PROPAGATION_LIMIT`] of a host that follows three kinds of objects alone.
const CALL_LIMIT: u64 = 30;

/// The same of a host that the leader tells of changes.
const FOLLOWER_CALL_LIMIT: u64 = 3;

/// Odd entries whose names together are longer than a message between hosts.
const MANY_ENTRIES: usize = 5_000;

/// A store whose view has the odd part in place of [`PLACEHOLDER`], and a host that reads it there.
async fn start(name: &str, odd: &str, first: impl Fn(&Site)) -> (Site, SecondHost) {
    let site = start_site_without_host(name).await;
    first(&site);
    let view = free_address();
    let translation = (format!("\"{PLACEHOLDER}\""), odd.to_owned());
    site.store
        .serve_translated(view, vec![translation])
        .await
        .unwrap();
    let host = add_host_at(&format!("{name}-host"), view, "host-1").await;
    (site, host)
}

fn put_odd_objects(site: &Site) {
    for kind in ["servers", "evacuations", "config", "hosts"] {
        site.store
            .put(kind, "odd", json!({ "Address": PLACEHOLDER }), Value::Null);
    }
}

async fn store_calls(host: &SecondHost) -> u64 {
    let mut response = send(host.ready, Method::Get, "/metrics", "m")
        .await
        .unwrap();
    let text = response.body_string().await.unwrap();
    let mut lines = text.lines();
    let value = lines.find_map(|line| line.strip_prefix("amaranthshunt_store_calls_total "));
    value.unwrap().parse().unwrap()
}

fn deeply_nested() -> String {
    format!("{}{}", "[".repeat(5_000), "]".repeat(5_000))
}

// Guards against hosts that never become ready, or ask the store again and again, because of one odd
// entry in a list.
#[parameterized(
    nested = { "nested", &deeply_nested() },
    huge_number = { "number", "1e999" },
)]
fn host_starts_and_follows_the_store_beside_odd_entries(name: &str, odd: &str) {
    task::block_on(async {
        let (site, host) = start(&format!("odd-start-{name}"), odd, put_odd_objects).await;

        let before = store_calls(&host).await;
        site.store
            .put("config", "main", config(5, "/new/"), Value::Null);
        task::sleep(PROPAGATION_LIMIT).await;
        let calls = store_calls(&host).await - before;
        let new = send(host.callers, Method::Post, "/new/x", "new").await;

        assert_eq!(status(&new), 200);
        assert!(calls <= CALL_LIMIT, "{calls} calls");
    });
}

// Guards against hosts that stop following the store when an odd entry appears in it.
#[parameterized(
    nested = { "nested", &deeply_nested() },
    huge_number = { "number", "1e999" },
)]
fn host_follows_the_store_when_odd_entries_appear(name: &str, odd: &str) {
    task::block_on(async {
        let (site, host) = start(&format!("odd-later-{name}"), odd, |_| ()).await;

        put_odd_objects(&site);
        let before = store_calls(&host).await;
        task::sleep(PROPAGATION_LIMIT).await;
        let calls = store_calls(&host).await - before;
        site.store
            .put("config", "main", config(5, "/new/"), Value::Null);
        site.servers[1].set_draining(true);
        task::sleep(PROPAGATION_LIMIT).await;
        let new = send(host.callers, Method::Post, "/new/x", "new").await;
        let read = send(host.callers, Method::Get, "/read/x", "read").await;

        assert_eq!(status(&new), 503, "the server drains");
        assert_eq!(run_count(&site, "new"), 0);
        assert_eq!(status(&read), 200);
        assert!(calls <= CALL_LIMIT, "{calls} calls");
    });
}

// Guards against followers that are cut off from the leader, since it relays names of any length.
#[test]
fn followers_are_told_of_changes_beside_names_of_any_length() {
    task::block_on(async {
        let (site, leader) = start("odd-names-leader", "7", |_| ()).await;
        let follower = add_host_at("odd-names-follower", site.store.address(), "host-2").await;
        let long = "x".repeat(1 << 20);
        for kind in ["servers", "evacuations"] {
            site.store.put(kind, &long, json!({}), Value::Null);
            site.store
                .put(kind, "line\r\nbreak", json!({}), Value::Null);
            site.store.remove(kind, &long);
            site.store.put(kind, &long, json!({}), Value::Null);
        }
        task::sleep(PROPAGATION_LIMIT).await;

        let before = store_calls(&follower).await;
        task::sleep(PROPAGATION_LIMIT).await;
        let calls = store_calls(&follower).await - before;
        site.servers[1].set_draining(true);
        task::sleep(PROPAGATION_LIMIT).await;
        let mut statuses = Vec::new();
        for host in [&leader, &follower] {
            let paid = send(host.callers, Method::Post, "/pay/x", "paid").await;
            let read = send(host.callers, Method::Get, "/read/x", "read").await;
            statuses.push([status(&paid), status(&read)]);
        }

        assert_eq!(statuses, [[503, 200], [503, 200]]);
        assert!(calls <= FOLLOWER_CALL_LIMIT, "{calls} calls");
    });
}

// Guards against followers that are cut off from the leader, since it relays the name of every odd entry.
#[test]
fn followers_are_told_of_changes_beside_any_number_of_odd_entries() {
    task::block_on(async {
        let (site, leader) = start("odd-many-leader", "7", |_| ()).await;
        let follower = add_host_at("odd-many-follower", site.store.address(), "host-2").await;
        let before = store_calls(&follower).await;

        for round in 0..4 {
            for number in 0..MANY_ENTRIES {
                let name = format!("{number:0>250}");
                site.store
                    .put("servers", &name, json!({ "Round": round }), Value::Null);
            }
            task::sleep(PROPAGATION_LIMIT).await;
        }
        let calls = store_calls(&follower).await - before;
        site.servers[1].set_draining(true);
        task::sleep(PROPAGATION_LIMIT).await;
        let mut statuses = Vec::new();
        for host in [&leader, &follower] {
            let paid = send(host.callers, Method::Post, "/pay/x", "paid").await;
            statuses.push(status(&paid));
        }

        assert_eq!(statuses, [503, 503]);
        assert!(calls <= FOLLOWER_CALL_LIMIT, "{calls} calls");
    });
}

// Guards against a good server that is dropped, with its keys, because its entry was odd for a moment.
#[parameterized(
    unreadable = { "unreadable", "1e999" },
    of_another_type = { "type", "7" },
)]
fn server_whose_entry_is_odd_for_a_moment_keeps_its_requests_and_keys(name: &str, odd: &str) {
    task::block_on(async {
        let (site, host) = start(&format!("odd-moment-{name}"), odd, |_| ()).await;
        let mut served = 0;

        for round in 0..4 {
            for id in ["catalogue-0", "orders-0"] {
                site.store.put(
                    "servers",
                    id,
                    json!({ "Address": PLACEHOLDER }),
                    Value::Null,
                );
            }
            for number in 0..20 {
                let id = format!("{round}-{number}");
                let read = send(host.callers, Method::Get, "/read/x", &format!("r{id}")).await;
                let paid = send(host.callers, Method::Post, "/pay/x", &format!("p{id}")).await;
                served += usize::from(status(&read) == 200) + usize::from(status(&paid) == 200);
                task::sleep(Duration::from_millis(20)).await;
            }
            site.servers
                .iter()
                .for_each(|server| server.set_draining(false));
            task::sleep(Duration::from_millis(500)).await;
        }

        assert_eq!(served, 160);
    });
}
