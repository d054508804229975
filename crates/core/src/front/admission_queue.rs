//! Requests of one host that wait for a server, bounded and ordered by urgency.
//!
//! `docs/design/admission-queue.md` says what waits, for how long, and what was weighed.

mod pace;

use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

use crate::ids::ServerKey;
use crate::time::Time;

use pace::Paces;

/// Times that the expected wait has to exceed what is left before a request that waits is given up:
/// the expectation is too uncertain to refuse callers for less.
const DOUBT_FACTOR: u32 = 2;

/// A request that waits in an [`AdmissionQueue`]; never refers to another one after its removal.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct QueueTicket {
    index: u32,
    generation: u32,
}

/// What the queue has to know of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Waiting {
    /// Priority; zero is the most urgent.
    pub priority: u8,
    /// Until when a response has its full value.
    pub target: Time,
    /// Until when a response has any value.
    pub deadline: Time,
    /// Longest time that it may wait.
    pub hold: Duration,
    /// Time from its send to its response.
    pub work: Duration,
    /// Memory that it occupies.
    pub bytes: usize,
    /// Service that it needs.
    pub service: Arc<str>,
    /// The server that holds its key; `None` if any server of the service can serve it.
    pub server: Option<ServerKey>,
}

impl Waiting {
    /// Whether a response sent for now comes after the target.
    fn is_late(&self, now: Time) -> bool {
        now + self.work > self.target
    }

    /// Until when it must be sent to meet its target, or its deadline if the target is out of reach.
    fn latest_start(&self, now: Time) -> Time {
        let due = if self.is_late(now) {
            self.deadline
        } else {
            self.target
        };
        if due > now + self.work {
            due - self.work
        } else {
            now
        }
    }

    /// Orders requests by urgency: the least is served first.
    fn rank(&self, now: Time) -> (u8, bool, Time, Duration) {
        let latest = self.latest_start(now);
        (self.priority, self.is_late(now), latest, self.work)
    }

    /// Orders requests by what their refusal costs callers: the greatest is shed first. Work counts in
    /// powers of two, since smaller differences are within the error of the estimate.
    fn shed_rank(&self, now: Time) -> (u8, u32, bool, Time) {
        let work = (self.work.as_millis() as u64).checked_ilog2();
        let work = work.map_or(0, |log| log + 1);
        let latest = self.latest_start(now);
        (self.priority, work, self.is_late(now), latest)
    }

    fn competes_with(&self, other: &Self) -> bool {
        self.service == other.service && self.server == other.server
    }
}

/// Why a request does not wait.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rejection {
    /// The queue is full of requests whose refusal would cost callers more.
    Full,
    /// It would not be served in time.
    Late,
}

/// Result of [`AdmissionQueue::offer`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Offer {
    /// The ticket of the request, or why it does not wait.
    pub result: Result<QueueTicket, Rejection>,
    /// Requests that no longer wait, since there is no room for them.
    pub shed: Vec<QueueTicket>,
}

/// Length of the queue and age of its oldest request, for one priority.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct QueueDepth {
    /// Number of requests.
    pub requests: usize,
    /// Time for which the oldest has waited.
    pub age: Duration,
}

/// Who causes an attempt to serve a request that waits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Trial {
    /// An attempt of another request has ended.
    Capacity,
    /// The timer.
    Timer,
}

#[derive(Clone, Debug)]
struct Entry {
    waiting: Waiting,
    since: Time,
    /// When it is given up.
    until: Time,
    trial: Option<Trial>,
}

#[derive(Clone, Debug, Default)]
struct Slot {
    generation: u32,
    entry: Option<Entry>,
}

/// The requests that wait on one host.
#[derive(Clone, Debug)]
pub struct AdmissionQueue {
    max_requests: usize,
    max_bytes: usize,
    slots: Vec<Slot>,
    free: Vec<u32>,
    bytes: usize,
    paces: Paces,
}

impl AdmissionQueue {
    /// Creates a queue with bounds in requests and bytes.
    pub fn new(max_requests: usize, max_bytes: usize) -> Self {
        Self {
            max_requests,
            max_bytes,
            slots: Vec::new(),
            free: Vec::new(),
            bytes: 0,
            paces: Paces::default(),
        }
    }

