//! The requests of one connection that are in flight, and what is read behind them.

use std::future::Future;
use std::io::ErrorKind;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::Poll;
use std::time::Duration;

use amaranthshunt_core::Time;
use amaranthshunt_core::front::{Limits, NextResponse, ResponseOrder, Route, Ticket};
use async_std::future::timeout;
use async_std::task;
use futures::future::poll_fn;
use futures::stream::{FuturesUnordered, StreamExt};

use super::start::{admit, may_overtake, plan};
use super::{
    POLL_INTERVAL, ReceivedHead, Sender, WholeRequest, limits_of, read_body, read_head,
    record_response,
};
use crate::clock;
use crate::entry_host::{EntryHost, InFlightGuard};
use crate::http::{Body, BufferAccount, Connection, ConnectionWriter, Framing, HttpError};
use crate::proxy::{Request, serve};
use crate::response::Response;

/// Timeout for writing a response to a caller.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// A request that is being served.
type Serving = Pin<Box<dyn Future<Output = (Ticket, Response)> + Send>>;

/// What was read behind the requests in flight, and has to wait until they are answered.
pub(super) enum ReadAhead<'a> {
    /// A head whose body has not been read.
    Head(ReceivedHead),
    /// A request.
    Whole(WholeRequest<'a>),
    /// A request that could not be read.
    Failed { id: String, error: HttpError },
}

impl ReadAhead<'_> {
    /// A request whose head could not be read.
    pub(super) fn failed(error: HttpError) -> Self {
        Self::Failed {
            id: "-".to_owned(),
            error,
        }
    }
}

/// The connection is to be closed.
pub(super) struct Closed;

/// What has been read while requests are in flight.
enum ReadResult {
    Head(ReceivedHead),
    Failed(HttpError),
    /// There is no memory for reading ahead.
    NoRoom,
    Disconnected,
}

/// What happens to a connection with requests in flight.
enum Event<T> {
    /// A read has ended.
    Read(T),
    /// A response has been written.
    Written,
    /// The connection is to be closed.
    Ended,
}

/// A request whose response has not been written.
struct Unwritten<'a> {
    id: String,
    state: State,
    _in_flight: InFlightGuard<'a>,
}

enum State {
    Serving(Arc<Request>),
    /// The response, and what the log says of the request unless it was refused.
    Ready(Response, Option<Served>),
}

/// What the log says of a request that was served.
struct Served {
    route: Arc<Route>,
    version: u64,
    received: Time,
}

/// The requests of one connection that are in flight.
pub(super) struct Pipeline<'a> {
    host: &'a Arc<EntryHost>,
    writer: ConnectionWriter,
    sender: Sender,
    order: ResponseOrder<Unwritten<'a>>,
    serving: FuturesUnordered<Serving>,
}

impl<'a> Pipeline<'a> {
    pub(super) fn new(host: &'a Arc<EntryHost>, writer: ConnectionWriter, sender: Sender) -> Self {
        Self {
            host,
            writer,
            sender,
            order: ResponseOrder::default(),
            serving: FuturesUnordered::new(),
        }
    }

    /// Starts a request, or refuses it; returns it if it has to wait for the ones in flight.
    fn start(&mut self, request: WholeRequest<'a>) -> Option<ReadAhead<'a>> {
        let is_behind = !self.order.is_empty();
        let head = &request.received.head;
        let Some(plan) = plan(self.host, head, self.sender, is_behind) else {
            return Some(ReadAhead::Whole(request));
        };
        if is_behind {
            self.host.counters.pipelined.add();
        }
        let idempotent = plan.as_ref().map_or(true, |plan| plan.route.idempotent);
        let closes = !head.keep_alive;
        let id = request.received.id();
        let WholeRequest {
            received,
            body,
            in_flight,
        } = request;
        match admit(self.host, received, body, plan, self.sender) {
            Ok(request) => {
                let unwritten = Unwritten {
                    id,
                    state: State::Serving(request.clone()),
                    _in_flight: in_flight,
                };
                let ticket = self.order.start(unwritten, idempotent, closes);
                let host = self.host.clone();
                self.serving.push(Box::pin(
                    async move { (ticket, serve(host, request).await) },
                ));
            }
            Err(refusal) => {
                let unwritten = Unwritten {
                    id,
                    state: State::Ready(Response::refused(refusal), None),
                    _in_flight: in_flight,
                };
                let ticket = self.order.start(unwritten, idempotent, closes);
                self.order.complete(ticket);
            }
        }
        None
    }

    /// Serves a request, and those behind it that may be started meanwhile, until all are answered. Returns
    /// what is to be handled next, if it has been read.
    ///
    /// # Errors
    ///
    /// Fails if the connection is to be closed.
    pub(super) async fn run(
        &mut self,
        first: WholeRequest<'a>,
        connection: &mut Connection,
        mut limits: Limits,
        ahead: &mut BufferAccount,
    ) -> Result<Option<ReadAhead<'a>>, Closed> {
        let mut next = self.start(first);
        let mut has_room = true;
        while !self.order.is_empty() {
            match self.write_ready().await {
                Some(true) => continue,
                Some(false) => return Err(Closed),
                None => {}
            }
            let reads = next.is_none() && has_room && self.may_read();
            let event = if reads {
                self.read_next(connection, &limits, ahead).await
            } else {
                let mut watch = Box::pin(connection.wait_closed(ahead));
                match self.drive(watch.as_mut()).await {
                    Event::Read(()) => Event::Read(ReadResult::Disconnected),
                    Event::Written => Event::Written,
                    Event::Ended => Event::Ended,
                }
            };
            match event {
                Event::Read(ReadResult::Head(received)) => {
                    next = self.start_behind(connection, received, &limits).await?;
                    // A caller that always has a request in flight gets new limits, too.
                    limits = limits_of(self.host, self.sender);
                }
                Event::Read(ReadResult::Failed(error)) => next = Some(ReadAhead::failed(error)),
                Event::Read(ReadResult::NoRoom) => has_room = false,
                Event::Read(ReadResult::Disconnected) => {
                    self.close();
                    return Err(Closed);
                }
                Event::Written => has_room = true,
                Event::Ended => return Err(Closed),
            }
        }
        Ok(next)
    }

