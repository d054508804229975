//! Discrete-event simulation of a few hosts with fake backend servers, a fake object store, a
//! network with delays and partitions, and faults drawn from a seed.

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

/// Start of the simulated time, in milliseconds since the Unix epoch.
const START_MILLIS: u64 = 1_700_000_000_000;

/// Size of a simulated fleet.
#[derive(Clone, Debug)]
pub(crate) struct FleetConfig {
    pub domains: Vec<&'static str>,
    pub hosts_per_domain: usize,
    pub servers_per_domain: usize,
    pub shards: u32,
    /// One in this many servers of an entry in a domain checks tokens.
    pub check_interval: usize,
}

impl Default for FleetConfig {
    fn default() -> Self {
        Self {
            domains: vec!["este/e1", "este/e2"],
            hosts_per_domain: 2,
            servers_per_domain: 3,
            shards: 24,
            check_interval: 2,
        }
    }
}

#[derive(Clone, Debug)]
pub(crate) enum Fault {
    KillHost(usize),
    StopHost(usize),
    PauseHost(usize, Duration),
    KillServer(usize, Duration),
    FreezeServer(usize, Duration),
    MakeServerCold(usize),
    /// A server reports that it drains, and stops draining after the duration.
    DrainServer(usize, Duration),
    PartitionHosts(usize, usize, Duration),
    PartitionHostStore(usize, Duration),
    PartitionHostServer(usize, usize, Duration),
    StoreDown(Duration),
    StoreLossy(Duration),
    StoreSlow(Duration),
    OperatorOrder(Subject, bool),
    /// The failure domain of a host is cut off from everything outside it, the store included.
    PartitionDomain(usize, Duration),
    /// A host and a backend server crash at once.
    KillHostAndServer(usize, usize),
}

#[derive(Debug)]
enum Action {
    DeliverEvent {
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
    DeliverOrder(SentOrder),
    FinishRun {
        server: usize,
        boot: u64,
        run: u64,
    },
    Fault(Fault),
    StartHost(usize),
    StartServer(usize),
    StopDraining(usize),
    Submit(usize),
}

/// An order in transit to a backend server.
#[derive(Clone, Debug)]
pub(crate) struct SentOrder {
    slot: usize,
    id: HostId,
    exchange: ExchangeId,
    server: usize,
    boot: u64,
    order: amaranthshunt_core::request::Order,
    request: Request,
}

/// A position in the fleet; after its host ended, a host with a new ID starts there.
struct HostSlot {
    host: Option<Host>,
    name: String,
    domain: String,
    clock_offset: i64,
    paused_until: u64,
    inbox: VecDeque<Event>,
    tick_at: u64,
}

pub(crate) struct Fleet {
    now: u64,
    rng: SmallRng,
    event_queue: BinaryHeap<Reverse<(u64, u64)>>,
    actions: HashMap<u64, Action>,
    next_action: u64,
    slots: Vec<HostSlot>,
    id_slots: HashMap<HostId, usize>,
    store: Store,
    backends: Vec<Backend>,
    host_partitions: BTreeMap<(usize, usize), u64>,
    store_partitions: BTreeMap<usize, u64>,
    server_partitions: BTreeMap<(usize, usize), u64>,
    last_delivery: HashMap<(usize, usize), u64>,
    attempts: HashMap<(usize, u64), Attempt>,
    pub checks: Checks,
    next_request: u64,
    next_host: u64,
    pub load_enabled: bool,
    pub jitter_enabled: bool,
    retryable_requests: VecDeque<Request>,
    recording: Option<(HostId, Trace)>,
    /// The time between two submissions is drawn from this range.
    pub gap_micros: std::ops::Range<u64>,
    pub poison_enabled: bool,
}

#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    slot: usize,
    uid: String,
    entry: String,
    submitted: u64,
    is_retry: bool,
}

pub(crate) fn entries(config: &FleetConfig) -> Vec<Entry> {
    [("catalogue", Class::Read), ("billing", Class::Payment)]
        .into_iter()
        .enumerate()
        .map(|(number, (name, class))| entry(config, number, name, class))
        .collect()
}

