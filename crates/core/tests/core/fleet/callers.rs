//! Callers that send, repeat and give up.

use std::time::Duration;

use amaranthshunt_core::event::Event;
use amaranthshunt_core::ids::IdempotencyKey;
use amaranthshunt_core::{Host, Outcome, Request, RequestId, Time};
use bytes::Bytes;
use rand::Rng;

use super::{Action, Attempt, Fleet};

/// The body of a request that crashes servers.
pub(super) const POISON: &str = "poison";
/// Requests between two that crash servers.
const POISON_EVERY: usize = 40;

impl Fleet {
    pub(super) fn submit(&mut self, number: usize) {
        let gap = self.rng.random_range(self.gap.clone());
        self.at(self.now + gap, Action::Submit(number + 1));
        if !self.load {
            return;
        }
        let repeat = self.rng.random_range(0..8) == 0;
        let again = if repeat && !self.recent.is_empty() {
            let index = self.rng.random_range(0..self.recent.len());
            self.recent.get(index).cloned()
        } else {
            None
        };
        if self.poison && number.is_multiple_of(POISON_EVERY) {
            self.send_poison();
        }
        let span = Duration::from_millis(self.rng.random_range(60..1_500));
        let skew = self.rng.random_range(-3_000..3_000);
        let deadline = self.clock(skew) + span;
        let repeated = again.is_some();
        let mut request = again.unwrap_or_else(|| self.fresh_request());
        request.repeat = repeated;
        request.deadline = deadline;
        self.remember(&request);
        self.send_request(request);
    }

    /// Sends one and the same request that crashes each server that runs it.
    fn send_poison(&mut self) {
        let deadline = self.clock(0) + Duration::from_secs(1);
        self.send_request(Request {
            entry: "catalogue".to_owned(),
            tenant: String::new(),
            key: "k7".to_owned(),
            idempotency: None,
            repeat: false,
            deadline,
            body: Bytes::from_static(POISON.as_bytes()),
        });
    }

    pub(super) fn fresh_request(&mut self) -> Request {
        self.next_request += 1;
        let payment = self.rng.random_range(0..2) == 0;
        let entry = if payment { "billing" } else { "catalogue" };
        let random: [u8; 10] = self.rng.random();
        let uuid = uuid::Builder::from_unix_timestamp_millis(self.now / 1_000, &random).into_uuid();
        Request {
            entry: entry.to_owned(),
            tenant: String::new(),
            key: format!("k{}", self.rng.random_range(0..200)),
            idempotency: payment.then_some(IdempotencyKey(uuid)),
            repeat: false,
            deadline: Time::ZERO,
            body: Bytes::from(format!("r{}", self.next_request)),
        }
    }

    pub(super) fn remember(&mut self, request: &Request) {
        if request.idempotency.is_some() {
            self.recent.push_back(request.clone());
            if self.recent.len() > 30 {
                self.recent.pop_front();
            }
        }
    }

    pub(super) fn send_request(&mut self, request: Request) {
        let live: Vec<usize> = (0..self.slots.len())
            .filter(|slot| {
                let host = self.slots[*slot].host.as_ref();
                host.is_some_and(|host| !host.is_leaving())
            })
            .collect();
        if live.is_empty() {
            return;
        }
        let slot = live[self.rng.random_range(0..live.len())];
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
            repeat: request.repeat,
        };
        self.attempts.insert((slot, number), attempt);
        self.checks.note_attempt(self.now, slot, &uid);
        self.tell(
            slot,
            id,
            Event::Request {
                id: RequestId(number),
                request,
            },
        );
    }

    pub(super) fn conclude(&mut self, slot: usize, request: RequestId, outcome: &Outcome) {
        let Some(attempt) = self.attempts.remove(&(slot, request.0)) else {
            return;
        };
        self.checks.note_outcome(self.now, &attempt, outcome);
    }
}
