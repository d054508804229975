//! Callers that send a bounded load and keep what came back.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use amaranthshunt_clients::{HttpClient, PlatformError};
use async_std::task;
use hdrhistogram::Histogram;
use http_types::{Method, Request, Url};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use uuid::Uuid;

use crate::journal::Journal;

/// The longest latency that is told apart, in microseconds.
const LATENCY_LIMIT_MICROS: u64 = 60_000_000;
/// A load.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Hosts that callers send to; a request goes to a random one.
    pub hosts: Vec<SocketAddr>,
    /// The entries with their share of the requests; the flag marks work that runs once.
    pub entries: Vec<(String, bool, u32)>,
    /// Requests a second.
    pub rate: f64,
    /// How long to send.
    pub span: Duration,
    /// Keys of each entry.
    pub keys: u32,
    /// Milliseconds that each sending has.
    pub deadline: Duration,
    /// Sendings of a request by its caller, the first one included.
    pub sendings: u32,
    /// The seed.
    pub seed: u64,
}

/// Outcomes and latencies of one entry's requests.
#[derive(Debug)]
pub struct Tally {
    /// Requests by their last outcome.
    pub outcomes: BTreeMap<String, u64>,
    /// Latencies of answered requests in microseconds, all sendings included.
    pub latency: Histogram<u64>,
    /// Sendings called not run of requests that ran.
    pub false_refusals: u64,
}

/// Everything that came back.
#[derive(Debug)]
pub struct LoadReport {
    /// Tallies by entry.
    pub entries: BTreeMap<String, Tally>,
    /// Sendings that reached a host and got no HTTP answer.
    pub cut: u64,
}

/// A load under way.
#[derive(Debug)]
pub struct Load {
    state: Arc<Mutex<LoadReport>>,
    journal: Arc<Journal>,
    http: Arc<HttpClient>,
}

struct Wanted {
    entry: String,
    key: String,
    idempotency: Option<Uuid>,
    deadline: Duration,
}

impl Load {
    /// Prepares a load.
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

    /// Sends at the asked rate and waits for every request to end.
    pub async fn run(self, options: LoadOptions) -> LoadReport {
        let mut rng = SmallRng::seed_from_u64(options.seed);
        let started = Instant::now();
        let mut due = Duration::ZERO;
        let mut under_way = Vec::new();
        while due < options.span {
            let ahead = due.saturating_sub(started.elapsed());
            if ahead > Duration::from_millis(1) {
                task::sleep(ahead).await;
            }
            let wanted = draw(&options, &mut rng);
            let first = rng.random_range(0..options.hosts.len());
            under_way.push(self.spawn(wanted, &options, first));
            due += Duration::from_secs_f64(-f64::ln(rng.random_range(1e-9..1.0)) / options.rate);
        }
        for sending in under_way {
            sending.await;
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

    fn spawn(&self, wanted: Wanted, options: &LoadOptions, first: usize) -> task::JoinHandle<()> {
        let hosts = options.hosts.clone();
        let sendings = options.sendings;
        let state = self.state.clone();
        let journal = self.journal.clone();
        let http = self.http.clone();
        task::spawn(async move {
            let started = Instant::now();
            let mut outcome = "cut".to_owned();
            for number in 0..sendings {
                let host = hosts[(first + number as usize) % hosts.len()];
                outcome = send(&http, host, &wanted, number > 0).await;
                let mut report = state.lock().unwrap_or_else(PoisonError::into_inner);
                report.cut += u64::from(outcome == "cut");
                if outcome == "not-run" && ran(&journal, &wanted) {
                    report.tally(&wanted.entry).false_refusals += 1;
                }
                if outcome == "answer" {
                    break;
                }
            }
            let mut report = state.lock().unwrap_or_else(PoisonError::into_inner);
            report.tally(&wanted.entry).add(outcome, started);
        })
    }
}

impl LoadReport {
    fn tally(&mut self, entry: &str) -> &mut Tally {
        self.entries
            .entry(entry.to_owned())
            .or_insert_with(|| Tally {
                outcomes: BTreeMap::new(),
                latency: latency_histogram(),
                false_refusals: 0,
            })
    }

    /// Requests of all entries that ended in an outcome.
    pub fn count(&self, outcome: &str) -> u64 {
        let tallies = self.entries.values();
        tallies
            .filter_map(|tally| tally.outcomes.get(outcome))
            .sum()
    }

    /// Latencies over all entries.
    pub fn latency(&self) -> Histogram<u64> {
        let mut all = latency_histogram();
        for tally in self.entries.values() {
            let _ = all.add(&tally.latency);
        }
        all
    }
}

impl Tally {
    fn add(&mut self, outcome: String, started: Instant) {
        if outcome == "answer" {
            let micros = started.elapsed().as_micros() as u64;
            let _ = self.latency.record(micros.clamp(1, LATENCY_LIMIT_MICROS));
        }
        *self.outcomes.entry(outcome).or_default() += 1;
    }
}

fn latency_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LATENCY_LIMIT_MICROS, 3)
        .unwrap_or_else(|_| Histogram::new(3).unwrap_or_else(|error| panic!("histogram: {error}")))
}

fn draw(options: &LoadOptions, rng: &mut SmallRng) -> Wanted {
    let total: u32 = options.entries.iter().map(|(_, _, share)| share).sum();
    let mut point = rng.random_range(0..total.max(1));
    let mut chosen = &options.entries[0];
    for entry in &options.entries {
        if point < entry.2 {
            chosen = entry;
            break;
        }
        point -= entry.2;
    }
    let (entry, once, _) = chosen;
    Wanted {
        entry: entry.clone(),
        key: format!("k{}", rng.random_range(0..options.keys.max(1))),
        idempotency: once.then(Uuid::now_v7),
        deadline: options.deadline,
    }
}

fn ran(journal: &Journal, wanted: &Wanted) -> bool {
    let key = wanted.idempotency.map(|key| key.to_string());
    key.is_some_and(|key| journal.ran(&key))
}

/// One answer as a caller sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Seen {
    /// The HTTP status.
    pub status: u16,
    /// The outcome header.
    pub outcome: String,
    /// The reason header.
    pub reason: String,
    /// The home regions header.
    pub home: String,
}

/// Sends one request with extra headers and reads what a caller sees.
pub async fn ask(
    host: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<Seen> {
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
    Some(Seen {
        status: reply.status,
        outcome: header("outcome"),
        reason: header("reason"),
        home: header("home-regions"),
    })
}

async fn send(http: &HttpClient, host: SocketAddr, wanted: &Wanted, repeat: bool) -> String {
    let text = format!("http://{host}/v1/{}/{}", wanted.entry, wanted.key);
    let Ok(url) = Url::parse(&text) else {
        return "cut".to_owned();
    };
    let mut request = Request::new(Method::Post, url);
    request.insert_header("deadline-ms", wanted.deadline.as_millis().to_string());
    if repeat {
        request.insert_header("repeat", "true");
    }
    if let Some(key) = wanted.idempotency {
        request.insert_header("idempotency-key", key.to_string());
    }
    request.set_body(wanted.key.as_str());
    let limit = wanted.deadline + Duration::from_secs(1);
    match http.send(host, request, limit).await {
        Ok(reply) => reply.header("outcome").unwrap_or("cut").to_owned(),
        Err(PlatformError::Unreachable(_)) => "refused".to_owned(),
        Err(_) => "cut".to_owned(),
    }
}
