//! Fixtures for tests of a single host.

use std::collections::BTreeMap;

use amaranthshunt_core::catalogue::{Class, Entry, Limits, Server};
use amaranthshunt_core::event::{StoreCall, StoreResult};
use amaranthshunt_core::ids::{CallId, Revision};
use amaranthshunt_core::object::{Object, ObjectKey};
use amaranthshunt_core::trace::Step;
use amaranthshunt_core::{Effect, Event, Host, HostId, HostSettings, Time, Timing};

pub(crate) fn start_time() -> Time {
    Time::from_millis(1_700_000_000_000)
}

pub(crate) fn settings() -> HostSettings {
    HostSettings {
        id: HostId(1),
        name: "h0".to_owned(),
        domain: "este/e1".parse().unwrap(),
        address: "127.0.0.1:7000".parse().unwrap(),
        seeds: Vec::new(),
        timing: Timing::default(),
    }
}

pub(crate) fn entry(name: &str, class: Class) -> Entry {
    let tenants = BTreeMap::from([("far".to_owned(), vec!["norte".to_owned()])]);
    Entry {
        name: name.to_owned(),
        owner: "owner".to_owned(),
        class,
        regions: vec!["este".to_owned(), "norte".to_owned()],
        tenants,
        shards: 4,
        limits: Limits {
            slots: 2,
            cold_slots: 1,
            warm_up: 10,
            connections: 10,
            queue: 4,
            body: 8,
        },
        servers: vec![Server {
            name: format!("{name}-0"),
            domain: "este/e1".parse().unwrap(),
            address: "127.0.0.1:9100".parse().unwrap(),
            checks_token: true,
        }],
    }
}

pub(crate) fn object(revision: u64, entry: &Entry) -> Object {
    Object {
        key: ObjectKey::entry(&entry.name),
        revision: Revision(revision),
        value: Some(serde_json::to_vec(entry).unwrap().into()),
    }
}

pub(crate) fn find_watch_call(effects: &[Effect]) -> CallId {
    let found = effects.iter().find_map(|effect| match effect {
        Effect::Store {
            call,
            call_kind: StoreCall::Watch { .. },
        } => Some(*call),
        _ => None,
    });
    found.expect("the host did not start to watch the store")
}

/// A host that has read a catalogue, and the events it has handled so far.
pub(crate) fn host_with_catalogue() -> (Host, Vec<Step>) {
    let mut host = Host::new(settings(), 1, start_time());
    let mut steps = vec![Step {
        at: start_time(),
        event: Event::Tick,
    }];
    let call = find_watch_call(&host.handle(start_time(), Event::Tick));
    let objects = vec![
        object(1, &entry("catalogue", Class::Read)),
        object(2, &entry("billing", Class::Payment)),
    ];
    let changes = Event::Store {
        call,
        result: StoreResult::Changes {
            objects,
            complete: Revision(2),
        },
    };
    host.handle(start_time(), changes.clone());
    steps.push(Step {
        at: start_time(),
        event: changes,
    });
    (host, steps)
}
