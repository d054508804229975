//! Grants of keys to backend servers: who holds what, until when, and what moves.
//!
//! One host grants at a time. The store's record of it, written under a condition, names the
//! host and its term; every fence token begins with the term, so a later granter's tokens are
//! above all earlier ones. `docs/platform-path.md`, "Keys", gives the argument for each wait.

mod moves;
mod order;
mod span;
mod spread;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::balance::KeyHeat;
use super::placement::{KeySpan, Placement, Table, TableSpan};
use crate::ids::CallId;
use crate::log::{Code, Record};
use crate::time::Time;

pub use order::{GranterTiming, Order, OrderReply, World};
use span::{Holder, Span, Stage};

/// Bits of a fence token below the term.
const TERM_SHIFT: u32 = 24;
/// Time between two looks at the balance of a service.
const BALANCING: Duration = Duration::from_millis(400);
/// Time after which a granter that few hosts follow takes the others for gone.
const MINORITY_WAIT: Duration = Duration::from_secs(20);
/// Time before an order without an answer is given again.
const REPEAT: Duration = Duration::from_millis(250);

/// A grant without an answer, which may yet be carried out.
#[derive(Clone, Debug)]
struct Doubt {
    server: Arc<str>,
    from: u16,
    to: u16,
    /// Its token: a server that has taken a higher one refuses it.
    fence: u64,
    /// Until when the keys may be held under it.
    until: Time,
}

/// Grants keys for as long as its host is confirmed to be the one that grants.
#[derive(Clone, Debug)]
pub struct Granter {
    timing: GranterTiming,
    term: u64,
    holder: String,
    address: SocketAddr,
    services: BTreeMap<Arc<str>, Vec<Span>>,
    heat: BTreeMap<Arc<str>, KeyHeat>,
    doubts: Vec<Doubt>,
    confirmed: Time,
    started: Time,
    /// Since when more than half of the hosts have followed this one.
    followed: Option<Time>,
    next_call: u64,
    next_fence: u64,
    next_version: u64,
    written: u64,
    writing: bool,
    dirty: bool,
    /// When a move that the record still shows ended.
    moved: Option<Time>,
    balanced: Time,
    table: Table,
    orders: Vec<Order>,
}

impl Granter {
    /// Takes over from the record that this host has just put its name on.
    ///
    /// Servers on record may hold their keys under an earlier granter for as long as that one
    /// could still renew, and a hold on top.
    pub fn new(now: Time, record: &Placement, timing: GranterTiming) -> Self {
        let mut granter = Self {
            timing,
            term: record.term,
            holder: record.holder.clone(),
            address: record.address,
            services: BTreeMap::new(),
            heat: BTreeMap::new(),
            doubts: Vec::new(),
            confirmed: now,
            started: now,
            followed: None,
            next_call: 0,
            next_fence: 0,
            next_version: record.version + 1,
            written: record.version,
            writing: false,
            dirty: false,
            moved: None,
            balanced: now,
            table: Table {
                term: record.term,
                ..Table::default()
            },
            orders: Vec::new(),
        };
        for (service, spans) in &record.services {
            let spans = merge(spans);
            let spans = spans
                .iter()
                .map(|span| granter.take_over(now, span))
                .collect();
            granter.services.insert(service.clone(), spans);
        }
        granter
    }

    fn take_over(&mut self, now: Time, span: &KeySpan) -> Span {
        let worst = now + self.timing.authority + self.timing.worst();
        let fence = self.draw_fence();
        let holder = |server: &Arc<str>, confirmed| Holder {
            server: server.clone(),
            born: None,
            fence,
            handover: None,
            confirmed,
            presumed: true,
            bound: false,
            call: None,
            next: now,
            failures: 0,
            sure_until: now + self.timing.hold,
            worst_until: worst,
        };
        // How far the earlier granter came with a move is not known: either server may hold the
        // keys, and a grant to one of them could meet the hold of the other.
        let (holder, stage) = match (&span.owner, &span.previous) {
            (Some(owner), Some(_)) => (None, Stage::expiring(owner.clone(), worst)),
            (Some(owner), None) => (Some(holder(owner, true)), Stage::Held),
            (None, previous) => (
                previous.as_ref().map(|server| holder(server, false)),
                Stage::Held,
            ),
        };
        Span {
            from: span.from,
            to: span.to,
            free_at: now,
            left: None,
            past: span.previous.clone().filter(|_| holder.is_none()),
            holder,
            stage,
        }
    }

