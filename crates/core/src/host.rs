//! The state machine of one entry host.
//!
//! The owner of a shard is a backend server; the controller of a server is the host that grants it
//! leases and sends it orders. Each host has a successor, the only host that may take over from it,
//! and is valid while the store or the successor has confirmed recently that none has.
//!
//! The submodules implement parts of one [`Host`]: requests from callers in `caller_requests`,
//! dispatch to backend servers in `dispatch`, control of servers and their leases in `leases`.
//! Shard moves are planned in `rebalancing` and carried out by `moves`, `move_commit` and
//! `placements`, or by `provisional` while the store is unavailable. Succession and takeover are
//! in `membership`, object store calls in `store`, ledger replication in `replication`, transfer
//! of control in `handover`, and requests that crash servers in `crashes`.

mod caller_requests;
mod crashes;
mod dispatch;
mod handover;
mod leases;
mod membership;
mod move_commit;
mod moves;
mod placements;
mod provisional;
mod rebalancing;
mod replication;
mod store;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngCore, SeedableRng};

use crate::budget::RetryBudget;
use crate::control::ControlledServer;
use crate::event::{Effect, Event};
use crate::ids::{CallId, Epoch, ExchangeId, HostId, RequestId, ServerKey, ShardKey};
use crate::ledger::Ledger;
use crate::log::{EventCode, LogRecord};
use crate::message::Message;
use crate::object::ObjectKey;
use crate::quarantine::{Crash, Quarantine, QuarantinePolicy};
use crate::record::RegionRecord;
use crate::settings::{HostSettings, Timing};
use crate::time::Time;
use crate::timer::{TimerKind, Timers};
use crate::validity::{Predecessor, Validity};
use crate::view::{Owner, View};

use caller_requests::CallerRequest;
use crashes::LostRequests;
use dispatch::RecordKey;
use handover::{IncomingShard, Offer, OutgoingHandover};
use replication::{LedgerReplica, Replication};
use store::StoreCalls;

/// Interval between housekeeping runs while work is pending.
const BUSY_HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(10);
/// Interval between housekeeping runs while no work is pending.
const IDLE_HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between checks for shards or control to move.
const REBALANCE_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between comparisons of configuration revisions with other hosts.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(400);
/// Time without a message from any host after which the seed addresses are tried again.
const ISOLATION_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Interval between removals of expired records.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which plans skip a server after a handover for it was rejected or aborted.
const HANDOVER_BACKOFF: Duration = Duration::from_secs(3);

/// The state of one entry host; it uses no sockets, files or clocks.
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
    /// Promises for heartbeats sent earlier are ignored.
    promise_floor: Time,
    /// The hosts that named this one as their successor.
    predecessors: BTreeMap<HostId, Predecessor>,
    /// The successor before the current one; the next choice avoids it if possible.
    previous_successor: Option<HostId>,
    last_message: Time,
    unreachable_peers: BTreeSet<HostId>,
    /// The successor when the region's record was last checked.
    known_successor: Option<HostId>,
    is_member: bool,
    store: StoreCalls,
    controlled_servers: BTreeMap<ServerKey, ControlledServer>,
    servers_by_exchange: HashMap<ExchangeId, ServerKey>,
    servers_by_call: HashMap<CallId, ServerKey>,
    /// Servers whose placement needs no further increment of its takeover counter.
    counted_takeovers: BTreeSet<ServerKey>,
    ledger: Ledger,
    replication: Replication,
    replicas: BTreeMap<HostId, LedgerReplica>,
    incoming_shards: BTreeMap<ShardKey, IncomingShard>,
    /// The hosts that servers were taken over from, with the terms of their records.
    previous_controllers: BTreeMap<ServerKey, (HostId, u64)>,
    outgoing_handovers: BTreeMap<ServerKey, OutgoingHandover>,
    caller_requests: HashMap<RequestId, CallerRequest>,
    /// Callers' requests that no host can serve yet.
    parked: BTreeSet<RequestId>,
    /// Duplicates that wait for the outcome of a running request.
    duplicate_waiters: HashMap<RecordKey, Vec<crate::control::Origin>>,
    lost_requests: BTreeMap<ServerKey, LostRequests>,
    unusable_since: BTreeMap<ServerKey, Time>,
    backoff_until: BTreeMap<ServerKey, Time>,
    /// The newest boot of each server that is known to have warmed up.
    warm_boots: BTreeMap<ServerKey, u64>,
    quarantine: Quarantine,
    /// The hosts of the region that were sent the known crashes.
    known_peers: BTreeSet<HostId>,
    retry_budget: RetryBudget,
    leaving: bool,
    left: bool,
    next_id: u64,
    next_housekeeping: Time,
    last_rebalance: Time,
    last_sweep: Time,
}

