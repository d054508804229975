//! What fake servers have answered to each request that arrived, and what they said of themselves.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::lock::lock;

/// A request that arrived at a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The request ID.
    pub request: String,
    /// The server and its incarnation, as `id/number`.
    pub server: String,
    /// When it arrived.
    pub at: Instant,
    /// The answer; `None` until it is given.
    pub answer: Option<Answer>,
}

/// The part of an answer in which a server tells something of itself.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    /// When it was given.
    pub at: Instant,
    /// The HTTP status.
    pub status: u16,
    /// Whether it says that the server leaves.
    pub says_leaving: bool,
    /// The time for which a 503 asks to be sent nothing.
    pub pause: Option<Duration>,
}

/// The arrivals at all servers, in order.
#[derive(Clone, Debug, Default)]
pub(super) struct Arrivals(Arc<Mutex<Vec<Arrival>>>);

impl Arrivals {
    /// Records an arrival; returns its number.
    pub(super) fn record(&self, request: &str, server: String) -> usize {
        let mut arrivals = lock(&self.0);
        arrivals.push(Arrival {
            request: request.to_owned(),
            server,
            at: Instant::now(),
            answer: None,
        });
        arrivals.len() - 1
    }

    /// Records the answer to an arrival.
    pub(super) fn record_answer(&self, number: usize, answer: Answer) {
        if let Some(arrival) = lock(&self.0).get_mut(number) {
            arrival.answer = Some(answer);
        }
    }

    pub(super) fn all(&self) -> Vec<Arrival> {
        lock(&self.0).clone()
    }
}
