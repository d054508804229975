//! Costs of the parts of a single host, measured without sockets.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use amaranthshunt_core::catalogue::{Class, Entry, Limits, Server};
use amaranthshunt_core::event::{Grant, RegisterResult, RegisterState};
use amaranthshunt_core::ids::{
    EntryKey, Epoch, FenceToken, IdempotencyKey, RegionKey, Revision, ShardKey,
};
use amaranthshunt_core::ledger::{Ledger, Record, RecordState, Tenure};
use amaranthshunt_core::message::{LedgerBatch, LedgerRecord};
use amaranthshunt_core::object::{Object, ObjectKey};
use amaranthshunt_core::record::{
    Assignment, ControlRecord, HostRecord, PlacementRecord, RegionRecord,
};
use amaranthshunt_core::request::OrderResult;
use amaranthshunt_core::{
    Answer, Effect, Event, Host, HostId, HostSettings, Message, Outcome, Request, RequestId, Time,
    Timing,
};
use amaranthshunt_wire::{Frame, FrameCodec};
use bytes::{Bytes, BytesMut};
use tokio_util::codec::Encoder;

use super::fit::Line;

/// The host that is measured.
const OWN_HOST: HostId = HostId(1);
/// Its successor, which controls the servers that the measured host does not.
const OTHER_HOST: HostId = HostId(2);

fn start_time() -> Time {
    Time::from_millis(1_700_000_000_000)
}

fn encoded_length(message: Message) -> f64 {
    let mut bytes = BytesMut::new();
    let encoded = FrameCodec::default().encode(Frame::Message(message), &mut bytes);
    encoded.map_or(0.0, |()| bytes.len() as f64)
}

fn build_entry(servers: usize, shards: u32) -> Entry {
    let servers = (0..servers).map(|index| Server {
        name: format!("catalogue-server-{index:05}"),
        domain: "este/e1".parse().unwrap_or_else(|error| panic!("{error}")),
        address: ([127, 0, 0, 1], 10_000 + index as u16).into(),
        checks_token: true,
    });
    Entry {
        name: "catalogue".to_owned(),
        owner: "owner".to_owned(),
        class: Class::Read,
        regions: vec!["este".to_owned()],
        tenants: BTreeMap::new(),
        shards,
        limits: Limits {
            slots: 1_000,
            cold_slots: 1_000,
            warm_up: 1,
            connections: 1_000,
            queue: 1_000,
            body: 65_536,
        },
        servers: servers.collect(),
    }
}

fn region_record(entry: &Entry, hosts: u64, controller: impl Fn(usize) -> HostId) -> RegionRecord {
    let hosts = (1..=hosts).map(|id| {
        let record = HostRecord {
            name: format!("este-e1-host-{id:05}"),
            domain: "este/e1".parse().unwrap_or_else(|error| panic!("{error}")),
            address: ([127, 0, 0, 1], 20_000 + id as u16).into(),
            successor: Some(HostId(id % hosts + 1)),
            term: 1_700_000_000_000_000 + id,
        };
        (HostId(id), record)
    });
    let control = entry.servers.iter().enumerate().map(|(index, server)| {
        let record = ControlRecord {
            host: controller(index),
            token: FenceToken(1),
            released: true,
        };
        (server.name.clone(), record)
    });
    RegionRecord {
        hosts: hosts.collect(),
        control: control.collect(),
    }
}

fn build_placement(entry: &Entry) -> PlacementRecord {
    let owner = |index: u32| &entry.servers[index as usize % entry.servers.len()];
    PlacementRecord {
        shards: (0..entry.shards)
            .map(|index| Assignment {
                server: owner(index).name.clone(),
                epoch: Epoch(1),
            })
            .collect(),
        takeover_count: 0,
    }
}

fn encode_object(key: ObjectKey, revision: u64, value: &impl serde::Serialize) -> Object {
    Object {
        key,
        revision: Revision(revision),
        value: serde_json::to_vec(value).ok().map(Bytes::from),
    }
}

fn initial_objects(entry: &Entry, controller: impl Fn(usize) -> HostId) -> Vec<Object> {
    let region = region_record(entry, 2, controller);
    vec![
        encode_object(ObjectKey::entry(&entry.name), 1, entry),
        encode_object(ObjectKey::region("este"), 2, &region),
        encode_object(
            ObjectKey::placement(&entry.name, "este"),
            3,
            &build_placement(entry),
        ),
    ]
}

