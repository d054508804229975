//! Tests of one host with its peers: seeds, ledger copies, control of servers, lost hosts.

use std::collections::BTreeMap;
use std::time::Duration;

use amaranthshunt_core::catalogue::Class;
use amaranthshunt_core::control::ControlPhase;
use amaranthshunt_core::event::{StoreCall, StoreResult};
use amaranthshunt_core::ids::{CallId, FenceToken, Revision};
use amaranthshunt_core::message::LedgerBatch;
use amaranthshunt_core::object::{Object, ObjectKey};
use amaranthshunt_core::record::{ControlRecord, HostRecord, OperatorOrder, RegionRecord, Subject};
use amaranthshunt_core::{Effect, Event, Host, HostId, HostSettings, Message, Time};
use bytes::Bytes;

use super::fixture::{entry, find_watch_call, host_with_catalogue, object, settings, start_time};

/// A host that cannot reach the store and knows one seed address.
fn host_without_store() -> Host {
    let seeds = vec!["127.0.0.1:7001".parse().unwrap()];
    let mut host = Host::new(
        HostSettings {
            seeds,
            ..settings()
        },
        1,
        start_time(),
    );
    let call = find_watch_call(&host.handle(start_time(), Event::Tick));
    let result = StoreResult::Failed;
    host.handle(start_time(), Event::Store { call, result });
    host
}

fn region_with_host(revision: u64, host: HostId) -> Object {
    let other = two_host_record().hosts.remove(&HostId(2)).unwrap();
    let record = RegionRecord {
        hosts: BTreeMap::from([(host, other)]),
        control: BTreeMap::new(),
    };
    region_object(&record, revision)
}

fn delta_event(objects: Vec<Object>) -> Event {
    let complete = objects.iter().map(|object| object.revision).max().unwrap();
    Event::Peer {
        from: HostId(2),
        message: Message::Delta { objects, complete },
    }
}

/// Whether a host probes a seed address within the duration.
fn probes_seeds(host: &mut Host, from: Time, duration: Duration) -> bool {
    let mut now = from;
    let mut probed = false;
    while now < from + duration {
        let effects = host.handle(now, Event::Tick);
        probed |= effects
            .iter()
            .any(|effect| matches!(effect, Effect::Probe { .. }));
        now = now + Duration::from_millis(50);
    }
    probed
}

#[test]
fn a_host_that_knows_no_other_host_keeps_probing_its_seeds() {
    let mut host = host_without_store();
    host.handle(
        start_time(),
        delta_event(vec![object(1, &entry("catalogue", Class::Read))]),
    );
    let duration = Duration::from_secs(1);
    assert!(probes_seeds(&mut host, start_time(), duration));
}

#[test]
fn a_host_probes_its_seeds_again_when_no_known_host_responds() {
    let mut host = host_without_store();
    let objects = vec![
        object(1, &entry("catalogue", Class::Read)),
        region_with_host(2, HostId(2)),
    ];
    host.handle(start_time(), delta_event(objects));
    let second = Duration::from_secs(1);
    assert!(
        !probes_seeds(&mut host, start_time(), second),
        "it knows another host"
    );
    assert!(probes_seeds(&mut host, start_time() + second, second * 2));
}

/// A record of host 1, which is the host under test, and host 2, which names it as successor.
fn two_host_record() -> RegionRecord {
    let own = HostRecord {
        name: "h0".to_owned(),
        domain: "este/e1".parse().unwrap(),
        address: "127.0.0.1:7000".parse().unwrap(),
        successor: None,
        term: 0,
    };
    let predecessor = HostRecord {
        name: "h1".to_owned(),
        successor: Some(HostId(1)),
        term: 5,
        ..own.clone()
    };
    RegionRecord {
        hosts: BTreeMap::from([(HostId(1), own), (HostId(2), predecessor)]),
        control: BTreeMap::new(),
    }
}

fn region_object(record: &RegionRecord, revision: u64) -> Object {
    Object {
        key: ObjectKey::region("este"),
        revision: Revision(revision),
        value: Some(serde_json::to_vec(record).unwrap().into()),
    }
}

/// The successor of host 2, once it has its region's record.
fn successor_of_host_2() -> Host {
    let (mut host, _) = host_with_catalogue();
    let object = region_object(&two_host_record(), 3);
    host.handle(start_time(), delta_event(vec![object]));
    host
}

