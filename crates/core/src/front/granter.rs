//! Grants of keys to backend servers: who holds what, until when, and what moves.
//!
//! One host grants at a time. The store's record of it, written under a condition, names the
//! host and its term; every fence token begins with the term, so a later granter's tokens are
//! above all earlier ones. `docs/platform-path.md`, "Keys", gives the argument for each wait.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::balance::{Candidate, KeyHeat, ServerHeat};
use super::config::Config;
use super::placement::{KeySpan, Placement, Table, TableSpan};
use super::servers::{Servers, Standing};
use crate::ids::CallId;
use crate::log::{Code, Record};
use crate::time::Time;

/// Bits of a fence token below the term.
const TERM_SHIFT: u32 = 24;
/// Time between two looks at the balance of a service.
const BALANCING: Duration = Duration::from_millis(400);
/// Moves for balance of one service that may be under way at once.
const BALANCE_MOVES: usize = 2;
/// Pieces into which the keys of a lost server are cut, for different servers.
const PIECES: u32 = 3;
/// Spans narrower than this are not cut, in keys.
const NARROW: u32 = 64;
/// Time before an order without an answer is given again.
const REPEAT: Duration = Duration::from_millis(250);
/// Releases that are tried before the hold is waited out.
const RELEASE_TRIES: u32 = 2;
/// Grants without an answer after which a server whose hold has run out is lost.
const LOST_GRANTS: u32 = 2;
/// Part of its slots that a server is taken to keep busy when its requests a second are worked out.
const EFFICIENCY: f64 = 0.9;

/// Spans of time that grants follow.
#[derive(Clone, Copy, Debug)]
pub struct GranterTiming {
    /// How long a grant holds, counted from its arrival.
    pub hold: Duration,
    /// Time between two renewals.
    pub renewal: Duration,
    /// Time without a confirmation after which nothing is granted any more.
    pub authority: Duration,
    /// What is added to the worst-case end of a hold for transit and for slow clocks.
    pub margin: Duration,
    /// Time after the last change before moves that have ended are taken off record.
    pub tidy: Duration,
}

impl GranterTiming {
    /// Two in a hundred is how slow a server's clock may run.
    fn worst(&self) -> Duration {
        self.hold.mul_f64(1.02) + self.margin
    }
}

/// What the granter looks at.
#[derive(Clone, Copy, Debug)]
pub struct World<'a> {
    /// The servers.
    pub servers: &'a Servers,
    /// The configuration.
    pub config: &'a Config,
    /// Failure domains that operators have taken out.
    pub evacuated: &'a BTreeSet<String>,
}

impl World<'_> {
    fn find(&self, id: &str) -> Option<&Standing> {
        self.servers.get(self.servers.find(id)?)
    }

    fn is_usable(&self, service: &str, id: &str) -> bool {
        self.find(id).is_some_and(|standing| {
            let entry = &standing.entry;
            &*entry.service == service && !entry.draining && !self.evacuated.contains(&entry.domain)
        })
    }

    fn usable(&self, service: &str) -> Vec<&Standing> {
        let keys = self.servers.of(service).iter();
        keys.filter_map(|key| self.servers.get(*key))
            .filter(|standing| self.is_usable(service, &standing.entry.id))
            .collect()
    }
}

/// Something that has to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Keys are granted, or their grant is renewed.
    Grant {
        /// Names the call when it is answered.
        call: CallId,
        /// The server.
        server: Arc<str>,
        /// Where it listens.
        address: SocketAddr,
        /// The first key.
        from: u16,
        /// The last key.
        to: u16,
        /// The fence token.
        fence: u64,
        /// How long the grant holds.
        hold: Duration,
        /// What the last holder handed over.
        handover: Option<String>,
        /// Whether the order only counts on a connection that is still open from the grant: a
        /// new one may lead to a new life of the server.
        renewal: bool,
    },
    /// Keys are taken back.
    Release {
        /// Names the call when it is answered.
        call: CallId,
        /// The server.
        server: Arc<str>,
        /// Where it listens.
        address: SocketAddr,
        /// The first key.
        from: u16,
        /// The last key.
        to: u16,
        /// The fence token.
        fence: u64,
    },
    /// The record has to be written.
    Write(Placement),
    /// Something for the log.
    Log(Record),
}

