//! A load generator that records outcomes and latencies as callers see them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use amaranthshunt_clients::{CallError, HttpClient};
use async_std::task;
use hdrhistogram::Histogram;
use http_types::{Method, Request, Url};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use uuid::Uuid;

use crate::journal::Journal;

/// The longest latency that is recorded, in microseconds; longer ones are clamped.
const MAX_LATENCY_MICROS: u64 = 60_000_000;

/// The request mix, rate and duration of a load.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Hosts that callers send to; the first attempt of a request goes to a random one.
    pub hosts: Vec<SocketAddr>,
    /// Entries: name, whether its requests must run at most once, and relative share of requests.
    pub entries: Vec<(String, bool, u32)>,
    /// Mean requests per second; arrivals are a Poisson process.
    pub rate: f64,
    /// Time for which new requests are sent.
    pub duration: Duration,
    /// Number of distinct keys of each entry.
    pub keys: u32,
    /// Deadline of each attempt.
    pub deadline: Duration,
    /// Maximum attempts for a request, including the first one.
    pub max_attempts: u32,
    /// Seed of the random choices.
    pub seed: u64,
}

/// Outcomes and latencies of one entry's requests.
#[derive(Debug)]
pub struct EntryStats {
    /// Number of requests by the outcome of their last attempt.
    pub outcomes: BTreeMap<String, u64>,
    /// Latencies of answered requests in microseconds, over all attempts.
    pub latency: Histogram<u64>,
    /// Attempts reported as not run although the request was executed.
    pub false_refusals: u64,
}

/// The results of a load.
#[derive(Debug)]
pub struct LoadReport {
    /// Statistics by entry.
    pub entries: BTreeMap<String, EntryStats>,
    /// Attempts that reached a host but got no response with an `outcome` header.
    pub cut: u64,
}

/// A load generator.
#[derive(Debug)]
pub struct Load {
    state: Arc<Mutex<LoadReport>>,
    journal: Arc<Journal>,
    http: Arc<HttpClient>,
}

/// A request to send.
struct PlannedRequest {
    entry: String,
    key: String,
    idempotency: Option<Uuid>,
    deadline: Duration,
}

impl Load {
    /// Creates a load generator; `journal` tells which requests were executed.
    pub fn new(journal: Arc<Journal>) -> Self {
        let report = LoadReport {
            entries: BTreeMap::new(),
            cut: 0,
        };
        Self {
            state: Arc::new(Mutex::new(report)),
            journal,
            http: Arc::default(),
        }
    }

    /// Sends requests at the given rate and waits until all have ended.
    pub async fn run(self, options: LoadOptions) -> LoadReport {
        let mut rng = SmallRng::seed_from_u64(options.seed);
        let started = Instant::now();
        let mut next_send = Duration::ZERO;
        let mut in_flight = Vec::new();
        while next_send < options.duration {
            let wait = next_send.saturating_sub(started.elapsed());
            if wait > Duration::from_millis(1) {
                task::sleep(wait).await;
            }
            let planned = draw_request(&options, &mut rng);
            let first_host = rng.random_range(0..options.hosts.len());
            in_flight.push(self.spawn(planned, &options, first_host));
            next_send +=
                Duration::from_secs_f64(-f64::ln(rng.random_range(1e-9..1.0)) / options.rate);
        }
        for request in in_flight {
            request.await;
        }
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::replace(
            &mut *state,
            LoadReport {
                entries: BTreeMap::new(),
                cut: 0,
            },
        )
    }

    fn spawn(
        &self,
        planned: PlannedRequest,
        options: &LoadOptions,
        first_host: usize,
    ) -> task::JoinHandle<()> {
        let hosts = options.hosts.clone();
        let max_attempts = options.max_attempts;
        let state = self.state.clone();
        let journal = self.journal.clone();
        let http = self.http.clone();
        task::spawn(async move {
            let started = Instant::now();
            let mut outcome = "cut".to_owned();
            for attempt in 0..max_attempts {
                let host = hosts[(first_host + attempt as usize) % hosts.len()];
                outcome = send_attempt(&http, host, &planned, attempt > 0).await;
                let mut report = state.lock().unwrap_or_else(PoisonError::into_inner);
                report.cut += u64::from(outcome == "cut");
                if outcome == "not-run" && has_run(&journal, &planned) {
                    report.entry_stats(&planned.entry).false_refusals += 1;
                }
                if outcome == "answer" {
                    break;
                }
            }
            let mut report = state.lock().unwrap_or_else(PoisonError::into_inner);
            report.entry_stats(&planned.entry).add(outcome, started);
        })
    }
}

