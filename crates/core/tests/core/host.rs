//! Tests of a single host: refusals, stale objects, and replay of traces.

use std::time::Duration;

use amaranthshunt_core::catalogue::Class;
use amaranthshunt_core::ids::Revision;
use amaranthshunt_core::trace::{Step, Trace};
use amaranthshunt_core::{
    Effect, Event, HostId, Message, Outcome, Refusal, Request, RequestId, Time,
};
use bytes::Bytes;
use yare::parameterized;

use super::fixture::{entry, host_with_catalogue, object, settings, start_time};

fn request(entry: &str, tenant: &str, body: &'static [u8]) -> Request {
    Request {
        entry: entry.to_owned(),
        tenant: tenant.to_owned(),
        key: "k".to_owned(),
        idempotency_key: None,
        is_retry: false,
        deadline: start_time() + Duration::from_secs(1),
        body: Bytes::from_static(body),
    }
}

fn find_outcome(effects: &[Effect]) -> Option<Outcome> {
    effects.iter().find_map(|effect| match effect {
        Effect::Respond { outcome, .. } => Some(outcome.clone()),
        _ => None,
    })
}

#[parameterized(
    unknown_entry = { request("nothing", "", b""), Refusal::UnknownEntry },
    wrong_region = { request("catalogue", "far", b""), Refusal::WrongRegion },
    too_large = { request("catalogue", "", b"nine bytes"), Refusal::TooLarge },
    key_missing = { request("billing", "", b""), Refusal::KeyMissing },
    past_deadline = { Request { deadline: Time::ZERO, ..request("catalogue", "", b"") }, Refusal::Deadline },
)]
fn a_refusal_names_the_reason(request: Request, expected: Refusal) {
    let (mut host, _) = host_with_catalogue();
    let id = RequestId(1);
    let effects = host.handle(start_time(), Event::Request { id, request });
    assert_eq!(find_outcome(&effects), Some(Outcome::NotRun(expected)));
}

#[test]
fn nothing_of_a_request_for_another_region_leaves_the_host() {
    let (mut host, _) = host_with_catalogue();
    let request = request("catalogue", "far", b"secret");
    let id = RequestId(1);
    let effects = host.handle(start_time(), Event::Request { id, request });
    assert_eq!(effects.len(), 1, "expected only the refusal: {effects:?}");
    assert_eq!(host.home_regions("catalogue", "far"), ["norte"]);
}

#[test]
fn a_request_that_nobody_serves_ends_as_not_run_at_its_deadline() {
    let (mut host, _) = host_with_catalogue();
    let id = RequestId(1);
    let request = request("catalogue", "", b"");
    let deadline = request.deadline;
    host.handle(start_time(), Event::Request { id, request });
    let effects = host.handle(deadline, Event::Tick);
    assert_eq!(
        find_outcome(&effects),
        Some(Outcome::NotRun(Refusal::Unavailable))
    );
}

#[test]
fn an_older_object_never_replaces_a_newer_one() {
    let (mut host, _) = host_with_catalogue();
    let mut older = entry("catalogue", Class::Read);
    older.owner = "somebody else".to_owned();
    let delta = Message::Delta {
        objects: vec![object(1, &older)],
        complete: Revision(1),
    };
    let from = HostId(9);
    host.handle(
        start_time(),
        Event::Peer {
            from,
            message: delta,
        },
    );
    let key = host.view().entries.find("catalogue").unwrap();
    assert_eq!(host.view().entries.get(key).unwrap().owner, "owner");
    assert_eq!(host.view().revision(), Revision(2));
}

#[test]
fn a_trace_replays_to_the_same_effects_and_outcomes() {
    let (mut host, mut steps) = host_with_catalogue();
    let mut outcomes = Vec::new();
    let mut recorded = Vec::new();
    for number in 0..50 {
        let at = start_time() + Duration::from_millis(40 * number);
        let event = if number % 3 == 0 {
            let mut request = request("catalogue", "", b"");
            request.deadline = at + Duration::from_millis(100);
            Event::Request {
                id: RequestId(number),
                request,
            }
        } else {
            Event::Tick
        };
        let effects = host.handle(at, event.clone());
        outcomes.extend(Trace::outcomes_of(std::slice::from_ref(&effects)));
        recorded.push(effects);
        steps.push(Step { at, event });
    }
    let trace = Trace {
        settings: settings(),
        seed: 1,
        started: start_time(),
        steps,
        outcomes,
    };
    let text = serde_json::to_string(&trace).unwrap();
    let read: Trace = serde_json::from_str(&text).unwrap();
    let replayed = read.replay();
    assert_eq!(replayed[2..], recorded);
    assert_eq!(Trace::outcomes_of(&replayed), read.outcomes);
}
