//! A backend server that registers itself, holds keys and remembers what it ran.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_std::task;
use serde_json::{Value, json};
use tide::{Request, Response};

use super::objects::ObjectStore;
use crate::lock::lock;
use crate::serve::{Tasks, serve};

/// How much slower than true time the clock of a server is that measures holds.
const SLOW_CLOCK: f64 = 1.02;

/// Time between two looks at whether a server still hangs.
const HANG_POLL: Duration = Duration::from_millis(50);

/// What is wrong with a server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum UpstreamFault {
    /// Nothing.
    #[default]
    None,
    /// Requests are never answered.
    Hangs,
    /// Requests run, and their answers lack the signature.
    Garbles,
    /// Requests take so many milliseconds more.
    Slow(u64),
    /// Orders are not answered, and carried out later.
    OrdersLate,
}

/// What a server is.
#[derive(Clone, Debug)]
pub struct UpstreamOptions {
    /// Its identifier.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Its failure domain.
    pub domain: String,
    /// Whether it holds keys.
    pub keyed: bool,
    /// Requests that it runs at once.
    pub slots: u32,
    /// How long a request takes.
    pub work: Duration,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Where others reach it.
    pub address: SocketAddr,
}

/// One request that ran.
#[derive(Clone, Debug)]
pub struct Run {
    /// The request's identifier.
    pub request: String,
    /// The server.
    pub server: String,
    /// When it began.
    pub began: Instant,
}

/// Keys that a server held, until when at most.
#[derive(Clone, Debug)]
pub struct Held {
    /// The service.
    pub service: String,
    /// The server, with its life.
    pub server: String,
    /// The first key.
    pub from: u16,
    /// The last key.
    pub to: u16,
    /// From when.
    pub since: Instant,
    /// Until when.
    pub until: Instant,
    fence: u64,
}

/// What all servers saw.
#[derive(Clone, Debug, Default)]
pub struct Witness {
    runs: Arc<Mutex<Vec<Run>>>,
    held: Arc<Mutex<Vec<Held>>>,
    broken: Arc<Mutex<Vec<String>>>,
}

impl Witness {
    /// Every request that ran.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.runs).clone()
    }

    /// Promises that were broken, as the servers saw it.
    pub fn broken(&self) -> Vec<String> {
        lock(&self.broken).clone()
    }

    fn grant(&self, new: Held) -> bool {
        let mut held = lock(&self.held);
        let now = Instant::now();
        held.retain(|old| old.until > now);
        let touches =
            |old: &Held| old.service == new.service && old.from <= new.to && new.from <= old.to;
        if held
            .iter()
            .any(|old| touches(old) && old.server == new.server && old.fence > new.fence)
        {
            return false;
        }
        for old in held
            .iter()
            .filter(|old| touches(old) && old.server != new.server)
        {
            let text = format!(
                "{} gets {}-{} with {} while {} holds {}-{} with {} for {:?} more",
                new.server,
                new.from,
                new.to,
                new.fence,
                old.server,
                old.from,
                old.to,
                old.fence,
                old.until - now
            );
            lock(&self.broken).push(text);
        }
        cut(
            &mut held,
            &new.service,
            &new.server,
            new.from,
            new.to,
            new.fence,
        );
        held.push(new);
        true
    }

    fn release(&self, service: &str, server: &str, from: u16, to: u16, fence: u64) {
        cut(&mut lock(&self.held), service, server, from, to, fence);
    }

    fn holds(&self, service: &str, server: &str, key: u16) -> bool {
        let now = Instant::now();
        let held = lock(&self.held);
        held.iter().any(|old| {
            old.service == service
                && old.server == server
                && old.from <= key
                && key <= old.to
                && old.until > now
        })
    }
}

