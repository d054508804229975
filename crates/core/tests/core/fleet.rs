//! A few hosts over fake servers, a fake store and a lossy clockwork, driven by seeded faults.

mod backend;
mod callers;
mod calls;
mod checks;
mod faults;
mod store;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};
use std::time::Duration;

use amaranthshunt_core::catalogue::{Class, Entry, Limits, Server};
use amaranthshunt_core::ids::{CallId, ExchangeId};
use amaranthshunt_core::object::ObjectKey;
use amaranthshunt_core::record::Subject;
use amaranthshunt_core::trace::{Step, Trace};
use amaranthshunt_core::{Effect, Event, Host, HostId, HostSettings, Request, Time, Timing};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use backend::Backend;
use checks::Checks;
use store::Store;

/// Where the clockwork begins, in milliseconds since the Unix epoch.
const BEGIN_MILLIS: u64 = 1_700_000_000_000;

/// What a run consists of.
#[derive(Clone, Debug)]
pub(crate) struct Shape {
    pub domains: Vec<&'static str>,
    pub hosts_per_domain: usize,
    pub servers_per_domain: usize,
    pub shards: u32,
    pub checked_every: usize,
}

impl Default for Shape {
    fn default() -> Self {
        Self {
            domains: vec!["este/e1", "este/e2"],
            hosts_per_domain: 2,
            servers_per_domain: 3,
            shards: 24,
            checked_every: 2,
        }
    }
}

#[derive(Clone, Debug)]
pub(crate) enum Fault {
    KillHost(usize),
    LeaveHost(usize),
    PauseHost(usize, Duration),
    KillServer(usize, Duration),
    FreezeServer(usize, Duration),
    CoolServer(usize),
    /// A server says that it leaves, and takes it back.
    DrainServer(usize, Duration),
    CutHosts(usize, usize, Duration),
    CutHostStore(usize, Duration),
    CutHostServer(usize, usize, Duration),
    StoreDown(Duration),
    StoreLossy(Duration),
    StoreSlow(Duration),
    Order(Subject, bool),
    /// A failure domain hears neither the others nor the store.
    CutDomain(usize, Duration),
    /// Both hosts of a pair are lost at once.
    KillBoth(usize, usize),
}

#[derive(Debug)]
enum Action {
    Host {
        slot: usize,
        id: HostId,
        event: Event,
    },
    Tick {
        slot: usize,
        id: HostId,
    },
    StoreCall {
        slot: usize,
        id: HostId,
        call: CallId,
        kind: amaranthshunt_core::event::StoreCall,
    },
    Register {
        slot: usize,
        id: HostId,
        call: CallId,
        server: usize,
        grant: Option<amaranthshunt_core::event::Grant>,
    },
    Order(Sent),
    Finish {
        server: usize,
        boot: u64,
        run: u64,
    },
    Fault(Fault),
    StartHost(usize),
    StartServer(usize),
    StayServer(usize),
    Submit(usize),
}

/// An order on its way.
#[derive(Clone, Debug)]
pub(crate) struct Sent {
    slot: usize,
    id: HostId,
    exchange: ExchangeId,
    server: usize,
    boot: u64,
    order: amaranthshunt_core::request::Order,
    request: Request,
}

struct Slot {
    host: Option<Host>,
    name: String,
    domain: String,
    offset: i64,
    paused_until: u64,
    inbox: VecDeque<Event>,
    tick_at: u64,
}

pub(crate) struct Fleet {
    now: u64,
    rng: SmallRng,
    heap: BinaryHeap<Reverse<(u64, u64)>>,
    actions: HashMap<u64, Action>,
    next: u64,
    slots: Vec<Slot>,
    ids: HashMap<HostId, usize>,
    store: Store,
    backends: Vec<Backend>,
    cuts: BTreeMap<(usize, usize), u64>,
    store_cuts: BTreeMap<usize, u64>,
    server_cuts: BTreeMap<(usize, usize), u64>,
    fifo: HashMap<(usize, usize), u64>,
    attempts: HashMap<(usize, u64), Attempt>,
    pub checks: Checks,
    next_request: u64,
    next_host: u64,
    pub load: bool,
    pub jitter: bool,
    recent: VecDeque<Request>,
    recording: Option<(HostId, Trace)>,
    pub gap: std::ops::Range<u64>,
    pub poison: bool,
}

