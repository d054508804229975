//! A fake backend server that registers itself, holds key ranges and records executions.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_std::task;
use serde_json::{Value, json};
use tide::{Request, Response};

use super::objects::FakeObjectStore;
use crate::lock::lock;
use crate::serve::{Tasks, serve};

/// Factor by which a lease lasts longer than granted, because the server's clock runs slow.
const SLOW_CLOCK_FACTOR: f64 = 1.02;

/// Interval at which a hanging request checks whether the fault is still set.
const HANG_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A fault of a server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum UpstreamFault {
    /// No fault.
    #[default]
    None,
    /// Requests get no answer while the fault lasts, and are then rejected without being executed.
    Hangs,
    /// Requests are executed, but their answers lack the signature.
    Garbles,
    /// Requests take this many milliseconds longer.
    Slow(u64),
    /// Key grants are not answered and take effect 3 s later.
    DelaysGrants,
}

/// Options of a fake server.
#[derive(Clone, Debug)]
pub struct UpstreamOptions {
    /// The identifier it registers under.
    pub id: String,
    /// The service it belongs to.
    pub service: String,
    /// The failure domain it runs in.
    pub domain: String,
    /// Whether it serves only keys that it holds.
    pub holds_keys: bool,
    /// Concurrency limit that it reports; it rejects requests above four times as many.
    pub slots: u32,
    /// Time to process a request.
    pub service_time: Duration,
    /// The address that it listens on.
    pub listen: SocketAddr,
    /// The address that it registers, such as that of a proxy.
    pub address: SocketAddr,
}

/// One execution of a request.
#[derive(Clone, Debug)]
pub struct Execution {
    /// The request ID.
    pub request: String,
    /// The server and its incarnation, as `id/number`.
    pub server: String,
    /// When the execution started.
    pub began: Instant,
}

/// A key range that a server holds until it is released or expires.
#[derive(Clone, Debug)]
pub struct HeldKeys {
    /// The service that the keys belong to.
    pub service: String,
    /// The server and its incarnation, as `id/number`.
    pub server: String,
    /// The first key of the range.
    pub from: u16,
    /// The last key of the range, inclusive.
    pub to: u16,
    /// When the grant arrived.
    pub since: Instant,
    /// When the lease expires.
    pub until: Instant,
    fence: u64,
}

/// Record shared by all fake servers: executions, held keys and violations.
#[derive(Clone, Debug, Default)]
pub struct ServerRecorder {
    executions: Arc<Mutex<Vec<Execution>>>,
    held: Arc<Mutex<Vec<HeldKeys>>>,
    /// All grants that servers have accepted: a server rejects lower tokens also after a release.
    accepted: Arc<Mutex<Vec<HeldKeys>>>,
    violations: Arc<Mutex<Vec<Violation>>>,
}

/// A grant of keys that another server still held.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// When the grant took effect.
    pub at: Instant,
    /// The servers, key ranges and fence tokens.
    pub text: String,
}

impl ServerRecorder {
    /// All executions so far.
    pub fn executions(&self) -> Vec<Execution> {
        lock(&self.executions).clone()
    }

    /// The grants of keys that another server still held.
    pub fn violations(&self) -> Vec<Violation> {
        lock(&self.violations).clone()
    }