/// A valid host with one entry, whose outgoing messages and calls are answered in place.
struct Bench {
    host: Host,
    now: Time,
    orders: u64,
}

impl Bench {
    fn new(entry: &Entry, controller: impl Fn(usize) -> HostId) -> Self {
        let settings = HostSettings {
            id: OWN_HOST,
            name: "este-e1-host-00001".to_owned(),
            domain: "este/e1".parse().unwrap_or_else(|error| panic!("{error}")),
            address: ([127, 0, 0, 1], 20_001).into(),
            seeds: Vec::new(),
            timing: Timing::default(),
        };
        let mut bench = Self {
            host: Host::new(settings, 1, start_time()),
            now: start_time(),
            orders: 0,
        };
        let message = Message::Delta {
            objects: initial_objects(entry, controller),
            complete: Revision(3),
        };
        bench.deliver(Event::Peer {
            from: OTHER_HOST,
            message,
        });
        bench.run_until_granted();
        bench
    }

    /// Advances the time by 800 ms, which is enough for every server to be granted its shards.
    fn run_until_granted(&mut self) {
        for _ in 0..80 {
            self.now = self.now + Duration::from_millis(10);
            self.deliver(Event::Tick);
        }
    }

    fn deliver(&mut self, event: Event) {
        let mut pending = self.host.handle(self.now, event);
        while let Some(effect) = pending.pop() {
            if let Some(event) = self.reply_to(effect) {
                pending.extend(self.host.handle(self.now, event));
            }
        }
    }

    fn reply_to(&mut self, effect: Effect) -> Option<Event> {
        match effect {
            Effect::Send {
                message: Message::Heartbeat { sent, term, .. },
                ..
            } => Some(Event::Peer {
                from: OTHER_HOST,
                message: Message::Promise {
                    sent,
                    term,
                    revision: Revision(3),
                },
            }),
            Effect::Send {
                message: Message::Forward { id, .. },
                ..
            } => Some(Event::Peer {
                from: OTHER_HOST,
                message: Message::Outcome {
                    id,
                    outcome: Some(Outcome::Answer(ok_answer())),
                },
            }),
            Effect::Register { call, grant, .. } => {
                let (token, sequence) =
                    grant.map_or((FenceToken(1), 0), |grant| (grant.token, grant.sequence));
                let state = RegisterState {
                    boot: 1,
                    token,
                    sequence,
                    running: 0,
                    draining: None,
                };
                Some(Event::Register {
                    call,
                    result: RegisterResult::State(state),
                })
            }
            Effect::Store { call, call_kind } => Some(Event::Store {
                call,
                result: store_result(&call_kind),
            }),
            Effect::Order { exchange, .. } => {
                self.orders += 1;
                Some(Event::Order {
                    exchange,
                    result: OrderResult::Answer(ok_answer()),
                })
            }
            _ => None,
        }
    }
}

fn store_result(
    call: &amaranthshunt_core::event::StoreCall,
) -> amaranthshunt_core::event::StoreResult {
    use amaranthshunt_core::event::{StoreCall, StoreResult};
    match call {
        StoreCall::Put { .. } => StoreResult::Written(Revision(1_000)),
        _ => StoreResult::Failed,
    }
}

fn ok_answer() -> Answer {
    Answer {
        status: 200,
        body: Bytes::from_static(b"a body of some forty bytes, no more ..."),
    }
}

fn build_request(number: u64, now: Time) -> Request {
    Request {
        entry: "catalogue".to_owned(),
        tenant: String::new(),
        key: format!("key-{number}"),
        idempotency_key: None,
        is_retry: false,
        deadline: now + Duration::from_secs(10),
        body: Bytes::from_static(b"a body of some forty bytes, no more ..."),
    }
}

fn elapsed_micros(started: Instant) -> f64 {
    started.elapsed().as_secs_f64() * 1e6
}