fn cut(held: &mut Vec<Held>, service: &str, server: &str, from: u16, to: u16, fence: u64) {
    for old in std::mem::take(held) {
        let other = old.service != service || old.server != server || old.fence > fence;
        if other || old.to < from || to < old.from {
            held.push(old);
            continue;
        }
        if old.from < from {
            held.push(Held {
                to: from - 1,
                ..old.clone()
            });
        }
        if to < old.to {
            held.push(Held {
                from: to + 1,
                ..old
            });
        }
    }
}

#[derive(Debug)]
struct State {
    born: u64,
    running: u32,
    fault: UpstreamFault,
    draining: bool,
    sequence: u64,
}

/// A server in this process.
#[derive(Clone, Debug)]
pub struct Upstream {
    options: UpstreamOptions,
    store: ObjectStore,
    witness: Witness,
    state: Arc<Mutex<State>>,
    tasks: Arc<Mutex<Tasks>>,
}

impl Upstream {
    /// Starts a server and puts it into the store.
    ///
    /// # Errors
    ///
    /// Fails where the address cannot be listened at.
    pub async fn start(
        options: UpstreamOptions,
        store: ObjectStore,
        witness: Witness,
    ) -> std::io::Result<Self> {
        let state = State {
            born: 1,
            running: 0,
            fault: UpstreamFault::None,
            draining: false,
            sequence: 0,
        };
        let upstream = Self {
            options,
            store,
            witness,
            state: Arc::new(Mutex::new(state)),
            tasks: Arc::default(),
        };
        upstream.listen().await?;
        Ok(upstream)
    }

    async fn listen(&self) -> std::io::Result<()> {
        let tasks = Tasks::default();
        let mut app = tide::with_state(self.clone());
        app.at("/grant").post(grant);
        app.at("/release").post(release);
        app.at("/health").get(health);
        app.at("/*").all(run);
        serve(self.options.listen, app, &tasks).await?;
        *lock(&self.tasks) = tasks;
        self.register();
        Ok(())
    }

    /// What it is.
    pub fn options(&self) -> &UpstreamOptions {
        &self.options
    }

    /// Sets what is wrong with it.
    pub fn set_fault(&self, fault: UpstreamFault) {
        lock(&self.state).fault = fault;
    }

    /// Says that it is about to leave, or that it stays.
    pub fn set_draining(&self, draining: bool) {
        lock(&self.state).draining = draining;
        self.register();
    }

    /// Ends it as a crash does; its entry goes with it.
    pub fn crash(&self) {
        lock(&self.tasks).abort();
        lock(&self.witness.held).retain(|held| held.server != self.life());
        let mut state = lock(&self.state);
        state.born += 1;
        state.running = 0;
        state.draining = false;
        state.fault = UpstreamFault::None;
        drop(state);
        self.store.remove("servers", &self.options.id);
    }

    /// Starts it again under its identifier, holding nothing.
    ///
    /// # Errors
    ///
    /// Fails where its address cannot be listened at.
    pub async fn restart(&self) -> std::io::Result<()> {
        self.listen().await
    }

    fn life(&self) -> String {
        format!("{}/{}", self.options.id, lock(&self.state).born)
    }

    fn register(&self) {
        let mut state = lock(&self.state);
        state.sequence += 1;
        let options = &self.options;
        let spec = json!({
            "Address": options.address.to_string(),
            "born": state.born,
            "Info": { "Service": options.service, "Version": "v1", "Zone": options.domain, "Slots": options.slots },
        });
        let word = if state.draining { "draining" } else { "ready" };
        let status = json!({ "State": word, "Sequence": state.sequence, "WarmupLeftMs": 0 });
        drop(state);
        self.store.put("servers", &options.id, spec, status);
    }
}

/// Counts a request as running until it is dropped.
struct Running(Arc<Mutex<State>>);

impl Drop for Running {
    fn drop(&mut self) {
        let mut state = lock(&self.0);
        state.running = state.running.saturating_sub(1);
    }
}

fn header(request: &Request<Upstream>, name: &str) -> Option<String> {
    request
        .header(name)
        .map(|values| values.last().as_str().to_owned())
}

