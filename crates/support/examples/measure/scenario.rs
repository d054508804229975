//! What is done to a deployment while the load runs.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use amaranthshunt_clients::{HttpClient, StoreClient};
use amaranthshunt_core::record::{PlacementRecord, Subject};
use amaranthshunt_support::{
    BackendOptions, BackendStandIn, Deployment, Journal, Load, LoadOptions, Shape, free_address,
};
use async_std::task;

use super::report::Report;

/// Servers that take the direct load.
const DIRECT_SERVERS: usize = 10;

/// A named way to disturb a deployment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Scenario {
    Steady,
    OwnerLoss,
    HostLoss,
    BothLoss,
    StoreOutage,
    OwnerLossInOutage,
    PlannedStop,
    DomainOutAndBack,
    ColdStart,
    Stragglers,
    Overload,
}

/// A run that is asked for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Wanted {
    pub(crate) scenario: Scenario,
    pub(crate) seed: u64,
    pub(crate) rate: f64,
    pub(crate) seconds: f64,
}

impl Scenario {
    pub(crate) const ALL: [Self; 11] = [
        Self::Steady,
        Self::OwnerLoss,
        Self::HostLoss,
        Self::BothLoss,
        Self::StoreOutage,
        Self::OwnerLossInOutage,
        Self::PlannedStop,
        Self::DomainOutAndBack,
        Self::ColdStart,
        Self::Stragglers,
        Self::Overload,
    ];

    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::OwnerLoss => "owner-loss",
            Self::HostLoss => "host-loss",
            Self::BothLoss => "both-loss",
            Self::StoreOutage => "store-outage",
            Self::OwnerLossInOutage => "owner-loss-in-outage",
            Self::PlannedStop => "planned-stop",
            Self::DomainOutAndBack => "domain-out-and-back",
            Self::ColdStart => "cold-start",
            Self::Stragglers => "stragglers",
            Self::Overload => "overload",
        }
    }

    pub(crate) fn named(name: &str) -> Option<Self> {
        Self::ALL
            .into_iter()
            .find(|scenario| scenario.name() == name)
    }
}

/// Runs a scenario and measures it.
pub(crate) async fn run(wanted: Wanted) -> Result<Report, Box<dyn std::error::Error>> {
    let program = std::env::current_exe()?;
    let mut deployment = Deployment::start(shape_for(wanted.scenario), &program).await?;
    task::sleep(Duration::from_secs(2)).await;
    let before = placements(&deployment).await?;
    let cpu_before = deployment.cpu();
    let bytes_before = deployment.control_bytes();
    let load = Load::new(deployment.journal.clone());
    let options = load_options(&deployment, wanted);
    let started = Instant::now();
    let sending = task::spawn(load.run(options));
    let direct = task::spawn(direct_latency(deployment.shape.clone(), wanted));
    disturb(&mut deployment, wanted, &program).await?;
    let report = sending.await;
    let took = started.elapsed();
    let cpu = deployment.cpu().saturating_sub(cpu_before);
    let bytes = deployment.control_bytes().saturating_sub(bytes_before);
    let host_seconds = took.as_secs_f64() * deployment.callers().len() as f64;
    let after = placements(&deployment).await?;
    let latency = report.latency();
    let (store_reads, store_writes, _) = deployment.store.calls();
    let journal = &deployment.journal;
    let (double_runs, double_owners) = (journal.double_runs(), journal.double_owners());
    let overruns = journal.overruns();
    let imbalance = imbalance(&deployment);
    let direct = direct.await;
    Ok(Report {
        scenario: wanted.scenario.name().to_owned(),
        seed: wanted.seed,
        requests: latency.len() + report.count("not-run") + report.count("unknown"),
        answered: report.count("answer"),
        not_run: report.count("not-run"),
        unknown: report.count("unknown"),
        cut: report.cut,
        p50_us: latency.value_at_quantile(0.5),
        p99_us: latency.value_at_quantile(0.99),
        p999_us: latency.value_at_quantile(0.999),
        direct_p50_us: direct.map(|(p50, _)| p50),
        direct_p99_us: direct.map(|(_, p99)| p99),
        longest_wait_ms: latency.max() / 1_000,
        imbalance,
        churn: churn(&before, &after),
        double_runs,
        double_owners,
        false_not_run: report
            .entries
            .values()
            .map(|tally| tally.false_refusals)
            .sum(),
        overruns,
        cpu_percent: cpu.as_secs_f64() / took.as_secs_f64() * 100.0,
        control_bytes_host_second: (bytes as f64 / host_seconds) as u64,
        store_reads,
        store_writes,
    })
}

