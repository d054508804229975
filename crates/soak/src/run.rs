//! A soak run.

use std::io;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use async_std::task;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::callers::{RequestKind, RequestResult, send_request};
use crate::deployment::Deployment;
use crate::faults::{clear_faults, inject_random_fault, restart_ended_hosts};
use crate::pipeline::send_pipelined;
use crate::report::Report;
use crate::server::Server;

/// Time before the first fault, in which everything starts.
const STARTUP_TIME: Duration = Duration::from_secs(9);
/// Time after the last fault within which service must recover.
const RECOVERY_TIME: Duration = Duration::from_secs(15);
/// Time after the recovery in which the share of served requests is measured.
const MEASUREMENT_TIME: Duration = Duration::from_secs(5);
/// Pause between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(12);
/// Typical time between two faults; the actual time is 0.1 to 2 times as long.
const FAULT_INTERVAL: Duration = Duration::from_millis(900);
/// Requests for each group of pipelined ones.
const PIPELINE_RATIO: u64 = 8;
/// Requests of such a group.
const PIPELINE_LENGTH: usize = 3;
/// Interval at which processes that have ended are started again, as the platform would.
const RESTART_INTERVAL: Duration = Duration::from_millis(1_000);

/// Size of the deployment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Size {
    /// 5 hosts, 8 servers.
    Small,
    /// 20 hosts, 32 servers.
    Large,
    /// 80 hosts, 128 servers.
    Huge,
}

impl Size {
    /// Multiple of the small deployment.
    fn scale(self) -> usize {
        match self {
            Self::Small => 1,
            Self::Large => 4,
            Self::Huge => 16,
        }
    }
}

/// What callers send and the configuration asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Workload {
    /// Tenants, uploads, pipelined requests and overload control besides.
    Full,
    /// What hosts of earlier builds know.
    Plain,
}

/// Injects the faults that a seed determines for `fault_time`, then lets the deployment recover, and
/// reports violated guarantees.
///
/// # Errors
///
/// Fails if a process or a fake cannot be started.
pub async fn run_soak(
    program: &Path,
    seed: u64,
    fault_time: Duration,
    size: Size,
    workload: Workload,
) -> io::Result<Report> {
    let scale = size.scale();
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut deployment = Deployment::start(program, 5 * scale, 4 * scale, workload).await?;
    let results: Arc<Mutex<Vec<RequestResult>>> = Arc::default();
    let mut report = Report::new(seed, workload);
    let started = Instant::now();
    let faults_begin = started + STARTUP_TIME;
    let faults_end = faults_begin + fault_time;
    let run_end = faults_end + RECOVERY_TIME + MEASUREMENT_TIME;
    let mut next_fault = faults_begin;
    let mut last_restart = started;
    let mut faults_cleared = false;
    let mut number = 0;
    while Instant::now() < run_end {
        let now = Instant::now();
        if now >= next_fault && now < faults_end {
            let fault = inject_random_fault(&mut deployment, program, &mut rng).await;
            report.log_fault(&fault);
            next_fault = now + FAULT_INTERVAL.mul_f64(rng.random_range(0.1..2.0));
        }
        if now >= faults_end && !faults_cleared {
            faults_cleared = true;
            deployment.heal_regions(true);
            clear_faults(&mut deployment, program).await;
            report.log_fault("all faults cleared; no more faults follow");
        }
        if now - last_restart >= RESTART_INTERVAL {
            last_restart = now;
            restart_ended_hosts(&mut deployment, program);
        }
        deployment.heal_regions(false);
        deployment.servers.iter_mut().for_each(Server::tick);
        if now >= started + STARTUP_TIME / 2 {
            number += 1;
            spawn_request(&deployment, &mut rng, &results, seed, number);
            if workload == Workload::Full && number % PIPELINE_RATIO == 0 {
                spawn_pipeline(&deployment, &mut rng, &results, seed, number);
            }
        }
        task::sleep(REQUEST_INTERVAL).await;
    }
    // The last requests end within the callers' timeout of 4 s.
    task::sleep(Duration::from_secs(5)).await;
    let results = results
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone();
    report.evaluate(&deployment, &results, faults_end + RECOVERY_TIME);
    deployment.stop(!report.is_clean());
    Ok(report)
}

/// Sends one request in the background.
fn spawn_request(
    deployment: &Deployment,
    rng: &mut SmallRng,
    results: &Arc<Mutex<Vec<RequestResult>>>,
    seed: u64,
    number: u64,
) {
    let host = rng.random_range(0..deployment.hosts.len());
    let range = match deployment.workload {
        Workload::Full => 0..12,
        Workload::Plain => 0..10,
    };
    let kind = match rng.random_range(range) {
        0..=4 => RequestKind::Read,
        5..=7 => RequestKind::Pay,
        8 => RequestKind::Home,
        10 => RequestKind::Upload,
        11 => RequestKind::UnknownKey,
        _ if rng.random_ratio(1, 4) => RequestKind::RemovedVersion(deployment.config_version - 1),
        _ => RequestKind::Version(deployment.config_version),
    };
    let key = rng.random();
    let id = format!("{seed:04x}{number:08x}");
    let address = deployment.hosts[host].caller_address;
    let connections = deployment.hosts[host].connections.clone();
    let results = results.clone();
    task::spawn(async move {
        let result = send_request(host, address, connections, kind, id, key).await;
        results
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(result);
    });
}

/// Sends several reads on one connection in the background.
fn spawn_pipeline(
    deployment: &Deployment,
    rng: &mut SmallRng,
    results: &Arc<Mutex<Vec<RequestResult>>>,
    seed: u64,
    number: u64,
) {
    let host = rng.random_range(0..deployment.hosts.len());
    let address = deployment.hosts[host].caller_address;
    let ids = (0..PIPELINE_LENGTH).map(|place| format!("{seed:04x}{number:08x}p{place}"));
    let (ids, key) = (ids.collect(), rng.random());
    let results = results.clone();
    task::spawn(async move {
        let pipelined = send_pipelined(host, address, ids, key).await;
        results
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .extend(pipelined);
    });
}