    /// The term.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Where requests go.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Takes in that this host was the granting one at a time.
    pub fn confirm(&mut self, at: Time) {
        self.confirmed = self.confirmed.max(at);
    }

    /// Takes in that more than half of the hosts, this one included, follow this one.
    pub fn follow(&mut self, now: Time) {
        self.followed.get_or_insert(now);
    }

    /// Whether an earlier granter has surely come to its end.
    ///
    /// One that is cut off from the store goes on while more than half of the hosts follow it, so
    /// keys are taken from a silent server only once they follow this one. Hosts that are gone
    /// for good must not hold that up for ever.
    fn is_alone(&self, now: Time) -> bool {
        let since = self.followed.unwrap_or(self.started + MINORITY_WAIT);
        now >= since + self.timing.authority + self.timing.worst()
    }

    /// Whether this host may give orders.
    pub fn is_confirmed(&self, now: Time) -> bool {
        now.since(self.confirmed) < self.timing.authority
    }

    /// Takes in requests by key that a host had.
    pub fn heat(
        &mut self,
        now: Time,
        service: &Arc<str>,
        counts: impl IntoIterator<Item = (u16, u32)>,
    ) {
        self.heat
            .entry(service.clone())
            .or_default()
            .add(now, counts);
    }

    /// Takes in that a server turned a request away because it does not hold the key.
    ///
    /// The server may have restarted without a word: its keys are granted anew, with a fence
    /// token of their own.
    pub fn missing(&mut self, now: Time, service: &str, key: u16, server: &str) {
        let fence = self.draw_fence();
        let spans = self.services.get_mut(service);
        let span = spans
            .into_iter()
            .flatten()
            .find(|span| span.from <= key && key <= span.to);
        let Some(span) = span else { return };
        if !matches!(span.stage, Stage::Held) {
            return;
        }
        if let Some(holder) = span.holder.as_mut()
            && &*holder.server == server
            && holder.call.is_none()
        {
            holder.fence = fence;
            holder.bound = false;
            holder.confirmed = false;
            holder.next = now;
        }
    }

    /// Moves everything on as far as it can go now.
    pub fn advance(&mut self, now: Time, world: World<'_>) -> Vec<Order> {
        if !self.is_confirmed(now) {
            return std::mem::take(&mut self.orders);
        }
        self.doubts.retain(|doubt| doubt.until > now);
        self.place(now, world);
        let services: Vec<Arc<str>> = self.services.keys().cloned().collect();
        for service in &services {
            let spans = self.services.remove(service).unwrap_or_default();
            let mut kept = Vec::with_capacity(spans.len());
            for span in spans {
                kept.extend(self.step(now, world, service, span));
            }
            self.services.insert(service.clone(), kept);
        }
        if now.since(self.balanced) >= BALANCING {
            self.balanced = now;
            for service in &services {
                self.balance(now, world, service);
            }
        }
        self.record(now);
        self.publish();
        std::mem::take(&mut self.orders)
    }