/// The size of the deployment; an overload uses slow servers, so that the machine bears it.
fn shape_for(scenario: Scenario) -> Shape {
    let mut shape = Shape::one_region();
    if scenario == Scenario::Overload {
        shape.service = Duration::from_millis(40);
    }
    shape
}

fn load_options(deployment: &Deployment, wanted: Wanted) -> LoadOptions {
    let rate = match wanted.scenario {
        Scenario::Overload => capacity(deployment) * 3.0,
        _ => wanted.rate,
    };
    LoadOptions {
        hosts: deployment.callers(),
        entries: vec![
            ("catalogue".to_owned(), false, 3),
            ("confirmation".to_owned(), true, 1),
        ],
        rate,
        span: Duration::from_secs_f64(wanted.seconds),
        keys: 40,
        deadline: Duration::from_millis(2_500),
        sendings: if wanted.scenario == Scenario::Overload {
            1
        } else {
            4
        },
        seed: wanted.seed,
    }
}

/// Requests a second that the backend servers bear together.
fn capacity(deployment: &Deployment) -> f64 {
    let slots = deployment.backends.len() as f64 * f64::from(deployment.shape.slots);
    slots / deployment.shape.service.as_secs_f64()
}

async fn disturb(
    deployment: &mut Deployment,
    wanted: Wanted,
    program: &Path,
) -> Result<(), Box<dyn std::error::Error>> {
    let third = Duration::from_secs_f64(wanted.seconds / 3.0);
    let domain = Subject::Domain(deployment.shape.domains[0].parse()?);
    task::sleep(third).await;
    match wanted.scenario {
        Scenario::Steady | Scenario::Overload => {}
        Scenario::OwnerLoss => deployment.backends[0].kill(),
        Scenario::HostLoss => deployment.kill_host(0),
        Scenario::BothLoss => {
            deployment.backends[0].kill();
            deployment.kill_host(0);
        }
        Scenario::StoreOutage => {
            deployment.store.set_down(true);
            task::sleep(third).await;
            deployment.store.set_down(false);
        }
        Scenario::OwnerLossInOutage => {
            deployment.store.set_down(true);
            task::sleep(Duration::from_millis(500)).await;
            deployment.backends[0].kill();
            task::sleep(third).await;
            deployment.store.set_down(false);
        }
        Scenario::PlannedStop => {
            deployment.stop_host(0);
            task::sleep(third).await;
            if !deployment.has_ended(0) {
                return Err("the host did not end".into());
            }
            deployment.restart_host(0, program)?;
        }
        Scenario::DomainOutAndBack => {
            deployment.order(&domain, true).await?;
            task::sleep(third).await;
            deployment.order(&domain, false).await?;
        }
        Scenario::ColdStart => {
            deployment.backends[0].kill();
            task::sleep(Duration::from_millis(100)).await;
            deployment.backends[0].restart().await?;
        }
        Scenario::Stragglers => {
            deployment.backends[0].set_slowdown(10);
            task::sleep(third).await;
            deployment.backends[0].set_slowdown(1);
        }
    }
    Ok(())
}

