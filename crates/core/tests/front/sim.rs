//! Simulation of hosts, servers and a store under faults, to test granters.
//!
//! Time advances in steps. Orders take time, get lost, lose their replies or are executed late.
//! Hosts pause, crash, and lose the connection to the store, to each other or to servers. Servers
//! crash and restart under the same identifier. After each step, no key may be held by two running
//! servers.

mod backend;
mod faults;
mod hosts;
mod orders;
mod region_cut;

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
use region_cut::RegionCut;

/// Length of a step.
const STEP_MS: u64 = 10;
/// Time without a reply after which the connection of an order is aborted.
const ORDER_TIMEOUT_MS: u64 = 800;
/// Longest time for which an order waits at its host before it is written: earlier orders to the
/// same server and the opening of a connection come first.
const MAX_WRITE_DELAY_MS: u64 = 4_000;
/// Time without contact to the leader after which another host becomes a candidate.
const LEADER_TIMEOUT_MS: u64 = 1_600;
/// Timing of the granters.
pub(crate) const TIMING: GranterTiming = GranterTiming {
    lease: Duration::from_millis(4_000),
    renewal_interval: Duration::from_millis(1_200),
    confirmation_timeout: Duration::from_millis(2_000),
    order_timeout: Duration::from_millis(ORDER_TIMEOUT_MS),
    expiry_margin: Duration::from_millis(300),
    cleanup_delay: Duration::from_millis(3_000),
    storeless_limit: Duration::from_millis(30_000),
};

/// An entry host.
#[derive(Debug)]
struct EntryHost {
    up: bool,
    restart_at: u64,
    frozen_until: u64,
    store_reachable: bool,
    granter: Option<Granter>,
    /// Number of granters that this host has had.
    granters: u64,
    /// The latest era of the store that the granter has learnt of, and when.
    learnt_era: (u64, u64),
    revision: u64,
    leader_seen: u64,
    followed_term: u64,
    candidate_at: u64,
    /// Revision of the record when the host became a candidate.
    candidate_revision: u64,
    /// A record to be written to the store, and the time of the last attempt.
    pending_write: Option<(Placement, u64)>,
    servers: Servers,
}

/// An order whose outcome its host awaits.
#[derive(Clone, Copy, Debug)]
struct PendingCall {
    /// When it was written to the connection, if it has been.
    sent: Option<u64>,
}

#[derive(Clone, Debug)]
enum Delivery {
    /// An order that waits at its host to be written.
    Write {
        host: usize,
        granter: u64,
        call: CallId,
        order: Order,
    },
    Order {
        host: usize,
        granter: u64,
        order: Order,
        /// When it was sent, or when it arrived if it is executed late.
        sent: u64,
        /// Incarnation of the server that received the order, if it executes the order late.
        late: Option<u64>,
    },
    Answer {
        host: usize,
        call: CallId,
        sent: u64,
        reply: OrderReply,
    },
    /// A host reads the entries of the servers.
    Entries { host: usize },
}

/// The simulated deployment.
#[derive(Debug)]
pub(crate) struct Sim {
    rng: SmallRng,
    now: u64,
    sequence: u64,
    queue: BTreeMap<(u64, u64), Delivery>,
    /// Pending calls by host, granter and call number.
    pending_calls: BTreeMap<(usize, u64, u64), PendingCall>,
    entry_hosts: Vec<EntryHost>,
    backends: Vec<Backend>,
    record: Option<(u64, Placement)>,
    /// Era of the store's history.
    era: u64,
    /// The record after each of its changes, and when they were made.
    record_log: Vec<(u64, Option<(u64, Placement)>)>,
    store_up: bool,
    host_partitions: BTreeSet<(usize, usize)>,
    server_partitions: BTreeSet<(usize, usize)>,
    faults_enabled: bool,
    late_execution: bool,
    /// Whether leaders tell the other hosts, earlier leaders among them, that they lead.
    announces: bool,
    /// Whether the store is restored from copies at random times.
    store_restores: bool,
    /// Draws of the cuts between regions, if there are any: own ones, so that the other faults of a
    /// seed stay as they were.
    cut_rng: Option<SmallRng>,
    region_cut: Option<RegionCut>,
    /// The first violation found.
    pub(crate) violation: Option<String>,
}

impl Sim {
    /// Creates a deployment with the given numbers of hosts and servers.
    pub(crate) fn new(seed: u64, hosts: usize, servers: usize) -> Self {
        let rng = SmallRng::seed_from_u64(seed);
        let backend = |index: usize| Backend {
            id: Arc::from(format!("s{index}")),
            up: true,
            incarnation: 1,
            restart_at: 0,
            draining: false,
            leases: Vec::new(),
            accepted: Vec::new(),
        };
        let entry = |_| EntryHost {
            up: true,
            restart_at: 0,
            frozen_until: 0,
            store_reachable: true,
            granter: None,
            granters: 0,
            learnt_era: (0, 0),
            revision: 0,
            leader_seen: 0,
            followed_term: 0,
            candidate_at: 0,
            candidate_revision: 0,
            pending_write: None,
            servers: Servers::default(),
        };
        let mut sim = Self {
            rng,
            now: 1_000,
            sequence: 0,
            queue: BTreeMap::new(),
            pending_calls: BTreeMap::new(),
            entry_hosts: (0..hosts).map(entry).collect(),
            backends: (0..servers).map(backend).collect(),
            record: None,
            era: 1,
            record_log: Vec::new(),
            store_up: true,
            host_partitions: BTreeSet::new(),
            server_partitions: BTreeSet::new(),
            faults_enabled: true,
            late_execution: false,
            announces: seed.is_multiple_of(2),
            store_restores: false,
            cut_rng: None,
            region_cut: None,
            violation: None,
        };
        sim.late_execution = sim.rng.random_bool(0.5);
        for host in 0..hosts {
            sim.read_entries(host);
        }
        sim
    }

