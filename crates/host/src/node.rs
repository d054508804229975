//! A running host: the core with sockets, calls and timers round it.

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
    Doubt, Effect, Event, Host, HostId, HostSettings, Outcome, Request, RequestId, Time,
};
use amaranthshunt_settings::HostFile;
use amaranthshunt_wire::Hello;
use async_std::channel::{Receiver, Sender, bounded};
use async_std::net::TcpListener;
use async_std::task;
use futures::channel::oneshot;
use futures::future::{AbortHandle, Abortable};

use crate::callers;
use crate::calls::{Dispatch, call_register, call_store, give_order};
use crate::clock::Clock;
use crate::links::{Links, read_link};
use crate::lock::lock;
use crate::telemetry::{Metrics, State, write_log};

/// Time between two looks while the host waits for its end.
const TICK: Duration = Duration::from_millis(10);
/// The longest time between two ticks.
const LONGEST_TICK: Duration = Duration::from_millis(50);
/// Time between two reports of what the host holds.
const REPORT: Duration = Duration::from_secs(1);
/// Time that callers have to use a kept connection once more, and be told to close it.
const LINGER: Duration = Duration::from_millis(1_500);

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
    file: HostFile,
    id: HostId,
    clock: Clock,
    core: Mutex<Host>,
    pub(crate) links: Links,
    pub(crate) store: StoreClient,
    pub(crate) backends: BackendClient,
    pub(crate) metrics: Metrics,
    waiting: Mutex<HashMap<RequestId, oneshot::Sender<Outcome>>>,
    orders: Mutex<HashMap<ExchangeId, AbortHandle>>,
    tasks: Mutex<Vec<AbortHandle>>,
    next_request: AtomicU64,
    active: AtomicUsize,
    pub(crate) connections: AtomicUsize,
    alarm: (Sender<()>, Receiver<()>),
    planned: AtomicU64,
    leaving: AtomicBool,
    stopped: AtomicBool,
}

impl Node {
    /// Starts a host and returns once its sockets listen.
    ///
    /// # Errors
    ///
    /// Fails when an address of the settings cannot be listened on.
    pub async fn start(file: HostFile) -> Result<Arc<Self>, StartError> {
        let callers = listen(file.callers).await?;
        let hosts = listen(file.hosts).await?;
        let clock = Clock::default();
        let id = HostId(rand::random::<u64>() >> 1);
        let settings = HostSettings {
            id,
            name: file.name.clone(),
            domain: file.domain.clone(),
            address: file.hosts,
            seeds: file.seeds.clone(),
            timing: file.timing,
        };
        let core = Host::new(settings, rand::random(), clock.now());
        let node = Arc::new(Self {
            id,
            clock,
            core: Mutex::new(core),
            links: Links::default(),
            store: StoreClient::new(file.store, file.timing.store_timeout),
            backends: BackendClient::default(),
            metrics: Metrics::new(file.statsd),
            waiting: Mutex::default(),
            orders: Mutex::default(),
            tasks: Mutex::default(),
            next_request: AtomicU64::new(1),
            active: AtomicUsize::new(0),
            connections: AtomicUsize::new(0),
            alarm: bounded(1),
            planned: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
            stopped: AtomicBool::new(false),
            file,
        });
        node.spawn(tick(Arc::downgrade(&node)));
        node.spawn(report(Arc::downgrade(&node)));
        node.spawn(accept_hosts(Arc::downgrade(&node), hosts));
        node.spawn(callers::accept(Arc::downgrade(&node), callers));
        let started = amaranthshunt_core::log::Record::new(
            amaranthshunt_core::log::Code::Started,
            node.file.name.clone(),
            id.to_string(),
        );
        write_log(&node.file.name, &started);
        Ok(node)
    }

    /// The settings that the host runs with.
    pub fn file(&self) -> &HostFile {
        &self.file
    }

    /// The time by the host's clock.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Looks into the core.
    pub fn inspect<T>(&self, look: impl FnOnce(&Host) -> T) -> T {
        look(&lock(&self.core))
    }

    /// Whether the host serves requests.
    pub fn is_ready(&self) -> bool {
        self.inspect(Host::is_ready)
    }

    /// Whether an orderly stop has begun.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Bytes of control messages sent to other hosts so far.
    pub fn control_bytes(&self) -> u64 {
        self.links.control_bytes.load(Ordering::Relaxed)
    }

    /// Stops in order: hands everything over, answers every caller, then returns.
    pub async fn leave(self: &Arc<Self>) {
        self.leaving.store(true, Ordering::Relaxed);
        self.tell(Event::Stop);
        while !self.stopped.load(Ordering::Relaxed) {
            task::sleep(TICK).await;
        }
        let mut waited = Duration::ZERO;
        while waited < LINGER && self.connections.load(Ordering::Relaxed) > 0 {
            task::sleep(TICK).await;
            waited += TICK;
        }
        while self.active.load(Ordering::Relaxed) > 0 {
            task::sleep(TICK).await;
        }
        self.kill();
    }

