//! Hosts, servers and a store with faults, to run granters against.
//!
//! Time goes on in steps. Orders take time, get lost, lose their answers or are carried out late;
//! hosts freeze, die, and lose the store, each other or servers; servers die and come back under
//! the same identifier. After each step, no key may be held by two servers that are up.

mod backend;
mod faults;
mod hosts;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use amaranthshunt_core::Time;
use amaranthshunt_core::front::{Granter, GranterTiming, Order, OrderReply, Placement, Servers};
use amaranthshunt_core::ids::CallId;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::fixture::KEYED;
use backend::Backend;

/// Milliseconds of one step.
const STEP: u64 = 10;
/// Time without an answer after which an order's connection is aborted, in milliseconds.
const ORDER_LIMIT: u64 = 800;
/// Time without the granting host after which another one is a candidate, in milliseconds.
const SILENCE: u64 = 1_600;
/// The timing that hosts use.
pub(crate) const TIMING: GranterTiming = GranterTiming {
    hold: Duration::from_millis(4_000),
    renewal: Duration::from_millis(1_200),
    authority: Duration::from_millis(2_000),
    margin: Duration::from_millis(300),
    tidy: Duration::from_millis(3_000),
};

/// An entry host.
#[derive(Debug)]
struct Entry {
    up: bool,
    back_at: u64,
    frozen_until: u64,
    store: bool,
    granter: Option<Granter>,
    revision: u64,
    heard: u64,
    followed: u64,
    candidate_at: u64,
    /// The revision of the record when the host became a candidate.
    candidate_for: u64,
    /// Waits for the store: a record and when it was last tried.
    write: Option<(Placement, u64)>,
    servers: Servers,
}

#[derive(Clone, Debug)]
enum Delivery {
    Order {
        host: usize,
        order: Order,
        sent: u64,
        /// The life of the server that got the order and carries it out late.
        late: Option<u64>,
    },
    Answer {
        host: usize,
        call: CallId,
        sent: u64,
        reply: OrderReply,
    },
    Entries {
        host: usize,
    },
}

/// The whole deployment.
#[derive(Debug)]
pub(crate) struct Sim {
    rng: SmallRng,
    now: u64,
    sequence: u64,
    queue: BTreeMap<(u64, u64), Delivery>,
    open: BTreeMap<(usize, u64, u64), (u64, bool)>,
    entries: Vec<Entry>,
    backends: Vec<Backend>,
    record: Option<(u64, Placement)>,
    store_up: bool,
    cut_hosts: BTreeSet<(usize, usize)>,
    cut_servers: BTreeSet<(usize, usize)>,
    faults: bool,
    late: bool,
    /// What was found wrong.
    pub(crate) broken: Option<String>,
}

impl Sim {
    /// Makes a deployment of so many hosts and servers.
    pub(crate) fn new(seed: u64, hosts: usize, servers: usize) -> Self {
        let rng = SmallRng::seed_from_u64(seed);
        let backend = |index: usize| Backend {
            id: Arc::from(format!("s{index}")),
            up: true,
            born: 1,
            back_at: 0,
            draining: false,
            holds: Vec::new(),
            seen: Vec::new(),
        };
        let entry = |_| Entry {
            up: true,
            back_at: 0,
            frozen_until: 0,
            store: true,
            granter: None,
            revision: 0,
            heard: 0,
            followed: 0,
            candidate_at: 0,
            candidate_for: 0,
            write: None,
            servers: Servers::default(),
        };
        let mut sim = Self {
            rng,
            now: 1_000,
            sequence: 0,
            queue: BTreeMap::new(),
            open: BTreeMap::new(),
            entries: (0..hosts).map(entry).collect(),
            backends: (0..servers).map(backend).collect(),
            record: None,
            store_up: true,
            cut_hosts: BTreeSet::new(),
            cut_servers: BTreeSet::new(),
            faults: true,
            late: false,
            broken: None,
        };
        sim.late = sim.rng.random_bool(0.5);
        for host in 0..hosts {
            sim.read_entries(host);
        }
        sim
    }

    /// Runs with faults for so many milliseconds, or until something is wrong.
    pub(crate) fn run(&mut self, millis: u64) {
        self.go(millis);
    }

    /// Ends all faults and runs on.
    pub(crate) fn heal(&mut self, millis: u64) {
        self.faults = false;
        self.late = false;
        self.store_up = true;
        self.cut_hosts.clear();
        self.cut_servers.clear();
        for entry in &mut self.entries {
            entry.store = true;
        }
        for backend in &mut self.backends {
            backend.draining = false;
        }
        self.tell_entries();
        self.go(millis);
    }