    /// Lets the store be restored from copies at random times.
    pub(crate) fn with_store_restores(mut self) -> Self {
        self.store_restores = true;
        self
    }

    /// Lets regions lose each other at random times, mostly for longer than all leases last.
    pub(crate) fn with_region_cuts(mut self, seed: u64) -> Self {
        self.cut_rng = Some(SmallRng::seed_from_u64(!seed));
        self
    }

    /// Runs with faults for the given time, in milliseconds, or until a violation is found.
    pub(crate) fn run(&mut self, millis: u64) {
        self.run_for(millis);
    }

    /// Ends all faults and continues for the given time, in milliseconds.
    pub(crate) fn heal(&mut self, millis: u64) {
        self.faults_enabled = false;
        self.late_execution = false;
        self.store_up = true;
        self.host_partitions.clear();
        self.server_partitions.clear();
        self.region_cut = None;
        for entry in &mut self.entry_hosts {
            entry.store_reachable = true;
        }
        let now = self.now;
        for backend in self.backends.iter_mut().filter(|backend| backend.draining) {
            backend.stop(now);
            backend.start();
        }
        self.schedule_entry_reads();
        self.run_for(millis);
    }

    /// Number of keys for which the server in the leader's table holds no lease.
    pub(crate) fn unserved(&self) -> u32 {
        let granters = self
            .entry_hosts
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
                    let has_lease = |key: u16| {
                        backend.leases.iter().any(|lease| {
                            lease.from <= key && key <= lease.to && lease.until > self.now
                        })
                    };
                    backend.up && has_lease(span.from) && has_lease(span.to)
                })
            });
            if !held {
                missing += u32::from(span.to) - u32::from(span.from) + 1;
            }
        }
        missing
    }

    fn run_for(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end && self.violation.is_none() {
            self.now += STEP_MS;
            if self.faults_enabled {
                self.inject_fault();
                self.change_region_cut();
            }
            self.restart_due_processes();
            self.deliver();
            for host in 0..self.entry_hosts.len() {
                self.run_host(host);
            }
            self.check_leases();
        }
    }

    /// Replaces the record in the store.
    fn set_record(&mut self, record: Option<(u64, Placement)>) {
        self.record = record.clone();
        self.record_log.push((self.now, record));
    }

    /// Whether a message is dropped now.
    fn is_dropped(&mut self, probability: f64) -> bool {
        self.faults_enabled && self.rng.random_bool(probability)
    }

    fn time(&self) -> Time {
        Time::from_millis(self.now)
    }

    fn push(&mut self, after: u64, delivery: Delivery) {
        self.trace("queued", &delivery);
        self.sequence += 1;
        self.queue
            .insert((self.now + after, self.sequence), delivery);
    }

    /// Prints the events that concern the key in `GRANT_KEY`, to analyse a seed.
    fn trace(&self, event: &str, delivery: &Delivery) {
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
            println!("{} {event} {delivery:?}", self.now);
        }
    }

    fn is_frozen(&self, host: usize) -> bool {
        let entry = &self.entry_hosts[host];
        !entry.up || entry.frozen_until > self.now
    }

    fn deliver(&mut self) {
        while let Some(((at, number), delivery)) = self.queue.pop_first() {
            if at > self.now {
                self.queue.insert((at, number), delivery);
                break;
            }
            match delivery {
                Delivery::Entries { host } if !self.is_frozen(host) && self.reaches_store(host) => {
                    self.read_entries(host);
                }
                Delivery::Entries { host } => self.push(200, Delivery::Entries { host }),
                Delivery::Write {
                    host,
                    granter,
                    call,
                    order,
                } => self.write_order(host, granter, call, order),
                Delivery::Order {
                    host,
                    granter,
                    order,
                    sent,
                    late,
                } => self.deliver_order((host, granter), order, sent, late),
                Delivery::Answer {
                    host,
                    call,
                    sent,
                    reply,
                } => self.deliver_reply(host, call, sent, reply),
            }
        }
        let overdue: Vec<((usize, u64, u64), u64)> = self
            .pending_calls
            .iter()
            .filter_map(|(key, call)| Some((*key, call.sent?)))
            .filter(|((host, _, _), sent)| {
                self.now >= sent + ORDER_TIMEOUT_MS && !self.is_frozen(*host)
            })
            .collect();
        for ((host, number, call), sent) in overdue {
            self.pending_calls.remove(&(host, number, call));
            let now = self.time();
            let entry = &mut self.entry_hosts[host];
            if let Some(granter) = entry.granter.as_mut().filter(|_| entry.granters == number) {
                granter.handle_reply(
                    now,
                    CallId(call),
                    Time::from_millis(sent),
                    OrderReply::Unknown,
                );
            }
        }
    }

    /// Checks that no key is held by two servers.
    fn check_leases(&mut self) {
        for backend in &mut self.backends {
            backend.leases.retain(|lease| lease.until > self.now);
        }
        for (index, one) in self.backends.iter().enumerate() {
            for other in &self.backends[index + 1..] {
                for a in &one.leases {
                    let overlap = other
                        .leases
                        .iter()
                        .find(|b| a.from <= b.to && b.from <= a.to);
                    if let Some(b) = overlap {
                        self.violation = Some(format!(
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