fn reply_to_copy(host: &mut Host, sequence: u64, full: Option<u64>) -> Message {
    let message = Message::Copy {
        sequence,
        full,
        ledger: LedgerBatch::default(),
    };
    let from = HostId(2);
    let effects = host.handle(start_time(), Event::Peer { from, message });
    let answer = effects.into_iter().find_map(|effect| match effect {
        Effect::Send { message, .. } => Some(message),
        _ => None,
    });
    answer.expect("the host did not reply to the copy")
}

#[test]
fn a_copy_after_a_missing_one_is_rejected() {
    let mut host = successor_of_host_2();
    let full = reply_to_copy(&mut host, 7, Some(5));
    let next = reply_to_copy(&mut host, 8, None);
    let after_gap = reply_to_copy(&mut host, 10, None);
    let next_after_gap = reply_to_copy(&mut host, 11, None);
    let new_full = reply_to_copy(&mut host, 12, Some(5));
    assert_eq!(full, Message::CopyKept { sequence: 7 });
    assert_eq!(next, Message::CopyKept { sequence: 8 });
    assert_eq!(after_gap, Message::CopyBroken { sequence: 10 });
    assert_eq!(next_after_gap, Message::CopyBroken { sequence: 11 });
    assert_eq!(new_full, Message::CopyKept { sequence: 12 });
}

fn find_put(effects: &[Effect], wanted: &ObjectKey) -> (CallId, Bytes) {
    let found = effects.iter().find_map(|effect| match effect {
        Effect::Store {
            call,
            call_kind: StoreCall::Put { key, value, .. },
        } if key == wanted => Some((*call, value.clone())),
        _ => None,
    });
    found.expect("the host did not write the record")
}

fn control_change_event(record: &RegionRecord, host: HostId, token: u64, revision: u64) -> Event {
    let mut record = record.clone();
    for control in record.control.values_mut() {
        control.host = host;
        control.token = FenceToken(token);
    }
    delta_event(vec![region_object(&record, revision)])
}

/// The watch reports the host's claim of a server before the claim's write returns. The host must
/// still wait for the previous controller when it takes the server over later; without the wait, a
/// server got five orders at a limit of four.
#[test]
fn a_late_claim_result_does_not_skip_the_wait_of_a_later_takeover() {
    let mut host = Host::new(settings(), 1, start_time());
    let call = find_watch_call(&host.handle(start_time(), Event::Tick));
    let mut unchecked = entry("catalogue", Class::Read);
    unchecked.servers[0].checks_token = false;
    let result = StoreResult::Changes {
        objects: vec![object(1, &unchecked)],
        complete: Revision(1),
    };
    let effects = host.handle(start_time(), Event::Store { call, result });
    let (call, value) = find_put(&effects, &ObjectKey::region("este"));
    let claim: RegionRecord = serde_json::from_slice(&value).unwrap();
    host.handle(start_time(), control_change_event(&claim, HostId(1), 1, 2));
    let result = StoreResult::Written(Revision(2));
    host.handle(start_time(), Event::Store { call, result });
    host.handle(start_time(), control_change_event(&claim, HostId(2), 2, 3));
    host.handle(start_time(), control_change_event(&claim, HostId(1), 3, 4));
    let phase = host.controlled_servers().next().unwrap().phase;
    assert!(
        matches!(phase, ControlPhase::Waiting(until) if until > start_time()),
        "{phase:?}"
    );
}

/// Ticks until the host reads its region's record, and answers the read so that it becomes valid.
fn make_valid(host: &mut Host, object: &Object) -> Time {
    let mut now = start_time();
    loop {
        let effects = host.handle(now, Event::Tick);
        let read = effects.iter().find_map(|effect| match effect {
            Effect::Store {
                call,
                call_kind: StoreCall::Get { key },
            } if *key == object.key => Some(*call),
            _ => None,
        });
        if let Some(call) = read {
            let result = StoreResult::Read(object.clone());
            host.handle(now, Event::Store { call, result });
            assert!(host.is_valid());
            return now;
        }
        now = now + Duration::from_millis(50);
    }
}