async fn run(mut request: Request<Upstream>) -> tide::Result {
    let upstream = request.state().clone();
    let id = header(&request, "Request-Id").unwrap_or_default();
    let body = request.body_bytes().await?;
    let named = header(&request, "Target-Instance");
    let key = header(&request, "Shard-Key").and_then(|text| text.parse().ok());
    let options = &upstream.options;
    let holds = !options.keyed
        || key.is_some_and(|key| {
            upstream
                .witness
                .holds(&options.service, &upstream.life(), key)
        });
    if named.is_some_and(|named| named != options.id) || !holds {
        return Ok(refusal(421, &id));
    }
    let (fault, running) = {
        let mut state = lock(&upstream.state);
        state.running += 1;
        (state.fault, state.running)
    };
    let _running = Running(upstream.state.clone());
    if fault == UpstreamFault::Hangs {
        while lock(&upstream.state).fault == UpstreamFault::Hangs {
            task::sleep(HANG_POLL).await;
        }
        return Ok(refusal(503, &id));
    }
    if running > options.slots * 4 {
        return Ok(refusal(503, &id));
    }
    lock(&upstream.witness.runs).push(Run {
        request: id.clone(),
        server: upstream.life(),
        began: Instant::now(),
    });
    let extra = if let UpstreamFault::Slow(millis) = fault {
        Duration::from_millis(millis)
    } else {
        Duration::ZERO
    };
    task::sleep(options.work + extra).await;
    let mut response = Response::new(200);
    response.insert_header("Request-Id", id.as_str());
    let load = format!(
        "{},0,{}",
        lock(&upstream.state).running.min(options.slots),
        options.slots
    );
    response.insert_header("Upstream-Load", load);
    if fault != UpstreamFault::Garbles {
        response.insert_header("Upstream-Signature", format!("sig.{}", options.id));
    }
    response.set_body(format!("{id}:{}", body.len()));
    Ok(response)
}

fn refusal(status: u16, id: &str) -> Response {
    let mut response = Response::new(status);
    response.insert_header("Not-Executed", "1");
    response.insert_header("Request-Id", id);
    response
}

async fn health(request: Request<Upstream>) -> tide::Result {
    let upstream = request.state();
    let mut response = Response::new(if lock(&upstream.state).draining {
        503
    } else {
        200
    });
    response.insert_header("Instance-Id", upstream.options.id.as_str());
    Ok(response)
}

fn number(body: &Value, name: &str) -> u64 {
    body[name].as_u64().unwrap_or_default()
}

async fn grant(mut request: Request<Upstream>) -> tide::Result {
    let upstream = request.state().clone();
    let body: Value = request.body_json().await?;
    let now = Instant::now();
    let hold = Duration::from_millis(number(&body, "HoldMs")).mul_f64(SLOW_CLOCK);
    let held = Held {
        service: upstream.options.service.clone(),
        server: upstream.life(),
        from: number(&body, "From") as u16,
        to: number(&body, "To") as u16,
        since: now,
        until: now + hold,
        fence: number(&body, "fence"),
    };
    if lock(&upstream.state).fault == UpstreamFault::OrdersLate {
        task::spawn(async move {
            task::sleep(Duration::from_secs(3)).await;
            if held.until > Instant::now() && held.server == upstream.life() {
                upstream.witness.grant(held);
            }
        });
        return futures::future::pending().await;
    }
    let status = if upstream.witness.grant(held) {
        200
    } else {
        409
    };
    Ok(Response::new(status))
}

async fn release(mut request: Request<Upstream>) -> tide::Result {
    let upstream = request.state().clone();
    let body: Value = request.body_json().await?;
    let (from, to) = (number(&body, "From") as u16, number(&body, "To") as u16);
    let fence = number(&body, "fence");
    upstream
        .witness
        .release(&upstream.options.service, &upstream.life(), from, to, fence);
    task::sleep(upstream.options.work).await;
    let mut response = Response::new(200);
    response.insert_header("Handover", "handed-over");
    Ok(response)
}
