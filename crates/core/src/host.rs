//! The state machine of one entry host.
//!
//! The parts share one [`Host`] and live in files of their own: requests of callers in
//! `entrance`, work for backend servers in `service`, their leases in `leases`. Shards that change
//! their owner go through `planning`, `moves`, `guards` and `placements`, or `provisional` while
//! the store is silent. Succession is in `membership`, the store in `storage`, ledger copies in
//! `copying`, control that changes hands in `handover`, requests that crash servers in `suspects`.

mod copying;
mod entrance;
mod guards;
mod handover;
mod leases;
mod membership;
mod moves;
mod placements;
mod planning;
mod provisional;
mod service;
mod storage;
mod suspects;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngCore, SeedableRng};

use crate::budget::RetryBudget;
use crate::control::Control;
use crate::event::{Effect, Event};
use crate::ids::{CallId, Epoch, ExchangeId, HostId, RequestId, ServerKey, ShardKey};
use crate::ledger::Ledger;
use crate::log::{Code, Record};
use crate::message::Message;
use crate::object::ObjectKey;
use crate::quarantine::Quarantine;
use crate::record::RegionRecord;
use crate::settings::{HostSettings, Timing};
use crate::time::Time;
use crate::timer::{Timers, Wake};
use crate::validity::{Validity, Ward};
use crate::view::{Owner, View};

use copying::{Copying, KeptCopy};
use entrance::Caller;
use handover::{Incoming, Offer, Outgoing};
use service::Repeat;
use storage::Storage;
use suspects::LostOrders;

/// Time between two looks for work that waits, while there is some.
const BUSY_HOUSEKEEPING: Duration = Duration::from_millis(10);
/// Time between two looks for work that waits, while there is none.
const IDLE_HOUSEKEEPING: Duration = Duration::from_millis(50);
/// Time between two looks for shards to move.
const BALANCING: Duration = Duration::from_millis(200);
/// Time between two comparisons of configuration revisions.
const GOSSIP: Duration = Duration::from_millis(400);
/// Time without a message of any host after which the seed addresses are tried again.
const ISOLATION: Duration = Duration::from_millis(1_200);
/// Time between two sweeps of expired records.
const SWEEP: Duration = Duration::from_secs(1);
/// Time for which a server whose host declined a hand-over is left out of plans.
const AVOIDANCE: Duration = Duration::from_secs(3);

/// One entry host, without sockets, files or clocks.
#[derive(Debug)]
pub struct Host {
    settings: HostSettings,
    rng: SmallRng,
    now: Time,
    effects: Vec<Effect>,
    timers: Timers,
    view: View,
    validity: Validity,
    was_valid: bool,
    promise_floor: Time,
    wards: BTreeMap<HostId, Ward>,
    failed_successor: Option<HostId>,
    peer_heard: Time,
    unreachable: BTreeSet<HostId>,
    known_successor: Option<HostId>,
    on_record: bool,
    storage: Storage,
    controls: BTreeMap<ServerKey, Control>,
    servers_by_exchange: HashMap<ExchangeId, ServerKey>,
    servers_by_call: HashMap<CallId, ServerKey>,
    touched: BTreeSet<ServerKey>,
    ledger: Ledger,
    copying: Copying,
    kept: BTreeMap<HostId, KeptCopy>,
    incoming: BTreeMap<ShardKey, Incoming>,
    heirs: BTreeMap<ServerKey, (HostId, u64)>,
    outgoing: BTreeMap<ServerKey, Outgoing>,
    callers: HashMap<RequestId, Caller>,
    parked: BTreeSet<RequestId>,
    repeats: HashMap<Repeat, Vec<crate::control::Origin>>,
    lost_orders: BTreeMap<ServerKey, LostOrders>,
    out_since: BTreeMap<ServerKey, Time>,
    avoided: BTreeMap<ServerKey, Time>,
    warm: BTreeMap<ServerKey, u64>,
    quarantine: Quarantine,
    known_peers: BTreeSet<HostId>,
    budget: RetryBudget,
    leaving: bool,
    left: bool,
    next_id: u64,
    house_due: Time,
    balanced: Time,
    swept: Time,
}