fn accepts_control(host: &mut Host, now: Time, source: u64) -> bool {
    let message = Message::Handover {
        id: source,
        source: FenceToken(source),
        server: "catalogue-0".to_owned(),
        control: Some(FenceToken(source + 1)),
        shards: Vec::new(),
        ledger: LedgerBatch::default(),
    };
    let from = HostId(2);
    let effects = host.handle(now, Event::Peer { from, message });
    effects.iter().any(|effect| match effect {
        Effect::Send { message, .. } => {
            matches!(message, Message::HandoverTaken { taken: true, .. })
        }
        _ => false,
    })
}

#[test]
fn an_outdated_handover_of_control_is_rejected() {
    let (mut host, _) = host_with_catalogue();
    let control = ControlRecord {
        host: HostId(2),
        token: FenceToken(13),
        released: false,
    };
    let mut record = two_host_record();
    record.control.insert("catalogue-0".to_owned(), control);
    let object = region_object(&record, 3);
    host.handle(start_time(), delta_event(vec![object.clone()]));
    let now = make_valid(&mut host, &object);
    assert!(!accepts_control(&mut host, now, 11));
    assert!(accepts_control(&mut host, now, 13));
}

fn lost_order_event(host: HostId, revision: u64) -> Event {
    let order = OperatorOrder {
        out: true,
        operator: "test".to_owned(),
    };
    delta_event(vec![Object {
        key: ObjectKey::order(&Subject::Lost(host)),
        revision: Revision(revision),
        value: Some(serde_json::to_vec(&order).unwrap().into()),
    }])
}

fn writes_region(effects: &[Effect]) -> bool {
    effects.iter().any(|effect| match effect {
        Effect::Store {
            call_kind: StoreCall::Put { key, .. },
            ..
        } => *key == ObjectKey::region("este"),
        _ => false,
    })
}

#[test]
fn a_lost_host_is_taken_over_by_another_only_if_its_successor_is_lost_too() {
    let mut record = two_host_record();
    let third = record.hosts[&HostId(1)].clone();
    record.hosts.insert(HostId(3), third);
    for (host, successor) in [(1, 3), (2, 3), (3, 1)] {
        let host_record = record.hosts.get_mut(&HostId(host)).unwrap();
        host_record.successor = Some(HostId(successor));
    }
    let control = ControlRecord {
        host: HostId(2),
        token: FenceToken(2),
        released: false,
    };
    record.control.insert("catalogue-0".to_owned(), control);
    let mut host = Host::new(settings(), 1, start_time());
    let known = vec![
        object(1, &entry("catalogue", Class::Read)),
        region_object(&record, 2),
    ];
    host.handle(start_time(), delta_event(known));
    let first = host.handle(start_time(), lost_order_event(HostId(2), 3));
    let second = host.handle(start_time(), lost_order_event(HostId(3), 4));
    assert!(!writes_region(&first), "host 3 is the successor of host 2");
    assert!(writes_region(&second), "host 1 is the only one left");
}

#[test]
fn a_host_watches_the_store_once_the_watcher_of_its_domain_cannot_be_reached() {
    let mut record = two_host_record();
    let other = record.hosts.remove(&HostId(2)).unwrap();
    record.hosts.insert(HostId(0), other);
    let mut host = Host::new(settings(), 1, start_time());
    let call = find_watch_call(&host.handle(start_time(), Event::Tick));
    host.handle(start_time(), delta_event(vec![region_object(&record, 2)]));
    let result = StoreResult::Failed;
    host.handle(start_time(), Event::Store { call, result });
    let second = Duration::from_secs(1);
    let before = starts_watch(&mut host, start_time(), second);
    let event = Event::PeerLost { host: HostId(0) };
    let at_once = has_watch(&host.handle(start_time() + second, event));
    let after = starts_watch(&mut host, start_time() + second, second);
    assert!(!before, "host 0 already watches the store");
    assert!(at_once || after);
}

/// Whether a host starts to watch the store within the duration.
fn starts_watch(host: &mut Host, from: Time, duration: Duration) -> bool {
    let mut now = from;
    let mut seen = false;
    while now < from + duration {
        let effects = host.handle(now, Event::Tick);
        seen |= has_watch(&effects);
        now = now + Duration::from_millis(50);
    }
    seen
}

fn has_watch(effects: &[Effect]) -> bool {
    effects.iter().any(|effect| match effect {
        Effect::Store { call_kind, .. } => matches!(call_kind, StoreCall::Watch { .. }),
        _ => false,
    })
}