    fn grant(&self, new: HeldKeys) -> bool {
        let mut held = lock(&self.held);
        let now = Instant::now();
        held.retain(|other| other.until > now);
        let overlaps = |other: &HeldKeys| {
            other.service == new.service && other.from <= new.to && new.from <= other.to
        };
        let mut accepted = lock(&self.accepted);
        if accepted
            .iter()
            .any(|other| overlaps(other) && other.server == new.server && other.fence > new.fence)
        {
            return false;
        }
        accepted.retain(|other| {
            let is_covered = new.from <= other.from && other.to <= new.to;
            other.server != new.server || other.service != new.service || !is_covered
        });
        accepted.push(new.clone());
        for other in held
            .iter()
            .filter(|other| overlaps(other) && other.server != new.server)
        {
            let text = format!(
                "{} is granted {}-{} with fence {} while {} holds {}-{} with fence {} for {:?} more",
                new.server,
                new.from,
                new.to,
                new.fence,
                other.server,
                other.from,
                other.to,
                other.fence,
                other.until - now
            );
            lock(&self.violations).push(Violation { at: now, text });
        }
        remove_range(
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
        remove_range(&mut lock(&self.held), service, server, from, to, fence);
    }

    fn holds(&self, service: &str, server: &str, key: u16) -> bool {
        let now = Instant::now();
        let held = lock(&self.held);
        held.iter().any(|other| {
            other.service == service
                && other.server == server
                && other.from <= key
                && key <= other.to
                && other.until > now
        })
    }
}

fn remove_range(
    held: &mut Vec<HeldKeys>,
    service: &str,
    server: &str,
    from: u16,
    to: u16,
    fence: u64,
) {
    for other in std::mem::take(held) {
        let unaffected = other.service != service || other.server != server || other.fence > fence;
        if unaffected || other.to < from || to < other.from {
            held.push(other);
            continue;
        }
        if other.from < from {
            held.push(HeldKeys {
                to: from - 1,
                ..other.clone()
            });
        }
        if to < other.to {
            held.push(HeldKeys {
                from: to + 1,
                ..other
            });
        }
    }
}

#[derive(Debug)]
struct State {
    incarnation: u64,
    running: u32,
    fault: UpstreamFault,
    draining: bool,
    sequence: u64,
    /// Value of the `Server-Limit` header, if responses have one.
    limit: Option<String>,
}

/// A fake server that runs in this process.
#[derive(Clone, Debug)]
pub struct FakeUpstream {
    options: UpstreamOptions,
    store: FakeObjectStore,
    recorder: ServerRecorder,
    state: Arc<Mutex<State>>,
    tasks: Arc<Mutex<Tasks>>,
}

impl FakeUpstream {
    /// Starts a server and registers it in the store.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(
        options: UpstreamOptions,
        store: FakeObjectStore,
        recorder: ServerRecorder,
    ) -> std::io::Result<Self> {
        let state = State {
            incarnation: 1,
            running: 0,
            fault: UpstreamFault::None,
            draining: false,
            sequence: 0,
            limit: None,
        };
        let upstream = Self {
            options,
            store,
            recorder,
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
        self.publish();
        Ok(())
    }

    /// The options it was started with.
    pub fn options(&self) -> &UpstreamOptions {
        &self.options
    }

    /// Sets the fault.
    pub fn set_fault(&self, fault: UpstreamFault) {
        lock(&self.state).fault = fault;
    }

    /// Sets the limit on requests per second that responses name; `None` if they name none.
    pub fn set_limit(&self, limit: Option<&str>) {
        lock(&self.state).limit = limit.map(str::to_owned);
    }

    /// Sets whether the server reports that it is draining.
    pub fn set_draining(&self, draining: bool) {
        lock(&self.state).draining = draining;
        self.publish();
    }

    /// Aborts the server, as a crash would, and removes it from the store.
    pub fn crash(&self) {
        lock(&self.tasks).abort();
        lock(&self.recorder.held).retain(|held| held.server != self.incarnation_id());
        let mut state = lock(&self.state);
        state.incarnation += 1;
        state.running = 0;
        state.draining = false;
        state.limit = None;
        state.fault = UpstreamFault::None;
        drop(state);
        self.store.remove("servers", &self.options.id);
    }

    /// Starts the server again under the same identifier, without held keys.
    ///
    /// # Errors
    ///
    /// Fails if its address cannot be bound.
    pub async fn restart(&self) -> std::io::Result<()> {
        self.listen().await
    }

    fn incarnation_id(&self) -> String {
        format!("{}/{}", self.options.id, lock(&self.state).incarnation)
    }

    fn publish(&self) {
        let mut state = lock(&self.state);
        state.sequence += 1;
        let options = &self.options;
        let spec = json!({
            "Address": options.address.to_string(),
            "born": state.incarnation,
            "Info": { "Service": options.service, "Version": "v1", "Zone": options.domain, "Slots": options.slots },
        });
        let state_name = if state.draining { "draining" } else { "ready" };
        let status = json!({ "State": state_name, "Sequence": state.sequence, "WarmupLeftMs": 0 });
        drop(state);
        self.store.put("servers", &options.id, spec, status);
    }
}

/// Counts a request as running until dropped.
struct RunningGuard(Arc<Mutex<State>>);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        let mut state = lock(&self.0);
        state.running = state.running.saturating_sub(1);
    }
}

fn header(request: &Request<FakeUpstream>, name: &str) -> Option<String> {
    request
        .header(name)
        .map(|values| values.last().as_str().to_owned())
}

