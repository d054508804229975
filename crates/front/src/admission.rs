//! The queue of requests that wait for a server, and the one timer that serves it.
//!
//! It is used only with overload control; `docs/design/admission-queue.md` gives the reasons.

use std::collections::HashMap;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use amaranthshunt_core::Time;
use amaranthshunt_core::front::{
    AdmissionQueue, FrontSettings, QueueDepth, QueueTicket, Rejection, Waiting,
};
use amaranthshunt_core::ids::ServerKey;
use async_std::channel::{Receiver, Sender, bounded};
use async_std::task;

use crate::clock;
use crate::entry_host::EntryHost;
use crate::lock::lock;
use crate::proxy::Request;

/// Requests that wait at most: beyond this, callers get an answer sooner elsewhere.
const MAX_REQUESTS: usize = 256;
/// Share of the memory for messages that the requests which wait may occupy; the rest is for those that
/// are served.
const BYTES_SHARE: f64 = 0.25;
/// Interval at which the most urgent requests are tried, in case capacity has become available without
/// an attempt of this host having ended. Callers lose at most this much of their target latency.
const TRIAL_INTERVAL: Duration = Duration::from_millis(20);

/// What a request that waits is told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Wake {
    /// To try again.
    Try,
    /// It will not be served in time, or has been shed.
    GiveUp,
    /// The caller has disconnected.
    CallerLeft,
    /// The host is shutting down.
    Leaving,
}

struct Waiter {
    wake: Sender<Wake>,
    request: Arc<Request>,
}

struct State {
    queue: AdmissionQueue,
    waiters: HashMap<QueueTicket, Waiter>,
}

impl State {
    fn wake(&self, ticket: QueueTicket, wake: Wake) {
        if let Some(waiter) = self.waiters.get(&ticket) {
            // A request that has been told something already acts on that first.
            let _ = waiter.wake.try_send(wake);
        }
    }

    fn give_up(&mut self, ticket: QueueTicket, wake: Wake) {
        self.queue.remove(ticket);
        if let Some(waiter) = self.waiters.remove(&ticket) {
            // The channel has room for this beside a trial that has not been noticed.
            let _ = waiter.wake.try_send(wake);
        }
    }

    fn wake_next(&mut self, ticket: Option<QueueTicket>) {
        if let Some(ticket) = ticket {
            self.wake(ticket, Wake::Try);
        }
    }
}

/// The requests of this host that wait for a server.
pub(crate) struct AdmissionControl {
    state: Mutex<State>,
    /// Tells the timer that a request waits.
    started: (Sender<()>, Receiver<()>),
}

impl AdmissionControl {
    /// Creates an empty queue.
    pub(crate) fn new(settings: &FrontSettings) -> Self {
        let bytes = settings.buffer_memory() as f64 * BYTES_SHARE;
        Self {
            state: Mutex::new(State {
                queue: AdmissionQueue::new(MAX_REQUESTS, bytes as usize),
                waiters: HashMap::new(),
            }),
            started: bounded(1),
        }
    }

    /// Whether a request that has just arrived must not be sent before others that wait.
    pub(crate) fn must_wait(&self, waiting: &Waiting) -> bool {
        lock(&self.state).queue.must_wait(clock::now(), waiting)
    }

    /// Expected time until a request that arrives now is sent.
    pub(crate) fn expected_wait(&self, waiting: &Waiting) -> Duration {
        lock(&self.state).queue.expected_wait(clock::now(), waiting)
    }

