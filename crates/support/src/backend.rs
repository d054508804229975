//! A fake backend server that executes orders for the shards of its lease.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use amaranthshunt_clients::header;
use amaranthshunt_core::Time;
use amaranthshunt_core::event::{Grant, RegisterState};
use amaranthshunt_core::ids::FenceToken;
use amaranthshunt_host::Clock;
use async_std::task;
use http_types::StatusCode;
use tide::{Request, Response};

use crate::journal::Journal;
use crate::lock::lock;
use crate::serve::{Tasks, serve};

/// Interval at which work of a frozen server checks whether it may continue.
const FREEZE_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Age up to which `/load` reports an old sample instead of the current load.
const LOAD_REPORT_MAX_AGE: Duration = Duration::from_secs(2);
/// A request body that crashes the server.
const POISON_BODY: &[u8] = b"poison";

/// Behaviour of a fake backend server.
#[derive(Clone, Debug)]
pub struct BackendOptions {
    /// The name in the catalogue.
    pub name: String,
    /// The entry whose requests it serves.
    pub entry: String,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Whether it rejects orders and grants by their fence tokens.
    pub checks_token: bool,
    /// Number of concurrent requests above which an overrun is recorded.
    pub slots: usize,
    /// The value of `slots` during a cold start.
    pub cold_slots: usize,
    /// Duration of a cold start.
    pub warm_up: Duration,
    /// Time to process one request.
    pub service_time: Duration,
}

/// A fake backend server with switchable faults.
#[derive(Clone, Debug)]
pub struct FakeBackend {
    options: BackendOptions,
    journal: Arc<Journal>,
    tasks: Arc<Mutex<Tasks>>,
    shared: Arc<Mutex<Option<Arc<ServerState>>>>,
    slowdown: Arc<AtomicU64>,
    completed: Arc<AtomicU64>,
    modes: Arc<Modes>,
}

/// Modes that persist across a restart of the server.
#[derive(Debug, Default)]
struct Modes {
    draining: Mutex<Option<Instant>>,
    shedding: AtomicBool,
}

impl Modes {
    fn draining_millis(&self) -> Option<u64> {
        let drain_started = *lock(&self.draining);
        drain_started.map(|drain_started| drain_started.elapsed().as_millis() as u64)
    }
}

/// The number of running requests at some time.
#[derive(Debug)]
struct LoadSample {
    running: usize,
    taken_at: Instant,
}

#[derive(Debug)]
struct ServerState {
    options: BackendOptions,
    journal: Arc<Journal>,
    tasks: Tasks,
    clock: Clock,
    boot: u64,
    started: Instant,
    frozen: AtomicBool,
    running: AtomicUsize,
    slowdown: Arc<AtomicU64>,
    completed: Arc<AtomicU64>,
    modes: Arc<Modes>,
    load_sample: Mutex<LoadSample>,
    lease: Mutex<Lease>,
}

/// The grant that the server follows.
#[derive(Debug, Default)]
struct Lease {
    token: FenceToken,
    sequence: u64,
    expires: Time,
    shards: BTreeMap<u32, u64>,
}

impl FakeBackend {
    /// Starts a server.
    ///
    /// # Errors
    ///
    /// Fails if its address cannot be bound.
    pub async fn start(options: BackendOptions, journal: Arc<Journal>) -> std::io::Result<Self> {
        let server = Self {
            options,
            journal,
            tasks: Arc::default(),
            shared: Arc::default(),
            slowdown: Arc::new(AtomicU64::new(1)),
            completed: Arc::default(),
            modes: Arc::default(),
        };
        server.restart().await?;
        Ok(server)
    }