#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    slot: usize,
    uid: String,
    entry: String,
    submitted: u64,
    repeat: bool,
}

pub(crate) fn entries(shape: &Shape) -> Vec<Entry> {
    [("catalogue", Class::Read), ("billing", Class::Payment)]
        .into_iter()
        .enumerate()
        .map(|(number, (name, class))| entry(shape, number, name, class))
        .collect()
}

fn entry(shape: &Shape, number: usize, name: &str, class: Class) -> Entry {
    let mut servers = Vec::new();
    for (place, domain) in shape.domains.iter().enumerate() {
        for index in 0..shape.servers_per_domain {
            let port = 1000 + number * 100 + place * 10 + index;
            servers.push(Server {
                name: format!("{name}-{place}-{index}"),
                domain: domain.parse().unwrap(),
                address: format!("127.0.0.1:{port}").parse().unwrap(),
                checks: index % shape.checked_every == 0,
            });
        }
    }
    Entry {
        name: name.to_owned(),
        owner: "owner".to_owned(),
        class,
        regions: vec!["este".to_owned()],
        tenants: BTreeMap::new(),
        shards: shape.shards,
        limits: Limits {
            slots: 4,
            cold_slots: 1,
            warm_up: 400,
            connections: 110,
            queue: 64,
            body: 1000,
        },
        servers,
    }
}

impl Fleet {
    pub(crate) fn new(shape: &Shape, seed: u64) -> Self {
        let mut fleet = Self {
            now: BEGIN_MILLIS * 1_000,
            rng: SmallRng::seed_from_u64(seed),
            heap: BinaryHeap::new(),
            actions: HashMap::new(),
            next: 0,
            slots: Vec::new(),
            ids: HashMap::new(),
            store: Store::default(),
            backends: Vec::new(),
            cuts: BTreeMap::new(),
            store_cuts: BTreeMap::new(),
            server_cuts: BTreeMap::new(),
            fifo: HashMap::new(),
            attempts: HashMap::new(),
            checks: Checks::default(),
            next_request: 0,
            next_host: 0,
            load: true,
            jitter: true,
            recent: VecDeque::new(),
            recording: None,
            gap: 500..4_000,
            poison: false,
        };
        for entry in entries(shape) {
            let key = ObjectKey::entry(&entry.name);
            fleet.store.set(&key, &serde_json::to_vec(&entry).unwrap());
            for server in &entry.servers {
                let offset = fleet.offset();
                let limits = entry.limits;
                fleet
                    .backends
                    .push(Backend::new(server, limits, offset, fleet.now));
            }
        }
        for domain in &shape.domains {
            for index in 0..shape.hosts_per_domain {
                let offset = fleet.offset();
                fleet.slots.push(Slot {
                    host: None,
                    name: format!("{}-h{index}", domain.replace('/', "-")),
                    domain: (*domain).to_owned(),
                    offset,
                    paused_until: 0,
                    inbox: VecDeque::new(),
                    tick_at: 0,
                });
            }
        }
        for slot in 0..fleet.slots.len() {
            fleet.at(fleet.now, Action::StartHost(slot));
        }
        fleet.at(fleet.now + 10_000, Action::Submit(0));
        fleet
    }

    /// Runs the clockwork for a span.
    pub(crate) fn run(&mut self, span: Duration) {
        let end = self.now + span.as_micros() as u64;
        while let Some(Reverse((at, number))) = self.heap.peek().copied() {
            if at > end {
                break;
            }
            self.heap.pop();
            self.now = self.now.max(at);
            if let Some(action) = self.actions.remove(&number) {
                self.act(action);
            }
        }
        self.now = end;
    }

    /// The time of the clockwork, in microseconds since the Unix epoch.
    pub(crate) fn now(&self) -> u64 {
        self.now
    }

    /// What the first host was told since its first start.
    pub(crate) fn trace(&self) -> &Trace {
        let recording = self.recording.as_ref();
        &recording.expect("the first host was started").1
    }