async fn run(mut request: Request<FakeUpstream>) -> tide::Result {
    let upstream = request.state().clone();
    let id = header(&request, "Request-Id").unwrap_or_default();
    let body = request.body_bytes().await?;
    let target = header(&request, "Target-Instance");
    let key = header(&request, "Shard-Key").and_then(|text| text.parse().ok());
    let options = &upstream.options;
    let holds = !options.holds_keys
        || key.is_some_and(|key| {
            upstream
                .recorder
                .holds(&options.service, &upstream.incarnation_id(), key)
        });
    if target.is_some_and(|target| target != options.id) || !holds {
        return Ok(rejection(421, &id));
    }
    let (fault, running) = {
        let mut state = lock(&upstream.state);
        state.running += 1;
        (state.fault, state.running)
    };
    let _running = RunningGuard(upstream.state.clone());
    if fault == UpstreamFault::Hangs {
        while lock(&upstream.state).fault == UpstreamFault::Hangs {
            task::sleep(HANG_POLL_INTERVAL).await;
        }
        return Ok(rejection(503, &id));
    }
    if running > options.slots * 4 {
        return Ok(rejection(503, &id));
    }
    lock(&upstream.recorder.executions).push(Execution {
        request: id.clone(),
        server: upstream.incarnation_id(),
        began: Instant::now(),
    });
    let extra = if let UpstreamFault::Slow(millis) = fault {
        Duration::from_millis(millis)
    } else {
        Duration::ZERO
    };
    task::sleep(options.service_time + extra).await;
    let mut response = Response::new(200);
    response.insert_header("Request-Id", id.as_str());
    let load = format!(
        "{},0,{}",
        lock(&upstream.state).running.min(options.slots),
        options.slots
    );
    response.insert_header("Upstream-Load", load);
    if let Some(limit) = &lock(&upstream.state).limit {
        response.insert_header("Server-Limit", limit.as_str());
    }
    if fault != UpstreamFault::Garbles {
        response.insert_header("Upstream-Signature", format!("sig.{}", options.id));
    }
    response.set_body(format!("{id}:{}", body.len()));
    Ok(response)
}

fn rejection(status: u16, id: &str) -> Response {
    let mut response = Response::new(status);
    response.insert_header("Not-Executed", "1");
    response.insert_header("Request-Id", id);
    response
}

async fn health(request: Request<FakeUpstream>) -> tide::Result {
    let upstream = request.state();
    let mut response = Response::new(if lock(&upstream.state).draining {
        503
    } else {
        200
    });
    response.insert_header("Instance-Id", upstream.options.id.as_str());
    Ok(response)
}

fn number_field(body: &Value, name: &str) -> u64 {
    body[name].as_u64().unwrap_or_default()
}

async fn grant(mut request: Request<FakeUpstream>) -> tide::Result {
    let upstream = request.state().clone();
    let body: Value = request.body_json().await?;
    let now = Instant::now();
    let hold = Duration::from_millis(number_field(&body, "HoldMs")).mul_f64(SLOW_CLOCK_FACTOR);
    let held = HeldKeys {
        service: upstream.options.service.clone(),
        server: upstream.incarnation_id(),
        from: number_field(&body, "From") as u16,
        to: number_field(&body, "To") as u16,
        since: now,
        until: now + hold,
        fence: number_field(&body, "fence"),
    };
    if lock(&upstream.state).fault == UpstreamFault::DelaysGrants {
        task::spawn(async move {
            task::sleep(Duration::from_secs(3)).await;
            if held.until > Instant::now() && held.server == upstream.incarnation_id() {
                upstream.recorder.grant(held);
            }
        });
        return futures::future::pending().await;
    }
    let status = if upstream.recorder.grant(held) {
        200
    } else {
        409
    };
    Ok(Response::new(status))
}

async fn release(mut request: Request<FakeUpstream>) -> tide::Result {
    let upstream = request.state().clone();
    let body: Value = request.body_json().await?;
    let (from, to) = (
        number_field(&body, "From") as u16,
        number_field(&body, "To") as u16,
    );
    let fence = number_field(&body, "fence");
    upstream.recorder.release(
        &upstream.options.service,
        &upstream.incarnation_id(),
        from,
        to,
        fence,
    );
    task::sleep(upstream.options.service_time).await;
    let mut response = Response::new(200);
    response.insert_header("Handover", "handed-over");
    Ok(response)
}