/// Latency of the same load sent directly to servers of the same kind, at the same time.
///
/// The two loads share whatever else the machine does; the servers are apart, so that neither
/// load waits for the other's slots.
async fn direct_latency(shape: Shape, wanted: Wanted) -> Option<(u64, u64)> {
    if wanted.scenario != Scenario::Steady {
        return None;
    }
    let servers = start_direct(&shape).await?;
    let http = Arc::new(HttpClient::default());
    let gap = Duration::from_secs_f64(1.0 / wanted.rate);
    let started = Instant::now();
    let mut sendings = Vec::new();
    for number in 0..(wanted.rate * wanted.seconds) as u32 {
        task::sleep((gap * number).saturating_sub(started.elapsed())).await;
        let address = servers[number as usize % servers.len()].options().address;
        sendings.push(task::spawn(send_directly(http.clone(), address)));
    }
    let mut histogram = hdrhistogram::Histogram::<u64>::new(3).ok()?;
    for sending in sendings {
        histogram.record(sending.await?.as_micros() as u64).ok()?;
    }
    Some((
        histogram.value_at_quantile(0.5),
        histogram.value_at_quantile(0.99),
    ))
}

/// Servers that check nothing and belong to no host.
async fn start_direct(shape: &Shape) -> Option<Vec<BackendStandIn>> {
    let journal = Arc::new(Journal::default());
    let mut servers = Vec::new();
    for number in 0..DIRECT_SERVERS {
        let options = BackendOptions {
            name: format!("direct-{number}"),
            entry: "direct".to_owned(),
            address: free_address(),
            checks: false,
            slots: shape.slots as usize,
            cold_slots: shape.slots as usize,
            warm_up: Duration::ZERO,
            service: shape.service,
        };
        let server = BackendStandIn::start(options, journal.clone()).await;
        servers.push(server.ok()?);
    }
    Some(servers)
}

async fn send_directly(http: Arc<HttpClient>, address: SocketAddr) -> Option<Duration> {
    let url = http_types::Url::parse(&format!("http://{address}/run/k0")).ok()?;
    let mut request = http_types::Request::new(http_types::Method::Post, url);
    for (name, value) in [("order-shard", "0"), ("order-token", "0")] {
        request.insert_header(name, value);
    }
    request.insert_header("order-deadline", u64::MAX.to_string());
    request.set_body("k0");
    let started = Instant::now();
    let sent = http.send(address, request, Duration::from_secs(1)).await;
    sent.ok().map(|_| started.elapsed())
}

/// Completed work of the busiest read server over the mean.
fn imbalance(deployment: &Deployment) -> f64 {
    let completed: Vec<u64> = deployment
        .backends
        .iter()
        .filter(|backend| backend.options().entry == "catalogue")
        .map(BackendStandIn::completed)
        .collect();
    let total: u64 = completed.iter().sum();
    let busiest = completed.iter().max().copied().unwrap_or(0);
    busiest as f64 * completed.len() as f64 / total.max(1) as f64
}

async fn placements(
    deployment: &Deployment,
) -> Result<Vec<PlacementRecord>, Box<dyn std::error::Error>> {
    let client = StoreClient::new(deployment.store.address(), Duration::from_secs(2));
    let objects = client.list("cfg/placement/").await?;
    let records = objects
        .iter()
        .filter_map(|object| serde_json::from_slice(object.value.as_ref()?).ok());
    Ok(records.collect())
}

/// Changes of owners over the number of shards.
fn churn(before: &[PlacementRecord], after: &[PlacementRecord]) -> f64 {
    let epochs = |records: &[PlacementRecord]| -> u64 {
        let shards = records.iter().flat_map(|record| &record.shards);
        shards.map(|shard| shard.epoch.0).sum()
    };
    let count: usize = after.iter().map(|record| record.shards.len()).sum();
    epochs(after).saturating_sub(epochs(before)) as f64 / count.max(1) as f64
}