    /// Starts the server again after a kill, with a new boot number and no lease.
    ///
    /// # Errors
    ///
    /// Fails if its address cannot be bound.
    pub async fn restart(&self) -> std::io::Result<()> {
        let tasks = Tasks::default();
        let shared = Arc::new(ServerState {
            options: self.options.clone(),
            journal: self.journal.clone(),
            tasks: tasks.clone(),
            clock: Clock::default(),
            boot: rand::random::<u64>() | 1,
            started: Instant::now(),
            frozen: AtomicBool::new(false),
            running: AtomicUsize::new(0),
            slowdown: self.slowdown.clone(),
            completed: self.completed.clone(),
            modes: self.modes.clone(),
            load_sample: Mutex::new(LoadSample {
                running: 0,
                taken_at: Instant::now(),
            }),
            lease: Mutex::default(),
        });
        let mut app = tide::with_state(shared.clone());
        app.at("/register").get(register).put(register);
        app.at("/run/:key").post(run);
        app.at("/load").get(load);
        serve(self.options.address, app, &tasks).await?;
        *lock(&self.tasks) = tasks;
        *lock(&self.shared) = Some(shared);
        Ok(())
    }

    /// The options that the server was started with.
    pub fn options(&self) -> &BackendOptions {
        &self.options
    }

    /// Aborts the server, as a crash would.
    pub fn kill(&self) {
        lock(&self.tasks).abort();
    }

    /// Freezes or unfreezes request processing.
    pub fn set_frozen(&self, frozen: bool) {
        if let Some(shared) = lock(&self.shared).as_ref() {
            shared.frozen.store(frozen, Ordering::Relaxed);
        }
    }

    /// Sets whether the server reports that it is draining.
    pub fn set_draining(&self, draining: bool) {
        *lock(&self.modes.draining) = draining.then(Instant::now);
    }

    /// Sets whether the server sheds every order without executing it.
    pub fn set_shedding(&self, shedding: bool) {
        self.modes.shedding.store(shedding, Ordering::Relaxed);
    }

    /// Multiplies the processing time of every request by `factor`.
    pub fn set_slowdown(&self, factor: u64) {
        self.slowdown.store(factor, Ordering::Relaxed);
    }

    /// Whether the server was killed or crashed, and not started again.
    pub fn is_down(&self) -> bool {
        lock(&self.tasks).is_aborted()
    }

    /// Number of requests answered with success, over all restarts.
    pub fn completed(&self) -> u64 {
        self.completed.load(Ordering::Relaxed)
    }

    /// Number of shards under a lease that has not expired.
    pub fn leased_shards(&self) -> usize {
        let shared = lock(&self.shared);
        shared.as_ref().map_or(0, |shared| {
            let lease = lock(&shared.lease);
            if lease.expires > shared.clock.now() {
                lease.shards.len()
            } else {
                0
            }
        })
    }
}

type ServerRequest = Request<Arc<ServerState>>;

impl ServerState {
    async fn wait_while_frozen(&self) {
        while self.frozen.load(Ordering::Relaxed) {
            task::sleep(FREEZE_POLL_INTERVAL).await;
        }
    }

    fn register_state(&self) -> RegisterState {
        let lease = lock(&self.lease);
        RegisterState {
            boot: self.boot,
            token: lease.token,
            sequence: lease.sequence,
            running: self.running.load(Ordering::Relaxed) as u32,
            draining: self.modes.draining_millis(),
        }
    }

    fn slot_limit(&self) -> usize {
        if self.started.elapsed() < self.options.warm_up {
            self.options.cold_slots
        } else {
            self.options.slots
        }
    }

    /// Applies a grant; fails with the registered token if that is higher.
    fn apply_grant(&self, grant: Grant) -> Result<(), FenceToken> {
        let mut lease = lock(&self.lease);
        if self.options.checks_token && grant.token < lease.token {
            return Err(lease.token);
        }
        let stale = (grant.token, grant.sequence) < (lease.token, lease.sequence);
        let ignored = self.options.checks_token && stale;
        if !ignored && grant.expires > self.clock.now() {
            lease.token = grant.token;
            lease.sequence = grant.sequence;
            lease.expires = grant.expires;
            let shards = grant.shards.into_iter();
            lease.shards = shards.map(|(shard, epoch)| (shard, epoch.0)).collect();
        }
        Ok(())
    }

