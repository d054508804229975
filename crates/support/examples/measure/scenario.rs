//! The scenarios: which faults a deployment gets while the load runs, and what is measured.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use amaranthshunt_clients::{HttpClient, StoreClient};
use amaranthshunt_core::record::{PlacementRecord, Subject};
use amaranthshunt_support::{
    BackendOptions, Deployment, DeploymentOptions, FakeBackend, Journal, Load, LoadOptions,
    free_address,
};
use async_std::task;

use super::report::Report;

/// Number of servers that receive the direct load.
const DIRECT_SERVERS: usize = 10;

/// A kind of fault that a deployment gets under load.
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

/// Options of a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunOptions {
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

    pub(crate) fn from_name(name: &str) -> Option<Self> {
        Self::ALL
            .into_iter()
            .find(|scenario| scenario.name() == name)
    }
}

/// Runs a scenario and collects its figures.
pub(crate) async fn run(options: RunOptions) -> Result<Report, Box<dyn std::error::Error>> {
    let program = std::env::current_exe()?;
    let mut deployment =
        Deployment::start(deployment_options_for(options.scenario), &program).await?;
    task::sleep(Duration::from_secs(2)).await;
    let before = placements(&deployment).await?;
    let cpu_before = deployment.cpu_time();
    let bytes_before = deployment.control_bytes();
    let load = Load::new(deployment.journal.clone());
    let load_options = load_options(&deployment, options);
    let started = Instant::now();
    let load_task = task::spawn(load.run(load_options));
    let direct_task = task::spawn(direct_latency(deployment.options.clone(), options));
    inject_fault(&mut deployment, options, &program).await?;
    let report = load_task.await;
    let elapsed = started.elapsed();
    let cpu_time = deployment.cpu_time().saturating_sub(cpu_before);
    let bytes = deployment.control_bytes().saturating_sub(bytes_before);
    let host_seconds = elapsed.as_secs_f64() * deployment.caller_addresses().len() as f64;
    let after = placements(&deployment).await?;
    let latency = report.latency();
    let (store_reads, store_writes, _) = deployment.store.calls();
    let journal = &deployment.journal;
    let (double_runs, double_owners) = (journal.double_runs(), journal.double_owners());
    let overruns = journal.overruns();
    let imbalance = imbalance(&deployment);
    let direct_latencies = direct_task.await;
    Ok(Report {
        scenario: options.scenario.name().to_owned(),
        seed: options.seed,
        requests: latency.len() + report.count("not-run") + report.count("unknown"),
        answered: report.count("answer"),
        not_run: report.count("not-run"),
        unknown: report.count("unknown"),
        cut: report.cut,
        p50_us: latency.value_at_quantile(0.5),
        p99_us: latency.value_at_quantile(0.99),
        p999_us: latency.value_at_quantile(0.999),
        direct_p50_us: direct_latencies.map(|(p50, _)| p50),
        direct_p99_us: direct_latencies.map(|(_, p99)| p99),
        longest_wait_ms: latency.max() / 1_000,
        imbalance,
        churn: churn(&before, &after),
        double_runs,
        double_owners,
        false_not_run: report
            .entries
            .values()
            .map(|entry_stats| entry_stats.false_refusals)
            .sum(),
        overruns,
        cpu_percent: cpu_time.as_secs_f64() / elapsed.as_secs_f64() * 100.0,
        control_bytes_host_second: (bytes as f64 / host_seconds) as u64,
        store_reads,
        store_writes,
    })
}

/// The deployment for a scenario; servers are slow in `Overload`, so that this machine can send
/// more requests than they can process.
fn deployment_options_for(scenario: Scenario) -> DeploymentOptions {
    let mut deployment_options = DeploymentOptions::one_region();
    if scenario == Scenario::Overload {
        deployment_options.service_time = Duration::from_millis(40);
    }
    deployment_options
}