    /// Stops at once, as a lost process would.
    pub fn kill(&self) {
        self.stopped.store(true, Ordering::Relaxed);
        for handle in lock(&self.tasks).drain(..) {
            handle.abort();
        }
        for (_, handle) in lock(&self.orders).drain() {
            handle.abort();
        }
    }

    /// Serves one request of a caller.
    pub(crate) async fn serve(self: &Arc<Self>, request: Request) -> Outcome {
        let id = RequestId(self.next_request.fetch_add(1, Ordering::Relaxed));
        let started = self.now();
        let (sender, receiver) = oneshot::channel();
        lock(&self.waiting).insert(id, sender);
        let guard = Active::new(self, id);
        self.tell(Event::Request { id, request });
        let outcome = receiver.await.unwrap_or(Outcome::Unknown(Doubt::HostLost));
        guard.finish();
        self.metrics.request(&outcome, started, self.now());
        outcome
    }

    /// How many requests of callers are under way.
    pub(crate) fn active(&self) -> usize {
        self.active.load(Ordering::Relaxed)
    }

    pub(crate) fn hello(&self) -> Hello {
        Hello {
            from: self.id,
            address: self.file.hosts,
        }
    }

    /// Tells the core of an event and carries out what it wants.
    ///
    /// Effects are carried out under the lock, so that messages leave in the order in which
    /// the core wrote them.
    pub(crate) fn tell(self: &Arc<Self>, event: Event) {
        let mut core = lock(&self.core);
        let effects = core.handle(self.clock.now(), event);
        let due = core.next_due().map_or(u64::MAX, Time::as_micros);
        for effect in effects {
            self.perform(effect);
        }
        drop(core);
        if due < self.planned.load(Ordering::Relaxed) {
            let _ = self.alarm.0.try_send(());
        }
    }

    /// Runs a task that ends with the host.
    pub(crate) fn spawn(&self, future: impl Future<Output = ()> + Send + 'static) {
        let (handle, registration) = AbortHandle::new_pair();
        let mut tasks = lock(&self.tasks);
        tasks.retain(|task| !task.is_aborted());
        tasks.push(handle);
        task::spawn(Abortable::new(future, registration));
    }

    fn perform(self: &Arc<Self>, effect: Effect) {
        match effect {
            Effect::Respond { id, outcome } => {
                if let Some(sender) = lock(&self.waiting).remove(&id) {
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
            } => self.dispatch(Dispatch {
                exchange,
                address,
                boot,
                order,
                request,
            }),
            Effect::Cancel { exchange } => {
                if let Some(handle) = lock(&self.orders).remove(&exchange) {
                    handle.abort();
                }
            }
            Effect::Log(record) => write_log(&self.file.name, &record),
            Effect::Stopped => self.stopped.store(true, Ordering::Relaxed),
        }
    }

    fn dispatch(self: &Arc<Self>, dispatch: Dispatch) {
        let exchange = dispatch.exchange;
        let (handle, registration) = AbortHandle::new_pair();
        lock(&self.orders).insert(exchange, handle);
        let node = self.clone();
        task::spawn(async move {
            let order = Abortable::new(give_order(node.clone(), dispatch), registration);
            let result = order.await.unwrap_or(OrderResult::Lost);
            lock(&node.orders).remove(&exchange);
            if !node.stopped.load(Ordering::Relaxed) {
                node.tell(Event::Order { exchange, result });
            }
        });
    }
}

/// Counts a request as under way, and tells the core when its caller goes away.
struct Active<'a> {
    node: &'a Arc<Node>,
    id: RequestId,
    finished: bool,
}

impl<'a> Active<'a> {
    fn new(node: &'a Arc<Node>, id: RequestId) -> Self {
        node.active.fetch_add(1, Ordering::Relaxed);
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

impl Drop for Active<'_> {
    fn drop(&mut self) {
        self.node.active.fetch_sub(1, Ordering::Relaxed);
        if !self.finished {
            lock(&self.node.waiting).remove(&self.id);
            self.node.tell(Event::Cancelled { id: self.id });
        }
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address)
        .await
        .map_err(|error| StartError { address, error })
}

/// Ticks when the core wants it, which an event may bring forward.
async fn tick(node: Weak<Node>) {
    while let Some(strong) = node.upgrade() {
        let now = strong.now();
        let due = strong.inspect(Host::next_due);
        let wait = due
            .map_or(LONGEST_TICK, |due| due.since(now))
            .min(LONGEST_TICK);
        let planned = (now + wait).as_micros();
        strong.planned.store(planned, Ordering::Relaxed);
        let alarm = strong.alarm.1.clone();
        drop(strong);
        let _ = async_std::future::timeout(wait, alarm.recv()).await;
        if let Some(strong) = node.upgrade() {
            strong.tell(Event::Tick);
        }
    }
}

async fn report(node: Weak<Node>) {
    while let Some(node) = node.upgrade() {
        let state = node.inspect(|core| State {
            waiting: node.active() as u64,
            controlled: core.controls().count() as u64,
            records: core.ledger_size() as u64,
            control_bytes: node.control_bytes(),
        });
        node.metrics.state(&state);
        drop(node);
        task::sleep(REPORT).await;
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