    fn rejection_reason(&self, order: &OrderHeaders) -> Option<&'static str> {
        let now = self.clock.now();
        if order.deadline <= now {
            return Some("expired");
        }
        let lease = lock(&self.lease);
        let is_leased = lease.expires > now && lease.shards.contains_key(&order.shard);
        if self.options.checks_token && (order.token != lease.token || !is_leased) {
            return Some("fenced");
        }
        let shedding = self.modes.shedding.load(Ordering::Relaxed);
        shedding.then_some("shed")
    }
}

/// The parsed headers of an order.
struct OrderHeaders {
    shard: u32,
    token: FenceToken,
    deadline: Time,
    idempotency: Option<String>,
}

fn read_headers(request: &ServerRequest) -> Option<OrderHeaders> {
    let text = |name| request.header(name).map(|values| values.last().as_str());
    let number = |name| text(name)?.parse::<u64>().ok();
    Some(OrderHeaders {
        shard: number(header::SHARD)? as u32,
        token: FenceToken(number(header::TOKEN)?),
        deadline: Time::from_micros(number(header::DEADLINE)?),
        idempotency: text(header::IDEMPOTENCY_KEY).map(str::to_owned),
    })
}

async fn register(mut request: ServerRequest) -> tide::Result {
    let shared = request.state().clone();
    shared.wait_while_frozen().await;
    let body = request.body_bytes().await?;
    let applied = if body.is_empty() {
        Ok(())
    } else {
        shared.apply_grant(serde_json::from_slice(&body)?)
    };
    match applied {
        Ok(()) => Ok(tide::Body::from_json(&shared.register_state())?.into()),
        Err(token) => Ok(Response::builder(StatusCode::Conflict)
            .header(header::TOKEN, token.to_string())
            .build()),
    }
}

/// Records the end of an execution when dropped, even if the connection is aborted.
struct RunGuard {
    shared: Arc<ServerState>,
    shard: u32,
}

impl RunGuard {
    fn start(shared: &Arc<ServerState>, order: &OrderHeaders) -> Self {
        let options = &shared.options;
        shared.journal.record_start(
            &options.entry,
            order.shard,
            &options.name,
            order.idempotency.as_deref(),
        );
        let running = shared.running.fetch_add(1, Ordering::Relaxed) + 1;
        if running > shared.slot_limit() {
            shared.journal.record_overrun();
        }
        Self {
            shared: shared.clone(),
            shard: order.shard,
        }
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.shared.running.fetch_sub(1, Ordering::Relaxed);
        self.shared
            .journal
            .record_end(&self.shared.options.entry, self.shard);
    }
}

async fn run(mut request: ServerRequest) -> tide::Result {
    let shared = request.state().clone();
    shared.wait_while_frozen().await;
    let body = request.body_bytes().await?;
    let Some(order) = read_headers(&request) else {
        return Ok(Response::new(StatusCode::BadRequest));
    };
    if let Some(reason) = shared.rejection_reason(&order) {
        return Ok(not_run(reason));
    }
    let run_guard = RunGuard::start(&shared, &order);
    if body == POISON_BODY {
        shared.tasks.abort();
    }
    let service_time = shared.options.service_time * shared.slowdown.load(Ordering::Relaxed) as u32;
    let left = order.deadline.since(shared.clock.now());
    task::sleep(service_time.min(left)).await;
    shared.wait_while_frozen().await;
    drop(run_guard);
    if service_time > left {
        return Ok(Response::new(StatusCode::GatewayTimeout));
    }
    shared.completed.fetch_add(1, Ordering::Relaxed);
    Ok(Response::builder(StatusCode::Ok).body(body).build())
}

async fn load(request: ServerRequest) -> tide::Result {
    let shared = request.state();
    let mut load_sample = lock(&shared.load_sample);
    if load_sample.taken_at.elapsed() > LOAD_REPORT_MAX_AGE {
        load_sample.running = shared.running.load(Ordering::Relaxed);
        load_sample.taken_at = Instant::now();
    }
    let running = load_sample.running;
    Ok(Response::builder(StatusCode::Ok)
        .body(running.to_string())
        .build())
}

fn not_run(reason: &str) -> Response {
    Response::builder(StatusCode::ServiceUnavailable)
        .header(header::NOT_RUN, reason)
        .build()
}