fn load_options(deployment: &Deployment, options: RunOptions) -> LoadOptions {
    let rate = match options.scenario {
        Scenario::Overload => capacity(deployment) * 3.0,
        _ => options.rate,
    };
    LoadOptions {
        hosts: deployment.caller_addresses(),
        entries: vec![
            ("catalogue".to_owned(), false, 3),
            ("confirmation".to_owned(), true, 1),
        ],
        rate,
        duration: Duration::from_secs_f64(options.seconds),
        keys: 40,
        deadline: Duration::from_millis(2_500),
        max_attempts: if options.scenario == Scenario::Overload {
            1
        } else {
            4
        },
        seed: options.seed,
    }
}

/// Requests per second that all backend servers can process together.
fn capacity(deployment: &Deployment) -> f64 {
    let slots = deployment.backends.len() as f64 * f64::from(deployment.options.slots);
    slots / deployment.options.service_time.as_secs_f64()
}

async fn inject_fault(
    deployment: &mut Deployment,
    options: RunOptions,
    program: &Path,
) -> Result<(), Box<dyn std::error::Error>> {
    let third = Duration::from_secs_f64(options.seconds / 3.0);
    let domain = Subject::Domain(deployment.options.domains[0].parse()?);
    task::sleep(third).await;
    match options.scenario {
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
                return Err("the host did not stop in time".into());
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
/// Both loads run at the same time, so that other activity of the machine affects both. They use
/// separate servers, so that neither waits for the other's slots.
async fn direct_latency(
    deployment_options: DeploymentOptions,
    options: RunOptions,
) -> Option<(u64, u64)> {
    if options.scenario != Scenario::Steady {
        return None;
    }
    let servers = start_direct_servers(&deployment_options).await?;
    let http = Arc::new(HttpClient::default());
    let interval = Duration::from_secs_f64(1.0 / options.rate);
    let started = Instant::now();
    let mut request_tasks = Vec::new();
    for number in 0..(options.rate * options.seconds) as u32 {
        task::sleep((interval * number).saturating_sub(started.elapsed())).await;
        let address = servers[number as usize % servers.len()].options().address;
        request_tasks.push(task::spawn(send_directly(http.clone(), address)));
    }
    let mut histogram = hdrhistogram::Histogram::<u64>::new(3).ok()?;
    for request_task in request_tasks {
        histogram
            .record(request_task.await?.as_micros() as u64)
            .ok()?;
    }
    Some((
        histogram.value_at_quantile(0.5),
        histogram.value_at_quantile(0.99),
    ))
}

/// Starts servers that check no tokens and that no host controls.
async fn start_direct_servers(deployment_options: &DeploymentOptions) -> Option<Vec<FakeBackend>> {
    let journal = Arc::new(Journal::default());
    let mut servers = Vec::new();
    for number in 0..DIRECT_SERVERS {
        let options = BackendOptions {
            name: format!("direct-{number}"),
            entry: "direct".to_owned(),
            address: free_address(),
            checks_token: false,
            slots: deployment_options.slots as usize,
            cold_slots: deployment_options.slots as usize,
            warm_up: Duration::ZERO,
            service_time: deployment_options.service_time,
        };
        let server = FakeBackend::start(options, journal.clone()).await;
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

/// Requests completed by the busiest read server, relative to the mean of the read servers.
fn imbalance(deployment: &Deployment) -> f64 {
    let completed: Vec<u64> = deployment
        .backends
        .iter()
        .filter(|backend| backend.options().entry == "catalogue")
        .map(FakeBackend::completed)
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

/// Changes of owner per shard.
fn churn(before: &[PlacementRecord], after: &[PlacementRecord]) -> f64 {
    let epochs = |records: &[PlacementRecord]| -> u64 {
        let shards = records.iter().flat_map(|record| &record.shards);
        shards.map(|shard| shard.epoch.0).sum()
    };
    let count: usize = after.iter().map(|record| record.shards.len()).sum();
    epochs(after).saturating_sub(epochs(before)) as f64 / count.max(1) as f64
}