impl Host {
    /// Makes a host and starts its timers.
    pub fn new(settings: HostSettings, seed: u64, now: Time) -> Self {
        let mut timers = Timers::default();
        timers.subscribe(now, Wake::Housekeeping);
        timers.subscribe(now, Wake::Heartbeat);
        timers.subscribe(now, Wake::Gossip);
        Self {
            settings,
            rng: SmallRng::seed_from_u64(seed),
            now,
            effects: Vec::new(),
            timers,
            view: View::default(),
            validity: Validity::default(),
            was_valid: false,
            promise_floor: Time::ZERO,
            wards: BTreeMap::new(),
            failed_successor: None,
            peer_heard: now,
            unreachable: BTreeSet::new(),
            known_successor: None,
            on_record: false,
            storage: Storage::default(),
            controls: BTreeMap::new(),
            servers_by_exchange: HashMap::new(),
            servers_by_call: HashMap::new(),
            touched: BTreeSet::new(),
            ledger: Ledger::default(),
            copying: Copying::default(),
            kept: BTreeMap::new(),
            incoming: BTreeMap::new(),
            heirs: BTreeMap::new(),
            outgoing: BTreeMap::new(),
            callers: HashMap::new(),
            parked: BTreeSet::new(),
            repeats: HashMap::new(),
            lost_orders: BTreeMap::new(),
            out_since: BTreeMap::new(),
            avoided: BTreeMap::new(),
            warm: BTreeMap::new(),
            quarantine: Quarantine::default(),
            known_peers: BTreeSet::new(),
            budget: RetryBudget::default(),
            leaving: false,
            left: false,
            next_id: 0,
            house_due: now,
            balanced: now,
            swept: now,
        }
    }