    /// Answers so far to callers of the hosts of a failure domain.
    pub(crate) fn answers_in(&self, domain: &str) -> u64 {
        let slots = self.slots.iter().enumerate();
        slots
            .filter(|(_, slot)| slot.domain == domain)
            .filter_map(|(slot, _)| self.checks.answers_at.get(&slot))
            .sum()
    }

    /// One line for each host and each server under control.
    pub(crate) fn describe(&self) -> String {
        let mut lines = Vec::new();
        for slot in &self.slots {
            let Some(host) = &slot.host else {
                lines.push(format!("{} is down", slot.name));
                continue;
            };
            lines.push(format!(
                "{} {} valid {}",
                slot.name,
                host.id(),
                host.is_valid()
            ));
            for record in host.view().records() {
                for (id, kept) in &record.hosts {
                    let lost = host.view().is_out(&Subject::Lost(*id));
                    lines.push(format!(
                        "  {id} succeeded by {:?} lost {lost}",
                        kept.successor
                    ));
                }
            }
            for control in host.controls() {
                let name = host.view().servers.name(control.server);
                lines.push(format!(
                    "  {name} {:?} granted {} unsure {} running {} moving {:?}",
                    control.phase,
                    control.granted.len(),
                    control.unsure,
                    control.running.len(),
                    control.moving
                ));
            }
        }
        lines.join("\n")
    }

    fn offset(&mut self) -> i64 {
        self.rng.random_range(-4_500..4_500)
    }

    fn at(&mut self, time: u64, action: Action) {
        self.next += 1;
        self.heap.push(Reverse((time, self.next)));
        self.actions.insert(self.next, action);
    }

    fn clock(&self, offset: i64) -> Time {
        Time::from_micros(self.now.saturating_add_signed(offset))
    }

    fn delay(&mut self) -> u64 {
        if self.jitter && self.rng.random_range(0..200) == 0 {
            self.rng.random_range(20_000..400_000)
        } else {
            self.rng.random_range(150..1_500)
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Host { slot, id, event } => self.tell(slot, id, event),
            Action::Tick { slot, id } => {
                if self.slots[slot].tick_at <= self.now {
                    self.slots[slot].tick_at = 0;
                    self.tell(slot, id, Event::Tick);
                }
            }
            Action::StoreCall {
                slot,
                id,
                call,
                kind,
            } => self.call_store(slot, id, call, kind),
            Action::Register {
                slot,
                id,
                call,
                server,
                grant,
            } => {
                self.call_register(slot, id, call, server, grant);
            }
            Action::Order(sent) => self.order(sent),
            Action::Finish { server, boot, run } => self.finish(server, boot, run),
            Action::Fault(fault) => self.inflict(fault),
            Action::StartHost(slot) => self.start_host(slot),
            Action::StartServer(server) => {
                let boot = self.next;
                self.backends[server].start(boot, self.now);
            }
            Action::StayServer(server) => self.backends[server].draining_since = None,
            Action::Submit(number) => self.submit(number),
        }
    }

    fn start_host(&mut self, slot: usize) {
        self.next_host += 1;
        let id = HostId(self.next_host * 7_919 % 1_000 * 1_000 + self.next_host);
        let port = 5_000 + self.next_host;
        let settings = HostSettings {
            id,
            name: self.slots[slot].name.clone(),
            domain: self.slots[slot].domain.parse().unwrap(),
            address: format!("127.0.0.1:{port}").parse().unwrap(),
            seeds: Vec::new(),
            timing: Timing::default(),
        };
        let clock = self.clock(self.slots[slot].offset);
        let seed = self.rng.random();
        if slot == 0 && self.recording.is_none() {
            let trace = Trace {
                settings: settings.clone(),
                seed,
                started: clock,
                steps: Vec::new(),
                outcomes: Vec::new(),
            };
            self.recording = Some((id, trace));
        }
        self.slots[slot].host = Some(Host::new(settings, seed, clock));
        self.slots[slot].paused_until = 0;
        self.slots[slot].inbox.clear();
        self.ids.insert(id, slot);
        self.tell(slot, id, Event::Tick);
    }

