//! Fake callers, which send and retry requests.

use std::time::Duration;

use amaranthshunt_core::event::Event;
use amaranthshunt_core::ids::IdempotencyKey;
use amaranthshunt_core::{Host, Outcome, Request, RequestId, Time};
use bytes::Bytes;
use rand::Rng;

use super::{Action, Attempt, Fleet};

/// The body of a request that crashes each server that runs it.
pub(super) const POISON_BODY: &str = "poison";
/// One in this many submissions also sends a poison request.
const POISON_INTERVAL: usize = 40;

impl Fleet {
    pub(super) fn submit(&mut self, number: usize) {
        let gap = self.rng.random_range(self.gap_micros.clone());
        self.schedule(self.now + gap, Action::Submit(number + 1));
        if !self.load_enabled {
            return;
        }
        let wants_retry = self.rng.random_range(0..8) == 0;
        let earlier_request = if wants_retry && !self.retryable_requests.is_empty() {
            let index = self.rng.random_range(0..self.retryable_requests.len());
            self.retryable_requests.get(index).cloned()
        } else {
            None
        };
        if self.poison_enabled && number.is_multiple_of(POISON_INTERVAL) {
            self.send_poison_request();
        }
        let timeout = Duration::from_millis(self.rng.random_range(60..1_500));
        let skew = self.rng.random_range(-3_000..3_000);
        let deadline = self.local_time(skew) + timeout;
        let is_retry = earlier_request.is_some();
        let mut request = earlier_request.unwrap_or_else(|| self.new_request());
        request.is_retry = is_retry;
        request.deadline = deadline;
        self.remember_retryable(&request);
        self.send_request(request);
    }

    /// Sends the poison request, which is the same each time.
    fn send_poison_request(&mut self) {
        let deadline = self.local_time(0) + Duration::from_secs(1);
        self.send_request(Request {
            entry: "catalogue".to_owned(),
            tenant: String::new(),
            key: "k7".to_owned(),
            idempotency_key: None,
            is_retry: false,
            deadline,
            body: Bytes::from_static(POISON_BODY.as_bytes()),
        });
    }

    pub(super) fn new_request(&mut self) -> Request {
        self.next_request += 1;
        let payment = self.rng.random_range(0..2) == 0;
        let entry = if payment { "billing" } else { "catalogue" };
        let random: [u8; 10] = self.rng.random();
        let uuid = uuid::Builder::from_unix_timestamp_millis(self.now / 1_000, &random).into_uuid();
        Request {
            entry: entry.to_owned(),
            tenant: String::new(),
            key: format!("k{}", self.rng.random_range(0..200)),
            idempotency_key: payment.then_some(IdempotencyKey(uuid)),
            is_retry: false,
            deadline: Time::ZERO,
            body: Bytes::from(format!("r{}", self.next_request)),
        }
    }

    pub(super) fn remember_retryable(&mut self, request: &Request) {
        if request.idempotency_key.is_some() {
            self.retryable_requests.push_back(request.clone());
            if self.retryable_requests.len() > 30 {
                self.retryable_requests.pop_front();
            }
        }
    }

    pub(super) fn send_request(&mut self, request: Request) {
        let running_slots: Vec<usize> = (0..self.slots.len())
            .filter(|slot| {
                let host = self.slots[*slot].host.as_ref();
                host.is_some_and(|host| !host.is_leaving())
            })
            .collect();
        if running_slots.is_empty() {
            return;
        }
        let slot = running_slots[self.rng.random_range(0..running_slots.len())];
        let Some(id) = self.slots[slot].host.as_ref().map(Host::id) else {
            return;
        };
        self.next_request += 1;
        let number = self.next_request;
        let uid = String::from_utf8_lossy(&request.body).into_owned();
        let attempt = Attempt {
            slot,
            uid: uid.clone(),
            entry: request.entry.clone(),
            submitted: self.now,
            is_retry: request.is_retry,
        };
        self.attempts.insert((slot, number), attempt);
        self.checks.record_attempt(self.now, slot, &uid);
        self.deliver_event(
            slot,
            id,
            Event::Request {
                id: RequestId(number),
                request,
            },
        );
    }

    pub(super) fn handle_response(&mut self, slot: usize, request: RequestId, outcome: &Outcome) {
        let Some(attempt) = self.attempts.remove(&(slot, request.0)) else {
            return;
        };
        self.checks.record_outcome(self.now, &attempt, outcome);
    }
}