impl Host {
    /// Creates a host and schedules its first timers.
    pub fn new(settings: HostSettings, seed: u64, now: Time) -> Self {
        let mut timers = Timers::default();
        timers.subscribe(now, TimerKind::Housekeeping);
        timers.subscribe(now, TimerKind::Heartbeat);
        timers.subscribe(now, TimerKind::Gossip);
        let quarantine = QuarantinePolicy {
            crash_limit: 2,
            gap: Duration::ZERO,
            span: settings.timing.quarantine,
        };
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
            predecessors: BTreeMap::new(),
            previous_successor: None,
            last_message: now,
            unreachable_peers: BTreeSet::new(),
            known_successor: None,
            is_member: false,
            store: StoreCalls::default(),
            controlled_servers: BTreeMap::new(),
            servers_by_exchange: HashMap::new(),
            servers_by_call: HashMap::new(),
            counted_takeovers: BTreeSet::new(),
            ledger: Ledger::default(),
            replication: Replication::default(),
            replicas: BTreeMap::new(),
            incoming_shards: BTreeMap::new(),
            previous_controllers: BTreeMap::new(),
            outgoing_handovers: BTreeMap::new(),
            caller_requests: HashMap::new(),
            parked: BTreeSet::new(),
            duplicate_waiters: HashMap::new(),
            lost_requests: BTreeMap::new(),
            unusable_since: BTreeMap::new(),
            backoff_until: BTreeMap::new(),
            warm_boots: BTreeMap::new(),
            quarantine: Quarantine::new(quarantine),
            known_peers: BTreeSet::new(),
            retry_budget: RetryBudget::default(),
            leaving: false,
            left: false,
            next_id: 0,
            next_housekeeping: now,
            last_rebalance: now,
            last_sweep: now,
        }
    }

    /// Handles an event and returns the effects to carry out.
    ///
    /// `now` must not be earlier than in a previous call.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Effect> {
        self.now = self.now.max(now);
        match event {
            Event::Tick => {}
            Event::Request { id, request } => self.accept_request(id, request),
            Event::Cancelled { id } => self.cancel_request(id),
            Event::Peer { from, message } => self.handle_message(from, message),
            Event::PeerLost { host } => self.handle_peer_loss(host),
            Event::Store { call, result } => self.handle_store_result(call, result),
            Event::Register { call, result } => self.handle_register_result(call, result),
            Event::Order { exchange, result } => self.handle_order_result(exchange, result),
            Event::Stop => self.begin_leaving(),
        }
        self.run_timers();
        std::mem::take(&mut self.effects)
    }

    /// When the host next needs an [`Event::Tick`].
    pub fn next_due(&self) -> Option<Time> {
        self.timers.next_due()
    }

    /// The ID of this host process; a restarted host gets a new one.
    pub fn id(&self) -> HostId {
        self.settings.id
    }

    /// The host's copy of the configuration.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Whether the host may dispatch requests to backend servers now.
    pub fn is_valid(&self) -> bool {
        self.is_member && self.valid_until() > self.now
    }

    /// Whether the host can serve requests: the configuration is read, it is valid and not leaving.
    pub fn is_ready(&self) -> bool {
        !self.leaving && self.view.is_loaded() && self.is_valid()
    }

    /// Whether a graceful shutdown has begun.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// The backend servers under this host's control.
    pub fn controlled_servers(&self) -> impl Iterator<Item = &ControlledServer> {
        self.controlled_servers.values()
    }

    /// The number of ledger records that the host holds, replicas for other hosts included.
    pub fn ledger_record_count(&self) -> usize {
        let replicated: usize = self.replicas.values().map(LedgerReplica::len).sum();
        self.ledger.len() + replicated
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

    fn allocate_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    fn log(&mut self, code: EventCode, subject: impl Into<String>, detail: impl Into<String>) {
        let record = LogRecord::new(code, subject, detail);
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

    fn region_record(&self) -> Option<&RegionRecord> {
        let region = self.view.regions.find(self.region())?;
        self.view.record(region).map(|versioned| &versioned.record)
    }

    fn region_key(&self) -> ObjectKey {
        ObjectKey::region(self.region())
    }

    fn successor(&self) -> Option<HostId> {
        let record = self.region_record()?;
        record.hosts.get(&self.settings.id)?.successor
    }

    fn region_peers(&self) -> Vec<HostId> {
        let record = self.region_record();
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
        while let Some(kind) = self.timers.pop_due(self.now) {
            match kind {
                TimerKind::Heartbeat => self.run_heartbeat(),
                TimerKind::Gossip => self.run_gossip(),
                TimerKind::Renew(server) => self.renew_lease(server),
                TimerKind::Housekeeping => self.run_housekeeping(),
                TimerKind::Deadline(id) => self.handle_deadline(id),
                TimerKind::Queue(server) => self.expire_queue(server),
            }
        }
    }

    fn run_housekeeping(&mut self) {
        if self.now < self.next_housekeeping {
            return;
        }
        self.log_validity_change();
        self.retry_store_writes();
        self.route_parked();
        self.advance_moves();
        self.advance_handovers();
        self.finish_leaving();
        if self.now.since(self.last_rebalance) >= REBALANCE_INTERVAL {
            self.last_rebalance = self.now;
            self.track_unusable_servers();
            self.create_placements();
            self.plan_moves();
            self.start_control_handovers();
        }
        if self.now.since(self.last_sweep) >= SWEEP_INTERVAL {
            self.last_sweep = self.now;
            self.sweep();
        }
        self.next_housekeeping = self.now + IDLE_HOUSEKEEPING_INTERVAL;
        self.timers
            .subscribe(self.next_housekeeping, TimerKind::Housekeeping);
        if self.has_pending_work() {
            self.expedite_housekeeping();
        }
    }

    /// Brings the next housekeeping run forward to the busy interval.
    fn expedite_housekeeping(&mut self) {
        let due = self.now + BUSY_HOUSEKEEPING_INTERVAL;
        if due < self.next_housekeeping {
            self.next_housekeeping = due;
            self.timers.subscribe(due, TimerKind::Housekeeping);
        }
    }

    fn has_pending_work(&self) -> bool {
        let moving = self
            .controlled_servers
            .values()
            .any(|control| control.shard_move.is_some());
        moving || self.leaving || !self.parked.is_empty() || !self.outgoing_handovers.is_empty()
    }

    fn sweep(&mut self) {
        let timing = self.timing();
        self.ledger.expire(self.now, timing.ledger_window);
        for replica in self.replicas.values_mut() {
            replica.expire(self.now, timing.ledger_window);
        }
        let previous: BTreeSet<HostId> = self
            .previous_controllers
            .values()
            .map(|(host, _)| *host)
            .collect();
        let view = &self.view;
        self.replicas
            .retain(|host, _| view.host(*host).is_some() || previous.contains(host));
        self.unreachable_peers
            .retain(|host| view.host(*host).is_some());
        self.quarantine.expire(self.now);
        let now = self.now;
        self.backoff_until.retain(|_, until| *until > now);
        let cutoff = now - timing.clock_margin();
        for control in self.controlled_servers.values_mut() {
            control.orphaned_until.retain(|end| *end > now);
            control.unconfirmed.retain(|(end, _)| *end > cutoff);
        }
    }

    fn log_validity_change(&mut self) {
        let valid = self.is_valid();
        if valid == self.was_valid {
            return;
        }
        self.was_valid = valid;
        let code = if valid {
            EventCode::ValidityRegained
        } else {
            EventCode::ValidityLost
        };
        let name = self.settings.name.clone();
        self.log(code, name, "");
    }

    fn handle_message(&mut self, from: HostId, message: Message) {
        self.last_message = self.now;
        self.unreachable_peers.remove(&from);
        match message {
            Message::Heartbeat {
                sent,
                term,
                revision,
            } => self.handle_heartbeat(from, sent, term, revision),
            Message::Promise {
                sent,
                term,
                revision,
            } => self.handle_promise(from, sent, term, revision),
            Message::Forward { id, request } => self.handle_forward(from, id, request),
            Message::Outcome { id, outcome } => self.handle_outcome(from, id, outcome),
            Message::Pull { after } => self.answer_pull(from, after),
            Message::Delta { objects, complete } => self.apply_objects(&objects, Some(complete)),
            Message::Copy {
                sequence,
                full,
                ledger,
            } => self.handle_copy(from, sequence, full, ledger),
            Message::CopyKept { sequence } => self.handle_copy_kept(from, sequence),
            Message::CopyBroken { sequence } => self.handle_copy_broken(from, sequence),
            Message::Handover {
                id,
                source,
                server,
                control,
                shards,
                ledger,
            } => {
                let offer = Offer {
                    source_token: source,
                    control_token: control,
                    shards,
                    ledger,
                };
                self.handle_handover(from, id, &server, offer);
            }
            Message::HandoverTaken { id, taken } => self.handle_handover_reply(from, id, taken),
            Message::Provision {
                id,
                term,
                entry,
                region,
                owners,
            } => {
                // An ID of zero marks an announcement, which is not acknowledged.
                if id == 0 || self.is_watched_predecessor_in_term(from, term) {
                    self.handle_provision(from, id, &entry, &region, &owners);
                }
            }
            Message::Provisioned { id } => self.handle_provisioned(from, id),
            Message::Suspect { fingerprint, crash } => {
                let crash = Crash::at(crash, self.now);
                self.quarantine.record_crash(fingerprint, crash, self.now);
            }
        }
    }

    fn handle_peer_loss(&mut self, host: HostId) {
        self.unreachable_peers.insert(host);
        self.reroute_from_host(host);
    }

    /// The shard of a request's key; `None` if the catalogue has no such entry.
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

    fn random_index(&mut self, bound: usize) -> usize {
        (self.rng.next_u64() % bound.max(1) as u64) as usize
    }
}
