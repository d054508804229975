//! Hosts that lose the leader while others hear it, and leaders that another host replaces meanwhile.

use std::time::Duration;

use amaranthshunt_support::free_address;
use amaranthshunt_support::platform::{FaultProxy, LinkFault};
use async_std::task;
use http_types::Method;
use serde_json::{Value, json};

use crate::site::{SecondHost, Site, add_host, add_host_at, send, start_site, status, wait_until};

/// Time within which a leader learns of a later term, and hosts follow the same one again.
const AGREEMENT_LIMIT: Duration = Duration::from_secs(8);

/// The leader, a host that follows it, and one that reaches the leader through a proxy.
struct LeaderSite {
    site: Site,
    follower: SecondHost,
    far_host: SecondHost,
    link: FaultProxy,
}

impl LeaderSite {
    async fn start(name: &str) -> Self {
        let site = start_site(name).await;
        let follower = add_host(&site, &format!("{name}-follower")).await;
        let leader = record(&site)["address"].as_str().unwrap().to_owned();
        let link = FaultProxy::start(free_address(), leader.parse().unwrap()).await;
        let link = link.unwrap();
        let view = free_address();
        let translations = vec![(leader, link.address().to_string())];
        site.store
            .serve_translated(view, translations)
            .await
            .unwrap();
        let far_host = add_host_at(&format!("{name}-far"), view, "host-2").await;
        Self {
            site,
            follower,
            far_host,
            link,
        }
    }
}

fn record(site: &Site) -> Value {
    site.store.spec("placements", "main")
}

fn leader(site: &Site) -> Value {
    record(site)["holder"].clone()
}

async fn read_status(host: &SecondHost) -> u16 {
    status(&send(host.callers, Method::Get, "/read/x", "read").await)
}

// Guards against OWNER: a host that lost the leader for the first time since its start replaced it, though
// another one still heard it, and both granted keys.
#[test]
fn a_leader_that_another_host_hears_is_not_replaced() {
    task::block_on(async {
        let site = LeaderSite::start("leader-heard").await;

        site.link.set_fault(LinkFault::Reset);
        task::sleep(Duration::from_secs(6)).await;

        assert_eq!(leader(&site.site), "host-0");
        assert_eq!(read_status(&site.far_host).await, 200);
    });
}

// Guards against refusals in a cut: a host that did not hear the leader kept to its last table, though
// another host knew a later one.
#[test]
fn a_host_that_does_not_hear_the_leader_learns_of_moved_keys_from_one_that_does() {
    task::block_on(async {
        let mut site = LeaderSite::start("leader-table").await;
        site.site.add_server("catalogue", "catalogue-1").await;
        task::sleep(Duration::from_secs(2)).await;

        site.link.set_fault(LinkFault::Reset);
        task::sleep(Duration::from_secs(1)).await;
        site.site.server("catalogue-0").set_draining(true);
        wait_until("the follower is served by the other server", async || {
            read_status(&site.follower).await == 200
                && site.site.recorder.executions().last().unwrap().server == "catalogue-1/1"
        })
        .await;
        task::sleep(Duration::from_secs(3)).await;
        let served = read_status(&site.far_host).await;

        assert_eq!(served, 200);
        assert_eq!(leader(&site.site), "host-0");
        assert_eq!(site.site.recorder.violations(), Vec::new());
    });
}

// Guards against OWNER: a leader that its followers confirmed never looked at the record, which named a
// later one.
#[test]
fn a_leader_that_its_followers_confirm_makes_way_for_a_later_term() {
    task::block_on(async {
        let site = LeaderSite::start("leader-late").await;
        // The leader has nothing left to write, which would show it the later record.
        task::sleep(Duration::from_secs(6)).await;
        let mut later = record(&site.site);
        let term = later["term"].as_u64().unwrap();
        later["term"] = json!(term + 1);
        later["holder"] = json!("host-9");
        later["address"] = json!(free_address().to_string());

        site.site
            .store
            .put("placements", "main", later, Value::Null);
        task::sleep(AGREEMENT_LIMIT).await;

        let after = record(&site.site);
        assert!(after["term"].as_u64().unwrap() > term + 1, "{after}");
        assert_ne!(after["holder"], "host-9");
        assert_eq!(read_status(&site.follower).await, 200);
        assert_eq!(site.site.recorder.violations(), Vec::new());
    });
}
