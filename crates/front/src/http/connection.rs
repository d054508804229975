//! A TCP connection with a read buffer.

mod chunks;
mod timed;

use std::future::poll_fn;
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::{Poll, ready};
use std::time::Duration;

use async_std::future::timeout;
use async_std::net::TcpStream;
use bytes::{Buf, BytesMut};
use futures::AsyncRead;
use futures::future::{Either, FutureExt, select};
use rustix::event::{PollFd, PollFlags, Timespec, poll};

use super::body::{Body, BodyBuffer};
use super::buffer_budget::{BufferAccount, SMALL_MESSAGE};
use super::caller_slots::{CallerSlot, Phase};
use super::error::{HttpError, Result};
use super::head::{Framing, RequestHead, ResponseHead};
use super::reception::Reception;
use super::writer::{ConnectionWriter, write_message};
pub(crate) use timed::within;

/// Size of a single read, in bytes.
const READ_SIZE: usize = 4 << 10;
/// Number of reads after which other tasks get a turn.
const READS_BETWEEN_YIELDS: u32 = 16;
/// Maximum bytes that [`Connection::wait_closed`] buffers.
const READ_AHEAD_LIMIT: usize = SMALL_MESSAGE;
/// Interval at which a connection whose read-ahead is used up is checked for a disconnect. Servers must end
/// their work on an idempotent request within 500 ms of its caller's disconnect.
const HANG_UP_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of interim (1xx) responses before the final one.
const INTERIM_RESPONSE_LIMIT: usize = 8;
/// Longest head of a response, in bytes.
const RESPONSE_HEAD_LIMIT: usize = 64 << 10;

/// A connection with its read buffer.
#[derive(Debug)]
pub(crate) struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
    read_count: u32,
    /// The request body that is being read.
    reception: Option<Arc<Reception>>,
    /// Its place among the connections of callers.
    slot: Option<CallerSlot>,
    /// Whether requests are in flight, whatever is read behind them.
    has_requests: bool,
    /// The error of a write, which reads do not report again.
    write_error: Option<io::ErrorKind>,
    /// Time within which a read must return.
    read_timeout: Option<Duration>,
}