/// How an order ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderReply {
    /// The server did it; a release may have a hand-over.
    Done(Option<String>),
    /// The server has seen a higher fence token.
    Fenced,
    /// Another server is at the address, or none of ours.
    Wrong,
    /// Nothing was sent, since the connection of the grant is gone; there is a new one.
    Reconnected,
    /// Nothing was sent.
    Unsent,
    /// There was no answer, and the connection is aborted.
    Unknown,
}

#[derive(Clone, Debug)]
struct Holder {
    server: Arc<str>,
    born: Option<u64>,
    fence: u64,
    handover: Option<String>,
    /// Whether the server is known or taken to hold the keys.
    confirmed: bool,
    /// Whether the server has taken this very fence token.
    bound: bool,
    call: Option<CallId>,
    next: Time,
    /// Grants in a row without an answer.
    failures: u32,
    /// Until when the server holds the keys at least.
    sure_until: Time,
    /// Until when it holds them at most.
    worst_until: Time,
}

impl Holder {
    /// Takes in how a grant ended; `fence` is a new token, for where the old one is used up.
    ///
    /// A token belongs to one connection: where that is gone, the server may have a new life,
    /// which must get a higher one.
    fn answered(
        &mut self,
        now: Time,
        sent: Time,
        timing: &GranterTiming,
        reply: &OrderReply,
        fence: u64,
    ) {
        self.next = self.next.min(now + REPEAT);
        match reply {
            OrderReply::Done(_) => {
                self.next = sent + timing.renewal;
                self.confirmed = true;
                self.bound = true;
                self.failures = 0;
                self.handover = None;
                self.sure_until = self.sure_until.max(sent + timing.hold);
                self.worst_until = self.worst_until.max(now + timing.worst());
                return;
            }
            OrderReply::Reconnected => self.next = now,
            OrderReply::Unknown => {
                self.failures += 1;
                self.worst_until = self.worst_until.max(now + timing.worst());
            }
            OrderReply::Unsent | OrderReply::Wrong => self.failures += 1,
            OrderReply::Fenced => {}
        }
        self.bound = false;
        self.fence = fence;
    }
}

#[derive(Clone, Debug)]
enum Stage {
    Held,
    /// A move waits for the record.
    Recording {
        target: Arc<str>,
        version: u64,
    },
    /// The present holder is asked to let go.
    Releasing {
        target: Arc<str>,
        call: Option<CallId>,
        tries: u32,
        due: Time,
    },
    /// Nothing but time can end the present hold.
    Expiring {
        target: Arc<str>,
        at: Time,
        handover: Option<String>,
    },
}

#[derive(Clone, Debug)]
struct Span {
    from: u16,
    to: u16,
    holder: Option<Holder>,
    /// When keys without a holder are free, and what their last one handed over.
    free_at: Time,
    left: Option<String>,
    stage: Stage,
}

impl Span {
    fn width(&self) -> u32 {
        u32::from(self.to) - u32::from(self.from) + 1
    }

    fn target(&self) -> Option<&Arc<str>> {
        match &self.stage {
            Stage::Held => self.holder.as_ref().map(|holder| &holder.server),
            Stage::Recording { target, .. }
            | Stage::Releasing { target, .. }
            | Stage::Expiring { target, .. } => Some(target),
        }
    }

    fn is_moving(&self) -> bool {
        !matches!(self.stage, Stage::Held)
    }

    /// The server that requests for the keys go to.
    fn serving(&self) -> Option<&Arc<str>> {
        let held = matches!(self.stage, Stage::Held | Stage::Recording { .. });
        let holder = self
            .holder
            .as_ref()
            .filter(|holder| held && holder.confirmed)?;
        Some(&holder.server)
    }

