//! Hosts that reach no server, while callers, the store and the other hosts still reach them.

use std::time::Duration;

use amaranthshunt_support::free_address;
use amaranthshunt_support::platform::{FaultProxy, LinkFault};
use async_std::task;
use http_types::Method;

use crate::site::{
    SecondHost, Site, add_host_at, run_count, send, start_site_without_host, status,
};

/// Time after the beginning of a cut from which callers must be served again.
const CONTACT_TIME: Duration = Duration::from_millis(4_000);
/// Requests of each kind that are sent while the host is cut.
const REQUESTS: usize = 30;

/// Two hosts, of which the first one reaches the servers through proxies.
struct CutSite {
    site: Site,
    links: Vec<FaultProxy>,
    cut_host: SecondHost,
    other_host: SecondHost,
}

impl CutSite {
    /// Starts the site; the host that can be cut leads if `leads` is set.
    async fn start(name: &str, leads: bool) -> Self {
        let site = start_site_without_host(name).await;
        let mut links = Vec::new();
        let mut translations = Vec::new();
        for server in &site.servers {
            let address = server.options().address;
            let link = FaultProxy::start(free_address(), address).await.unwrap();
            translations.push((address.to_string(), link.address().to_string()));
            links.push(link);
        }
        let view = free_address();
        site.store
            .serve_translated(view, translations)
            .await
            .unwrap();
        let names = (format!("{name}-cut"), format!("{name}-other"));
        let (cut_host, other_host) = if leads {
            let cut_host = add_host_at(&names.0, view, "host-1").await;
            (
                cut_host,
                add_host_at(&names.1, site.store.address(), "host-2").await,
            )
        } else {
            let other_host = add_host_at(&names.1, site.store.address(), "host-2").await;
            (add_host_at(&names.0, view, "host-1").await, other_host)
        };
        Self {
            site,
            links,
            cut_host,
            other_host,
        }
    }

    fn set_links(&self, fault: LinkFault) {
        for link in &self.links {
            link.set_fault(fault);
        }
    }

    /// Sends requests with and without keys to a host; returns how many were served.
    async fn count_served(&self, host: &SecondHost, prefix: &str) -> usize {
        let mut served = 0;
        for index in 0..REQUESTS {
            let (read, paid) = (format!("{prefix}r{index}"), format!("{prefix}p{index}"));
            let read = send(host.callers, Method::Get, "/read/x", &read).await;
            let paid = send(host.callers, Method::Post, "/pay/x", &paid).await;
            served += usize::from(status(&read) == 200) + usize::from(status(&paid) == 200);
            task::sleep(Duration::from_millis(30)).await;
        }
        served
    }

    fn assert_run_once(&self, prefix: &str) {
        for index in 0..REQUESTS {
            let id = format!("{prefix}p{index}");
            assert!(run_count(&self.site, &id) <= 1, "{id} ran twice");
        }
    }
}

// Guards against RECOVER: a host that reached no server refused its callers until the cut ended,
// though other hosts could have served them.
#[test]
fn requests_to_a_host_that_reaches_no_server_are_served_through_another() {
    task::block_on(async {
        let site = CutSite::start("stranded-follower", false).await;

        site.set_links(LinkFault::Refuse);
        task::sleep(CONTACT_TIME).await;
        let served = site.count_served(&site.cut_host, "cut").await;
        site.set_links(LinkFault::None);
        task::sleep(Duration::from_secs(1)).await;
        let served_later = site.count_served(&site.cut_host, "healed").await;

        assert!(served >= 2 * REQUESTS - 3, "{served} served");
        assert!(served_later >= 2 * REQUESTS - 3, "{served_later} served");
        site.assert_run_once("cut");
        assert_eq!(site.site.recorder.violations(), Vec::new());
    });
}

// Guards against RECOVER and loss of all keys: a leader that reached no server went on leading, and
// all leases ran out at servers that the other hosts reached.
#[test]
fn leader_that_reaches_no_server_makes_way_for_one_that_does() {
    task::block_on(async {
        let site = CutSite::start("stranded-leader", true).await;

        site.set_links(LinkFault::Refuse);
        task::sleep(CONTACT_TIME + Duration::from_secs(2)).await;
        let served_by_other = site.count_served(&site.other_host, "other").await;
        let served = site.count_served(&site.cut_host, "cut").await;

        assert!(
            served_by_other >= 2 * REQUESTS - 3,
            "{served_by_other} served"
        );
        assert!(served >= 2 * REQUESTS - 3, "{served} served");
        site.assert_run_once("cut");
        assert_eq!(site.site.recorder.violations(), Vec::new());
    });
}

// Guards against DRAIN: a host that had passed on a helper's response of a leaving server sent requests
// there itself, once it reached servers again.
#[test]
fn host_learns_from_a_helpers_response_that_a_server_leaves() {
    task::block_on(async {
        let site = CutSite::start("stranded-leaving", false).await;
        site.set_links(LinkFault::Refuse);
        task::sleep(CONTACT_TIME).await;
        site.site.server("orders-0").set_leaving(Some("1"));
        let told = site.count_served(&site.cut_host, "told").await;

        site.set_links(LinkFault::None);
        task::sleep(CONTACT_TIME).await;
        site.count_served(&site.cut_host, "late").await;

        assert!(told > REQUESTS, "{told} served, so none without a key");
        let arrivals = site.site.recorder.arrivals();
        let late = arrivals
            .iter()
            .filter(|arrival| arrival.request.starts_with("latep"));
        assert_eq!(late.count(), 0);
    });
}