    /// Takes in how an order ended.
    pub fn answered(&mut self, now: Time, call: CallId, sent: Time, reply: OrderReply) {
        let timing = self.timing;
        let fence = self.draw_fence();
        let mut fenced = None;
        for span in self.services.values_mut().flatten() {
            if let Stage::Releasing {
                target,
                call: waiting,
                tries,
                ..
            } = &span.stage
                && *waiting == Some(call)
            {
                let (target, tries) = (target.clone(), *tries);
                span.stage = match &reply {
                    OrderReply::Done(handover) => {
                        let span_doubts = self.doubts.iter().filter(|doubt| {
                            let holder = span.holder.as_ref();
                            let open = holder.is_some_and(|holder| {
                                let refused = holder.bound && doubt.fence < holder.fence;
                                holder.server == doubt.server && !refused
                            });
                            open && doubt.from <= span.to && span.from <= doubt.to
                        });
                        let at = span_doubts.map(|doubt| doubt.until).fold(now, Time::max);
                        Stage::Expiring {
                            target,
                            at,
                            handover: handover.clone(),
                            released: true,
                        }
                    }
                    _ => Stage::Releasing {
                        target,
                        call: None,
                        tries,
                        due: now + REPEAT,
                    },
                };
                return;
            }
            let Some(holder) = span
                .holder
                .as_mut()
                .filter(|holder| holder.call == Some(call))
            else {
                continue;
            };
            // A span that was cut while the call was under way has the call in each part.
            holder.call = None;
            let used = holder.fence;
            holder.answered(now, sent, &timing, &reply, fence);
            match reply {
                OrderReply::Unknown => {
                    self.doubts.push(Doubt {
                        server: holder.server.clone(),
                        from: span.from,
                        to: span.to,
                        fence: used,
                        until: now + timing.worst(),
                    });
                }
                OrderReply::Fenced => fenced = Some(holder.server.clone()),
                _ => {}
            }
        }
        if let Some(server) = fenced {
            // Another host may grant by now; nothing is ordered until that is known.
            self.log(Code::Fenced, &server, "a grant was refused");
            self.confirmed = Time::ZERO;
        }
    }

    /// Takes in that the record was written.
    pub fn recorded(&mut self, version: u64) {
        self.written = self.written.max(version);
        self.writing = false;
    }

    fn record(&mut self, now: Time) {
        if self.writing || !(self.dirty || self.has_ended_moves(now)) {
            return;
        }
        let version = self.next_version;
        self.next_version += 1;
        for span in self.services.values_mut().flatten() {
            if let Stage::Recording {
                version: wanted, ..
            } = &mut span.stage
                && *wanted > self.written
            {
                *wanted = version;
            }
        }
        self.writing = true;
        self.dirty = false;
        self.moved = None;
        let placement = self.placement(version);
        self.orders.push(Order::Write(placement));
    }

    /// Whether moves have ended that the record still shows.
    fn has_ended_moves(&self, now: Time) -> bool {
        let moved = self
            .moved
            .is_some_and(|moved| now.since(moved) >= self.timing.tidy);
        moved && !self.services.values().flatten().any(Span::is_moving)
    }

    fn placement(&self, version: u64) -> Placement {
        let spans = |spans: &Vec<Span>| {
            let spans = spans.iter().map(|span| {
                let present = span.holder.as_ref().map(|holder| holder.server.clone());
                KeySpan {
                    from: span.from,
                    to: span.to,
                    owner: span.target().cloned(),
                    previous: present
                        .filter(|_| span.is_moving())
                        .or_else(|| span.past.clone()),
                }
            });
            spans.collect()
        };
        let services = self.services.iter();
        Placement {
            term: self.term,
            version,
            holder: self.holder.clone(),
            address: self.address,
            services: services
                .map(|(name, list)| (name.clone(), spans(list)))
                .collect(),
        }
    }

    fn publish(&mut self) {
        let spans = |spans: &Vec<Span>| {
            let spans = spans.iter().map(|span| TableSpan {
                from: span.from,
                to: span.to,
                server: span.serving().cloned(),
            });
            spans.collect::<Vec<_>>()
        };
        let services = self.services.iter();
        let services = services
            .map(|(name, list)| (name.clone(), spans(list)))
            .collect();
        if self.table.services != services || self.table.version == 0 {
            self.table.services = services;
            self.table.version += 1;
        }
    }

    fn draw_call(&mut self) -> CallId {
        self.next_call += 1;
        CallId(self.next_call)
    }

    fn draw_fence(&mut self) -> u64 {
        self.next_fence += 1;
        (self.term << TERM_SHIFT) | self.next_fence
    }

    fn log(&mut self, code: Code, subject: &str, detail: &str) {
        self.orders
            .push(Order::Log(Record::new(code, subject, detail)));
    }
}

/// Joins neighbouring spans of one server, so that a new granter has fewer to renew.
fn merge(spans: &[KeySpan]) -> Vec<KeySpan> {
    let mut merged: Vec<KeySpan> = Vec::new();
    for span in spans {
        match merged.last_mut() {
            Some(last) if last.owner == span.owner && last.previous == span.previous => {
                last.to = span.to;
            }
            _ => merged.push(span.clone()),
        }
    }
    merged
}
