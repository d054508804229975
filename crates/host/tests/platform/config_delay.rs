//! How soon a configuration is in force while the store or the leader is disturbed.

use std::time::{Duration, Instant};

use amaranthshunt_support::platform::StoreFault;
use async_std::task;
use http_types::Method;
use rustix::process::Signal;
use serde_json::Value;

use crate::PROPAGATION_LIMIT;
use crate::site::{SecondHost, Site, add_host, config, send, signal, start_site, status};

/// Time after the end of a disturbance at which the propagation limit holds again.
const CONTACT_TIME: Duration = Duration::from_millis(4_000);
/// Duration of an outage after which hosts probe the store at intervals.
const LONG_OUTAGE: Duration = Duration::from_millis(6_000);
/// Interval of a host's checks in these tests.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A site whose second host follows the first.
async fn site_with_follower(name: &str) -> (Site, SecondHost) {
    let site = start_site(name).await;
    let host = add_host(&site, &format!("{name}-second")).await;
    (site, host)
}

/// Sends to the prefix that the new configuration has added, until it is served.
async fn time_until_served(host: &SecondHost, prefix: &str, since: Instant) -> Duration {
    let path = format!("{prefix}x");
    while status(&send(host.callers, Method::Post, &path, "request").await) != 200 {
        assert!(since.elapsed() < 3 * CONTACT_TIME, "{prefix} is not served");
        task::sleep(POLL_INTERVAL).await;
    }
    since.elapsed()
}

// Guards against CONFIG: after an outage of the store, hosts answered by an old configuration for
// up to 6 s, since a call that the outage had swallowed and a watch by another kind held them up.
#[test]
fn configuration_is_in_force_in_time_after_a_store_outage_that_swallowed_a_call() {
    task::block_on(async {
        let (site, host) = site_with_follower("config-outage").await;
        site.store.set_fault(StoreFault::Silent);
        task::sleep(LONG_OUTAGE).await;
        let calls = host.store.chunks_to_target();
        while host.store.chunks_to_target() == calls {
            task::sleep(POLL_INTERVAL).await;
        }

        site.store.set_fault(StoreFault::None);
        let outage_end = Instant::now();
        site.store
            .put("config", "main", config(5, "/new/"), Value::Null);
        let delay = time_until_served(&host, "/new/", outage_end).await;

        assert!(delay < CONTACT_TIME, "in force after {delay:?}");
    });
}

// Guards against CONFIG: a follower that had not called the store for long answered by an old
// configuration after the loss of its leader, since its idle connections had gone silent unnoticed.
#[test]
fn configuration_is_in_force_in_time_when_idle_store_connections_have_gone_silent() {
    task::block_on(async {
        let (site, host) = site_with_follower("config-silent").await;
        host.store.silence_open_connections();
        task::sleep(CONTACT_TIME).await;

        signal(&site, Signal::STOP);
        let acknowledged = Instant::now();
        site.store
            .put("config", "main", config(5, "/new/"), Value::Null);
        let delay = time_until_served(&host, "/new/", acknowledged).await;

        assert!(delay < PROPAGATION_LIMIT, "in force after {delay:?}");
    });
}