/// Bytes of heartbeats with their promises, by number of heartbeats.
pub(crate) fn heartbeat_bytes() -> Line {
    let points = [1.0, 10.0, 100.0].map(|count: f64| {
        let frame_bytes = encoded_length(Message::Heartbeat {
            sent: start_time(),
            term: start_time().as_micros(),
            revision: Revision(10_000_000),
        });
        (count, count * 2.0 * frame_bytes)
    });
    Line::fit("heartbeat and promise", "bytes each", points.to_vec())
}

/// CPU time to handle heartbeats.
pub(crate) fn heartbeat_time() -> Line {
    let points = [10_000.0, 20_000.0, 40_000.0].map(|count: f64| {
        let mut bench = Bench::new(&build_entry(1, 8), |_| OTHER_HOST);
        let started = Instant::now();
        for _ in 0..count as u64 {
            let message = Message::Heartbeat {
                sent: bench.now,
                term: 1,
                revision: Revision(3),
            };
            bench.host.handle(
                bench.now,
                Event::Peer {
                    from: OTHER_HOST,
                    message,
                },
            );
        }
        (count, elapsed_micros(started))
    });
    Line::fit("heartbeat taken", "us each", points.to_vec())
}

fn build_grant(shards: u32) -> Grant {
    Grant {
        token: FenceToken(7),
        sequence: 1_000,
        expires: start_time(),
        shards: (0..shards).map(|index| (index, Epoch(3))).collect(),
    }
}

/// Bytes of a grant's body, by number of shards.
pub(crate) fn grant_bytes() -> Line {
    let points = [8, 64, 256, 1_024].map(|shards| {
        let length = serde_json::to_vec(&build_grant(shards)).map_or(0, |body| body.len());
        (f64::from(shards), length as f64)
    });
    Line::fit("grant body", "bytes a shard", points.to_vec())
}

/// CPU time to renew servers' leases for one second, by number of servers with 64 shards each.
pub(crate) fn grant_time() -> Line {
    let points = [4.0, 16.0, 64.0].map(|servers: f64| {
        let entry = build_entry(servers as usize, servers as u32 * 64);
        let mut bench = Bench::new(&entry, |_| OWN_HOST);
        let started = Instant::now();
        for _ in 0..100 {
            bench.now = bench.now + Duration::from_millis(10);
            bench.deliver(Event::Tick);
        }
        (servers, elapsed_micros(started))
    });
    Line::fit("server controlled for 1 s", "us a server", points.to_vec())
}

/// Bytes to send a catalogue change to one host, by number of servers of the entry.
pub(crate) fn change_bytes() -> Line {
    let points = [4, 16, 64, 256].map(|servers| {
        let entry = build_entry(servers, 64);
        let length = encoded_length(Message::Delta {
            objects: vec![encode_object(ObjectKey::entry(&entry.name), 9, &entry)],
            complete: Revision(9),
        });
        (servers as f64, length)
    });
    Line::fit(
        "entry change, one hop",
        "bytes a server of the entry",
        points.to_vec(),
    )
}

/// CPU time to apply a catalogue change, by number of servers of the entry.
pub(crate) fn change_time() -> Line {
    let points = [4, 16, 64, 256].map(|servers| {
        let entry = build_entry(servers, 64);
        let mut bench = Bench::new(&entry, |_| OTHER_HOST);
        let started = Instant::now();
        for revision in 10..60 {
            let message = Message::Delta {
                objects: vec![encode_object(
                    ObjectKey::entry(&entry.name),
                    revision,
                    &entry,
                )],
                complete: Revision(revision),
            };
            bench.host.handle(
                bench.now,
                Event::Peer {
                    from: OTHER_HOST,
                    message,
                },
            );
        }
        (servers as f64, elapsed_micros(started) / 50.0)
    });
    Line::fit(
        "entry change taken",
        "us a server of the entry",
        points.to_vec(),
    )
}

/// Bytes of a region's record, by number of hosts with four servers each.
pub(crate) fn region_record_bytes() -> Line {
    let points = [4_u64, 40, 400].map(|hosts| {
        let entry = build_entry(hosts as usize * 4, 64);
        let record = region_record(&entry, hosts, |index| HostId(index as u64 % hosts + 1));
        let length = serde_json::to_vec(&record).map_or(0, |body| body.len());
        (hosts as f64, length as f64)
    });
    Line::fit(
        "region record",
        "bytes a host with 4 servers",
        points.to_vec(),
    )
}