    /// Adds a request; it waits until the result is dropped.
    ///
    /// # Errors
    ///
    /// Fails if it will not be served in time, or there is no room for it.
    pub(crate) fn enqueue(
        &self,
        request: &Arc<Request>,
        waiting: Waiting,
    ) -> Result<QueuedRequest<'_>, Rejection> {
        let mut state = lock(&self.state);
        let offer = state.queue.offer(clock::now(), waiting);
        for ticket in offer.shed {
            state.give_up(ticket, Wake::GiveUp);
        }
        let ticket = offer.result?;
        let (wake, woken) = bounded(2);
        let request = request.clone();
        state.waiters.insert(ticket, Waiter { wake, request });
        drop(state);
        // A signal that has not been read yet is enough.
        let _ = self.started.0.try_send(());
        Ok(QueuedRequest {
            control: self,
            ticket,
            woken,
            is_tried: false,
        })
    }

    /// Lets the most urgent request that an ended attempt makes room for try again. `server` is the
    /// server of the attempt if its service has keys.
    pub(crate) fn record_end(&self, service: &Arc<str>, server: Option<ServerKey>) {
        let mut state = lock(&self.state);
        let next = state.queue.next(clock::now(), service, server);
        state.wake_next(next);
    }

    /// Length and age of the queue by priority: 0, 1 and all others.
    pub(crate) fn depths(&self) -> [QueueDepth; 3] {
        lock(&self.state).queue.depths(clock::now())
    }

    /// Serves the timers of all requests that wait; returns when the queue is empty, or when to go on.
    fn fire_timers(&self, is_leaving: bool) -> Option<Time> {
        let now = clock::now();
        let mut state = lock(&self.state);
        if is_leaving {
            for ticket in state.queue.drain() {
                state.give_up(ticket, Wake::Leaving);
            }
        }
        let has_left = |waiter: &Waiter| waiter.request.caller_left.load(Ordering::Relaxed);
        let left = state.waiters.iter().filter(|(_, waiter)| has_left(waiter));
        let left: Vec<QueueTicket> = left.map(|(ticket, _)| *ticket).collect();
        for ticket in left {
            state.give_up(ticket, Wake::CallerLeft);
        }
        for ticket in state.queue.expire(now) {
            state.give_up(ticket, Wake::GiveUp);
        }
        for ticket in state.queue.due(now) {
            state.wake(ticket, Wake::Try);
        }
        let expiry = state.queue.next_expiry()?;
        Some(expiry.min(now + TRIAL_INTERVAL))
    }
}

/// A request that waits, until it is dropped.
pub(crate) struct QueuedRequest<'a> {
    control: &'a AdmissionControl,
    ticket: QueueTicket,
    woken: Receiver<Wake>,
    /// Whether it has been told to try and has not reported the result.
    is_tried: bool,
}

impl QueuedRequest<'_> {
    /// Waits for what to do.
    pub(crate) async fn wait(&mut self) -> Wake {
        let wake = self.woken.recv().await;
        let wake = wake.unwrap_or(Wake::GiveUp);
        self.is_tried = wake == Wake::Try;
        wake
    }

    /// Records that it could not be served when it was tried.
    pub(crate) fn record_refusal(&mut self) {
        self.is_tried = false;
        lock(&self.control.state).queue.record_refusal(self.ticket);
    }

    /// Records that it is served now.
    pub(crate) fn record_service(mut self) {
        self.is_tried = false;
        let mut state = lock(&self.control.state);
        let next = state.queue.record_service(clock::now(), self.ticket);
        state.wake_next(next);
    }
}

impl Drop for QueuedRequest<'_> {
    fn drop(&mut self) {
        let mut state = lock(&self.control.state);
        state.waiters.remove(&self.ticket);
        if self.is_tried {
            // The capacity that it was told of is for the next one.
            let next = state.queue.record_service(clock::now(), self.ticket);
            state.wake_next(next);
        } else {
            state.queue.remove(self.ticket);
        }
    }
}

/// Serves the timers of the queue while requests wait, until the task is cancelled.
pub(crate) async fn run(host: Arc<EntryHost>) {
    while host.admission.started.1.recv().await.is_ok() {
        while let Some(due) = host.admission.fire_timers(host.is_leaving()) {
            // A deadline in the past is served after other tasks have run.
            let pause = due.since(clock::now()).max(Duration::from_millis(1));
            task::sleep(pause).await;
        }
    }
}
