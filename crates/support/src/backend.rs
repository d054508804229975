//! A stand-in for a backend server.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use amaranthshunt_clients::header;
use amaranthshunt_core::Time;
use amaranthshunt_core::event::{Grant, RegisterState};
use amaranthshunt_core::ids::Token;
use amaranthshunt_host::Clock;
use async_std::task;
use http_types::StatusCode;
use tide::{Request, Response};

use crate::journal::Journal;
use crate::lock::lock;
use crate::serve::{Tasks, serve};

/// Time between two looks of work that waits for a thaw.
const THAW_POLL: Duration = Duration::from_millis(2);
/// Age up to which the load report repeats an old figure.
const REPORT_LAG: Duration = Duration::from_secs(2);
/// A body that takes its server down.
const POISON: &[u8] = b"poison";

/// How a backend server stand-in behaves.
#[derive(Clone, Debug)]
pub struct BackendOptions {
    /// The name.
    pub name: String,
    /// The entry that it works for.
    pub entry: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it checks fence tokens.
    pub checks: bool,
    /// Requests that it bears at the same time.
    pub slots: usize,
    /// Requests that it bears in a cold start.
    pub cold_slots: usize,
    /// Time for which it is cold.
    pub warm_up: Duration,
    /// Time that one request takes.
    pub service: Duration,
}

/// A backend server with faults that can be switched on.
#[derive(Clone, Debug)]
pub struct BackendStandIn {
    options: BackendOptions,
    journal: Arc<Journal>,
    tasks: Arc<Mutex<Tasks>>,
    shared: Arc<Mutex<Option<Arc<Shared>>>>,
    slowdown: Arc<AtomicU64>,
    completed: Arc<AtomicU64>,
    mood: Arc<Mood>,
}

/// Modes that outlive a restart of the server.
#[derive(Debug, Default)]
struct Mood {
    draining: Mutex<Option<Instant>>,
    shedding: AtomicBool,
}

impl Mood {
    fn draining_millis(&self) -> Option<u64> {
        let since = *lock(&self.draining);
        since.map(|since| since.elapsed().as_millis() as u64)
    }
}

/// A load figure and when it was taken.
#[derive(Debug)]
struct Report {
    running: usize,
    taken: Instant,
}

#[derive(Debug)]
struct Shared {
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
    mood: Arc<Mood>,
    report: Mutex<Report>,
    register: Mutex<Register>,
}

#[derive(Debug, Default)]
struct Register {
    token: Token,
    sequence: u64,
    expires: Time,
    shards: BTreeMap<u32, u64>,
}

impl BackendStandIn {
    /// Starts a server.
    ///
    /// # Errors
    ///
    /// Fails when its address cannot be listened on.
    pub async fn start(options: BackendOptions, journal: Arc<Journal>) -> std::io::Result<Self> {
        let server = Self {
            options,
            journal,
            tasks: Arc::default(),
            shared: Arc::default(),
            slowdown: Arc::new(AtomicU64::new(1)),
            completed: Arc::default(),
            mood: Arc::default(),
        };
        server.restart().await?;
        Ok(server)
    }