    /// Whether to read the head of another request. A host that shuts down starts nothing behind the
    /// requests in flight.
    fn may_read(&self) -> bool {
        self.order.may_read() && !self.host.is_leaving()
    }

    /// Reads the head of the next request until it is complete or no request is in flight any more. What
    /// has been read by then stays in the buffer.
    async fn read_next(
        &mut self,
        connection: &mut Connection,
        limits: &Limits,
        ahead: &mut BufferAccount,
    ) -> Event<ReadResult> {
        let mut read = Box::pin(read_ahead(self.host, connection, limits, ahead));
        loop {
            match self.drive(read.as_mut()).await {
                Event::Written if !self.order.is_empty() => {}
                event => return event,
            }
        }
    }

    /// Starts a request behind the ones in flight, after reading its body; returns it if it has to wait.
    ///
    /// # Errors
    ///
    /// Fails if the connection is to be closed.
    async fn start_behind(
        &mut self,
        connection: &mut Connection,
        mut received: ReceivedHead,
        limits: &Limits,
    ) -> Result<Option<ReadAhead<'a>>, Closed> {
        let may_start = self.sender == Sender::Caller
            && !received.expects_continue()
            && !self.host.is_leaving()
            && self.order.may_start(true)
            && self
                .host
                .with_router(|router, _| may_overtake(router, &received.head));
        if !may_start {
            return Ok(Some(ReadAhead::Head(received)));
        }
        // Without room it waits for its turn, as do all requests of callers that do not pipeline.
        let Some(in_flight) = received.admit(self.host, limits) else {
            return Ok(Some(ReadAhead::Head(received)));
        };
        let mut body = Body::default();
        if received.head.framing != Framing::Length(0) {
            let mut read = Box::pin(read_body(connection, &mut received, limits));
            let result = loop {
                match self.drive(read.as_mut()).await {
                    Event::Read(result) => break result,
                    Event::Written => {}
                    Event::Ended => return Err(Closed),
                }
            };
            drop(read);
            body = match result {
                Ok(body) => body,
                Err(error) if is_disconnect(&error) => {
                    self.close();
                    return Err(Closed);
                }
                Err(error) => {
                    let id = received.id();
                    return Ok(Some(ReadAhead::Failed { id, error }));
                }
            };
        }
        Ok(self.start(WholeRequest {
            received,
            body,
            in_flight,
        }))
    }

    /// Serves the requests in flight while something is read, until that has ended or a response has been
    /// written.
    async fn drive<T>(&mut self, mut read: Pin<&mut impl Future<Output = T>>) -> Event<T> {
        loop {
            match self.write_ready().await {
                Some(true) => return Event::Written,
                Some(false) => return Event::Ended,
                None => {}
            }
            let serving = &mut self.serving;
            let wait = poll_fn(|context| {
                // The connection comes first: nothing is sent for a caller that has left already.
                if let Poll::Ready(value) = read.as_mut().poll(context) {
                    return Poll::Ready(Ok(value));
                }
                match serving.poll_next_unpin(context) {
                    Poll::Ready(Some(done)) => Poll::Ready(Err(done)),
                    Poll::Ready(None) | Poll::Pending => Poll::Pending,
                }
            });
            match timeout(POLL_INTERVAL, wait).await {
                Ok(Ok(value)) => return Event::Read(value),
                Ok(Err((ticket, response))) => complete(&mut self.order, ticket, response),
                Err(_) if self.host.is_terminating() => self.give_up(),
                Err(_) => {}
            }
        }
    }

    /// Writes the next response if it is ready; returns whether the connection stays open.
    async fn write_ready(&mut self) -> Option<bool> {
        let next = self.order.take_next(self.host.is_leaving())?;
        let stays_open = self.write(next).await;
        if !stays_open {
            self.close();
        }
        Some(stays_open)
    }

    /// Writes a response; returns whether the connection stays open. Requests behind it are served
    /// meanwhile, since a caller may be slow to read.
    async fn write(&mut self, next: NextResponse<Unwritten<'a>>) -> bool {
        let NextResponse { item, closes } = next;
        let State::Ready(response, served) = item.state else {
            return false;
        };
        record(self.host, &item.id, &response, served.as_ref());
        let response = match self.sender {
            Sender::Caller => response,
            Sender::Host => response.for_host(),
        };
        let id = Some(item.id.as_str()).filter(|id| !id.is_empty());
        let head = response.head_bytes(id, !closes);
        let Self {
            writer,
            order,
            serving,
            ..
        } = self;
        let mut write = pin!(timeout(WRITE_TIMEOUT, writer.write(&head, response.body())));
        let written = poll_fn(|context| {
            if let Poll::Ready(written) = write.as_mut().poll(context) {
                return Poll::Ready(written);
            }
            while let Poll::Ready(Some((ticket, response))) = serving.poll_next_unpin(context) {
                complete(order, ticket, response);
            }
            Poll::Pending
        });
        matches!(written.await, Ok(Ok(()))) && !closes
    }

    /// Answers all requests that have no response yet, since the process is about to exit.
    fn give_up(&mut self) {
        self.serving = FuturesUnordered::new();
        let unfinished: Vec<_> = self.order.unfinished().collect();
        for ticket in unfinished {
            let response = Response::generated(504, None, "unknown: the host is shutting down");
            complete(&mut self.order, ticket, response);
        }
    }

    /// Ends all requests without a written response.
    ///
    /// Idempotent ones are cancelled. Any other one runs to its end if it has been sent to a server,
    /// since a cancelled one may have run in part.
    fn close(&mut self) {
        let serving = std::mem::take(&mut self.serving);
        for (unwritten, is_cancelled) in self.order.close() {
            self.host.counters.abandoned.add();
            if let State::Serving(request) = unwritten.state
                && !is_cancelled
            {
                request.caller_left.store(true, Ordering::Relaxed);
                // It is the only one in flight.
                serving
                    .into_iter()
                    .for_each(|serving| drop(task::spawn(serving)));
                return;
            }
        }
    }
}