impl LoadReport {
    fn entry_stats(&mut self, entry: &str) -> &mut EntryStats {
        self.entries
            .entry(entry.to_owned())
            .or_insert_with(|| EntryStats {
                outcomes: BTreeMap::new(),
                latency: latency_histogram(),
                false_refusals: 0,
            })
    }

    /// Number of requests of all entries that ended with an outcome.
    pub fn count(&self, outcome: &str) -> u64 {
        let all_stats = self.entries.values();
        all_stats
            .filter_map(|entry_stats| entry_stats.outcomes.get(outcome))
            .sum()
    }

    /// Latencies of all entries combined.
    pub fn latency(&self) -> Histogram<u64> {
        let mut combined = latency_histogram();
        for entry_stats in self.entries.values() {
            let _ = combined.add(&entry_stats.latency);
        }
        combined
    }
}

impl EntryStats {
    fn add(&mut self, outcome: String, started: Instant) {
        if outcome == "answer" {
            let micros = started.elapsed().as_micros() as u64;
            let _ = self.latency.record(micros.clamp(1, MAX_LATENCY_MICROS));
        }
        *self.outcomes.entry(outcome).or_default() += 1;
    }
}

fn latency_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, 3)
        .unwrap_or_else(|_| Histogram::new(3).unwrap_or_else(|error| panic!("histogram: {error}")))
}

fn draw_request(options: &LoadOptions, rng: &mut SmallRng) -> PlannedRequest {
    let total: u32 = options.entries.iter().map(|(_, _, share)| share).sum();
    let mut remaining = rng.random_range(0..total.max(1));
    let mut chosen = &options.entries[0];
    for entry in &options.entries {
        if remaining < entry.2 {
            chosen = entry;
            break;
        }
        remaining -= entry.2;
    }
    let (entry, run_once, _) = chosen;
    PlannedRequest {
        entry: entry.clone(),
        key: format!("k{}", rng.random_range(0..options.keys.max(1))),
        idempotency: run_once.then(Uuid::now_v7),
        deadline: options.deadline,
    }
}

fn has_run(journal: &Journal, planned: &PlannedRequest) -> bool {
    let key = planned.idempotency.map(|key| key.to_string());
    key.is_some_and(|key| journal.has_run(&key))
}

/// A response as a caller sees it; a missing header is an empty string.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallerResponse {
    /// The HTTP status.
    pub status: u16,
    /// The `outcome` header.
    pub outcome: String,
    /// The `reason` header.
    pub reason: String,
    /// The `home-regions` header.
    pub home_regions: String,
}

/// Sends one request with the given headers; `None` if there is no response.
pub async fn send_request(
    host: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<CallerResponse> {
    let url = Url::parse(&format!("http://{host}{path}")).ok()?;
    let mut request = Request::new(Method::Post, url);
    for (name, value) in headers {
        request.insert_header(*name, *value);
    }
    request.set_body(body);
    let http = HttpClient::default();
    let reply = http
        .send(host, request, Duration::from_secs(5))
        .await
        .ok()?;
    let header = |name| reply.header(name).unwrap_or_default().to_owned();
    Some(CallerResponse {
        status: reply.status,
        outcome: header("outcome"),
        reason: header("reason"),
        home_regions: header("home-regions"),
    })
}

async fn send_attempt(
    http: &HttpClient,
    host: SocketAddr,
    planned: &PlannedRequest,
    is_retry: bool,
) -> String {
    let text = format!("http://{host}/v1/{}/{}", planned.entry, planned.key);
    let Ok(url) = Url::parse(&text) else {
        return "cut".to_owned();
    };
    let mut request = Request::new(Method::Post, url);
    request.insert_header("deadline-ms", planned.deadline.as_millis().to_string());
    if is_retry {
        request.insert_header("repeat", "true");
    }
    if let Some(key) = planned.idempotency {
        request.insert_header("idempotency-key", key.to_string());
    }
    request.set_body(planned.key.as_str());
    let limit = planned.deadline + Duration::from_secs(1);
    match http.send(host, request, limit).await {
        Ok(reply) => reply.header("outcome").unwrap_or("cut").to_owned(),
        Err(CallError::Unreachable(_)) => "refused".to_owned(),
        Err(_) => "cut".to_owned(),
    }
}
