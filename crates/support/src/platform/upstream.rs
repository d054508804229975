//! A fake backend server that registers itself, holds key ranges and records executions.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_std::task;
use serde_json::{Value, json};
use tide::{Request, Response};

use super::arrivals::Answer;
use super::objects::FakeObjectStore;
use super::recorder::{Execution, HeldKeys, ServerRecorder};
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

#[derive(Debug)]
struct State {
    incarnation: u64,
    running: u32,
    fault: UpstreamFault,
    draining: bool,
    sequence: u64,
    /// Value of the `Server-Limit` header, if responses have one.
    limit: Option<String>,
    /// Value of the `Server-Leaving` header, if responses have one.
    leaving: Option<String>,
    /// Value of the `Retry-After` header of the 503 that each request gets, if they are turned away.
    retry_after: Option<String>,
    /// End of the path of requests that crash the server, and time after which it is back.
    poison: Option<(String, Duration)>,
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
            leaving: None,
            retry_after: None,
            poison: None,
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

    /// Sets the text in which responses say that the server leaves; `None` if they say nothing.
    pub fn set_leaving(&self, leaving: Option<&str>) {
        lock(&self.state).leaving = leaving.map(str::to_owned);
    }

    /// Sets the `Retry-After` with which all requests are turned away; `None` if they are served.
    pub fn set_retry_after(&self, retry_after: Option<&str>) {
        lock(&self.state).retry_after = retry_after.map(str::to_owned);
    }

    /// Lets requests whose path ends in `path` crash the server when they begin to run; it is back after
    /// `down`.
    pub fn set_poison(&self, path: &str, down: Duration) {
        lock(&self.state).poison = Some((path.to_owned(), down));
    }

    /// Sets whether the server reports that it is draining.
    pub fn set_draining(&self, draining: bool) {
        lock(&self.state).draining = draining;
        self.publish();
    }

    /// Aborts the server, as a crash would, and removes it from the store.
    pub fn crash(&self) {
        self.crash_unseen();
        self.store.remove("servers", &self.options.id);
    }

    /// Aborts the server, as a crash would; its entry in the store stays.
    pub fn crash_unseen(&self) {
        lock(&self.tasks).abort();
        self.recorder.end_leases(&self.incarnation_id());
        let mut state = lock(&self.state);
        state.incarnation += 1;
        state.running = 0;
        state.draining = false;
        state.limit = None;
        state.leaving = None;
        state.retry_after = None;
        state.fault = UpstreamFault::None;
    }

    /// Crashes and starts again after a time.
    fn crash_for(self, down: Duration) {
        task::spawn(async move {
            self.crash_unseen();
            task::sleep(down).await;
            if let Err(error) = self.restart().await {
                eprintln!("cannot restart {}: {error}", self.options.id);
            }
        });
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

    /// Writes the server's entry to the store.
    pub fn publish(&self) {
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

async fn run(request: Request<FakeUpstream>) -> tide::Result {
    let upstream = request.state().clone();
    let id = header(&request, "Request-Id").unwrap_or_default();
    let arrivals = &upstream.recorder.arrivals;
    let number = arrivals.record(&id, upstream.incarnation_id());
    let mut response = execute(request, &upstream, &id).await?;
    let leaving = lock(&upstream.state).leaving.clone();
    if let Some(text) = &leaving {
        response.insert_header("Server-Leaving", text.as_str());
    }
    let retry_after = response.header("Retry-After");
    let seconds = retry_after.and_then(|values| values.last().as_str().parse().ok());
    arrivals.record_answer(
        number,
        Answer {
            at: Instant::now(),
            status: response.status().into(),
            says_leaving: leaving.as_deref() == Some("1"),
            pause: seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok()),
        },
    );
    Ok(response)
}

async fn execute(
    mut request: Request<FakeUpstream>,
    upstream: &FakeUpstream,
    id: &str,
) -> tide::Result {
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
        return Ok(rejection(421, id));
    }
    if let Some(retry_after) = &lock(&upstream.state).retry_after {
        let mut response = rejection(503, id);
        response.insert_header("Retry-After", retry_after.as_str());
        return Ok(response);
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
        return Ok(rejection(503, id));
    }
    if running > options.slots * 4 {
        return Ok(rejection(503, id));
    }
    upstream.recorder.record_execution(Execution {
        request: id.to_owned(),
        server: upstream.incarnation_id(),
        began: Instant::now(),
        tenant: header(&request, "Tenant-Id"),
        has_key: header(&request, "Authorization").is_some(),
    });
    let poison = lock(&upstream.state).poison.clone();
    if let Some((_, down)) = poison.filter(|(path, _)| request.url().path().ends_with(path)) {
        upstream.clone().crash_for(down);
        return futures::future::pending().await;
    }
    let extra = if let UpstreamFault::Slow(millis) = fault {
        Duration::from_millis(millis)
    } else {
        Duration::ZERO
    };
    task::sleep(options.service_time + extra).await;
    let mut response = Response::new(200);
    response.insert_header("Request-Id", id);
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
