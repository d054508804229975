//! The order of the requests and responses of one caller connection.

use std::collections::VecDeque;

/// Requests of one connection that are in flight at a time. Callers pipeline few requests; more would let
/// one connection take the capacity that others wait for.
pub const MAX_IN_FLIGHT: usize = 8;

/// Identifies a started request of a connection.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Ticket(u64);

/// The response to be written next.
#[derive(Debug, Eq, PartialEq)]
pub struct NextResponse<T> {
    /// What was stored with its request.
    pub item: T,
    /// Whether the connection closes after it.
    pub closes: bool,
}

/// The requests of a connection that have been started and whose responses have not been written.
///
/// Callers take a request behind a closing response for one that was not read, and send it again
/// whatever its kind. A request that may not be repeated is therefore never in flight together with
/// another one.
#[derive(Debug)]
pub struct ResponseOrder<T> {
    requests: VecDeque<InFlight<T>>,
    next: u64,
    is_closing: bool,
}

#[derive(Debug)]
struct InFlight<T> {
    item: T,
    idempotent: bool,
    closes: bool,
    is_ready: bool,
}

impl<T> Default for ResponseOrder<T> {
    fn default() -> Self {
        Self {
            requests: VecDeque::new(),
            next: 0,
            is_closing: false,
        }
    }
}

impl<T> ResponseOrder<T> {
    /// Whether no response is outstanding.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Whether the head of another request is to be read: one more may be in flight, and the connection
    /// stays open.
    #[must_use]
    pub fn may_read(&self) -> bool {
        !self.is_closing && self.requests.len() < MAX_IN_FLIGHT
    }

    /// Whether a request may be started now.
    #[must_use]
    pub fn may_start(&self, idempotent: bool) -> bool {
        let all_idempotent = self.requests.iter().all(|request| request.idempotent);
        self.may_read() && (self.is_empty() || idempotent && all_idempotent)
    }

    /// Records the start of a request, which [`ResponseOrder::may_start`] allows; `closes` tells that its
    /// response closes the connection.
    pub fn start(&mut self, item: T, idempotent: bool, closes: bool) -> Ticket {
        self.is_closing |= closes;
        self.requests.push_back(InFlight {
            item,
            idempotent,
            closes,
            is_ready: false,
        });
        self.next += 1;
        Ticket(self.next - 1)
    }

    /// Records that the response to a request is ready, and returns what is stored with the request;
    /// `None` if it has been cancelled or was ready before.
    pub fn complete(&mut self, ticket: Ticket) -> Option<&mut T> {
        let first = self.next - self.requests.len() as u64;
        let index = ticket.0.checked_sub(first)?;
        let request = self.requests.get_mut(usize::try_from(index).ok()?)?;
        if request.is_ready {
            return None;
        }
        request.is_ready = true;
        Some(&mut request.item)
    }

    /// The requests without a response.
    pub fn unfinished(&self) -> impl Iterator<Item = Ticket> {
        let first = self.next - self.requests.len() as u64;
        let numbered = (first..).zip(&self.requests);
        numbered
            .filter(|(_, request)| !request.is_ready)
            .map(|(number, _)| Ticket(number))
    }

    /// Takes the response to be written next, if it is ready. A host that shuts down closes the connection
    /// after the last request that it has started.
    pub fn take_next(&mut self, is_leaving: bool) -> Option<NextResponse<T>> {
        let next = self.requests.pop_front_if(|request| request.is_ready)?;
        let closes = next.closes || is_leaving && self.is_empty();
        self.is_closing |= closes;
        Some(NextResponse {
            item: next.item,
            closes,
        })
    }

    /// Ends the connection: returns the requests that stay without a response, each with whether it is
    /// cancelled. One that may not be repeated runs on unless it is finished, since it may have run in
    /// part.
    pub fn close(&mut self) -> Vec<(T, bool)> {
        self.is_closing = true;
        let requests = self.requests.drain(..);
        requests
            .map(|request| (request.item, request.idempotent || request.is_ready))
            .collect()
    }
}