    /// Keys that no server holds for which the granting host's table names it.
    pub(crate) fn unserved(&self) -> u32 {
        let granters = self
            .entries
            .iter()
            .filter_map(|entry| entry.granter.as_ref());
        let Some(granter) = granters.max_by_key(|granter| granter.term()) else {
            return 65_536;
        };
        let Some(spans) = granter.table().services.get(KEYED) else {
            return 65_536;
        };
        let mut missing = 0;
        for span in spans {
            let held = span.server.as_ref().is_some_and(|id| {
                let backend = self.backends.iter().find(|backend| backend.id == *id);
                backend.is_some_and(|backend| {
                    let holds = |key: u16| {
                        backend
                            .holds
                            .iter()
                            .any(|hold| hold.from <= key && key <= hold.to && hold.until > self.now)
                    };
                    backend.up && holds(span.from) && holds(span.to)
                })
            });
            if !held {
                missing += u32::from(span.to) - u32::from(span.from) + 1;
            }
        }
        missing
    }

    fn go(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end && self.broken.is_none() {
            self.now += STEP;
            if self.faults {
                self.break_something();
            }
            self.revive();
            self.deliver();
            for host in 0..self.entries.len() {
                self.act(host);
            }
            self.check();
        }
    }

    /// Whether something is lost now.
    fn loses(&mut self, share: f64) -> bool {
        self.faults && self.rng.random_bool(share)
    }

    fn time(&self) -> Time {
        Time::from_millis(self.now)
    }

    fn push(&mut self, after: u64, delivery: Delivery) {
        self.show("queued", &delivery);
        self.sequence += 1;
        self.queue
            .insert((self.now + after, self.sequence), delivery);
    }

    /// Prints what concerns the key in `GRANT_KEY`, for a seed that is looked into.
    fn show(&self, what: &str, delivery: &Delivery) {
        let Some(key) = std::env::var("GRANT_KEY")
            .ok()
            .and_then(|text| text.parse::<u16>().ok())
        else {
            return;
        };
        let concerns = match delivery {
            Delivery::Order {
                order: Order::Grant { from, to, .. } | Order::Release { from, to, .. },
                ..
            } => *from <= key && key <= *to,
            Delivery::Answer { .. } => true,
            _ => false,
        };
        if concerns {
            println!("{} {what} {delivery:?}", self.now);
        }
    }

    fn is_frozen(&self, host: usize) -> bool {
        let entry = &self.entries[host];
        !entry.up || entry.frozen_until > self.now
    }

    fn deliver(&mut self) {
        while let Some(((at, number), delivery)) = self.queue.pop_first() {
            if at > self.now {
                self.queue.insert((at, number), delivery);
                break;
            }
            match delivery {
                Delivery::Entries { host }
                    if !self.is_frozen(host) && self.store_up && self.entries[host].store =>
                {
                    self.read_entries(host);
                }
                Delivery::Entries { host } => self.push(200, Delivery::Entries { host }),
                Delivery::Order {
                    host,
                    order,
                    sent,
                    late,
                } => self.take_order(host, order, sent, late),
                Delivery::Answer {
                    host,
                    call,
                    sent,
                    reply,
                } => self.take_answer(host, call, sent, reply),
            }
        }
        let overdue: Vec<(usize, u64, u64)> = self
            .open
            .iter()
            .filter(|((host, _, _), (sent, _))| {
                self.now >= sent + ORDER_LIMIT && !self.is_frozen(*host)
            })
            .map(|(key, _)| *key)
            .collect();
        for (host, term, call) in overdue {
            let (sent, _) = self.open.remove(&(host, term, call)).unwrap();
            let now = self.time();
            if let Some(granter) = self.entries[host]
                .granter
                .as_mut()
                .filter(|granter| granter.term() == term)
            {
                granter.answered(
                    now,
                    CallId(call),
                    Time::from_millis(sent),
                    OrderReply::Unknown,
                );
            }
        }
    }