    /// Number of requests that wait.
    pub fn len(&self) -> usize {
        self.slots.len() - self.free.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Bytes of the requests that wait.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Whether a request that has just arrived must not be sent now, since a more urgent one waits for
    /// the same service, or for the same server if it has a key.
    pub fn must_wait(&self, now: Time, arriving: &Waiting) -> bool {
        let rank = arriving.rank(now);
        self.competing(arriving).any(|known| known.rank(now) < rank)
    }

    /// Adds a request, unless it will not be served in time or there is no room for it.
    pub fn offer(&mut self, now: Time, waiting: Waiting) -> Offer {
        let rejected = |rejection| Offer {
            result: Err(rejection),
            shed: Vec::new(),
        };
        let until = (now + waiting.hold).min(waiting.latest_start(now));
        if until <= now || now + self.expected_wait(now, &waiting) > until {
            return rejected(Rejection::Late);
        }
        let Some(shed) = self.make_room(now, &waiting) else {
            return rejected(Rejection::Full);
        };
        for ticket in &shed {
            self.remove(*ticket);
        }
        let index = self.free.pop().unwrap_or_else(|| {
            self.slots.push(Slot::default());
            self.slots.len() as u32 - 1
        });
        self.bytes += waiting.bytes;
        let slot = &mut self.slots[index as usize];
        slot.entry = Some(Entry {
            waiting,
            since: now,
            until,
            trial: None,
        });
        let ticket = QueueTicket {
            index,
            generation: slot.generation,
        };
        Offer {
            result: Ok(ticket),
            shed,
        }
    }

    /// Records that an attempt has ended, and returns the request that may be served now. `server` is
    /// the server of the attempt if its service has keys.
    pub fn next(
        &mut self,
        now: Time,
        service: &Arc<str>,
        server: Option<ServerKey>,
    ) -> Option<QueueTicket> {
        self.paces.record_end(now, service, server);
        self.try_first(now, service, server, Trial::Capacity)
    }

    /// The most urgent requests of each service, and of each server with keys: those to try when the
    /// timer fires.
    pub fn due(&mut self, now: Time) -> Vec<QueueTicket> {
        let mut groups: Vec<(Arc<str>, Option<ServerKey>)> = self
            .entries()
            .map(|(_, entry)| (entry.waiting.service.clone(), entry.waiting.server))
            .collect();
        groups.sort();
        groups.dedup();
        groups
            .iter()
            .filter_map(|(service, server)| self.try_first(now, service, *server, Trial::Timer))
            .collect()
    }

    /// Records that a request that was to be tried cannot be served yet.
    pub fn record_refusal(&mut self, ticket: QueueTicket) {
        let Some(entry) = self.entry_mut(ticket) else {
            return;
        };
        if entry.trial.take() == Some(Trial::Capacity) {
            let (service, server) = (entry.waiting.service.clone(), entry.waiting.server);
            self.paces.record_trial(&service, server, false);
        }
    }

    /// Removes a request that is served now; returns the next one to try, as there may be capacity for
    /// it as well.
    pub fn record_service(&mut self, now: Time, ticket: QueueTicket) -> Option<QueueTicket> {
        let entry = self.take(ticket)?;
        let (service, server) = (entry.waiting.service, entry.waiting.server);
        if entry.trial == Some(Trial::Capacity) {
            self.paces.record_trial(&service, server, true);
        }
        self.try_first(now, &service, server, Trial::Timer)
    }

    /// Removes and returns the requests that can no longer be served in time.
    pub fn expire(&mut self, now: Time) -> Vec<QueueTicket> {
        let is_over = |entry: &Entry| {
            let wait = self.wait_behind(now, &entry.waiting, 0);
            entry.until <= now || now + wait / DOUBT_FACTOR > entry.until
        };
        let expired = self.entries().filter(|(_, entry)| is_over(entry));
        let expired: Vec<QueueTicket> = expired.map(|(ticket, _)| ticket).collect();
        for ticket in &expired {
            self.remove(*ticket);
        }
        expired
    }

    /// Removes all requests.
    pub fn drain(&mut self) -> Vec<QueueTicket> {
        let all: Vec<QueueTicket> = self.entries().map(|(ticket, _)| ticket).collect();
        for ticket in &all {
            self.remove(*ticket);
        }
        all
    }

    /// Removes a request; returns whether it was waiting.
    pub fn remove(&mut self, ticket: QueueTicket) -> bool {
        self.take(ticket).is_some()
    }

    /// When the next request is given up.
    pub fn next_expiry(&self) -> Option<Time> {
        self.entries().map(|(_, entry)| entry.until).min()
    }

    /// Expected time until a request that arrives now is sent.
    pub fn expected_wait(&self, now: Time, waiting: &Waiting) -> Duration {
        self.wait_behind(now, waiting, 1)
    }

    /// Length and age by priority: 0, 1 and all others.
    pub fn depths(&self, now: Time) -> [QueueDepth; 3] {
        let mut depths = [QueueDepth::default(); 3];
        for (_, entry) in self.entries() {
            let depth = &mut depths[usize::from(entry.waiting.priority).min(2)];
            depth.requests += 1;
            depth.age = depth.age.max(now.since(entry.since));
        }
        depths
    }

    /// The requests to shed so that one more fits; `None` if it is to be shed itself.
    fn make_room(&self, now: Time, waiting: &Waiting) -> Option<Vec<QueueTicket>> {
        let mut candidates: Vec<(QueueTicket, &Waiting)> = self
            .entries()
            .map(|(ticket, entry)| (ticket, &entry.waiting))
            .collect();
        candidates.sort_by_key(|(ticket, known)| Reverse((known.shed_rank(now), *ticket)));
        let mut shed = Vec::new();
        let (mut requests, mut bytes) = (self.len() + 1, self.bytes + waiting.bytes);
        let mut candidates = candidates.into_iter();
        while requests > self.max_requests || bytes > self.max_bytes {
            let (ticket, known) = candidates.next()?;
            if known.shed_rank(now) <= waiting.shed_rank(now) {
                return None;
            }
            shed.push(ticket);
            requests -= 1;
            bytes -= known.bytes;
        }
        Some(shed)
    }

    /// Expected time until all requests that wait and are no less urgent than the given one are sent,
    /// and `more` others.
    fn wait_behind(&self, now: Time, waiting: &Waiting, more: u32) -> Duration {
        let rank = waiting.rank(now);
        let ahead = self
            .competing(waiting)
            .filter(|known| known.rank(now) <= rank);
        let ahead = ahead.count() as u32 + more;
        let interval = self.paces.interval(now, &waiting.service, waiting.server);
        interval.unwrap_or(waiting.work) * ahead
    }

    /// The requests that wait for the same service, or the same server if it has keys.
    fn competing(&self, waiting: &Waiting) -> impl Iterator<Item = &Waiting> {
        self.entries()
            .map(|(_, entry)| &entry.waiting)
            .filter(move |known| known.competes_with(waiting))
    }

    /// Marks the most urgent request of a group as tried, unless it is being tried already.
    fn try_first(
        &mut self,
        now: Time,
        service: &str,
        server: Option<ServerKey>,
        trial: Trial,
    ) -> Option<QueueTicket> {
        let of_group = self.entries().filter(|(_, entry)| {
            &*entry.waiting.service == service && entry.waiting.server == server
        });
        let (first, _) =
            of_group.min_by_key(|(ticket, entry)| (entry.waiting.rank(now), *ticket))?;
        let entry = self.entry_mut(first)?;
        if entry.trial.is_some() {
            return None;
        }
        entry.trial = Some(trial);
        Some(first)
    }

    fn take(&mut self, ticket: QueueTicket) -> Option<Entry> {
        let slot = self.slots.get_mut(ticket.index as usize)?;
        if slot.generation != ticket.generation {
            return None;
        }
        let entry = slot.entry.take()?;
        slot.generation = slot.generation.wrapping_add(1);
        self.free.push(ticket.index);
        self.bytes -= entry.waiting.bytes;
        Some(entry)
    }

    fn entries(&self) -> impl Iterator<Item = (QueueTicket, &Entry)> {
        self.slots.iter().enumerate().filter_map(|(index, slot)| {
            let ticket = QueueTicket {
                index: index as u32,
                generation: slot.generation,
            };
            Some((ticket, slot.entry.as_ref()?))
        })
    }

    fn entry_mut(&mut self, ticket: QueueTicket) -> Option<&mut Entry> {
        let slot = self.slots.get_mut(ticket.index as usize)?;
        let is_current = slot.generation == ticket.generation;
        slot.entry.as_mut().filter(|_| is_current)
    }
}