impl Connection {
    /// Wraps an open stream.
    pub(crate) fn new(stream: TcpStream) -> Self {
        // A failure costs only latency; a broken connection is noticed at its first use.
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: BytesMut::new(),
            read_count: 0,
            reception: None,
            slot: None,
            has_requests: false,
            write_error: None,
            read_timeout: None,
        }
    }

    /// Wraps the stream of a caller, which has a place among the connections of callers.
    pub(crate) fn of_caller(stream: TcpStream, slot: CallerSlot) -> Self {
        Self {
            slot: Some(slot),
            ..Self::new(stream)
        }
    }

    /// Connects to an address.
    ///
    /// # Errors
    ///
    /// Fails if the connection cannot be opened within `limit`.
    pub(crate) async fn open(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let connect = TcpStream::connect(address);
        let opened = timeout(limit, connect).await;
        let stream = opened.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        Ok(Self::new(stream))
    }

    /// Makes closing the connection reset it and discard unsent data.
    pub(crate) fn abort_on_close(&self) {
        let linger = Some(Duration::ZERO);
        if let Err(error) = rustix::net::sockopt::set_socket_linger(&self.stream, linger) {
            log::warn!("cannot set a zero linger time on a connection: {error}");
        }
    }

    /// Makes the system abort the connection once sent data has not been acknowledged for `limit`,
    /// even while this process is paused.
    pub(crate) fn abort_unacknowledged(&self, limit: Duration) {
        let millis = limit.as_millis() as u32;
        if let Err(error) = rustix::net::sockopt::set_tcp_user_timeout(&self.stream, millis) {
            log::warn!("cannot set the user timeout of a connection: {error}");
        }
    }

    /// Whether the peer has neither closed the connection nor sent anything.
    pub(crate) fn is_idle(&self) -> bool {
        let mut byte = [0];
        let peeked = self.stream.peek(&mut byte).now_or_never();
        self.buffer.is_empty() && peeked.is_none()
    }

    /// Whether the buffer holds bytes that no message has consumed.
    pub(crate) fn has_buffered_data(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Reads once. Cancellation leaves the buffer unchanged.
    ///
    /// Yields now and then: reads from a peer that sends without end never have to wait, and would
    /// keep timeouts and other tasks from running.
    async fn fill(&mut self) -> io::Result<usize> {
        self.read_count = self.read_count.wrapping_add(1);
        if self.read_count.is_multiple_of(READS_BETWEEN_YIELDS) {
            async_std::task::yield_now().await;
        }
        // The piece lies on the stack of each poll, so that a waiting task holds no room for it.
        let read = poll_fn(|context| {
            let mut piece = [0; READ_SIZE];
            let count = ready!(Pin::new(&mut &self.stream).poll_read(context, &mut piece))?;
            self.buffer.extend_from_slice(&piece[..count]);
            Poll::Ready(io::Result::Ok(count))
        });
        let count = match self.read_timeout {
            Some(limit) => {
                let read = timeout(limit, read).await;
                read.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??
            }
            None => read.await?,
        };
        if let Some(reception) = &self.reception {
            reception.note_progress();
        }
        Ok(count)
    }

    /// Waits for the first byte of a message; `false` if the peer closed the connection.
    pub(crate) async fn wait_for_data(&mut self) -> io::Result<bool> {
        if self.buffer.is_empty() {
            self.enter(Phase::Idle);
            if self.fill().await? == 0 {
                return Ok(false);
            }
        }
        self.enter(Phase::Head);
        Ok(true)
    }

    /// Tells whether requests are in flight. Until they are answered, the connection does not give way to
    /// another one, although nothing or only a part of a head has been read behind them.
    pub(crate) fn set_has_requests(&mut self, has_requests: bool) {
        self.has_requests = has_requests;
    }

    /// Tells which part of a request a caller's connection is at.
    fn enter(&self, phase: Phase) {
        if let Some(slot) = self.slot.as_ref().filter(|_| !self.has_requests) {
            slot.enter(phase);
        }
    }

    /// Waits for `limit` whether the peer ends the connection or sends anything before it is asked;
    /// `true` if it does neither.
    pub(crate) async fn stays_open(&mut self, limit: Duration) -> bool {
        timeout(limit, self.wait_for_data()).await.is_err()
    }

    /// Waits until the peer closes the connection, and buffers what it sends meanwhile, which counts towards
    /// the budget of an account.
    ///
    /// Without room for more the rest stays in the socket, where a disconnect behind it can only be
    /// asked for.
    pub(crate) async fn wait_closed(&mut self, account: &mut BufferAccount) {
        while self.buffer.len() < READ_AHEAD_LIMIT
            && (self.buffer.is_empty() || account.grow(self.capacity_after_fill()))
        {
            match self.fill().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
        while !self.has_hung_up() {
            async_std::task::sleep(HANG_UP_POLL_INTERVAL).await;
        }
    }

    /// Whether the peer has closed the connection, even if there is data before the close.
    fn has_hung_up(&self) -> bool {
        let mut polled = [PollFd::new(&self.stream, PollFlags::RDHUP)];
        // A failure to ask says nothing of the peer.
        poll(&mut polled, Some(&Timespec::default())).is_ok_and(|count| count > 0)
    }

    /// A handle that writes to the connection while something reads from it.
    pub(crate) fn writer(&self) -> ConnectionWriter {
        ConnectionWriter::new(self.stream.clone())
    }

    /// Reads the head of a request, whose bytes count towards the budget of an account.
    ///
    /// # Errors
    ///
    /// Fails if the head is malformed, truncated or longer than `limit` bytes, or if the budget is used up.
    pub(crate) async fn read_request(
        &mut self,
        limit: usize,
        account: &mut BufferAccount,
    ) -> Result<RequestHead> {
        loop {
            if !self.buffer.is_empty()
                && let Some((head, length)) = RequestHead::parse(&self.buffer)?
            {
                if length > limit {
                    return Err(HttpError::HeadTooLong);
                }
                self.consume_head(length);
                if !account.add_head(length) {
                    return Err(HttpError::OutOfMemory);
                }
                self.enter(Phase::Request);
                return Ok(head);
            }
            if self.buffer.len() > limit {
                return Err(HttpError::HeadTooLong);
            }
            self.fill_head().await?;
            if let Err(error) = occupy(account, self.buffer.capacity()) {
                self.buffer = BytesMut::new();
                return Err(error);
            }
        }
    }

    /// Drops a head from the buffer, and the buffer's capacity if the head was a long one: the connection
    /// may be idle for long afterwards.
    fn consume_head(&mut self, length: usize) {
        let is_large = self.buffer.capacity() > READ_SIZE * 2;
        self.buffer.advance(length);
        if is_large {
            self.buffer = BytesMut::from(&self.buffer[..]);
        }
    }

    /// Reads the head of a response, skipping informational (1xx) ones. Its bytes count towards the budget
    /// of an account.
    ///
    /// # Errors
    ///
    /// Fails if the head is malformed, truncated or too long, or if the budget is used up.
    pub(crate) async fn read_response(
        &mut self,
        bodiless: bool,
        account: &mut BufferAccount,
    ) -> Result<ResponseHead> {
        let mut interim_responses = 0;
        loop {
            if !self.buffer.is_empty()
                && let Some((head, length)) = ResponseHead::parse(&self.buffer, bodiless)?
            {
                self.buffer.advance(length);
                if !account.add_head(length) {
                    return Err(HttpError::OutOfMemory);
                }
                if head.status >= 200 {
                    return Ok(head);
                }
                interim_responses += 1;
                if interim_responses > INTERIM_RESPONSE_LIMIT {
                    return Err(HttpError::Malformed("too many interim responses"));
                }
                continue;
            }
            if self.buffer.len() > RESPONSE_HEAD_LIMIT {
                return Err(HttpError::HeadTooLong);
            }
            occupy(account, self.capacity_after_fill())?;
            self.fill_head().await?;
        }
    }

    /// The capacity of the buffer after one more read.
    fn capacity_after_fill(&self) -> usize {
        let capacity = self.buffer.capacity();
        if capacity - self.buffer.len() >= READ_SIZE {
            capacity
        } else {
            capacity * 2 + READ_SIZE
        }
    }

    async fn fill_head(&mut self) -> Result<()> {
        match self.fill().await? {
            0 if self.buffer.is_empty() => Err(HttpError::Closed),
            0 => Err(HttpError::Io(io::ErrorKind::UnexpectedEof.into())),
            _ => Ok(()),
        }
    }

    /// Reads the body of a request as [`Connection::read_body`] does. A body that does not arrive with its
    /// head gives way to other messages, and has a time limit.
    ///
    /// # Errors
    ///
    /// Fails as [`Connection::read_body`], if the body has to give way, or with a timeout.
    pub(crate) async fn read_request_body(
        &mut self,
        framing: Framing,
        limit: usize,
        account: &mut BufferAccount,
    ) -> Result<Body> {
        if matches!(framing, Framing::Length(length) if length <= self.buffer.len()) {
            return self.read_body(framing, limit, account).await;
        }
        let reception = account.receive();
        self.reception = Some(reception.clone());
        let result = {
            let read = pin!(self.read_body(framing, limit, account));
            reception.until_ended(read).await
        };
        self.reception = None;
        account.complete(&reception)?;
        result
    }

    /// Reads a complete body of at most `limit` bytes, which count towards the budget of an account.
    ///
    /// # Errors
    ///
    /// Fails if the body is malformed, truncated or too long, or if the budget is used up.
    pub(crate) async fn read_body(
        &mut self,
        framing: Framing,
        limit: usize,
        account: &mut BufferAccount,
    ) -> Result<Body> {
        let mut body = BodyBuffer::default();
        match framing {
            Framing::Length(length) if length > limit => return Err(HttpError::BodyTooLong),
            Framing::Length(length) => {
                self.move_to_body(&mut body, length, length);
                while body.len() < length {
                    self.fill_body().await?;
                    let left = length - body.len();
                    self.move_to_body(&mut body, left, left);
                    occupy(account, body.occupied())?;
                }
            }
            Framing::Chunked => self.read_chunks(&mut body, limit, account).await?,
            Framing::UntilClose => loop {
                self.move_to_body(&mut body, usize::MAX, 0);
                if body.len() > limit {
                    return Err(HttpError::BodyTooLong);
                }
                occupy(account, body.occupied())?;
                if self.fill().await? == 0 {
                    self.check_end()?;
                    break;
                }
            },
        }
        Ok(body.finish())
    }

    /// Checks that the peer has shut down its output, rather than reset the connection.
    ///
    /// A socket reports a reset once, so a write that gets it leaves reads with a plain end of the input.
    /// `BrokenPipe` means that the peer shut down its output before the reset.
    fn check_end(&self) -> Result<()> {
        match self.write_error {
            None | Some(io::ErrorKind::BrokenPipe) => Ok(()),
            Some(kind) => Err(HttpError::Io(kind.into())),
        }
    }

    /// Moves up to `count` buffered bytes to a body that will have at most `expected` more.
    fn move_to_body(&mut self, body: &mut BodyBuffer, count: usize, expected: usize) {
        let count = count.min(self.buffer.len());
        body.append(&self.buffer[..count], expected);
        self.buffer.advance(count);
        if self.buffer.is_empty() && self.buffer.capacity() > READ_SIZE {
            self.buffer = BytesMut::new();
        }
    }

    async fn fill_body(&mut self) -> Result<()> {
        match self.fill().await? {
            0 => Err(HttpError::Io(io::ErrorKind::UnexpectedEof.into())),
            _ => Ok(()),
        }
    }

    /// Writes a head and a body.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails.
    pub(crate) async fn write(&self, head: &[u8], body: &Body) -> io::Result<()> {
        write_message(&self.stream, head, body).await
    }

    /// Tells the peer that nothing more is written.
    pub(crate) fn close_output(&self) {
        // An error means that the peer has disconnected.
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// Reads and discards what the peer still sends, until it ends or `limit` has passed: closing a
    /// connection with unread data would discard what has been written.
    pub(crate) async fn discard_input(&mut self, limit: Duration) {
        self.buffer = BytesMut::new();
        let discard = async {
            while let Ok(1..) = self.fill().await {
                self.buffer.clear();
            }
        };
        // The peer may go on for longer; the connection is then reset.
        let _ = timeout(limit, discard).await;
    }

    /// Sends a request and reads the head of its response, which may arrive before the request is
    /// written completely; the flag tells whether it was. After a failed write, [`Connection::read_body`]
    /// rejects a body that is ended by a reset.
    ///
    /// # Errors
    ///
    /// Fails as [`Connection::read_response`].
    pub(crate) async fn exchange(
        &mut self,
        head: &[u8],
        body: &Body,
        bodiless: bool,
        account: &mut BufferAccount,
    ) -> Result<(ResponseHead, bool)> {
        let stream = self.stream.clone();
        let write = Box::pin(async move { write_message(&stream, head, body).await });
        let read = Box::pin(self.read_response(bodiless, account));
        let (head, written) = match select(write, read).await {
            Either::Left((written, read)) => (read.await?, Some(written)),
            Either::Right((head, _)) => (head?, None),
        };
        // A server that responds early may stop reading; its response is valid all the same.
        if let Some(Err(error)) = &written {
            self.write_error = Some(error.kind());
        }
        Ok((head, matches!(written, Some(Ok(())))))
    }
}

fn occupy(account: &mut BufferAccount, bytes: usize) -> Result<()> {
    if account.grow(bytes) {
        Ok(())
    } else {
        Err(HttpError::OutOfMemory)
    }
}