    fn take_order(&mut self, host: usize, order: Order, sent: u64, late: Option<u64>) {
        let (call, id, fence) = match &order {
            Order::Grant {
                call,
                server,
                fence,
                ..
            }
            | Order::Release {
                call,
                server,
                fence,
                ..
            } => (*call, server.clone(), *fence),
            _ => return,
        };
        let term = fence >> 24;
        let waits = self.open.contains_key(&(host, term, call.0));
        // An aborted connection takes what it carried along; work begun late goes on.
        if !waits && late.is_none() {
            return;
        }
        let index = self
            .backends
            .iter()
            .position(|backend| backend.id == id)
            .unwrap();
        if late.is_some_and(|born| born != self.backends[index].born) {
            return;
        }
        if !self.backends[index].up || self.cut_servers.contains(&(host, index)) {
            return;
        }
        if late.is_none() && self.late && self.rng.random_bool(0.2) {
            let after = self.rng.random_range(2_000..12_000);
            let arrival = self.now;
            let born = self.backends[index].born;
            self.hold_late(order, born, arrival, after);
            return;
        }
        let arrival = if late.is_some() { sent } else { self.now };
        let reply = self.carry_out(index, &order, arrival);
        if waits && !self.loses(0.04) {
            let after = self.rng.random_range(1..60);
            self.push(
                after,
                Delivery::Answer {
                    host,
                    call,
                    sent,
                    reply,
                },
            );
        }
    }

    /// Keeps an order that is carried out long after its arrival, from when its time counts.
    fn hold_late(&mut self, order: Order, born: u64, arrival: u64, after: u64) {
        let host = usize::MAX;
        self.push(
            after,
            Delivery::Order {
                host,
                order,
                sent: arrival,
                late: Some(born),
            },
        );
    }

    fn carry_out(&mut self, index: usize, order: &Order, arrival: u64) -> OrderReply {
        match order {
            Order::Grant {
                from,
                to,
                fence,
                hold,
                ..
            } => {
                // The slowest clock that is allowed.
                let until = arrival + hold.as_millis() as u64 * 102 / 100;
                if until <= self.now {
                    return OrderReply::Done(None);
                }
                self.check_fence(index, *from, *to, *fence);
                if self.backends[index].grant(*from, *to, *fence, until) {
                    OrderReply::Done(None)
                } else {
                    OrderReply::Fenced
                }
            }
            Order::Release {
                from, to, fence, ..
            } => {
                self.backends[index].cut(*from, *to, *fence);
                OrderReply::Done(Some("handed over".to_owned()))
            }
            _ => OrderReply::Done(None),
        }
    }

    fn check_fence(&mut self, index: usize, from: u16, to: u16, fence: u64) {
        let newer = self.backends[index]
            .seen
            .iter()
            .any(|(a, b, seen)| *a <= to && from <= *b && *seen > fence);
        if newer {
            return;
        }
        for (other, backend) in self.backends.iter().enumerate() {
            let above = backend
                .seen
                .iter()
                .find(|(a, b, seen)| *a <= to && from <= *b && *seen >= fence);
            if other != index && above.is_some() && backend.up {
                let id = &self.backends[index].id;
                self.broken = Some(format!(
                    "at {}: {id} takes {from}-{to} with {fence}, {} has had {above:?}",
                    self.now, backend.id
                ));
                return;
            }
        }
    }

    fn take_answer(&mut self, host: usize, call: CallId, sent: u64, reply: OrderReply) {
        if self.is_frozen(host) {
            if self.entries[host].up {
                self.push(
                    50,
                    Delivery::Answer {
                        host,
                        call,
                        sent,
                        reply,
                    },
                );
            }
            return;
        }
        let Some(term) = self.entries[host].granter.as_ref().map(Granter::term) else {
            return;
        };
        if self.open.remove(&(host, term, call.0)).is_none() {
            return;
        }
        let now = self.time();
        if let Some(granter) = &mut self.entries[host].granter {
            granter.answered(now, call, Time::from_millis(sent), reply);
        }
    }

    /// Finds keys that two servers hold.
    fn check(&mut self) {
        for backend in &mut self.backends {
            backend.holds.retain(|hold| hold.until > self.now);
        }
        for (index, one) in self.backends.iter().enumerate() {
            for other in &self.backends[index + 1..] {
                for a in &one.holds {
                    let both = other
                        .holds
                        .iter()
                        .find(|b| a.from <= b.to && b.from <= a.to);
                    if let Some(b) = both {
                        self.broken = Some(format!(
                            "at {}: {} holds {a:?}, {} holds {b:?}",
                            self.now, one.id, other.id
                        ));
                        return;
                    }
                }
            }
        }
    }
}
