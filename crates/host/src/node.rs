//! A running host: connects the core to sockets, outgoing calls and timers.

use std::collections::HashMap;
use std::fmt;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;

use amaranthshunt_clients::{BackendClient, StoreClient};
use amaranthshunt_core::ids::ExchangeId;
use amaranthshunt_core::request::OrderResult;
use amaranthshunt_core::{
    Effect, Event, Host, HostId, HostSettings, Outcome, Request, RequestId, Time, UnknownReason,
};
use amaranthshunt_settings::HostFile;
use amaranthshunt_wire::Hello;
use async_std::channel::{Receiver, Sender, bounded};
use async_std::net::TcpListener;
use async_std::task;
use futures::channel::oneshot;
use futures::future::{AbortHandle, Abortable};

use crate::callers;
use crate::calls::{OrderDispatch, call_register, call_store, send_order};
use crate::clock::Clock;
use crate::links::{Links, read_link};
use crate::lock::lock;
use crate::telemetry::{HostGauges, Metrics, log_event};

/// Interval of the checks during shutdown.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The longest time between two ticks of the core.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval of the gauge reports.
const METRICS_INTERVAL: Duration = Duration::from_secs(1);
/// Time that callers have during shutdown to use an idle connection once more and get a response
/// that closes it.
const LINGER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Why a host could not start.
#[derive(Debug)]
pub struct StartError {
    address: SocketAddr,
    error: io::Error,
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "cannot listen on {}: {}", self.address, self.error)
    }
}

impl std::error::Error for StartError {}

/// A running host.
#[derive(Debug)]
pub struct Node {
    settings: HostFile,
    id: HostId,
    clock: Clock,
    core: Mutex<Host>,
    pub(crate) links: Links,
    pub(crate) store: StoreClient,
    pub(crate) backends: BackendClient,
    pub(crate) metrics: Metrics,
    response_senders: Mutex<HashMap<RequestId, oneshot::Sender<Outcome>>>,
    running_orders: Mutex<HashMap<ExchangeId, AbortHandle>>,
    tasks: Mutex<Vec<AbortHandle>>,
    next_request: AtomicU64,
    active_requests: AtomicUsize,
    pub(crate) caller_connections: AtomicUsize,
    /// Ends the wait for the next tick.
    wake_up: (Sender<()>, Receiver<()>),
    /// When the next tick is due, in microseconds since the Unix epoch.
    tick_micros: AtomicU64,
    shutting_down: AtomicBool,
    stopped: AtomicBool,
}

impl Node {
    /// Starts a host and returns once its sockets are listening.
    ///
    /// # Errors
    ///
    /// Fails if an address of the settings cannot be bound.
    pub async fn start(settings: HostFile) -> Result<Arc<Self>, StartError> {
        let callers = bind_listener(settings.callers_address).await?;
        let hosts = bind_listener(settings.hosts_address).await?;
        let clock = Clock::default();
        let id = HostId(rand::random::<u64>() >> 1);
        let core_settings = HostSettings {
            id,
            name: settings.name.clone(),
            domain: settings.domain.clone(),
            address: settings.hosts_address,
            seeds: settings.seeds.clone(),
            timing: settings.timing,
        };
        let core = Host::new(core_settings, rand::random(), clock.now());
        let node = Arc::new(Self {
            id,
            clock,
            core: Mutex::new(core),
            links: Links::default(),
            store: StoreClient::new(settings.store_address, settings.timing.store_timeout),
            backends: BackendClient::default(),
            metrics: Metrics::new(settings.statsd_address),
            response_senders: Mutex::default(),
            running_orders: Mutex::default(),
            tasks: Mutex::default(),
            next_request: AtomicU64::new(1),
            active_requests: AtomicUsize::new(0),
            caller_connections: AtomicUsize::new(0),
            wake_up: bounded(1),
            tick_micros: AtomicU64::new(0),
            shutting_down: AtomicBool::new(false),
            stopped: AtomicBool::new(false),
            settings,
        });
        node.spawn(run_ticks(Arc::downgrade(&node)));
        node.spawn(report_metrics(Arc::downgrade(&node)));
        node.spawn(accept_hosts(Arc::downgrade(&node), hosts));
        node.spawn(callers::accept(Arc::downgrade(&node), callers));
        let started = amaranthshunt_core::log::LogRecord::new(
            amaranthshunt_core::log::EventCode::Started,
            node.settings.name.clone(),
            id.to_string(),
        );
        log_event(&node.settings.name, &started);
        Ok(node)
    }

