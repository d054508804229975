//! Tenants with API keys and quotas, at two hosts.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use amaranthshunt_support::platform::Execution;
use async_std::net::TcpStream;
use async_std::task;
use http_types::{Method, Request, Response, Url};
use serde_json::{Value, json};

use crate::site::{
    Site, add_host_with, config, settings, spawn, start_site_without_host, status, wait_until,
};

/// Requests per second of the tenant with a quota.
const PER_SECOND: f64 = 4.0;
const BURST: f64 = 2.0;
/// The window of the check, its fraction and its number of requests in excess, as in the settings.
const WINDOW: Duration = Duration::from_secs(5);
const OVERSHOOT: f64 = 0.1;
const SLACK: f64 = 20.0;
/// Interval between two requests of a tenant that sends too many.
const FLOOD_INTERVAL: Duration = Duration::from_millis(25);
/// Interval between two requests of a tenant that sends few.
const CALM_INTERVAL: Duration = Duration::from_millis(500);

/// The settings of a host with the bounds of quotas.
fn quota_settings(text: &str) -> String {
    let bounds = format!(
        r#""WarmupSlack=5","QuotaWindowS={}","QuotaOvershoot={OVERSHOOT}","QuotaSlack={SLACK}"]"#,
        WINDOW.as_secs()
    );
    text.replace(r#""WarmupSlack=5"]"#, &bounds)
}

/// A site with the tenants `flood`, which has a quota, and `calm`, which has the same.
async fn start_tenant_site(name: &str) -> Site {
    let mut site = start_site_without_host(name).await;
    let mut with_tenants = config(1, "/pay/");
    let tenant = |key: &str| {
        json!({
            "ApiKeys": [key], "Priority": 1, "RatePerS": PER_SECOND, "Burst": BURST, "AllowedRegions": [],
        })
    };
    with_tenants["Tenants"] = json!({ "flood": tenant("key-flood"), "calm": tenant("key-calm") });
    site.store.put("config", "main", with_tenants, Value::Null);
    let text = quota_settings(&settings(site.store.address(), site.callers, site.ready));
    site.child = Some(spawn(&site.folder, &text));
    let callers = site.callers;
    wait_until("the host serves a tenant", async || {
        status(&pay(callers, "start", Some("key-calm"), None).await) == 200
    })
    .await;
    site
}

async fn pay(
    host: SocketAddr,
    id: &str,
    key: Option<&str>,
    claimed: Option<&str>,
) -> Option<Response> {
    let url = Url::parse(&format!("http://{host}/pay/x")).ok()?;
    let mut request = Request::new(Method::Post, url);
    request.insert_header("Host", "shop");
    request.insert_header("Request-Id", id);
    request.insert_header("Request-Deadline-Ms", "3000");
    if let Some(key) = key {
        request.insert_header("Authorization", format!("Bearer {key}"));
    }
    if let Some(claimed) = claimed {
        request.insert_header("Tenant-Id", claimed);
    }
    request.set_body("an order");
    let stream = TcpStream::connect(host).await.ok()?;
    async_h1::connect(stream, request).await.ok()
}

/// Sends requests of a tenant to two hosts in turn; returns how many got 200, and how many 429 with a
/// time to come back.
async fn send_for(
    hosts: [SocketAddr; 2],
    tenant: &'static str,
    interval: Duration,
    time: Duration,
) -> [usize; 2] {
    let start = Instant::now();
    let mut requests = Vec::new();
    while start.elapsed() < time {
        let number = requests.len();
        let host = hosts[number % 2];
        requests.push(task::spawn(async move {
            let (id, key) = (format!("{tenant}-{number}"), format!("key-{tenant}"));
            pay(host, &id, Some(&key), None).await
        }));
        task::sleep(interval).await;
    }
    let mut counts = [0, 0];
    for request in requests {
        let response = request.await;
        let returns = response
            .as_ref()
            .is_some_and(|response| response.header("Retry-After").is_some());
        counts[0] += usize::from(status(&response) == 200);
        counts[1] += usize::from(status(&response) == 429 && returns);
    }
    counts
}

fn executions_of(site: &Site, tenant: &str) -> Vec<Execution> {
    let mut executions = site.recorder.executions();
    executions.retain(|run| run.tenant.as_deref() == Some(tenant));
    executions
}

// Guards against a tenant that takes the servers from others, and against hosts that each allow all of
// its quota.
#[test]
fn tenant_beyond_its_quota_is_refused_and_another_one_is_served() {
    task::block_on(async {
        let site = start_tenant_site("tenant-quota").await;
        let second = add_host_with(&site, "tenant-quota-second", quota_settings, async |host| {
            status(&pay(host, "second", Some("key-calm"), None).await) == 200
        })
        .await;
        let hosts = [site.callers, second.callers];

        let flood = task::spawn(send_for(hosts, "flood", FLOOD_INTERVAL, 3 * WINDOW));
        let calm = send_for(hosts, "calm", CALM_INTERVAL, 3 * WINDOW).await;
        let [served, refused] = flood.await;

        let times: Vec<Instant> = executions_of(&site, "flood")
            .iter()
            .map(|run| run.began)
            .collect();
        let counts = times.iter().map(|from| {
            let within = |at: &&Instant| *at >= from && at.duration_since(*from) < WINDOW;
            times.iter().filter(within).count()
        });
        let most = counts.max().unwrap_or_default() as f64;
        let planned = PER_SECOND * WINDOW.as_secs_f64() + BURST;
        let allowed = planned * (1.0 + OVERSHOOT) + SLACK;
        assert!(most <= allowed, "{most} of {allowed}");
        assert!(most >= planned / 2.0, "the quota is not used: {most}");
        assert!(refused > served, "{served} served, {refused} refused");
        assert_eq!(calm[1], 0, "{calm:?}");
    });
}

// Guards against a caller that acts as another tenant, and against keys that leave the hosts.
#[test]
fn server_gets_the_name_of_the_tenant_and_not_its_key() {
    task::block_on(async {
        let site = start_tenant_site("tenant-key").await;

        let claimed = pay(site.callers, "t1", Some("key-flood"), Some("calm")).await;
        let unknown = pay(site.callers, "t2", Some("key-none"), Some("calm")).await;
        let missing = pay(site.callers, "t3", None, Some("calm")).await;

        let statuses = [status(&claimed), status(&unknown), status(&missing)];
        assert_eq!(statuses, [200, 401, 401]);
        let executions = site.recorder.executions();
        let of_request = |id: &str| executions.iter().find(|run| run.request == id);
        let run = of_request("t1").unwrap();
        assert_eq!(run.tenant.as_deref(), Some("flood"));
        assert!(executions.iter().all(|run| !run.has_key));
        assert!(of_request("t2").is_none() && of_request("t3").is_none());
    });
}