/// Bytes of a placement, by number of shards.
pub(crate) fn placement_bytes() -> Line {
    let points = [64, 1_024, 16_384].map(|shards| {
        let record = build_placement(&build_entry(16, shards));
        let length = serde_json::to_vec(&record).map_or(0, |body| body.len());
        (f64::from(shards), length as f64)
    });
    Line::fit("placement", "bytes a shard", points.to_vec())
}

/// Bytes to send ledger records to the successor, by number of records.
pub(crate) fn copy_bytes() -> Line {
    let points = [1_u32, 16, 256].map(|count| {
        let records = (0..count).map(|number| LedgerRecord {
            entry: "confirmation".to_owned(),
            region: "este".to_owned(),
            index: number,
            key: IdempotencyKey(uuid::Uuid::from_u128(u128::MAX - u128::from(number))),
            fingerprint: u64::MAX,
            state: RecordState::Started,
        });
        let ledger = LedgerBatch {
            records: records.collect(),
            ..LedgerBatch::default()
        };
        let length = encoded_length(Message::Copy {
            sequence: 1_000_000,
            full: None,
            ledger,
        });
        (f64::from(count), length)
    });
    Line::fit("ledger copy", "bytes a record", points.to_vec())
}

fn request_times(controller: impl Fn(usize) -> HostId + Copy) -> Vec<(f64, f64)> {
    let sizes = [10_000.0, 20_000.0, 40_000.0];
    sizes
        .map(|count: f64| {
            let mut bench = Bench::new(&build_entry(4, 256), controller);
            let started = Instant::now();
            for number in 0..count as u64 {
                let request = build_request(number, bench.now);
                let id = RequestId(number);
                bench.deliver(Event::Request { id, request });
            }
            (count, elapsed_micros(started))
        })
        .to_vec()
}

/// CPU time of the core for requests that are forwarded to the host that controls the server of
/// their key.
pub(crate) fn forward_time() -> Line {
    Line::fit(
        "request forwarded, core",
        "us each",
        request_times(|_| OTHER_HOST),
    )
}

/// CPU time of the core for requests whose key belongs to a server that this host controls.
pub(crate) fn service_time() -> Line {
    Line::fit(
        "request served, core",
        "us each",
        request_times(|_| OWN_HOST),
    )
}

/// Resident memory of the process in bytes, assuming pages of 4 KiB.
fn resident_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: f64 = text
        .split(' ')
        .nth(1)
        .and_then(|field| field.parse().ok())
        .unwrap_or(0.0);
    pages * 4_096.0
}

/// Memory of the placements that hosts keep, by number of shards; each host keeps one placement of
/// 16,384 shards.
pub(crate) fn shard_memory() -> Line {
    let points = [64_u32, 128, 256].map(|count| {
        let before = resident_bytes();
        let mut hosts = Vec::new();
        for _ in 0..count {
            hosts.push(Bench::new(&build_entry(16, 16_384), |_| OTHER_HOST));
        }
        let used_bytes = resident_bytes() - before;
        std::mem::forget(hosts);
        (f64::from(count) * 16_384.0, used_bytes)
    });
    Line::fit("shard known", "bytes each", points.to_vec())
}

/// Memory of a ledger, by number of records.
pub(crate) fn ledger_memory() -> Line {
    let points = [400_000_u128, 800_000, 1_600_000].map(|count| {
        let before = resident_bytes();
        let shard = ShardKey {
            entry: EntryKey(0),
            region: RegionKey(0),
            index: 0,
        };
        let mut ledger = Ledger::default();
        ledger.open(shard, Time::ZERO);
        ledger.set_tenure(shard, Tenure::default());
        for number in 0..count {
            let record = Record {
                fingerprint: number as u64,
                state: RecordState::Answered(ok_answer()),
            };
            ledger.set(shard, IdempotencyKey(uuid::Uuid::from_u128(number)), record);
        }
        let used_bytes = resident_bytes() - before;
        assert_eq!(ledger.len() as u128, count);
        std::mem::forget(ledger);
        (count as f64, used_bytes)
    });
    Line::fit("ledger record, static body", "bytes each", points.to_vec())
}