    /// Cuts the span so that one of the parts is the given range.
    fn cut(self, from: u16, to: u16) -> Vec<Self> {
        let mut parts = Vec::new();
        if self.from < from {
            parts.push(Self {
                to: from - 1,
                ..self.clone()
            });
        }
        parts.push(Self {
            from,
            to,
            ..self.clone()
        });
        if to < self.to {
            parts.push(Self {
                from: to + 1,
                ..self
            });
        }
        parts
    }
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
    doubtful: BTreeMap<Arc<str>, Time>,
    confirmed: Time,
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
            doubtful: BTreeMap::new(),
            confirmed: now,
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
            bound: false,
            call: None,
            next: now,
            failures: 0,
            sure_until: now + self.timing.hold,
            worst_until: worst,
        };
        let (holder, stage) = match (&span.owner, &span.previous) {
            (Some(owner), Some(previous)) => {
                let target = owner.clone();
                let stage = Stage::Releasing {
                    target,
                    call: None,
                    tries: 0,
                    due: now,
                };
                (Some(holder(previous, false)), stage)
            }
            (Some(owner), None) => (Some(holder(owner, true)), Stage::Held),
            (None, previous) => (
                previous.as_ref().map(|server| holder(server, false)),
                Stage::Held,
            ),
        };
        let (from, to) = (span.from, span.to);
        Span {
            from,
            to,
            holder,
            free_at: now,
            left: None,
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

    /// Gives every key of a service that is new to it a first server.
    fn place(&mut self, now: Time, world: World<'_>) {
        for (service, settings) in &world.config.services {
            if !settings.keyed || self.services.contains_key(service) {
                continue;
            }
            let servers = world.usable(service);
            let slots: u64 = servers
                .iter()
                .map(|server| u64::from(server.entry.slots))
                .sum();
            if slots == 0 {
                continue;
            }
            let mut spans = Vec::new();
            let mut used = 0;
            let mut from = 0;
            for server in servers {
                used += u64::from(server.entry.slots);
                let end = (used * 65_536 / slots) as u32;
                let target = server.entry.id.clone();
                let stage = Stage::Recording {
                    target,
                    version: self.next_version,
                };
                let to = (end - 1) as u16;
                spans.push(Span {
                    from,
                    to,
                    holder: None,
                    free_at: now,
                    left: None,
                    stage,
                });
                from = end as u16;
            }
            self.services.insert(service.clone(), spans);
            self.dirty = true;
        }
    }

    fn step(
        &mut self,
        now: Time,
        world: World<'_>,
        service: &Arc<str>,
        mut span: Span,
    ) -> Vec<Span> {
        match span.stage.clone() {
            Stage::Held => return self.hold(now, world, service, span),
            Stage::Recording { target, version } => {
                if self.written >= version {
                    span.stage = match &span.holder {
                        Some(_) => Stage::Releasing {
                            target,
                            call: None,
                            tries: 0,
                            due: now,
                        },
                        None => Stage::Expiring {
                            target,
                            at: span.free_at,
                            handover: span.left.take(),
                        },
                    };
                    return self.step(now, world, service, span);
                }
            }
            Stage::Releasing {
                target,
                call: None,
                tries,
                due,
            } if due <= now => {
                self.release(now, world, &mut span, target, tries);
            }
            Stage::Releasing { .. } => {}
            Stage::Expiring {
                target,
                at,
                handover,
            } if at <= now => {
                if !world.is_usable(service, &target) {
                    span.holder = None;
                    span.left = handover;
                    span.free_at = now;
                    return self.retarget(now, world, service, span, false);
                }
                span.holder = Some(self.new_holder(now, world, target, handover));
                span.stage = Stage::Held;
                self.moved = Some(now);
                return self.hold(now, world, service, span);
            }
            Stage::Expiring { .. } => {}
        }
        vec![span]
    }

    fn new_holder(
        &mut self,
        now: Time,
        world: World<'_>,
        server: Arc<str>,
        handover: Option<String>,
    ) -> Holder {
        Holder {
            born: world.find(&server).and_then(|standing| standing.entry.born),
            server,
            fence: self.draw_fence(),
            handover,
            confirmed: false,
            bound: false,
            call: None,
            next: now,
            failures: 0,
            sure_until: now + self.timing.hold,
            worst_until: now,
        }
    }

    /// Renews what a server holds, or begins to move it.
    fn hold(
        &mut self,
        now: Time,
        world: World<'_>,
        service: &Arc<str>,
        mut span: Span,
    ) -> Vec<Span> {
        let Some(mut holder) = span.holder.take() else {
            return self.retarget(now, world, service, span, false);
        };
        let born = world
            .find(&holder.server)
            .and_then(|standing| standing.entry.born);
        if born.is_some() && holder.born.is_some() && born != holder.born {
            let server = holder.server.clone();
            self.log(Code::ServerRestarted, &server, "its keys are granted anew");
            holder = self.new_holder(now, world, server, None);
        }
        if holder.born.is_none() {
            holder.born = born;
        }
        let usable = world.is_usable(service, &holder.server);
        let lost = holder.sure_until <= now && holder.failures >= LOST_GRANTS;
        if usable && !lost {
            if holder.call.is_none() && holder.next <= now {
                self.grant(now, world, &span, &mut holder);
            }
            span.holder = Some(holder);
            return vec![span];
        }
        if usable {
            let server = holder.server.clone();
            self.log(Code::ServerLost, &server, "grants are not answered");
        }
        span.holder = Some(holder);
        self.retarget(now, world, service, span, usable)
    }

    fn grant(&mut self, now: Time, world: World<'_>, span: &Span, holder: &mut Holder) {
        let Some(standing) = world.find(&holder.server) else {
            return;
        };
        let call = self.draw_call();
        holder.call = Some(call);
        holder.next = now + self.timing.renewal;
        self.orders.push(Order::Grant {
            call,
            server: holder.server.clone(),
            address: standing.entry.address,
            from: span.from,
            to: span.to,
            fence: holder.fence,
            hold: self.timing.hold,
            handover: holder.handover.clone(),
            renewal: holder.bound,
        });
    }

    fn release(
        &mut self,
        now: Time,
        world: World<'_>,
        span: &mut Span,
        target: Arc<str>,
        tries: u32,
    ) {
        let Some(holder) = &span.holder else { return };
        let server = holder.server.clone();
        let known = world.find(&server);
        let restarted = known.is_some_and(|standing| {
            holder.born.is_some()
                && standing.entry.born.is_some()
                && standing.entry.born != holder.born
        });
        if restarted {
            span.stage = Stage::Expiring {
                target,
                at: now,
                handover: None,
            };
            return;
        }
        let Some(standing) = known.filter(|_| tries < RELEASE_TRIES) else {
            span.stage = Stage::Expiring {
                target,
                at: holder.worst_until,
                handover: None,
            };
            return;
        };
        if holder.call.is_some() {
            return;
        }
        let fence = holder.fence;
        let call = self.draw_call();
        let (from, to) = (span.from, span.to);
        let address = standing.entry.address;
        self.orders.push(Order::Release {
            call,
            server,
            address,
            from,
            to,
            fence,
        });
        span.stage = Stage::Releasing {
            target,
            call: Some(call),
            tries: tries + 1,
            due: now,
        };
    }

    /// Chooses new servers for keys whose server is gone or about to go.
    fn retarget(
        &mut self,
        now: Time,
        world: World<'_>,
        service: &Arc<str>,
        span: Span,
        lost: bool,
    ) -> Vec<Span> {
        let pieces = if span.width() >= NARROW { PIECES } else { 1 };
        let avoided = if lost {
            span.holder.as_ref().map(|holder| holder.server.clone())
        } else {
            None
        };
        let mut chosen = Vec::new();
        let mut extra = BTreeMap::new();
        for piece in 0..pieces {
            let from = u32::from(span.from) + span.width() * piece / pieces;
            let to = u32::from(span.from) + span.width() * (piece + 1) / pieces - 1;
            let (from, to) = (from as u16, to as u16);
            let Some(target) = self.best(now, world, service, avoided.as_ref(), &extra) else {
                return vec![Span {
                    stage: Stage::Held,
                    ..span
                }];
            };
            *extra.entry(target.clone()).or_insert(0) += u32::from(to - from) + 1;
            let stage = Stage::Recording {
                target,
                version: self.next_version,
            };
            chosen.push(Span {
                from,
                to,
                stage,
                ..span.clone()
            });
        }
        self.dirty = true;
        chosen
    }

    /// The server with the least work for its size.
    fn best(
        &self,
        now: Time,
        world: World<'_>,
        service: &Arc<str>,
        avoided: Option<&Arc<str>>,
        extra: &BTreeMap<Arc<str>, u32>,
    ) -> Option<Arc<str>> {
        let heats = self.heats(now, world, service);
        let usable = heats
            .iter()
            .filter(|heat| heat.takes && Some(&heat.id) != avoided);
        let cost = |heat: &ServerHeat| {
            let more = extra.get(&heat.id).copied().unwrap_or_default();
            let keys = f64::from(heat.keys + more) / 65_536.0;
            heat.rate / heat.capacity.max(0.1) + keys * 4.0
        };
        let best = usable.min_by(|a, b| cost(a).total_cmp(&cost(b)))?;
        Some(best.id.clone())
    }

    fn heats(&self, now: Time, world: World<'_>, service: &Arc<str>) -> Vec<ServerHeat> {
        let spans = self.services.get(service).map_or(&[][..], Vec::as_slice);
        let heat = self.heat.get(service);
        let mut heats: Vec<ServerHeat> = world
            .usable(service)
            .iter()
            .map(|standing| {
                let mean = standing.load.mean(now).as_secs_f64().max(0.001);
                ServerHeat {
                    id: standing.entry.id.clone(),
                    rate: 0.0,
                    capacity: f64::from(standing.entry.slots) * EFFICIENCY / mean,
                    keys: 0,
                    takes: standing.shunned_until <= now,
                }
            })
            .collect();
        for span in spans {
            let Some(target) = span.target() else {
                continue;
            };
            if let Some(server) = heats.iter_mut().find(|server| &server.id == target) {
                server.keys += span.width();
                server.rate += heat.map_or(0.0, |heat| heat.rate(span.from, span.to));
            }
        }
        heats
    }

    fn balance(&mut self, now: Time, world: World<'_>, service: &Arc<str>) {
        let spans = self.services.get(service).map_or(&[][..], Vec::as_slice);
        if spans.iter().filter(|span| span.is_moving()).count() >= BALANCE_MOVES {
            return;
        }
        let heats = self.heats(now, world, service);
        if let Some(newcomer) = heats.iter().find(|heat| heat.takes && heat.keys == 0) {
            let target = newcomer.id.clone();
            let widest = (0..spans.len())
                .filter(|index| !spans[*index].is_moving())
                .max_by_key(|index| spans[*index].width());
            let Some(index) = widest.filter(|index| spans[*index].width() > 1) else {
                return;
            };
            let span = &spans[index];
            let middle = span.from + ((span.width() / 2) as u16);
            let to = span.to;
            self.move_part(service, index, middle, to, target);
            return;
        }
        let Some(candidate) = Candidate::find(&heats) else {
            return;
        };
        let Some(heat) = self.heat.get(service) else {
            return;
        };
        let source = |index: &usize| {
            let span: &Span = &spans[*index];
            !span.is_moving() && span.target() == Some(&candidate.source)
        };
        let rate = |index: &usize| heat.rate(spans[*index].from, spans[*index].to);
        let hottest = (0..spans.len())
            .filter(source)
            .max_by(|a, b| rate(a).total_cmp(&rate(b)));
        let Some(index) = hottest else { return };
        let wanted = candidate.rate.min(rate(&index) * 0.9);
        let Some((from, to)) = heat.hottest(spans[index].from, spans[index].to, wanted) else {
            return;
        };
        self.move_part(service, index, from, to, candidate.target);
    }

    fn move_part(
        &mut self,
        service: &Arc<str>,
        index: usize,
        from: u16,
        to: u16,
        target: Arc<str>,
    ) {
        let version = self.next_version;
        let Some(spans) = self.services.get_mut(service) else {
            return;
        };
        if spans[index]
            .holder
            .as_ref()
            .is_some_and(|holder| holder.call.is_some())
        {
            return;
        }
        let span = spans.remove(index);
        let mut parts = span.cut(from, to);
        for part in &mut parts {
            if part.from == from {
                part.stage = Stage::Recording {
                    target: target.clone(),
                    version,
                };
            }
        }
        spans.splice(index..index, parts);
        self.dirty = true;
        self.log(
            Code::ShardsMoved,
            &target,
            &format!("{service} {from}-{to}"),
        );
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
                        let server = span.holder.as_ref().map(|holder| holder.server.clone());
                        let doubt = server.and_then(|server| self.doubtful.get(&server).copied());
                        let at = doubt.unwrap_or(now).max(now);
                        Stage::Expiring {
                            target,
                            at,
                            handover: handover.clone(),
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
            holder.answered(now, sent, &timing, &reply, fence);
            match reply {
                OrderReply::Unknown => {
                    let until = now + timing.worst();
                    self.doubtful.insert(holder.server.clone(), until);
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

    /// Takes in that the record could not be written; it is tried again.
    pub fn record_failed(&mut self) {
        self.writing = false;
        self.dirty = true;
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
                    previous: present.filter(|_| span.is_moving()),
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