    /// Starts the server again after a kill.
    ///
    /// # Errors
    ///
    /// Fails when its address cannot be listened on.
    pub async fn restart(&self) -> std::io::Result<()> {
        let tasks = Tasks::default();
        let shared = Arc::new(Shared {
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
            mood: self.mood.clone(),
            report: Mutex::new(Report {
                running: 0,
                taken: Instant::now(),
            }),
            register: Mutex::default(),
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

    /// Loses the server with everything that it has.
    pub fn kill(&self) {
        lock(&self.tasks).abort();
    }

    /// Stops the server's work, or lets it go on.
    pub fn set_frozen(&self, frozen: bool) {
        if let Some(shared) = lock(&self.shared).as_ref() {
            shared.frozen.store(frozen, Ordering::Relaxed);
        }
    }

    /// Announces that the server is about to leave, or takes that back.
    pub fn set_draining(&self, draining: bool) {
        *lock(&self.mood.draining) = draining.then(Instant::now);
    }

    /// Refuses every order without running it, or ends that.
    pub fn set_shedding(&self, shedding: bool) {
        self.mood.shedding.store(shedding, Ordering::Relaxed);
    }

    /// Makes every request take this many times as long.
    pub fn set_slowdown(&self, factor: u64) {
        self.slowdown.store(factor, Ordering::Relaxed);
    }

    /// Whether the server has been lost and not started again.
    pub fn is_down(&self) -> bool {
        lock(&self.tasks).is_aborted()
    }

    /// Requests that the server has answered.
    pub fn completed(&self) -> u64 {
        self.completed.load(Ordering::Relaxed)
    }

    /// Shards that the server holds under a lease.
    pub fn held(&self) -> usize {
        let shared = lock(&self.shared);
        shared.as_ref().map_or(0, |shared| {
            let register = lock(&shared.register);
            if register.expires > shared.clock.now() {
                register.shards.len()
            } else {
                0
            }
        })
    }
}

type Call = Request<Arc<Shared>>;

impl Shared {
    async fn thaw(&self) {
        while self.frozen.load(Ordering::Relaxed) {
            task::sleep(THAW_POLL).await;
        }
    }

    fn state(&self) -> RegisterState {
        let register = lock(&self.register);
        RegisterState {
            boot: self.boot,
            token: register.token,
            sequence: register.sequence,
            running: self.running.load(Ordering::Relaxed) as u32,
            draining: self.mood.draining_millis(),
        }
    }

    fn bears(&self) -> usize {
        if self.started.elapsed() < self.options.warm_up {
            self.options.cold_slots
        } else {
            self.options.slots
        }
    }

    /// Follows a grant; fails with the registered token where that is higher.
    fn follow(&self, grant: Grant) -> Result<(), Token> {
        let mut register = lock(&self.register);
        if self.options.checks && grant.token < register.token {
            return Err(register.token);
        }
        let stale = (grant.token, grant.sequence) < (register.token, register.sequence);
        let ignored = self.options.checks && stale;
        if !ignored && grant.expires > self.clock.now() {
            register.token = grant.token;
            register.sequence = grant.sequence;
            register.expires = grant.expires;
            let shards = grant.shards.into_iter();
            register.shards = shards.map(|(shard, epoch)| (shard, epoch.0)).collect();
        }
        Ok(())
    }

    fn refusal_of(&self, order: &Ordered) -> Option<&'static str> {
        let now = self.clock.now();
        if order.deadline <= now {
            return Some("expired");
        }
        let register = lock(&self.register);
        let held = register.expires > now && register.shards.contains_key(&order.shard);
        if self.options.checks && (order.token != register.token || !held) {
            return Some("fenced");
        }
        let shedding = self.mood.shedding.load(Ordering::Relaxed);
        shedding.then_some("shed")
    }
}

/// What an order's headers say.
struct Ordered {
    shard: u32,
    token: Token,
    deadline: Time,
    idempotency: Option<String>,
}

fn read_order(request: &Call) -> Option<Ordered> {
    let text = |name| request.header(name).map(|values| values.last().as_str());
    let number = |name| text(name)?.parse::<u64>().ok();
    Some(Ordered {
        shard: number(header::SHARD)? as u32,
        token: Token(number(header::TOKEN)?),
        deadline: Time::from_micros(number(header::DEADLINE)?),
        idempotency: text(header::IDEMPOTENCY_KEY).map(str::to_owned),
    })
}

async fn register(mut request: Call) -> tide::Result {
    let shared = request.state().clone();
    shared.thaw().await;
    let body = request.body_bytes().await?;
    let followed = if body.is_empty() {
        Ok(())
    } else {
        shared.follow(serde_json::from_slice(&body)?)
    };
    match followed {
        Ok(()) => Ok(tide::Body::from_json(&shared.state())?.into()),
        Err(token) => Ok(Response::builder(StatusCode::Conflict)
            .header(header::TOKEN, token.to_string())
            .build()),
    }
}

/// Ends a run also where its connection is dropped.
struct Run {
    shared: Arc<Shared>,
    shard: u32,
}

impl Run {
    fn start(shared: &Arc<Shared>, order: &Ordered) -> Self {
        let options = &shared.options;
        shared.journal.start(
            &options.entry,
            order.shard,
            &options.name,
            order.idempotency.as_deref(),
        );
        let running = shared.running.fetch_add(1, Ordering::Relaxed) + 1;
        if running > shared.bears() {
            shared.journal.overrun();
        }
        Self {
            shared: shared.clone(),
            shard: order.shard,
        }
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        self.shared.running.fetch_sub(1, Ordering::Relaxed);
        self.shared
            .journal
            .end(&self.shared.options.entry, self.shard);
    }
}

async fn run(mut request: Call) -> tide::Result {
    let shared = request.state().clone();
    shared.thaw().await;
    let body = request.body_bytes().await?;
    let Some(order) = read_order(&request) else {
        return Ok(Response::new(StatusCode::BadRequest));
    };
    if let Some(reason) = shared.refusal_of(&order) {
        return Ok(not_run(reason));
    }
    let started = Run::start(&shared, &order);
    if body == POISON {
        shared.tasks.abort();
    }
    let service = shared.options.service * shared.slowdown.load(Ordering::Relaxed) as u32;
    let left = order.deadline.since(shared.clock.now());
    task::sleep(service.min(left)).await;
    shared.thaw().await;
    drop(started);
    if service > left {
        return Ok(Response::new(StatusCode::GatewayTimeout));
    }
    shared.completed.fetch_add(1, Ordering::Relaxed);
    Ok(Response::builder(StatusCode::Ok).body(body).build())
}

async fn load(request: Call) -> tide::Result {
    let shared = request.state();
    let mut report = lock(&shared.report);
    if report.taken.elapsed() > REPORT_LAG {
        report.running = shared.running.load(Ordering::Relaxed);
        report.taken = Instant::now();
    }
    let running = report.running;
    Ok(Response::builder(StatusCode::Ok)
        .body(running.to_string())
        .build())
}

fn not_run(reason: &str) -> Response {
    Response::builder(StatusCode::ServiceUnavailable)
        .header(header::NOT_RUN, reason)
        .build()
}
