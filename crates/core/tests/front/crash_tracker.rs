//! Requests that crash the servers that run them, and those that only run there.

use std::time::Duration;

use amaranthshunt_core::Time;
use amaranthshunt_core::front::{CrashTracker, CrashVerdict};
use amaranthshunt_core::quarantine::CrashId;

const REQUEST: u64 = 7;
/// Time for which a request runs before it crashes its server.
const RUN_MS: u64 = 20;

fn at(millis: u64) -> Time {
    Time::from_millis(100_000 + millis)
}

fn life(number: u64) -> CrashId {
    CrashId::new("a", number)
}

/// Lets a life of a server end while the request is running there, from `began` on.
fn crash(tracker: &mut CrashTracker, number: u64, began: u64) {
    let lost = at(began + RUN_MS);
    tracker.record_loss(lost, life(number), REQUEST, at(began));
    tracker.confirm_end(lost, life(number));
}

fn tracker_after(crashes: u64) -> CrashTracker {
    let mut tracker = CrashTracker::default();
    for number in 0..crashes {
        crash(&mut tracker, number, number * 1_000);
    }
    tracker
}

#[test]
fn a_request_is_refused_after_three_crashes_one_after_the_other() {
    let verdicts = [0, 1, 2, 3].map(|crashes| tracker_after(crashes).verdict(at(10_000), REQUEST));

    assert_eq!(
        verdicts,
        [
            CrashVerdict::Unknown,
            CrashVerdict::Suspect,
            CrashVerdict::Suspect,
            CrashVerdict::Quarantined(3),
        ]
    );
}

#[test]
fn a_request_that_runs_at_servers_that_crash_together_is_a_suspect_only() {
    let mut tracker = CrashTracker::default();

    for number in 0..6 {
        crash(&mut tracker, number, number);
    }

    assert_eq!(tracker.verdict(at(100), REQUEST), CrashVerdict::Suspect);
}

#[test]
fn crashes_one_after_the_other_count_beside_many_at_the_same_time() {
    let mut tracker = CrashTracker::default();
    for number in 0..12 {
        crash(&mut tracker, number, number);
    }

    crash(&mut tracker, 20, 1_000);
    crash(&mut tracker, 21, 2_000);

    let verdict = tracker.verdict(at(3_000), REQUEST);
    assert_eq!(verdict, CrashVerdict::Quarantined(3));
}

#[test]
fn a_connection_that_breaks_off_is_no_crash() {
    let mut tracker = CrashTracker::default();

    for number in 0..6 {
        tracker.record_loss(at(number * 1_000), life(number), REQUEST, at(number));
    }
    tracker.expire(at(20_000));

    assert_eq!(tracker.verdict(at(20_000), REQUEST), CrashVerdict::Unknown);
    assert!(tracker.is_idle());
}

#[test]
fn a_success_clears_a_request() {
    let mut tracker = tracker_after(2);

    tracker.record_answer(at(2_500), life(9), REQUEST);
    crash(&mut tracker, 10, 3_000);

    assert_eq!(tracker.verdict(at(4_000), REQUEST), CrashVerdict::Suspect);
}

#[test]
fn a_success_that_another_host_tells_clears_a_request_for_good() {
    let (mut one, mut other) = (tracker_after(3), CrashTracker::default());
    other.apply(at(4_000), &one.learnt_since(Time::ZERO));

    one.record_answer(at(4_500), life(9), REQUEST);
    other.apply(at(5_000), &one.take_unreported());
    // An older report, which has taken longer.
    other.apply(at(5_100), &tracker_after(3).learnt_since(Time::ZERO));

    assert_eq!(other.verdict(at(5_100), REQUEST), CrashVerdict::Unknown);
}

#[test]
fn a_server_that_answers_has_not_crashed() {
    let mut tracker = tracker_after(3);

    tracker.record_answer(at(4_000), life(1), REQUEST + 1);

    assert_eq!(tracker.verdict(at(4_000), REQUEST), CrashVerdict::Suspect);
}

#[test]
fn crashes_that_hosts_tell_each_other_count_once() {
    let one = tracker_after(2);
    let mut other = CrashTracker::default();
    let notices = one.learnt_since(Time::ZERO);

    other.apply(at(3_000), &notices);
    other.apply(at(3_500), &notices);
    crash(&mut other, 1, 1_000);
    let before = other.verdict(at(3_500), REQUEST);
    crash(&mut other, 5, 4_000);

    assert_eq!(before, CrashVerdict::Suspect);
    assert_eq!(
        other.verdict(at(5_000), REQUEST),
        CrashVerdict::Quarantined(3)
    );
}

#[test]
fn one_crash_after_a_refusal_has_ended_brings_it_back_at_once() {
    const MINUTE: u64 = 60_000;
    let mut tracker = tracker_after(3);

    let during = tracker.verdict(at(9 * MINUTE), REQUEST);
    let ended = tracker.verdict(at(11 * MINUTE), REQUEST);
    crash(&mut tracker, 4, 11 * MINUTE);
    let again = tracker.verdict(at(12 * MINUTE), REQUEST);

    assert_eq!(during, CrashVerdict::Quarantined(3));
    assert_eq!(ended, CrashVerdict::Suspect);
    assert_eq!(again, CrashVerdict::Quarantined(4));
}

#[test]
fn a_request_gets_two_chances_after_its_first_refusal_and_no_more() {
    const HOUR: u64 = 3_600_000;
    let mut tracker = tracker_after(3);

    crash(&mut tracker, 4, HOUR);
    crash(&mut tracker, 5, 3 * HOUR);

    assert_eq!(
        tracker.verdict(at(20 * HOUR), REQUEST),
        CrashVerdict::Quarantined(5)
    );
}

#[test]
fn any_number_of_suspects_takes_bounded_memory() {
    let mut tracker = tracker_after(3);

    for request in 0..20_000 {
        let (fingerprint, now) = (1_000 + request, at(10_000 + request));
        tracker.record_loss(now, life(100 + request), fingerprint, now);
        tracker.confirm_end(now, life(100 + request));
    }

    assert!(tracker.learnt_since(Time::ZERO).crashes.len() <= 1_100);
    let verdict = tracker.verdict(at(40_000), REQUEST);
    assert_eq!(verdict, CrashVerdict::Quarantined(3));
}

// Guards against refusals of innocent requests: a popular one runs at every server at all times, so it is
// running there whenever one crashes.
#[test]
fn a_popular_request_is_never_refused_while_it_also_succeeds() {
    let mut tracker = CrashTracker::default();
    let mut refused = 0;

    for round in 0..2_000_u64 {
        let now = round * 50;
        if round % 20 == 0 {
            crash(&mut tracker, round, now);
        }
        if round % 3 == 0 {
            tracker.record_answer(at(now + 30), CrashId::new("b", 1), REQUEST);
        }
        let verdict = tracker.verdict(at(now + 40), REQUEST);
        refused += u32::from(matches!(verdict, CrashVerdict::Quarantined(_)));
        tracker.expire(at(now + 40));
    }

    assert_eq!(refused, 0);
    assert!(
        tracker
            .learnt_since(at(0) + Duration::from_secs(200))
            .crashes
            .is_empty()
    );
}