    /// The settings of the host.
    pub fn settings(&self) -> &HostFile {
        &self.settings
    }

    /// The current time of the host's clock.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Reads the core's state under its lock.
    pub fn inspect<T>(&self, read: impl FnOnce(&Host) -> T) -> T {
        read(&lock(&self.core))
    }

    /// Whether the host serves requests.
    pub fn is_ready(&self) -> bool {
        self.inspect(Host::is_ready)
    }

    /// Whether a graceful shutdown has begun.
    pub fn is_shutting_down(&self) -> bool {
        self.shutting_down.load(Ordering::Relaxed)
    }

    /// Bytes of control messages sent to other hosts since the start.
    pub fn control_bytes(&self) -> u64 {
        self.links.control_bytes.load(Ordering::Relaxed)
    }

    /// Shuts down gracefully: hands over all shards, answers all callers, then returns.
    pub async fn shut_down(self: &Arc<Self>) {
        self.shutting_down.store(true, Ordering::Relaxed);
        self.handle_event(Event::Stop);
        while !self.stopped.load(Ordering::Relaxed) {
            task::sleep(SHUTDOWN_POLL_INTERVAL).await;
        }
        let mut waited = Duration::ZERO;
        while waited < LINGER_TIMEOUT && self.caller_connections.load(Ordering::Relaxed) > 0 {
            task::sleep(SHUTDOWN_POLL_INTERVAL).await;
            waited += SHUTDOWN_POLL_INTERVAL;
        }
        while self.active_requests.load(Ordering::Relaxed) > 0 {
            task::sleep(SHUTDOWN_POLL_INTERVAL).await;
        }
        self.abort();
    }

    /// Stops at once without a handover, like a crashed process.
    pub fn abort(&self) {
        self.stopped.store(true, Ordering::Relaxed);
        for handle in lock(&self.tasks).drain(..) {
            handle.abort();
        }
        for (_, handle) in lock(&self.running_orders).drain() {
            handle.abort();
        }
    }

    /// Serves a caller's request.
    pub(crate) async fn serve(self: &Arc<Self>, request: Request) -> Outcome {
        let id = RequestId(self.next_request.fetch_add(1, Ordering::Relaxed));
        let started = self.now();
        let (sender, receiver) = oneshot::channel();
        lock(&self.response_senders).insert(id, sender);
        let guard = ActiveRequest::new(self, id);
        self.handle_event(Event::Request { id, request });
        let outcome = receiver
            .await
            .unwrap_or(Outcome::Unknown(UnknownReason::HostLost));
        guard.finish();
        self.metrics.record_request(&outcome, started, self.now());
        outcome
    }

    /// The number of caller requests in progress.
    pub(crate) fn active_requests(&self) -> usize {
        self.active_requests.load(Ordering::Relaxed)
    }

    pub(crate) fn hello(&self) -> Hello {
        Hello {
            from: self.id,
            address: self.settings.hosts_address,
        }
    }

    /// Passes an event to the core and carries out the effects.
    ///
    /// Effects are carried out under the core's lock, so that messages are sent in the order in
    /// which the core produced them.
    pub(crate) fn handle_event(self: &Arc<Self>, event: Event) {
        let mut core = lock(&self.core);
        let effects = core.handle(self.clock.now(), event);
        let next_due = core.next_due().map_or(u64::MAX, Time::as_micros);
        for effect in effects {
            self.apply_effect(effect);
        }
        drop(core);
        if next_due < self.tick_micros.load(Ordering::Relaxed) {
            let _ = self.wake_up.0.try_send(());
        }
    }

    /// Runs a task that is aborted when the host stops.
    pub(crate) fn spawn(&self, future: impl Future<Output = ()> + Send + 'static) {
        let (handle, registration) = AbortHandle::new_pair();
        let mut tasks = lock(&self.tasks);
        tasks.retain(|task| !task.is_aborted());
        tasks.push(handle);
        task::spawn(Abortable::new(future, registration));
    }