    fn tell(&mut self, slot: usize, id: HostId, event: Event) {
        let place = &mut self.slots[slot];
        let Some(host) = place.host.as_mut().filter(|host| host.id() == id) else {
            return;
        };
        if place.paused_until > self.now {
            place.inbox.push_back(event);
            if place.inbox.len() == 1 {
                let resume = place.paused_until;
                self.at(
                    resume,
                    Action::Host {
                        slot,
                        id,
                        event: Event::Tick,
                    },
                );
            }
            return;
        }
        let mut events: Vec<Event> = place.inbox.drain(..).collect();
        events.push(event);
        let clock = Time::from_micros(self.now.saturating_add_signed(place.offset));
        let mut effects = Vec::new();
        for event in events {
            record(&mut self.recording, id, clock, &event);
            effects.extend(host.handle(clock, event));
        }
        note_outcomes(&mut self.recording, id, &effects);
        let due = host.next_due();
        self.perform(slot, id, effects);
        if let Some(due) = due {
            let offset = self.slots[slot].offset;
            let at = due
                .as_micros()
                .saturating_add_signed(-offset)
                .max(self.now + 1);
            let pending = self.slots[slot].tick_at;
            if pending == 0 || at < pending {
                self.slots[slot].tick_at = at;
                self.at(at, Action::Tick { slot, id });
            }
        }
    }

    fn perform(&mut self, slot: usize, id: HostId, effects: Vec<Effect>) {
        for effect in effects {
            let delay = self.delay();
            let at = self.now + delay;
            match effect {
                Effect::Respond {
                    id: request,
                    outcome,
                } => self.conclude(slot, request, &outcome),
                Effect::Send { to, message, .. } => self.send(slot, id, to, message),
                Effect::Log(record) => {
                    if std::env::var_os("AMARANTHSHUNT_LOG").is_some() {
                        println!("{} host {slot} {id}: {record}", self.now);
                    }
                }
                Effect::Probe { .. } | Effect::Cancel { .. } => {}
                Effect::Store { call, call_kind } => {
                    self.at(
                        at,
                        Action::StoreCall {
                            slot,
                            id,
                            call,
                            kind: call_kind,
                        },
                    );
                }
                Effect::Register {
                    call,
                    address,
                    grant,
                } => {
                    let server = self.backend_at(address);
                    self.at(
                        at,
                        Action::Register {
                            slot,
                            id,
                            call,
                            server,
                            grant,
                        },
                    );
                }
                Effect::Order {
                    exchange,
                    address,
                    boot,
                    order,
                    request,
                    ..
                } => {
                    let server = self.backend_at(address);
                    self.at(
                        at,
                        Action::Order(Sent {
                            slot,
                            id,
                            exchange,
                            server,
                            boot,
                            order,
                            request,
                        }),
                    );
                }
                Effect::Stopped => {
                    self.slots[slot].host = None;
                    let back = self.now + 500_000;
                    self.at(back, Action::StartHost(slot));
                    return;
                }
            }
        }
    }

    fn backend_at(&self, address: std::net::SocketAddr) -> usize {
        self.backends
            .iter()
            .position(|backend| backend.address == address)
            .unwrap()
    }
}

fn record(recording: &mut Option<(HostId, Trace)>, id: HostId, at: Time, event: &Event) {
    if let Some((host, trace)) = recording.as_mut().filter(|(host, _)| *host == id) {
        debug_assert_eq!(*host, id);
        let event = event.clone();
        trace.steps.push(Step { at, event });
    }
}

fn note_outcomes(recording: &mut Option<(HostId, Trace)>, id: HostId, effects: &[Effect]) {
    if let Some((_, trace)) = recording.as_mut().filter(|(host, _)| *host == id) {
        let outcomes = effects.iter().filter_map(|effect| match effect {
            Effect::Respond { outcome, .. } => Some(outcome.clone()),
            _ => None,
        });
        trace.outcomes.extend(outcomes);
    }
}

fn pair(one: usize, other: usize) -> (usize, usize) {
    (one.min(other), one.max(other))
}

fn is_cut<K: Ord>(cuts: &BTreeMap<K, u64>, key: &K, now: u64) -> bool {
    cuts.get(key).is_some_and(|until| *until > now)
}