fn entry(config: &FleetConfig, number: usize, name: &str, class: Class) -> Entry {
    let mut servers = Vec::new();
    for (domain_index, domain) in config.domains.iter().enumerate() {
        for index in 0..config.servers_per_domain {
            let port = 1000 + number * 100 + domain_index * 10 + index;
            servers.push(Server {
                name: format!("{name}-{domain_index}-{index}"),
                domain: domain.parse().unwrap(),
                address: format!("127.0.0.1:{port}").parse().unwrap(),
                checks_token: index % config.check_interval == 0,
            });
        }
    }
    Entry {
        name: name.to_owned(),
        owner: "owner".to_owned(),
        class,
        regions: vec!["este".to_owned()],
        tenants: BTreeMap::new(),
        shards: config.shards,
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
    pub(crate) fn new(config: &FleetConfig, seed: u64) -> Self {
        let mut fleet = Self {
            now: START_MILLIS * 1_000,
            rng: SmallRng::seed_from_u64(seed),
            event_queue: BinaryHeap::new(),
            actions: HashMap::new(),
            next_action: 0,
            slots: Vec::new(),
            id_slots: HashMap::new(),
            store: Store::default(),
            backends: Vec::new(),
            host_partitions: BTreeMap::new(),
            store_partitions: BTreeMap::new(),
            server_partitions: BTreeMap::new(),
            last_delivery: HashMap::new(),
            attempts: HashMap::new(),
            checks: Checks::default(),
            next_request: 0,
            next_host: 0,
            load_enabled: true,
            jitter_enabled: true,
            retryable_requests: VecDeque::new(),
            recording: None,
            gap_micros: 500..4_000,
            poison_enabled: false,
        };
        for entry in entries(config) {
            let key = ObjectKey::entry(&entry.name);
            fleet.store.set(&key, &serde_json::to_vec(&entry).unwrap());
            for server in &entry.servers {
                let clock_offset = fleet.random_clock_offset();
                let limits = entry.limits;
                fleet
                    .backends
                    .push(Backend::new(server, limits, clock_offset, fleet.now));
            }
        }
        for domain in &config.domains {
            for index in 0..config.hosts_per_domain {
                let clock_offset = fleet.random_clock_offset();
                fleet.slots.push(HostSlot {
                    host: None,
                    name: format!("{}-h{index}", domain.replace('/', "-")),
                    domain: (*domain).to_owned(),
                    clock_offset,
                    paused_until: 0,
                    inbox: VecDeque::new(),
                    tick_at: 0,
                });
            }
        }
        for slot in 0..fleet.slots.len() {
            fleet.schedule(fleet.now, Action::StartHost(slot));
        }
        fleet.schedule(fleet.now + 10_000, Action::Submit(0));
        fleet
    }

    /// Advances the simulation by a duration.
    pub(crate) fn run(&mut self, duration: Duration) {
        let end = self.now + duration.as_micros() as u64;
        while let Some(Reverse((at, number))) = self.event_queue.peek().copied() {
            if at > end {
                break;
            }
            self.event_queue.pop();
            self.now = self.now.max(at);
            if let Some(action) = self.actions.remove(&number) {
                self.execute(action);
            }
        }
        self.now = end;
    }

    /// The simulated time, in microseconds since the Unix epoch.
    pub(crate) fn now(&self) -> u64 {
        self.now
    }

    /// Events and outcomes of the first host from its first start on.
    pub(crate) fn trace(&self) -> &Trace {
        let recording = self.recording.as_ref();
        &recording.expect("the first host has not been started").1
    }

    /// Number of answers so far to callers of the hosts in a failure domain.
    pub(crate) fn answer_count_in(&self, domain: &str) -> u64 {
        let slots = self.slots.iter().enumerate();
        slots
            .filter(|(_, slot)| slot.domain == domain)
            .filter_map(|(slot, _)| self.checks.slot_answers.get(&slot))
            .sum()
    }

    /// Formats the state of each host, with the hosts it knows and the servers it controls.
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
                for (id, host_record) in &record.hosts {
                    let lost = host.view().is_out(&Subject::Lost(*id));
                    lines.push(format!(
                        "  {id} successor {:?} lost {lost}",
                        host_record.successor
                    ));
                }
            }
            for control in host.controlled_servers() {
                let name = host.view().servers.name(control.server);
                lines.push(format!(
                    "  {name} {:?} granted {} needs query {} running {} shard move {:?}",
                    control.phase,
                    control.granted.len(),
                    control.needs_query,
                    control.running.len(),
                    control.shard_move
                ));
            }
        }
        lines.join("\n")
    }

    fn random_clock_offset(&mut self) -> i64 {
        self.rng.random_range(-4_500..4_500)
    }

    fn schedule(&mut self, time: u64, action: Action) {
        self.next_action += 1;
        self.event_queue.push(Reverse((time, self.next_action)));
        self.actions.insert(self.next_action, action);
    }

    fn local_time(&self, clock_offset: i64) -> Time {
        Time::from_micros(self.now.saturating_add_signed(clock_offset))
    }

    fn random_delay(&mut self) -> u64 {
        if self.jitter_enabled && self.rng.random_range(0..200) == 0 {
            self.rng.random_range(20_000..400_000)
        } else {
            self.rng.random_range(150..1_500)
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::DeliverEvent { slot, id, event } => self.deliver_event(slot, id, event),
            Action::Tick { slot, id } => {
                if self.slots[slot].tick_at <= self.now {
                    self.slots[slot].tick_at = 0;
                    self.deliver_event(slot, id, Event::Tick);
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
            Action::DeliverOrder(sent) => self.deliver_order(sent),
            Action::FinishRun { server, boot, run } => self.finish(server, boot, run),
            Action::Fault(fault) => self.inject_fault(fault),
            Action::StartHost(slot) => self.start_host(slot),
            Action::StartServer(server) => {
                let boot = self.next_action;
                self.backends[server].start(boot, self.now);
            }
            Action::StopDraining(server) => self.backends[server].draining_since = None,
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
        let clock = self.local_time(self.slots[slot].clock_offset);
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
        self.id_slots.insert(id, slot);
        self.deliver_event(slot, id, Event::Tick);
    }

    fn deliver_event(&mut self, slot: usize, id: HostId, event: Event) {
        let host_slot = &mut self.slots[slot];
        let Some(host) = host_slot.host.as_mut().filter(|host| host.id() == id) else {
            return;
        };
        if host_slot.paused_until > self.now {
            host_slot.inbox.push_back(event);
            if host_slot.inbox.len() == 1 {
                let resume = host_slot.paused_until;
                self.schedule(
                    resume,
                    Action::DeliverEvent {
                        slot,
                        id,
                        event: Event::Tick,
                    },
                );
            }
            return;
        }
        let mut events: Vec<Event> = host_slot.inbox.drain(..).collect();
        events.push(event);
        let clock = Time::from_micros(self.now.saturating_add_signed(host_slot.clock_offset));
        let mut effects = Vec::new();
        for event in events {
            record_event(&mut self.recording, id, clock, &event);
            effects.extend(host.handle(clock, event));
        }
        record_outcomes(&mut self.recording, id, &effects);
        let due = host.next_due();
        self.apply_effects(slot, id, effects);
        if let Some(due) = due {
            let clock_offset = self.slots[slot].clock_offset;
            let at = due
                .as_micros()
                .saturating_add_signed(-clock_offset)
                .max(self.now + 1);
            let pending = self.slots[slot].tick_at;
            if pending == 0 || at < pending {
                self.slots[slot].tick_at = at;
                self.schedule(at, Action::Tick { slot, id });
            }
        }
    }

    fn apply_effects(&mut self, slot: usize, id: HostId, effects: Vec<Effect>) {
        for effect in effects {
            let delay = self.random_delay();
            let at = self.now + delay;
            match effect {
                Effect::Respond {
                    id: request,
                    outcome,
                } => self.handle_response(slot, request, &outcome),
                Effect::Send { to, message, .. } => self.send(slot, id, to, message),
                Effect::Log(record) => {
                    if std::env::var_os("AMARANTHSHUNT_LOG").is_some() {
                        println!("{} host {slot} {id}: {record}", self.now);
                    }
                }
                Effect::Probe { .. } | Effect::Cancel { .. } => {}
                Effect::Store { call, call_kind } => {
                    self.schedule(
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
                    self.schedule(
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
                    self.schedule(
                        at,
                        Action::DeliverOrder(SentOrder {
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
                    let restart_at = self.now + 500_000;
                    self.schedule(restart_at, Action::StartHost(slot));
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

fn record_event(recording: &mut Option<(HostId, Trace)>, id: HostId, at: Time, event: &Event) {
    if let Some((host, trace)) = recording.as_mut().filter(|(host, _)| *host == id) {
        debug_assert_eq!(*host, id);
        let event = event.clone();
        trace.steps.push(Step { at, event });
    }
}

fn record_outcomes(recording: &mut Option<(HostId, Trace)>, id: HostId, effects: &[Effect]) {
    if let Some((_, trace)) = recording.as_mut().filter(|(host, _)| *host == id) {
        let outcomes = effects.iter().filter_map(|effect| match effect {
            Effect::Respond { outcome, .. } => Some(outcome.clone()),
            _ => None,
        });
        trace.outcomes.extend(outcomes);
    }
}

fn unordered_pair(one: usize, other: usize) -> (usize, usize) {
    (one.min(other), one.max(other))
}

fn is_partitioned<K: Ord>(partitions: &BTreeMap<K, u64>, key: &K, now: u64) -> bool {
    partitions.get(key).is_some_and(|until| *until > now)
}