    fn apply_effect(self: &Arc<Self>, effect: Effect) {
        match effect {
            Effect::Respond { id, outcome } => {
                if let Some(sender) = lock(&self.response_senders).remove(&id) {
                    let _ = sender.send(outcome);
                }
            }
            Effect::Send {
                to,
                address,
                message,
            } => self.links.send(self, Some(to), address, message),
            Effect::Probe { address, message } => {
                self.links.send(self, None, Some(address), message);
            }
            Effect::Store { call, call_kind } => {
                task::spawn(call_store(self.clone(), call, call_kind));
            }
            Effect::Register {
                call,
                address,
                grant,
            } => {
                task::spawn(call_register(self.clone(), call, address, grant));
            }
            Effect::Order {
                exchange,
                address,
                boot,
                order,
                request,
                ..
            } => self.dispatch_order(OrderDispatch {
                exchange,
                address,
                boot,
                order,
                request,
            }),
            Effect::Cancel { exchange } => {
                if let Some(handle) = lock(&self.running_orders).remove(&exchange) {
                    handle.abort();
                }
            }
            Effect::Log(record) => log_event(&self.settings.name, &record),
            Effect::Stopped => self.stopped.store(true, Ordering::Relaxed),
        }
    }

    fn dispatch_order(self: &Arc<Self>, dispatch: OrderDispatch) {
        let exchange = dispatch.exchange;
        let (handle, registration) = AbortHandle::new_pair();
        lock(&self.running_orders).insert(exchange, handle);
        let node = self.clone();
        task::spawn(async move {
            let order = Abortable::new(send_order(node.clone(), dispatch), registration);
            let result = order.await.unwrap_or(OrderResult::Lost);
            lock(&node.running_orders).remove(&exchange);
            if !node.stopped.load(Ordering::Relaxed) {
                node.handle_event(Event::Order { exchange, result });
            }
        });
    }
}

/// Counts a request as in progress, and reports it as cancelled if its caller goes away.
struct ActiveRequest<'a> {
    node: &'a Arc<Node>,
    id: RequestId,
    finished: bool,
}

impl<'a> ActiveRequest<'a> {
    fn new(node: &'a Arc<Node>, id: RequestId) -> Self {
        node.active_requests.fetch_add(1, Ordering::Relaxed);
        Self {
            node,
            id,
            finished: false,
        }
    }

    fn finish(mut self) {
        self.finished = true;
    }
}

impl Drop for ActiveRequest<'_> {
    fn drop(&mut self) {
        self.node.active_requests.fetch_sub(1, Ordering::Relaxed);
        if !self.finished {
            lock(&self.node.response_senders).remove(&self.id);
            self.node.handle_event(Event::Cancelled { id: self.id });
        }
    }
}

async fn bind_listener(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address)
        .await
        .map_err(|error| StartError { address, error })
}

/// Ticks the core at the time that it asks for; an event may make that time earlier.
async fn run_ticks(node: Weak<Node>) {
    while let Some(strong) = node.upgrade() {
        let now = strong.now();
        let due = strong.inspect(Host::next_due);
        let wait = due
            .map_or(MAX_TICK_INTERVAL, |due| due.since(now))
            .min(MAX_TICK_INTERVAL);
        let tick_micros = (now + wait).as_micros();
        strong.tick_micros.store(tick_micros, Ordering::Relaxed);
        let wake_up = strong.wake_up.1.clone();
        drop(strong);
        let _ = async_std::future::timeout(wait, wake_up.recv()).await;
        if let Some(strong) = node.upgrade() {
            strong.handle_event(Event::Tick);
        }
    }
}

async fn report_metrics(node: Weak<Node>) {
    while let Some(node) = node.upgrade() {
        let gauges = node.inspect(|core| HostGauges {
            active_requests: node.active_requests() as u64,
            controlled_servers: core.controlled_servers().count() as u64,
            ledger_records: core.ledger_record_count() as u64,
            control_bytes: node.control_bytes(),
        });
        node.metrics.report_gauges(&gauges);
        drop(node);
        task::sleep(METRICS_INTERVAL).await;
    }
}

async fn accept_hosts(node: Weak<Node>, listener: TcpListener) {
    loop {
        let accepted = listener.accept().await;
        let Some(strong) = node.upgrade() else {
            return;
        };
        if let Ok((stream, _)) = accepted {
            strong.spawn(read_link(node.clone(), stream));
        }
    }
}