/// Stores the response to a request until its turn.
fn complete(order: &mut ResponseOrder<Unwritten<'_>>, ticket: Ticket, response: Response) {
    let Some(unwritten) = order.complete(ticket) else {
        return;
    };
    let served = match &unwritten.state {
        State::Serving(request) => Some(Served {
            route: request.plan.route.clone(),
            version: request.plan.version,
            received: request.received,
        }),
        State::Ready(..) => None,
    };
    unwritten.state = State::Ready(response, served);
}

fn record(host: &EntryHost, id: &str, response: &Response, served: Option<&Served>) {
    match served {
        Some(served) => {
            let duration = clock::now().since(served.received);
            let (route, version) = (&served.route.name, served.version);
            record_response(host, id, route, version, response, duration);
        }
        None => {
            let version = host.config_version();
            record_response(host, id, "-", version, response, Duration::ZERO);
        }
    }
}

/// Reads the head of a request behind the ones in flight.
async fn read_ahead(
    host: &EntryHost,
    connection: &mut Connection,
    limits: &Limits,
    ahead: &mut BufferAccount,
) -> ReadResult {
    if !matches!(connection.wait_for_data().await, Ok(true)) {
        return ReadResult::Disconnected;
    }
    if !ahead.grow(limits.header_bytes) {
        return ReadResult::NoRoom;
    }
    match read_head(host, connection, limits).await {
        Ok(received) => ReadResult::Head(received),
        Err(error) if is_disconnect(&error) => ReadResult::Disconnected,
        Err(error) => ReadResult::Failed(error),
    }
}

/// Whether a request could not be read because its caller has left.
fn is_disconnect(error: &HttpError) -> bool {
    match error {
        HttpError::Io(error) => error.kind() != ErrorKind::TimedOut,
        HttpError::Closed => true,
        _ => false,
    }
}