    /// Takes in an event and returns what has to be done.
    ///
    /// `now` must not lie before the `now` of an earlier call.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Effect> {
        self.now = self.now.max(now);
        match event {
            Event::Tick => {}
            Event::Request { id, request } => self.accept(id, request),
            Event::Cancelled { id } => self.forget_caller(id),
            Event::Peer { from, message } => self.take_message(from, message),
            Event::PeerLost { host } => self.lose_peer(host),
            Event::Store { call, result } => self.take_store_result(call, result),
            Event::Register { call, result } => self.take_register_result(call, result),
            Event::Order { exchange, result } => self.take_order_result(exchange, result),
            Event::Stop => self.begin_leaving(),
        }
        self.run_timers();
        std::mem::take(&mut self.effects)
    }

    /// When the host next wants a [`Event::Tick`].
    pub fn next_due(&self) -> Option<Time> {
        self.timers.next_due()
    }

    /// The host's identifier.
    pub fn id(&self) -> HostId {
        self.settings.id
    }

    /// What the host knows of the configuration.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Whether the host may give orders now.
    pub fn is_valid(&self) -> bool {
        self.on_record && self.valid_until() > self.now
    }

    /// Whether the host knows enough to serve requests.
    pub fn is_ready(&self) -> bool {
        !self.leaving && self.view.is_read() && self.is_valid()
    }

    /// Whether an orderly stop has begun.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// The servers under this host's control.
    pub fn controls(&self) -> impl Iterator<Item = &Control> {
        self.controls.values()
    }

    /// How many ledger records the host keeps, copies for others included.
    pub fn ledger_size(&self) -> usize {
        let copies: usize = self.kept.values().map(KeptCopy::len).sum();
        self.ledger.len() + copies
    }

    fn timing(&self) -> Timing {
        self.settings.timing
    }

    fn valid_until(&self) -> Time {
        self.validity.until(self.timing().validity)
    }

    fn region(&self) -> &str {
        self.settings.domain.region()
    }

    fn draw_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    fn log(&mut self, code: Code, subject: impl Into<String>, detail: impl Into<String>) {
        let record = Record::new(code, subject, detail);
        self.effects.push(Effect::Log(record));
    }

    fn send(&mut self, to: HostId, message: Message) {
        let address = self.view.host_address(to);
        self.effects.push(Effect::Send {
            to,
            address,
            message,
        });
    }

    fn own_record(&self) -> Option<&RegionRecord> {
        let region = self.view.regions.find(self.region())?;
        self.view.record(region).map(|kept| &kept.record)
    }

    fn region_key(&self) -> ObjectKey {
        ObjectKey::region(self.region())
    }

    fn successor(&self) -> Option<HostId> {
        let record = self.own_record()?;
        record.hosts.get(&self.settings.id)?.successor
    }

    fn region_peers(&self) -> Vec<HostId> {
        let record = self.own_record();
        record
            .into_iter()
            .flat_map(|record| record.hosts.keys().copied())
            .filter(|host| *host != self.settings.id)
            .collect()
    }

    fn server_name(&self, server: ServerKey) -> String {
        self.view.servers.name(server).to_owned()
    }

    fn run_timers(&mut self) {
        while let Some(wake) = self.timers.pop_due(self.now) {
            match wake {
                Wake::Heartbeat => self.beat(),
                Wake::Gossip => self.gossip(),
                Wake::Renew(server) => self.renew(server),
                Wake::Housekeeping => self.keep_house(),
                Wake::Deadline(id) => self.reach_deadline(id),
                Wake::Queue(server) => self.expire_queue(server),
            }
        }
    }

    fn keep_house(&mut self) {
        if self.now < self.house_due {
            return;
        }
        self.watch_validity();
        self.retry_store_writes();
        self.route_parked();
        self.advance_moves();
        self.advance_handovers();
        self.finish_leaving();
        if self.now.since(self.balanced) >= BALANCING {
            self.balanced = self.now;
            self.note_orders();
            self.create_placements();
            self.plan_moves();
            self.share_control();
        }
        if self.now.since(self.swept) >= SWEEP {
            self.swept = self.now;
            self.sweep();
        }
        self.house_due = self.now + IDLE_HOUSEKEEPING;
        self.timers.subscribe(self.house_due, Wake::Housekeeping);
        if self.has_waiting_work() {
            self.hurry();
        }
    }

    /// Brings the next look for work that waits forward.
    fn hurry(&mut self) {
        let due = self.now + BUSY_HOUSEKEEPING;
        if due < self.house_due {
            self.house_due = due;
            self.timers.subscribe(due, Wake::Housekeeping);
        }
    }

    fn has_waiting_work(&self) -> bool {
        let moving = self
            .controls
            .values()
            .any(|control| control.moving.is_some());
        moving || self.leaving || !self.parked.is_empty() || !self.outgoing.is_empty()
    }

    fn sweep(&mut self) {
        let timing = self.timing();
        self.ledger.expire(self.now, timing.ledger_window);
        for copy in self.kept.values_mut() {
            copy.expire(self.now, timing.ledger_window);
        }
        let heirs: BTreeSet<HostId> = self.heirs.values().map(|(host, _)| *host).collect();
        let view = &self.view;
        self.kept
            .retain(|host, _| view.host(*host).is_some() || heirs.contains(host));
        self.unreachable.retain(|host| view.host(*host).is_some());
        self.quarantine.expire(self.now, timing.quarantine);
        let now = self.now;
        self.avoided.retain(|_, until| *until > now);
        let lapsed = now - timing.drift();
        for control in self.controls.values_mut() {
            control.ghosts.retain(|end| *end > now);
            control.unconfirmed.retain(|(end, _)| *end > lapsed);
        }
    }

    fn watch_validity(&mut self) {
        let valid = self.is_valid();
        if valid == self.was_valid {
            return;
        }
        self.was_valid = valid;
        let code = if valid {
            Code::ValidityRegained
        } else {
            Code::ValidityLost
        };
        let name = self.settings.name.clone();
        self.log(code, name, "");
    }

    fn take_message(&mut self, from: HostId, message: Message) {
        self.peer_heard = self.now;
        self.unreachable.remove(&from);
        match message {
            Message::Heartbeat {
                sent,
                term,
                revision,
            } => self.take_heartbeat(from, sent, term, revision),
            Message::Promise {
                sent,
                term,
                revision,
            } => self.take_promise(from, sent, term, revision),
            Message::Forward { id, request } => self.take_forward(from, id, request),
            Message::Outcome { id, outcome } => self.take_outcome(from, id, outcome),
            Message::Pull { after } => self.answer_pull(from, after),
            Message::Delta { objects, complete } => self.learn(&objects, Some(complete)),
            Message::Copy {
                sequence,
                full,
                ledger,
            } => self.keep_copy(from, sequence, full, ledger),
            Message::CopyKept { sequence } => self.take_copy_kept(from, sequence),
            Message::CopyBroken { sequence } => self.mend_copy(from, sequence),
            Message::Handover {
                id,
                source,
                server,
                control,
                shards,
                ledger,
            } => {
                let offer = Offer {
                    source,
                    control,
                    shards,
                    ledger,
                };
                self.take_handover(from, id, &server, offer);
            }
            Message::HandoverTaken { id, taken } => self.take_handover_answer(from, id, taken),
            Message::Provision {
                id,
                term,
                entry,
                region,
                owners,
            } => {
                if id == 0 || self.is_open_ward_of(from, term) {
                    self.take_provision(from, id, &entry, &region, &owners);
                }
            }
            Message::Provisioned { id } => self.take_provisioned(from, id),
            Message::Suspect { fingerprint, crash } => {
                self.quarantine.crashed(fingerprint, crash, self.now);
            }
        }
    }

    fn lose_peer(&mut self, host: HostId) {
        self.unreachable.insert(host);
        self.reroute_from(host);
    }

    /// The shard of a request's key, for an entry in the catalogue.
    fn shard_of(&mut self, request: &crate::request::Request) -> Option<ShardKey> {
        let key = self.view.entries.find(&request.entry)?;
        let entry = self.view.entries.get(key)?;
        let regions = entry.home_regions(&request.tenant);
        let hash = request.key_hash();
        let region = regions[(hash >> 32) as usize % regions.len()].clone();
        let index = hash as u32 % entry.shards;
        let region = self.view.regions.intern(&region);
        Some(ShardKey {
            entry: key,
            region,
            index,
        })
    }

    fn next_owner(&self, shard: ShardKey, server: ServerKey) -> Owner {
        let epoch = self.view.owner(shard).map_or(Epoch(0), |owner| owner.epoch);
        Owner {
            server,
            epoch: Epoch(epoch.0 + 1),
        }
    }

    fn random(&mut self, bound: usize) -> usize {
        (self.rng.next_u64() % bound.max(1) as u64) as usize
    }
}
